package forwarder

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/ebonylock/ebonylock/modules/router"
	"github.com/ebonylock/ebonylock/modules/selector"
)

// ErrRefused means that another VM refused a call. It runs nothing of it.
var ErrRefused = errors.New("call refused")

// ErrResponseSent is the cancellation cause of a call whose response was already sent. Its attempts
// may continue.
var ErrResponseSent = errors.New("response already sent")

// Call asks a VM to gather parts of a request for another VM.
type Call struct {
	*Request
	// Route is the name of the request's route.
	Route string
	// Shards are the services to gather, one part from each.
	Shards []string
	// TotalShards is the number of shards of the route. MinParts is the number of parts required
	// for a response. Both cover all calls of the request.
	TotalShards, MinParts int
	// TopK is the number of records in the response.
	TopK int
	// TargetLatency is the target latency of the route.
	TargetLatency time.Duration
	// MaxAttempts is the number of replicas of each shard that may run the request.
	MaxAttempts int
	// Cutoff is the time at which the parts received so far have to be sent. Deadline is the time
	// after which parts are useless.
	Cutoff, Deadline time.Time
	// PriorAttempts is the number of replicas of each shard that may have run the request for
	// earlier calls.
	PriorAttempts int
}

// ReceivedPart identifies a part that was received.
type ReceivedPart struct {
	// Shard is the index of the part's service in Call.Shards.
	Shard int
	Stamp string
}

// Partial holds the parts received for a Call since the previous Partial.
type Partial struct {
	Parts []ReceivedPart
	// Body holds the greatest records of the received parts, in descending order.
	Body []byte
	// Final is true for the last Partial of a Call.
	Final bool
	// MayHaveRun is true if any replica may have run the request. It is set only in the final
	// Partial.
	MayHaveRun bool
	// RetryAfter is the delay after which the missing parts may be available. It is set only in
	// the final Partial.
	RetryAfter time.Duration
	// Reasons say why parts are missing, without duplicates. They are set only in the final
	// Partial.
	Reasons []string
}

// CallHandler receives the events of a Call. Its methods must not block. No method is called after
// a final Partial or after Failed.
type CallHandler interface {
	// Accepted is called when the other VM has accepted the call.
	Accepted()
	// Received is called with the parts gathered since the last time.
	Received(p Partial)
	// Failed is called when the call has failed. The error matches ErrRefused or ErrNotSent if
	// nothing was run, otherwise ErrConnLost.
	Failed(err error)
}

// OngoingCall is a Call in progress.
type OngoingCall interface {
	// Start starts an accepted call. Until then the other VM sends nothing to replicas.
	Start()
	// End ends the call. If callerGone is true, the caller has left and all work for the call
	// stops. Otherwise the response was already sent, and replicas may complete what they run.
	End(callerGone bool)
}

// Gatherers gather parts on other VMs.
type Gatherers interface {
	// Selection returns the VMs that gather from replicas that accept conns connections.
	Selection(conns int) *selector.Selection
	// Gather sends a call to a VM. It does not block.
	Gather(to selector.VM, c *Call, s CallHandler) OngoingCall
}

// emitInterval is the minimum time between two partial responses after the cutoff.
const emitInterval = 2 * time.Millisecond

// maxCalls limits the calls of other VMs in progress; further ones are refused. A call for 90
// shards takes up to 120 KB, so maxCalls of them take a sixth of the memory of the smallest VMs.
const maxCalls = 256

// Collect gathers the parts of a call of another VM. It first calls accept, which returns whether
// the call may start: the calling VM may have called another one in the meantime. It passes the
// parts to emit: those received by the cutoff, then the others as they arrive. An error matches
// ErrRefused and means that nothing was run.
func (f *Forwarder) Collect(ctx context.Context, c *Call, accept func() bool, emit func(Partial)) error {
	state := f.states.State()
	if ctx.Err() != nil {
		// The call was ended before this VM got to it, and another VM has it now.
		f.metrics.calls.WithLabelValues(outcomeCallerLeft).Inc()
		return ErrRefused
	}
	defer f.activeCalls.Add(-1)
	now := time.Now()
	if f.activeCalls.Add(1) > maxCalls || state == nil || !f.endsInTime(c.Route, now, c.Deadline.Sub(now)) {
		f.metrics.calls.WithLabelValues(outcomeRefused).Inc()
		f.log.WithFields(logrus.Fields{"event": "call-refused", "id": c.ID, "calls": f.ActiveCalls(), "configured": state != nil}).Info("call of another VM refused")
		return ErrRefused
	}
	if !accept() {
		f.metrics.calls.WithLabelValues(outcomeCallerLeft).Inc()
		return nil
	}
	f.collectParts(ctx, state, c, emit)
	return nil
}

// ActiveCalls returns the number of calls of other VMs in progress.
func (f *Forwarder) ActiveCalls() int {
	return int(f.activeCalls.Load())
}

func (f *Forwarder) collectParts(ctx context.Context, state *State, c *Call, emit func(Partial)) {
	maxMissing := c.TotalShards - c.MinParts
	fl := &flight{
		f:     f,
		state: state,
		route: &router.Route{
			Name: c.Route, Shards: c.Shards, Idempotent: true, TargetLatency: c.TargetLatency, MaxAttempts: c.MaxAttempts, TopK: c.TopK,
		},
		r:         c.Request,
		ctx:       ctx,
		deadline:  c.Deadline,
		target:    c.Cutoff,
		partialAt: c.Cutoff,
		identity:  identify(c.Request),
		stopping:  f.stopping,
	}
	if f.stop.Load() != nil {
		fl.endWithVM()
	}
	// The number of parts that may be missing is divided among the calls of the request. If this
	// call alone misses more than the total, there is no response at all, so nothing is sent.
	fl.start(c.Shards, len(c.Shards)-maxMissing*len(c.Shards)/max(c.TotalShards, 1))
	fl.minViable = len(c.Shards) - maxMissing
	defer fl.finish()
	for _, p := range fl.parts {
		p.sent, p.ran = c.PriorAttempts, c.PriorAttempts
	}
	if f.quarantined(fl.identity, state.View, c.Shards, 1, c.Arrived) {
		emit(Partial{Final: true, Reasons: []string{outcomeQuarantined}})
		return
	}
	fl.sendAll()
	fl.emitPartials(emit)
	f.recordCall(fl)
}

// emitPartials passes the parts to emit as they arrive, starting at the cutoff.
func (fl *flight) emitPartials(emit func(Partial)) {
	emitted := make([]bool, len(fl.parts))
	for next := fl.partialAt; ; {
		now := time.Now()
		final := fl.done == len(fl.parts) || (fl.done+fl.waiting == len(fl.parts) && fl.replied >= fl.minParts) || !now.Before(fl.deadline)
		if final || !now.Before(next) {
			p := fl.newPartial(emitted)
			if p.Final = final; final {
				p.MayHaveRun, p.Reasons, p.RetryAfter = fl.mayHaveRun(), fl.missingReasons(), fl.retryAfter(now)
			}
			if final || len(p.Parts) > 0 {
				emit(p)
				next = now.Add(emitInterval)
			}
		}
		if final {
			return
		}
		wake := fl.deadline
		if now.Before(next) && next.Before(wake) {
			wake = next
		}
		if !fl.wait(fl.nextWake(wake)) {
			return
		}
	}
}

// newPartial returns the parts received that are not marked in emitted, and marks them.
func (fl *flight) newPartial(emitted []bool) Partial {
	var fresh []*part
	var out Partial
	for i, p := range fl.parts {
		if p.reply == nil || emitted[i] {
			continue
		}
		emitted[i] = true
		fresh = append(fresh, p)
		out.Parts = append(out.Parts, ReceivedPart{Shard: i, Stamp: p.reply.Stamp})
	}
	out.Body = topRecords(fresh, fl.route.TopK)
	return out
}

// missingReasons returns the reasons why parts are missing, without duplicates.
func (fl *flight) missingReasons() []string {
	var out []string
	for _, p := range fl.parts {
		if p.reply == nil {
			out = append(out, p.missingReason())
		}
	}
	return sortedUnique(out)
}
