// Package admitter limits the requests that are under way at once, so that those taken
// can be served whole. The limit follows additive increase and multiplicative decrease
// (Chiu and Jain, 1989) on the sign of overload that each request ends with.
package admitter

import (
	"cmp"
	"sync"
	"time"
)

const (
	defaultFirst = 64
	defaultLeast = 4
	// cutFactor times the limit is the limit after a sign of overload.
	cutFactor = 0.9
	// cutInterval is the time for which further signs are of the same overload.
	cutInterval = 50 * time.Millisecond
	// growth is the increase of the limit for each limit's worth of good ends.
	growth = 1.0
)

// Limiter admits requests. The zero value is ready for use.
type Limiter struct {
	// Initial is the limit at the start and Min the lowest limit; 0 means 64 and 4.
	Initial, Min float64

	mu sync.Mutex
	// limit is never below Least.
	limit    float64
	underWay int
	lastCut  time.Time
}

// Acquire takes in a request. It returns false when too many are under way; otherwise Leave
// must follow.
func (g *Limiter) Acquire() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.limit == 0 {
		g.limit = cmp.Or(g.Initial, defaultFirst)
	}
	if float64(g.underWay) >= g.limit {
		return false
	}
	g.underWay++
	return true
}

// Release takes in the end of a request and whether it met overload.
func (g *Limiter) Release(now time.Time, overload bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	full := float64(g.underWay) >= g.limit/2
	g.underWay--
	switch {
	case overload && now.Sub(g.lastCut) >= cutInterval:
		g.lastCut = now
		g.limit = max(g.limit*cutFactor, cmp.Or(g.Min, defaultLeast))
	case !overload && full:
		g.limit += growth / g.limit
	}
}

// Limit is the number of requests that may be under way.
func (g *Limiter) Limit() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return cmp.Or(g.limit, g.Initial, defaultFirst)
}
