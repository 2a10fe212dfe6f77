package forwarder

import (
	"errors"
	"time"

	"github.com/ebonylock/ebonylock/modules/ranker"
	"github.com/ebonylock/ebonylock/modules/registrar"
)

// try is one send of a part. It implements Sending.
type try struct {
	fl    *flight
	part  *part
	to    *registrar.Candidate
	began time.Time
	hedge bool
	// extra is the number of extra sends that were accounted for.
	extra float64
	// sent is the time at which the sender began to write; zero if it did not.
	sent time.Time
	// took and end are set when the flight takes in the result.
	took time.Duration
	end  string
	// exchange is what the Backend does for it.
	exchange Exchange
}

type result struct {
	try   *try
	reply *Reply
	err   error
	at    time.Time
}

// kind is one of the kinds of sends.
func (t *try) kind() int {
	switch {
	case t.hedge:
		return sendHedge
	case len(t.part.tries) > 1:
		return sendRetry
	}
	return sendFirst
}

// StillNeeded implements Sending.
func (t *try) StillNeeded() bool {
	now := time.Now()
	if t.part.over.Load() {
		t.part.budget.Refund(t.extra, now)
		return false
	}
	t.sent = now
	return true
}

// Done implements Sending.
func (t *try) Done(reply *Reply, err error) {
	fl, now := t.fl, time.Now()
	run := ranker.Result{Started: t.began, Outcome: fl.judge(reply, err)}
	if reply != nil {
		run.Load = reply.Load
	}
	if !t.sent.IsZero() {
		run.Duration = now.Sub(t.sent)
	}
	change := fl.f.ranks.End(t.to.Key, t.part.work, run, now)
	fl.f.logChange(t, change, err)
	if errors.Is(err, ErrConnLost) && !fl.callerLeft() {
		go fl.f.checkLoss(t.to, fl.fingerprint, now)
	}
	fl.inbox.add(result{try: t, reply: reply, err: err, at: now})
}

// judge says what the end of a try tells of its replica.
func (fl *flight) judge(reply *Reply, err error) ranker.Outcome {
	switch {
	case err == nil && reply.Success():
		return ranker.Served
	case err == nil && reply.Misdirected:
		return ranker.Unreachable
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

// unsent reports whether err says that the replica got nothing.
func unsent(err error) bool {
	return errors.Is(err, ErrNotSent) || errors.Is(err, ErrNoFreeConn) || errors.Is(err, ErrNotNeeded)
}

// ending is a word for how a try ended.
func ending(r result) string {
	switch {
	case errors.Is(r.err, ErrNotSent):
		return "not-sent"
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
	case r.reply.NotRun:
		return "shed"
	case !r.reply.Success():
		return "failed"
	}
	return "served"
}
