package admitter

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var epoch = time.Unix(1_700_000_000, 0)

func TestLimitIsKept(t *testing.T) {
	is := is.New(t)
	g := &Limiter{Initial: 2}
	is.True(g.Acquire())
	is.True(g.Acquire())
	is.True(!g.Acquire())
	g.Release(epoch, false)
	is.True(g.Acquire())
}

// TestFollowsCapacity puts twice the load on a service that can bear 20 at once.
func TestFollowsCapacity(t *testing.T) {
	is := is.New(t)
	const capacity = 20
	g := &Limiter{}
	now := epoch
	for range 2000 {
		entered := 0
		for range 2 * capacity {
			if g.Acquire() {
				entered++
			}
		}
		for range entered {
			g.Release(now, entered > capacity)
		}
		now = now.Add(10 * time.Millisecond)
	}
	is.True(g.Limit() > 0.8*capacity)
	is.True(g.Limit() < 1.3*capacity)
}

func TestOneCutForOneOverload(t *testing.T) {
	is := is.New(t)
	g := &Limiter{Initial: 100}
	for range 50 {
		is.True(g.Acquire())
	}
	for range 50 {
		g.Release(epoch, true)
	}
	is.Equal(g.Limit(), 90.0)
	is.True(g.Acquire())
	for range 1000 {
		g.Release(epoch.Add(time.Duration(g.Limit())*time.Hour), true)
		is.True(g.Acquire())
	}
	is.True(g.Limit() >= defaultLeast)
}
