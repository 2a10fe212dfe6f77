// Package gatekeeper decides whether a replica may get a request now, from what the replica itself
// has said: that it leaves, or that it wants a pause. It does no I/O; the caller passes the time.
package gatekeeper

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// MaxPause limits a pause, so that a replica that asks for an absurd one is not lost until its
	// process is replaced.
	MaxPause = 5 * time.Minute
	// minHold and maxHold bound the time that is added to a pause if the replica has served nothing since
	// the one before. It doubles with each such pause, so that a replica that refuses everything costs few
	// requests, and is still tried.
	minHold = 100 * time.Millisecond
	maxHold = 2 * time.Second
	// rampRuns is the number of replies after a pause from which on the replica may get any number of
	// requests again. Until then it gets one more at a time with each reply.
	rampRuns = 4
)

// State says whether a replica may get a request.
type State uint8

const (
	// Open is the state of a replica that has said nothing.
	Open State = iota
	// Paused is the state during a pause, and after it while the replica may get no further request.
	Paused
	// Leaving is the state of a replica that shuts down. It never ends.
	Leaving
	// Warming is the state of a cold replica that has got as many requests as it may for now.
	Warming
)

// String returns the state in kebab case.
func (s State) String() string {
	return [...]string{"open", "paused", "leaving", "warming"}[s]
}

// Answer is the answer to the question whether a replica may get a request now.
type Answer struct {
	State
	// Until is the end of a pause, or the time of the next request to a cold replica. It is zero in the
	// other states, and if the pause is over and the replica has as many requests as it may get after one.
	Until time.Time
}

// Gatekeeper holds what replicas have said. Replicas are named by a key that is unique for each start
// of a replica. The zero value is ready for use. It is safe for concurrent use.
type Gatekeeper struct {
	mu sync.RWMutex
	// entries holds only replicas that leave, are paused, or were paused and have not given rampRuns
	// replies since.
	entries map[string]*entry
	// size is the number of entries. While it is 0, which is usual, no lock is needed.
	size atomic.Int64
}

type entry struct {
	leaving bool
	// pausedUntil is the end of the last pause, hold included; zero if there was none.
	pausedUntil time.Time
	// hold is the time that was added to the last pause.
	hold time.Duration
	// replies counts the replies to requests that began after the last pause.
	replies int
	// running counts the requests in progress that began after the last pause.
	running int
	// lastUsed is the time of the last call that named the replica.
	lastUsed time.Time
}

func (g *Gatekeeper) entry(key string, now time.Time) *entry {
	if g.entries == nil {
		g.entries = make(map[string]*entry)
	}
	e := g.entries[key]
	if e == nil {
		e = &entry{}
		g.entries[key] = e
		g.size.Add(1)
	}
	e.lastUsed = now
	return e
}

// remove drops an entry. The caller must hold mu.
func (g *Gatekeeper) remove(key string) {
	delete(g.entries, key)
	g.size.Add(-1)
}

// Leave records that a replica has said that it leaves. It returns true if that is new.
func (g *Gatekeeper) Leave(key string, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	e := g.entry(key, now)
	known := e.leaving
	e.leaving = true
	return !known
}

// Pause records that a replica wants no request for d, counted from now, at most MaxPause. A pause
// never shortens an earlier one. It returns true if the replica was not paused.
func (g *Gatekeeper) Pause(key string, d time.Duration, now time.Time) bool {
	if d <= 0 {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	e := g.entry(key, now)
	begins := !now.Before(e.pausedUntil)
	if begins {
		again := !e.pausedUntil.IsZero() && e.replies == 0
		e.hold = min(max(2*e.hold, minHold), maxHold)
		if !again {
			e.hold = 0
		}
		e.replies, e.running = 0, 0
	}
	if until := now.Add(min(d, MaxPause) + e.hold); until.After(e.pausedUntil) {
		e.pausedUntil = until
	}
	return begins
}

// StateOf returns the state of a replica.
func (g *Gatekeeper) StateOf(key string, now time.Time) State {
	if g.size.Load() == 0 {
		return Open
	}
	return g.Ask(key, now).State
}

// Ask returns whether a replica may get a request now.
func (g *Gatekeeper) Ask(key string, now time.Time) Answer {
	if g.size.Load() == 0 {
		return Answer{}
	}
	g.mu.RLock()
	defer g.mu.RUnlock()
	return g.entries[key].answer(now)
}

func (e *entry) answer(now time.Time) Answer {
	switch {
	case e == nil:
		return Answer{}
	case e.leaving:
		return Answer{State: Leaving}
	case now.Before(e.pausedUntil):
		return Answer{State: Paused, Until: e.pausedUntil}
	case !e.pausedUntil.IsZero() && e.running > e.replies:
		return Answer{State: Paused}
	}
	return Answer{}
}

// Begin records that a request is sent to a replica. It returns false if the replica may get none.
func (g *Gatekeeper) Begin(key string, now time.Time) bool {
	if g.size.Load() == 0 {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	e := g.entries[key]
	if e.answer(now).State != Open {
		return false
	}
	if e != nil {
		e.running++
		e.lastUsed = now
	}
	return true
}

// End records the end of a request that was sent to a replica at began. served is true if the replica
// has run it.
func (g *Gatekeeper) End(key string, began time.Time, served bool, now time.Time) {
	if g.size.Load() == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	e := g.entries[key]
	if e == nil || e.leaving || e.pausedUntil.IsZero() || began.Before(e.pausedUntil) {
		return
	}
	e.lastUsed = now
	e.running = max(e.running-1, 0)
	if !served {
		return
	}
	if e.replies++; e.replies >= rampRuns {
		g.remove(key)
	}
}

// Count returns the number of replicas that leave and of those in a pause.
func (g *Gatekeeper) Count(now time.Time) (leaving, paused int) {
	g.mu.RLock()
	defer g.mu.RUnlock()
	for _, e := range g.entries {
		switch {
		case e.leaving:
			leaving++
		case now.Before(e.pausedUntil):
			paused++
		}
	}
	return leaving, paused
}

// Prune drops the replicas that known does not report and that were last named earlier than before.
func (g *Gatekeeper) Prune(before time.Time, known func(key string) bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for key, e := range g.entries {
		if e.lastUsed.Before(before) && !known(key) {
			g.remove(key)
		}
	}
}
