package filler

import (
	"io"
	"sync"
)

// Sizes in bytes of the first block of Blocks and of the largest ones. Each block is twice as large as the one before.
const (
	firstBlock = 4 << 10
	maxBlock   = 64 << 10
)

// freeBlocks holds blocks of maxBlock bytes. Without it, data that is dropped half-way would leave garbage faster than the
// garbage collector frees it.
var freeBlocks = sync.Pool{New: func() any {
	p := make([]byte, 0, maxBlock)
	return &p
}}

// Blocks collects data whose length is not known, or that may never arrive. Unlike a buffer that is copied as it
// grows, it takes little more memory than the data. The zero value is ready for use.
type Blocks struct {
	blocks [][]byte
	size   int
}

// Len returns the number of bytes collected.
func (b *Blocks) Len() int {
	return b.size
}

// Fill reads n bytes from r. The error is io.ErrUnexpectedEOF if r ends before.
func (b *Blocks) Fill(r io.Reader, n int) error {
	for n > 0 {
		p := b.room()
		got, err := r.Read(p[len(p):min(cap(p), len(p)+n)])
		b.grow(got)
		n -= got
		switch {
		case n == 0:
		case err == io.EOF:
			return io.ErrUnexpectedEOF
		case err != nil:
			return err
		}
	}
	return nil
}

// FillToEnd reads from r until it ends, but at most n bytes. It returns true if r has ended.
func (b *Blocks) FillToEnd(r io.Reader, n int) (ended bool, err error) {
	for before := b.size; b.size-before < n; {
		p := b.room()
		got, err := r.Read(p[len(p):min(cap(p), len(p)+n-(b.size-before))])
		b.grow(got)
		switch {
		case err == io.EOF:
			return true, nil
		case err != nil:
			return false, err
		}
	}
	return false, nil
}

// room returns the last block, which has room for more data.
func (b *Blocks) room() []byte {
	last := len(b.blocks) - 1
	if last >= 0 && len(b.blocks[last]) < cap(b.blocks[last]) {
		return b.blocks[last]
	}
	size := firstBlock
	if last >= 0 {
		size = min(2*cap(b.blocks[last]), maxBlock)
	}
	var p []byte
	if size == maxBlock {
		p = (*freeBlocks.Get().(*[]byte))[:0]
	} else {
		p = make([]byte, 0, size)
	}
	b.blocks = append(b.blocks, p)
	return p
}

// grow adds n bytes that were read into the last block.
func (b *Blocks) grow(n int) {
	last := &b.blocks[len(b.blocks)-1]
	*last = (*last)[:len(*last)+n]
	b.size += n
}

// Bytes returns the data as one slice, and drops what b holds.
func (b *Blocks) Bytes() []byte {
	if len(b.blocks) == 1 {
		out := b.blocks[0]
		*b = Blocks{}
		return out
	}
	out := make([]byte, 0, b.size)
	for _, p := range b.blocks {
		out = append(out, p...)
	}
	b.Drop()
	return out
}

// Drop drops the data. b can then be used for other data.
func (b *Blocks) Drop() {
	for _, p := range b.blocks {
		if cap(p) == maxBlock {
			freeBlocks.Put(&p)
		}
	}
	*b = Blocks{}
}
