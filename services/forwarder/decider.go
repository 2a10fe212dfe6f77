package forwarder

import (
	"math"
	"time"

	"github.com/ebonylock/ebonylock/modules/ranker"
	"github.com/ebonylock/ebonylock/modules/registrar"
)

const (
	// hedgeFloor is the least delay of a hedge.
	hedgeFloor = 3 * time.Millisecond
	// hedgeEager and hedgeThrifty are the deviations above the mean after which a hedge is
	// sent with a full and with an empty budget.
	hedgeEager   = 1.5
	hedgeThrifty = 5
	// hedgeReserve is the time that a hedge has beyond the usual one of its service.
	hedgeReserve = 6 * time.Millisecond
	// hedgeAgain is the time after which a hedge that was put off is looked at again.
	hedgeAgain = 5 * time.Millisecond
	// reserved is the share of the budget that is kept for parts without which there would be
	// no answer.
	reserved = 0.4
	// hopeless is the share of the time left above which a part is expected to be late.
	hopeless = 1.2
	// certain is the number of runs, and recent the age of the last one, without which a
	// replica is not known to be slow: it is tried again.
	certain = 4
	recent  = 300 * time.Millisecond
)

// Reasons against a try, and for parts without a reply. They are stable codes.
const (
	reasonNoReplica  = "no-replica"
	reasonNoOther    = "no-other-replica"
	reasonAttempts   = "attempts"
	reasonRefused    = "refused"
	reasonUnsound    = "no-sound-replica"
	reasonBudget     = "budget"
	reasonReserved   = "budget-reserved"
	reasonTooSlow    = "too-slow"
	reasonNoReply    = "no-reply-yet"
	reasonMayHaveRun = "may-have-run"
	reasonNoAnswer   = "no-answer-without-others"
)

// needed is the number of shards without which there is no answer: the least one whose share
// reaches the given one.
func needed(share float64, shards int) int {
	// A product such as 0.8 of 10 may come out just above 8.
	return max(int(math.Ceil(share*float64(shards)-1e-9)), 1)
}

// launchAll starts the parts. Those whose replicas are all dead are given up, and so are
// those expected to be late, as long as there is an answer without them.
func (fl *flight) launchAll() {
	now := time.Now()
	left := fl.cutoff().Sub(now)
	var late []*part
	gone := 0
	choices := make([]choice, len(fl.parts))
	for i, p := range fl.parts {
		c, expect := fl.f.best(p.list, nil, p.work, p.conns, p.fragile, now)
		choices[i] = choice{c, expect}
		switch {
		case c == nil:
			fl.giveUp(p, reasonNoReplica)
			gone++
		case expect.Dead:
			fl.giveUp(p, reasonUnsound)
			gone++
		case left > 0 && tooSlow(expect, left, now):
			late = append(late, p)
		}
	}
	if gone+fl.least > len(fl.parts) {
		for _, p := range fl.parts {
			if !p.ended {
				fl.giveUp(p, reasonNoAnswer)
			}
		}
		return
	}
	if gone+len(late)+fl.need <= len(fl.parts) {
		for _, p := range late {
			fl.giveUp(p, reasonTooSlow)
		}
	}
	for i, p := range fl.parts {
		if !p.ended {
			fl.launchTo(p, choices[i].replica, choices[i].expect, false, now)
		}
	}
}

// choice is the replica chosen for a part, with what to expect of it.
type choice struct {
	replica *registrar.Candidate
	expect  ranker.Estimate
}

// tooSlow reports whether a replica is known to take longer than the time left.
func tooSlow(e ranker.Estimate, left time.Duration, now time.Time) bool {
	return e.Runs >= certain && now.Sub(e.LastRun) < recent && float64(e.Mean) > hopeless*float64(left)
}

// pivotal reports whether there is no answer in time if p is lost, with those that are given up
// or parked. From the last moment on at which a try could still be in time, all parts without a
// reply count as lost.
func (fl *flight) pivotal(p *part, expect ranker.Estimate, now time.Time) bool {
	lost := fl.ended - fl.whole + fl.parked
	if p.parked {
		lost--
	}
	if !now.Add(hedgeAgain).Before(fl.lastTry(expect)) {
		lost = len(fl.parts) - fl.whole - 1
	}
	return lost+1+fl.need > len(fl.parts)
}

// lastTry is the last time at which a try of a usual replica can begin and be in time.
func (fl *flight) lastTry(expect ranker.Estimate) time.Time {
	return fl.cutoff().Add(-expect.ServiceMean - hedgeReserve)
}

// decline returns the reason against another try, empty if there is none.
func (fl *flight) decline(p *part, c *registrar.Candidate, expect ranker.Estimate, hedge bool, now time.Time) string {
	extra := p.sent+p.open > 0
	switch {
	case c == nil && len(p.tried) == 0:
		return reasonNoReplica
	case c == nil:
		return reasonNoOther
	case p.ran+p.open >= max(fl.route.MaxAttempts, 1):
		return reasonAttempts
	case p.refused > maxRefusals:
		return reasonRefused
	case expect.Ejected && (hedge || expect.Dead):
		return reasonUnsound
	case extra && p.budget.Remaining(now) < reserved && !fl.pivotal(p, expect, now):
		return reasonReserved
	case extra && !p.budget.Withdraw(now):
		return reasonBudget
	}
	return ""
}

// hedgeDelay is the time after which a second replica is asked as well. It grows as the
// budget empties, but leaves the second one its time before the target where it can.
func (fl *flight) hedgeDelay(p *part, expect ranker.Estimate, now time.Time) time.Duration {
	if expect.Suspect {
		return hedgeFloor
	}
	spent := 1 - p.budget.Remaining(now)
	stretch := hedgeEager + (hedgeThrifty-hedgeEager)*spent
	// A replica that is slower than its service gets no more time than the others.
	mean := min(expect.Mean, expect.ServiceMean)
	delay := mean + time.Duration(stretch*float64(min(expect.Deviation, expect.ServiceMean)))
	latest := fl.lastTry(expect).Sub(now)
	if latest < delay && latest > mean {
		delay = latest
	}
	return max(delay, hedgeFloor)
}
