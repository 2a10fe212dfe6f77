package forwarder

import (
	"sync"
	"time"
)

const (
	// maxTimeoutValues limits the number of different timeouts that are counted.
	maxTimeoutValues = 128
	// timeoutDecayInterval is the number of requests after which all counts are halved.
	timeoutDecayInterval = 512
)

// usualTimeout determines how long the callers of a route usually wait on their first attempt: the
// most frequent timeout. A caller with a shorter timeout has spent the difference on opening the
// connection or on earlier attempts.
type usualTimeout struct {
	mu     sync.Mutex
	counts map[time.Duration]int
	total  int
	usual  time.Duration
}

// observe counts the timeout of a request and returns the usual timeout.
func (u *usualTimeout) observe(timeout time.Duration) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.counts == nil || len(u.counts) >= maxTimeoutValues {
		u.counts = map[time.Duration]int{u.usual: u.counts[u.usual]}
	}
	u.counts[timeout]++
	if u.counts[timeout] > u.counts[u.usual] {
		u.usual = timeout
	}
	if u.total++; u.total >= timeoutDecayInterval {
		u.total = 0
		for v, n := range u.counts {
			u.counts[v] = n / 2
		}
	}
	return u.usual
}
