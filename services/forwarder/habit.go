package forwarder

import (
	"sync"
	"time"
)

const (
	// maxHabits bounds the values that a habit counts.
	maxHabits = 128
	// habitWindow is the number of requests after which older ones count half.
	habitWindow = 512
)

// habit finds the time that callers of a route usually wait on their first attempt: the value
// named most often. A caller that names less has spent the difference on opening the
// connection, or on earlier attempts.
type habit struct {
	mu     sync.Mutex
	counts map[time.Duration]int
	total  int
	usual  time.Duration
}

// observe takes in the patience of a request and returns the usual one.
func (h *habit) observe(patience time.Duration) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.counts == nil || len(h.counts) >= maxHabits {
		h.counts = map[time.Duration]int{h.usual: h.counts[h.usual]}
	}
	h.counts[patience]++
	if h.counts[patience] > h.counts[h.usual] {
		h.usual = patience
	}
	if h.total++; h.total >= habitWindow {
		h.total = 0
		for v, n := range h.counts {
			h.counts[v] = n / 2
		}
	}
	return h.usual
}
