// Package pooler keeps open connections for reuse, up to a limit.
package pooler

import (
	"context"
	"slices"
	"sync"
)

// Conn is a connection that a Pool keeps.
type Conn interface {
	comparable
	// Sound reports whether an idle connection can still be used.
	Sound() bool
	Close() error
}

// User waits for a connection.
type User[C Conn] interface {
	comparable
	// Use takes an open connection, or the error with which none could be opened. It must not
	// block.
	Use(c C, err error)
}

// Pool holds the connections to one address. The zero value with Dial is ready for use.
type Pool[C Conn, U User[C]] struct {
	// Dial opens a connection.
	Dial func(ctx context.Context) (C, error)

	mu sync.Mutex
	// idle are the connections that wait for use, the last used at the end.
	idle []C
	// open counts the idle connections, those in use and those being opened.
	open int
	// dialing counts those being opened for waiting.
	dialing int
	// limit is that of the last Get.
	limit int
	// waiting are the users without a connection, oldest first.
	waiting []U
	closed  bool
}

// Get gives u an idle connection at once, or else the first one that comes back or is opened.
// One is opened while fewer than limit are open.
func (p *Pool[C, U]) Get(u U, limit int) {
	p.mu.Lock()
	p.limit = limit
	c, ok := p.takeIdle()
	if !ok {
		p.waiting = append(p.waiting, u)
		p.grow()
	}
	p.mu.Unlock()
	if ok {
		u.Use(c, nil)
	}
}

// takeIdle needs the lock.
func (p *Pool[C, U]) takeIdle() (c C, ok bool) {
	for len(p.idle) > 0 {
		c = p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		if c.Sound() {
			return c, true
		}
		p.open--
		_ = c.Close()
	}
	return c, false
}

// grow opens a connection if a user waits for one; it needs the lock.
func (p *Pool[C, U]) grow() {
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
			p.failed(err)
			return
		}
		p.Put(c)
	}()
}

// failed gives the error of a connection that could not be opened to the user who has waited
// for the longest, and to all if there is no connection left to wait for.
func (p *Pool[C, U]) failed(err error) {
	p.mu.Lock()
	p.open--
	n := min(1, len(p.waiting))
	if p.open == 0 {
		n = len(p.waiting)
	}
	users := slices.Clone(p.waiting[:n])
	p.waiting = slices.Delete(p.waiting, 0, n)
	p.grow()
	p.mu.Unlock()
	var none C
	for _, u := range users {
		u.Use(none, err)
	}
}

// CancelWait takes u back before it gets a connection. It returns false if u has got one or an
// error; waits is true if others are in use, for one of which u has waited.
func (p *Pool[C, U]) CancelWait(u U) (withdrawn, waits bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	i := slices.Index(p.waiting, u)
	if i < 0 {
		return false, false
	}
	p.waiting = slices.Delete(p.waiting, i, i+1)
	return true, p.open > p.dialing
}

// Put gives a connection back, or hands in one that was opened.
func (p *Pool[C, U]) Put(c C) {
	p.mu.Lock()
	if p.closed {
		p.open--
		p.mu.Unlock()
		_ = c.Close()
		return
	}
	if len(p.waiting) == 0 {
		p.idle = append(p.idle, c)
		p.mu.Unlock()
		return
	}
	u := p.waiting[0]
	p.waiting = slices.Delete(p.waiting, 0, 1)
	p.mu.Unlock()
	u.Use(c, nil)
}

// ConnClosed takes in that a connection in use was closed.
func (p *Pool[C, U]) ConnClosed() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
	p.grow()
}

// RemoveIdle takes in that a connection was closed by its other end while it was idle. It returns
// false if the connection was in use.
func (p *Pool[C, U]) RemoveIdle(c C) bool {
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

// Warm opens a connection if none is idle, also beyond the limit.
func (p *Pool[C, U]) Warm(ctx context.Context) error {
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
		p.failed(err)
		return err
	}
	p.Put(c)
	return nil
}

// Open is the number of connections, those in use included.
func (p *Pool[C, U]) Open() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// Close closes the idle connections; those in use are closed when they come back.
func (p *Pool[C, U]) Close() {
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
