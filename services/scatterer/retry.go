package scatterer

import (
	"cmp"
	"errors"
	"slices"
	"time"

	"github.com/ebonylock/ebonylock/modules/executor"
	"github.com/ebonylock/ebonylock/services/dispatcher"
)

// handleFailure processes a failed attempt. Unless another attempt of the subquery is in flight,
// it moves, retries or gives up the subquery. It gives up the whole query if that is quarantined
// or has crashed too many servers, and no service has replied to it.
func (g *gather) handleFailure(a *attempt, e dispatcher.Event, now time.Time) {
	sq := a.subquery
	if sq.done {
		return
	}
	sq.reason = dispatcher.Code(e.Err)
	moved := errors.Is(e.Err, dispatcher.ErrMoved)
	switch {
	case moved:
		g.scatterer.loads.report(a.server, e.Load, now)
		sq.moves++
	case errors.Is(e.Err, dispatcher.ErrQuarantined) && g.knownSafe:
		// Other services have replied to the query.
		g.giveUp(sq, sq.reason)
		return
	case errors.Is(e.Err, dispatcher.ErrQuarantined):
		g.giveUpAll(sq.reason)
		return
	case overloadReasons[sq.reason]:
		g.scatterer.loads.report(a.server, e.Load, now)
	default:
		g.scatterer.loads.reportFailure(a.server, now)
	}
	if !g.knownSafe && errors.Is(e.Err, executor.ErrLost) {
		g.crashes++
	}
	if g.crashes >= maxCrashes {
		g.giveUpAll(dispatcher.Code(dispatcher.ErrQuarantined))
		return
	}
	if len(sq.inFlight) > 0 {
		return
	}
	if errors.Is(e.Err, executor.ErrNotRun) {
		sq.attempts--
	} else if !g.reserveRetry(sq, e.Err) {
		g.giveUp(sq, sq.reason)
		return
	}
	if moved {
		g.move(sq, a.server)
		return
	}
	g.retry(sq)
}

// reserveRetry reports whether a subquery may have another attempt after one that may have run.
// The first attempt that was lost with its server or owner is replaced for free, since lost work
// puts no load on a server. Any other retry takes a token from the budget.
func (g *gather) reserveRetry(sq *subquery, err error) bool {
	lost := errors.Is(err, executor.ErrLost) || errors.Is(err, dispatcher.ErrLinkLost)
	if lost && sq.lostAttempts == 0 {
		sq.lostAttempts++
		g.retries++
		return true
	}
	if !g.scatterer.budget.Withdraw() {
		return false
	}
	g.retries++
	return true
}

// move sends a subquery that was returned from a queue to the least loaded replica, which may be
// the same one.
func (g *gather) move(sq *subquery, from string) {
	sq.tried = slices.DeleteFunc(sq.tried, func(id string) bool { return id == from })
	if a := g.nextAttempt(sq); a != nil {
		g.moves++
		g.sendAttempts([]*attempt{a})
	}
}

// retry tries the next replica. When all replicas have been tried, it schedules another round
// after a pause. While the query is not known to be safe, it also waits until no other attempt is
// in flight.
func (g *gather) retry(sq *subquery) {
	if sq.done || len(sq.inFlight) > 0 {
		return
	}
	if !g.knownSafe && g.anyInFlight() {
		g.scheduleRetry(sq)
		return
	}
	if server, _ := g.pickServer(sq); server != "" || sq.attempts >= maxAttempts || len(sq.tried) == 0 {
		if a := g.nextAttempt(sq); a != nil {
			g.sendAttempts([]*attempt{a})
		}
		return
	}
	sq.tried = sq.tried[:0]
	if server, _ := g.pickServer(sq); server == "" {
		g.giveUp(sq, cmp.Or(sq.reason, g.noServerReason(sq)))
		return
	}
	g.scheduleRetry(sq)
	if !g.knownSafe {
		g.startCanary()
	}
}

// anyInFlight reports whether any subquery has an attempt that may be running.
func (g *gather) anyInFlight() bool {
	return slices.ContainsFunc(g.subqueries, func(sq *subquery) bool { return len(sq.inFlight) > 0 })
}

// scheduleRetry queues a retry of sq after its pause, which doubles each time.
func (g *gather) scheduleRetry(sq *subquery) {
	sq.retryPause = min(max(2*sq.retryPause, minRetryPause), maxRetryPause)
	time.AfterFunc(sq.retryPause, func() { g.events.push(gatherEvent{retryDue: sq}) })
}

// slow marks an attempt as slow, after it has been running for the hedging delay, and hedges its
// subquery.
func (g *gather) slow(a *attempt) {
	sq := a.subquery
	a.slow = true
	if !a.hedge {
		g.scatterer.hedgeDelays.observe(sq.service, true, g.scatterer.slowShare())
	}
	g.hedge(sq)
}

// hedge starts a second attempt of sq beside the first, if the limits, the budget and the load of
// the replicas allow it.
func (g *gather) hedge(sq *subquery) {
	if sq.done {
		return
	}
	server, score := g.pickServer(sq)
	if reason := g.reserveHedge(sq, server, score); reason != "" {
		g.scatterer.metrics.declined.WithLabelValues(reason).Inc()
		return
	}
	sq.hedges++
	g.hedges++
	h := g.newAttempt(sq, server)
	h.hedge = true
	g.sendAttempts([]*attempt{h})
}

// reserveHedge takes a token from the budget for a hedge and returns an empty string, or returns
// the reason why sq may not be hedged.
func (g *gather) reserveHedge(sq *subquery, server string, score float64) string {
	switch {
	case sq.hedges >= g.maxHedges() || sq.attempts >= maxAttempts:
		return "tries"
	case server == "":
		return "no-replica"
	case score > maxHedgeLoad:
		return "load"
	case !g.scatterer.budget.Withdraw():
		return "budget"
	}
	return ""
}

// maxHedges returns the maximum number of hedges for a subquery. It is at most 1 for a canary, so
// that a query not known to be safe puts at most two servers at risk.
func (g *gather) maxHedges() int {
	if !g.knownSafe {
		return min(1, g.scatterer.cfg.MaxHedges)
	}
	return g.scatterer.cfg.MaxHedges
}
