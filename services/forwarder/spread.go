package forwarder

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/ebonylock/ebonylock/modules/merger"
	"github.com/ebonylock/ebonylock/modules/selector"
)

const (
	// maxHops is the number of VMs that are asked for one group of shards.
	maxHops = 3
	// earlyLoss is the time within which a VM has hardly sent a hedge.
	earlyLoss = hedgeFloor
	// hopMargin is the time for a partial answer at both ends of the way.
	hopMargin = time.Millisecond
)

// spread is a gathered request whose parts other VMs gather, each those of the data centre that it
// is in. It belongs to the goroutine that serves the request; hops report through the inbox.
type spread struct {
	fl   *flight
	sel  *selector.Selection
	need int
	// stamps are the receipts by shard, empty for parts that are not in.
	stamps []string
	// whole counts the parts that are in, lost those that will not come.
	whole, lost int
	bodies      [][]byte
	hops        []*hop
	inbox       *inbox[hopEvent]
	// ran is true if a replica may have run the request for a hop that has ended.
	ran     bool
	reasons []string
	// comeBack is the time after which parts that are lost may come.
	comeBack time.Duration
}

func newSpread(fl *flight, sel *selector.Selection, need int) *spread {
	sp := &spread{fl: fl, sel: sel, need: need, stamps: make([]string, len(fl.route.Shards)), inbox: newInbox[hopEvent]()}
	fl.spread = sp
	return sp
}

// run answers the request.
func (sp *spread) run() Response {
	fl := sp.fl
	for _, g := range sp.groups() {
		sp.ask(g.dataCentre, g.shards, nil, 0)
	}
	defer sp.stop()
	cutoff, last := fl.cutoff(), fl.deadline.Add(-fl.margin())
	n := len(sp.stamps)
	for {
		now := time.Now()
		switch {
		case sp.whole >= sp.need && (sp.whole+sp.lost == n || !now.Before(cutoff)):
			return sp.merge()
		case n-sp.lost < sp.need:
			return sp.failed(http.StatusBadGateway, max(sp.comeBack, unknownRetry))
		case !now.Before(last):
			return sp.failed(http.StatusGatewayTimeout, 0)
		}
		wake := last
		if sp.whole >= sp.need && cutoff.Before(wake) {
			wake = cutoff
		}
		if !sp.wait(wake) {
			return Response{}
		}
	}
}

// wait takes in what has come by wake, and asks other VMs where one has not taken its call. It
// returns false when the caller has gone.
func (sp *spread) wait(wake time.Time) bool {
	for _, h := range sp.hops {
		if h.waits() && h.acceptBy.Before(wake) {
			wake = h.acceptBy
		}
	}
	timer := time.NewTimer(time.Until(wake))
	defer timer.Stop()
	select {
	case <-sp.inbox.arrived:
		for _, e := range sp.inbox.take() {
			sp.take(e)
		}
	case <-timer.C:
	case <-sp.fl.ctx.Done():
		return false
	}
	now := time.Now()
	for _, h := range sp.hops {
		if h.waits() && !now.Before(h.acceptBy) {
			// It was not told to begin, so nothing runs there.
			h.ongoing.End(true)
			sp.again(h, hopNoAccept, 0, now)
		}
	}
	return true
}

// ask calls a VM for shards of one data centre; tried are those that were asked before, for which ran
// replicas of each shard may have run the request. This VM gathers itself if there is none left.
func (sp *spread) ask(dataCentre string, shards []int, tried []string, ran int) {
	f, now := sp.fl.f, time.Now()
	to, ok := sp.choose(dataCentre, tried, now)
	h := &hop{sp: sp, to: to, shards: shards, began: now, ran: ran, local: !ok || to.ID == f.cfg.VM}
	if h.local {
		h.to = selector.VM{ID: f.cfg.VM, DataCentre: f.cfg.DataCentre}
	}
	h.tried = append(slices.Clone(tried), h.to.ID)
	sp.hops = append(sp.hops, h)
	c := sp.call(h)
	if h.local {
		h.accepted = true
		ctx, cancel := context.WithCancelCause(sp.fl.ctx)
		h.ongoing = ender(cancel)
		go f.collect(ctx, sp.fl.state, c, h.Received)
		return
	}
	h.acceptBy = now.Add(f.peers.patience(to.ID))
	h.ongoing = f.cfg.Gatherers.Gather(to, c, h)
}

// call makes the call of a hop.
func (sp *spread) call(h *hop) *Call {
	fl := sp.fl
	names := make([]string, len(h.shards))
	for i, s := range h.shards {
		names[i] = fl.route.Shards[s]
	}
	way := hopMargin
	if !h.local {
		way += fl.f.peers.delay(h.to.ID) / 2
	}
	return &Call{
		Request: fl.r, Route: fl.route.Name, Shards: names, TotalShards: len(sp.stamps), MinParts: sp.need, TopK: fl.route.TopK,
		TargetLatency: fl.route.TargetLatency, MaxAttempts: fl.route.MaxAttempts, PriorAttempts: h.ran,
		Cutoff: fl.cutoff().Add(-way), Deadline: fl.deadline.Add(-fl.margin() - way),
	}
}

// take takes in what a hop tells.
func (sp *spread) take(e hopEvent) {
	h, f := e.hop, sp.fl.f
	switch {
	case e.accepted && (h.end == "" || h.end == hopNoAccept):
		if h.end == "" {
			h.accepted, h.begun = true, e.at
			h.ongoing.Start()
		}
		f.peers.accepted(h.to.ID, e.at.Sub(h.began))
		f.metrics.hopTime.Observe(e.at.Sub(h.began).Seconds())
	case h.end != "", e.accepted:
	case e.err != nil:
		sp.lose(h, e.err, e.at)
	case !sp.fits(h, e.partial):
		h.ongoing.End(true)
		sp.lose(h, ErrConnLost, e.at)
	default:
		sp.add(h, e.partial, e.at)
	}
}

// lose takes in that no more comes from a hop.
func (sp *spread) lose(h *hop, err error, at time.Time) {
	end := hopLost
	if errors.Is(err, ErrRefused) || errors.Is(err, ErrNotSent) {
		end, h.accepted = hopRefused, false
	}
	ran := 0
	if h.accepted {
		sp.ran = true
		ran = sp.attempts(at.Sub(h.begun))
	}
	sp.again(h, end, ran, at)
}

// attempts is the number of replicas of a shard that may have run the request for a hop that was lost
// after a time: one, or all that the route allows once hedges may have been sent.
func (sp *spread) attempts(after time.Duration) int {
	if after < earlyLoss {
		return 1
	}
	return max(sp.fl.route.MaxAttempts, 1)
}

// again ends a hop and asks another VM for the parts that it has not given; ran is the number of
// replicas of each shard that may have run the request for it. Parts for which the route allows no
// further attempt are lost.
func (sp *spread) again(h *hop, end string, ran int, at time.Time) {
	sp.finish(h, end, at)
	sp.fl.f.peers.failed(h.to.ID, at)
	var left []int
	for _, s := range h.shards {
		if sp.stamps[s] == "" {
			left = append(left, s)
		}
	}
	switch ran += h.ran; {
	case len(left) == 0:
	case ran >= max(sp.fl.route.MaxAttempts, 1):
		sp.lost += len(left)
		sp.reasons = append(sp.reasons, reasonAttempts)
	default:
		sp.ask(h.to.DataCentre, left, h.tried, ran)
	}
}

// fits reports whether a partial answer belongs to a hop: no shard that was not asked for, none
// twice, and a body of whole records.
func (sp *spread) fits(h *hop, p Partial) bool {
	seen := make(map[int]bool)
	for _, r := range p.Parts {
		if r.Shard < 0 || r.Shard >= len(h.shards) || r.Stamp == "" || seen[r.Shard] || sp.stamps[h.shards[r.Shard]] != "" {
			return false
		}
		seen[r.Shard] = true
	}
	return len(p.Body)%merger.RecordSize == 0 && (len(p.Body) == 0 || len(p.Parts) > 0)
}

// add takes in parts.
func (sp *spread) add(h *hop, p Partial, at time.Time) {
	h.accepted = true
	for _, r := range p.Parts {
		sp.stamps[h.shards[r.Shard]] = r.Stamp
	}
	sp.whole += len(p.Parts)
	if len(p.Body) > 0 {
		sp.bodies = append(sp.bodies, p.Body)
	}
	if !p.Final {
		return
	}
	missing := 0
	for _, s := range h.shards {
		if sp.stamps[s] == "" {
			missing++
		}
	}
	end := hopWhole
	if missing > 0 {
		end = hopPartly
	}
	sp.lost += missing
	sp.ran = sp.ran || p.MayHaveRun || len(p.Parts) > 0
	sp.reasons = append(sp.reasons, p.Reasons...)
	sp.comeBack = max(sp.comeBack, p.RetryAfter)
	sp.finish(h, end, at)
}

func (sp *spread) finish(h *hop, end string, at time.Time) {
	h.end, h.took = end, at.Sub(h.began)
	sp.fl.f.metrics.hops.WithLabelValues(end).Inc()
}

// stop ends the hops that are still under way.
func (sp *spread) stop() {
	gone := sp.fl.callerLeft()
	now := time.Now()
	for _, h := range sp.hops {
		if h.end == "" {
			sp.finish(h, hopEnough, now)
			h.ongoing.End(gone)
		}
	}
}

// merge is the answer with the parts that are in.
func (sp *spread) merge() Response {
	a := Response{Status: http.StatusOK, Gathered: true, Body: merger.Top(sp.bodies, sp.fl.route.TopK)}
	for _, s := range sp.stamps {
		if s == "" {
			a.MissingParts++
			continue
		}
		a.Stamps = append(a.Stamps, s)
	}
	return a
}

// failed is the answer to a request that can't be served: the given status, or a refusal if
// nothing has run.
func (sp *spread) failed(status int, after time.Duration) Response {
	ran := sp.ran
	for _, h := range sp.hops {
		ran = ran || h.end == ""
	}
	if !ran {
		return notRun(after)
	}
	return Response{Status: status}
}

// rerouted reports whether more than one VM was asked for some shards, or parts are missing.
func (sp *spread) rerouted() bool {
	return slices.ContainsFunc(sp.hops, func(h *hop) bool { return len(h.tried) > 1 || h.end != hopWhole })
}

// describe adds the hops to the line of the request, each as "VM data-centre parts begin took end"
// with times in milliseconds since the request's arrival.
func (sp *spread) describe(fields logrus.Fields, now time.Time) {
	hops := make([]string, len(sp.hops))
	for i, h := range sp.hops {
		end, took := h.end, h.took
		if end == "" {
			end, took = "under-way", now.Sub(h.began)
		}
		hops[i] = fmt.Sprintf("%s %s %d +%.1f %.1f %s", h.to.ID, h.to.DataCentre, len(h.shards),
			milliseconds(h.began.Sub(sp.fl.r.Arrived)), milliseconds(took), end)
	}
	fields["parts"], fields["hops"] = len(sp.stamps), hops
	if sp.whole < len(sp.stamps) {
		var missing []string
		for i, s := range sp.stamps {
			if s == "" {
				missing = append(missing, sp.fl.route.Shards[i])
			}
		}
		fields["missing"], fields["reasons"] = missing, distinct(sp.reasons)
	}
}
