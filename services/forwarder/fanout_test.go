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

// vmDelay is the one-way network delay between VMs.
const vmDelay = time.Millisecond

// mode defines how a VM of a fakeFleet treats calls.
type mode int

const (
	modeWorks mode = iota
	modeUnreachable
	modeRefuses
	// modeLost accepts a call and loses the connection soon after.
	modeLost
	// modeInvalid returns a part of a shard that it was not asked for.
	modeInvalid
)

// fakeFleet passes calls between forwarders. It implements Gatherers.
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
	o := fakeCall{f, cancel, make(chan struct{}, 1)}
	go f.serve(ctx, o, to, c, s)
	return o
}

type fakeCall struct {
	f      *fakeFleet
	cancel context.CancelCauseFunc
	begin  chan struct{}
}

func (o fakeCall) Start() {
	time.AfterFunc(vmDelay, func() { o.begin <- struct{}{} })
}

func (o fakeCall) End(callerGone bool) {
	o.f.mu.Lock()
	o.f.ends = append(o.f.ends, callerGone)
	o.f.mu.Unlock()
	localCall(o.cancel).End(callerGone)
}

func (f *fakeFleet) serve(ctx context.Context, o fakeCall, to selector.VM, c *Call, s CallHandler) {
	time.Sleep(vmDelay)
	remote := *c.Request
	remote.Arrived = time.Now()
	c.Request = &remote
	emit := func(p Partial) {
		time.Sleep(vmDelay)
		s.Received(p)
	}
	accept := func() bool {
		time.Sleep(vmDelay)
		s.Accepted()
		select {
		case <-o.begin:
			return true
		case <-ctx.Done():
			return false
		}
	}
	switch f.modes[to.ID] {
	case modeUnreachable:
	case modeRefuses:
		time.Sleep(vmDelay)
		s.Failed(ErrRefused)
	case modeLost:
		accept()
		time.Sleep(time.Millisecond)
		s.Failed(ErrConnLost)
	case modeInvalid:
		accept()
		emit(Partial{Parts: []ReceivedPart{{Shard: len(c.Shards), Stamp: "x"}}, Body: make([]byte, 16), Final: true})
	case modeSlowAccept:
		time.Sleep(40 * time.Millisecond)
		_ = f.byID[to.ID].Collect(ctx, c, accept, emit)
	case modeWorks:
		_ = f.byID[to.ID].Collect(ctx, c, accept, emit)
	}
}

func (f *fakeFleet) asked(id string) []*Call {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.calls[id])
}

// vmsPerDC is the number of VMs of a fakeFleet in each data centre. Two of them have fast links.
const vmsPerDC = 20

// fanoutState returns a State in which shard-0 and shard-1 have no replica in dc-0, and shard-9 has
// one only in dc-2.
func fanoutState() *State {
	s := testState(3 * vmsPerDC)
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

// runFanout runs a test in virtual time with a fleet in which the VM dc-0-19 receives the requests.
func runFanout(t *testing.T, behave func(c *registrar.Candidate) behaviour, test func(is *is.I, f *Forwarder, fleet *fakeFleet, b *fakeBackend)) {
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
		state := fanoutState()
		for dc := range 3 {
			for i := range vmsPerDC {
				v := selector.VM{ID: fmt.Sprintf("dc-%d-%d", dc, i), DataCentre: fmt.Sprintf("dc-%d", dc), Capacity: 45}
				if i < 2 {
					v.Capacity = 200
				}
				fleet.vms = append(fleet.vms, v)
				fleet.byID[v.ID] = New(Config{
					VM: v.ID, DataCentre: v.DataCentre, RetryRatio: 0.2, RetrySlack: 174, RetryWindow: 10 * time.Second, FirstStart: true,
					CallerDelay: 3 * time.Millisecond, Log: log, RoutineLog: log, Gatherers: fleet,
				}, fixedState{state}, b)
			}
		}
		test(is.New(t), fleet.byID["dc-0-19"], fleet, b)
	})
}

func gatherers(dc int) []string {
	return []string{fmt.Sprintf("dc-%d-0", dc), fmt.Sprintf("dc-%d-1", dc)}
}

// TestLargeFleetGathersByDataCentre covers a fleet with more VMs than a replica accepts
// connections. Each part has to come from the data centre of a replica, through a VM that gathers
// there.
func TestLargeFleetGathersByDataCentre(t *testing.T) {
	runFanout(t, func(*registrar.Candidate) behaviour { return served(7 * time.Millisecond) }, func(is *is.I, f *Forwarder, fleet *fakeFleet, b *fakeBackend) {
		a, took := sweep(f)
		is.Equal(a.Status, http.StatusOK)
		is.Equal(a.MissingParts, 0)
		is.Equal(len(a.Stamps), shards)
		is.Equal(len(a.Body), 5*16)
		is.Equal(took, 7*time.Millisecond+4*vmDelay)
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

// TestSharesOfGatherers covers limits shared by many VMs. The sum of their quotas has to stay
// within the connection limit of a replica.
func TestSharesOfGatherers(t *testing.T) {
	runFanout(t, nil, func(is *is.I, f *Forwarder, fleet *fakeFleet, _ *fakeBackend) {
		state, conns, slack := f.states.State(), 0, 0.0
		for _, g := range fleet.byID {
			s := g.quota(state, "shard-3", true)
			slack += s.slack
			if fleet.Selection(23).IsGatherer(g.cfg.VM) {
				conns += s.conns
			}
		}
		is.True(conns > 0 && conns <= 26)
		is.True(slack < 1.0001)
	})
}

// TestGathererInTrouble covers a VM that fails calls of other VMs. Another VM in its data centre
// has to be called within the target latency, and the failed one must not be called for a while.
func TestGathererInTrouble(t *testing.T) {
	for _, m := range []mode{modeUnreachable, modeRefuses, modeLost, modeInvalid} {
		t.Run(fmt.Sprint(m), func(t *testing.T) {
			runFanout(t, func(*registrar.Candidate) behaviour { return served(7 * time.Millisecond) }, func(is *is.I, f *Forwarder, fleet *fakeFleet, _ *fakeBackend) {
				first := selector.Order(fleet.Selection(23).ByDataCentre["dc-0"], f.cfg.VM)[0].ID
				fleet.modes[first] = m
				a, took := sweep(f)
				is.Equal(a.Status, http.StatusOK)
				is.Equal(a.MissingParts, 0)
				is.True(took < 50*time.Millisecond)
				_, took = sweep(f)
				is.True(took < 15*time.Millisecond)
				is.Equal(len(fleet.asked(first)), 1)
				time.Sleep(5 * time.Second) // it is called again later
				_, _ = sweep(f)
				is.Equal(len(fleet.asked(first)), 2)
			})
		})
	}
}

// modeSlowAccept accepts calls so late that other VMs have been called instead.
const modeSlowAccept = modeWorks + 100

// TestSlowGatherersDoNotRun covers VMs that are slow to accept calls, as when the VMs with fast
// links stop one after the other. A VM whose call was reassigned must send nothing to replicas, so
// that no shard gets more attempts than the route allows.
func TestSlowGatherersDoNotRun(t *testing.T) {
	runFanout(t, func(*registrar.Candidate) behaviour { return served(7 * time.Millisecond) }, func(is *is.I, f *Forwarder, fleet *fakeFleet, b *fakeBackend) {
		for _, v := range fleet.vms {
			fleet.modes[v.ID] = modeSlowAccept
		}
		a, _ := sweep(f)
		is.Equal(a.Status, http.StatusOK) // late, gathered by this VM itself
		time.Sleep(time.Second)
		for _, n := range b.byShard {
			is.Equal(n, 1)
		}
	})
}

// TestEndedCallDoesNotRun covers a VM that was frozen and then finds calls that were ended in the
// meantime.
func TestEndedCallDoesNotRun(t *testing.T) {
	runFanout(t, func(*registrar.Candidate) behaviour { return served(time.Millisecond) }, func(is *is.I, _ *Forwarder, fleet *fakeFleet, b *fakeBackend) {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		c := &Call{Request: request("/sweep/x", time.Second), Shards: []string{"shard-3"}, TotalShards: 1, MinParts: 1, TopK: 5, TargetLatency: target, MaxAttempts: 2}
		is.True(errors.Is(fleet.byID["dc-0-0"].Collect(ctx, c, func() bool { return true }, func(Partial) {}), ErrRefused))
		is.Equal(b.total(), 0)
	})
}

// TestNoGathererLeft covers the loss of all gatherers at once. The VM has to send to replicas
// itself, with one connection to each.
func TestNoGathererLeft(t *testing.T) {
	runFanout(t, func(*registrar.Candidate) behaviour { return served(7 * time.Millisecond) }, func(is *is.I, f *Forwarder, fleet *fakeFleet, b *fakeBackend) {
		for dc := range 3 {
			for _, id := range gatherers(dc) {
				fleet.modes[id] = modeRefuses
			}
		}
		a, took := sweep(f)
		is.Equal(a.Status, http.StatusOK)
		is.Equal(a.MissingParts, 0)
		is.True(took < target/2)
		is.Equal(b.total(), shards)
		is.Equal(f.quota(f.states.State(), "shard-3", true).conns, 1)
	})
}

// TestDataCentrePartition covers two data centres that can't reach each other while a third one
// reaches both. No request may wait for an unreachable VM, and parts that have a replica elsewhere
// still have to arrive.
func TestDataCentrePartition(t *testing.T) {
	runFanout(t, func(*registrar.Candidate) behaviour { return served(7 * time.Millisecond) }, func(is *is.I, f *Forwarder, fleet *fakeFleet, _ *fakeBackend) {
		for _, id := range gatherers(2) {
			fleet.modes[id] = modeUnreachable
		}
		for range 20 {
			a, took := sweep(f)
			is.Equal(a.Status, http.StatusOK)
			is.True(took < target)
			time.Sleep(100 * time.Millisecond)
		}
	})
}

// TestUnanswerableRequestFailsAtOnce covers more shards down than a response may lack. The request
// has to fail as soon as the data centre of these shards has reported it.
func TestUnanswerableRequestFailsAtOnce(t *testing.T) {
	runFanout(t, func(c *registrar.Candidate) behaviour {
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

// TestResponseWithoutHangingShard covers one shard that hangs. The parts that other VMs have at the
// cutoff have to arrive in time for the target.
func TestResponseWithoutHangingShard(t *testing.T) {
	runFanout(t, func(c *registrar.Candidate) behaviour {
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
		is.True(!slices.Contains(fleet.ends, true)) // replicas may complete what they run
	})
}

// TestCallerLeavesDuringAHop checks that the gathering VMs are told when the caller leaves.
func TestCallerLeavesDuringAHop(t *testing.T) {
	runFanout(t, func(*registrar.Candidate) behaviour { return served(30 * time.Millisecond) }, func(is *is.I, f *Forwarder, fleet *fakeFleet, b *fakeBackend) {
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(10*time.Millisecond, cancel)
		f.Serve(ctx, request("/sweep/x", 400*time.Millisecond))
		time.Sleep(time.Millisecond)
		synctest.Wait()
		is.True(len(fleet.ends) > 0 && !slices.Contains(fleet.ends, false))
		is.Equal(b.canceled, shards)
	})
}

// TestCallsAreBounded covers a VM that many other VMs call at once.
func TestCallsAreBounded(t *testing.T) {
	runFanout(t, func(*registrar.Candidate) behaviour { return served(2 * time.Millisecond) }, func(is *is.I, _ *Forwarder, fleet *fakeFleet, b *fakeBackend) {
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
