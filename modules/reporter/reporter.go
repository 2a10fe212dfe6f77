// Package reporter shares observations of replicas among VMs: each VM tallies its own runs, and a
// reader (a VM that collects the tallies of all VMs) returns verdicts on the unhealthy replicas.
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
	// tallyHalfLife is the half-life of observed runs in a tally.
	tallyHalfLife = time.Second
	// minRuns is the number of runs below which there is no verdict.
	minRuns = 4
	// minFailureRate is the failure rate, and minLatencyRatio the multiple of the service's mean
	// time, from which on a replica is unhealthy.
	minFailureRate  = 0.25
	minLatencyRatio = 2.5
	// maxRunRatio bounds the latency ratio that a single run contributes.
	maxRunRatio = 20
	// MaxEntries is the largest number of tallies or verdicts in a message, worst first.
	MaxEntries = 128
	// verdictTTL is the time for which a verdict holds unless it is received again.
	verdictTTL = 1500 * time.Millisecond
	// pruneRuns is the number of runs below which a tally is dropped.
	pruneRuns = 0.05
)

// Tally sums up the observed runs at one replica.
type Tally struct {
	// Replica is the hash of its key, see Hash.
	Replica uint64
	// Served and Failed are the numbers of served and failed runs, with older runs decayed.
	Served, Failed float64
	// RelativeTime is the sum of the durations of the served runs as multiples of the service's mean.
	RelativeTime float64
}

// Verdict is the joint assessment of an unhealthy replica by all VMs.
type Verdict struct {
	Replica uint64
	// FailureRate is the share of its runs that fail.
	FailureRate float64
	// LatencyRatio is its mean time as a multiple of its service's mean, at least 1.
	LatencyRatio float64
}

// Hash returns the hash that identifies a replica in messages between VMs.
func Hash(key string) uint64 {
	return xxhash.Sum64String(key)
}

func (t *Tally) runs() float64 {
	return t.Served + t.Failed
}

// verdict returns the verdict on a replica; ok is false if it is healthy or has too few runs.
func (t *Tally) verdict() (v Verdict, ok bool) {
	if t.runs() < minRuns {
		return v, false
	}
	v = t.rates()
	return v, v.FailureRate >= minFailureRate || v.LatencyRatio >= minLatencyRatio
}

func (t *Tally) rates() Verdict {
	v := Verdict{Replica: t.Replica, FailureRate: t.Failed / t.runs(), LatencyRatio: 1}
	if t.Served > 0 {
		v.LatencyRatio = max(t.RelativeTime/t.Served, 1)
	}
	return v
}

// severity is the sort key of tallies and verdicts.
func (v Verdict) severity() float64 {
	return v.FailureRate + v.LatencyRatio/maxRunRatio
}

// agedTally is a Tally that is decayed to a point in time.
type agedTally struct {
	Tally
	at time.Time
}

// decay reduces the weight of the recorded runs by their age.
func (e *agedTally) decay(now time.Time) {
	f := math.Exp2(-float64(max(now.Sub(e.at), 0)) / float64(tallyHalfLife))
	e.Served, e.Failed, e.RelativeTime, e.at = e.Served*f, e.Failed*f, e.RelativeTime*f, now
}

// Aggregate adds up tallies. The zero value is ready for use. It is safe for concurrent use.
type Aggregate struct {
	mu      sync.Mutex
	entries map[uint64]*agedTally
}

// Add adds a tally.
func (b *Aggregate) Add(t Tally, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.entries == nil {
		b.entries = make(map[uint64]*agedTally)
	}
	e := b.entries[t.Replica]
	if e == nil {
		e = &agedTally{Tally: Tally{Replica: t.Replica}, at: now}
		b.entries[t.Replica] = e
	}
	e.decay(now)
	e.Served += t.Served
	e.Failed += t.Failed
	e.RelativeTime += t.RelativeTime
}

// Record adds one run of this VM; ratio is its time as a multiple of the service's mean.
func (b *Aggregate) Record(replica uint64, served bool, ratio float64, now time.Time) {
	t := Tally{Replica: replica, Failed: 1}
	if served {
		t = Tally{Replica: replica, Served: 1, RelativeTime: min(ratio, maxRunRatio)}
	}
	b.Add(t, now)
}

// Verdicts returns the verdicts on the unhealthy replicas, worst first and at most MaxEntries.
func (b *Aggregate) Verdicts(now time.Time) []Verdict {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []Verdict
	for key, e := range b.entries {
		e.decay(now)
		if v, ok := e.verdict(); ok {
			out = append(out, v)
		} else if e.runs() < pruneRuns {
			delete(b.entries, key)
		}
	}
	slices.SortFunc(out, func(a, b Verdict) int {
		return cmp.Or(cmp.Compare(b.severity(), a.severity()), cmp.Compare(a.Replica, b.Replica))
	})
	return out[:min(len(out), MaxEntries)]
}

// Drain removes all tallies and returns the worst MaxEntries of them, worst first. Tallies without
// failures are included: otherwise a replica that loses one run in fifty would look as bad to the
// other VMs as it did to the ones that saw the failure.
func (b *Aggregate) Drain(now time.Time) []Tally {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make([]Tally, 0, len(b.entries))
	for _, e := range b.entries {
		if e.decay(now); e.runs() >= pruneRuns {
			out = append(out, e.Tally)
		}
	}
	clear(b.entries)
	slices.SortFunc(out, func(a, b Tally) int {
		return cmp.Or(cmp.Compare(b.rates().severity(), a.rates().severity()), cmp.Compare(a.Replica, b.Replica))
	})
	return out[:min(len(out), MaxEntries)]
}

// Evidence holds the tallies and verdicts of one VM, and the replicas that leave. The zero value is ready for use.
type Evidence struct {
	VerdictCache
	Leavers
	// unsent holds the runs that this VM has not reported yet, combined all its own runs and those
	// reported by other VMs.
	unsent, combined Aggregate
}

// Record adds one run of this VM; ratio is its time as a multiple of the service's mean.
func (e *Evidence) Record(replica uint64, served bool, ratio float64, now time.Time) {
	e.unsent.Record(replica, served, ratio, now)
	e.combined.Record(replica, served, ratio, now)
}

// DrainTallies returns the tallies of this VM since the last call and removes them.
func (e *Evidence) DrainTallies(now time.Time) []Tally {
	return e.unsent.Drain(now)
}

// Merge adds the tallies of another VM.
func (e *Evidence) Merge(list []Tally, now time.Time) {
	for _, t := range list {
		e.combined.Add(t, now)
	}
}

// Evaluate returns the verdicts that follow from the tallies of this and other VMs, and adds them to
// its own VerdictCache.
func (e *Evidence) Evaluate(now time.Time) []Verdict {
	list := e.combined.Verdicts(now)
	e.Update(list, now)
	return list
}

// VerdictCache holds the verdicts that this VM has received. The zero value is ready for use.
type VerdictCache struct {
	// OnChange, if not nil, is called for each new verdict and for each that has ended. It must be
	// set before the first use.
	OnChange func(v Verdict, ended bool)

	mu       sync.RWMutex
	verdicts map[uint64]cachedVerdict
}

type cachedVerdict struct {
	Verdict
	at time.Time
}

// Update adds the verdicts in list, drops expired ones and calls OnChange.
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
		k.verdicts = make(map[uint64]cachedVerdict)
	}
	for _, v := range list {
		if _, ok := k.verdicts[v.Replica]; !ok {
			begun = append(begun, v)
		}
		k.verdicts[v.Replica] = cachedVerdict{v, now}
	}
	for key, v := range k.verdicts {
		if now.Sub(v.at) > verdictTTL {
			ended = append(ended, v.Verdict)
			delete(k.verdicts, key)
		}
	}
	return begun, ended
}

// VerdictFor returns the verdict on a replica. A replica without a verdict is reported as healthy.
func (k *VerdictCache) VerdictFor(replica uint64, now time.Time) Verdict {
	k.mu.RLock()
	defer k.mu.RUnlock()
	if v, ok := k.verdicts[replica]; ok && now.Sub(v.at) <= verdictTTL {
		return v.Verdict
	}
	return Verdict{Replica: replica, LatencyRatio: 1}
}
