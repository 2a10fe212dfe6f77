package forwarder

import (
	"math"
	"time"

	"github.com/ebonylock/ebonylock/modules/ranker"
	"github.com/ebonylock/ebonylock/modules/registrar"
)

const (
	// minHedgeDelay is the minimum delay before a hedge.
	minHedgeDelay = 3 * time.Millisecond
	// fullBudgetDeviations and emptyBudgetDeviations are the number of deviations above the mean
	// after which a hedge is sent with a full and with an empty budget. In between the number
	// changes linearly.
	fullBudgetDeviations  = 1.5
	emptyBudgetDeviations = 5
	// hedgeTimeReserve is the time allowed for a hedge in addition to the usual time of its
	// service.
	hedgeTimeReserve = 6 * time.Millisecond
	// hedgeRecheck is the delay before an attempt that was deferred for the budget is considered
	// again.
	hedgeRecheck = 5 * time.Millisecond
	// reservedShare is the share of the budget that is reserved for parts without which there
	// would be no response.
	reservedShare = 0.4
	// tooSlowFactor is the ratio of a replica's mean time to the remaining time above which a part
	// is expected to be late.
	tooSlowFactor = 1.2
	// minKnownRuns and maxEvidenceAge define when a replica is known to be slow: it needs that
	// many runs, the last one not older than that. Otherwise it is tried, so that a replica that
	// has recovered is noticed.
	minKnownRuns   = 4
	maxEvidenceAge = 300 * time.Millisecond
)

// Reasons against an attempt, and for parts without a reply. They are stable codes used in logs and
// metrics.
const (
	reasonNoReplica  = "no-replica"
	reasonNoOther    = "no-other-replica"
	reasonAttempts   = "attempts"
	reasonRefused    = "refused"
	reasonUnhealthy  = "no-sound-replica"
	reasonBudget     = "budget"
	reasonReserved   = "budget-reserved"
	reasonTooSlow    = "too-slow"
	reasonNoReply    = "no-reply-yet"
	reasonMayHaveRun = "may-have-run"
	reasonNoAnswer   = "no-answer-without-others"
)

// minShards returns the number of shards required for a response: the smallest one whose share is
// at least the given one.
func minShards(share float64, shards int) int {
	// In floating point a product such as 0.8*10 may be slightly above 8.
	return max(int(math.Ceil(share*float64(shards)-1e-9)), 1)
}

// sendAll sends all parts. It gives up the parts whose replicas are all dead, and those expected to
// be late as long as there is a response without them.
func (fl *flight) sendAll() {
	now := time.Now()
	remaining := fl.cutoff().Sub(now)
	var slow []*part
	unavailable := 0
	choices := make([]choice, len(fl.parts))
	for i, p := range fl.parts {
		c, estimate := fl.f.bestReplica(p.list, nil, p.work, p.conns, p.coldLimited, now)
		choices[i] = choice{c, estimate}
		switch {
		case c == nil:
			fl.giveUp(p, reasonNoReplica)
			unavailable++
		case estimate.Dead:
			fl.giveUp(p, reasonUnhealthy)
			unavailable++
		case remaining > 0 && tooSlow(estimate, remaining, now):
			slow = append(slow, p)
		}
	}
	if unavailable+fl.minViable > len(fl.parts) {
		for _, p := range fl.parts {
			if !p.done {
				fl.giveUp(p, reasonNoAnswer)
			}
		}
		return
	}
	if unavailable+len(slow)+fl.minParts <= len(fl.parts) {
		for _, p := range slow {
			fl.giveUp(p, reasonTooSlow)
		}
	}
	for i, p := range fl.parts {
		if !p.done {
			fl.send(p, choices[i].replica, choices[i].estimate, false, now)
		}
	}
}

// choice is the replica chosen for a part, and its estimate.
type choice struct {
	replica  *registrar.Candidate
	estimate ranker.Estimate
}

// tooSlow reports whether a replica is known to need more than the remaining time.
func tooSlow(estimate ranker.Estimate, remaining time.Duration, now time.Time) bool {
	return estimate.Runs >= minKnownRuns && now.Sub(estimate.LastRun) < maxEvidenceAge && float64(estimate.Mean) > tooSlowFactor*float64(remaining)
}

// required reports whether there is no response in time without p, counting as lost the parts that
// were given up or wait for the budget. From the last recheck at which another attempt could still
// be in time, all parts without a reply count as lost.
func (fl *flight) required(p *part, estimate ranker.Estimate, now time.Time) bool {
	lost := fl.done - fl.replied + fl.waiting
	if p.waiting {
		lost--
	}
	if !now.Add(hedgeRecheck).Before(fl.latestStart(estimate)) {
		lost = len(fl.parts) - fl.replied - 1
	}
	return lost+1+fl.minParts > len(fl.parts)
}

// latestStart returns the latest time at which an attempt on a typical replica can start and still
// be in time.
func (fl *flight) latestStart(estimate ranker.Estimate) time.Time {
	return fl.cutoff().Add(-estimate.ServiceMean - hedgeTimeReserve)
}

// declineReason returns the reason against another attempt, or an empty string if it may be sent.
// In that case it has withdrawn the attempt from the budget if it is an extra send.
func (fl *flight) declineReason(p *part, c *registrar.Candidate, estimate ranker.Estimate, hedge bool, now time.Time) string {
	extra := p.sent+p.inFlight > 0
	switch {
	case c == nil && len(p.tried) == 0:
		return reasonNoReplica
	case c == nil:
		return reasonNoOther
	case p.ran+p.inFlight >= max(fl.route.MaxAttempts, 1):
		return reasonAttempts
	case p.notRun > maxNotRunSends:
		return reasonRefused
	case estimate.Ejected && (hedge || estimate.Dead):
		return reasonUnhealthy
	case extra && p.budget.Remaining(now) < reservedShare && !fl.required(p, estimate, now):
		return reasonReserved
	case extra && !p.budget.Withdraw(now):
		return reasonBudget
	}
	return ""
}

// hedgeDelay returns the delay before a second replica is asked as well. It grows as the budget
// empties, but where possible it leaves the hedge enough time to meet the target.
func (fl *flight) hedgeDelay(p *part, estimate ranker.Estimate, now time.Time) time.Duration {
	if estimate.Suspect {
		return minHedgeDelay
	}
	spent := 1 - p.budget.Remaining(now)
	deviations := fullBudgetDeviations + (emptyBudgetDeviations-fullBudgetDeviations)*spent
	// A replica slower than the average of its service gets no more time than the others.
	mean := min(estimate.Mean, estimate.ServiceMean)
	delay := mean + time.Duration(deviations*float64(min(estimate.Deviation, estimate.ServiceMean)))
	latest := fl.latestStart(estimate).Sub(now)
	if latest < delay && latest > mean {
		delay = latest
	}
	return max(delay, minHedgeDelay)
}
