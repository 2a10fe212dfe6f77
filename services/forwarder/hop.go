package forwarder

import (
	"context"
	"time"

	"github.com/ebonylock/ebonylock/modules/selector"
)

// Ends of hops, in logs and metrics.
const (
	hopWhole    = "whole"
	hopPartly   = "partly"
	hopEnough   = "answered-without"
	hopNoAccept = "not-accepted"
	hopRefused  = "refused"
	hopLost     = "lost"
)

// hop is one call for a group of shards. It implements Sink.
type hop struct {
	sp *spread
	to selector.VM
	// local is true when this VM gathers itself.
	local  bool
	shards []int
	began  time.Time
	// acceptBy is the time after which another VM is asked.
	acceptBy time.Time
	accepted bool
	// begun is the time at which an accepted call was let begin.
	begun time.Time
	// ran is the number of replicas of each shard that may have run the request before this hop.
	ran int
	// end says how the hop ended; nothing is taken from it afterwards.
	end     string
	took    time.Duration
	ongoing OngoingCall
	// tried are the VMs that were asked for the same shards, this one included.
	tried []string
}

type hopEvent struct {
	hop      *hop
	at       time.Time
	accepted bool
	partial  Partial
	err      error
}

// Accepted implements Sink.
func (h *hop) Accepted() {
	h.sp.inbox.add(hopEvent{hop: h, at: time.Now(), accepted: true})
}

// Received implements Sink.
func (h *hop) Received(p Partial) {
	h.sp.inbox.add(hopEvent{hop: h, at: time.Now(), partial: p})
}

// Failed implements Sink.
func (h *hop) Failed(err error) {
	h.sp.inbox.add(hopEvent{hop: h, at: time.Now(), err: err})
}

// waits reports whether the VM has not yet said that it has taken the call.
func (h *hop) waits() bool {
	return h.end == "" && !h.accepted
}

// ender is an Ongoing of this VM.
type ender context.CancelCauseFunc

// Start implements Ongoing.
func (ender) Start() {}

// End implements Ongoing.
func (e ender) End(gone bool) {
	if gone {
		e(context.Canceled)
	} else {
		e(ErrResponseSent)
	}
}
