package forwarder

import (
	"sync"
	"time"
)

const (
	// leastPatience is the least time that a VM has to take a call: a thread of it may wait for a
	// turn of the processor. To that come so many times the usual delay.
	leastPatience  = 15 * time.Millisecond
	patienceDelays = 4
	// unknownDelay is the delay of a VM that has taken no call yet, a new connection included.
	unknownDelay = 3 * time.Millisecond
	// delayGain is the weight of a new measurement in the mean delay.
	delayGain = 0.2
	// firstDoubt and lastDoubt are the time for which a VM that has failed is not asked; it doubles
	// with each further failure.
	firstDoubt = 400 * time.Millisecond
	lastDoubt  = 3 * time.Second
)

// peers are what is known of the VMs that gather for this one. The zero value is ready for use.
type peers struct {
	mu   sync.Mutex
	byID map[string]*peer
}

type peer struct {
	// delay is the mean time until a call is accepted; 0 if unknown.
	delay time.Duration
	// failures counts those since the last call that was accepted.
	failures int
	// until is the time until which the VM is not asked.
	until time.Time
}

// get needs the lock.
func (p *peers) get(id string) *peer {
	if p.byID == nil {
		p.byID = make(map[string]*peer)
	}
	out := p.byID[id]
	if out == nil {
		out = &peer{}
		p.byID[id] = out
	}
	return out
}

// accepted takes in that a VM has taken a call after a time.
func (p *peers) accepted(id string, after time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	v := p.get(id)
	v.failures, v.until = 0, time.Time{}
	if v.delay == 0 {
		v.delay = after
	}
	v.delay += time.Duration(delayGain * float64(after-v.delay))
}

// failed takes in that a VM has not taken a call, has refused it or was lost.
func (p *peers) failed(id string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	v := p.get(id)
	if now.Before(v.until) {
		return
	}
	v.until = now.Add(min(firstDoubt<<min(v.failures, 8), lastDoubt))
	v.failures++
}

// doubted reports whether a VM should not be asked now.
func (p *peers) doubted(id string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	v := p.byID[id]
	return v != nil && now.Before(v.until)
}

// delay is the mean time until a VM accepts a call, both ways.
func (p *peers) delay(id string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if v := p.byID[id]; v != nil && v.delay > 0 {
		return v.delay
	}
	return unknownDelay
}

// patience is the time that a VM has to accept a call.
func (p *peers) patience(id string) time.Duration {
	return leastPatience + patienceDelays*p.delay(id)
}
