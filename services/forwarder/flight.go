package forwarder

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/ebonylock/ebonylock/modules/budgeter"
	"github.com/ebonylock/ebonylock/modules/decider"
	"github.com/ebonylock/ebonylock/modules/ranker"
	"github.com/ebonylock/ebonylock/modules/registrar"
	"github.com/ebonylock/ebonylock/modules/router"
)

const (
	// responseMargin is the time that this VM needs to assemble and send a response.
	responseMargin = 5 * time.Millisecond
	// replyGrace is the time after the deadline in which a replica may still report that it
	// stopped.
	replyGrace = 150 * time.Millisecond
	// lingerTargets and minLinger limit how long an attempt may continue after the response was
	// sent without it: lingerTargets target latencies or minLinger, whichever is longer. It is not
	// cancelled at once, because cancelling it would break its connection.
	lingerTargets = 3
	minLinger     = 300 * time.Millisecond
)

// part is the work for one service.
type part struct {
	service string
	work    ranker.Workload
	budget  *budgeter.Window
	// list holds the replicas of the service in view.
	list []*registrar.Candidate
	view *registrar.View
	// conns is the number of connections that this VM may have to each replica.
	conns int
	// coldRate is the number of requests per second that a cold replica tolerates; 0 if there is no
	// limit.
	coldRate float64
	// tried holds the IDs of the replicas that were sent this part.
	tried []string
	// attempts holds all attempts in the order in which they began.
	attempts []*attempt
	// sent counts the ended attempts that were written to a replica, ran those that may have run
	// there.
	sent, ran int
	// notRun counts the ended attempts that did not run.
	notRun int
	// inFlight counts the attempts in progress.
	inFlight int
	// nextAttemptAt is the time of the next attempt: a hedge, or a recheck of the budget. Zero if
	// none is planned.
	nextAttemptAt time.Time
	// waiting is true while no attempt is in progress because the budget is reserved for other
	// parts.
	waiting bool
	reply   *Reply
	// lastFailure is the last reply that was run but was not a success.
	lastFailure *Reply
	// done is true once the part has a reply or was given up.
	done   bool
	reason string
	// roomAfter is the time after which there is room for the part at its replicas, if reason is
	// decider.Saturated, decider.Paused, decider.Leaving or decider.Cold.
	roomAfter time.Duration
	// notNeeded is set once the part needs no further reply. Senders read it from other
	// goroutines.
	notNeeded atomic.Bool
}

// flight is the state of one request in progress. It is used only by the goroutine that serves the
// request; attempts report to it through the inbox.
type flight struct {
	f     *Forwarder
	state *State
	route *router.Route
	r     *Request
	// ctx is cancelled when the caller disconnects.
	ctx      context.Context
	deadline time.Time
	// target is the time at which the caller should have the response.
	target time.Time
	// partialAt is the time at which the parts received so far are sent to the VM that asked for
	// them. It is zero if this VM responds to the caller.
	partialAt time.Time
	// timeUsed is the part of the target latency that had passed when the request arrived.
	timeUsed time.Duration
	parts    []*part
	// replied counts the parts with a reply, done those with a reply or given up, and waiting
	// those that wait for the budget.
	replied, done, waiting int
	// minParts is the number of parts required for a response, at least 1.
	minParts int
	// minViable is the number of usable parts below which nothing is sent. It is minParts, or less
	// if other VMs gather parts of the same response.
	minViable int
	inbox     *inbox[result]
	// timer ends wait.
	timer *time.Timer
	// identity is the same for requests that look identical to a replica.
	identity identity
	// fanout is set when other VMs gather the parts.
	fanout *fanout
	// anyRan is true once an attempt that may have run has ended.
	anyRan bool
	// answered is true once the response is known. From then on a cancelled ctx does not mean that
	// the caller has left.
	answered atomic.Bool
	// stopping is closed when the VM begins to stop. It is nil once deadline is no later than the
	// end of the VM.
	stopping <-chan struct{}
	// vmEnds is true if deadline is the end of the VM.
	vmEnds bool
}

func (fl *flight) start(services []string, minParts int) {
	fl.inbox = newInbox[result]()
	fl.minParts, fl.minViable = minParts, minParts
	now := time.Now()
	for _, s := range services {
		quota := fl.f.quota(fl.state, s, len(fl.route.Shards) > 0)
		p := &part{
			service:  s,
			work:     ranker.Workload{Service: s, TargetLatency: fl.route.TargetLatency},
			budget:   fl.f.budget(s, quota.slack, now),
			list:     fl.state.View.Services[s],
			view:     fl.state.View,
			conns:    quota.conns,
			coldRate: fl.state.Table.Config.Services[s].WarmupPerSecond,
		}
		p.budget.Deposit(1, now)
		fl.parts = append(fl.parts, p)
	}
}

// finish ends the flight, whose response is known. Its attempts may go on and keep it in memory, but not the
// content of its replies. If the caller has left, it cancels the attempts in progress. Otherwise it
// lets them continue for a while so that their connections stay usable.
func (fl *flight) finish() {
	if fl.timer != nil {
		fl.timer.Stop()
	}
	for _, r := range fl.inbox.close() {
		r.reply.Drop()
	}
	var exchanges []Exchange
	for _, p := range fl.parts {
		p.notNeeded.Store(true)
		p.reply.Drop()
		p.lastFailure.Drop()
		for _, a := range p.attempts {
			if a.end == "" {
				exchanges = append(exchanges, a.exchange)
			}
		}
	}
	if len(exchanges) == 0 {
		return
	}
	if fl.callerLeft() {
		cancelAll(exchanges)
		return
	}
	fl.answered.Store(true)
	end := fl.r.Arrived.Add(max(lingerTargets*fl.route.TargetLatency, minLinger))
	if latest := fl.deadline.Add(replyGrace); !fl.route.Idempotent || latest.Before(end) {
		end = latest
	}
	time.AfterFunc(time.Until(end), func() { cancelAll(exchanges) })
}

// callerLeft reports whether the caller disconnected before its response was known.
func (fl *flight) callerLeft() bool {
	return !fl.answered.Load() && fl.ctx.Err() != nil && !errors.Is(context.Cause(fl.ctx), ErrResponseSent)
}

func cancelAll(exchanges []Exchange) {
	for _, x := range exchanges {
		x.Cancel()
	}
}

// margin is the time before a deadline or target at which the response has to leave this VM. It
// includes the network delay twice, because the caller's clock started one delay before the request
// arrived and the response takes another one.
func (fl *flight) margin() time.Duration {
	return responseMargin + 2*fl.f.cfg.CallerDelay
}

// cutoff is the time at which a response has to leave this VM to meet the target.
func (fl *flight) cutoff() time.Time {
	if !fl.partialAt.IsZero() {
		return fl.partialAt
	}
	return earlier(fl.target.Add(-fl.margin()), fl.limit())
}

// limit is the time at which the response to a gathered request has to leave this VM.
func (fl *flight) limit() time.Time {
	return fl.deadline.Add(-fl.margin())
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// gather returns a response merged from parts of the shards.
func (fl *flight) gather(shards []string, minParts int) Response {
	fl.start(shards, minParts)
	defer fl.finish()
	fl.sendAll()
	for {
		now, cutoff, limit := time.Now(), fl.cutoff(), fl.limit()
		switch {
		case fl.replied >= minParts && (fl.done+fl.waiting == len(shards) || !now.Before(cutoff)):
			return fl.mergedResponse()
		case len(shards)-fl.done+fl.replied < minParts:
			return fl.failedResponse()
		case !now.Before(limit):
			return fl.timeoutResponse()
		}
		wake := limit
		if fl.replied >= minParts && cutoff.Before(wake) {
			wake = cutoff
		}
		if !fl.wait(fl.nextWake(wake)) {
			return Response{}
		}
	}
}

// single returns the reply of one replica as the response.
func (fl *flight) single(service string) Response {
	fl.start([]string{service}, 1)
	defer fl.finish()
	fl.sendAll()
	p := fl.parts[0]
	for !p.done {
		limit := fl.deadline.Add(-responseMargin)
		if !time.Now().Before(limit) {
			return fl.timeoutResponse()
		}
		if !fl.wait(fl.nextWake(limit)) {
			return Response{}
		}
	}
	if p.reply == nil {
		return fl.failedResponse()
	}
	return p.reply.response()
}

// nextWake returns the time of the next planned attempt, or wake if that is earlier.
func (fl *flight) nextWake(wake time.Time) time.Time {
	for _, p := range fl.parts {
		if !p.done && !p.nextAttemptAt.IsZero() && p.nextAttemptAt.Before(wake) {
			wake = p.nextAttemptAt
		}
	}
	return wake
}

// wait blocks until results arrive or wake is reached. It handles the results and sends the
// attempts that are due. It returns false if the caller has left.
func (fl *flight) wait(wake time.Time) bool {
	if fl.timer == nil {
		fl.timer = time.NewTimer(time.Until(wake))
	} else {
		fl.timer.Reset(time.Until(wake))
	}
	select {
	case <-fl.inbox.arrived:
		for _, r := range fl.inbox.take() {
			fl.handleResult(r)
		}
	case <-fl.timer.C:
	case <-fl.stopping:
		fl.endWithVM()
	case <-fl.ctx.Done():
		return false
	}
	now := time.Now()
	for _, p := range fl.parts {
		if !p.done && !p.nextAttemptAt.IsZero() && !now.Before(p.nextAttemptAt) {
			p.nextAttemptAt = time.Time{}
			fl.sendBest(p, p.inFlight > 0)
		}
	}
	return true
}

// sendBest sends a part to the best replica not tried yet, of those known now: some that were known when the request
// came may have left since. If there is none and no attempt is in
// progress, it gives the part up.
func (fl *flight) sendBest(p *part, hedge bool) {
	now := time.Now()
	if v := fl.f.states.State().View; v != p.view {
		p.list, p.view = v.Services[p.service], v
	}
	fl.send(p, fl.bestReplica(p, p.tried, now), hedge, now)
}

// send is like sendBest for a replica that was already chosen.
func (fl *flight) send(p *part, chosen choice, hedge bool, now time.Time) {
	if reason := fl.declineReason(p, chosen, hedge, now); reason != "" {
		fl.f.metrics.declined.WithLabelValues(reason).Inc()
		switch recheck := now.Add(decider.Recheck); {
		case reason == decider.Reserved && recheck.Before(fl.cutoff()):
			p.nextAttemptAt = recheck
			fl.setWaiting(p, p.inFlight == 0)
		case p.inFlight == 0:
			fl.giveUp(p, reason)
			fl.recallLeftOut()
		}
		return
	}
	c := chosen.to
	extra := 0.0
	if p.sent+p.inFlight > 0 {
		extra = 1
	}
	limited, ok := fl.begin(p, c, now)
	if !ok {
		// Another request has just taken the replica's turn.
		p.budget.Refund(extra, now)
		fl.sendBest(p, hedge)
		return
	}
	fl.setWaiting(p, false)
	p.tried = append(p.tried, c.ID)
	a := &attempt{fl: fl, part: p, to: c, view: p.view, began: now, hedge: hedge, extra: extra, cold: limited}
	p.attempts = append(p.attempts, a)
	p.inFlight++
	if !hedge && p.ran == 0 && fl.route.Idempotent && fl.route.MaxAttempts > 1 {
		p.nextAttemptAt = now.Add(decider.HedgeDelay(chosen.Replica, p.budget.Remaining(now), fl.times(now)))
	}
	fl.f.metrics.sends[a.kind()].Inc()
	fl.f.ranks.Begin(c.Key, c.Slots, now)
	a.exchange = fl.f.backend.Send(c, ReplicaRequest{
		Request: fl.r, Deadline: fl.deadline, MaxConns: p.conns, BodyOnly: len(fl.route.Shards) > 0,
	}, a)
}

// setWaiting records whether a part waits for the budget.
func (fl *flight) setWaiting(p *part, waiting bool) {
	switch {
	case waiting && !p.waiting:
		fl.waiting++
	case !waiting && p.waiting:
		fl.waiting--
	}
	p.waiting = waiting
}

// handleResult processes the end of an attempt.
func (fl *flight) handleResult(r result) {
	p := r.attempt.part
	p.inFlight--
	notRun := unsent(r.err) || (r.err == nil && (r.reply.NotRun || r.reply.Misdirected))
	r.attempt.took, r.attempt.end = r.at.Sub(r.attempt.began), attemptEnd(r)
	if !r.attempt.sent.IsZero() {
		p.sent++
	}
	if notRun {
		p.notRun++
	} else {
		p.ran++
		fl.anyRan = true
	}
	answered := r.err == nil && r.reply.Success()
	if answered {
		fl.markAnswered(r.attempt, r.at)
	}
	if p.done {
		r.reply.Drop()
		return
	}
	gathered := len(fl.route.Shards) > 0
	if answered {
		if gathered {
			r.reply.keepGreatest(fl.route.TopK)
		}
		p.reply, p.done = r.reply, true
		fl.replied++
		fl.done++
		p.notNeeded.Store(true)
		return
	}
	if r.err == nil && !notRun && !gathered {
		p.lastFailure.Drop()
		p.lastFailure = r.reply
	} else {
		r.reply.Drop()
	}
	if p.inFlight > 0 {
		if r.attempt.hedge && notRun {
			// The first attempt is still late, so another replica is tried at once.
			p.nextAttemptAt = r.at
		}
		return
	}
	if !notRun && !fl.route.Idempotent {
		fl.giveUp(p, decider.MayHaveRun)
		return
	}
	p.nextAttemptAt = time.Time{}
	fl.sendBest(p, false)
}

func (fl *flight) giveUp(p *part, reason string) {
	switch reason {
	case decider.NoOther, decider.Refused, decider.Paused, decider.Leaving, decider.Cold:
		if closed, after := fl.closed(p, time.Now()); closed != "" {
			reason, p.roomAfter = closed, after
		}
	}
	p.done, p.reason = true, reason
	fl.done++
	fl.setWaiting(p, false)
	p.notNeeded.Store(true)
}

// recallLeftOut sends the parts that were left out because they would be late, if there is no response
// without them any more.
func (fl *flight) recallLeftOut() {
	for _, p := range fl.parts {
		if len(fl.parts)-fl.done+fl.replied >= fl.minParts {
			return
		}
		if p.done && p.reason == decider.TooSlow && len(p.attempts) == 0 {
			p.done, p.reason = false, ""
			p.notNeeded.Store(false)
			fl.done--
			fl.sendBest(p, false)
		}
	}
}
