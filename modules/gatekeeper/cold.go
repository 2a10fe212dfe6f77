package gatekeeper

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// coldWindow is the time in which a cold replica may get a limited number of requests.
const coldWindow = time.Second

// Share returns how many of total requests a VM may send to the replica with the given key. rank is the
// place of the VM among n of them, from 0; the shares of all ranks add up to total. The VMs that get
// one more than others differ from replica to replica.
func Share(total, n, rank int, key string) int {
	n = max(n, 1)
	share := total / n
	if (uint64(max(rank, 0))+xxhash.Sum64String(key))%uint64(n) < uint64(total%n) {
		share++
	}
	return share
}

// Cold limits the requests to replicas that have just started: at most a given number within any
// second. The zero value is ready for use. It is safe for concurrent use.
type Cold struct {
	mu sync.Mutex
	// sent holds the times of the requests to a replica within the last second, oldest first.
	sent map[string][]time.Time
}

// Ask returns whether a replica may get a request now if it may get limit of them within a second.
func (c *Cold) Ask(key string, limit int, now time.Time) Answer {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ask(key, limit, now)
}

// ask is Ask. The caller must hold mu.
func (c *Cold) ask(key string, limit int, now time.Time) Answer {
	if limit <= 0 {
		return Answer{State: Warming}
	}
	list := c.sent[key]
	if len(list) < limit || now.Sub(list[len(list)-limit]) > coldWindow {
		return Answer{}
	}
	return Answer{State: Warming, Until: list[len(list)-limit].Add(coldWindow + 1)}
}

// Begin records that a request is sent to a replica. It returns false if the replica may get none.
func (c *Cold) Begin(key string, limit int, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ask(key, limit, now).State != Open {
		return false
	}
	if c.sent == nil {
		c.sent = make(map[string][]time.Time)
	}
	list := slices.DeleteFunc(c.sent[key], func(t time.Time) bool { return now.Sub(t) > coldWindow })
	c.sent[key] = append(list, now)
	return true
}

// Refund takes back a request that began at the given time and doesn't count.
func (c *Cold) Refund(key string, began time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if i := slices.IndexFunc(c.sent[key], began.Equal); i >= 0 {
		c.sent[key] = slices.Delete(c.sent[key], i, i+1)
	}
}

// Prune drops the replicas without a request after before.
func (c *Cold) Prune(before time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, list := range c.sent {
		if len(list) == 0 || list[len(list)-1].Before(before) {
			delete(c.sent, key)
		}
	}
}
