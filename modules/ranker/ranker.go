// Package ranker estimates from past replies how long the next request will take at each
// replica, and ejects replicas that appear to be down (outlier ejection).
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
	// shardCount is the number of locks that the replicas are distributed over.
	shardCount = 32
	// ewmaWeight is the weight of a new run in the moving averages (EWMA).
	ewmaWeight = 0.2
	// improvedShare is the share of the mean below which a run shows that the replica has become
	// faster than estimated. Such a run has the weight improvedWeight.
	improvedShare  = 0.5
	improvedWeight = 0.6
	// maxSampleRatio bounds one sample in the averages, as a multiple of the mean. A single pause
	// then does not rule a replica out, while a series of slow runs does.
	maxSampleRatio = 4
	// slowHalfLife is the half-life of an estimate that a replica is slower than its service, and
	// failureHalfLife that of the failure rate. Where runs are rare, both are longer: the time in
	// which halfLifeRuns runs occur, up to maxHalfLife.
	slowHalfLife    = 1500 * time.Millisecond
	failureHalfLife = 2 * time.Second
	halfLifeRuns    = 12
	maxHalfLife     = 8 * time.Second
	// decayedMeanShare is the share of the service's mean that such an estimate decays to, so that
	// a replica that gets no requests is tried again.
	decayedMeanShare = 0.8
	// failureWeight is the weight of a new run in the failure rate.
	failureWeight = 0.4
	// failurePenalty is the cost of a failure rate of 1, as a multiple of the target latency.
	failurePenalty = 2
	// loadHalfLife is the half-life of the load that a replica reported. At a slow replica a queue
	// lasts longer: there it is the time of loadHalfLifeRuns runs.
	loadHalfLife     = 60 * time.Millisecond
	loadHalfLifeRuns = 2
	// minEjection and maxEjection bound the time for which an unreachable replica is ejected.
	// The time doubles with each further ejection until it replies.
	minEjection = 200 * time.Millisecond
	maxEjection = 1600 * time.Millisecond
	// maxDoublings bounds the exponent of that time, so that the shift can't overflow.
	maxDoublings = 8
	// ignoreVerdictEvery is the mean number of estimates of which one ignores the verdict of other
	// VMs. Without such probes a verdict would sustain itself after the replica has recovered.
	ignoreVerdictEvery = 32
	// shedFailure is the weight of a shed request in the failure rate, where a failed one counts as 1.
	shedFailure = 0.5
	// deadAfter is the number of ejections without a reply in between after which a replica counts as dead.
	deadAfter = 2
	// ejectedPenalty is added to the expected latency of an ejected replica, so that it is a last resort.
	ejectedPenalty = 10 * time.Second
	// deadPenalty is added besides if it is known to be down, so that one that is only silent is preferred.
	deadPenalty = time.Minute
	// initialMeanShare is the mean of a workload without samples, as a share of the target latency.
	initialMeanShare = 0.15
	// overdueDeviations is the number of deviations above the mean after which a run is overdue.
	overdueDeviations = 3
	// minDeviationShare is the lower bound of the deviation, as a share of the mean.
	minDeviationShare = 0.25
)

// Outcome is the result of a run at a replica.
type Outcome int

// Outcomes of runs.
const (
	// Served is a complete reply.
	Served Outcome = iota
	// Failed is a reply that reports a failure or is not usable.
	Failed
	// Shed is a refusal because of overload.
	Shed
	// Unreachable is a connection that was refused or lost, or a reply by another process at the
	// replica's address.
	Unreachable
	// NoReply is a run that was abandoned without a reply. It counts as Unreachable if the replica
	// has usually replied by then, and has not replied to another request since the run started.
	NoReply
	// Inconclusive says nothing about the replica.
	Inconclusive
)

// Load is the load that a replica reported.
type Load struct {
	Running, Waiting, Slots int
}

// Workload is a class of requests that take about the same time.
type Workload struct {
	Service string
	// TargetLatency is that of the route.
	TargetLatency time.Duration
}

// Estimate is what the next run at a replica is expected to be like.
type Estimate struct {
	// Expected is the expected time until a reply, with queued runs and the failure rate counted in.
	Expected time.Duration
	// Mean and Deviation are those of the replica's runs, or of its service if it had none.
	Mean, Deviation time.Duration
	// ServiceMean is the mean over all replicas of the service.
	ServiceMean time.Duration
	// Runs is the number of measured runs at the replica; the last one ended at LastRun.
	Runs    int
	LastRun time.Time
	// Running is the number of runs that this VM has in progress at the replica.
	Running int
	// Response is the mean time of the replica's runs over all workloads, the time in its queue
	// included; 0 if there were none.
	Response time.Duration
	// LeastDelay is the least time until the reply to another run, judged by how fast the replica has completed runs;
	// 0 unless this VM keeps all its slots in use.
	LeastDelay time.Duration
	// LastReply is the time of the replica's last reply; zero if there was none.
	LastReply time.Time
	// Suspect is true if the replica was unreachable and has not replied since.
	Suspect bool
	// Ejected is true while a suspect should get no requests.
	Ejected bool
	// Dead is true for an ejected replica that was ejected more than once without a reply in between.
	Dead bool
	// Silence is set if Dead is true for runs without a reply alone, with no connection refused or
	// lost: the replica may only be slow. It is the longest time for which a run has had no reply.
	Silence time.Duration
}

// Change is the change of a replica's state at the end of a run.
type Change int

// Changes of a replica's state.
const (
	// NoChange leaves the state as it is.
	NoChange Change = iota
	// Ejection takes an unreachable replica out of use.
	Ejection
	// Readmission ends the ejection after a reply.
	Readmission
)

// String returns the change in kebab case.
func (c Change) String() string {
	return [...]string{"none", "ejected", "back"}[c]
}

// SharedEvidence exchanges observations of replicas with other VMs.
type SharedEvidence interface {
	// Record adds a run of this VM; ratio is its time as a multiple of the service's mean.
	Record(replica uint64, served bool, ratio float64, now time.Time)
	// VerdictFor returns the joint verdict of all VMs on a replica.
	VerdictFor(replica uint64, now time.Time) reporter.Verdict
}

// Ranker holds the statistics of all replicas. The zero value is ready for use. It is safe for
// concurrent use.
type Ranker struct {
	// Shared is nil if no observations are shared. Its verdicts apply from SharedFrom on. Both must
	// be set before the first use.
	Shared     SharedEvidence
	SharedFrom time.Time
	shards     [shardCount]shard
	// priors are the averages of each workload over all replicas. priorMu guards them.
	priorMu sync.Mutex
	priors  map[Workload]*average
}

type shard struct {
	mu       sync.Mutex
	replicas map[string]*replicaStats
}

// replicaStats are the statistics of one replica.
type replicaStats struct {
	averages map[Workload]*average
	// responses is the average over all workloads.
	responses average
	// starts are the start times of the runs in progress, oldest first.
	starts     []time.Time
	throughput throughput
	// failureRate is the moving average of failures at failedAt, from 0 to 1.
	failureRate float64
	failedAt    time.Time
	load        Load
	loadAt      time.Time
	// ejections is the number of ejections since the last reply, which came at lastReply.
	ejections int
	lastReply time.Time
	// silence is the longest time for which a run got no reply since lastReply, if all ejections since
	// then were for such runs; otherwise it is 0.
	silence time.Duration
	// ejectedUntil is the end of the ejection.
	ejectedUntil time.Time
	lastUsed     time.Time
}

// average is a moving mean and mean deviation, in seconds.
type average struct {
	mean, deviation float64
	// interval is the moving mean of the time between two runs, in seconds.
	interval float64
	lastRun  time.Time
	runs     int
}

func (a *average) add(v float64, now time.Time) {
	if a.runs > 0 {
		a.interval += ewmaWeight * (now.Sub(a.lastRun).Seconds() - a.interval)
	}
	a.lastRun = now
	a.runs++
	if a.runs == 1 {
		a.mean, a.deviation = v, v/2
		return
	}
	v = min(v, maxSampleRatio*a.mean)
	// The first samples weigh more, so that the first one does not dominate the mean for long.
	g := max(ewmaWeight, 1/float64(a.runs))
	if v < improvedShare*a.mean {
		g = max(g, improvedWeight)
	}
	a.deviation += g * (math.Abs(v-a.mean) - a.deviation)
	a.mean += g * (v - a.mean)
}

// halfLife returns the half-life of an estimate for a workload of which a is the average over all
// replicas. It is at least least.
func (a *average) halfLife(least time.Duration) time.Duration {
	return max(least, min(seconds(halfLifeRuns*a.interval), maxHalfLife))
}

func (r *Ranker) withStats(id string, f func(*replicaStats)) {
	s := &r.shards[xxhash.Sum64String(id)%shardCount]
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.replicas == nil {
		s.replicas = make(map[string]*replicaStats)
	}
	e := s.replicas[id]
	if e == nil {
		e = &replicaStats{averages: make(map[Workload]*average)}
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
	v := initialMeanShare * w.TargetLatency.Seconds()
	return average{mean: v, deviation: v / 2}
}

func (r *Ranker) updatePrior(w Workload, took float64, now time.Time) {
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

// Begin records the start of a run at replica id, which has the given number of slots.
func (r *Ranker) Begin(id string, slots int, now time.Time) {
	r.withStats(id, func(e *replicaStats) {
		e.starts = append(e.starts, now)
		e.throughput.update(len(e.starts) >= slots, now)
		e.lastUsed = now
	})
}

// Result describes a run that has ended.
type Result struct {
	// Started is the time that was passed to Begin.
	Started time.Time
	// Duration is the time from sending the request to the end of the run; 0 if it was not sent.
	Duration time.Duration
	Outcome  Outcome
	// Slots is the number of slots of the replica.
	Slots int
	// Load is nil if the replica reported none.
	Load *Load
}

// End records the end of a run and returns the change of the replica's state.
func (r *Ranker) End(id string, w Workload, run Result, now time.Time) Change {
	took := run.Duration.Seconds()
	prior := r.prior(w)
	halfLife := prior.halfLife(failureHalfLife)
	var change Change
	r.withStats(id, func(e *replicaStats) {
		e.removeStart(run.Started)
		if run.Outcome == Served || run.Outcome == Failed {
			e.throughput.add(now)
		}
		e.throughput.update(len(e.starts) >= run.Slots, now)
		if run.Load != nil {
			e.load, e.loadAt = *run.Load, now
		}
		o := run.Outcome
		if o == NoReply {
			o = Unreachable
			if e.lastReply.After(run.Started) || now.Sub(run.Started) <= e.longestUsual(w, prior, run.Slots, now) {
				o = Inconclusive
			}
		}
		if o == Unreachable {
			e.recordSilence(run, now)
		}
		change = e.recordOutcome(o, halfLife, now)
		if o == Served || (o == Inconclusive && took > e.average(w).mean) {
			e.average(w).add(took, now)
			e.responses.add(took, now)
		}
	})
	if run.Outcome == Served {
		r.updatePrior(w, took, now)
	}
	if r.Shared != nil && run.Outcome != Inconclusive && prior.mean > 0 {
		r.Shared.Record(reporter.Hash(id), run.Outcome == Served, took/prior.mean, now)
	}
	return change
}

func (e *replicaStats) average(w Workload) *average {
	a := e.averages[w]
	if a == nil {
		a = &average{}
		e.averages[w] = a
	}
	return a
}

// recordSilence records whether a run that ends an attempt to reach the replica was only silent. It
// must be called before the ejection is counted.
func (e *replicaStats) recordSilence(run Result, now time.Time) {
	switch {
	case run.Outcome != NoReply:
		e.silence = 0
	case e.ejections == 0:
		e.silence = now.Sub(run.Started)
	case e.silence > 0:
		e.silence = max(e.silence, now.Sub(run.Started))
	}
}

// longestUsual returns the time within which the replica usually replies to a run of workload w, the
// runs that wait there included.
func (e *replicaStats) longestUsual(w Workload, prior average, slots int, now time.Time) time.Duration {
	mean, deviation := prior.mean, prior.deviation
	if a := e.averages[w]; a != nil && a.runs > 0 {
		mean, deviation = a.mean, a.deviation
	}
	deviation = max(deviation, minDeviationShare*mean)
	return seconds((mean + overdueDeviations*deviation) * e.queueFactor(mean, slots, now))
}

// queueFactor returns by how much the runs that wait at the replica lengthen another run, at least 1.
// It takes the load that the replica reported last or the runs of this VM, whichever is more. mean
// is the time of a run in seconds.
func (e *replicaStats) queueFactor(mean float64, slots int, now time.Time) float64 {
	reported := float64(e.load.Waiting + max(e.load.Running-e.load.Slots+1, 0))
	reported *= decay(now.Sub(e.loadAt), max(loadHalfLife, seconds(loadHalfLifeRuns*mean)))
	waiting := max(reported, float64(len(e.starts)-slots+1), 0)
	return 1 + waiting/float64(max(slots, 1))
}

func (e *replicaStats) removeStart(started time.Time) {
	for i, t := range e.starts {
		if t.Equal(started) {
			e.starts = append(e.starts[:i], e.starts[i+1:]...)
			return
		}
	}
}

func (e *replicaStats) recordOutcome(o Outcome, halfLife time.Duration, now time.Time) Change {
	switch o {
	case Served:
		return e.recordReply(0, halfLife, now)
	case Failed:
		return e.recordReply(1, halfLife, now)
	case Shed:
		return e.recordReply(shedFailure, halfLife, now)
	case Unreachable:
		e.addFailure(1, halfLife, now)
		if now.Before(e.ejectedUntil) {
			return NoChange
		}
		e.ejections++
		e.ejectedUntil = now.Add(min(minEjection<<min(e.ejections-1, maxDoublings), maxEjection))
		return Ejection
	case Inconclusive, NoReply:
	}
	return NoChange
}

// recordReply records a reply that counts as the given share of a failure, from 0 to 1.
func (e *replicaStats) recordReply(failure float64, halfLife time.Duration, now time.Time) Change {
	change := NoChange
	if e.ejections > 0 {
		change = Readmission
	}
	e.ejections, e.lastReply = 0, now
	e.addFailure(failure, halfLife, now)
	return change
}

// addFailure updates the failure rate with a run that counts as the share v of a failure, from 0 to 1.
func (e *replicaStats) addFailure(v float64, halfLife time.Duration, now time.Time) {
	e.failureRate = e.failureRateAt(halfLife, now)
	e.failureRate += failureWeight * (v - e.failureRate)
	e.failedAt = now
}

func (e *replicaStats) failureRateAt(halfLife time.Duration, now time.Time) float64 {
	return e.failureRate * decay(now.Sub(e.failedAt), halfLife)
}

func decay(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(max(age, 0)) / float64(halfLife))
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}

// Estimate returns the estimate for a run of workload w at replica id, which has the given number of slots.
func (r *Ranker) Estimate(id string, slots int, w Workload, now time.Time) Estimate {
	prior := r.prior(w)
	verdict := reporter.Verdict{LatencyRatio: 1}
	// A small share of the estimates ignores the verdict, so that requests still reach the replica
	// and the verdict ends once it has recovered.
	if r.Shared != nil && now.After(r.SharedFrom) && rand.IntN(ignoreVerdictEvery) > 0 {
		verdict = r.Shared.VerdictFor(reporter.Hash(id), now)
	}
	var out Estimate
	r.withStats(id, func(e *replicaStats) { out = e.estimate(prior, verdict, slots, w, now) })
	return out
}

func (e *replicaStats) estimate(prior average, verdict reporter.Verdict, slots int, w Workload, now time.Time) Estimate {
	mean, deviation := prior.mean, prior.deviation
	var out Estimate
	if a := e.averages[w]; a != nil && a.runs > 0 {
		mean, deviation = a.mean, a.deviation
		out.Runs, out.LastRun = a.runs, a.lastRun
		if floor := decayedMeanShare * prior.mean; mean > floor {
			weight := decay(now.Sub(a.lastRun), prior.halfLife(slowHalfLife))
			mean = floor + (mean-floor)*weight
			deviation = prior.deviation + (deviation-prior.deviation)*weight
		}
	}
	if verdict.LatencyRatio > 1 {
		mean = max(mean, verdict.LatencyRatio*prior.mean)
	}
	deviation = max(deviation, minDeviationShare*mean)
	expected := mean * e.queueFactor(mean, slots, now)
	expected += e.overdue(mean+overdueDeviations*deviation, now)
	expected += failurePenalty * max(e.failureRateAt(prior.halfLife(failureHalfLife), now), verdict.FailureRate) * w.TargetLatency.Seconds()
	out.Expected, out.Mean, out.Deviation = seconds(expected), seconds(mean), seconds(deviation)
	out.ServiceMean = seconds(prior.mean)
	out.LastReply, out.Response = e.lastReply, seconds(e.responses.mean)
	out.Running, out.Suspect = len(e.starts), e.ejections > 0
	out.LeastDelay = e.throughput.leastDelay(len(e.starts)+1, slots, now)
	// After the ejection, one run at a time probes whether a suspect has recovered.
	out.Ejected = e.ejections > 0 && (now.Before(e.ejectedUntil) || len(e.starts) > 0)
	if out.Ejected {
		out.Expected += ejectedPenalty
		out.Dead = e.ejections >= deadAfter
		switch {
		case !out.Dead:
		case e.silence == 0:
			out.Expected += deadPenalty
		case len(e.starts) > 0:
			out.Silence = max(e.silence, now.Sub(e.starts[0]))
		default:
			out.Silence = e.silence
		}
	}
	return out
}

// overdue returns the age of the oldest run in progress if it exceeds limit, else 0. Both are in
// seconds. A run that is long overdue is likely to take as long again.
func (e *replicaStats) overdue(limit float64, now time.Time) float64 {
	if len(e.starts) == 0 {
		return 0
	}
	late := now.Sub(e.starts[0]).Seconds() - limit
	if late <= 0 {
		return 0
	}
	return limit + late
}

// Prune drops the statistics of replicas without runs in progress that were last used before the given time.
func (r *Ranker) Prune(before time.Time) {
	for i := range r.shards {
		s := &r.shards[i]
		s.mu.Lock()
		for id, e := range s.replicas {
			if len(e.starts) == 0 && e.lastUsed.Before(before) {
				delete(s.replicas, id)
			}
		}
		s.mu.Unlock()
	}
}
