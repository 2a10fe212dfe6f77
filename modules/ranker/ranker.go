// Package ranker judges replicas by the replies that they gave: how long the next request
// will take at each, and which of them look dead.
package ranker

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/ebonylock/ebonylock/modules/reporter"
)

const (
	// shards is the number of locks over the replicas.
	shards = 32
	// gain is the weight of a new run in the moving averages.
	gain = 0.2
	// fast is the share of the mean below which a run shows that the replica is no longer as
	// slow as believed; it has the weight fastGain.
	fast     = 0.5
	fastGain = 0.6
	// clip bounds one run's weight in the averages, as a multiple of the mean, so that a
	// single pause does not condemn a replica while a series of slow runs does.
	clip = 4
	// recovery is the half-life of a belief that a replica is slower than its service, and
	// failHalfLife that of the share of failures. Both are longer where runs are rare: the time
	// of memory runs, up to longest.
	recovery     = 1500 * time.Millisecond
	failHalfLife = 2 * time.Second
	memory       = 12
	longest      = 8 * time.Second
	// optimism is the share of the service's mean that this belief falls to, so that a replica
	// that was left is tried again.
	optimism = 0.8
	// failGain is the weight of a new run in the share of failures.
	failGain = 0.4
	// failCost is the cost of a certain failure, as a multiple of the target latency.
	failCost = 2
	// loadHalfLife is the half-life of the load that a replica told.
	loadHalfLife = 60 * time.Millisecond
	// firstEject and lastEject are the time without work after a sign of death; it doubles
	// with each further one.
	firstEject = 200 * time.Millisecond
	lastEject  = 1600 * time.Millisecond
	// maxDoublings bounds the growth of that time.
	maxDoublings = 8
	// doubt is the number of looks at a replica of which one leaves the verdict of other VMs aside.
	doubt = 32
	// shedShare is the share of a failure that a refusal counts for.
	shedShare = 0.5
	// deadAfter is the number of signs after which a replica counts as dead.
	deadAfter = 2
	// lastResort is added to the expectation of a replica that should get no work.
	lastResort = 10 * time.Second
	// unknown is the share of the target latency that work takes of which nothing is known.
	unknown = 0.15
	// overdueDeviations is the number of deviations above the mean after which a run is late.
	overdueDeviations = 3
	// leastDeviation bounds the deviation from below, as a share of the mean.
	leastDeviation = 0.25
)

// Outcome is how a run at a replica ended.
type Outcome int

// Outcomes of runs.
const (
	// Served is a whole reply.
	Served Outcome = iota
	// Failed is a reply that says so, or can't be used.
	Failed
	// Shed is a refusal for load.
	Shed
	// Unreachable is a connection that was refused or broke.
	Unreachable
	// NoReply is a run that was given up without a reply. It is a sign of death unless the
	// replica has replied to another request meanwhile.
	NoReply
	// Inconclusive says nothing about the replica.
	Inconclusive
)

// Load is what a replica told of its own load.
type Load struct {
	Running, Waiting, Slots int
}

// Workload is a kind of work. Runs of one kind take about the same time.
type Workload struct {
	Service string
	// TargetLatency is the target latency of the route.
	TargetLatency time.Duration
}

// Estimate is what to expect of a replica.
type Estimate struct {
	// Expected is the time until a reply, what waits and how sure it is included.
	Expected time.Duration
	// Mean and Deviation are those of the replica's runs; those of its service if it had none.
	Mean, Deviation time.Duration
	// ServiceMean is the mean of all runs of the service.
	ServiceMean time.Duration
	// Runs is the number of its runs that were measured, the last one at Seen.
	Runs    int
	LastRun time.Time
	// Running is the number of this VM's own runs under way.
	Running int
	// LastReply is the time of its last reply; zero if it gave none.
	LastReply time.Time
	// Suspect is true for a replica that gave a sign of death and no reply since.
	Suspect bool
	// Ejected is true while a suspect should get no work.
	Ejected bool
	// Dead is true for an ejected one with more than one sign.
	Dead bool
}

// Change is what the end of a run changes in the belief about a replica.
type Change int

// Changes of belief.
const (
	// NoChange changes nothing.
	NoChange Change = iota
	// Ejection leaves a replica for signs of death.
	Ejection
	// Readmission takes a replica back after a reply.
	Readmission
)

// String returns the change in kebab case.
func (c Change) String() string {
	return [...]string{"none", "ejected", "back"}[c]
}

// SharedEvidence is what other VMs have seen.
type SharedEvidence interface {
	// Run takes in a run of this VM; ratio is its time as a multiple of the service's mean.
	Run(replica uint64, served bool, ratio float64, now time.Time)
	// Of returns the verdict of all VMs on a replica.
	Of(replica uint64, now time.Time) reporter.Verdict
}

// Ranker holds the evidence. The zero value is ready for use.
type Ranker struct {
	// Shared is nil where nothing is shared. Its verdicts are heeded from SharedFrom on. Both are
	// set before use.
	Shared     SharedEvidence
	SharedFrom time.Time
	shards     [shards]shard
	// priors are the averages over all replicas of a service.
	priorMu sync.Mutex
	priors  map[Workload]*average
}

type shard struct {
	mu       sync.Mutex
	replicas map[string]*evidence
}

// evidence is about one replica.
type evidence struct {
	works map[Workload]*average
	// starts are the times at which the runs under way began, oldest first.
	starts []time.Time
	// fails is the moving share of failed runs at failedAt, from 0 to 1.
	fails    float64
	failedAt time.Time
	load     Load
	loadAt   time.Time
	// deaths counts the signs of death since the last reply, which came at replied.
	deaths  int
	replied time.Time
	// ejectedUntil is the time until which it should get no work.
	ejectedUntil time.Time
	used         time.Time
}

// average is a moving mean and mean deviation, in seconds.
type average struct {
	mean, deviation float64
	// gap is the moving mean of the time between two runs, in seconds.
	gap  float64
	at   time.Time
	runs int
}

func (a *average) add(v float64, now time.Time) {
	if a.runs > 0 {
		a.gap += gain * (now.Sub(a.at).Seconds() - a.gap)
	}
	a.at = now
	a.runs++
	if a.runs == 1 {
		a.mean, a.deviation = v, v/2
		return
	}
	v = min(v, clip*a.mean)
	// The first runs weigh more, so that the start does not linger.
	g := max(gain, 1/float64(a.runs))
	if v < fast*a.mean {
		g = max(g, fastGain)
	}
	a.deviation += g * (math.Abs(v-a.mean) - a.deviation)
	a.mean += g * (v - a.mean)
}

// halfLife is that of a belief about work of which a is the average over all replicas.
func (a *average) halfLife(least time.Duration) time.Duration {
	return max(least, min(seconds(memory*a.gap), longest))
}

func (r *Ranker) with(id string, f func(*evidence)) {
	s := &r.shards[xxhash.Sum64String(id)%shards]
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.replicas == nil {
		s.replicas = make(map[string]*evidence)
	}
	e := s.replicas[id]
	if e == nil {
		e = &evidence{works: make(map[Workload]*average)}
		s.replicas[id] = e
	}
	f(e)
}

func (r *Ranker) prior(w Workload) average {
	r.priorMu.Lock()
	defer r.priorMu.Unlock()
	if a := r.priors[w]; a != nil {
		return *a
	}
	v := unknown * w.TargetLatency.Seconds()
	return average{mean: v, deviation: v / 2}
}

func (r *Ranker) learn(w Workload, took float64, now time.Time) {
	r.priorMu.Lock()
	defer r.priorMu.Unlock()
	if r.priors == nil {
		r.priors = make(map[Workload]*average)
	}
	a := r.priors[w]
	if a == nil {
		a = &average{}
		r.priors[w] = a
	}
	a.add(took, now)
}

// Begin takes in the start of a run.
func (r *Ranker) Begin(id string, now time.Time) {
	r.with(id, func(e *evidence) {
		e.starts = append(e.starts, now)
		e.used = now
	})
}

// Result is the end of a run.
type Result struct {
	// Started is the time given to Begin.
	Started time.Time
	// Duration is the time from the sending of the request to its end; 0 if it was not sent.
	Duration time.Duration
	Outcome  Outcome
	// Load is nil when the replica told none.
	Load *Load
}

// End takes in the end of a run and returns what it changes.
func (r *Ranker) End(id string, w Workload, run Result, now time.Time) Change {
	took := run.Duration.Seconds()
	prior := r.prior(w)
	halfLife := prior.halfLife(failHalfLife)
	var change Change
	r.with(id, func(e *evidence) {
		e.end(run.Started)
		if run.Load != nil {
			e.load, e.loadAt = *run.Load, now
		}
		o := run.Outcome
		if o == NoReply {
			o = Unreachable
			if e.replied.After(run.Started) {
				o = Inconclusive
			}
		}
		change = e.judge(o, halfLife, now)
		if o == Served || (o == Inconclusive && took > e.work(w).mean) {
			e.work(w).add(took, now)
		}
	})
	if run.Outcome == Served {
		r.learn(w, took, now)
	}
	if r.Shared != nil && run.Outcome != Inconclusive && prior.mean > 0 {
		r.Shared.Run(reporter.Hash(id), run.Outcome == Served, took/prior.mean, now)
	}
	return change
}

func (e *evidence) work(w Workload) *average {
	a := e.works[w]
	if a == nil {
		a = &average{}
		e.works[w] = a
	}
	return a
}

func (e *evidence) end(began time.Time) {
	for i, t := range e.starts {
		if t.Equal(began) {
			e.starts = append(e.starts[:i], e.starts[i+1:]...)
			return
		}
	}
}

func (e *evidence) judge(o Outcome, halfLife time.Duration, now time.Time) Change {
	switch o {
	case Served:
		return e.reply(0, halfLife, now)
	case Failed:
		return e.reply(1, halfLife, now)
	case Shed:
		return e.reply(shedShare, halfLife, now)
	case Unreachable:
		e.fail(1, halfLife, now)
		if now.Before(e.ejectedUntil) {
			return NoChange
		}
		e.deaths++
		e.ejectedUntil = now.Add(min(firstEject<<min(e.deaths-1, maxDoublings), lastEject))
		return Ejection
	case Inconclusive, NoReply:
	}
	return NoChange
}

// reply takes in a reply that is a failure to the given share.
func (e *evidence) reply(failure float64, halfLife time.Duration, now time.Time) Change {
	change := NoChange
	if e.deaths > 0 {
		change = Readmission
	}
	e.deaths, e.replied = 0, now
	e.fail(failure, halfLife, now)
	return change
}

// fail takes in a run that failed to the given share.
func (e *evidence) fail(v float64, halfLife time.Duration, now time.Time) {
	e.fails = e.failing(halfLife, now)
	e.fails += failGain * (v - e.fails)
	e.failedAt = now
}

func (e *evidence) failing(halfLife time.Duration, now time.Time) float64 {
	return e.fails * decay(now.Sub(e.failedAt), halfLife)
}

func decay(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(max(age, 0)) / float64(halfLife))
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}

// Estimate returns what to expect of a replica with slots for work w.
func (r *Ranker) Estimate(id string, slots int, w Workload, now time.Time) Estimate {
	prior := r.prior(w)
	verdict := reporter.Verdict{LatencyRatio: 1}
	// Now and then the verdict is left aside, so that it ends when the replica is well.
	if r.Shared != nil && now.After(r.SharedFrom) && rand.IntN(doubt) > 0 {
		verdict = r.Shared.Of(reporter.Hash(id), now)
	}
	var out Estimate
	r.with(id, func(e *evidence) { out = e.estimate(prior, verdict, slots, w, now) })
	return out
}

func (e *evidence) estimate(prior average, verdict reporter.Verdict, slots int, w Workload, now time.Time) Estimate {
	mean, deviation := prior.mean, prior.deviation
	var out Estimate
	if a := e.works[w]; a != nil && a.runs > 0 {
		mean, deviation = a.mean, a.deviation
		out.Runs, out.LastRun = a.runs, a.at
		if hope := optimism * prior.mean; mean > hope {
			back := decay(now.Sub(a.at), prior.halfLife(recovery))
			mean = hope + (mean-hope)*back
			deviation = prior.deviation + (deviation-prior.deviation)*back
		}
	}
	if verdict.LatencyRatio > 1 {
		mean = max(mean, verdict.LatencyRatio*prior.mean)
	}
	deviation = max(deviation, leastDeviation*mean)
	waiting := float64(e.load.Waiting+max(e.load.Running-e.load.Slots+1, 0)) * decay(now.Sub(e.loadAt), loadHalfLife)
	waiting = max(waiting, float64(len(e.starts)-slots+1))
	expected := mean * (1 + max(waiting, 0)/float64(max(slots, 1)))
	expected += e.overdue(mean+overdueDeviations*deviation, now)
	expected += failCost * max(e.failing(prior.halfLife(failHalfLife), now), verdict.FailureRate) * w.TargetLatency.Seconds()
	out.Expected, out.Mean, out.Deviation = seconds(expected), seconds(mean), seconds(deviation)
	out.ServiceMean = seconds(prior.mean)
	out.LastReply = e.replied
	out.Running, out.Suspect = len(e.starts), e.deaths > 0
	// One run at a time tries whether a suspect is back.
	out.Ejected = e.deaths > 0 && (now.Before(e.ejectedUntil) || len(e.starts) > 0)
	if out.Ejected {
		out.Expected += lastResort
		out.Dead = e.deaths >= deadAfter
	}
	return out
}

// overdue is how long the oldest run under way has been late, in seconds. A run that is late
// for long is likely to stay so for as long again.
func (e *evidence) overdue(limit float64, now time.Time) float64 {
	if len(e.starts) == 0 {
		return 0
	}
	late := now.Sub(e.starts[0]).Seconds() - limit
	if late <= 0 {
		return 0
	}
	return limit + late
}

// Prune drops the evidence about replicas that were not used since before.
func (r *Ranker) Prune(before time.Time) {
	for i := range r.shards {
		s := &r.shards[i]
		s.mu.Lock()
		for id, e := range s.replicas {
			if len(e.starts) == 0 && e.used.Before(before) {
				delete(s.replicas, id)
			}
		}
		s.mu.Unlock()
	}
}
