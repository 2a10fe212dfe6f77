// Package reporter shares what VMs see of replicas: each VM tallies its own runs, a reader adds
// the tallies of all VMs up and gives its verdict on the replicas that do badly.
package reporter

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// halfLife is that of what was seen.
	halfLife = time.Second
	// leastRuns is the number of runs without which there is no verdict.
	leastRuns = 4
	// badShare is the share of failures, and slowRatio the multiple of the service's mean time,
	// from which on a replica does badly.
	badShare  = 0.25
	slowRatio = 2.5
	// mostRatio bounds what a single slow run weighs.
	mostRatio = 20
	// MaxEntries is the number of tallies or verdicts in one message, the worst first.
	MaxEntries = 128
	// validFor is the time for which a verdict holds unless it is told again.
	validFor = 1500 * time.Millisecond
	// forgetRuns is the number of runs below which a tally is dropped.
	forgetRuns = 0.05
)

// Tally is what was seen of one replica.
type Tally struct {
	// Replica is the hash of its key, see Hash.
	Replica uint64
	// Served and Failed are the numbers of runs that were served and that failed, older ones for less.
	Served, Failed float64
	// RelativeTime is the sum over the served runs of their time as a multiple of the service's mean.
	RelativeTime float64
}

// Verdict is the belief of all VMs about a replica that does badly.
type Verdict struct {
	Replica uint64
	// FailureRate is the share of its runs that fail.
	FailureRate float64
	// LatencyRatio is its mean time as a multiple of its service's, at least 1.
	LatencyRatio float64
}

// Hash is the hash by which VMs name a replica.
func Hash(key string) uint64 {
	return xxhash.Sum64String(key)
}

func (t *Tally) runs() float64 {
	return t.Served + t.Failed
}

// verdict returns the verdict on a replica; ok is false if it does well, or little is known.
func (t *Tally) verdict() (v Verdict, ok bool) {
	if t.runs() < leastRuns {
		return v, false
	}
	v = t.shares()
	return v, v.FailureRate >= badShare || v.LatencyRatio >= slowRatio
}

func (t *Tally) shares() Verdict {
	v := Verdict{Replica: t.Replica, FailureRate: t.Failed / t.runs(), LatencyRatio: 1}
	if t.Served > 0 {
		v.LatencyRatio = max(t.RelativeTime/t.Served, 1)
	}
	return v
}

// badness orders tallies and verdicts.
func (v Verdict) badness() float64 {
	return v.FailureRate + v.LatencyRatio/mostRatio
}

// entry is a Tally at a time.
type entry struct {
	Tally
	at time.Time
}

// age makes what was seen before weigh less.
func (e *entry) age(now time.Time) {
	f := math.Exp2(-float64(max(now.Sub(e.at), 0)) / float64(halfLife))
	e.Served, e.Failed, e.RelativeTime, e.at = e.Served*f, e.Failed*f, e.RelativeTime*f, now
}

// Aggregate adds up tallies. The zero value is ready for use.
type Aggregate struct {
	mu      sync.Mutex
	entries map[uint64]*entry
}

// Add takes in a tally.
func (b *Aggregate) Add(t Tally, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.entries == nil {
		b.entries = make(map[uint64]*entry)
	}
	e := b.entries[t.Replica]
	if e == nil {
		e = &entry{Tally: Tally{Replica: t.Replica}, at: now}
		b.entries[t.Replica] = e
	}
	e.age(now)
	e.Served += t.Served
	e.Failed += t.Failed
	e.RelativeTime += t.RelativeTime
}

// Record takes in one run of this VM; ratio is its time as a multiple of the service's mean.
func (b *Aggregate) Record(replica uint64, served bool, ratio float64, now time.Time) {
	t := Tally{Replica: replica, Failed: 1}
	if served {
		t = Tally{Replica: replica, Served: 1, RelativeTime: min(ratio, mostRatio)}
	}
	b.Add(t, now)
}

// Verdicts returns those on all replicas that do badly, the worst first.
func (b *Aggregate) Verdicts(now time.Time) []Verdict {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []Verdict
	for key, e := range b.entries {
		e.age(now)
		if v, ok := e.verdict(); ok {
			out = append(out, v)
		} else if e.runs() < forgetRuns {
			delete(b.entries, key)
		}
	}
	slices.SortFunc(out, func(a, b Verdict) int {
		return cmp.Or(cmp.Compare(b.badness(), a.badness()), cmp.Compare(a.Replica, b.Replica))
	})
	return out[:min(len(out), MaxEntries)]
}

// Drain removes and returns all tallies, the worst first. Good ones are told as well, or a replica
// that loses one run in fifty would look as bad to the others as it did to the VMs that saw it.
func (b *Aggregate) Drain(now time.Time) []Tally {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make([]Tally, 0, len(b.entries))
	for _, e := range b.entries {
		if e.age(now); e.runs() >= forgetRuns {
			out = append(out, e.Tally)
		}
	}
	clear(b.entries)
	slices.SortFunc(out, func(a, b Tally) int {
		return cmp.Or(cmp.Compare(b.shares().badness(), a.shares().badness()), cmp.Compare(a.Replica, b.Replica))
	})
	return out[:min(len(out), MaxEntries)]
}

// Evidence is all that one VM holds of it. The zero value is ready for use.
type Evidence struct {
	VerdictCache
	// own is what this VM has seen and not told yet, all what it has seen and was told of.
	own, all Aggregate
}

// Run takes in one run of this VM; ratio is its time as a multiple of the service's mean.
func (e *Evidence) Run(replica uint64, served bool, ratio float64, now time.Time) {
	e.own.Record(replica, served, ratio, now)
	e.all.Record(replica, served, ratio, now)
}

// DrainTallies removes and returns what this VM has seen since the last call.
func (e *Evidence) DrainTallies(now time.Time) []Tally {
	return e.own.Drain(now)
}

// Merge takes in what another VM has seen.
func (e *Evidence) Merge(list []Tally, now time.Time) {
	for _, t := range list {
		e.all.Add(t, now)
	}
}

// Evaluate returns the verdicts on what this VM has seen and heard, and takes them in itself.
func (e *Evidence) Evaluate(now time.Time) []Verdict {
	list := e.all.Verdicts(now)
	e.Update(list, now)
	return list
}

// VerdictCache holds the verdicts that this VM was told of. The zero value is ready for use.
type VerdictCache struct {
	// OnChange is told of each verdict that begins, and of each that has ended; nil for nobody. It is
	// set before use.
	OnChange func(v Verdict, ended bool)

	mu       sync.RWMutex
	verdicts map[uint64]known
}

type known struct {
	Verdict
	at time.Time
}

// Update takes in verdicts.
func (k *VerdictCache) Update(list []Verdict, now time.Time) {
	begun, ended := k.update(list, now)
	if k.OnChange == nil {
		return
	}
	for _, v := range ended {
		k.OnChange(v, true)
	}
	for _, v := range begun {
		k.OnChange(v, false)
	}
}

func (k *VerdictCache) update(list []Verdict, now time.Time) (begun, ended []Verdict) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.verdicts == nil {
		k.verdicts = make(map[uint64]known)
	}
	for _, v := range list {
		if _, ok := k.verdicts[v.Replica]; !ok {
			begun = append(begun, v)
		}
		k.verdicts[v.Replica] = known{v, now}
	}
	for key, v := range k.verdicts {
		if now.Sub(v.at) > validFor {
			ended = append(ended, v.Verdict)
			delete(k.verdicts, key)
		}
	}
	return begun, ended
}

// Of returns the verdict on a replica; one on which there is none does well.
func (k *VerdictCache) Of(replica uint64, now time.Time) Verdict {
	k.mu.RLock()
	defer k.mu.RUnlock()
	if v, ok := k.verdicts[replica]; ok && now.Sub(v.at) <= validFor {
		return v.Verdict
	}
	return Verdict{Replica: replica, LatencyRatio: 1}
}
