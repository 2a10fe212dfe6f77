package forwarder

import (
	"context"
	"time"

	"github.com/ebonylock/ebonylock/modules/pauser"
	"github.com/ebonylock/ebonylock/modules/registrar"
)

const (
	// warmInterval is the time between two connections that are opened ahead. A new connection
	// costs a replica time, and all VMs open theirs when a replica appears.
	warmInterval = 25 * time.Millisecond
	// lookInterval is the time between two looks for new replicas.
	lookInterval = 250 * time.Millisecond
	// warmTimeout limits the opening of one.
	warmTimeout = time.Second
)

// Warm opens a connection ahead to each replica of the own data centre, so that the first
// requests do not wait for all of them at once, until ctx ends.
func (f *Forwarder) Warm(ctx context.Context) {
	warmed := make(map[string]bool)
	var seen *registrar.View
	for ctx.Err() == nil {
		state := f.beliefs.State()
		if state == nil || state.View == seen {
			pauser.Pause(ctx, lookInterval)
			continue
		}
		seen = state.View
		for _, c := range f.cold(seen, warmed) {
			warmed[c.Key] = true
			try, cancel := context.WithTimeout(ctx, warmTimeout)
			if err := f.backend.Warm(try, c); err != nil {
				f.log.WithField("event", "warm").WithField("replica", c.ID).WithError(err).Info("no connection opened ahead")
			}
			cancel()
			pauser.Pause(ctx, warmInterval)
		}
	}
}

// cold returns the replicas of the own data centre that are not among warmed, and drops those
// from warmed that are gone.
func (f *Forwarder) cold(v *registrar.View, warmed map[string]bool) []*registrar.Candidate {
	var out []*registrar.Candidate
	known := make(map[string]bool)
	for _, list := range v.Services {
		for _, c := range list {
			key := c.Key
			known[key] = true
			if c.DataCentre == f.cfg.DataCentre && !c.Fading && !warmed[key] {
				out = append(out, c)
			}
		}
	}
	for key := range warmed {
		if !known[key] {
			delete(warmed, key)
		}
	}
	return out
}
