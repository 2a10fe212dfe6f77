package forwarder

import (
	"context"
	"net/http"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/ebonylock/ebonylock/modules/quarantiner"
	"github.com/ebonylock/ebonylock/modules/registrar"
	"github.com/ebonylock/ebonylock/modules/router"
)

// moveReads moves the route for reads to shard-0, with an unchanged view.
func moveReads(f *Forwarder) {
	state := f.states.State()
	cfg := state.Table.Config
	cfg.Version++
	cfg.Routes = append([]router.Route(nil), cfg.Routes...)
	for i := range cfg.Routes {
		if cfg.Routes[i].Name == "read" {
			cfg.Routes[i].Shares = []router.Share{{Service: "shard-0", Weight: 1}}
		}
	}
	f.states = fixedState{&State{Table: router.New(cfg), View: state.View, VMs: state.VMs}}
}

// TestRequestCrashesReplicasOfNewService guards against a request that one service has answered and that crashes the
// replicas of the service to which its route moves, without limit.
func TestRequestCrashesReplicasOfNewService(t *testing.T) {
	runTest(t, true, func(c *registrar.Candidate) behaviour {
		if c.Service == "shard-0" {
			return behaviour{after: time.Millisecond, err: ErrConnLost}
		}
		return served(time.Millisecond)
	}, func(is *is.I, f *Forwarder, b *fakeBackend) {
		f.cfg.Quarantine = new(quarantiner.Tracker)
		b.down = map[string]bool{"shard-0/0": true, "shard-0/1": true, "shard-0/2": true}
		ask := func() int {
			resp := f.Serve(context.Background(), request("/read/x", time.Second))
			synctest.Wait()
			time.Sleep(time.Second)
			return resp.Status
		}
		for range 3 {
			is.Equal(ask(), http.StatusOK)
		}
		moveReads(f)
		for range 10 {
			ask()
		}
		is.True(b.byShard["shard-0"] <= 3)
		is.Equal(ask(), http.StatusServiceUnavailable)
		f.states = fixedState{testState(7)}
		is.Equal(ask(), http.StatusOK) // by the service that it does no harm
	})
}

// TestRequestCrashesReplicasOfNewVersion guards against a request that replicas have answered and that crashes those
// which replace them with another version of their software.
func TestRequestCrashesReplicasOfNewVersion(t *testing.T) {
	runTest(t, true, func(c *registrar.Candidate) behaviour {
		if c.Version == "v2" {
			return behaviour{after: time.Millisecond, err: ErrConnLost}
		}
		return served(time.Millisecond)
	}, func(is *is.I, f *Forwarder, b *fakeBackend) {
		f.cfg.Quarantine = new(quarantiner.Tracker)
		ask := func() int {
			resp := f.Serve(context.Background(), request("/read/x", time.Second))
			synctest.Wait()
			time.Sleep(time.Second)
			return resp.Status
		}
		is.Equal(ask(), http.StatusOK)
		b.down = make(map[string]bool)
		for _, c := range f.states.State().View.Services["single"] {
			c.Version, c.Key = "v2", c.Key+"-2"
			b.down[c.ID] = true
		}
		before := b.total()
		for range 10 {
			ask()
		}
		is.True(b.total()-before <= 3)
		is.Equal(ask(), http.StatusServiceUnavailable)
	})
}

// TestRequestCrashesReplicasOfOneShard guards against a request that crashes the replicas of one shard without limit,
// as the other shards answer it, and against its refusal where most shards can answer it.
func TestRequestCrashesReplicasOfOneShard(t *testing.T) {
	runTest(t, true, func(c *registrar.Candidate) behaviour {
		if c.Service == "shard-3" {
			return behaviour{after: time.Millisecond, err: ErrConnLost}
		}
		return served(time.Millisecond)
	}, func(is *is.I, f *Forwarder, b *fakeBackend) {
		f.cfg.Quarantine = new(quarantiner.Tracker)
		b.down = map[string]bool{"shard-3/0": true, "shard-3/1": true, "shard-3/2": true}
		for range 10 {
			resp, _ := sweep(f)
			synctest.Wait()
			time.Sleep(time.Second)
			is.Equal(resp.Status, http.StatusOK)
			is.Equal(resp.MissingParts, 1)
		}
		is.True(b.byShard["shard-3"] <= 3)
	})
}

// TestBlockedRequestIsNotSentAgain guards against another send of a request that is blocked while it is in progress, as
// other VMs have seen it crash replicas.
func TestBlockedRequestIsNotSentAgain(t *testing.T) {
	runTest(t, true, func(*registrar.Candidate) behaviour {
		return behaviour{after: 100 * time.Millisecond, err: ErrConnLost}
	}, func(is *is.I, f *Forwarder, b *fakeBackend) {
		var losses quarantiner.Tracker
		f.cfg.Quarantine = &losses
		r := request("/read/x", time.Second)
		time.AfterFunc(time.Millisecond, func() {
			for i := range 2 {
				losses.Report(quarantiner.Loss{Fingerprint: identify(r).request, Server: strconv.Itoa(i), At: time.Now()})
			}
		})
		f.Serve(context.Background(), r)
		is.Equal(b.total(), 1)
	})
}

// TestHarmlessRequestBesideCrashes guards against a request being refused that ran on replicas which another request
// crashed.
func TestHarmlessRequestBesideCrashes(t *testing.T) {
	crashing := false
	runTest(t, true, func(*registrar.Candidate) behaviour {
		if crashing {
			return behaviour{after: time.Millisecond, err: ErrConnLost}
		}
		return served(time.Millisecond)
	}, func(is *is.I, f *Forwarder, b *fakeBackend) {
		f.cfg.Quarantine = new(quarantiner.Tracker)
		ask := func(path string) int {
			resp := f.Serve(context.Background(), request(path, time.Second))
			synctest.Wait()
			time.Sleep(time.Second)
			return resp.Status
		}
		for i := range 5 {
			is.Equal(ask("/read/harmless"), http.StatusOK)
			// Both run on the replicas that the other one crashes.
			crashing = true
			b.down = map[string]bool{"single/0": true, "single/1": true, "single/2": true}
			go f.Serve(context.Background(), request("/read/harmless", time.Second))
			ask("/read/poison/" + strconv.Itoa(i))
			crashing, b.down = false, nil
		}
		is.Equal(ask("/read/harmless"), http.StatusOK)
	})
}

// TestLossesOfRecordBlockAllPaths guards against a request that crashes replicas and reaches them through a VM that knows
// its losses from the record in the store only: to one service, to several shards, and as a call of another VM.
func TestLossesOfRecordBlockAllPaths(t *testing.T) {
	runTest(t, true, func(*registrar.Candidate) behaviour { return served(time.Millisecond) }, func(is *is.I, f *Forwarder, b *fakeBackend) {
		var losses quarantiner.Tracker
		f.cfg.Quarantine = &losses
		for _, path := range []string{"/read/x", "/sweep/x"} {
			for i := range 2 {
				at := time.Now().Add(time.Duration(i-9) * time.Second)
				losses.Merge([]quarantiner.Loss{{Fingerprint: identify(request(path, time.Second)).request, Server: path + strconv.Itoa(i), At: at, Inexact: true}}, time.Now())
			}
			is.Equal(f.Serve(context.Background(), request(path, time.Second)).Status, http.StatusServiceUnavailable)
		}
		call := &Call{
			Request: request("/sweep/x", time.Second), Route: "sweep", Shards: []string{"shard-0"}, TotalShards: 1, MinParts: 1,
			TopK: 5, TargetLatency: target, MaxAttempts: 2, Cutoff: time.Now().Add(target), Deadline: time.Now().Add(time.Second),
		}
		var parts []Partial
		is.NoErr(f.Collect(context.Background(), call, func() bool { return true }, func(p Partial) { parts = append(parts, p) }))
		is.Equal(len(parts), 1)
		is.Equal(parts[0].Reasons, []string{outcomeQuarantined})
		is.Equal(b.total(), 0)
		is.Equal(f.Serve(context.Background(), request("/read/y", time.Second)).Status, http.StatusOK)
	})
}
