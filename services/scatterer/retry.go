package scatterer

import (
	"cmp"
	"errors"
	"slices"
	"time"

	"github.com/ebonylock/ebonylock/modules/executor"
	"github.com/ebonylock/ebonylock/services/dispatcher"
)

// failed decides what follows a failed try.
func (g *gather) failed(t *try, e dispatcher.Event, now time.Time) {
	p := t.part
	if p.done {
		return
	}
	p.reason = dispatcher.Code(e.Err)
	moved := errors.Is(e.Err, dispatcher.ErrMoved)
	switch {
	case moved:
		g.s.choose.hear(t.server, e.Load, now)
		p.moves++
	case errors.Is(e.Err, dispatcher.ErrQuarantined):
		g.giveUpAll(p.reason)
		return
	case loadReasons[p.reason]:
		g.s.choose.hear(t.server, e.Load, now)
	default:
		g.s.choose.fail(t.server, now)
	}
	if !g.proven && errors.Is(e.Err, executor.ErrLost) {
		g.lost++
	}
	if g.lost >= maxLost {
		g.giveUpAll(dispatcher.Code(dispatcher.ErrQuarantined))
		return
	}
	if len(p.open) > 0 {
		return
	}
	if errors.Is(e.Err, executor.ErrNotRun) {
		p.tries--
	} else if !g.mayRetry(p, e.Err) {
		g.giveUp(p, p.reason)
		return
	}
	if moved {
		g.move(p, t.server)
		return
	}
	g.retry(p)
}

// mayRetry decides on another try after one that may have run. The first that was lost
// with its server or owner is free, as what is lost puts no load on a server; others
// draw from the budget.
func (g *gather) mayRetry(p *part, err error) bool {
	lost := errors.Is(err, executor.ErrLost) || errors.Is(err, dispatcher.ErrLinkLost)
	if lost && p.losses == 0 {
		p.losses++
		g.retries++
		return true
	}
	if !g.s.budget.Withdraw() {
		return false
	}
	g.retries++
	return true
}

// move sends a part that left a queue to the least loaded replica, which may be the same.
func (g *gather) move(p *part, from string) {
	p.tried = slices.DeleteFunc(p.tried, func(id string) bool { return id == from })
	if t := g.next(p); t != nil {
		g.moves++
		g.launch([]*try{t})
	}
}

// retry tries the next replica; once all were tried it pauses and goes through them again.
func (g *gather) retry(p *part) {
	if p.done || len(p.open) > 0 {
		return
	}
	if !g.proven && g.underWay() {
		g.retryLater(p)
		return
	}
	if server, _ := g.pick(p); server != "" || p.tries >= maxTries || len(p.tried) == 0 {
		if t := g.next(p); t != nil {
			g.launch([]*try{t})
		}
		return
	}
	p.tried = p.tried[:0]
	if server, _ := g.pick(p); server == "" {
		g.giveUp(p, cmp.Or(p.reason, g.noServer(p)))
		return
	}
	g.retryLater(p)
	if !g.proven {
		g.launchCanary()
	}
}

// underWay reports whether any part has a try that may be running.
func (g *gather) underWay() bool {
	return slices.ContainsFunc(g.parts, func(p *part) bool { return len(p.open) > 0 })
}

func (g *gather) retryLater(p *part) {
	p.pause = min(max(2*p.pause, firstPause), lastPause)
	time.AfterFunc(p.pause, func() { g.events.put(happening{again: p}) })
}

// slow hedges a try that has been running for long, if the budget and a sibling allow it.
func (g *gather) slow(t *try) {
	p := t.part
	t.slow = true
	if !t.hedge {
		g.s.pace.observe(p.service, true, g.s.slowShare())
	}
	g.hedge(p)
}

// hedge makes a second try of p beside the first, if budget and siblings allow it.
func (g *gather) hedge(p *part) {
	if p.done {
		return
	}
	server, score := g.pick(p)
	if reason := g.declineHedge(p, server, score); reason != "" {
		g.s.metrics.declined.WithLabelValues(reason).Inc()
		return
	}
	p.hedges++
	g.hedges++
	h := g.newTry(p, server)
	h.hedge = true
	g.launch([]*try{h})
}

// declineHedge takes a token for a hedge, or returns the reason for which there is none.
func (g *gather) declineHedge(p *part, server string, score float64) string {
	switch {
	case p.hedges >= g.maxHedges() || p.tries >= maxTries:
		return "tries"
	case server == "":
		return "no-replica"
	case score > hedgeLoad:
		return "load"
	case !g.s.budget.Withdraw():
		return "budget"
	}
	return ""
}

// maxHedges is 1 for a canary, so that at most two servers are at risk.
func (g *gather) maxHedges() int {
	if !g.proven {
		return min(1, g.s.cfg.MaxHedges)
	}
	return g.s.cfg.MaxHedges
}
