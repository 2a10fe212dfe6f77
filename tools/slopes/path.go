package main

import (
	"context"
	"fmt"
	"time"

	"github.com/ebonylock/ebonylock/modules/executor"
	"github.com/ebonylock/ebonylock/modules/lister"
	"github.com/ebonylock/ebonylock/modules/locator"
	"github.com/ebonylock/ebonylock/modules/planner"
	"github.com/ebonylock/ebonylock/modules/quarantiner"
	"github.com/ebonylock/ebonylock/modules/recorder"
	"github.com/ebonylock/ebonylock/services/dispatcher"
	"github.com/ebonylock/ebonylock/services/linker"
	"github.com/ebonylock/ebonylock/services/scatterer"
	"github.com/ebonylock/ebonylock/tests/standin"
)

// fanOuts are the numbers of sub-queries of a query.
var fanOuts = []int{1, 10, 30, 130}

// ownersPerQuery is the number of VMs that the sub-queries of a query go to at most.
const ownersPerQuery = 40

var held = []executor.Generation{{Number: 1, Partitions: []string{"p0", "p1"}}}

func wholeReply() executor.Reply {
	return executor.Reply{BootID: "boot", Generation: 1, Partitions: held[0].Partitions, Results: [][]byte{make([]byte, 256), make([]byte, 256)}, Held: held}
}

// instant answers every Sub at once.
type instant struct{}

func (instant) Dispatch(_ context.Context, batch []dispatcher.Subrequest, _ <-chan int, emit func(dispatcher.Event)) error {
	for i := range batch {
		emit(dispatcher.Event{Index: i, Kind: dispatcher.Done, Reply: wholeReply()})
	}
	return nil
}

func (instant) Execute(context.Context, linker.Execute) linker.Executed { return linker.Executed{} }
func (instant) Held([]string) ([]string, uint64)                        { return nil, 0 }
func (instant) Config() []byte                                          { return nil }
func (instant) Lost(quarantiner.Loss)                                   {}

type fixedFleet struct {
	v *locator.View
	o scatterer.Owner
}

func (f fixedFleet) View() *locator.View          { return f.v }
func (f fixedFleet) Owner(string) scatterer.Owner { return f.o }

func searchFleet(n int, o scatterer.Owner) fixedFleet {
	in := input(min(n, ownersPerQuery), 3*n, 1)
	search := planner.Search{MinCoverage: 1}
	for i := range n {
		search.Services = append(search.Services, fmt.Sprintf("service-%03d", i))
	}
	in.Config.Searches = map[string]planner.Search{"s": search}
	return fixedFleet{locator.Build(in), o}
}

// entry measures the VM that takes the query: plan, choice of replicas, merge.
func entry() error {
	for _, n := range fanOuts {
		s := scatterer.New(scatterer.DefaultConfig(), searchFleet(n, instant{}), &quarantiner.Tracker{})
		var missed int
		perUnit(fmt.Sprintf("entry, fan-out %d, for each sub-query", n), n, func() {
			a, err := s.Search(context.Background(), scatterer.Query{Search: "s", Body: []byte(`{"q":"x"}`), Deadline: time.Now().Add(time.Minute)})
			if err != nil || !a.Complete() {
				missed++
			}
		})
		if missed > 0 {
			return fmt.Errorf("%d answers not complete", missed)
		}
	}
	return nil
}

// instantRunner is a server that replies at once.
type instantRunner struct{}

func (instantRunner) Run(executor.Request) (executor.Reply, error) { return wholeReply(), nil }
func (instantRunner) Cancel(string, time.Time) error               { return nil }
func (instantRunner) State(time.Time) (executor.State, error) {
	return executor.State{Held: held}, nil
}
func (instantRunner) Close() {}

func subs(n int) []dispatcher.Subrequest {
	out := make([]dispatcher.Subrequest, n)
	for i := range out {
		out[i] = dispatcher.Subrequest{
			Server:     fmt.Sprintf("service-%03d-r0", i),
			ID:         fmt.Sprintf("0123456789abcdef0123456789abcdef-%d", i),
			Service:    fmt.Sprintf("service-%03d", i),
			Generation: 1,
			Body:       []byte(`{"q":"x"}`),
			Deadline:   time.Now().Add(time.Hour),
			Idempotent: true,
			SlowAfter:  time.Second,
		}
	}
	return out
}

// owner measures queue, limit and hand-over of a run, without the run itself.
func owner() error {
	for _, n := range fanOuts {
		d := dispatcher.New(dispatcher.Config{}, func(lister.BackendServer) dispatcher.Runner { return instantRunner{} },
			func(now time.Time) time.Time { return now }, &quarantiner.Tracker{}, &recorder.Ring{})
		servers := input(1, 3*n, 1).List.BackendServers
		now := time.Now()
		d.Open(now, d.SetOwned(now, servers, map[string]int{"dc-0": 1}))
		batch := subs(n)
		perUnit(fmt.Sprintf("owner, batch of %d, for each sub-query", n), n, func() {
			_ = d.Dispatch(context.Background(), batch, nil, func(dispatcher.Event) {})
		})
	}
	return nil
}

// link measures both ends of the link between two VMs.
func link() error {
	keys := linker.Keys{make([]byte, linker.KeySize)}
	a, err := linker.Listen(loopback, keys, instant{})
	if err != nil {
		return err
	}
	b, err := linker.Listen(loopback, keys, instant{})
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go func() { _ = b.Serve(ctx) }()
	remote := a.Remote(b.Addr())
	for _, n := range []int{1, 3, 10, 30} {
		batch := subs(n)
		failed := 0
		perUnit(fmt.Sprintf("QUIC link, batch of %d, both ends, each", n), n, func() {
			_ = remote.Dispatch(ctx, batch, nil, func(e dispatcher.Event) {
				if e.Err != nil {
					failed++
				}
			})
		})
		if failed > 0 {
			return fmt.Errorf("%d sub-queries failed", failed)
		}
	}
	return nil
}

// backend measures one run over HTTP, both ends.
func backend() error {
	b, err := standin.NewBackend(standin.BackendConfig{ID: "a", Service: "a", Slots: 4, MaxConns: 10, Generations: standin.FirstGenerations()})
	if err != nil {
		return err
	}
	defer b.Close()
	c := executor.New(standin.MustAddr(b.ListEntry().Addr), 10)
	n := 0
	perUnit("HTTP run at a backend server, both ends", 1, func() {
		n++
		_, err = c.Run(executor.Request{ID: fmt.Sprint(n), Service: "a", Generation: 1, Body: []byte(`{"q":"x"}`), Deadline: time.Now().Add(time.Minute), Idempotent: true})
	})
	return err
}
