package forwarder

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/ebonylock/ebonylock/modules/registrar"
	"github.com/ebonylock/ebonylock/modules/selector"
)

// way is the time from one VM to another.
const way = time.Millisecond

// mode is how a VM of a fakeFleet treats calls.
type mode int

const (
	works mode = iota
	dark
	refuses
	// dies accepts a call and is lost soon after.
	dies
	// lies sends a receipt for a shard that it was not asked for.
	lies
)

// fakeFleet carries calls between forwarders. It implements Gatherers for the VM that asks.
type fakeFleet struct {
	vms   []selector.VM
	byID  map[string]*Forwarder
	modes map[string]mode

	mu    sync.Mutex
	calls map[string][]*Call
	ends  []bool
}

func (f *fakeFleet) Selection(conns int) *selector.Selection {
	return selector.Select(slices.Clone(f.vms), 0, conns)
}

func (f *fakeFleet) Gather(to selector.VM, c *Call, s CallHandler) OngoingCall {
	f.mu.Lock()
	f.calls[to.ID] = append(f.calls[to.ID], c)
	f.mu.Unlock()
	ctx, cancel := context.WithCancelCause(context.Background())
	o := fakeOngoing{f, cancel, make(chan struct{}, 1)}
	go f.serve(ctx, o, to, c, s)
	return o
}

type fakeOngoing struct {
	f      *fakeFleet
	cancel context.CancelCauseFunc
	begin  chan struct{}
}

func (o fakeOngoing) Start() {
	time.AfterFunc(way, func() { o.begin <- struct{}{} })
}

func (o fakeOngoing) End(gone bool) {
	o.f.mu.Lock()
	o.f.ends = append(o.f.ends, gone)
	o.f.mu.Unlock()
	ender(o.cancel).End(gone)
}

func (f *fakeFleet) serve(ctx context.Context, o fakeOngoing, to selector.VM, c *Call, s CallHandler) {
	time.Sleep(way)
	remote := *c.Request
	remote.Arrived = time.Now()
	c.Request = &remote
	emit := func(p Partial) {
		time.Sleep(way)
		s.Received(p)
	}
	accept := func() bool {
		time.Sleep(way)
		s.Accepted()
		select {
		case <-o.begin:
			return true
		case <-ctx.Done():
			return false
		}
	}
	switch f.modes[to.ID] {
	case dark:
	case refuses:
		time.Sleep(way)
		s.Failed(ErrRefused)
	case dies:
		accept()
		time.Sleep(time.Millisecond)
		s.Failed(ErrConnLost)
	case lies:
		accept()
		emit(Partial{Parts: []ReceivedPart{{Shard: len(c.Shards), Stamp: "x"}}, Body: make([]byte, 16), Final: true})
	case slowToAccept:
		time.Sleep(40 * time.Millisecond)
		_ = f.byID[to.ID].Collect(ctx, c, accept, emit)
	case works:
		_ = f.byID[to.ID].Collect(ctx, c, accept, emit)
	}
}

func (f *fakeFleet) asked(id string) []*Call {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.calls[id])
}

// perDC is the number of VMs of a fakeFleet in each data centre, of which two have fast links.
const perDC = 20

// spreadSite has no replica of shard-0 and shard-1 in dc-0, and of shard-9 only in dc-2.
func spreadSite() *State {
	s := site(3 * perDC)
	for name, list := range s.View.Services {
		s.View.Services[name] = slices.DeleteFunc(list, func(c *registrar.Candidate) bool {
			switch name {
			case "shard-0", "shard-1":
				return c.DataCentre == "dc-0"
			case "shard-9":
				return c.DataCentre != "dc-2"
			}
			return false
		})
	}
	return s
}

// spreadRun plays a test in virtual time with a fleet of which the VM dc-0-19 takes the requests.
func spreadRun(t *testing.T, behave func(c *registrar.Candidate) behaviour, play func(is *is.I, f *Forwarder, fleet *fakeFleet, b *fakeBackend)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		defer func() {
			time.Sleep(time.Minute)
			synctest.Wait()
		}()
		b := &fakeBackend{behave: behave}
		fleet := &fakeFleet{byID: make(map[string]*Forwarder), modes: make(map[string]mode), calls: make(map[string][]*Call)}
		log := logrus.New()
		log.SetOutput(io.Discard)
		state := spreadSite()
		for dc := range 3 {
			for i := range perDC {
				v := selector.VM{ID: fmt.Sprintf("dc-%d-%d", dc, i), DataCentre: fmt.Sprintf("dc-%d", dc), Capacity: 45}
				if i < 2 {
					v.Capacity = 200
				}
				fleet.vms = append(fleet.vms, v)
				fleet.byID[v.ID] = New(Config{
					VM: v.ID, DataCentre: v.DataCentre, RetryRatio: 0.2, RetrySlack: 174, RetryWindow: 10 * time.Second, FirstStart: true,
					CallerDelay: 3 * time.Millisecond, Log: log, RoutineLog: log, Gatherers: fleet,
				}, fixed{state}, b)
			}
		}
		play(is.New(t), fleet.byID["dc-0-19"], fleet, b)
	})
}

func gatherers(dc int) []string {
	return []string{fmt.Sprintf("dc-%d-0", dc), fmt.Sprintf("dc-%d-1", dc)}
}

// TestLargeFleetGathersByDataCentre is the pattern of a fleet with more VMs than a replica takes
// connections: each part comes from the data centre of a replica, through a VM that gathers there.
func TestLargeFleetGathersByDataCentre(t *testing.T) {
	spreadRun(t, func(*registrar.Candidate) behaviour { return served(7 * time.Millisecond) }, func(is *is.I, f *Forwarder, fleet *fakeFleet, b *fakeBackend) {
		a, took := sweep(f)
		is.Equal(a.Status, http.StatusOK)
		is.Equal(a.MissingParts, 0)
		is.Equal(len(a.Stamps), shards)
		is.Equal(len(a.Body), 5*16)
		is.Equal(took, 7*time.Millisecond+4*way)
		is.Equal(b.total(), shards)
		var names []string
		for _, list := range [][]string{gatherers(0), gatherers(1), gatherers(2)} {
			for _, id := range list {
				for _, c := range fleet.asked(id) {
					names = append(names, c.Shards...)
					is.True(c.Cutoff.Before(time.Now().Add(target)))
				}
			}
		}
		slices.Sort(names)
		is.Equal(len(slices.Compact(names)), shards) // each shard was asked for once
		for id := range b.sends {
			is.True(id == "shard-9/2" || id[len(id)-1] == '0' || id[:7] == "shard-0" || id[:7] == "shard-1")
		}
	})
}

// TestSharesOfGatherers is the pattern of limits that hundreds of VMs share: the sum over all of
// them is within a replica's connections.
func TestSharesOfGatherers(t *testing.T) {
	spreadRun(t, nil, func(is *is.I, f *Forwarder, fleet *fakeFleet, _ *fakeBackend) {
		state, conns, slack := f.beliefs.State(), 0, 0.0
		for _, g := range fleet.byID {
			s := g.share(state, "shard-3", true)
			slack += s.slack
			if fleet.Selection(23).IsGatherer(g.cfg.VM) {
				conns += s.conns
			}
		}
		is.True(conns > 0 && conns <= 26)
		is.True(slack < 1.0001)
	})
}

// TestGathererInTrouble is the pattern of a VM that fails with others' calls: another one of its data
// centre is asked within the target latency, and the failed one is left for a while.
func TestGathererInTrouble(t *testing.T) {
	for _, m := range []mode{dark, refuses, dies, lies} {
		t.Run(fmt.Sprint(m), func(t *testing.T) {
			spreadRun(t, func(*registrar.Candidate) behaviour { return served(7 * time.Millisecond) }, func(is *is.I, f *Forwarder, fleet *fakeFleet, _ *fakeBackend) {
				first := selector.Order(fleet.Selection(23).ByDataCentre["dc-0"], f.cfg.VM)[0].ID
				fleet.modes[first] = m
				a, took := sweep(f)
				is.Equal(a.Status, http.StatusOK)
				is.Equal(a.MissingParts, 0)
				is.True(took < 50*time.Millisecond)
				_, took = sweep(f)
				is.True(took < 15*time.Millisecond)
				is.Equal(len(fleet.asked(first)), 1)
				time.Sleep(5 * time.Second) // it is asked again later
				_, _ = sweep(f)
				is.Equal(len(fleet.asked(first)), 2)
			})
		})
	}
}

// slowToAccept is a VM that takes calls so late that others have been asked.
const slowToAccept = works + 100

// TestSlowGatherersDoNotRun is the pattern of VMs that are slow to take calls, as when those with fast links
// stop one after the other: a VM whose call has gone to another one sends nothing to replicas, so that
// no shard is sent to more often than the route allows.
func TestSlowGatherersDoNotRun(t *testing.T) {
	spreadRun(t, func(*registrar.Candidate) behaviour { return served(7 * time.Millisecond) }, func(is *is.I, f *Forwarder, fleet *fakeFleet, b *fakeBackend) {
		for _, v := range fleet.vms {
			fleet.modes[v.ID] = slowToAccept
		}
		a, _ := sweep(f)
		is.Equal(a.Status, http.StatusOK) // late, by this VM itself
		time.Sleep(time.Second)
		for _, n := range b.byShard {
			is.Equal(n, 1)
		}
	})
}

// TestEndedCallDoesNotRun is the pattern of a VM that was frozen: it finds calls that were ended
// meanwhile.
func TestEndedCallDoesNotRun(t *testing.T) {
	spreadRun(t, func(*registrar.Candidate) behaviour { return served(time.Millisecond) }, func(is *is.I, _ *Forwarder, fleet *fakeFleet, b *fakeBackend) {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		c := &Call{Request: request("/sweep/x", time.Second), Shards: []string{"shard-3"}, TotalShards: 1, MinParts: 1, TopK: 5, TargetLatency: target, MaxAttempts: 2}
		is.True(errors.Is(fleet.byID["dc-0-0"].Collect(ctx, c, func() bool { return true }, func(Partial) {}), ErrRefused))
		is.Equal(b.total(), 0)
	})
}

// TestNoGathererLeft is the pattern of all gatherers lost at once: the VM sends itself, one
// connection for each replica.
func TestNoGathererLeft(t *testing.T) {
	spreadRun(t, func(*registrar.Candidate) behaviour { return served(7 * time.Millisecond) }, func(is *is.I, f *Forwarder, fleet *fakeFleet, b *fakeBackend) {
		for dc := range 3 {
			for _, id := range gatherers(dc) {
				fleet.modes[id] = refuses
			}
		}
		a, took := sweep(f)
		is.Equal(a.Status, http.StatusOK)
		is.Equal(a.MissingParts, 0)
		is.True(took < target/2)
		is.Equal(b.total(), shards)
		is.Equal(f.share(f.beliefs.State(), "shard-3", true).conns, 1)
	})
}

// TestDataCentresApart is the pattern of two data centres that can't reach each other while a third
// reaches both: no request waits for a VM that can't be reached, and parts that have a replica
// elsewhere still come.
func TestDataCentresApart(t *testing.T) {
	spreadRun(t, func(*registrar.Candidate) behaviour { return served(7 * time.Millisecond) }, func(is *is.I, f *Forwarder, fleet *fakeFleet, _ *fakeBackend) {
		for _, id := range gatherers(2) {
			fleet.modes[id] = dark
		}
		for range 20 {
			a, took := sweep(f)
			is.Equal(a.Status, http.StatusOK)
			is.True(took < target)
			time.Sleep(100 * time.Millisecond)
		}
	})
}

// TestHopelessRequestIsRefusedAtOnce is the pattern of more shards down than an answer may lack: the
// refusal comes as soon as their data centre has said so.
func TestHopelessRequestIsRefusedAtOnce(t *testing.T) {
	spreadRun(t, func(c *registrar.Candidate) behaviour {
		if c.Service == "shard-3" || c.Service == "shard-4" {
			return behaviour{after: time.Millisecond, err: ErrNotSent}
		}
		return served(7 * time.Millisecond)
	}, func(is *is.I, f *Forwarder, _ *fakeFleet, _ *fakeBackend) {
		for range 30 {
			sweep(f)
			time.Sleep(20 * time.Millisecond)
		}
		a, took := sweep(f)
		is.True(a.Status == http.StatusServiceUnavailable || a.Status == http.StatusBadGateway)
		is.True(took <= 10*time.Millisecond)
	})
}

// TestAnswerLeavesWithoutAPart is the pattern of one shard that hangs: what other VMs have at the
// cutoff is there in time for the target.
func TestAnswerLeavesWithoutAPart(t *testing.T) {
	spreadRun(t, func(c *registrar.Candidate) behaviour {
		if c.Service == "shard-3" {
			return silent()
		}
		return served(7 * time.Millisecond)
	}, func(is *is.I, f *Forwarder, fleet *fakeFleet, _ *fakeBackend) {
		a, took := sweep(f)
		is.Equal(a.Status, http.StatusOK)
		is.Equal(a.MissingParts, 1)
		is.True(took <= target-2*3*time.Millisecond)
		is.True(took > target/2)
		is.True(!slices.Contains(fleet.ends, true)) // replicas may finish what they run
	})
}

// TestCallerLeavesDuringAHop checks that the VMs that gather hear of it.
func TestCallerLeavesDuringAHop(t *testing.T) {
	spreadRun(t, func(*registrar.Candidate) behaviour { return served(30 * time.Millisecond) }, func(is *is.I, f *Forwarder, fleet *fakeFleet, b *fakeBackend) {
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(10*time.Millisecond, cancel)
		f.Serve(ctx, request("/sweep/x", 400*time.Millisecond))
		time.Sleep(time.Millisecond)
		synctest.Wait()
		is.True(len(fleet.ends) > 0 && !slices.Contains(fleet.ends, false))
		is.Equal(b.canceled, shards)
	})
}

// TestCallsAreBounded is the pattern of a VM that many ask at once.
func TestCallsAreBounded(t *testing.T) {
	spreadRun(t, func(*registrar.Candidate) behaviour { return served(2 * time.Millisecond) }, func(is *is.I, _ *Forwarder, fleet *fakeFleet, b *fakeBackend) {
		g := fleet.byID["dc-0-0"]
		refused := 0
		var wg sync.WaitGroup
		for range 2 * maxCalls {
			c := &Call{
				Request: request("/sweep/x", time.Second), Shards: []string{"shard-3"}, TotalShards: 1, MinParts: 1, TopK: 5, TargetLatency: target, MaxAttempts: 2,
				Cutoff: time.Now().Add(target), Deadline: time.Now().Add(time.Second),
			}
			wg.Go(func() {
				if g.Collect(context.Background(), c, func() bool { return true }, func(Partial) {}) != nil {
					fleet.mu.Lock()
					refused++
					fleet.mu.Unlock()
				}
			})
		}
		wg.Wait()
		is.Equal(refused, maxCalls)
		is.Equal(g.ActiveCalls(), 0)
		is.True(b.total() <= maxCalls)
	})
}
