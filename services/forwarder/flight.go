package forwarder

import (
	"context"
	"errors"
	"math"
	"net/http"
	"time"

	"github.com/ebonylock/ebonylock/modules/budgeter"
	"github.com/ebonylock/ebonylock/modules/merger"
	"github.com/ebonylock/ebonylock/modules/ranker"
	"github.com/ebonylock/ebonylock/modules/registrar"
	"github.com/ebonylock/ebonylock/modules/router"
)

const (
	// answerMargin is the time that this VM needs to put an answer together and send it.
	answerMargin = 3 * time.Millisecond
	// replyGrace is the time after the deadline for a replica to say that it has stopped.
	replyGrace = 150 * time.Millisecond
	// maxRefusals is the number of sends for a part that replicas may refuse or that never
	// leave the VM, besides the attempts that run.
	maxRefusals = 2
)

// part is the work for one service.
type part struct {
	service string
	work    ranker.Work
	budget  *budgeter.Budget
	list    []*registrar.Candidate
	// tried are the replicas that had a try.
	tried []string
	// sent counts the tries that reached a replica, ran those that may have run there.
	sent, ran int
	// refused counts the tries that did not run.
	refused int
	// open counts the tries under way.
	open int
	// hedgeAt is the time for another try beside the first; zero for none.
	hedgeAt time.Time
	reply   *Reply
	// failure is the last reply of a replica that is none to merge.
	failure *Reply
	// ended is true once the part has a reply or is given up.
	ended  bool
	reason string
}

// try is one send of a part.
type try struct {
	part  *part
	to    *registrar.Candidate
	began time.Time
	hedge bool
	// sent is set by the sender before it writes.
	sent bool
}

type result struct {
	try   *try
	reply *Reply
	err   error
}

// flight is one request under way. It belongs to the goroutine that serves the request; each
// try runs in a goroutine of its own and reports through results.
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
	// tries is the parent of all tries; it ends when the caller has gone.
	tries   context.Context
	cancel  context.CancelFunc
	parts   []*part
	results chan result
	// anyRan is true once any try ended that may have run.
	anyRan bool
}

func (fl *flight) start(services []string) {
	fl.tries, fl.cancel = context.WithDeadline(context.Background(), fl.deadline.Add(replyGrace))
	fl.results = make(chan result, len(services)*(fl.route.MaxAttempts+maxRefusals))
	for _, s := range services {
		p := &part{
			service: s,
			work:    ranker.Work{Service: s, Target: fl.route.Target},
			budget:  fl.f.budget(s, fl.state.VMs),
			list:    fl.state.View.Services[s],
		}
		p.budget.Deposit(1)
		fl.parts = append(fl.parts, p)
	}
}

// finish lets the tries still under way run on to their deadline, so that their connections
// stay whole, unless the caller has gone.
func (fl *flight) finish() {
	open := 0
	for _, p := range fl.parts {
		open += p.open
	}
	if open == 0 || fl.ctx.Err() != nil {
		fl.cancel()
		return
	}
	time.AfterFunc(time.Until(fl.deadline.Add(replyGrace)), fl.cancel)
}

// gather answers with parts of the shards.
func (fl *flight) gather(shards []string) Answer {
	fl.start(shards)
	defer fl.finish()
	for _, p := range fl.parts {
		fl.launch(p, false)
	}
	need := int(math.Ceil(fl.route.MinShare*float64(len(shards)) - 1e-9))
	need = max(need, 1)
	cutoff := fl.target.Add(-fl.margin())
	last := fl.deadline.Add(-fl.margin())
	for {
		whole, ended := fl.count()
		now := time.Now()
		switch {
		case ended == len(shards) && whole >= need, whole >= need && !now.Before(cutoff):
			return fl.merge()
		case len(shards)-ended+whole < need:
			return fl.failed()
		case !now.Before(last):
			return fl.timeout()
		}
		wake := last
		if whole >= need && cutoff.Before(wake) {
			wake = cutoff
		}
		if !fl.wait(fl.nextHedge(wake)) {
			return Answer{}
		}
	}
}

// single answers with the reply of one replica.
func (fl *flight) single(service string) Answer {
	fl.start([]string{service})
	defer fl.finish()
	p := fl.parts[0]
	fl.launch(p, false)
	last := fl.deadline.Add(-answerMargin)
	for !p.ended {
		if !time.Now().Before(last) {
			return fl.timeout()
		}
		if !fl.wait(fl.nextHedge(last)) {
			return Answer{}
		}
	}
	if p.reply == nil {
		return fl.failed()
	}
	return Answer{Status: p.reply.Status, Fields: p.reply.Fields, Body: p.reply.Body}
}

// margin is the time before a limit at which the answer has to leave this VM. On a new
// connection the caller's clock has run for one round trip more.
func (fl *flight) margin() time.Duration {
	d := answerMargin + 2*fl.f.cfg.CallerDelay
	if fl.r.NewConn {
		d += 2 * fl.f.cfg.CallerDelay
	}
	return d
}

func (fl *flight) count() (whole, ended int) {
	for _, p := range fl.parts {
		if p.ended {
			ended++
		}
		if p.reply != nil {
			whole++
		}
	}
	return whole, ended
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

// wait takes in results until the next one or until wake. It returns false when the caller
// has gone.
func (fl *flight) wait(wake time.Time) bool {
	timer := time.NewTimer(time.Until(wake))
	defer timer.Stop()
	select {
	case r := <-fl.results:
		fl.take(r)
		for {
			select {
			case r := <-fl.results:
				fl.take(r)
				continue
			default:
			}
			break
		}
	case <-timer.C:
	case <-fl.ctx.Done():
		return false
	}
	now := time.Now()
	for _, p := range fl.parts {
		if !p.ended && !p.hedgeAt.IsZero() && !now.Before(p.hedgeAt) {
			p.hedgeAt = time.Time{}
			fl.launch(p, true)
		}
	}
	return true
}

// launch sends a part to the best replica that had no try of it. It ends the part when there
// is none and no try is under way.
func (fl *flight) launch(p *part, hedge bool) {
	now := time.Now()
	c, expect := fl.f.best(p.list, p.tried, p.work, now)
	if reason := fl.decline(p, c, expect, hedge); reason != "" {
		if p.open == 0 {
			fl.giveUp(p, reason)
		}
		return
	}
	p.tried = append(p.tried, c.ID)
	t := &try{part: p, to: c, began: now, hedge: hedge}
	p.open++
	if !hedge && p.ran == 0 && fl.route.Idempotent && fl.route.MaxAttempts > 1 {
		p.hedgeAt = now.Add(fl.hedgeDelay(p, c, expect, now))
	}
	fl.f.ranks.Begin(c.Key(), now)
	go fl.send(t)
}

// decline returns the reason against another try, empty if there is none.
func (fl *flight) decline(p *part, c *registrar.Candidate, expect ranker.Estimate, hedge bool) string {
	switch {
	case c == nil && len(p.tried) == 0:
		return "no-replica"
	case c == nil:
		return "no-other-replica"
	case p.ran+p.open >= max(fl.route.MaxAttempts, 1):
		return "attempts"
	case p.refused >= maxRefusals:
		return "refused"
	case hedge && expect.Ejected:
		return "no-sound-replica"
	case p.sent+p.open > 0 && !p.budget.Withdraw():
		return "budget"
	}
	return ""
}

// hedgeDelay is the time after which a second replica is asked as well. It grows as the
// budget empties, but leaves the second one its time before the target where it can.
func (fl *flight) hedgeDelay(p *part, c *registrar.Candidate, expect ranker.Estimate, now time.Time) time.Duration {
	if expect.Suspect {
		return hedgeFloor
	}
	spent := 1 - p.budget.Fullness()
	stretch := hedgeEager + (hedgeThrifty-hedgeEager)*spent
	delay := expect.Mean + time.Duration(stretch*float64(expect.Deviation))
	_, other := fl.f.best(p.list, []string{c.ID}, p.work, now)
	latest := fl.target.Add(-fl.margin()).Sub(now) - other.Mean - 2*other.Deviation
	if latest < delay && latest > expect.Mean {
		delay = latest
	}
	return max(delay, hedgeFloor)
}

const (
	// hedgeFloor is the least delay of a hedge.
	hedgeFloor = 3 * time.Millisecond
	// hedgeEager and hedgeThrifty are the deviations above the mean after which a hedge is
	// sent with a full and with an empty budget.
	hedgeEager   = 1.5
	hedgeThrifty = 5
)

// send runs in its own goroutine.
func (fl *flight) send(t *try) {
	m := Message{Request: fl.r, Deadline: fl.deadline, MaxConns: conns(fl.state, t.part.service)}
	reply, err := fl.f.backend.Send(fl.tries, t.to, m, func() { t.sent = true })
	now := time.Now()
	var load *ranker.Load
	if reply != nil {
		load = reply.Load
	}
	fl.f.ranks.End(t.to.Key(), t.part.work, t.began, now, fl.judge(reply, err), load)
	fl.results <- result{try: t, reply: reply, err: err}
}

// judge says what the end of a try tells of its replica.
func (fl *flight) judge(reply *Reply, err error) ranker.Outcome {
	switch {
	case err == nil && reply.Success():
		return ranker.Served
	case err == nil && reply.Misdirected:
		return ranker.Dead
	case err == nil && reply.NotRun:
		return ranker.Shed
	case err == nil, errors.Is(err, ErrBadReply):
		return ranker.Failed
	case errors.Is(err, ErrBusy), fl.ctx.Err() != nil:
		return ranker.Unjudged
	}
	return ranker.Dead
}

// take takes in the end of a try.
func (fl *flight) take(r result) {
	p := r.try.part
	p.open--
	notRun := errors.Is(r.err, ErrUnsent) || errors.Is(r.err, ErrBusy) || (r.err == nil && (r.reply.NotRun || r.reply.Misdirected))
	if r.try.sent {
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
		return
	}
	if r.err == nil && !notRun {
		p.failure = r.reply
	}
	if p.open > 0 {
		return
	}
	if !notRun && !fl.route.Idempotent {
		fl.giveUp(p, "may-have-run")
		return
	}
	p.hedgeAt = time.Time{}
	fl.launch(p, false)
}

func (fl *flight) giveUp(p *part, reason string) {
	p.ended, p.reason = true, reason
}

func (fl *flight) merge() Answer {
	a := Answer{Status: http.StatusOK, Gathered: true}
	bodies := make([][]byte, 0, len(fl.parts))
	for _, p := range fl.parts {
		if p.reply == nil {
			a.Missing++
			continue
		}
		bodies = append(bodies, p.reply.Body)
		a.Stamps = append(a.Stamps, p.reply.Stamp)
	}
	a.Body = merger.Top(bodies, fl.route.Top)
	return a
}

// failed is the answer to a request that can't be served any more.
func (fl *flight) failed() Answer {
	if !fl.mayHaveRun() {
		return notRun(unknownRetry)
	}
	if r := fl.parts[0].failure; len(fl.route.Shards) == 0 && r != nil && mayPass(r) {
		return Answer{Status: r.Status, Fields: r.Fields, Body: r.Body}
	}
	return Answer{Status: http.StatusBadGateway}
}

// mayHaveRun reports whether any replica may have begun to run the request.
func (fl *flight) mayHaveRun() bool {
	for _, p := range fl.parts {
		if p.open > 0 {
			return true
		}
	}
	return fl.anyRan
}

// mayPass reports whether a replica's failure can go to the caller as it is. A status that
// promises that the request has not run is not passed on for one that may have.
func mayPass(r *Reply) bool {
	switch r.Status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return false
	}
	return r.Stamp != "" && r.Status >= 400
}

// timeout is the answer to a request whose time is over.
func (fl *flight) timeout() Answer {
	if !fl.mayHaveRun() {
		return notRun(0)
	}
	return Answer{Status: http.StatusGatewayTimeout}
}
