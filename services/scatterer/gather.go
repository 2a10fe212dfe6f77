package scatterer

import (
	"cmp"
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/ebonylock/ebonylock/modules/executor"
	"github.com/ebonylock/ebonylock/modules/locator"
	"github.com/ebonylock/ebonylock/modules/quarantiner"
	"github.com/ebonylock/ebonylock/services/dispatcher"
)

const (
	// maxAttempts limits the tries for one part that may have run, hedges included.
	maxAttempts = 8
	// maxCrashes is the number of servers lost after which a query is not tried again.
	maxCrashes = 2
	// maxMoves limits how often a part is moved from queue to queue.
	maxMoves = 2
	// minRetryPause is the wait before the replicas of a part are gone through again; it
	// doubles each time up to lastPause.
	minRetryPause = 4 * time.Millisecond
	maxRetryPause = 64 * time.Millisecond
	// silenceTimeout is the silence of another VM after which its work is hedged.
	silenceTimeout = 60 * time.Millisecond
	// maxHedgeLoad is the load per slot above which a replica gets no hedge.
	maxHedgeLoad = 4.0
)

func formatSeq(n uint64) string {
	return strconv.FormatUint(n, 36)
}

// subquery is the work for one service.
type subquery struct {
	service  string
	inFlight []*attempt
	tried    []string
	attempts int
	moves    int
	hedges   int
	// lostAttempts counts the tries lost with their server or owner.
	lostAttempts int
	// retryPause is the wait before the next round through the replicas.
	retryPause time.Duration
	// started is true once the part has had a try.
	started bool
	// done is true once the part has a whole reply or is given up.
	done   bool
	reply  *executor.Reply
	reason string
}

// attempt is one Sub at one owner.
type attempt struct {
	subquery *subquery
	server   string
	call     *ownerCall
	index    int
	// hedge is true for a try made beside another one that runs.
	hedge bool
	slow    bool
}

// ownerCall is one batch under way at one owner.
type ownerCall struct {
	owner    string
	attempts []*attempt
	// responded is true once any event has come.
	responded bool
	cancels   chan int
}

type gatherEvent struct {
	call  *ownerCall
	event dispatcher.Event
	// retryDue is a part whose pause before the next try is over.
	retryDue *subquery
	// ownerSilent is true when nothing was heard of the call for stallAfter.
	ownerSilent bool
}

// gather is one attempt at a query in one generation. It belongs to one goroutine.
type gather struct {
	scatterer  *Scatterer
	ctx        context.Context
	stop       context.CancelFunc
	view       *locator.View
	query      Query
	generation uint64
	// fingerprint identifies the query to the crash register.
	fingerprint quarantiner.Fingerprint
	minimum     float64
	fast        bool
	// knownSafe is true once the query is known to be harmless. Before that only one part,
	// the canary, is under way.
	knownSafe bool
	// crashes counts the servers that the query is known to have crashed.
	crashes int
	// givingUp is true once every open part is being given up.
	givingUp   bool
	subqueries []*subquery
	unfinished int
	events     eventQueue
	hedges     int
	retries    int
	moves      int
}

func newGather(ctx context.Context, s *Scatterer, view *locator.View, q Query, services []string, generation uint64) *gather {
	g := &gather{scatterer: s, view: view, query: q, generation: generation, unfinished: len(services)}
	g.ctx, g.stop = context.WithCancel(ctx)
	for _, svc := range services {
		g.subqueries = append(g.subqueries, &subquery{service: svc})
	}
	g.events.wake = make(chan struct{}, 1)
	g.fingerprint = s.fingerprint(q)
	g.knownSafe = s.cfg.NoCanary || s.quarantine.Proven(g.fingerprint)
	if s.quarantine.Verdict(g.fingerprint, time.Now()) == quarantiner.Suspect {
		g.crashes = 1
	}
	return g
}

func (g *gather) run() Answer {
	defer g.stop()
	if g.knownSafe {
		g.startAll()
	} else {
		g.startCanary()
	}
	for g.unfinished > 0 && !g.reachedMinimum() {
		select {
		case <-g.events.wake:
			for _, e := range g.events.takeAll() {
				g.handle(e)
			}
		case <-g.ctx.Done():
			g.giveUpAll("timeout")
		}
	}
	g.giveUpAll("minimum-reached")
	return g.buildAnswer()
}

// startAll starts every part that is not under way.
func (g *gather) startAll() {
	var first []*attempt
	for _, sq := range g.subqueries {
		if sq.done || sq.started {
			continue
		}
		if a := g.nextAttempt(sq); a != nil {
			first = append(first, a)
		}
	}
	g.countFirstAttempts(len(first))
	g.sendAttempts(first)
}

func (g *gather) countFirstAttempts(n int) {
	g.scatterer.budget.Deposit(n)
	g.scatterer.metrics.firstAttempts.Add(float64(n))
}

// nextAttempt makes the nextAttempt try of p at the best replica not tried yet, or ends p.
func (g *gather) nextAttempt(sq *subquery) *attempt {
	server, _ := g.pickServer(sq)
	if server == "" || sq.attempts >= maxAttempts {
		g.giveUp(sq, cmp.Or(sq.reason, g.noServerReason(sq)))
		return nil
	}
	return g.newAttempt(sq, server)
}

func (g *gather) newAttempt(sq *subquery, server string) *attempt {
	sq.started = true
	sq.attempts++
	sq.tried = append(sq.tried, server)
	a := &attempt{subquery: sq, server: server}
	sq.inFlight = append(sq.inFlight, a)
	return a
}

func (g *gather) pickServer(sq *subquery) (string, float64) {
	var candidates []string
	for _, id := range g.view.Usable[sq.service] {
		if _, owned := g.view.Owners[id]; !owned || slices.Contains(sq.tried, id) {
			continue
		}
		if g.scatterer.generations.Known(id) && !g.scatterer.generations.Holds(id, g.generation) {
			continue
		}
		candidates = append(candidates, id)
	}
	if !g.knownSafe {
		return g.firstByHash(g.withResponsiveOwners(candidates)), 0
	}
	return g.scatterer.loads.leastLoaded(candidates, g.view.Owners, time.Now())
}

// noServerReason is the reason for which a part has no replica to try.
func (g *gather) noServerReason(sq *subquery) string {
	usable := g.view.Usable[sq.service]
	if len(usable) == 0 {
		return "no-backend-server"
	}
	for _, id := range usable {
		if _, owned := g.view.Owners[id]; owned {
			return "no-generation"
		}
	}
	return "no-owner"
}

// sendAttempts sends the tries, one batch per owner.
func (g *gather) sendAttempts(tries []*attempt) {
	calls := make(map[string]*ownerCall)
	batches := make(map[string][]dispatcher.Subrequest)
	for _, a := range tries {
		owner := g.view.Owners[a.server]
		c := calls[owner]
		if c == nil {
			c = &ownerCall{owner: owner, cancels: make(chan int, len(tries))}
			calls[owner] = c
		}
		a.call, a.index = c, len(c.attempts)
		c.attempts = append(c.attempts, a)
		batches[owner] = append(batches[owner], g.newSubrequest(a))
		g.scatterer.loads.begin(a.server)
	}
	for owner, c := range calls {
		g.sendBatch(owner, c, batches[owner])
	}
}

func (g *gather) sendBatch(owner string, c *ownerCall, batch []dispatcher.Subrequest) {
	emit := func(e dispatcher.Event) { g.events.push(gatherEvent{call: c, event: e}) }
	go func() {
		_ = g.scatterer.fleet.Owner(owner).Dispatch(g.ctx, batch, c.cancels, emit)
	}()
	if owner != g.view.Self {
		g.scheduleSilenceCheck(c)
	}
}

// scheduleSilenceCheck looks after stallAfter whether the call was heard of.
func (g *gather) scheduleSilenceCheck(c *ownerCall) {
	time.AfterFunc(silenceTimeout, func() { g.events.push(gatherEvent{call: c, ownerSilent: true}) })
}

// ownerSilent hedges the work of an owner that has sent nothing to anyone for stallAfter, and
// makes the owner look loaded for a while. Work that only waits in a queue is left there.
func (g *gather) ownerSilent(c *ownerCall) {
	now := time.Now()
	if c.responded || g.ctx.Err() != nil {
		return
	}
	if !g.scatterer.loads.silent(c.owner, silenceTimeout, now) {
		g.scheduleSilenceCheck(c)
		return
	}
	g.scatterer.loads.reportFailure(c.owner, now)
	for _, a := range c.attempts {
		if !a.subquery.done && slices.Contains(a.subquery.inFlight, a) {
			g.hedge(a.subquery)
		}
	}
}

func (g *gather) newSubrequest(a *attempt) dispatcher.Subrequest {
	sq := a.subquery
	return dispatcher.Subrequest{
		Server:      a.server,
		ID:          g.scatterer.nextAttemptID(),
		Service:     sq.service,
		Generation:  g.generation,
		Body:        g.query.Body,
		Deadline:    g.deadline(),
		Idempotent:  true,
		Urgent:      sq.attempts+sq.moves > 1,
		MayMove:     g.knownSafe && !g.scatterer.cfg.NoMoves && sq.moves < maxMoves,
		SlowAfter:   g.slowAfter(a),
		Fingerprint: g.fingerprint,
	}
}

func (g *gather) deadline() time.Time {
	d, _ := g.ctx.Deadline()
	return d
}

func (g *gather) slowAfter(a *attempt) time.Duration {
	if g.scatterer.cfg.MaxHedges == 0 {
		return 0
	}
	return g.scatterer.hedgeDelays.delay(a.subquery.service)
}

func (g *gather) handle(e gatherEvent) {
	if e.retryDue != nil {
		g.retry(e.retryDue)
		return
	}
	if e.ownerSilent {
		g.ownerSilent(e.call)
		return
	}
	e.call.responded = true
	g.scatterer.loads.recordEvent(e.call.owner, time.Now())
	a := e.call.attempts[e.event.Index]
	sq := a.subquery
	now := time.Now()
	g.scatterer.recordGenerations(a.server, sq.service, e.event.Reply)
	if e.event.Kind == dispatcher.Slow {
		g.slow(a)
		return
	}
	g.scatterer.loads.finish(a.server)
	sq.inFlight = slices.DeleteFunc(sq.inFlight, func(o *attempt) bool { return o == a })
	if e.event.Kind == dispatcher.Done {
		g.scatterer.loads.report(a.server, e.event.Load, now)
		g.handleReply(a, e.event.Reply)
		return
	}
	g.handleFailure(a, e.event, now)
}

// handleReply takes in a handleReply reply, which only counts in the generation asked for.
func (g *gather) handleReply(a *attempt, r executor.Reply) {
	sq := a.subquery
	if !a.slow && !a.hedge {
		g.scatterer.hedgeDelays.observe(sq.service, false, g.scatterer.slowShare())
	}
	if sq.done {
		return
	}
	if r.Generation != g.generation {
		sq.reason = "corrupt-reply"
		g.retry(sq)
		return
	}
	sq.reply = &r
	g.markSafe()
	if a.hedge {
		g.scatterer.metrics.hedgeWins.Inc()
	}
	g.finish(sq)
}

func (g *gather) finish(sq *subquery) {
	sq.done = true
	g.unfinished--
	for _, o := range sq.inFlight {
		g.scatterer.loads.finish(o.server)
		select {
		case o.call.cancels <- o.index:
		default:
		}
	}
	sq.inFlight = nil
}

func (g *gather) giveUp(sq *subquery, reason string) {
	if sq.done {
		return
	}
	sq.reason = reason
	g.finish(sq)
	if !g.knownSafe && !g.givingUp {
		g.startCanary()
	}
}

func (g *gather) giveUpAll(reason string) {
	g.givingUp = true
	for _, sq := range g.subqueries {
		g.giveUp(sq, reason)
	}
}
