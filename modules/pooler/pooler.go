// Package pooler implements a connection pool with a limit on open connections.
package pooler

import (
	"context"
	"slices"
	"sync"
)

// Conn is a connection managed by a Pool.
type Conn interface {
	comparable
	// Usable reports whether an idle connection can still be used.
	Usable() bool
	// Clean reports whether the connection is open and has no bytes to read. Such bytes belong to no
	// request, and the next user would take them for its own.
	Clean() bool
	Close() error
}

// Waiter receives the connection requested with Pool.Get.
type Waiter[C Conn] interface {
	comparable
	// Deliver is called with an open connection, or with the error from opening one. It must not
	// block.
	Deliver(c C, err error)
}

// Pool holds the connections to one address. The zero value with Dial set is ready for use.
// It is safe for concurrent use.
type Pool[C Conn, W Waiter[C]] struct {
	// Dial opens a connection.
	Dial func(ctx context.Context) (C, error)

	mu sync.Mutex
	// idle are the connections not in use, the most recently used last.
	idle []C
	// open counts the connections that are idle, in use or being opened.
	open int
	// dialing counts the connections being opened for waiters.
	dialing int
	// limit is the limit passed to the last Get.
	limit int
	// waiting are the callers of Get that have no connection yet, oldest first.
	waiting []W
	closed  bool
}

// Get passes w an idle connection immediately if there is one. Otherwise w waits in turn for a
// connection that is returned or opened. A new one is opened if fewer than limit are open.
func (p *Pool[C, W]) Get(w W, limit int) {
	p.mu.Lock()
	p.limit = limit
	c, ok := p.takeIdle()
	if !ok {
		p.waiting = append(p.waiting, w)
		p.dialIfNeeded()
	}
	p.mu.Unlock()
	if ok {
		w.Deliver(c, nil)
	}
}

// takeIdle removes and returns the most recently used idle connection that is usable, and closes
// unusable ones. The caller must hold mu.
func (p *Pool[C, W]) takeIdle() (c C, ok bool) {
	for len(p.idle) > 0 {
		c = p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		if c.Usable() {
			return c, true
		}
		p.open--
		_ = c.Close()
	}
	return c, false
}

// dialIfNeeded starts to open a connection if there are more waiters than connections being opened
// and the limit allows it. The caller must hold mu.
func (p *Pool[C, W]) dialIfNeeded() {
	if p.open >= p.limit || p.dialing >= len(p.waiting) {
		return
	}
	p.open++
	p.dialing++
	go func() {
		c, err := p.Dial(context.Background())
		p.mu.Lock()
		p.dialing--
		p.mu.Unlock()
		if err != nil {
			p.dialFailed(err)
			return
		}
		p.put(c, true)
	}()
}

// dialFailed passes a dial error to the waiter that has waited longest, or to all waiters if
// there is no connection left to wait for.
func (p *Pool[C, W]) dialFailed(err error) {
	p.mu.Lock()
	p.open--
	n := min(1, len(p.waiting))
	if p.open == 0 {
		n = len(p.waiting)
	}
	waiters := slices.Clone(p.waiting[:n])
	p.waiting = slices.Delete(p.waiting, 0, n)
	p.dialIfNeeded()
	p.mu.Unlock()
	var zero C
	for _, w := range waiters {
		w.Deliver(zero, err)
	}
}

// CancelWait removes w from the waiters. removed is false if w has already received a
// connection or an error. busy is true if w was waiting while open connections were in use.
func (p *Pool[C, W]) CancelWait(w W) (removed, busy bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	i := slices.Index(p.waiting, w)
	if i < 0 {
		return false, false
	}
	p.waiting = slices.Delete(p.waiting, i, i+1)
	return true, p.open > p.dialing
}

// Reject passes err to all waiters.
func (p *Pool[C, W]) Reject(err error) {
	p.mu.Lock()
	waiters := p.waiting
	p.waiting = nil
	p.mu.Unlock()
	var zero C
	for _, w := range waiters {
		w.Deliver(zero, err)
	}
}

// Put returns a connection to the pool. It goes to the waiter that has waited longest, if any. If it
// isn't clean then, it is closed and another one is opened.
func (p *Pool[C, W]) Put(c C) {
	p.put(c, false)
}

// put is Put, or adds a connection that was just opened if isNew is true. Such a connection goes to its
// waiter in any case, since opening connections until one is clean might have no end.
func (p *Pool[C, W]) put(c C, isNew bool) {
	p.mu.Lock()
	switch {
	case p.closed && len(p.waiting) == 0:
		p.open--
		p.mu.Unlock()
		_ = c.Close()
	case len(p.waiting) == 0:
		p.idle = append(p.idle, c)
		p.mu.Unlock()
	case !isNew && !c.Clean():
		p.open--
		p.dialIfNeeded()
		p.mu.Unlock()
		_ = c.Close()
	default:
		w := p.waiting[0]
		p.waiting = slices.Delete(p.waiting, 0, 1)
		p.mu.Unlock()
		w.Deliver(c, nil)
	}
}

// ConnClosed records that a connection in use was closed.
func (p *Pool[C, W]) ConnClosed() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
	p.dialIfNeeded()
}

// RemoveIdle removes a connection that the remote end closed while it was idle. It returns false
// if the connection was not idle.
func (p *Pool[C, W]) RemoveIdle(c C) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	i := slices.Index(p.idle, c)
	if i < 0 {
		return false
	}
	p.idle = slices.Delete(p.idle, i, i+1)
	p.open--
	return true
}

// Warm ensures that there is an idle connection. If there is none it opens one, even beyond the
// limit.
func (p *Pool[C, W]) Warm(ctx context.Context) error {
	p.mu.Lock()
	if c, ok := p.takeIdle(); ok {
		p.idle = append(p.idle, c)
		p.mu.Unlock()
		return nil
	}
	p.open++
	p.mu.Unlock()
	c, err := p.Dial(ctx)
	if err != nil {
		p.dialFailed(err)
		return err
	}
	p.put(c, true)
	return nil
}

// Open returns the number of connections that are idle, in use or being opened.
func (p *Pool[C, W]) Open() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// Close closes the idle connections. Those in use are closed when they are returned and nobody waits for one.
func (p *Pool[C, W]) Close() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.open -= len(idle)
	p.closed = true
	p.mu.Unlock()
	for _, c := range idle {
		_ = c.Close()
	}
}
