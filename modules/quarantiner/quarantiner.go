// Package quarantiner bounds the number of backend servers that one request can crash. A request
// that was running when a server was lost is a suspect; a suspect that loses another server is
// blocked. A request that has ever had a complete reply is known to be safe and never a suspect, so
// that requests which happened to run beside the one that caused a crash are not blocked.
//
// Requests that differ only in what says who sent them form a group. A group that is known to be safe
// doesn't make its requests safe, but more losses are needed to block one of them.
package quarantiner

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint identifies a request, or a group of requests.
type Fingerprint uint64

// FingerprintOf returns the fingerprint of a request body sent to a service or search.
func FingerprintOf(name string, body []byte) Fingerprint {
	h := xxhash.New()
	_, _ = h.WriteString(name)
	_, _ = h.Write([]byte{0})
	_, _ = h.Write(body)
	return Fingerprint(h.Sum64())
}

// Loss is the loss of a server while it ran a request.
type Loss struct {
	Fingerprint Fingerprint
	// Group identifies the group of the request; 0 if it has none.
	Group Fingerprint
	// GroupSafe is true if a request of the group is known to have had a complete reply.
	GroupSafe bool
	// Server is the ID of the server.
	Server string
	At     time.Time
}

// Verdict says whether and how a request may run.
type Verdict int

const (
	// Allowed sets no restriction.
	Allowed Verdict = iota
	// Suspect allows one run at a time on one server.
	Suspect
	// Blocked allows no run.
	Blocked
)

const (
	// blockAfter is the number of lost servers after which a request is blocked.
	blockAfter = 2
	// blockInSafeGroup is that number for a request of a safe group. Other requests of the group run
	// beside the one that crashes servers, and would be blocked with it after two losses.
	blockInSafeGroup = 3
	// blockGroupAfter is the number of requests of a group that must each have lost another server
	// before the whole group is blocked. It covers a request with a header field that differs in each
	// attempt, as long as no request of the group has had a complete reply.
	blockGroupAfter = 3
	// maxLosses limits the losses that are kept of a request or group.
	maxLosses = max(blockAfter, blockInSafeGroup, blockGroupAfter)
	// duplicateWindow is the longest time between two reports of the same loss. No server restarts
	// in less, so that reports further apart are of different losses.
	duplicateWindow = 100 * time.Millisecond
	// mergeWindow is duplicateWindow for losses that another VM reports, since the time on the way
	// is not known and a loss may come in several ways.
	mergeWindow = 2 * time.Second
	// recentTime is the time for which a loss that this VM has learned of is reported with each read of
	// another VM.
	recentTime = 10 * time.Second
	// MaxReported limits the losses that a VM reports to one that asks for all, and maxRecent those
	// that it reports with other reads.
	MaxReported = 1024
	maxRecent   = 128
	// defaultRetention is the time for which a loss counts.
	defaultRetention = 10 * time.Minute
	// maxRecords limits the number of fingerprints with losses.
	maxRecords = 4096
	// maxSafe is the number of safe fingerprints at which the older half is dropped.
	maxSafe = 1 << 16
)

// knownLoss is a loss with the time at which this VM learned of it.
type knownLoss struct {
	Loss
	learned time.Time
}

type record struct {
	// losses never holds more than maxLosses entries. In the record of a group they are of different
	// requests and servers.
	losses []knownLoss
	// isGroup is true for the record of a group.
	isGroup bool
	// running is true while the only run of a suspect is in progress.
	running bool
}

// Tracker records losses and the requests known to be safe. The zero value is ready for use. It is
// safe for concurrent use.
type Tracker struct {
	// Retention is the time for which a loss counts; 0 means 10 minutes.
	Retention time.Duration

	mu sync.Mutex
	// records never holds more than maxRecords entries.
	records map[Fingerprint]*record
	// lastLearned is the last time at which a loss became known.
	lastLearned time.Time
	// safe and olderSafe hold the fingerprints known to be safe. A full safe replaces olderSafe.
	safe, olderSafe map[Fingerprint]struct{}
}

// MarkSafe records that f had a complete reply.
func (r *Tracker) MarkSafe(f Fingerprint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.markSafe(f)
}

func (r *Tracker) markSafe(f Fingerprint) {
	if _, ok := r.safe[f]; ok {
		return
	}
	if len(r.safe) >= maxSafe/2 || r.safe == nil {
		r.olderSafe = r.safe
		r.safe = make(map[Fingerprint]struct{})
	}
	r.safe[f] = struct{}{}
	delete(r.records, f)
}

// IsSafe reports whether f is known to have had a complete reply.
func (r *Tracker) IsSafe(f Fingerprint) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.isSafe(f)
}

func (r *Tracker) isSafe(f Fingerprint) bool {
	if _, ok := r.safe[f]; ok {
		return true
	}
	_, ok := r.olderSafe[f]
	return ok
}

// Verdict returns whether and how f may run.
func (r *Tracker) Verdict(f Fingerprint, now time.Time) Verdict {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.verdict(f, now)
}

func (r *Tracker) verdict(f Fingerprint, now time.Time) Verdict {
	rec := r.records[f]
	if rec == nil {
		return Allowed
	}
	keep := cmp.Or(r.Retention, defaultRetention)
	rec.losses = slices.DeleteFunc(rec.losses, func(l knownLoss) bool { return now.Sub(l.At) > keep })
	n := len(rec.losses)
	switch {
	case n == 0:
		if !rec.running {
			delete(r.records, f)
		}
		return Allowed
	case rec.isGroup:
		if n >= blockGroupAfter {
			return Blocked
		}
		return Allowed
	case n >= blockInSafeGroup || n >= blockAfter && !r.isSafe(rec.losses[0].Group):
		return Blocked
	}
	return Suspect
}

// TryAcquire claims the only run of a suspect. It returns false if a run is in progress or the
// request is not a suspect.
func (r *Tracker) TryAcquire(f Fingerprint, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.verdict(f, now) != Suspect || r.records[f].running {
		return false
	}
	r.records[f].running = true
	return true
}

// Release ends the run that TryAcquire claimed.
func (r *Tracker) Release(f Fingerprint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if rec := r.records[f]; rec != nil {
		rec.running = false
	}
}

// Report records a loss that this VM has seen. It returns true if the loss is new.
func (r *Tracker) Report(l Loss) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.add(l, l.At, duplicateWindow)
}

// Merge records losses that another VM reports, with the times at which they happened by the clock of this VM.
func (r *Tracker) Merge(list []Loss, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	keep := cmp.Or(r.Retention, defaultRetention)
	for _, l := range list {
		if now.Sub(l.At) <= keep {
			r.add(l, now, mergeWindow)
		}
	}
}

// add records a loss and returns true if it is new. Losses of the same server closer to each other than
// window are the same one.
func (r *Tracker) add(l Loss, learned time.Time, window time.Duration) bool {
	if l.GroupSafe && l.Group != 0 {
		r.markSafe(l.Group)
	}
	if r.isSafe(l.Fingerprint) {
		return false
	}
	rec := r.record(l.Fingerprint)
	for _, known := range rec.losses {
		if known.Server == l.Server && l.At.Sub(known.At).Abs() < window {
			return false
		}
	}
	if !rec.insert(knownLoss{l, learned}) {
		return false
	}
	if learned.After(r.lastLearned) {
		r.lastLearned = learned
	}
	if l.Group == 0 || r.isSafe(l.Group) {
		return true
	}
	group := r.record(l.Group)
	group.isGroup = true
	for _, known := range group.losses {
		if known.Fingerprint == l.Fingerprint || known.Server == l.Server && l.At.Sub(known.At).Abs() < window {
			return true
		}
	}
	group.insert(knownLoss{l, learned})
	return true
}

// record returns the record of f, and creates it if there is none.
func (r *Tracker) record(f Fingerprint) *record {
	if rec := r.records[f]; rec != nil {
		return rec
	}
	if r.records == nil {
		r.records = make(map[Fingerprint]*record)
	}
	if len(r.records) >= maxRecords {
		r.evict()
	}
	rec := &record{}
	r.records[f] = rec
	return rec
}

// insert adds a loss, in place of the oldest one if there are maxLosses. It returns false if all of them
// are newer.
func (rec *record) insert(l knownLoss) bool {
	if len(rec.losses) < maxLosses {
		rec.losses = append(rec.losses, l)
		return true
	}
	oldest := 0
	for i := range rec.losses {
		if rec.losses[i].At.Before(rec.losses[oldest].At) {
			oldest = i
		}
	}
	if !rec.losses[oldest].At.Before(l.At) {
		return false
	}
	rec.losses[oldest] = l
	return true
}

// evict drops a record without losses, or else the oldest one with a single loss, or else the oldest one.
func (r *Tracker) evict() {
	var oldest Fingerprint
	var best *record
	for f, rec := range r.records {
		if len(rec.losses) == 0 {
			delete(r.records, f)
			return
		}
		if best == nil || rec.goesBefore(best) {
			oldest, best = f, rec
		}
	}
	delete(r.records, oldest)
}

// goesBefore reports whether rec is dropped before other. Both have losses.
func (rec *record) goesBefore(other *record) bool {
	if several := len(rec.losses) > 1; several != (len(other.losses) > 1) {
		return !several
	}
	return rec.losses[0].At.Before(other.losses[0].At)
}

// Losses returns losses that count at now, to report them to another VM: all of them, or those of which this
// VM has learned recently. There are at most MaxReported, or maxRecent recent ones. Those of requests that
// have lost several servers come first, then the newest.
func (r *Tracker) Losses(all bool, now time.Time) []Loss {
	r.mu.Lock()
	defer r.mu.Unlock()
	limit := maxRecent
	switch {
	case all:
		limit = MaxReported
	case now.Sub(r.lastLearned) > recentTime:
		return nil
	}
	var several, single []Loss
	for f, rec := range r.records {
		if r.verdict(f, now) == Allowed || rec.isGroup {
			continue
		}
		for _, l := range rec.losses {
			if !all && now.Sub(l.learned) > recentTime {
				continue
			}
			l.GroupSafe = r.isSafe(l.Group)
			if len(rec.losses) > 1 {
				several = append(several, l.Loss)
			} else {
				single = append(single, l.Loss)
			}
		}
	}
	for _, list := range [][]Loss{several, single} {
		slices.SortFunc(list, func(a, b Loss) int {
			return cmp.Or(b.At.Compare(a.At), cmp.Compare(a.Fingerprint, b.Fingerprint))
		})
	}
	out := append(several, single...)
	return out[:min(len(out), limit)]
}
