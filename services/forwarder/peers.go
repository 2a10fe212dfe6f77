package forwarder

import (
	"sync"
	"time"
)

const (
	// minAcceptTimeout is the minimum time that a VM has to accept a call, because its thread may
	// have to wait for a CPU. The timeout is minAcceptTimeout plus acceptTimeoutDelays times the
	// mean delay.
	minAcceptTimeout    = 15 * time.Millisecond
	acceptTimeoutDelays = 4
	// defaultDelay is the assumed delay of a VM that has not accepted a call yet, including the
	// time to open a connection.
	defaultDelay = 3 * time.Millisecond
	// delayGain is the weight of a new measurement in the moving average of the delay.
	delayGain = 0.2
	// minBackoff is the time for which a VM that failed is not called. It doubles with each
	// further failure, up to maxBackoff.
	minBackoff = 400 * time.Millisecond
	maxBackoff = 3 * time.Second
)

// peers holds the state of the VMs that gather for this one. The zero value is ready for use.
type peers struct {
	mu   sync.Mutex
	byID map[string]*peer
}

type peer struct {
	// delay is the moving average of the time until a call is accepted; 0 if unknown.
	delay time.Duration
	// failures counts the failures since the last accepted call.
	failures int
	// backoffUntil is the time until which the VM is not called.
	backoffUntil time.Time
}

// get returns the state of a VM, and creates it if needed. The caller must hold p.mu.
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

// recordAccepted records that a VM accepted a call after the given time.
func (p *peers) recordAccepted(id string, after time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	v := p.get(id)
	v.failures, v.backoffUntil = 0, time.Time{}
	if v.delay == 0 {
		v.delay = after
	}
	v.delay += time.Duration(delayGain * float64(after-v.delay))
}

// recordFailure records that a VM did not accept a call, refused it or was lost. A failure during a
// backoff is ignored.
func (p *peers) recordFailure(id string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	v := p.get(id)
	if now.Before(v.backoffUntil) {
		return
	}
	v.backoffUntil = now.Add(min(minBackoff<<min(v.failures, 8), maxBackoff))
	v.failures++
}

// inBackoff reports whether a VM should not be called now.
func (p *peers) inBackoff(id string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	v := p.byID[id]
	return v != nil && now.Before(v.backoffUntil)
}

// delay returns the mean time from sending a call until its acceptance arrives.
func (p *peers) delay(id string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if v := p.byID[id]; v != nil && v.delay > 0 {
		return v.delay
	}
	return defaultDelay
}

// acceptTimeout returns the time that a VM has to accept a call.
func (p *peers) acceptTimeout(id string) time.Duration {
	return minAcceptTimeout + acceptTimeoutDelays*p.delay(id)
}
