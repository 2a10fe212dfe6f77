// Package budgeter limits extra tries to a ratio of the first tries.
package budgeter

import (
	"cmp"
	"sync"
)

// defaultBurst is the number of tokens that a Budget holds when Burst is 0.
const defaultBurst = 20

// Budget is a token bucket that first tries fill and extra tries drain. The zero value
// allows no extra try. With a Ratio above 0 it starts half full.
type Budget struct {
	// Ratio is the number of extra tries that each first try pays for.
	Ratio float64
	// Burst is the most tokens held; 0 means 20.
	Burst float64

	mu sync.Mutex
	// tokens is never below 0 nor above the burst.
	tokens  float64
	started bool
}

// initLocked starts the bucket and returns its size; it needs the lock.
func (b *Budget) initLocked() float64 {
	burst := cmp.Or(b.Burst, defaultBurst)
	if !b.started && b.Ratio > 0 {
		b.tokens = burst / 2
	}
	b.started = true
	return burst
}

// Deposit accounts for n first tries.
func (b *Budget) Deposit(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	burst := b.initLocked()
	b.tokens = min(b.tokens+b.Ratio*float64(n), burst)
}

// Withdraw takes a token for one extra try; it returns false when there is none.
func (b *Budget) Withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.initLocked()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
