package tuner

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestHeapFollowsTheProcessor covers a VM with 0.4 cores: idle, in a burst that needs all of its
// processor time, and idle again. The heap has to be small while idle and may grow to four times the
// live memory within one measurement of the burst.
func TestHeapFollowsTheProcessor(t *testing.T) {
	is := is.New(t)
	tuner := Tuner{Cores: 0.4}
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	used := time.Duration(0)
	changes := 0
	run := func(cores float64, d time.Duration) (percent int) {
		for range d / interval {
			now = now.Add(interval)
			used += time.Duration(cores * float64(interval))
			var changed bool
			if percent, changed = tuner.Observe(used, now); changed {
				changes++
			}
		}
		return percent
	}
	is.Equal(run(0.03, 10*time.Second), minPercent)
	is.Equal(changes, 1) // a steady load changes nothing
	is.Equal(run(0.4, interval), maxPercent)
	is.Equal(run(0.4, 3*time.Second), maxPercent)
	is.Equal(changes, 2)
	is.True(run(0.03, time.Second) > minPercent) // a pause in a burst is no end of it
	is.Equal(run(0.03, 10*time.Second), minPercent)
}
