package admitter

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var epoch = time.Unix(1_700_000_000, 0)

func TestLimit(t *testing.T) {
	is := is.New(t)
	l := &Limiter{Initial: 2}
	is.True(l.Acquire())
	is.True(l.Acquire())
	is.True(!l.Acquire())
	l.Release(epoch, false)
	is.True(l.Acquire())
}

// TestFollowsCapacity offers twice the load that a service with a capacity of 20 concurrent
// requests can serve, and checks that the limit converges to the capacity.
func TestFollowsCapacity(t *testing.T) {
	is := is.New(t)
	const capacity = 20
	l := &Limiter{}
	now := epoch
	for range 2000 {
		entered := 0
		for range 2 * capacity {
			if l.Acquire() {
				entered++
			}
		}
		for range entered {
			l.Release(now, entered > capacity)
		}
		now = now.Add(10 * time.Millisecond)
	}
	is.True(l.Limit() > 0.8*capacity)
	is.True(l.Limit() < 1.3*capacity)
}

func TestOneDecreasePerOverload(t *testing.T) {
	is := is.New(t)
	l := &Limiter{Initial: 100}
	for range 50 {
		is.True(l.Acquire())
	}
	for range 50 {
		l.Release(epoch, true)
	}
	is.Equal(l.Limit(), 90.0)
	is.True(l.Acquire())
	for range 1000 {
		l.Release(epoch.Add(time.Duration(l.Limit())*time.Hour), true)
		is.True(l.Acquire())
	}
	is.True(l.Limit() >= defaultMin)
}
