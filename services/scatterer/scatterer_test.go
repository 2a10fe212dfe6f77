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

// owners stands for all owners: answer decides what becomes of each Sub.
type owners struct {
	view   *locator.View
	answer func(s dispatcher.Subrequest, n int) dispatcher.Event

	mu sync.Mutex
	// subs are those that were not questions for generations.
	subs []dispatcher.Subrequest
}

func (o *owners) View() *locator.View { return o.view }
func (o *owners) Owner(string) Owner  { return o }

func (o *owners) Dispatch(_ context.Context, batch []dispatcher.Subrequest, _ <-chan int, emit func(dispatcher.Event)) error {
	for i, s := range batch {
		o.mu.Lock()
		if !s.Describe {
			o.subs = append(o.subs, s)
		}
		n := len(o.subs)
		o.mu.Unlock()
		e := o.answer(s, n)
		if e.Kind == 0 {
			continue // silence
		}
		e.Index = i
		emit(e)
	}
	return nil
}

func generation(n uint64, partitions ...string) executor.Generation {
	return executor.Generation{Number: n, Partitions: partitions}
}

// whole is a whole reply of the generation asked for.
func whole(s dispatcher.Subrequest, held ...executor.Generation) dispatcher.Event {
	r := executor.Reply{Generation: s.Generation, Held: held}
	for _, g := range held {
		if g.Number == s.Generation {
			r.Partitions = g.Partitions
			r.Results = make([][]byte, len(g.Partitions))
		}
	}
	return dispatcher.Event{Kind: dispatcher.Done, Reply: r}
}

func failure(errs ...error) dispatcher.Event {
	return dispatcher.Event{Kind: dispatcher.Failed, Err: errors.Join(errs...)}
}

// newOwners makes a fleet of 2 VMs with the services a, b and c of 3 replicas each.
func newOwners(answer func(s dispatcher.Subrequest, n int) dispatcher.Event) *owners {
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
	return &owners{view: locator.Build(in), answer: answer}
}

func ask(o *owners, cfg Config) (Answer, error) {
	return New(cfg, o, &quarantiner.Tracker{}).Search(context.Background(), Query{Search: "s", Body: []byte("{}"), Deadline: time.Now().Add(time.Second)})
}

// TestPartFaults covers what becomes of an answer when service b fails in some way.
func TestPartFaults(t *testing.T) {
	g1, g2 := generation(1, "p0", "p1"), generation(2, "q0")
	for _, tc := range []struct {
		name string
		// b answers the nth Sub, if it is one of service b.
		b       func(s dispatcher.Subrequest, n int) dispatcher.Event
		covered int
		reason  string
	}{
		{"whole", func(s dispatcher.Subrequest, _ int) dispatcher.Event { return whole(s, g1) }, 6, ""},
		{"first replica refuses", func(s dispatcher.Subrequest, _ int) dispatcher.Event {
			if s.Server == "b-0" {
				return failure(executor.ErrNotRun, executor.ErrDraining)
			}
			return whole(s, g1)
		}, 6, ""},
		{"all refuse", func(dispatcher.Subrequest, int) dispatcher.Event {
			return failure(executor.ErrNotRun, executor.ErrDraining)
		}, 4, "timeout"},
		{"reply of another generation", func(s dispatcher.Subrequest, _ int) dispatcher.Event {
			e := whole(s, g1)
			e.Reply.Generation = 2
			return e
		}, 4, "corrupt-reply"},
		{"fewer partitions than the table has", func(s dispatcher.Subrequest, _ int) dispatcher.Event {
			e := whole(s, g1)
			e.Reply.Partitions = e.Reply.Partitions[:1]
			return e
		}, 5, "not-in-reply"},
		{"silence", func(dispatcher.Subrequest, int) dispatcher.Event { return dispatcher.Event{} }, 4, "timeout"},
		{"corrupt", func(dispatcher.Subrequest, int) dispatcher.Event {
			return failure(executor.ErrUnknownOutcome, executor.ErrCorrupt)
		}, 4, "corrupt-reply"},
		{"only b has a newer generation", func(s dispatcher.Subrequest, _ int) dispatcher.Event { return whole(s, g1, g2) }, 6, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				o := newOwners(func(s dispatcher.Subrequest, n int) dispatcher.Event {
					if s.Service == "b" && !s.Describe {
						return tc.b(s, n)
					}
					return whole(s, g1)
				})
				a, err := ask(o, Config{ExtraRatio: 0.04, MaxHedges: 2, NoCanary: true})
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

// TestOldGenerationIsLeft covers a VM that knows only a generation that no server holds
// any more. The owners' refusals have to teach it the new one.
func TestOldGenerationIsLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		held := generation(1, "p0")
		o := newOwners(func(s dispatcher.Subrequest, _ int) dispatcher.Event {
			if s.Describe || s.Generation == held.Number {
				return whole(s, held)
			}
			e := failure(executor.ErrNotRun, executor.ErrNoGeneration)
			e.Reply.Held = []executor.Generation{held}
			return e
		})
		s := New(DefaultConfig(), o, &quarantiner.Tracker{})
		for _, n := range []uint64{1, 5} {
			held = generation(n, "p0")
			a, err := s.Search(context.Background(), Query{Search: "s", Body: []byte("{}"), Deadline: time.Now().Add(time.Second)})
			is.NoErr(err)
			is.Equal(a.Generation, n)
			is.True(a.Complete())
		}
	})
}

// TestCanary shows that an unknown query runs at one server before it runs at others, and
// that one that crashes servers is given up after the second.
func TestCanary(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o := newOwners(func(s dispatcher.Subrequest, _ int) dispatcher.Event {
			if s.Describe {
				return whole(s, generation(1, "p0"))
			}
			return failure(executor.ErrUnknownOutcome, executor.ErrLost)
		})
		a, err := ask(o, DefaultConfig())
		is.NoErr(err)
		is.Equal(len(o.subs), 2)
		is.True(o.subs[0].Server != o.subs[1].Server)
		is.Equal(len(a.Covered), 0)
		is.Equal(a.Uncovered[0].Reason, "quarantined")
	})
}

// TestSilentOwner shows that work at an owner that is not heard of goes elsewhere long
// before the deadline.
func TestSilentOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var o *owners
		o = newOwners(func(s dispatcher.Subrequest, _ int) dispatcher.Event {
			if !s.Describe && o.view.Owners[s.Server] == "vm-2" {
				return dispatcher.Event{}
			}
			return whole(s, generation(1, "p0"))
		})
		start := time.Now()
		a, err := ask(o, DefaultConfig())
		is.NoErr(err)
		is.True(a.Complete())
		is.True(time.Since(start) < 300*time.Millisecond)
	})
}

// TestFast shows that a fast search returns at its minimum and says what is missing.
func TestFast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o := newOwners(func(s dispatcher.Subrequest, _ int) dispatcher.Event {
			if s.Service == "b" && !s.Describe {
				return dispatcher.Event{}
			}
			return whole(s, generation(1, "p0"))
		})
		s := New(Config{NoCanary: true}, o, &quarantiner.Tracker{})
		start, fast, minimum := time.Now(), true, 0.6
		a, err := s.Search(context.Background(), Query{Search: "s", Body: []byte("{}"), Deadline: time.Now().Add(time.Second), Fast: &fast, MinCoverage: &minimum})
		is.NoErr(err)
		is.Equal(time.Since(start), time.Duration(0))
		is.Equal(len(a.Covered), 2)
		is.Equal(a.Uncovered, []UncoveredPartition{{PartitionRef{"b", "p0"}, "minimum-reached"}})
		is.True(a.MinimumReached)
	})
}

func TestPacerFindsTheQuantile(t *testing.T) {
	is := is.New(t)
	var p pacer
	times := []time.Duration{}
	for i := range 1000 {
		times = append(times, 5*time.Millisecond+time.Duration(i%100)*100*time.Microsecond)
	}
	for i := range 20_000 {
		took := times[i*7%len(times)]
		p.observe("s", took > p.delay("s"), 0.05)
	}
	slow := 0
	for _, took := range times {
		if took > p.delay("s") {
			slow++
		}
	}
	is.True(slow > 10 && slow < 100) // 1 % to 10 % for an aim of 5 %
	is.True(slices.Max(times) > p.delay("s"))
}

// TestFullQueueIsNotAFailure shows that a refusal for load keeps work away for as long as
// the load lasts and not for as long as a failure, which would make the others overflow.
func TestFullQueueIsNotAFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o := newOwners(func(s dispatcher.Subrequest, _ int) dispatcher.Event {
			if s.Server == "b-0" && !s.Describe {
				e := failure(executor.ErrNotRun, limiter.ErrQueueFull)
				e.Load = 17
				return e
			}
			return whole(s, generation(1, "p0"))
		})
		s := New(Config{NoCanary: true}, o, &quarantiner.Tracker{})
		for range 20 {
			_, err := s.Search(context.Background(), Query{Search: "s", Body: []byte("{}"), Deadline: time.Now().Add(time.Second)})
			is.NoErr(err)
		}
		is.True(s.choose.score("b-0", time.Now()) > 4)
		time.Sleep(200 * time.Millisecond)
		is.True(s.choose.score("b-0", time.Now()) < 0.5)
	})
}
