package forwarder

import (
	"context"
	"slices"
	"time"

	"github.com/ebonylock/ebonylock/modules/pauser"
	"github.com/ebonylock/ebonylock/modules/registrar"
	"github.com/ebonylock/ebonylock/modules/router"
)

const (
	// warmInterval is the time between two connections that are opened ahead. A new connection
	// costs a replica time, and all VMs open theirs when a replica appears.
	warmInterval      = 25 * time.Millisecond
	leastWarmInterval = 2 * time.Millisecond
	// joinTime is the time after a start in which VMs that join change who sends.
	joinTime = 10 * time.Second
	// lookInterval is the time between two looks for new replicas.
	lookInterval = 250 * time.Millisecond
	// warmTimeout limits the opening of one.
	warmTimeout = time.Second
)

// Warm opens a connection ahead to each replica of the own data centre that this VM sends to, so
// that the first requests do not wait for all of them at once, until ctx ends.
func (f *Forwarder) Warm(ctx context.Context) {
	warmed := make(map[string]bool)
	var seen *registrar.View
	for ctx.Err() == nil {
		state := f.beliefs.State()
		if state == nil || (state.View == seen && !f.started.After(time.Now().Add(-joinTime))) {
			pauser.Pause(ctx, lookInterval)
			continue
		}
		seen = state.View
		for _, c := range f.cold(state, warmed) {
			warmed[c.Key] = true
			try, cancel := context.WithTimeout(ctx, warmTimeout)
			if err := f.backend.Warm(try, c); err != nil {
				f.log.WithField("event", "warm").WithField("replica", c.ID).WithError(err).Info("no connection opened ahead")
			}
			cancel()
			pauser.Pause(ctx, f.warmPause(state))
		}
		pauser.Pause(ctx, lookInterval)
	}
}

// warmPause is the time between two connections that are opened ahead: with fewer VMs that send to
// a replica, each may open them faster.
func (f *Forwarder) warmPause(s *State) time.Duration {
	for _, r := range s.Table.Config.Routes {
		if sel := f.selection(s, r.Shards); !sel.Direct {
			return max(warmInterval*time.Duration(sel.Total)/time.Duration(max(s.VMs, 1)), leastWarmInterval)
		}
	}
	return warmInterval
}

// sends reports whether this VM sends to the replicas of a service: it gathers from them, or every
// VM does. A service that no route names yet counts as a shard.
func (f *Forwarder) sends(s *State, service string) bool {
	for _, r := range s.Table.Config.Routes {
		if slices.ContainsFunc(r.Shares, func(p router.Share) bool { return p.Service == service }) {
			return true
		}
	}
	sel := f.selection(s, []string{service})
	return sel.Direct || sel.IsGatherer(f.cfg.VM)
}

// cold returns the replicas of the own data centre that are not among warmed, and drops those
// from warmed that are gone.
func (f *Forwarder) cold(s *State, warmed map[string]bool) []*registrar.Candidate {
	var out []*registrar.Candidate
	known := make(map[string]bool)
	for service, list := range s.View.Services {
		sends := f.sends(s, service)
		for _, c := range list {
			key := c.Key
			known[key] = true
			if sends && c.DataCentre == f.cfg.DataCentre && !c.Missing && !warmed[key] {
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
