// Package bouncer limits the connections of a listener and the memory that they make the process hold. When there are
// too many connections, the one that has not moved for longest is closed, and not the one that came last.
package bouncer

import (
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/ebonylock/ebonylock/modules/accepter"
	"github.com/ebonylock/ebonylock/modules/rationer"
)

// Limits limits what the clients of a listener make the process hold. The zero value limits nothing.
type Limits struct {
	// MaxConns limits the open connections, except for trusted and busy ones; 0 means no limit.
	MaxConns int
	// Memory is the memory that the connections draw on; nil for no limit.
	Memory *rationer.Pool
	// Buffers limits what the kernel holds for the connections.
	Buffers accepter.Buffers
}

// Bind binds a TCP address.
func (l Limits) Bind(addr netip.AddrPort) (*net.TCPListener, error) {
	return accepter.Listen(addr, net.ListenConfig{}, l.Buffers)
}

// Listener returns a Listener that survives errors of accept and passes them to onError, at most once a second.
func (l Limits) Listener(ln net.Listener, onError func(err error)) *Listener {
	return &Listener{Listener: &accepter.Listener{Listener: ln, OnError: onError}, Limits: l}
}

// Listener is a net.Listener that accepts every connection and closes others for it.
type Listener struct {
	net.Listener
	Limits

	mu    sync.Mutex
	conns map[*Conn]struct{}
}

// Conn is a connection of a Listener. What was read from it counts as held until the next write.
type Conn struct {
	net.Conn
	listener *Listener
	once     sync.Once

	// mu guards the fields below. Account methods are called with it held.
	mu      sync.Mutex
	account rationer.Account
	held    int
	moved   time.Time
	// trusted is true for a client that has shown that it belongs to the fleet, and busy while a request is being
	// served. Neither connection is closed for others.
	trusted, busy bool
	// unmanaged is true if nothing counts that is read or written.
	unmanaged bool
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &Conn{Conn: nc, listener: l, moved: time.Now()}
	c.account.Pool = l.Memory
	c.account.OnRevoke = func() { _ = nc.Close() }
	l.mu.Lock()
	if l.conns == nil {
		l.conns = make(map[*Conn]struct{})
	}
	l.conns[c] = struct{}{}
	victim := l.victim(c)
	l.mu.Unlock()
	if victim != nil {
		_ = victim.Close()
	}
	return c, nil
}

// victim returns the connection to close for the new one; nil if there is room. The caller must hold mu.
func (l *Listener) victim(newest *Conn) *Conn {
	if l.MaxConns <= 0 || len(l.conns) <= l.MaxConns {
		return nil
	}
	var oldest *Conn
	var since time.Time
	n := 0
	for c := range l.conns {
		c.mu.Lock()
		closable, moved := !c.trusted && !c.busy, c.moved
		c.mu.Unlock()
		if !closable {
			continue
		}
		n++
		if c != newest && (oldest == nil || moved.Before(since)) {
			oldest, since = c, moved
		}
	}
	if n <= l.MaxConns {
		return nil
	}
	return oldest
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > 0 {
		c.moved = time.Now()
	}
	if c.unmanaged {
		return n, err
	}
	if holdErr := c.hold(c.held+n, n); holdErr != nil {
		return 0, holdErr
	}
	return n, err
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	if err := c.holdWrite(len(p), 0); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	_ = c.holdWrite(0, n)
	return n, err
}

// holdWrite accounts for n bytes to be written, after moved ones were.
func (c *Conn) holdWrite(n, moved int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if moved > 0 {
		c.moved = time.Now()
	}
	if c.unmanaged {
		return nil
	}
	return c.hold(n, moved)
}

// Hold sets the number of bytes that are held for the client, in place of those that were read. If the memory for
// them is revoked, it closes the connection and returns rationer.ErrRevoked.
func (c *Conn) Hold(n int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hold(n, 0)
}

// hold is like Hold for a client that has lately moved the given number of bytes. The caller must hold mu.
func (c *Conn) hold(n, moved int) error {
	c.held = n
	err := c.account.Hold(n, moved, time.Now())
	if err != nil {
		_ = c.Conn.Close()
	}
	return err
}

// SetBusy sets whether a request of the connection is being served.
func (c *Conn) SetBusy(busy bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = busy
	c.account.Pin(busy)
}

// Trust marks the client as one that belongs to the fleet. Its connection doesn't draw on the memory for clients any
// more.
func (c *Conn) Trust() {
	c.Unmanage()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.trusted = true
}

// Unmanage makes nothing count that is read or written, because the user of the connection accounts for it.
func (c *Conn) Unmanage() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.unmanaged {
		c.unmanaged = true
		_ = c.hold(0, 0)
	}
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.once.Do(func() {
		c.listener.mu.Lock()
		delete(c.listener.conns, c)
		c.listener.mu.Unlock()
	})
	err := c.Conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.held = 0
	c.account.Release()
	return err
}

// Trust calls the method Trust of c if it has one.
func Trust(c net.Conn) {
	if t, ok := c.(interface{ Trust() }); ok {
		t.Trust()
	}
}
