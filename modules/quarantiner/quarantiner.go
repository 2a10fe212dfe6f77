// Package quarantiner bounds the number of backend servers that one request can crash. A request
// that was running when a server was lost is a suspect; a suspect that loses another server is
// blocked. A request that has ever had a complete reply is known to be safe and never a suspect, so
// that requests which happened to run beside the one that caused a crash are not blocked.
package quarantiner

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint identifies a request by its service and its body.
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
	// duplicateWindow is the longest time between two reports of the same loss. No server restarts
	// in less, so that reports further apart are of different losses.
	duplicateWindow = 100 * time.Millisecond
	// defaultRetention is the time for which a loss counts.
	defaultRetention = 10 * time.Minute
	// maxRecords limits the number of fingerprints with losses.
	maxRecords = 4096
	// maxSafe is the number of safe fingerprints at which the older half is dropped.
	maxSafe = 1 << 16
)

type record struct {
	losses []Loss
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
	// safe and olderSafe hold the fingerprints known to be safe. A full safe replaces olderSafe.
	safe, olderSafe map[Fingerprint]struct{}
}

// MarkSafe records that f had a complete reply.
func (r *Tracker) MarkSafe(f Fingerprint) {
	r.mu.Lock()
	defer r.mu.Unlock()
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
	rec.losses = slices.DeleteFunc(rec.losses, func(l Loss) bool { return now.Sub(l.At) > keep })
	switch len(rec.losses) {
	case 0:
		if !rec.running {
			delete(r.records, f)
		}
		return Allowed
	case 1:
		return Suspect
	}
	return Blocked
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

// Report records a loss seen by this VM or reported by another one. It returns true if the loss is new.
func (r *Tracker) Report(l Loss) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isSafe(l.Fingerprint) {
		return false
	}
	if r.records == nil {
		r.records = make(map[Fingerprint]*record)
	}
	rec := r.records[l.Fingerprint]
	if rec == nil {
		if len(r.records) >= maxRecords {
			r.evict()
		}
		rec = &record{}
		r.records[l.Fingerprint] = rec
	}
	for _, known := range rec.losses {
		if known.Server == l.Server && l.At.Sub(known.At).Abs() < duplicateWindow {
			return false
		}
	}
	if len(rec.losses) >= blockAfter {
		return false
	}
	rec.losses = append(rec.losses, l)
	return true
}

// evict drops a record without losses, or else the one with the oldest first loss.
func (r *Tracker) evict() {
	var oldest Fingerprint
	var at time.Time
	for f, rec := range r.records {
		if len(rec.losses) == 0 {
			delete(r.records, f)
			return
		}
		if first := rec.losses[0].At; at.IsZero() || first.Before(at) {
			oldest, at = f, first
		}
	}
	delete(r.records, oldest)
}

// Losses returns all losses that count at now, oldest first.
func (r *Tracker) Losses(now time.Time) []Loss {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Loss
	for f := range r.records {
		if r.verdict(f, now) != Allowed {
			out = append(out, r.records[f].losses...)
		}
	}
	slices.SortFunc(out, func(a, b Loss) int { return a.At.Compare(b.At) })
	return out
}
