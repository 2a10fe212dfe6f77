// Package dialer opens connections whose unread bytes are limited.
package dialer

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Limited returns d with a limit on the bytes that the kernel receives on a connection before they are read, as the
// system's own limit may be larger than the memory of the process. 0 keeps the system's limit.
func Limited(d net.Dialer, receive int) net.Dialer {
	if receive <= 0 {
		return d
	}
	d.Control = func(_, _ string, raw syscall.RawConn) error {
		var err error
		controlErr := raw.Control(func(fd uintptr) { err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receive) })
		return errors.Join(controlErr, err)
	}
	return d
}
