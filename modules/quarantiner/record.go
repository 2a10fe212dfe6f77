package quarantiner

import (
	"slices"
	"time"
)

// knownLoss is a loss with the time at which this VM learned of it.
type knownLoss struct {
	Loss
	learned time.Time
}

// record holds the losses of a request or group.
type record struct {
	// losses is sorted by time and never holds more than maxLosses entries. In the record of a group
	// they are of different requests and servers.
	losses []knownLoss
	// isGroup is true for the record of a group.
	isGroup bool
	// running is true while the only run of a suspect is in progress.
	running bool
}

// find returns the index of a loss of the same server that may be the same as l, or -1. Exact times are known up to window.
func (rec *record) find(l Loss, window time.Duration) int {
	return slices.IndexFunc(rec.losses, func(k knownLoss) bool {
		later := l.At.Sub(k.At)
		same := later.Abs() < window || l.Inexact && later > 0 || k.Inexact && later < 0
		return k.Server == l.Server && same
	})
}

// refine moves a loss that is reported again to the time of the report if that is earlier. A report may
// be late on its way, but not early, so the earliest time is the best one.
func (rec *record) refine(i int, l Loss) {
	k := rec.losses[i]
	if !l.At.Before(k.At) {
		return
	}
	k.Loss = k.MovedTo(l.At)
	k.Inexact = l.Inexact
	rec.losses = slices.Delete(rec.losses, i, i+1)
	rec.insert(k)
}

// insert adds a loss, in place of the oldest one if there are maxLosses. It returns false if all of them
// are newer.
func (rec *record) insert(l knownLoss) bool {
	if len(rec.losses) == maxLosses {
		if !rec.losses[0].At.Before(l.At) {
			return false
		}
		rec.losses = slices.Delete(rec.losses, 0, 1)
	}
	i, _ := slices.BinarySearchFunc(rec.losses, l, func(a, b knownLoss) int { return a.At.Compare(b.At) })
	rec.losses = slices.Insert(rec.losses, i, l)
	return true
}

// count returns the number of losses that are independent of each other: the largest number of those
// that counts selects whose runs don't overlap in time. Taking the runs in the order of their ends gives
// the largest number.
func (rec *record) count(counts func(knownLoss) bool) int {
	n := 0
	var end time.Time
	for _, l := range rec.losses {
		if counts(l) && (n == 0 || !l.Began.Before(end)) {
			n++
			end = l.At
		}
	}
	return n
}

// goesBefore reports whether rec is evicted before other. Both have losses.
func (rec *record) goesBefore(other *record) bool {
	if several := len(rec.losses) > 1; several != (len(other.losses) > 1) {
		return !several
	}
	return rec.losses[0].At.Before(other.losses[0].At)
}
