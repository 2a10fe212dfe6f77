package forwarder

import (
	"errors"
	"time"

	"github.com/ebonylock/ebonylock/modules/gatekeeper"
	"github.com/ebonylock/ebonylock/modules/quarantiner"
	"github.com/ebonylock/ebonylock/modules/ranker"
	"github.com/ebonylock/ebonylock/modules/registrar"
)

// attempt is one send of a part to a replica. It implements SendHandler.
type attempt struct {
	fl   *flight
	part *part
	to   *registrar.Candidate
	// view is the view that to was chosen from.
	view  *registrar.View
	began time.Time
	hedge bool
	// extra is the number of extra sends withdrawn from the budget.
	extra float64
	// cold is true if the replica's request rate is limited.
	cold bool
	// sent is the time at which the request was about to be written; zero if it was not written.
	sent time.Time
	// closed is true if the request was not written because the replica wants no more requests, or not
	// this one.
	closed bool
	// took and end are set when the flight handles the result.
	took time.Duration
	end  string
	// exchange is the exchange that the Backend started for this attempt.
	exchange Exchange
}

type result struct {
	attempt *attempt
	reply   *Reply
	err     error
	at      time.Time
}

// kind returns the index of the attempt's kind in sendKinds.
func (a *attempt) kind() int {
	switch {
	case a.hedge:
		return sendHedge
	case len(a.part.attempts) > 1:
		return sendRetry
	}
	return sendFirst
}

// StillNeeded implements SendHandler.
func (a *attempt) StillNeeded() bool {
	now := time.Now()
	if a.part.notNeeded.Load() {
		a.part.budget.Refund(a.extra, now)
		return false
	}
	// While the request waited, the replica may have left, or said that it leaves or wants a pause, and the
	// request may have been blocked.
	gone := false
	if v := a.fl.f.states.State().View; v != a.view {
		gone = !v.Has(a.part.service, a.to.Key)
	}
	if g := a.fl.f.gate.Ask(a.to.Key, now); gone || g.State == gatekeeper.Leaving || !g.Until.IsZero() {
		a.closed = true
		a.part.budget.Refund(a.extra, now)
		return false
	}
	if fl := a.fl; fl.f.suspected(fl.identity) && fl.f.verdict(fl.identity, a.to, now) == quarantiner.Blocked {
		a.closed = true
		a.part.budget.Refund(a.extra, now)
		return false
	}
	if a.cold && now.Sub(a.began) > maxColdWait && !a.fl.f.cold.Begin(a.to.Key, a.fl.coldLimit(a.part, a.to, now), now) {
		a.closed = true
		a.part.budget.Refund(a.extra, now)
		return false
	}
	a.sent = now
	return true
}

// Noted implements SendHandler.
func (a *attempt) Noted(n Notice) {
	a.fl.f.handleNotice(a.to, n, time.Now())
}

// Done implements SendHandler.
func (a *attempt) Done(reply *Reply, err error) {
	fl, now := a.fl, time.Now()
	if a.part.notNeeded.Load() {
		reply.Drop()
	}
	run := ranker.Result{Started: a.began, Outcome: fl.replicaOutcome(reply, err), Slots: a.to.Slots}
	if reply != nil {
		run.Load = reply.Load
	}
	if !a.sent.IsZero() {
		run.Duration = now.Sub(a.sent)
	}
	if a.cold && (a.sent.IsZero() || (err == nil && reply.Misdirected)) {
		fl.f.cold.Refund(a.to.Key, a.began)
	}
	fl.f.gate.End(a.to.Key, a.began, run.Outcome == ranker.Served, now)
	change := fl.f.ranks.End(a.to.Key, a.part.work, run, now)
	fl.f.logReplicaChange(a, change, err)
	if errors.Is(err, ErrConnLost) && !fl.callerLeft() {
		go a.checkCrash(now)
	}
	if !fl.inbox.add(result{attempt: a, reply: reply, err: err, at: now}) {
		reply.Drop()
	}
}

// replicaOutcome returns what the end of an attempt indicates about its replica.
func (fl *flight) replicaOutcome(reply *Reply, err error) ranker.Outcome {
	switch {
	case err == nil && reply.Success():
		return ranker.Served
	case err == nil && reply.Misdirected:
		return ranker.Unreachable
	case err == nil && reply.NotRun && reply.Pause > 0:
		return ranker.Inconclusive // a pause is no failure
	case err == nil && reply.NotRun:
		return ranker.Shed
	case err == nil, errors.Is(err, ErrBadReply):
		return ranker.Failed
	case errors.Is(err, ErrNoFreeConn), errors.Is(err, ErrNotNeeded), fl.callerLeft():
		return ranker.Inconclusive
	case errors.Is(err, ErrReplyTimeout):
		return ranker.NoReply
	}
	return ranker.Unreachable
}

// unsent reports whether err means that nothing was sent to the replica.
func unsent(err error) bool {
	return errors.Is(err, ErrNotSent) || errors.Is(err, ErrNoFreeConn) || errors.Is(err, ErrNotNeeded)
}

// attemptEnd returns the code for how an attempt ended, as used in logs.
func attemptEnd(r result) string {
	switch {
	case errors.Is(r.err, ErrNotSent):
		return "not-sent"
	case r.attempt.closed:
		return "replica-closed"
	case errors.Is(r.err, ErrNotNeeded):
		return "not-needed"
	case errors.Is(r.err, ErrNoFreeConn):
		return "no-connection-free"
	case errors.Is(r.err, ErrConnLost):
		return "connection-lost"
	case errors.Is(r.err, ErrBadReply):
		return "bad-reply"
	case errors.Is(r.err, ErrReplyTimeout):
		return "silent"
	case r.err != nil:
		return "error"
	case r.reply.Misdirected:
		return "misdirected"
	case r.reply.NotRun && r.reply.Pause > 0:
		return "paused"
	case r.reply.NotRun:
		return "shed"
	case !r.reply.Success():
		return "failed"
	}
	return "served"
}
