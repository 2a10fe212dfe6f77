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
	// maxAttempts limits the attempts for one subquery that may have run, hedges included.
	maxAttempts = 8
	// maxCrashes is the number of lost servers after which a query is not tried again.
	maxCrashes = 2
	// maxMoves limits how often a subquery moves from one queue to another.
	maxMoves = 2
	// minRetryPause is the wait before a subquery that has tried all its replicas tries them
	// again. The wait doubles each time, up to maxRetryPause.
	minRetryPause = 4 * time.Millisecond
	maxRetryPause = 64 * time.Millisecond
	// silenceTimeout is the time without any event from another VM after which the work sent to
	// it is hedged.
	silenceTimeout = 60 * time.Millisecond
	// maxHedgeLoad is the load per slot above which a replica gets no hedge.
	maxHedgeLoad = 4.0
)

// formatSeq returns n in base 36.
func formatSeq(n uint64) string {
	return strconv.FormatUint(n, 36)
}

// subquery is the part of a query that one service answers.
type subquery struct {
	service string
	// inFlight are the attempts without a final event.
	inFlight []*attempt
	// tried are the IDs of the servers tried in the current round through the replicas.
	tried    []string
	attempts int
	moves    int
	hedges   int
	// lostAttempts counts the attempts that were lost with their server or owner and retried
	// without using the budget.
	lostAttempts int
	// retryPause is the last wait before another round through the replicas.
	retryPause time.Duration
	// started is true once the subquery has had an attempt.
	started bool
	// done is true once the subquery has a complete reply or was given up.
	done   bool
	reply  *executor.Reply
	reason string
}

// attempt is one Subrequest at one owner.
type attempt struct {
	subquery *subquery
	server   string
	call     *ownerCall
	index    int
	// hedge is true for an attempt started while another one of the subquery was in flight.
	hedge bool
	// slow is true once the attempt has been running for longer than the hedging delay.
	slow bool
}

// ownerCall is one batch sent to one owner.
type ownerCall struct {
	owner    string
	attempts []*attempt
	// responded is true once the owner has sent an event of the batch.
	responded bool
	// cancels receives the indexes of attempts to cancel.
	cancels chan int
}

// gatherEvent is an event for the goroutine of a gather: an event of an attempt, the end of a
// retry pause or a silence check.
type gatherEvent struct {
	call  *ownerCall
	event dispatcher.Event
	// retryDue is a subquery whose retry pause has ended, or nil.
	retryDue *subquery
	// ownerSilent is true for a silence check, which is due silenceTimeout after the batch was
	// sent or last checked.
	ownerSilent bool
}

// gather runs a query in one index generation. Its fields are used by one goroutine only.
type gather struct {
	scatterer  *Scatterer
	ctx        context.Context
	stop       context.CancelFunc
	view       *locator.View
	query      Query
	generation uint64
	// fingerprint identifies the query to the quarantine.
	fingerprint quarantiner.Fingerprint
	minimum     float64
	fast        bool
	// knownSafe is true once any service has replied to the query in this generation. Until then only
	// one subquery, the canary, is in flight.
	knownSafe bool
	// crashes counts the servers that were lost while they ran the query. It starts at 1 for a
	// suspect.
	crashes int
	// givingUp is true once every unfinished subquery is being given up.
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
	now := time.Now()
	g.knownSafe = s.cfg.NoCanary || g.proven(now)
	if !g.knownSafe && g.suspect(now) {
		g.crashes = 1
	}
	return g
}

// run runs the subqueries until each is finished, the minimum coverage of a fast search is
// reached or the context ends.
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

// startAll starts every subquery that has not started.
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

// countFirstAttempts adds n first attempts to the budget and to the metrics.
func (g *gather) countFirstAttempts(n int) {
	g.scatterer.budget.Deposit(n)
	g.scatterer.metrics.firstAttempts.Add(float64(n))
}

// nextAttempt creates the next attempt of sq at the best replica not tried yet, or gives sq up
// and returns nil.
func (g *gather) nextAttempt(sq *subquery) *attempt {
	server, _ := g.pickServer(sq)
	if server == "" || sq.attempts >= maxAttempts {
		g.giveUp(sq, cmp.Or(sq.reason, g.noServerReason(sq)))
		return nil
	}
	return g.newAttempt(sq, server)
}

// newAttempt adds an attempt of sq at the server, without sending it.
func (g *gather) newAttempt(sq *subquery, server string) *attempt {
	sq.started = true
	sq.attempts++
	sq.tried = append(sq.tried, server)
	a := &attempt{subquery: sq, server: server}
	sq.inFlight = append(sq.inFlight, a)
	return a
}

// pickServer returns the best server not tried yet that may hold the generation, and its load
// score; the ID is empty if there is none. A canary gets a server by the hash order of the query
// and no score.
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

// noServerReason returns the reason why a subquery has no replica to try.
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

// sendAttempts sends the attempts, in one batch per owner.
func (g *gather) sendAttempts(attempts []*attempt) {
	calls := make(map[string]*ownerCall)
	batches := make(map[string][]dispatcher.Subrequest)
	for _, a := range attempts {
		owner := g.view.Owners[a.server]
		c := calls[owner]
		if c == nil {
			c = &ownerCall{owner: owner, cancels: make(chan int, len(attempts))}
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

// sendBatch sends one batch to its owner without waiting for events.
func (g *gather) sendBatch(owner string, c *ownerCall, batch []dispatcher.Subrequest) {
	emit := func(e dispatcher.Event) { g.events.push(gatherEvent{call: c, event: e}) }
	go func() {
		_ = g.scatterer.fleet.Owner(owner).Dispatch(g.ctx, batch, c.cancels, emit)
	}()
	if owner != g.view.Self {
		g.scheduleSilenceCheck(c)
	}
}

// scheduleSilenceCheck queues a check after silenceTimeout whether the owner has responded to the
// call.
func (g *gather) scheduleSilenceCheck(c *ownerCall) {
	time.AfterFunc(silenceTimeout, func() { g.events.push(gatherEvent{call: c, ownerSilent: true}) })
}

// ownerSilent hedges the work of an owner that has sent no event for any query during
// silenceTimeout, and makes the owner count as loaded for a while. If the owner has sent events
// for other queries, the work may just be waiting in a queue and is left there.
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

// slowAfter returns the hedging delay for the attempt, or 0 if hedging is off.
func (g *gather) slowAfter(a *attempt) time.Duration {
	if g.scatterer.cfg.MaxHedges == 0 {
		return 0
	}
	return g.scatterer.hedgeDelays.delay(a.subquery.service)
}

// handle processes one event.
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

// handleReply processes a complete reply. A reply from another generation than the requested one is
// not used.
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
	g.markSafe(sq)
	if a.hedge {
		g.scatterer.metrics.hedgeWins.Inc()
	}
	g.finish(sq)
}

// finish marks sq as done and cancels its remaining attempts.
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

// giveUp finishes sq without a reply. While the query is not known to be
// safe, the next subquery then becomes the canary.
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

// giveUpAll gives up every unfinished subquery.
func (g *gather) giveUpAll(reason string) {
	g.givingUp = true
	for _, sq := range g.subqueries {
		g.giveUp(sq, reason)
	}
}
