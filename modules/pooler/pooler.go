// Package pooler keeps open connections for reuse, up to a limit.
package pooler

import (
	"context"
	"errors"
	"sync"
)

// ErrFull says that every connection is in use and none may be opened.
var ErrFull = errors.New("no connection free")

// Conn is a connection that a Pool keeps.
type Conn interface {
	// Sound reports whether an idle connection is still open, with no byte to read.
	Sound() bool
	Close() error
}

// Pool holds the connections to one address. The zero value with Dial is ready for use.
type Pool[C Conn] struct {
	// Dial opens a connection.
	Dial func(ctx context.Context) (C, error)

	mu sync.Mutex
	// idle are the connections that wait for use, the last used at the end.
	idle []C
	// open counts the idle connections and those in use or being opened.
	open   int
	closed bool
	// freed is closed and replaced each time a connection comes back or is lost.
	freed chan struct{}
}

// Get returns an idle connection, or opens one while fewer than limit are open. With all in
// use it waits for one until ctx ends, and then returns an error that matches ErrFull. fresh
// is true for a connection that was opened now.
func (p *Pool[C]) Get(ctx context.Context, limit int) (c C, fresh bool, err error) {
	for {
		p.mu.Lock()
		for len(p.idle) > 0 {
			c = p.idle[len(p.idle)-1]
			p.idle = p.idle[:len(p.idle)-1]
			if c.Sound() {
				p.mu.Unlock()
				return c, false, nil
			}
			p.open--
			_ = c.Close()
		}
		if p.open < limit {
			p.open++
			p.mu.Unlock()
			c, err = p.Dial(ctx)
			if err != nil {
				p.lose()
			}
			return c, true, err
		}
		if p.freed == nil {
			p.freed = make(chan struct{})
		}
		freed := p.freed
		p.mu.Unlock()
		select {
		case <-freed:
		case <-ctx.Done():
			return c, false, ErrFull
		}
	}
}

// Put gives a connection back for reuse.
func (p *Pool[C]) Put(c C) {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		p.Drop(c)
		return
	}
	p.idle = append(p.idle, c)
	p.signal()
	p.mu.Unlock()
}

// Drop closes a connection that Get returned.
func (p *Pool[C]) Drop(c C) {
	_ = c.Close()
	p.lose()
}

func (p *Pool[C]) lose() {
	p.mu.Lock()
	p.open--
	p.signal()
	p.mu.Unlock()
}

// signal needs the lock.
func (p *Pool[C]) signal() {
	if p.freed != nil {
		close(p.freed)
		p.freed = nil
	}
}

// Open is the number of connections, those in use included.
func (p *Pool[C]) Open() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// Close closes the idle connections; those in use are closed when they come back.
func (p *Pool[C]) Close() {
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
