// Package admitter limits the number of concurrent requests, so that admitted requests can be
// served completely. The limit adapts by additive increase and multiplicative decrease (Chiu
// and Jain, 1989), driven by whether each finished request met overload.
package admitter

import (
	"cmp"
	"sync"
	"time"
)

const (
	defaultInitial = 64
	defaultMin     = 4
	// decreaseFactor is the factor applied to the limit on overload.
	decreaseFactor = 0.9
	// decreaseInterval is the minimum time between two decreases. Overload reported within it
	// is attributed to the same overload.
	decreaseInterval = 50 * time.Millisecond
	// increase is added to the limit after as many successful requests as the limit allows at
	// once.
	increase = 1.0
)

// Limiter is an adaptive concurrency limiter. The zero value is ready to use.
type Limiter struct {
	// Initial is the limit at the start and Min is its lower bound; 0 means 64 and 4.
	Initial, Min float64

	mu sync.Mutex
	// limit is 0 until the first call of Acquire. Decreases never take it below Min.
	limit        float64
	inFlight     int
	lastDecrease time.Time
}

// Acquire admits a request. It returns false if the limit is reached; otherwise the caller must
// call Release when the request ends.
func (l *Limiter) Acquire() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.limit == 0 {
		l.limit = cmp.Or(l.Initial, defaultInitial)
	}
	if float64(l.inFlight) >= l.limit {
		return false
	}
	l.inFlight++
	return true
}

// Release ends a request that Acquire admitted and adapts the limit; overloaded says whether
// the request met overload. The limit grows only while at least half of it is in use.
func (l *Limiter) Release(now time.Time, overloaded bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	busy := float64(l.inFlight) >= l.limit/2
	l.inFlight--
	switch {
	case overloaded && now.Sub(l.lastDecrease) >= decreaseInterval:
		l.lastDecrease = now
		l.limit = max(l.limit*decreaseFactor, cmp.Or(l.Min, defaultMin))
	case !overloaded && busy:
		l.limit += increase / l.limit
	}
}

// Limit returns the current limit on concurrent requests.
func (l *Limiter) Limit() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return cmp.Or(l.limit, l.Initial, defaultInitial)
}
