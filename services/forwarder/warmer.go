package forwarder

import (
	"context"
	"slices"
	"time"

	"github.com/ebonylock/ebonylock/modules/gatekeeper"
	"github.com/ebonylock/ebonylock/modules/pauser"
	"github.com/ebonylock/ebonylock/modules/registrar"
	"github.com/ebonylock/ebonylock/modules/router"
)

const (
	// warmInterval is the time between opening two connections in advance. A new connection costs
	// a replica CPU time, and all VMs open theirs at once when a replica appears. With fewer VMs
	// that send, the interval is shorter, but at least minWarmInterval.
	warmInterval    = 25 * time.Millisecond
	minWarmInterval = 2 * time.Millisecond
	// joinTime is the time after a start during which VMs that join may change which VMs send.
	joinTime = 10 * time.Second
	// viewPollInterval is the time between two checks for new replicas.
	viewPollInterval = 250 * time.Millisecond
	// warmTimeout limits the time to open one connection.
	warmTimeout = time.Second
)

// Warm opens a connection to each replica in this VM's data centre that this VM sends to, so that
// the first requests do not have to open them all at once. It runs until ctx is done.
func (f *Forwarder) Warm(ctx context.Context) {
	warmed := make(map[string]bool)
	var seen *registrar.View
	for ctx.Err() == nil {
		state := f.states.State()
		if state == nil || (state.View == seen && !f.started.After(time.Now().Add(-joinTime))) {
			pauser.Pause(ctx, viewPollInterval)
			continue
		}
		seen = state.View
		for _, c := range f.unwarmed(state, warmed) {
			warmed[c.Key] = true
			warmCtx, cancel := context.WithTimeout(ctx, warmTimeout)
			err := f.backend.Warm(warmCtx, c)
			cancel()
			if err != nil {
				f.log.WithField("event", "warm").WithField("replica", c.ID).WithError(err).Info("connection to a replica not opened in advance")
				// A failure may take up to warmTimeout. Replicas that have appeared meanwhile may come first.
				seen = nil
				break
			}
			pauser.Pause(ctx, f.warmDelay(state))
		}
		pauser.Pause(ctx, viewPollInterval)
	}
}

// warmDelay returns the time between opening two connections in advance. The fewer VMs send to a
// replica, the shorter it is.
func (f *Forwarder) warmDelay(s *State) time.Duration {
	for _, r := range s.Table.Config.Routes {
		if sel := f.selection(s, r.Shards); !sel.Direct {
			return max(warmInterval*time.Duration(sel.Total)/time.Duration(max(s.VMs, 1)), minWarmInterval)
		}
	}
	return warmInterval
}

// sendsTo reports whether this VM sends to the replicas of a service, because it gathers from them
// or because every VM does. A service that no route names yet is treated as a shard.
func (f *Forwarder) sendsTo(s *State, service string) bool {
	for _, r := range s.Table.Config.Routes {
		if slices.ContainsFunc(r.Shares, func(p router.Share) bool { return p.Service == service }) {
			return true
		}
	}
	sel := f.selection(s, []string{service})
	return sel.Direct || sel.IsGatherer(f.cfg.VM)
}

// unwarmed returns the replicas in this VM's data centre that are not in warmed, those of configured
// services first. The entries of others may have another writer. It removes from warmed the replicas
// that no longer exist.
func (f *Forwarder) unwarmed(s *State, warmed map[string]bool) []*registrar.Candidate {
	var out []*registrar.Candidate
	known := make(map[string]bool)
	configured := 0
	for service, list := range s.View.Services {
		sends := f.sendsTo(s, service)
		_, first := s.Table.Config.Services[service]
		for _, c := range list {
			key := c.Key
			known[key] = true
			if sends && c.DataCentre == f.cfg.DataCentre && !c.Missing && !warmed[key] && f.gate.StateOf(key, time.Now()) == gatekeeper.Open {
				out = append(out, c)
				if last := len(out) - 1; first {
					out[configured], out[last] = out[last], out[configured]
					configured++
				}
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
