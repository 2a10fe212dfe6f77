// Package filler reads data whose length was announced into memory that is taken as the data arrives.
package filler

import "io"

// first is the size in bytes of the buffer for long data at first.
const first = 64 << 10

// ReadFull reads n bytes from r. progress, if not nil, is called after each read, and before more memory is taken, with
// the memory taken and the bytes read since the last call; if it returns an error, ReadFull ends with it.
func ReadFull(r io.Reader, n int, progress func(taken, read int) error) ([]byte, error) {
	if progress == nil {
		progress = func(int, int) error { return nil }
	}
	b := make([]byte, 0, min(n, first))
	for len(b) < n {
		if len(b) == cap(b) {
			size := min(2*cap(b), n)
			if err := progress(size, 0); err != nil {
				return nil, err
			}
			b = append(make([]byte, 0, size), b...)
		}
		got, err := r.Read(b[len(b):cap(b)])
		b = b[:len(b)+got]
		if err := progress(cap(b), got); err != nil {
			return nil, err
		}
		switch {
		case len(b) == n:
		case err == io.EOF && len(b) > 0:
			return nil, io.ErrUnexpectedEOF
		case err != nil:
			return nil, err
		}
	}
	return b, nil
}
