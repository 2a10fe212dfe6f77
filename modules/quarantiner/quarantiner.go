// Package quarantiner bounds the backend servers that one request can crash. A request
// whose run lost a server is a suspect; a suspect that loses another server is barred.
// A request that has ever had a whole reply is proven and never a suspect, so that those
// that were running beside a crash are not blamed.
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

// Loss is one server lost while it ran a request.
type Loss struct {
	Fingerprint Fingerprint
	// Server is the ID of the server.
	Server string
	At     time.Time
}

// Verdict says how a request may be run.
type Verdict int

const (
	// Allowed puts no bound on the request.
	Allowed Verdict = iota
	// Suspect allows one run at a time on one server.
	Suspect
	// Blocked allows no run.
	Blocked
)

const (
	// barAfter is the number of servers lost after which a request is barred.
	barAfter = 2
	// sameLoss is the time between two reports of one loss at most. No server starts again
	// in less, so that reports further apart are of different losses.
	sameLoss = 100 * time.Millisecond
	// defaultKeep is the time for which a loss counts.
	defaultKeep = 10 * time.Minute
	// maxRecords limits the fingerprints kept.
	maxRecords = 4096
	// maxProven is the number of proven fingerprints after which the older half is dropped.
	maxProven = 1 << 16
)

type record struct {
	losses []Loss
	// running is true while a suspect's single run is under way.
	running bool
}

// Tracker keeps the losses. The zero value is ready for use.
type Tracker struct {
	// Retention is the time for which a loss counts; 0 means 10 minutes.
	Retention time.Duration

	mu sync.Mutex
	// records never holds more than maxRecords entries.
	records map[Fingerprint]*record
	// proven and older hold the proven fingerprints; older is dropped when proven is full.
	proven, older map[Fingerprint]struct{}
}

// Prove takes in that f had a whole reply.
func (r *Tracker) Prove(f Fingerprint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.proven[f]; ok {
		return
	}
	if len(r.proven) >= maxProven/2 || r.proven == nil {
		r.older = r.proven
		r.proven = make(map[Fingerprint]struct{})
	}
	r.proven[f] = struct{}{}
	delete(r.records, f)
}

// Proven reports whether f is known to have had a whole reply.
func (r *Tracker) Proven(f Fingerprint) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.isProven(f)
}

func (r *Tracker) isProven(f Fingerprint) bool {
	if _, ok := r.proven[f]; ok {
		return true
	}
	_, ok := r.older[f]
	return ok
}

// Verdict returns how f may be run.
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
	keep := cmp.Or(r.Retention, defaultKeep)
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

// Begin takes the single run of a suspect. It returns false when the run is taken or
// the request is barred.
func (r *Tracker) Begin(f Fingerprint, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.verdict(f, now) != Suspect || r.records[f].running {
		return false
	}
	r.records[f].running = true
	return true
}

// End gives the single run of a suspect back.
func (r *Tracker) End(f Fingerprint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if rec := r.records[f]; rec != nil {
		rec.running = false
	}
}

// Report takes in a loss, own or heard from another VM. It returns true when the loss is new.
func (r *Tracker) Report(l Loss) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isProven(l.Fingerprint) {
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
		if known.Server == l.Server && l.At.Sub(known.At).Abs() < sameLoss {
			return false
		}
	}
	if len(rec.losses) >= barAfter {
		return false
	}
	rec.losses = append(rec.losses, l)
	return true
}

// evict drops the record with the oldest first loss.
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

// Losses returns all losses that count at now.
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
