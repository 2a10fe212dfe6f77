package forwarder

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/ebonylock/ebonylock/modules/budgeter"
	"github.com/ebonylock/ebonylock/modules/quarantiner"
	"github.com/ebonylock/ebonylock/modules/ranker"
	"github.com/ebonylock/ebonylock/modules/registrar"
	"github.com/ebonylock/ebonylock/modules/router"
)

const (
	// answerMargin is the time that this VM needs to put an answer together and send it.
	answerMargin = 5 * time.Millisecond
	// replyGrace is the time after the deadline for a replica to say that it has stopped.
	replyGrace = 150 * time.Millisecond
	// maxRefusals is the number of sends for a part that replicas may refuse or that never
	// leave the VM, besides the attempts that run.
	maxRefusals = 2
	// lingerTargets and leastLinger bound the time for which a try goes on after the answer
	// has left without it, so that its connection stays whole: the larger one of so many
	// target latencies and that time.
	lingerTargets = 3
	leastLinger   = 300 * time.Millisecond
)

// part is the work for one service.
type part struct {
	service string
	work    ranker.Workload
	budget  *budgeter.Window
	list    []*registrar.Candidate
	// conns is the number of connections that this VM may hold to each replica.
	conns int
	// fragile is true when cold replicas bear only so many requests.
	fragile bool
	// tried are the replicas that had a try.
	tried []string
	// tries are those that were begun, in order.
	tries []*try
	// sent counts the tries that reached a replica, ran those that may have run there.
	sent, ran int
	// refused counts the tries that did not run.
	refused int
	// open counts the tries under way.
	open int
	// hedgeAt is the time for another try, beside the first or of a parked part; zero for none.
	hedgeAt time.Time
	// parked is true while no try is under way, as the budget is kept for other parts.
	parked bool
	reply  *Reply
	// failure is the last reply of a replica that is none to merge.
	failure *Reply
	// ended is true once the part has a reply or is given up.
	ended  bool
	reason string
	// over is set once no reply is needed any more; the senders of tries read it.
	over atomic.Bool
}

// flight is one request under way. It belongs to the goroutine that serves the request; tries
// report through the inbox.
type flight struct {
	f     *Forwarder
	state *State
	route *router.Route
	r     *Request
	// ctx ends when the caller has gone.
	ctx      context.Context
	deadline time.Time
	// target is the time at which the caller should have the answer.
	target time.Time
	// leave is the time at which the parts at hand go to the VM that asked for them; zero where this
	// VM answers the caller.
	leave time.Time
	// used is the part of the target latency that the caller's earlier attempts took.
	used  time.Duration
	parts []*part
	// whole counts the parts with a reply, ended those and the ones given up, parked those that
	// wait for the budget.
	whole, ended, parked int
	// need is the number of parts without which there is no answer, at least 1.
	need int
	// least is the number of parts without which nothing is sent; need, or less where other VMs
	// gather parts of the same answer.
	least int
	inbox *inbox[result]
	// timer wakes the flight.
	timer *time.Timer
	// fingerprint identifies requests that are the same to a replica.
	fingerprint quarantiner.Fingerprint
	// proven is true once a reply has shown that the request is harmless.
	proven bool
	// spread is set when other VMs gather the parts.
	spread *spread
	// anyRan is true once any try ended that may have run.
	anyRan bool
	// answered is true once the answer is known, after which ctx tells nothing of the caller.
	answered atomic.Bool
}

func (fl *flight) start(services []string, need int) {
	fl.inbox = newInbox[result]()
	fl.need, fl.least = need, need
	now := time.Now()
	for _, s := range services {
		share := fl.f.share(fl.state, s, len(fl.route.Shards) > 0)
		p := &part{
			service: s,
			work:    ranker.Workload{Service: s, TargetLatency: fl.route.TargetLatency},
			budget:  fl.f.budget(s, share.slack, now),
			list:    fl.state.View.Services[s],
			conns:   share.conns,
			fragile: fl.state.Table.Config.Services[s].WarmupPerSecond > 0,
		}
		p.budget.Deposit(1, now)
		fl.parts = append(fl.parts, p)
	}
}

// finish lets the tries still under way run on for a while, so that their connections stay
// whole, unless the caller has gone.
func (fl *flight) finish() {
	if fl.timer != nil {
		fl.timer.Stop()
	}
	var open []Exchange
	for _, p := range fl.parts {
		p.over.Store(true)
		for _, t := range p.tries {
			if t.end == "" {
				open = append(open, t.exchange)
			}
		}
	}
	if len(open) == 0 {
		return
	}
	if fl.callerLeft() {
		cancelAll(open)
		return
	}
	fl.answered.Store(true)
	end := fl.r.Arrived.Add(max(lingerTargets*fl.route.TargetLatency, leastLinger))
	if last := fl.deadline.Add(replyGrace); !fl.route.Idempotent || last.Before(end) {
		end = last
	}
	time.AfterFunc(time.Until(end), func() { cancelAll(open) })
}

// callerLeft reports whether the caller has gone before its answer was known.
func (fl *flight) callerLeft() bool {
	return !fl.answered.Load() && fl.ctx.Err() != nil && !errors.Is(context.Cause(fl.ctx), ErrResponseSent)
}

func cancelAll(open []Exchange) {
	for _, x := range open {
		x.Cancel()
	}
}

// margin is the time before a limit at which the answer has to leave this VM: the caller's
// clock started one way before the request arrived, and the answer takes another.
func (fl *flight) margin() time.Duration {
	return answerMargin + 2*fl.f.cfg.CallerDelay
}

// cutoff is the time at which an answer has to leave this VM to be there by the target.
func (fl *flight) cutoff() time.Time {
	if !fl.leave.IsZero() {
		return fl.leave
	}
	return fl.target.Add(-fl.margin())
}

// gather answers with parts of the shards.
func (fl *flight) gather(shards []string, need int) Response {
	fl.start(shards, need)
	defer fl.finish()
	fl.launchAll()
	cutoff, last := fl.cutoff(), fl.deadline.Add(-fl.margin())
	for {
		now := time.Now()
		switch {
		case fl.whole >= need && (fl.ended+fl.parked == len(shards) || !now.Before(cutoff)):
			return fl.merge()
		case len(shards)-fl.ended+fl.whole < need:
			return fl.failed()
		case !now.Before(last):
			return fl.timeout()
		}
		wake := last
		if fl.whole >= need && cutoff.Before(wake) {
			wake = cutoff
		}
		if !fl.wait(fl.nextHedge(wake)) {
			return Response{}
		}
	}
}

// single answers with the reply of one replica.
func (fl *flight) single(service string) Response {
	fl.start([]string{service}, 1)
	defer fl.finish()
	fl.launchAll()
	p := fl.parts[0]
	last := fl.deadline.Add(-answerMargin)
	for !p.ended {
		if !time.Now().Before(last) {
			return fl.timeout()
		}
		if !fl.wait(fl.nextHedge(last)) {
			return Response{}
		}
	}
	if p.reply == nil {
		return fl.failed()
	}
	return Response{Status: p.reply.Status, Fields: p.reply.Fields, Body: p.reply.Body}
}

// nextHedge returns the time of the next hedge, or wake if that comes first.
func (fl *flight) nextHedge(wake time.Time) time.Time {
	for _, p := range fl.parts {
		if !p.ended && !p.hedgeAt.IsZero() && p.hedgeAt.Before(wake) {
			wake = p.hedgeAt
		}
	}
	return wake
}

// wait takes in the results that are there by the next one or by wake, and sends the hedges
// that are due. It returns false when the caller has gone.
func (fl *flight) wait(wake time.Time) bool {
	if fl.timer == nil {
		fl.timer = time.NewTimer(time.Until(wake))
	} else {
		fl.timer.Reset(time.Until(wake))
	}
	select {
	case <-fl.inbox.arrived:
		for _, r := range fl.inbox.take() {
			fl.take(r)
		}
	case <-fl.timer.C:
	case <-fl.ctx.Done():
		return false
	}
	now := time.Now()
	for _, p := range fl.parts {
		if !p.ended && !p.hedgeAt.IsZero() && !now.Before(p.hedgeAt) {
			p.hedgeAt = time.Time{}
			fl.launch(p, p.open > 0)
		}
	}
	return true
}

// launch sends a part to the best replica that had no try of it. It ends the part when there
// is none and no try is under way.
func (fl *flight) launch(p *part, hedge bool) {
	now := time.Now()
	c, expect := fl.f.best(p.list, p.tried, p.work, p.conns, p.fragile, now)
	fl.launchTo(p, c, expect, hedge, now)
}

// launchTo does what launch does with the replica chosen already; c is nil if there is none.
func (fl *flight) launchTo(p *part, c *registrar.Candidate, expect ranker.Estimate, hedge bool, now time.Time) {
	if reason := fl.decline(p, c, expect, hedge, now); reason != "" {
		fl.f.metrics.declined.WithLabelValues(reason).Inc()
		switch again := now.Add(hedgeAgain); {
		case reason == reasonReserved && again.Before(fl.cutoff()):
			p.hedgeAt = again
			fl.park(p, p.open == 0)
		case p.open == 0:
			fl.giveUp(p, reason)
		}
		return
	}
	fl.park(p, false)
	p.tried = append(p.tried, c.ID)
	t := &try{fl: fl, part: p, to: c, began: now, hedge: hedge}
	if p.sent+p.open > 0 {
		t.extra = 1
	}
	p.tries = append(p.tries, t)
	p.open++
	if !hedge && p.ran == 0 && fl.route.Idempotent && fl.route.MaxAttempts > 1 {
		p.hedgeAt = now.Add(fl.hedgeDelay(p, expect, now))
	}
	fl.f.metrics.sends[t.kind()].Inc()
	fl.f.ranks.Begin(c.Key, now)
	t.exchange = fl.f.backend.Send(c, ReplicaRequest{
		Request: fl.r, Deadline: fl.deadline, MaxConns: p.conns, BodyOnly: len(fl.route.Shards) > 0,
	}, t)
}

// park notes whether a part waits for the budget.
func (fl *flight) park(p *part, parked bool) {
	switch {
	case parked && !p.parked:
		fl.parked++
	case !parked && p.parked:
		fl.parked--
	}
	p.parked = parked
}

// take takes in the end of a try.
func (fl *flight) take(r result) {
	p := r.try.part
	p.open--
	notRun := unsent(r.err) || (r.err == nil && (r.reply.NotRun || r.reply.Misdirected))
	r.try.took, r.try.end = r.at.Sub(r.try.began), ending(r)
	if !r.try.sent.IsZero() {
		p.sent++
	}
	if notRun {
		p.refused++
	} else {
		p.ran++
		fl.anyRan = true
	}
	if p.ended {
		return
	}
	if r.err == nil && r.reply.Success() {
		p.reply, p.ended = r.reply, true
		fl.whole++
		fl.ended++
		fl.prove()
		p.over.Store(true)
		return
	}
	if r.err == nil && !notRun {
		p.failure = r.reply
	}
	if p.open > 0 {
		if r.try.hedge && notRun {
			// The first try is still late.
			p.hedgeAt = r.at
		}
		return
	}
	if !notRun && !fl.route.Idempotent {
		fl.giveUp(p, reasonMayHaveRun)
		return
	}
	p.hedgeAt = time.Time{}
	fl.launch(p, false)
}

func (fl *flight) giveUp(p *part, reason string) {
	p.ended, p.reason = true, reason
	fl.ended++
	fl.park(p, false)
	p.over.Store(true)
}
