// Package quarantiner bounds the number of backend servers that one request can crash. A request
// that was running when a server was lost is a suspect; a suspect that loses another server is
// blocked.
//
// A complete reply shows that the software that gave it runs the request without harm. It clears the
// request of the earlier losses of that software, and for a time one more loss is needed to block it
// there. It says nothing about other software, and does not outweigh losses that follow.
//
// Not every request that runs on a server that is lost is to blame:
//   - Runs that overlap in time count as one loss, as they may have ended for the same reason.
//   - A loss of a server that a blocked request was running on counts against no other request.
//
// Requests that differ only in what says who sent them form a group. A reply to one request of a
// group clears no other one of losses, but one more loss is needed to block it.
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

// Software identifies the software that runs a request.
type Software struct {
	Service string
	// Version is that of the software or the data of the service's servers. It may be empty.
	Version string
}

// Loss is the loss of a server while it ran a request.
type Loss struct {
	Fingerprint Fingerprint
	// Group identifies the group of the request; 0 if it has none.
	Group    Fingerprint
	Software Software
	// Server is the ID of the server.
	Server string
	// Began is the time at which the run began. It is not after At; zero means At.
	Began time.Time
	At    time.Time
	// Inexact is true if the loss may have happened at any time before At. All its times are then earlier by as much.
	Inexact bool
	// Answered is the last time up to At at which the software is known to have replied to the request,
	// and GroupAnswered that for any request of the group. They are zero if there is none.
	Answered, GroupAnswered time.Time
}

// MovedTo returns the loss with all its times moved so that it happened at the given time. It serves
// to convert the times of another VM's clock.
func (l Loss) MovedTo(at time.Time) Loss {
	for _, t := range []*time.Time{&l.Began, &l.Answered, &l.GroupAnswered} {
		if !t.IsZero() {
			*t = at.Add(t.Sub(l.At))
		}
	}
	l.At = at
	return l
}

// Answer is a complete reply to a request.
type Answer struct {
	Fingerprint Fingerprint
	// Group identifies the group of the request; 0 if it has none.
	Group    Fingerprint
	Software Software
	At       time.Time
}

// Verdict says whether and how a request may run.
type Verdict int

const (
	// Allowed sets no restriction.
	Allowed Verdict = iota
	// Suspect means that one more loss blocks the request.
	Suspect
	// Blocked allows no run.
	Blocked
)

// String returns the name of the verdict, as used in logs.
func (v Verdict) String() string {
	return [...]string{"allowed", "suspect", "blocked"}[v]
}

const (
	// blockAfter is the number of losses after which a request is blocked.
	blockAfter = 2
	// blockGroupAfter is the number of requests of a group that must each have lost another server
	// before the whole group is blocked. It covers a request with a header field that differs in each
	// attempt.
	blockGroupAfter = 3
	// provenExtra is the number of losses needed in addition if the software has replied to the request
	// or to another one of its group. Such a request probably ran beside the one to blame.
	provenExtra = 1
	// maxLosses limits the losses that are kept of a request or group. There are more of them than
	// needed to block it, as some overlap or are of other software.
	maxLosses = 8
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
	// DefaultRetention is the time for which a loss counts.
	DefaultRetention = 10 * time.Minute
	// maxRecords limits the number of fingerprints with losses.
	maxRecords = 4096
)

// Tracker records losses, and which software has replied to which requests. The zero value is ready
// for use. It is safe for concurrent use.
type Tracker struct {
	// Retention is the time for which a loss counts; 0 means 10 minutes.
	Retention time.Duration

	mu sync.Mutex
	// records never holds more than maxRecords entries.
	records map[Fingerprint]*record
	// lastLearned is the last time at which a loss became known.
	lastLearned time.Time
	// proofs holds the replies to requests and, under the fingerprint of the group, to any request of
	// a group.
	proofs proofTable
	// blamed holds the losses by server for which a blocked request is to blame.
	blamed map[string]blame
	// excused holds the requests that were cleared of losses for which another one is to blame, until a reply to
	// them, with the times of the losses. Another VM may not have cleared them.
	excused map[Fingerprint]time.Time
}

func (r *Tracker) retention() time.Duration {
	return cmp.Or(r.Retention, DefaultRetention)
}

// MarkAnswered records a complete reply to a request. It returns true if the other VMs should learn of
// it: if it clears a request that was a suspect here, or may still be one there.
func (r *Tracker) MarkAnswered(a Answer) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	suspect := r.verdict(a.Fingerprint, a.Software, a.At) != Allowed
	_, excused := r.excused[a.Fingerprint]
	delete(r.excused, a.Fingerprint)
	r.prove(a.Group, a.Software, a.At)
	return r.prove(a.Fingerprint, a.Software, a.At) && suspect || excused
}

// prove records that the software replied to f, and drops the earlier losses there. It returns true if
// there were any. It does nothing if f or at is zero.
func (r *Tracker) prove(f Fingerprint, t Software, at time.Time) bool {
	if f == 0 || at.IsZero() {
		return false
	}
	r.proofs.set(f, t, at)
	return r.drop(f, func(l knownLoss) bool {
		cleared := l.Software == t && !l.At.After(at)
		if cleared && r.blamed[l.Server].by == f {
			delete(r.blamed, l.Server)
		}
		return cleared
	})
}

// drop removes the losses of f for which remove returns true. It returns true if there were any.
func (r *Tracker) drop(f Fingerprint, remove func(knownLoss) bool) bool {
	rec := r.records[f]
	if rec == nil {
		return false
	}
	before := len(rec.losses)
	rec.losses = slices.DeleteFunc(rec.losses, remove)
	if len(rec.losses) == 0 && !rec.running {
		delete(r.records, f)
	}
	return len(rec.losses) < before
}

// LastAnswer returns the last time at which the software is known to have replied to f, rounded down to
// a second; zero if there is none. Replies long ago may be forgotten.
func (r *Tracker) LastAnswer(f Fingerprint, t Software) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.proofs.last(f, t)
}

// Proven reports whether the software has replied to f recently enough that f is believed to be harmless
// there.
func (r *Tracker) Proven(f Fingerprint, t Software, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.proofs.holds(f, t, now)
}

// HasLosses reports whether any loss of one of these fingerprints is recorded. If not, all verdicts
// on them are Allowed.
func (r *Tracker) HasLosses(list ...Fingerprint) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.ContainsFunc(list, func(f Fingerprint) bool { return r.records[f] != nil })
}

// Verdict returns whether and how f may run on the software.
func (r *Tracker) Verdict(f Fingerprint, t Software, now time.Time) Verdict {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.verdict(f, t, now)
}

func (r *Tracker) verdict(f Fingerprint, t Software, now time.Time) Verdict {
	keep := r.retention()
	r.drop(f, func(l knownLoss) bool { return now.Sub(l.At) > keep })
	rec := r.records[f]
	if rec == nil || len(rec.losses) == 0 {
		return Allowed
	}
	proven := r.proofs.holds(f, t, now)
	limit := blockAfter
	if rec.isGroup {
		limit = blockGroupAfter
	}
	if proven || !rec.isGroup && r.proofs.holds(rec.losses[0].Group, t, now) {
		limit += provenExtra
	}
	// The losses of other software are no evidence against a request that this one has replied to.
	switch n := rec.count(func(l knownLoss) bool { return !proven || l.Software == t }); {
	case n >= limit:
		return Blocked
	case n == limit-1 && !rec.isGroup:
		return Suspect
	}
	return Allowed
}

// TryAcquire claims the only run of a suspect. It returns false if a run is in progress or the
// request is not a suspect.
func (r *Tracker) TryAcquire(f Fingerprint, t Software, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.verdict(f, t, now) != Suspect || r.records[f].running {
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
		r.drop(f, func(knownLoss) bool { return false })
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
	keep := r.retention()
	for _, l := range list {
		if now.Sub(l.At) <= keep {
			r.add(l, now, mergeWindow)
		}
	}
}

// add records a loss and returns true if it is new. Losses of the same server closer to each other than
// window, or with a time that isn't known to be another one, are the same one.
func (r *Tracker) add(l Loss, learned time.Time, window time.Duration) bool {
	if l.Began.IsZero() {
		l.Began = l.At
	}
	r.prove(l.Fingerprint, l.Software, l.Answered)
	r.prove(l.Group, l.Software, l.GroupAnswered)
	if !r.proofs.last(l.Fingerprint, l.Software).Before(l.At) {
		return false // the software has replied since
	}
	rec := r.record(l.Fingerprint)
	if i := rec.find(l, window); i >= 0 {
		rec.refine(i, l)
		return false
	}
	if !rec.insert(knownLoss{l, learned}) {
		return false
	}
	blocked := r.verdict(l.Fingerprint, l.Software, l.At) == Blocked
	if r.isBlamed(l) && !blocked {
		r.drop(l.Fingerprint, func(k knownLoss) bool { return k.Server == l.Server && k.At.Equal(l.At) })
		r.excuse(l.Fingerprint, l.At)
		return false
	}
	if learned.After(r.lastLearned) {
		r.lastLearned = learned
	}
	r.addToGroup(l, learned, window)
	if blocked {
		r.blameFor(l, rec.losses)
	}
	return true
}

// addToGroup records a loss for the group of its request, unless the group has one of the same request
// or server, or a reply since.
func (r *Tracker) addToGroup(l Loss, learned time.Time, window time.Duration) {
	if l.Group == 0 || !r.proofs.last(l.Group, l.Software).Before(l.At) {
		return
	}
	group := r.record(l.Group)
	group.isGroup = true
	if group.find(l, window) < 0 && !slices.ContainsFunc(group.losses, func(k knownLoss) bool { return k.Fingerprint == l.Fingerprint }) {
		group.insert(knownLoss{l, learned})
	}
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

// LossesOf returns the losses of f that count at now, in the order of their times.
func (r *Tracker) LossesOf(f Fingerprint, now time.Time) []Loss {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec := r.records[f]
	if rec == nil {
		return nil
	}
	return r.appendReports(nil, rec, func(l knownLoss) bool { return now.Sub(l.At) <= r.retention() })
}

// appendReports appends the losses of rec that report selects to out, with the last replies known.
func (r *Tracker) appendReports(out []Loss, rec *record, report func(knownLoss) bool) []Loss {
	for _, l := range rec.losses {
		if report(l) {
			l.Answered = r.proofs.upTo(l.Fingerprint, l.Software, l.At)
			l.GroupAnswered = r.proofs.upTo(l.Group, l.Software, l.At)
			out = append(out, l.Loss)
		}
	}
	return out
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
	keep := r.retention()
	var several, single []Loss
	for _, rec := range r.records {
		if rec.isGroup {
			continue
		}
		list := &single
		if len(rec.losses) > 1 {
			list = &several
		}
		*list = r.appendReports(*list, rec, func(l knownLoss) bool {
			return now.Sub(l.At) <= keep && (all || now.Sub(l.learned) <= recentTime)
		})
	}
	for _, list := range [][]Loss{several, single} {
		slices.SortFunc(list, func(a, b Loss) int {
			return cmp.Or(b.At.Compare(a.At), cmp.Compare(a.Fingerprint, b.Fingerprint))
		})
	}
	out := append(several, single...)
	return out[:min(len(out), limit)]
}
