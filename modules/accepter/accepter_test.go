package accepter

import (
	"errors"
	"net"
	"slices"
	"syscall"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
)

// scripted returns the errors of accept in turn, then net.ErrClosed.
type scripted struct {
	net.Listener
	errs []error
}

func (s *scripted) Accept() (net.Conn, error) {
	if len(s.errs) == 0 {
		return nil, net.ErrClosed
	}
	err := s.errs[0]
	s.errs = s.errs[1:]
	return nil, err
}

// TestAcceptErrors guards against a server that ends because accept fails, and against an error line for each
// attempt.
func TestAcceptErrors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		errs := slices.Repeat([]error{&net.OpError{Op: "accept", Err: syscall.EMFILE}}, int(3*reportInterval/pause))
		seen := 0
		l := Listener{Listener: &scripted{errs: errs}, OnError: func(err error) {
			is.True(errors.Is(err, syscall.EMFILE))
			seen++
		}}
		_, err := l.Accept()
		is.True(errors.Is(err, net.ErrClosed))
		is.Equal(seen, 3)
	})
}
