package forwarder

import (
	"context"
	"time"

	"github.com/ebonylock/ebonylock/modules/selector"
)

// Codes for how hops ended, used in logs and metrics.
const (
	hopComplete        = "whole"
	hopPartial         = "partly"
	hopAnsweredWithout = "answered-without"
	hopNotAccepted     = "not-accepted"
	hopRefused         = "refused"
	hopLost            = "lost"
)

// hop is one call for a group of shards. It implements CallHandler.
type hop struct {
	fo *fanout
	to selector.VM
	// local is true when this VM gathers the parts itself.
	local    bool
	shards   []int
	calledAt time.Time
	// acceptBy is the time after which another VM is called.
	acceptBy time.Time
	accepted bool
	// startedAt is the time at which this VM started an accepted call.
	startedAt time.Time
	// priorAttempts is the number of replicas of each shard that may have run the request before
	// this hop.
	priorAttempts int
	// end is the code for how the hop ended; empty while it is in progress. Parts that arrive
	// later are ignored.
	end     string
	took    time.Duration
	ongoing OngoingCall
	// tried are the IDs of the VMs called for the same shards, including this hop's VM.
	tried []string
}

type hopEvent struct {
	hop      *hop
	at       time.Time
	accepted bool
	partial  Partial
	err      error
}

// Accepted implements CallHandler.
func (h *hop) Accepted() {
	h.fo.inbox.add(hopEvent{hop: h, at: time.Now(), accepted: true})
}

// Received implements CallHandler.
func (h *hop) Received(p Partial) {
	h.fo.inbox.add(hopEvent{hop: h, at: time.Now(), partial: p})
}

// Failed implements CallHandler.
func (h *hop) Failed(err error) {
	h.fo.inbox.add(hopEvent{hop: h, at: time.Now(), err: err})
}

// awaitsAccept reports whether the hop is in progress and its VM has not accepted the call yet.
func (h *hop) awaitsAccept() bool {
	return h.end == "" && !h.accepted
}

// localCall is an OngoingCall that this VM gathers itself.
type localCall context.CancelCauseFunc

// Start implements OngoingCall. A local call has already started.
func (localCall) Start() {}

// End implements OngoingCall.
func (e localCall) End(callerGone bool) {
	if callerGone {
		e(context.Canceled)
	} else {
		e(ErrResponseSent)
	}
}
