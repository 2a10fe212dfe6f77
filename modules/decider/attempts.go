package decider

import (
	"slices"
	"time"
)

const (
	// MinHedgeDelay is the minimum delay before a hedge.
	MinHedgeDelay = 3 * time.Millisecond
	// Recheck is the delay before an attempt that was deferred for the budget is considered again.
	Recheck = 5 * time.Millisecond
	// fullBudgetDeviations and emptyBudgetDeviations are the number of deviations above the mean
	// after which a hedge is sent with a full and with an empty budget. In between the number
	// changes linearly.
	fullBudgetDeviations  = 1.5
	emptyBudgetDeviations = 5
	// hedgeTimeReserve is the time allowed for a hedge in addition to the usual time of its
	// service.
	hedgeTimeReserve = 6 * time.Millisecond
	// ReservedShare is the share of the budget that is reserved for parts without which there
	// would be no response.
	ReservedShare = 0.4
	// maxNotRunSends is the number of sends for a part that replicas may refuse or that may fail
	// before leaving this VM, in addition to the attempts that run.
	maxNotRunSends = 2
)

// Attempt is an attempt that is considered for a part.
type Attempt struct {
	// Replica is the best replica that was not tried yet; nil if there is none.
	Replica *Replica
	// Hedge is true if another attempt is in progress.
	Hedge bool
	// Extra is true if the attempt is withdrawn from the budget, of which the share BudgetLeft is
	// left.
	Extra      bool
	BudgetLeft float64
	// Tried is the number of replicas tried, Running that of the attempts that may run or have run,
	// and NotRun that of the attempts that did not run.
	Tried, Running, NotRun int
	// MaxAttempts is the number of replicas that may run the part.
	MaxAttempts int
	// Required is true if there is no response in time without the part.
	Required bool
}

// Decline returns the reason against the attempt, empty if it may be sent.
func (a Attempt) Decline(t Times) string {
	r := a.Replica
	switch {
	case r == nil && a.Tried == 0:
		return NoReplica
	case r == nil:
		return NoOther
	case r.closed() != "":
		return r.closed()
	case a.Running >= max(a.MaxAttempts, 1):
		return Attempts
	case a.NotRun > maxNotRunSends:
		return Refused
	case r.outlasts(t):
		return Stopping
	case r.excess(t) > 0, a.Hedge && r.lengthensQueue(t):
		return Saturated
	case r.Ejected && (a.Hedge || r.hopeless(t)):
		return Unhealthy
	case a.Extra && a.BudgetLeft < ReservedShare && !a.Required:
		return Reserved
	}
	return ""
}

// latestStart returns the latest time at which an attempt on a typical replica of the service of r
// can start and still be in time.
func latestStart(r *Replica, t Times) time.Time {
	return t.Cutoff.Add(-r.ServiceMean - hedgeTimeReserve)
}

// HedgeDelay returns the delay before a second replica is asked as well, if r is the first one. It
// grows as the budget empties, but where possible it leaves the hedge enough time to be in time.
func HedgeDelay(r *Replica, budgetLeft float64, t Times) time.Duration {
	if r.Suspect {
		return MinHedgeDelay
	}
	deviations := fullBudgetDeviations + (emptyBudgetDeviations-fullBudgetDeviations)*(1-budgetLeft)
	// A replica slower than the average of its service gets no more time than the others.
	mean := min(r.Mean, r.ServiceMean)
	delay := mean + time.Duration(deviations*float64(min(r.Deviation, r.ServiceMean)))
	latest := latestStart(r, t).Sub(t.Now)
	if latest < delay && latest > mean {
		delay = latest
	}
	return max(delay, MinHedgeDelay)
}

const (
	// DefaultRetryAfter is the Retry-After delay when nothing is known about the outage.
	DefaultRetryAfter = 250 * time.Millisecond
	// maxRetryAfterShare is the largest share of its remaining time for which a caller follows a
	// Retry-After, as defined by the platform's protocol.
	maxRetryAfterShare = 1.0 / 3
)

// RetryAfter returns the delay after which a retry may succeed. outages holds, for each part that can
// recover, the time after which it is expected to; spare is the number of parts that may be missing.
// The delay covers only as many recoveries as are needed, the shortest first, and is no longer than a
// caller with the given patience follows.
func RetryAfter(outages []time.Duration, spare int, patience time.Duration) time.Duration {
	recoveries := len(outages) - spare
	if recoveries <= 0 {
		return DefaultRetryAfter
	}
	slices.Sort(outages)
	longest := max(time.Duration(maxRetryAfterShare*float64(patience)), DefaultRetryAfter)
	return min(max(outages[recoveries-1], DefaultRetryAfter), longest)
}
