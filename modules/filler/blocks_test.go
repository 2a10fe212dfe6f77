package filler

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"
)

// TestBlocks checks that the data comes out as it went in, whatever the sizes of data and reads.
func TestBlocks(t *testing.T) {
	for _, n := range []int{0, 1, firstBlock - 1, firstBlock, firstBlock + 1, 3*maxBlock + 7} {
		is := is.New(t)
		data := make([]byte, n)
		for i := range data {
			data[i] = byte(i * 7)
		}
		var known, unknown Blocks
		is.NoErr(known.Fill(iotest.HalfReader(bytes.NewReader(append(data, "more"...))), n))
		is.Equal(known.Len(), n)
		is.True(bytes.Equal(known.Bytes(), data))
		ended, err := unknown.FillToEnd(iotest.DataErrReader(bytes.NewReader(data)), n+1)
		is.NoErr(err)
		is.True(ended)
		is.True(bytes.Equal(unknown.Bytes(), data))
	}
}

// TestBlocksAreNotCopied guards against memory for data that is still arriving beyond the data itself.
func TestBlocksAreNotCopied(t *testing.T) {
	is := is.New(t)
	var b Blocks
	held := 0
	for range 40 {
		is.NoErr(b.Fill(bytes.NewReader(make([]byte, 10_000)), 10_000))
		held = 0
		for _, p := range b.blocks {
			held += cap(p)
		}
		is.True(held-b.Len() < maxBlock)
	}
}

func TestBlocksErrors(t *testing.T) {
	is := is.New(t)
	var b Blocks
	is.True(errors.Is(b.Fill(bytes.NewReader(make([]byte, 9)), 10), io.ErrUnexpectedEOF))
	failed := errors.New("failed")
	is.True(errors.Is(b.Fill(iotest.ErrReader(failed), 1), failed))
	_, err := b.FillToEnd(iotest.ErrReader(failed), 10)
	is.True(errors.Is(err, failed))
	ended, err := b.FillToEnd(bytes.NewReader(make([]byte, 100)), 10)
	is.NoErr(err)
	is.True(!ended)
	is.Equal(b.Len(), 19)
}
