package accepter

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"syscall"

	"golang.org/x/sys/unix"
)

// Buffers limits what the kernel holds for the clients of a listener. The zero value leaves it to the system.
type Buffers struct {
	// Backlog is the number of connections that may wait to be accepted.
	Backlog int
	// Receive is the number of bytes that are received on a connection and not read yet.
	Receive int
}

// Listen binds a TCP address. cfg configures the accepted connections.
func Listen(addr netip.AddrPort, cfg net.ListenConfig, b Buffers) (*net.TCPListener, error) {
	if b.Receive > 0 {
		// Accepted connections inherit it.
		cfg.Control = func(_, _ string, raw syscall.RawConn) error {
			return control(raw, func(fd int) error { return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, b.Receive) })
		}
	}
	network := "tcp"
	if addr.Addr().Is4() {
		network = "tcp4"
	}
	ln, err := cfg.Listen(context.Background(), network, addr.String())
	if err != nil {
		return nil, err
	}
	tcp := ln.(*net.TCPListener)
	if b.Backlog > 0 {
		raw, err := tcp.SyscallConn()
		if err == nil {
			// A second call changes the length of the queue.
			err = control(raw, func(fd int) error { return unix.Listen(fd, b.Backlog) })
		}
		if err != nil {
			_ = tcp.Close()
			return nil, err
		}
	}
	return tcp, nil
}

// control calls f with the descriptor of raw.
func control(raw syscall.RawConn, f func(fd int) error) error {
	var err error
	controlErr := raw.Control(func(fd uintptr) { err = f(int(fd)) })
	return errors.Join(controlErr, err)
}
