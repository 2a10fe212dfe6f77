package scatterer

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/ebonylock/ebonylock/modules/executor"
	"github.com/ebonylock/ebonylock/modules/limiter"
	"github.com/ebonylock/ebonylock/modules/lister"
	"github.com/ebonylock/ebonylock/modules/locator"
	"github.com/ebonylock/ebonylock/modules/planner"
	"github.com/ebonylock/ebonylock/modules/prober"
	"github.com/ebonylock/ebonylock/modules/quarantiner"
	"github.com/ebonylock/ebonylock/services/dispatcher"
)

// fakeFleet is a Fleet, and also the Owner of all its servers. The function respond decides the
// event for each Subrequest; n is the number of requests so far.
type fakeFleet struct {
	view    *locator.View
	respond func(s dispatcher.Subrequest, n int) dispatcher.Event

	mu sync.Mutex
	// requests are all Subrequests other than requests for generations.
	requests []dispatcher.Subrequest
}

func (f *fakeFleet) View() *locator.View { return f.view }
func (f *fakeFleet) Owner(string) Owner  { return f }

func (f *fakeFleet) Dispatch(_ context.Context, batch []dispatcher.Subrequest, _ <-chan int, emit func(dispatcher.Event)) error {
	for i, s := range batch {
		f.mu.Lock()
		if !s.Describe {
			f.requests = append(f.requests, s)
		}
		n := len(f.requests)
		f.mu.Unlock()
		e := f.respond(s, n)
		if e.Kind == 0 {
			continue // no event
		}
		e.Index = i
		emit(e)
	}
	return nil
}

func newGeneration(n uint64, partitions ...string) executor.Generation {
	return executor.Generation{Number: n, Partitions: partitions}
}

// wholeReply returns the event of a whole reply in the requested generation.
func wholeReply(s dispatcher.Subrequest, held ...executor.Generation) dispatcher.Event {
	r := executor.Reply{Generation: s.Generation, Held: held}
	for _, g := range held {
		if g.Number == s.Generation {
			r.Partitions = g.Partitions
			r.Results = make([][]byte, len(g.Partitions))
		}
	}
	return dispatcher.Event{Kind: dispatcher.Done, Reply: r}
}

func failedEvent(errs ...error) dispatcher.Event {
	return dispatcher.Event{Kind: dispatcher.Failed, Err: errors.Join(errs...)}
}

// newFakeFleet returns a fleet of 2 VMs with the services a, b and c, which have 3 replicas each.
func newFakeFleet(respond func(s dispatcher.Subrequest, n int) dispatcher.Event) *fakeFleet {
	in := locator.Input{Self: "vm-1", Config: planner.Config{Revision: 1, Searches: map[string]planner.Search{
		"s": {Services: []string{"a", "b", "c"}, MinCoverage: 1},
	}}}
	for _, id := range []string{"vm-1", "vm-2"} {
		in.Members = append(in.Members, prober.Member{ID: id, DataCentre: "dc"})
	}
	for _, svc := range []string{"a", "b", "c"} {
		for r := range 3 {
			in.List.BackendServers = append(in.List.BackendServers, lister.BackendServer{ID: fmt.Sprintf("%s-%d", svc, r), Service: svc, DataCentre: "dc", Slots: 2, MaxConns: 4})
		}
	}
	return &fakeFleet{view: locator.Build(in), respond: respond}
}

func search(f *fakeFleet, cfg Config) (Answer, error) {
	return New(cfg, f, &quarantiner.Tracker{}).Search(context.Background(), Query{Search: "s", Body: []byte("{}"), Deadline: time.Now().Add(time.Second)})
}

// TestPartFaults checks the coverage of an answer when service b fails in various ways.
func TestPartFaults(t *testing.T) {
	g1, g2 := newGeneration(1, "p0", "p1"), newGeneration(2, "q0")
	for _, tc := range []struct {
		name string
		// b responds to the nth Subrequest, if it is for service b.
		b       func(s dispatcher.Subrequest, n int) dispatcher.Event
		covered int
		reason  string
	}{
		{"whole reply", func(s dispatcher.Subrequest, _ int) dispatcher.Event { return wholeReply(s, g1) }, 6, ""},
		{"first replica refuses", func(s dispatcher.Subrequest, _ int) dispatcher.Event {
			if s.Server == "b-0" {
				return failedEvent(executor.ErrNotRun, executor.ErrDraining)
			}
			return wholeReply(s, g1)
		}, 6, ""},
		{"all replicas refuse", func(dispatcher.Subrequest, int) dispatcher.Event {
			return failedEvent(executor.ErrNotRun, executor.ErrDraining)
		}, 4, "timeout"},
		{"reply of another generation", func(s dispatcher.Subrequest, _ int) dispatcher.Event {
			e := wholeReply(s, g1)
			e.Reply.Generation = 2
			return e
		}, 4, "corrupt-reply"},
		{"fewer partitions than the table has", func(s dispatcher.Subrequest, _ int) dispatcher.Event {
			e := wholeReply(s, g1)
			e.Reply.Partitions = e.Reply.Partitions[:1]
			return e
		}, 5, "not-in-reply"},
		{"no events", func(dispatcher.Subrequest, int) dispatcher.Event { return dispatcher.Event{} }, 4, "timeout"},
		{"corrupt reply", func(dispatcher.Subrequest, int) dispatcher.Event {
			return failedEvent(executor.ErrUnknownOutcome, executor.ErrCorrupt)
		}, 4, "corrupt-reply"},
		{"only b has a newer generation", func(s dispatcher.Subrequest, _ int) dispatcher.Event { return wholeReply(s, g1, g2) }, 6, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFakeFleet(func(s dispatcher.Subrequest, n int) dispatcher.Event {
					if s.Service == "b" && !s.Describe {
						return tc.b(s, n)
					}
					return wholeReply(s, g1)
				})
				a, err := search(f, Config{ExtraRatio: 0.04, MaxHedges: 2, NoCanary: true})
				is.NoErr(err)
				is.Equal(a.Generation, uint64(1))
				is.Equal(len(a.Covered), tc.covered)
				is.Equal(a.Complete(), tc.reason == "")
				if tc.reason != "" {
					is.Equal(a.Uncovered[len(a.Uncovered)-1].Reason, tc.reason)
				}
			})
		})
	}
}

// TestOldGenerationIsLeft checks that a VM that knows only a generation that no server holds any
// more learns the new one from the refusals of the owners.
func TestOldGenerationIsLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		held := newGeneration(1, "p0")
		f := newFakeFleet(func(s dispatcher.Subrequest, _ int) dispatcher.Event {
			if s.Describe || s.Generation == held.Number {
				return wholeReply(s, held)
			}
			e := failedEvent(executor.ErrNotRun, executor.ErrNoGeneration)
			e.Reply.Held = []executor.Generation{held}
			return e
		})
		s := New(DefaultConfig(), f, &quarantiner.Tracker{})
		for _, n := range []uint64{1, 5} {
			held = newGeneration(n, "p0")
			a, err := s.Search(context.Background(), Query{Search: "s", Body: []byte("{}"), Deadline: time.Now().Add(time.Second)})
			is.NoErr(err)
			is.Equal(a.Generation, n)
			is.True(a.Complete())
		}
	})
}

// TestCanary checks that a query not known to be safe runs at a single server before it is sent
// to others, and that a query that crashes servers is given up after the second one.
func TestCanary(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFakeFleet(func(s dispatcher.Subrequest, _ int) dispatcher.Event {
			if s.Describe {
				return wholeReply(s, newGeneration(1, "p0"))
			}
			return failedEvent(executor.ErrUnknownOutcome, executor.ErrLost)
		})
		a, err := search(f, DefaultConfig())
		is.NoErr(err)
		is.Equal(len(f.requests), 2)
		is.True(f.requests[0].Server != f.requests[1].Server)
		is.Equal(len(a.Covered), 0)
		is.Equal(a.Uncovered[0].Reason, "quarantined")
	})
}

// TestSilentOwnerIsHedged checks that the work of an owner that sends no events is hedged at
// other owners long before the deadline.
func TestSilentOwnerIsHedged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var f *fakeFleet
		f = newFakeFleet(func(s dispatcher.Subrequest, _ int) dispatcher.Event {
			if !s.Describe && f.view.Owners[s.Server] == "vm-2" {
				return dispatcher.Event{}
			}
			return wholeReply(s, newGeneration(1, "p0"))
		})
		start := time.Now()
		a, err := search(f, DefaultConfig())
		is.NoErr(err)
		is.True(a.Complete())
		is.True(time.Since(start) < 300*time.Millisecond)
	})
}

// TestFastSearchReturnsAtMinimum checks that a fast search returns when it reaches its minimum
// coverage and reports the uncovered partitions.
func TestFastSearchReturnsAtMinimum(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFakeFleet(func(s dispatcher.Subrequest, _ int) dispatcher.Event {
			if s.Service == "b" && !s.Describe {
				return dispatcher.Event{}
			}
			return wholeReply(s, newGeneration(1, "p0"))
		})
		s := New(Config{NoCanary: true}, f, &quarantiner.Tracker{})
		start, fast, minimum := time.Now(), true, 0.6
		a, err := s.Search(context.Background(), Query{Search: "s", Body: []byte("{}"), Deadline: time.Now().Add(time.Second), Fast: &fast, MinCoverage: &minimum})
		is.NoErr(err)
		is.Equal(time.Since(start), time.Duration(0))
		is.Equal(len(a.Covered), 2)
		is.Equal(a.Uncovered, []UncoveredPartition{{PartitionRef{"b", "p0"}, "minimum-reached"}})
		is.True(a.MinimumReached)
	})
}

// TestDelayTunerConvergesToQuantile checks that the share of runs above the tuned delay
// approaches the target.
func TestDelayTunerConvergesToQuantile(t *testing.T) {
	is := is.New(t)
	var tuner delayTuner
	times := []time.Duration{}
	for i := range 1000 {
		times = append(times, 5*time.Millisecond+time.Duration(i%100)*100*time.Microsecond)
	}
	for i := range 20_000 {
		took := times[i*7%len(times)]
		tuner.observe("s", took > tuner.delay("s"), 0.05)
	}
	slow := 0
	for _, took := range times {
		if took > tuner.delay("s") {
			slow++
		}
	}
	is.True(slow > 10 && slow < 100) // 1 % to 10 % for a target of 5 %
	is.True(slices.Max(times) > tuner.delay("s"))
}

// TestFullQueueIsNotReportedAsFailure checks that a refusal for overload lowers the preference
// for a server only as long as the load lasts. If it counted as a failure, the server would be
// avoided for longer and the other replicas would be overloaded.
func TestFullQueueIsNotReportedAsFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFakeFleet(func(s dispatcher.Subrequest, _ int) dispatcher.Event {
			if s.Server == "b-0" && !s.Describe {
				e := failedEvent(executor.ErrNotRun, limiter.ErrQueueFull)
				e.Load = 17
				return e
			}
			return wholeReply(s, newGeneration(1, "p0"))
		})
		s := New(Config{NoCanary: true}, f, &quarantiner.Tracker{})
		for range 20 {
			_, err := s.Search(context.Background(), Query{Search: "s", Body: []byte("{}"), Deadline: time.Now().Add(time.Second)})
			is.NoErr(err)
		}
		is.True(s.loads.score("b-0", time.Now()) > 4)
		time.Sleep(200 * time.Millisecond)
		is.True(s.loads.score("b-0", time.Now()) < 0.5)
	})
}

// TestQueryCrashesOneService guards against a query that one service has answered and that crashes the servers of
// another one without limit, and against the other services being left out with it.
func TestQueryCrashesOneService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var q quarantiner.Tracker
		crashes := 0
		f := newFakeFleet(func(s dispatcher.Subrequest, _ int) dispatcher.Event {
			switch now := time.Now(); {
			case s.Describe || s.Service != "b":
				return wholeReply(s, newGeneration(1, "p0"))
			case q.Verdict(s.Fingerprint, s.Software(), now) == quarantiner.Blocked:
				return failedEvent(executor.ErrNotRun, dispatcher.ErrQuarantined)
			default:
				crashes++
				q.Report(quarantiner.Loss{Fingerprint: s.Fingerprint, Software: s.Software(), Server: s.Server, At: now})
				return failedEvent(executor.ErrUnknownOutcome, executor.ErrLost)
			}
		})
		s := New(DefaultConfig(), f, &q)
		// The canary of one of these queries goes to service b, those of others don't.
		for n := range 6 {
			body := []byte{'0' + byte(n)}
			crashes = 0
			for range 5 {
				a, err := s.Search(context.Background(), Query{Search: "s", Body: body, Deadline: time.Now().Add(time.Second)})
				is.NoErr(err)
				is.True(!a.Complete())
				time.Sleep(time.Second)
				if crashes < 2 || len(a.Covered) == 0 {
					continue
				}
				is.Equal(len(a.Covered), 2)
				is.Equal(a.Uncovered, []UncoveredPartition{{PartitionRef{"b", "p0"}, "quarantined"}})
			}
			is.True(crashes <= 2)
		}
	})
}
