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
	// maxTries limits the tries for one part that may have run, hedges included.
	maxTries = 8
	// maxLost is the number of servers lost after which a query is not tried again.
	maxLost = 2
	// maxMoves limits how often a part is moved from queue to queue.
	maxMoves = 2
	// firstPause is the wait before the replicas of a part are gone through again; it
	// doubles each time up to lastPause.
	firstPause = 4 * time.Millisecond
	lastPause  = 64 * time.Millisecond
	// stallAfter is the silence of another VM after which its work is hedged.
	stallAfter = 60 * time.Millisecond
	// hedgeLoad is the load per slot above which a replica gets no hedge.
	hedgeLoad = 4.0
)

func formatSeq(n uint64) string {
	return strconv.FormatUint(n, 36)
}

// part is the work for one service.
type part struct {
	service string
	open    []*try
	tried   []string
	tries   int
	moves   int
	hedges  int
	// losses counts the tries lost with their server or owner.
	losses int
	// pause is the wait before the next round through the replicas.
	pause time.Duration
	// begun is true once the part has had a try.
	begun bool
	// done is true once the part has a whole reply or is given up.
	done   bool
	reply  *executor.Reply
	reason string
}

// try is one Sub at one owner.
type try struct {
	part   *part
	server string
	call   *call
	index  int
	// hedge is true for a try made beside another one that runs.
	hedge bool
	slow  bool
}

// call is one batch under way at one owner.
type call struct {
	owner string
	tries []*try
	// heard is true once any event has come.
	heard   bool
	cancels chan int
}

type happening struct {
	call  *call
	event dispatcher.Event
	// again is a part whose pause before the next try is over.
	again *part
	// stalled is true when nothing was heard of the call for stallAfter.
	stalled bool
}

// gather is one attempt at a query in one generation. It belongs to one goroutine.
type gather struct {
	s          *Scatterer
	ctx        context.Context
	stop       context.CancelFunc
	view       *locator.View
	q          Query
	generation uint64
	// fingerprint identifies the query to the crash register.
	fingerprint quarantiner.Fingerprint
	minimum     float64
	fast        bool
	// proven is true once the query is known to be harmless. Before that only one part,
	// the canary, is under way.
	proven bool
	// lost counts the servers that the query is known to have crashed.
	lost int
	// ending is true once every open part is being given up.
	ending  bool
	parts   []*part
	undone  int
	events  mailbox
	hedges  int
	retries int
	moves   int
}

func newGather(ctx context.Context, s *Scatterer, view *locator.View, q Query, services []string, generation uint64) *gather {
	g := &gather{s: s, view: view, q: q, generation: generation, undone: len(services)}
	g.ctx, g.stop = context.WithCancel(ctx)
	for _, svc := range services {
		g.parts = append(g.parts, &part{service: svc})
	}
	g.events.wake = make(chan struct{}, 1)
	g.fingerprint = s.fingerprint(q)
	g.proven = s.cfg.NoCanary || s.proofs.Proven(g.fingerprint)
	if s.proofs.Verdict(g.fingerprint, time.Now()) == quarantiner.Suspect {
		g.lost = 1
	}
	return g
}

func (g *gather) run() Answer {
	defer g.stop()
	if g.proven {
		g.launchAll()
	} else {
		g.launchCanary()
	}
	for g.undone > 0 && !g.enough() {
		select {
		case <-g.events.wake:
			for _, h := range g.events.take() {
				g.handle(h)
			}
		case <-g.ctx.Done():
			g.giveUpAll("timeout")
		}
	}
	g.giveUpAll("minimum-reached")
	return g.answer()
}

// launchAll starts every part that is not under way.
func (g *gather) launchAll() {
	var first []*try
	for _, p := range g.parts {
		if p.done || p.begun {
			continue
		}
		if t := g.next(p); t != nil {
			first = append(first, t)
		}
	}
	g.countFirst(len(first))
	g.launch(first)
}

func (g *gather) countFirst(n int) {
	g.s.budget.Deposit(n)
	g.s.metrics.firsts.Add(float64(n))
}

// next makes the next try of p at the best replica not tried yet, or ends p.
func (g *gather) next(p *part) *try {
	server, _ := g.pick(p)
	if server == "" || p.tries >= maxTries {
		g.giveUp(p, cmp.Or(p.reason, g.noServer(p)))
		return nil
	}
	return g.newTry(p, server)
}

func (g *gather) newTry(p *part, server string) *try {
	p.begun = true
	p.tries++
	p.tried = append(p.tried, server)
	t := &try{part: p, server: server}
	p.open = append(p.open, t)
	return t
}

func (g *gather) pick(p *part) (string, float64) {
	var candidates []string
	for _, id := range g.view.Usable[p.service] {
		if _, owned := g.view.Owners[id]; !owned || slices.Contains(p.tried, id) {
			continue
		}
		if g.s.book.Known(id) && !g.s.book.Holds(id, g.generation) {
			continue
		}
		candidates = append(candidates, id)
	}
	if !g.proven {
		return g.inOrder(g.heardOf(candidates)), 0
	}
	return g.s.choose.best(candidates, g.view.Owners, time.Now())
}

// noServer is the reason for which a part has no replica to try.
func (g *gather) noServer(p *part) string {
	usable := g.view.Usable[p.service]
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

// launch sends the tries, one batch per owner.
func (g *gather) launch(tries []*try) {
	calls := make(map[string]*call)
	batches := make(map[string][]dispatcher.Subrequest)
	for _, t := range tries {
		owner := g.view.Owners[t.server]
		c := calls[owner]
		if c == nil {
			c = &call{owner: owner, cancels: make(chan int, len(tries))}
			calls[owner] = c
		}
		t.call, t.index = c, len(c.tries)
		c.tries = append(c.tries, t)
		batches[owner] = append(batches[owner], g.sub(t))
		g.s.choose.begin(t.server)
	}
	for owner, c := range calls {
		g.send(owner, c, batches[owner])
	}
}

func (g *gather) send(owner string, c *call, batch []dispatcher.Subrequest) {
	emit := func(e dispatcher.Event) { g.events.put(happening{call: c, event: e}) }
	go func() {
		_ = g.s.fleet.Owner(owner).Dispatch(g.ctx, batch, c.cancels, emit)
	}()
	if owner != g.view.Self {
		g.watchFor(c)
	}
}

// watchFor looks after stallAfter whether the call was heard of.
func (g *gather) watchFor(c *call) {
	time.AfterFunc(stallAfter, func() { g.events.put(happening{call: c, stalled: true}) })
}

// stalled hedges the work of an owner that has sent nothing to anyone for stallAfter, and
// makes the owner look loaded for a while. Work that only waits in a queue is left there.
func (g *gather) stalled(c *call) {
	now := time.Now()
	if c.heard || g.ctx.Err() != nil {
		return
	}
	if !g.s.choose.silent(c.owner, stallAfter, now) {
		g.watchFor(c)
		return
	}
	g.s.choose.fail(c.owner, now)
	for _, t := range c.tries {
		if !t.part.done && slices.Contains(t.part.open, t) {
			g.hedge(t.part)
		}
	}
}

func (g *gather) sub(t *try) dispatcher.Subrequest {
	p := t.part
	return dispatcher.Subrequest{
		Server:      t.server,
		ID:          g.s.nextID(),
		Service:     p.service,
		Generation:  g.generation,
		Body:        g.q.Body,
		Deadline:    g.deadline(),
		Idempotent:  true,
		Urgent:      p.tries+p.moves > 1,
		MayMove:     g.proven && !g.s.cfg.NoMoves && p.moves < maxMoves,
		SlowAfter:   g.slowAfter(t),
		Fingerprint: g.fingerprint,
	}
}

func (g *gather) deadline() time.Time {
	d, _ := g.ctx.Deadline()
	return d
}

func (g *gather) slowAfter(t *try) time.Duration {
	if g.s.cfg.MaxHedges == 0 {
		return 0
	}
	return g.s.pace.delay(t.part.service)
}

func (g *gather) handle(h happening) {
	if h.again != nil {
		g.retry(h.again)
		return
	}
	if h.stalled {
		g.stalled(h.call)
		return
	}
	h.call.heard = true
	g.s.choose.speak(h.call.owner, time.Now())
	t := h.call.tries[h.event.Index]
	p := t.part
	now := time.Now()
	g.s.learn(t.server, p.service, h.event.Reply)
	if h.event.Kind == dispatcher.Slow {
		g.slow(t)
		return
	}
	g.s.choose.end(t.server)
	p.open = slices.DeleteFunc(p.open, func(o *try) bool { return o == t })
	if h.event.Kind == dispatcher.Done {
		g.s.choose.hear(t.server, h.event.Load, now)
		g.whole(t, h.event.Reply)
		return
	}
	g.failed(t, h.event, now)
}

// whole takes in a whole reply, which only counts in the generation asked for.
func (g *gather) whole(t *try, r executor.Reply) {
	p := t.part
	if !t.slow && !t.hedge {
		g.s.pace.observe(p.service, false, g.s.slowShare())
	}
	if p.done {
		return
	}
	if r.Generation != g.generation {
		p.reason = "corrupt-reply"
		g.retry(p)
		return
	}
	p.reply = &r
	g.prove()
	if t.hedge {
		g.s.metrics.hedgeWins.Inc()
	}
	g.end(p)
}

func (g *gather) end(p *part) {
	p.done = true
	g.undone--
	for _, o := range p.open {
		g.s.choose.end(o.server)
		select {
		case o.call.cancels <- o.index:
		default:
		}
	}
	p.open = nil
}

func (g *gather) giveUp(p *part, reason string) {
	if p.done {
		return
	}
	p.reason = reason
	g.end(p)
	if !g.proven && !g.ending {
		g.launchCanary()
	}
}

func (g *gather) giveUpAll(reason string) {
	g.ending = true
	for _, p := range g.parts {
		g.giveUp(p, reason)
	}
}
