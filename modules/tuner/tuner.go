// Package tuner trades memory for processor time: it lets the heap stay small while the processor
// has time to spare for garbage collection, and grow as that time becomes scarce.
package tuner

import (
	"context"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/samber/oops"
)

const (
	// minPercent and maxPercent bound the growth of the heap between two collections, as a
	// percentage of the live heap.
	minPercent = 50
	maxPercent = 300
	// idleLoad and busyLoad are the shares of the processor in use up to which minPercent and from
	// which on maxPercent applies. In between the percentage changes linearly.
	idleLoad = 0.2
	busyLoad = 0.6
	// interval is the time between two measurements.
	interval = 250 * time.Millisecond
	// fallWeight is the weight of a measurement below the load known so far. A higher one applies at
	// once, so that a burst is not slowed down by collections.
	fallWeight = 0.1
	// minChange is the smallest change of the percentage that is applied, other than to a bound. Each
	// change stops the program for a moment.
	minChange = 25
)

// Tuner decides how far the heap may grow between two collections. The zero value assumes one core.
// It is not safe for concurrent use.
type Tuner struct {
	// Cores is the processor time that the VM has per second, in seconds; 0 means 1.
	Cores float64
	// used is the processor time that the process had used at the time measured; measured is zero
	// before the first measurement.
	used     time.Duration
	measured time.Time
	// load is the share of the processor in use, from 0 to 1.
	load float64
	// percent is the percentage in force; 0 before the first measurement.
	percent int
}

// Observe takes the processor time that the process has used until now. It returns the percentage of
// the live heap by which the heap may grow, and whether that has changed.
func (t *Tuner) Observe(used time.Duration, now time.Time) (percent int, changed bool) {
	if passed := now.Sub(t.measured); !t.measured.IsZero() && passed > 0 {
		cores := t.Cores
		if cores <= 0 {
			cores = 1
		}
		load := min(max((used-t.used).Seconds()/passed.Seconds()/cores, 0), 1)
		if load < t.load {
			load = t.load + fallWeight*(load-t.load)
		}
		t.load = load
	}
	t.used, t.measured = used, now
	scarcity := min(max((t.load-idleLoad)/(busyLoad-idleLoad), 0), 1)
	percent = minPercent + int(scarcity*(maxPercent-minPercent))
	change := max(percent-t.percent, t.percent-percent)
	if atBound := percent == minPercent || percent == maxPercent; change == 0 || (change < minChange && !atBound) {
		return t.percent, false
	}
	t.percent = percent
	return percent, true
}

// Run applies the decisions of t to this process until ctx is done.
func (t *Tuner) Run(ctx context.Context) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		var usage syscall.Rusage
		if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
			return oops.Wrapf(err, "read the processor time in use")
		}
		used := time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
		if percent, changed := t.Observe(used, time.Now()); changed {
			debug.SetGCPercent(percent)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}
