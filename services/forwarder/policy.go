package forwarder

import (
	"slices"
	"time"

	"github.com/ebonylock/ebonylock/modules/decider"
	"github.com/ebonylock/ebonylock/modules/quarantiner"
	"github.com/ebonylock/ebonylock/modules/registrar"
)

// choice is a replica that was chosen for a part; its Replica is nil if there is none.
type choice struct {
	*decider.Replica
	to *registrar.Candidate
	// verdict is that of the quarantine for the replica. Without a replica it is Blocked if the quarantine
	// excludes all that were not tried, else Allowed.
	verdict quarantiner.Verdict
}

// missing returns the reason why there is no replica.
func (c choice) missing(reason string) string {
	if c.verdict == quarantiner.Blocked {
		return decider.Quarantined
	}
	return reason
}

// bestReplica returns the replica with the lowest cost that is not in tried.
func (fl *flight) bestReplica(p *part, tried []string, now time.Time) choice {
	f := fl.f
	var best choice
	var lowest time.Duration
	suspected := f.suspected(fl.identity)
	for _, c := range p.list {
		if slices.Contains(tried, c.ID) {
			continue
		}
		verdict := quarantiner.Allowed
		if suspected {
			verdict = f.verdict(fl.identity, c, now)
		}
		if verdict == quarantiner.Blocked {
			if best.Replica == nil {
				best.verdict = verdict
			}
			continue
		}
		r := decider.Replica{
			Estimate: f.ranks.Estimate(c.Key, c.Slots, p.work, now), Conns: p.conns, Missing: c.Missing,
			Remote: c.DataCentre != f.cfg.DataCentre, LimitedCold: p.limitedCold(c, now),
			Gate: f.gate.StateOf(c.Key, now),
		}
		if r.LimitedCold {
			r.Gate = fl.gate(p, c, now).State
		}
		if cost := r.Cost(p.work.TargetLatency); best.Replica == nil || cost < lowest {
			chosen := r // only the best ones are allocated
			best, lowest = choice{&chosen, c, verdict}, cost
		}
	}
	return best
}

// times returns the times that bound decisions at now.
func (fl *flight) times(now time.Time) decider.Times {
	return decider.Times{Now: now, Cutoff: fl.cutoff(), Deadline: fl.deadline, VMEnds: fl.vmEnds}
}

// sendAll sends all parts but those that are left out.
func (fl *flight) sendAll() {
	now := time.Now()
	choices := make([]choice, len(fl.parts))
	best := make([]*decider.Replica, len(fl.parts))
	for i, p := range fl.parts {
		choices[i] = fl.bestReplica(p, nil, now)
		best[i] = choices[i].Replica
	}
	need := decider.Need{MinParts: fl.minParts, MinViable: fl.minViable}
	for i, d := range decider.PlanParts(best, need, fl.times(now)) {
		if d.Reason != "" {
			fl.parts[i].roomAfter = d.RoomAfter
			if best[i] == nil {
				d.Reason = choices[i].missing(d.Reason)
			}
			fl.giveUp(fl.parts[i], d.Reason)
		}
	}
	for i, p := range fl.parts {
		if !p.done && len(p.attempts) == 0 {
			fl.send(p, choices[i], false, now)
		}
	}
}

// required reports whether there is no response in time without p.
func (fl *flight) required(p *part, r *decider.Replica, now time.Time) bool {
	progress := decider.Progress{
		Parts: len(fl.parts), Replied: fl.replied, GivenUp: fl.done - fl.replied, Waiting: fl.waiting, MinParts: fl.minParts,
	}
	if p.waiting {
		progress.Waiting--
	}
	return progress.Required(r, fl.times(now))
}

// declineReason returns the reason against another attempt, or an empty string if it may be sent.
// In that case it has withdrawn the attempt from the budget if it is an extra send.
func (fl *flight) declineReason(p *part, c choice, hedge bool, now time.Time) string {
	a := decider.Attempt{
		Replica: c.Replica, Hedge: hedge, Extra: p.sent+p.inFlight > 0, BudgetLeft: p.budget.Remaining(now),
		Tried: len(p.tried), Running: p.ran + p.inFlight, NotRun: p.notRun, MaxAttempts: fl.route.MaxAttempts,
		Required: c.Replica != nil && fl.required(p, c.Replica, now),
	}
	switch reason := a.Decline(fl.times(now)); {
	case c.Replica == nil:
		return c.missing(reason)
	case reason != "":
		return reason
	case hedge && c.verdict == quarantiner.Suspect:
		// It would crash a second replica before the loss of the first shows.
		return decider.Quarantined
	}
	if a.Extra && !p.budget.Withdraw(now) {
		return decider.Budget
	}
	return ""
}
