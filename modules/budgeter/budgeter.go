// Package budgeter limits extra tries (retries and hedges) to a ratio of the first tries.
package budgeter

import (
	"cmp"
	"sync"
)

// defaultBurst is the number of tokens that a Budget holds when Burst is 0.
const defaultBurst = 20

// Budget is a token bucket: first tries add tokens and each extra try takes one. The zero value
// allows no extra tries. With a Ratio above 0 it starts half full. It is safe for concurrent use.
type Budget struct {
	// Ratio is the number of tokens that each first try adds.
	Ratio float64
	// Burst is the capacity of the bucket in tokens; 0 means 20.
	Burst float64

	mu sync.Mutex
	// tokens is from 0 to the burst.
	tokens  float64
	started bool
}

// initLocked sets the initial tokens on the first call and returns the capacity of the bucket. The caller must hold b.mu.
func (b *Budget) initLocked() float64 {
	burst := cmp.Or(b.Burst, defaultBurst)
	if !b.started && b.Ratio > 0 {
		b.tokens = burst / 2
	}
	b.started = true
	return burst
}

// Deposit adds the tokens of n first tries.
func (b *Budget) Deposit(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	burst := b.initLocked()
	b.tokens = min(b.tokens+b.Ratio*float64(n), burst)
}

// Withdraw takes a token for one extra try. It returns false if there is none.
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
