package gatekeeper

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestColdReplicaGetsALimitedRate guards against more requests to a cold replica within any second than it
// tolerates, and against a wrong time for the next one.
func TestColdReplicaGetsALimitedRate(t *testing.T) {
	is := is.New(t)
	var c Cold
	var sent []time.Time
	for now := start; now.Before(start.Add(10 * time.Second)); now = now.Add(70 * time.Millisecond) {
		next := c.Ask("a", 3, now)
		if c.Begin("a", 3, now) {
			is.Equal(next, Answer{})
			sent = append(sent, now)
			continue
		}
		is.Equal(next.State, Warming)
		is.Equal(c.Ask("a", 3, next.Until), Answer{})
		is.True(c.Ask("a", 3, next.Until.Add(-1)).State == Warming)
	}
	is.True(len(sent) > 25)
	for i := 3; i < len(sent); i++ {
		is.True(sent[i].Sub(sent[i-3]) > time.Second)
	}
	is.True(!c.Begin("b", 0, start))
	is.True(c.Begin("c", 1, start))
	is.True(!c.Begin("c", 1, start))
	c.Refund("c", start) // it was for another replica
	is.True(c.Begin("c", 1, start))
	c.Prune(start.Add(time.Hour))
	is.Equal(len(c.sent), 0)
}

// TestSharesOfAColdReplicaAddUp guards against VMs that together send more than a cold replica tolerates, of which
// there may be more VMs than requests.
func TestSharesOfAColdReplicaAddUp(t *testing.T) {
	is := is.New(t)
	for _, n := range []int{1, 3, 7, 60, 300} {
		for _, total := range []int{0, 1, 8, 100} {
			for k := range 5 {
				sum := 0
				for rank := range n {
					sum += Share(total, n, rank, fmt.Sprint(k))
				}
				is.Equal(sum, total)
			}
		}
	}
}
