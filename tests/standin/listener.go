// Package standin has small stand-ins for the platform and for backend servers. They implement
// the protocols of docs/PLATFORM.md and can inject faults.
package standin

import (
	"net"
	"net/netip"
	"sync"
	"time"
)

// listener counts and limits connections and can close all of them at once.
type listener struct {
	net.Listener
	// connectCost is the time that accepting a connection takes.
	connectCost time.Duration
	// maxConns is the largest number of open connections; 0 is no limit.
	maxConns int

	mu    sync.Mutex
	conns map[net.Conn]bool
	// maxOpen is the largest number of connections that were open at once.
	maxOpen int
	// refused counts connections closed at once because maxConns were open.
	refused int
}

func listen(connectCost time.Duration, maxConns int) (*listener, error) {
	return listenAt(netip.MustParseAddrPort("127.0.0.1:0"), connectCost, maxConns)
}

func listenAt(addr netip.AddrPort, connectCost time.Duration, maxConns int) (*listener, error) {
	ln, err := net.Listen("tcp", addr.String())
	if err != nil {
		return nil, err
	}
	return &listener{Listener: ln, connectCost: connectCost, maxConns: maxConns, conns: make(map[net.Conn]bool)}, nil
}

// Accept returns the next connection that is within the limit, and closes the others.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.connectCost > 0 {
			time.Sleep(l.connectCost)
		}
		if tracked := l.track(c); tracked != nil {
			return tracked, nil
		}
		_ = c.Close()
	}
}

// track adds c to the open connections. It returns nil if the limit is reached.
func (l *listener) track(c net.Conn) net.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.maxConns > 0 && len(l.conns) >= l.maxConns {
		l.refused++
		return nil
	}
	t := &trackedConn{Conn: c, l: l}
	l.conns[t] = true
	l.maxOpen = max(l.maxOpen, len(l.conns))
	return t
}

// closeConns closes all open connections.
func (l *listener) closeConns() {
	l.mu.Lock()
	var all []net.Conn
	for c := range l.conns {
		all = append(all, c)
	}
	l.mu.Unlock()
	for _, c := range all {
		_ = c.Close()
	}
}

// trackedConn is a connection that its listener counts until it is closed.
type trackedConn struct {
	net.Conn
	l *listener
}

// Close closes the connection and removes it from the listener's open connections.
func (c *trackedConn) Close() error {
	c.l.mu.Lock()
	delete(c.l.conns, c)
	c.l.mu.Unlock()
	return c.Conn.Close()
}
