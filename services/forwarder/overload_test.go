package forwarder

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/ebonylock/ebonylock/modules/registrar"
)

// queueModel models replicas that run a limited number of requests at a time and queue the others,
// first in, first out.
type queueModel struct {
	slots int
	work  time.Duration
	// free holds the time at which each slot of a replica becomes free, by the replica's ID.
	free map[string][]time.Time
}

// run queues a run at a replica and returns the behaviour that follows.
func (m *queueModel) run(c *registrar.Candidate) behaviour {
	now := time.Now()
	if m.free == nil {
		m.free = make(map[string][]time.Time)
	}
	slots := m.free[c.ID]
	if slots == nil {
		slots = make([]time.Time, m.slots)
		m.free[c.ID] = slots
	}
	first := 0
	for i, t := range slots {
		if t.Before(slots[first]) {
			first = i
		}
	}
	begin := slots[first]
	if begin.Before(now) {
		begin = now
	}
	slots[first] = begin.Add(m.work)
	return served(slots[first].Sub(now))
}

// overload sends a request every interval for the given time, none of which waits for another one, and
// counts the responses by status. It leaves out those to requests of the first second.
func overload(f *Forwarder, interval, d, patience time.Duration) (counts map[int]int, longestRefusal time.Duration) {
	counts = make(map[int]int)
	var mu sync.Mutex
	var wg sync.WaitGroup
	began := time.Now()
	for time.Since(began) < d {
		wg.Go(func() {
			r := request("/sweep/x", patience)
			a := f.Serve(context.Background(), r)
			mu.Lock()
			defer mu.Unlock()
			if r.Arrived.Sub(began) < time.Second {
				return
			}
			counts[a.Status]++
			if a.Status == http.StatusServiceUnavailable {
				longestRefusal = max(longestRefusal, time.Since(r.Arrived))
			}
		})
		time.Sleep(interval)
	}
	wg.Wait()
	return counts, longestRefusal
}

// TestTwoSaturatedShardsServeDifferentRequests covers two of ten shards with one slow replica left each,
// one of which a response may lack, under more requests than either can serve but not more than both
// (queue collapse). Requests that wait for both shards load each of them with all requests, and nearly
// all end at their deadline. If each waits for one of them only, nearly all are served.
func TestTwoSaturatedShardsServeDifferentRequests(t *testing.T) {
	m := &queueModel{slots: 2, work: 120 * time.Millisecond}
	runTest(t, true, func(c *registrar.Candidate) behaviour {
		switch {
		case c.Service != "shard-3" && c.Service != "shard-4":
			return served(7 * time.Millisecond)
		case c.DataCentre != "dc-0":
			return behaviour{after: time.Millisecond, err: ErrNotSent}
		}
		return m.run(c)
	}, func(is *is.I, f *Forwarder, _ *fakeBackend) {
		// Each of the two replicas completes 16 runs a second.
		counts, _ := overload(f, 40*time.Millisecond, 9*time.Second, 1500*time.Millisecond)
		t.Log(counts)
		is.True(counts[http.StatusOK] > 180) // nine tenths of 200
	})
}

// TestSaturatedShardRefusesAtOnce covers a shard that a response needs and that completes half of the
// requests sent (queue collapse). The requests above its capacity have to be refused when they arrive,
// so that the others are served before their deadline and no run is in vain.
func TestSaturatedShardRefusesAtOnce(t *testing.T) {
	m := &queueModel{slots: 2, work: 120 * time.Millisecond}
	runTest(t, true, func(c *registrar.Candidate) behaviour {
		switch c.Service {
		case "shard-3":
			return behaviour{after: time.Millisecond, err: ErrNotSent}
		case "shard-4":
			return m.run(c)
		}
		return served(7 * time.Millisecond)
	}, func(is *is.I, f *Forwarder, _ *fakeBackend) {
		// The three replicas complete 50 runs a second.
		counts, longestRefusal := overload(f, 10*time.Millisecond, 9*time.Second, 1500*time.Millisecond)
		t.Log(counts, longestRefusal)
		is.True(counts[http.StatusOK] > 360)            // nine tenths of what the replicas complete in 8 s
		is.True(counts[http.StatusGatewayTimeout] < 80) // a tenth of the requests
		is.True(longestRefusal < 10*time.Millisecond)
	})
}

// TestSlowReplicaIsPreferredToDeadOnes covers a shard that a response needs, two of whose replicas have
// crashed while the third replies after a second, longer than attempts of other requests go on (false
// death). The slow one must not be taken for dead because it was silent, so that no request is refused.
func TestSlowReplicaIsPreferredToDeadOnes(t *testing.T) {
	runTest(t, true, func(c *registrar.Candidate) behaviour {
		switch {
		case c.Service == "shard-3", c.Service == "shard-4" && c.DataCentre != "dc-0":
			return behaviour{after: time.Millisecond, err: ErrNotSent}
		case c.Service == "shard-4":
			return served(time.Second)
		}
		return served(7 * time.Millisecond)
	}, func(is *is.I, f *Forwarder, _ *fakeBackend) {
		for range 40 {
			// A response to this request can do without both shards, so that its attempts end early.
			a := f.Serve(context.Background(), request("/claim/x", 400*time.Millisecond))
			is.Equal(a.Status, http.StatusOK)
			time.Sleep(50 * time.Millisecond)
		}
		for range 10 {
			a := f.Serve(context.Background(), request("/sweep/x", 3*time.Second))
			is.Equal(a.Status, http.StatusOK)
		}
	})
}
