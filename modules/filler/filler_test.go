package filler

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"
)

// TestReadFull checks that data is read whole or not at all, and that it takes memory as it arrives.
func TestReadFull(t *testing.T) {
	is := is.New(t)
	data := strings.Repeat("x", 10*first+1)
	for _, n := range []int{0, 1, first, first + 1, len(data)} {
		read := 0
		b, err := ReadFull(iotest.HalfReader(strings.NewReader(data)), n, func(taken, got int) error {
			read += got
			is.True(taken <= max(2*read, first))
			return nil
		})
		is.NoErr(err)
		is.Equal(string(b), data[:n])
		is.Equal(read, n)
	}
	_, err := ReadFull(strings.NewReader(data), len(data)+1, nil)
	is.Equal(err, io.ErrUnexpectedEOF)
	_, err = ReadFull(strings.NewReader(""), 1, nil)
	is.Equal(err, io.EOF)
	enough := errors.New("enough")
	_, err = ReadFull(strings.NewReader(data), len(data), func(int, int) error { return enough })
	is.Equal(err, enough)
}
