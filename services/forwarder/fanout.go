package forwarder

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/ebonylock/ebonylock/modules/decider"
	"github.com/ebonylock/ebonylock/modules/merger"
	"github.com/ebonylock/ebonylock/modules/selector"
)

const (
	// maxHops is the number of VMs that are called for one group of shards.
	maxHops = 3
	// singleAttemptTime is the time after its start within which a VM is assumed to have sent no
	// hedge.
	singleAttemptTime = decider.MinHedgeDelay
	// partialMargin is the processing time for a partial response on the sending and the receiving
	// VM.
	partialMargin = time.Millisecond
)

// fanout is the state of a gathered request whose parts are gathered by other VMs, each for the
// replicas in its own data centre. It is used only by the goroutine that serves the request; hops
// report to it through the inbox.
type fanout struct {
	fl       *flight
	sel      *selector.Selection
	minParts int
	// stamps holds the receipt of each shard's part, empty for parts not received.
	stamps []string
	// received counts the parts received, lost those that will not arrive.
	received, lost int
	bodies         [][]byte
	hops           []*hop
	inbox          *inbox[hopEvent]
	// mayHaveRun is true if a replica may have run the request for a hop that has ended.
	mayHaveRun bool
	reasons    []string
	// retryAfter is the delay after which the lost parts may be available again.
	retryAfter time.Duration
}

func newFanout(fl *flight, sel *selector.Selection, minParts int) *fanout {
	fo := &fanout{fl: fl, sel: sel, minParts: minParts, stamps: make([]string, len(fl.route.Shards)), inbox: newInbox[hopEvent]()}
	fl.fanout = fo
	return fo
}

// run returns the response to the request.
func (fo *fanout) run() Response {
	fl := fo.fl
	for _, g := range fo.groupShards() {
		fo.callVM(g.dataCentre, g.shards, nil, 0)
	}
	defer fo.stop()
	n := len(fo.stamps)
	for {
		now, cutoff, limit := time.Now(), fl.cutoff(), fl.limit()
		switch {
		case fo.received >= fo.minParts && (fo.received+fo.lost == n || !now.Before(cutoff)):
			return fo.mergedResponse()
		case n-fo.lost < fo.minParts:
			return fo.failedResponse(http.StatusBadGateway, max(fo.retryAfter, decider.DefaultRetryAfter))
		case !now.Before(limit):
			return fo.failedResponse(http.StatusGatewayTimeout, 0)
		}
		wake := limit
		if fo.received >= fo.minParts && cutoff.Before(wake) {
			wake = cutoff
		}
		if !fo.wait(wake) {
			return Response{}
		}
	}
}

// wait blocks until events arrive or wake is reached. It handles the events and calls other VMs in
// place of those that have not accepted in time. It returns false if the caller has left.
func (fo *fanout) wait(wake time.Time) bool {
	for _, h := range fo.hops {
		if h.awaitsAccept() && h.acceptBy.Before(wake) {
			wake = h.acceptBy
		}
	}
	timer := time.NewTimer(time.Until(wake))
	defer timer.Stop()
	select {
	case <-fo.inbox.arrived:
		for _, e := range fo.inbox.take() {
			fo.handleEvent(e)
		}
	case <-timer.C:
	case <-fo.fl.stopping:
		fo.fl.endWithVM()
	case <-fo.fl.ctx.Done():
		return false
	}
	now := time.Now()
	for _, h := range fo.hops {
		if h.awaitsAccept() && !now.Before(h.acceptBy) {
			// The call was not started, so the VM sends nothing to replicas.
			h.ongoing.End(true)
			fo.reassign(h, hopNotAccepted, 0, now)
		}
	}
	return true
}

// callVM calls a VM to gather shards of one data centre. tried are the IDs of the VMs called before
// for these shards. For those calls, ran replicas of each shard may have run the request. If no VM
// is left, this VM gathers the parts itself.
func (fo *fanout) callVM(dataCentre string, shards []int, tried []string, ran int) {
	f, now := fo.fl.f, time.Now()
	to, ok := fo.chooseVM(dataCentre, tried, now)
	h := &hop{fo: fo, to: to, shards: shards, calledAt: now, priorAttempts: ran, local: !ok || to.ID == f.cfg.VM}
	if h.local {
		h.to = selector.VM{ID: f.cfg.VM, DataCentre: f.cfg.DataCentre}
	}
	h.tried = append(slices.Clone(tried), h.to.ID)
	fo.hops = append(fo.hops, h)
	c := fo.newCall(h)
	if h.local {
		h.accepted = true
		ctx, cancel := context.WithCancelCause(fo.fl.ctx)
		h.ongoing = localCall(cancel)
		go f.collectParts(ctx, fo.fl.state, c, h.Received)
		return
	}
	h.acceptBy = now.Add(f.peers.acceptTimeout(to.ID))
	h.ongoing = f.cfg.Gatherers.Gather(to, c, h)
}

// newCall returns the call of a hop.
func (fo *fanout) newCall(h *hop) *Call {
	fl := fo.fl
	names := make([]string, len(h.shards))
	for i, s := range h.shards {
		names[i] = fl.route.Shards[s]
	}
	delay := partialMargin
	if !h.local {
		delay += fl.f.peers.delay(h.to.ID) / 2
	}
	return &Call{
		Request: fl.r, Route: fl.route.Name, Shards: names, TotalShards: len(fo.stamps), MinParts: fo.minParts, TopK: fl.route.TopK,
		TargetLatency: fl.route.TargetLatency, MaxAttempts: fl.route.MaxAttempts, PriorAttempts: h.priorAttempts,
		Cutoff: fl.cutoff().Add(-delay), Deadline: fl.limit().Add(-delay),
	}
}

// handleEvent processes an event of a hop.
func (fo *fanout) handleEvent(e hopEvent) {
	h, f := e.hop, fo.fl.f
	switch {
	case e.accepted && (h.end == "" || h.end == hopNotAccepted):
		if h.end == "" {
			h.accepted, h.startedAt = true, e.at
			h.ongoing.Start()
		}
		f.peers.recordAccepted(h.to.ID, e.at.Sub(h.calledAt))
		f.metrics.hopTime.Observe(e.at.Sub(h.calledAt).Seconds())
	case h.end != "", e.accepted:
	case e.err != nil:
		fo.handleLoss(h, e.err, e.at)
	case !fo.valid(h, e.partial):
		h.ongoing.End(true)
		fo.handleLoss(h, ErrConnLost, e.at)
	default:
		fo.addParts(h, e.partial, e.at)
	}
}

// handleLoss processes a hop that failed with an error.
func (fo *fanout) handleLoss(h *hop, err error, at time.Time) {
	end := hopLost
	if errors.Is(err, ErrRefused) || errors.Is(err, ErrNotSent) {
		end, h.accepted = hopRefused, false
	}
	ran := 0
	if h.accepted {
		fo.mayHaveRun = true
		ran = fo.possibleAttempts(at.Sub(h.startedAt))
	}
	fo.reassign(h, end, ran, at)
}

// possibleAttempts returns the number of replicas of a shard that may have run the request for a
// hop that was lost after the given time. It is one, or all that the route allows once hedges may
// have been sent.
func (fo *fanout) possibleAttempts(after time.Duration) int {
	if after < singleAttemptTime {
		return 1
	}
	return max(fo.fl.route.MaxAttempts, 1)
}

// reassign ends a hop and calls another VM for the parts that are missing. ran is the number of
// replicas of each shard that may have run the request for this hop. If the route allows no further
// attempt, the parts are lost.
func (fo *fanout) reassign(h *hop, end string, ran int, at time.Time) {
	fo.finish(h, end, at)
	fo.fl.f.peers.recordFailure(h.to.ID, at)
	var remaining []int
	for _, s := range h.shards {
		if fo.stamps[s] == "" {
			remaining = append(remaining, s)
		}
	}
	switch ran += h.priorAttempts; {
	case len(remaining) == 0:
	case ran >= max(fo.fl.route.MaxAttempts, 1):
		fo.lost += len(remaining)
		fo.reasons = append(fo.reasons, decider.Attempts)
	default:
		fo.callVM(h.to.DataCentre, remaining, h.tried, ran)
	}
}

// valid reports whether a partial response fits a hop: every shard was asked for and occurs only
// once, and the body consists of complete records.
func (fo *fanout) valid(h *hop, p Partial) bool {
	seen := make(map[int]bool)
	for _, r := range p.Parts {
		if r.Shard < 0 || r.Shard >= len(h.shards) || r.Stamp == "" || seen[r.Shard] || fo.stamps[h.shards[r.Shard]] != "" {
			return false
		}
		seen[r.Shard] = true
	}
	return len(p.Body)%merger.RecordSize == 0 && (len(p.Body) == 0 || len(p.Parts) > 0)
}

// addParts stores the parts of a partial response.
func (fo *fanout) addParts(h *hop, p Partial, at time.Time) {
	h.accepted = true
	for _, r := range p.Parts {
		fo.stamps[h.shards[r.Shard]] = r.Stamp
	}
	fo.received += len(p.Parts)
	if len(p.Body) > 0 {
		fo.bodies = append(fo.bodies, p.Body)
	}
	if !p.Final {
		return
	}
	missing := 0
	for _, s := range h.shards {
		if fo.stamps[s] == "" {
			missing++
		}
	}
	end := hopComplete
	if missing > 0 {
		end = hopPartial
	}
	fo.lost += missing
	fo.mayHaveRun = fo.mayHaveRun || p.MayHaveRun || len(p.Parts) > 0
	fo.reasons = append(fo.reasons, p.Reasons...)
	fo.retryAfter = max(fo.retryAfter, p.RetryAfter)
	fo.finish(h, end, at)
}

func (fo *fanout) finish(h *hop, end string, at time.Time) {
	h.end, h.took = end, at.Sub(h.calledAt)
	fo.fl.f.metrics.hops.WithLabelValues(end).Inc()
}

// stop ends the hops that are still in progress.
func (fo *fanout) stop() {
	callerGone := fo.fl.callerLeft()
	now := time.Now()
	for _, h := range fo.hops {
		if h.end == "" {
			fo.finish(h, hopAnsweredWithout, now)
			h.ongoing.End(callerGone)
		}
	}
}

// mergedResponse returns the response made from the parts received.
func (fo *fanout) mergedResponse() Response {
	resp := Response{Status: http.StatusOK, Gathered: true, Body: merger.Top(fo.bodies, fo.fl.route.TopK)}
	for _, s := range fo.stamps {
		if s == "" {
			resp.MissingParts++
			continue
		}
		resp.Stamps = append(resp.Stamps, s)
	}
	return resp
}

// failedResponse returns the response to a request that can't be served: the given status, or a
// refusal with retryAfter if nothing was run.
func (fo *fanout) failedResponse(status int, retryAfter time.Duration) Response {
	ran := fo.mayHaveRun
	for _, h := range fo.hops {
		ran = ran || h.end == ""
	}
	if !ran {
		return notRunResponse(retryAfter)
	}
	return Response{Status: status}
}

// rerouted reports whether more than one VM was called for some shards, or parts are missing.
func (fo *fanout) rerouted() bool {
	return slices.ContainsFunc(fo.hops, func(h *hop) bool { return len(h.tried) > 1 || h.end != hopComplete })
}

// describe adds the hops to the log fields, each as "VM data-centre parts begin took end" with
// times in milliseconds since the request arrived.
func (fo *fanout) describe(fields logrus.Fields, now time.Time) {
	hops := make([]string, len(fo.hops))
	for i, h := range fo.hops {
		end, took := h.end, h.took
		if end == "" {
			end, took = "under-way", now.Sub(h.calledAt)
		}
		hops[i] = fmt.Sprintf("%s %s %d +%.1f %.1f %s", h.to.ID, h.to.DataCentre, len(h.shards),
			milliseconds(h.calledAt.Sub(fo.fl.r.Arrived)), milliseconds(took), end)
	}
	fields["parts"], fields["hops"] = len(fo.stamps), hops
	if fo.received < len(fo.stamps) {
		var missing []string
		for i, s := range fo.stamps {
			if s == "" {
				missing = append(missing, fo.fl.route.Shards[i])
			}
		}
		fields["missing"], fields["reasons"] = missing, sortedUnique(fo.reasons)
	}
}
