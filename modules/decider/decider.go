// Package decider holds the decisions about a request to the replicas of one or several services:
// which replica to ask, which parts to leave out, when to ask a second replica, and when to refuse
// the request. It does no I/O and keeps no state. Its inputs are estimates, counts and times.
package decider

import (
	"math"
	"time"

	"github.com/ebonylock/ebonylock/modules/gatekeeper"
	"github.com/ebonylock/ebonylock/modules/ranker"
)

// Reasons against an attempt, and for parts without a reply. They are stable codes used in logs and
// metrics.
const (
	// NoReplica means that the service has no replica.
	NoReplica = "no-replica"
	// NoOther means that all replicas of the service were tried.
	NoOther = "no-other-replica"
	// Attempts means that the route allows no further attempt.
	Attempts = "attempts"
	// Refused means that replicas refused the part too often.
	Refused = "refused"
	// Unhealthy means that no replica is expected to reply.
	Unhealthy = "no-sound-replica"
	// Saturated means that the replicas have no room for the part in time.
	Saturated = "saturated"
	// Budget means that the budget of extra sends is used up.
	Budget = "budget"
	// Reserved means that the rest of the budget is reserved for parts that are required.
	Reserved = "budget-reserved"
	// TooSlow means that the part is expected to be late.
	TooSlow = "too-slow"
	// NoReply means that the response was sent before the part had a reply.
	NoReply = "no-reply-yet"
	// MayHaveRun means that a request that must not run twice may have run.
	MayHaveRun = "may-have-run"
	// NoAnswer means that there can be no response because of other parts.
	NoAnswer = "no-answer-without-others"
	// Leaving means that all replicas have said that they leave.
	Leaving = "replica-leaving"
	// Paused means that all replicas want no request for a while, or leave.
	Paused = "replica-paused"
	// Stopping means that this VM ends before there is room for the part.
	Stopping = "vm-stopping"
	// Cold means that all replicas are cold and have got as many requests as they may for now, or want
	// none.
	Cold = "replica-cold"
	// Quarantined means that the request has crashed too many replicas.
	Quarantined = "crashes-replicas"
)

const (
	// remotePenalty is added to the expected time of a replica in another data centre, as a share
	// of the target latency. It stands for the cost of traffic between data centres.
	remotePenalty = 0.2
	// missingPenalty is added to the expected time of a replica whose entry is missing.
	missingPenalty = time.Minute
	// coldPenalty is added to the expected time of a cold replica whose request rate is limited.
	coldPenalty = 30 * time.Second
	// pausedPenalty and leavingPenalty are added to the expected time of a replica that wants no
	// request, so that it is chosen only if no other is left. It then gets no request either.
	pausedPenalty  = 24 * time.Hour
	leavingPenalty = 2 * pausedPenalty
	// noConnPenalty is added to the expected time of a replica without a free connection.
	noConnPenalty = 5 * time.Second
	// tooSlowFactor is the ratio of a replica's expected time to the remaining time above which a
	// part is expected to be late.
	tooSlowFactor = 1.2
	// certainExcess is the ratio of a replica's expected time to the time until the deadline above
	// which a part is refused. Below it the replica may still recover in time.
	certainExcess = 2
	// minKnownRuns and maxEvidenceAge define when a replica is known to be slow: it needs that
	// many runs, the last one not older than that. Otherwise it is tried, so that a replica that
	// has recovered is noticed.
	minKnownRuns   = 4
	maxEvidenceAge = 300 * time.Millisecond
	// replacementTime is the time in which a replica that leaves is expected to be replaced.
	replacementTime = time.Second
)

// Replica is a replica as a candidate for an attempt.
type Replica struct {
	ranker.Estimate
	// Conns is the number of connections that this VM may have to the replica, at least 1.
	Conns int
	// Remote is true for a replica in another data centre.
	Remote bool
	// Missing is true if the replica's entry is missing.
	Missing bool
	// LimitedCold is true while the replica is cold and its request rate is limited.
	LimitedCold bool
	// Gate is what the replica has said about further requests.
	Gate gatekeeper.State
}

// Cost returns the expected time of a run, with everything that speaks against the replica counted
// in. The replica with the lowest cost is the best one.
func (r *Replica) Cost(target time.Duration) time.Duration {
	cost := r.Expected
	if r.Remote {
		cost += time.Duration(remotePenalty * float64(target))
	}
	if r.full() {
		cost += noConnPenalty
	}
	if r.LimitedCold {
		cost += coldPenalty
	}
	if r.Missing {
		cost += missingPenalty
	}
	switch r.Gate {
	case gatekeeper.Open:
	case gatekeeper.Paused, gatekeeper.Warming:
		cost += pausedPenalty
	case gatekeeper.Leaving:
		cost += leavingPenalty
	}
	return cost
}

// closed returns the reason why the replica wants no request now, empty if it takes them. It applies to
// every request, the last resort included.
func (r *Replica) closed() string {
	switch r.Gate {
	case gatekeeper.Paused:
		return Paused
	case gatekeeper.Leaving:
		return Leaving
	case gatekeeper.Warming:
		return Cold
	case gatekeeper.Open:
	}
	return ""
}

// Closed returns why none of the replicas of a service takes requests at now, and the time after which
// one is expected to: the earliest end of a pause or next turn at a cold replica, or the time that a
// replacement takes. The reason is empty if one takes requests, or if there is none.
func Closed(replicas []gatekeeper.Answer, now time.Time) (reason string, after time.Duration) {
	for _, g := range replicas {
		opens := replacementTime
		switch g.State {
		case gatekeeper.Open:
			return "", 0
		case gatekeeper.Paused, gatekeeper.Warming:
			if opens = DefaultRetryAfter; !g.Until.IsZero() {
				opens = g.Until.Sub(now)
			}
			if reason == "" || reason == Leaving || opens < after {
				reason, after = (&Replica{Gate: g.State}).closed(), opens
			}
		case gatekeeper.Leaving:
			if reason == "" {
				reason, after = Leaving, opens
			}
		}
	}
	return reason, after
}

// full reports whether another run would wait for a connection.
func (r *Replica) full() bool {
	return r.Running >= r.Conns
}

// Completion returns the expected time until the replica, if it is healthy, has completed another
// run. Runs beyond the connections wait for one, and each connection completes a run in the
// replica's response time (Little's law).
func (r *Replica) Completion() time.Duration {
	waiting := max(r.Running+1-r.Conns, 0)
	return r.Mean + r.Response*time.Duration(waiting)/time.Duration(max(r.Conns, 1))
}

// Times are the times that bound a request.
type Times struct {
	Now time.Time
	// Cutoff is the time at which a response has to leave this VM to be in time.
	Cutoff time.Time
	// Deadline is the time after which a reply is useless.
	Deadline time.Time
	// VMEnds is true if this VM ends at Deadline. The caller may have more time, and another VM can use it.
	VMEnds bool
}

// hopeless reports whether a replica is not expected to reply before the deadline. One that has
// only been silent is expected to be silent for as long again.
func (r *Replica) hopeless(t Times) bool {
	return r.Dead && (r.Silence == 0 || t.Now.Add(r.Silence).After(t.Deadline))
}

// tooSlow reports whether a replica is known to need longer than until the cutoff.
func (r *Replica) tooSlow(t Times) bool {
	remaining := t.Cutoff.Sub(t.Now)
	known := r.full() || (r.Runs >= minKnownRuns && t.Now.Sub(r.LastRun) < maxEvidenceAge)
	return remaining > 0 && known && float64(r.Completion()) > tooSlowFactor*float64(remaining)
}

// excess returns the time by which a run is expected to miss the deadline because it waits for a
// connection; 0 if it may still be in time. The replica may recover while it waits.
func (r *Replica) excess(t Times) time.Duration {
	remaining := t.Deadline.Sub(t.Now)
	if !r.full() || float64(r.Completion()) <= certainExcess*float64(remaining) {
		return 0
	}
	return r.Completion() - remaining
}

// outlasts reports whether the queue of a replica is longer than what is left of this VM.
func (r *Replica) outlasts(t Times) bool {
	return t.VMEnds && r.LeastDelay > t.Deadline.Sub(t.Now)
}

// lengthensQueue reports whether a hedge would only wait: for a connection, or, while this VM stops, in the
// replica's queue, from which the VM then gets fewer replies by its end.
func (r *Replica) lengthensQueue(t Times) bool {
	return r.full() || (t.VMEnds && r.LeastDelay > 0)
}

// MinShards returns the number of shards required for a response: the smallest one whose share is
// at least the given one.
func MinShards(share float64, shards int) int {
	// In floating point a product such as 0.8*10 may be slightly above 8.
	return max(int(math.Ceil(share*float64(shards)-1e-9)), 1)
}
