package forwarder

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/ebonylock/ebonylock/modules/router"
	"github.com/ebonylock/ebonylock/modules/selector"
)

// ErrRefused says that another VM takes no call; nothing of it runs there.
var ErrRefused = errors.New("call refused")

// ErrResponseSent is the cause with which a call ends whose answer has left: its tries may run on.
var ErrResponseSent = errors.New("answer has left")

// Call asks a VM to gather parts of a request for another one.
type Call struct {
	*Request
	// Route is the name of the request's route.
	Route string
	// Shards are the services asked for, each for a part.
	Shards []string
	// TotalShards is the number of shards of the route, MinParts that of the parts without which there is
	// no answer, both over all calls for the request.
	TotalShards, MinParts int
	// TopK is the number of records in the answer.
	TopK int
	// TargetLatency is the target latency of the route.
	TargetLatency time.Duration
	// MaxAttempts is the number of replicas that may run the request, for each shard.
	MaxAttempts int
	// Cutoff is the time at which the parts at hand have to leave; Deadline that at which no part is
	// of use.
	Cutoff, Deadline time.Time
	// PriorAttempts is the number of replicas of each shard that may have run the request for earlier calls.
	PriorAttempts int
}

// ReceivedPart is a part that is in.
type ReceivedPart struct {
	// Shard is the index of its service in the Call.
	Shard int
	Stamp string
}

// Partial is what has come for a Call since the last Partial.
type Partial struct {
	Parts []ReceivedPart
	// Body holds the greatest records of the parts with receipts, greatest first.
	Body []byte
	// Final is true for the last one of a Call.
	Final bool
	// MayHaveRun is true if any replica may have run the request; it counts in the last one.
	MayHaveRun bool
	// RetryAfter is the time after which the missing parts may come; it counts in the last one.
	RetryAfter time.Duration
	// Reasons say why parts are missing, each once; they count in the last one.
	Reasons []string
}

// CallHandler takes in what becomes of a Call. Its methods must not block. Nothing follows a final
// Partial or Failed.
type CallHandler interface {
	// Accepted says that the other VM has taken the call.
	Accepted()
	// Received takes in parts.
	Received(p Partial)
	// Failed says that no more comes. Errors match ErrRefused or ErrUnsent (nothing ran), or ErrLost.
	Failed(err error)
}

// OngoingCall is a Call on its way.
type OngoingCall interface {
	// Start lets an accepted call begin. Without it the VM sends nothing to replicas.
	Start()
	// End ends it. If gone is true its caller has gone and all work for it stops; otherwise its
	// answer has left, and replicas may finish what they run.
	End(gone bool)
}

// Gatherers gather parts on other VMs.
type Gatherers interface {
	// Selection returns the VMs that gather from replicas that take conns connections.
	Selection(conns int) *selector.Selection
	// Gather sends a call to a VM. It does not wait.
	Gather(to selector.VM, c *Call, s CallHandler) OngoingCall
}

// emitInterval is the time between two partial answers after the cutoff.
const emitInterval = 2 * time.Millisecond

// maxCalls is the number of calls of other VMs under way from which on more are refused. A call over
// 90 shards holds up to 120 KB, so that all of them take a sixth of the memory of the smallest VMs.
const maxCalls = 256

// Collect gathers the parts of a call of another VM. It calls accept once it has taken the call, which
// returns whether it may begin: the VM that asked may have asked another one meanwhile. Then it gives the parts to emit: those at hand at the cutoff, then others as they come. Errors
// match ErrRefused; nothing runs then.
func (f *Forwarder) Collect(ctx context.Context, c *Call, accept func() bool, emit func(Partial)) error {
	state := f.beliefs.State()
	if ctx.Err() != nil {
		// It was ended while this VM had no time to take it; another VM has it now.
		f.metrics.calls.WithLabelValues(outcomeCallerLeft).Inc()
		return ErrRefused
	}
	defer f.calls.Add(-1)
	if f.calls.Add(1) > maxCalls || state == nil {
		f.metrics.calls.WithLabelValues(outcomeRefused).Inc()
		f.log.WithFields(logrus.Fields{"event": "call-refused", "id": c.ID, "calls": f.ActiveCalls(), "configured": state != nil}).Info("call of another VM refused")
		return ErrRefused
	}
	if !accept() {
		f.metrics.calls.WithLabelValues(outcomeCallerLeft).Inc()
		return nil
	}
	f.collect(ctx, state, c, emit)
	return nil
}

// ActiveCalls is the number of calls of other VMs under way.
func (f *Forwarder) ActiveCalls() int {
	return int(f.calls.Load())
}

func (f *Forwarder) collect(ctx context.Context, state *State, c *Call, emit func(Partial)) {
	spare := c.TotalShards - c.MinParts
	fl := &flight{
		f:     f,
		state: state,
		route: &router.Route{
			Name: c.Route, Shards: c.Shards, Idempotent: true, TargetLatency: c.TargetLatency, MaxAttempts: c.MaxAttempts, TopK: c.TopK,
		},
		r:           c.Request,
		ctx:         ctx,
		deadline:    c.Deadline,
		target:      c.Cutoff,
		leave:       c.Cutoff,
		fingerprint: fingerprint(c.Request),
	}
	// The parts that may be missing are shared among the calls; with more of them missing than
	// that, there is no answer at all.
	fl.start(c.Shards, len(c.Shards)-spare*len(c.Shards)/max(c.TotalShards, 1))
	fl.least = len(c.Shards) - spare
	defer fl.finish()
	for _, p := range fl.parts {
		p.sent, p.ran = c.PriorAttempts, c.PriorAttempts
	}
	if f.barred(fl.fingerprint, c.Arrived) {
		emit(Partial{Final: true, Reasons: []string{outcomeBarred}})
		return
	}
	fl.launchAll()
	fl.emitAll(emit)
	f.recordCall(fl)
}

// emitAll gives the parts to emit as they come, from the cutoff on.
func (fl *flight) emitAll(emit func(Partial)) {
	told := make([]bool, len(fl.parts))
	for next := fl.leave; ; {
		now := time.Now()
		final := fl.ended == len(fl.parts) || (fl.ended+fl.parked == len(fl.parts) && fl.whole >= fl.need) || !now.Before(fl.deadline)
		if final || !now.Before(next) {
			p := fl.partial(told)
			if p.Final = final; final {
				p.MayHaveRun, p.Reasons, p.RetryAfter = fl.mayHaveRun(), fl.reasons(), fl.comeBack(now)
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
		if !fl.wait(fl.nextHedge(wake)) {
			return
		}
	}
}

// partial returns the parts that have come and are not among told.
func (fl *flight) partial(told []bool) Partial {
	var fresh []*part
	var out Partial
	for i, p := range fl.parts {
		if p.reply == nil || told[i] {
			continue
		}
		told[i] = true
		fresh = append(fresh, p)
		out.Parts = append(out.Parts, ReceivedPart{Shard: i, Stamp: p.reply.Stamp})
	}
	out.Body = top(fresh, fl.route.TopK)
	return out
}

// reasons says why parts are missing.
func (fl *flight) reasons() []string {
	var out []string
	for _, p := range fl.parts {
		if p.reply == nil {
			out = append(out, p.missing())
		}
	}
	return distinct(out)
}
