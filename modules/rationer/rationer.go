// Package rationer limits the memory that the clients of a process hold together. When it runs out, the memory of
// the client that holds most and moves least is revoked first.
package rationer

import (
	"cmp"
	"errors"
	"math"
	"slices"
	"sync"
	"time"
)

// ErrRevoked is returned to the holder of an Account whose memory was revoked.
var ErrRevoked = errors.New("memory for clients exhausted")

const (
	// FreeBytes is the number of bytes that each Account holds without drawing on the Pool. The limit on
	// connections bounds their sum.
	FreeBytes = 8 << 10
	// halfLife is the time in which the bytes that a client has moved lose half of their weight.
	halfLife = 250 * time.Millisecond
	// spare is the part of the limit, as a divisor, that is free after accounts were revoked, so that not
	// each further byte makes all accounts be compared again.
	spare = 8
)

// Pool is the memory of all accounts together. The zero value has no limit. It is safe for concurrent use.
type Pool struct {
	// Limit is the number of bytes that all accounts may hold beyond FreeBytes each; 0 means no limit. It
	// must be set before use.
	Limit int64

	mu   sync.Mutex
	used int64
	// drawing holds the accounts that hold more than FreeBytes.
	drawing map[*Account]struct{}
	revoked uint64
}

// Account is what one client holds. Its methods must not be called concurrently with each other, except for Revoked.
type Account struct {
	// Pool is the memory that the account draws on; nil for no limit.
	Pool *Pool
	// OnRevoke, if not nil, is called when the account is revoked by another one that needs the memory. It may be
	// called from any goroutine, and must make the holder drop what it holds soon.
	OnRevoke func()

	// draws is true while the account may be in Pool.drawing.
	draws bool

	// The fields below are guarded by Pool.mu.

	// drawn is the number of bytes held beyond FreeBytes.
	drawn int64
	// moved is the weighted number of bytes that the client has moved until movedAt.
	moved   float64
	movedAt time.Time
	revoked bool
	// pinned is true for memory that is in use and can't be revoked.
	pinned bool
}

// Pin sets whether the memory of the account is in use and can't be revoked.
func (a *Account) Pin(pinned bool) {
	if a.Pool == nil {
		return
	}
	a.Pool.mu.Lock()
	defer a.Pool.mu.Unlock()
	a.pinned = pinned
}

// Hold sets the number of bytes that the account holds. moved is the number of bytes that its client has sent
// or taken since the last call. It returns ErrRevoked if the account was revoked, also by this call; it then
// stays revoked until Release.
func (a *Account) Hold(n, moved int, now time.Time) error {
	if a.Pool == nil || (n <= FreeBytes && !a.draws) {
		return nil
	}
	victims, err := a.Pool.set(a, max(int64(n)-FreeBytes, 0), moved, now)
	a.draws = n > FreeBytes || err != nil
	for _, v := range victims {
		if v != a && v.OnRevoke != nil {
			v.OnRevoke()
		}
	}
	return err
}

// Release sets the number of bytes held to 0, after which the account can be used again.
func (a *Account) Release() {
	if a.Pool == nil || !a.draws {
		return
	}
	a.draws = false
	a.Pool.mu.Lock()
	defer a.Pool.mu.Unlock()
	a.Pool.take(a)
	a.revoked, a.moved, a.movedAt = false, 0, time.Time{}
}

// Revoked reports whether the account was revoked since the last Release.
func (a *Account) Revoked() bool {
	if a.Pool == nil {
		return false
	}
	a.Pool.mu.Lock()
	defer a.Pool.mu.Unlock()
	return a.revoked
}

// set sets what a draws, and returns the accounts that had to be revoked for it.
func (p *Pool) set(a *Account, drawn int64, moved int, now time.Time) ([]*Account, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if a.revoked {
		return nil, ErrRevoked
	}
	a.moved, a.movedAt = a.movedUntil(now)+float64(moved), now
	grown := drawn > a.drawn
	p.used += drawn - a.drawn
	a.drawn = drawn
	if drawn == 0 {
		delete(p.drawing, a)
		return nil, nil
	}
	if p.drawing == nil {
		p.drawing = make(map[*Account]struct{})
	}
	p.drawing[a] = struct{}{}
	if !grown || p.Limit <= 0 || p.used <= p.Limit {
		return nil, nil
	}
	victims := p.revoke(now)
	if p.used > p.Limit && !a.revoked {
		// All others are pinned.
		p.take(a)
		a.revoked = true
		p.revoked++
	}
	if a.revoked {
		return victims, ErrRevoked
	}
	return victims, nil
}

// revoke revokes accounts until a part of the limit is free, and returns them. The caller must hold mu.
func (p *Pool) revoke(now time.Time) []*Account {
	type candidate struct {
		*Account
		stagnation float64
	}
	var list []candidate
	for a := range p.drawing {
		if !a.pinned {
			list = append(list, candidate{a, a.stagnation(now)})
		}
	}
	slices.SortFunc(list, func(a, b candidate) int { return cmp.Compare(b.stagnation, a.stagnation) })
	var victims []*Account
	for _, c := range list {
		if p.used <= p.Limit-p.Limit/spare {
			break
		}
		p.take(c.Account)
		c.revoked = true
		p.revoked++
		victims = append(victims, c.Account)
	}
	return victims
}

// take takes all memory from a. The caller must hold mu.
func (p *Pool) take(a *Account) {
	p.used -= a.drawn
	a.drawn = 0
	delete(p.drawing, a)
}

// stagnation returns how much a holds for each byte that it has lately moved.
func (a *Account) stagnation(now time.Time) float64 {
	return float64(a.drawn) / (1 + a.movedUntil(now))
}

// movedUntil returns the weighted number of bytes that the client has moved until now.
func (a *Account) movedUntil(now time.Time) float64 {
	return a.moved * math.Exp2(-float64(max(now.Sub(a.movedAt), 0))/float64(halfLife))
}

// Used returns the number of bytes that all accounts hold beyond FreeBytes each.
func (p *Pool) Used() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.used
}

// RevokedCount returns how many times an account was revoked.
func (p *Pool) RevokedCount() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.revoked
}
