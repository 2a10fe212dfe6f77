package main

import (
	"context"
	"fmt"
	"time"

	"github.com/ebonylock/ebonylock/modules/executor"
	"github.com/ebonylock/ebonylock/modules/fetcher"
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

// fanOuts are the measured numbers of sub-queries per query.
var fanOuts = []int{1, 10, 30, 130}

// ownersPerQuery is the maximum number of VMs that receive sub-queries of one query.
const ownersPerQuery = 40

var heldGenerations = []executor.Generation{{Number: 1, Partitions: []string{"p0", "p1"}}}

func completeReply() executor.Reply {
	return executor.Reply{BootID: "boot", Generation: 1, Partitions: heldGenerations[0].Partitions, Results: [][]byte{make([]byte, 256), make([]byte, 256)}, Held: heldGenerations}
}

// instantOwner answers every sub-query at once, and ignores all other calls.
type instantOwner struct{}

func (instantOwner) Dispatch(_ context.Context, batch []dispatcher.Subrequest, _ <-chan int, emit func(dispatcher.Event)) error {
	for i := range batch {
		emit(dispatcher.Event{Index: i, Kind: dispatcher.Done, Reply: completeReply()})
	}
	return nil
}

func (instantOwner) Execute(context.Context, linker.Execute) linker.Executed {
	return linker.Executed{}
}
func (instantOwner) Held([]string) ([]string, uint64) { return nil, 0 }
func (instantOwner) Config() []byte                   { return nil }
func (instantOwner) HandleLoss(quarantiner.Loss)      {}

// fixedFleet has a view that never changes and one owner for all servers.
type fixedFleet struct {
	view  *locator.View
	owner scatterer.Owner
}

func (f fixedFleet) View() *locator.View          { return f.view }
func (f fixedFleet) Owner(string) scatterer.Owner { return f.owner }

// searchFleet returns a fleet with a search over n services of three replicas each.
func searchFleet(n int, o scatterer.Owner) fixedFleet {
	in := fleetInput(min(n, ownersPerQuery), 3*n, 1)
	search := planner.Search{MinCoverage: 1}
	for i := range n {
		search.Services = append(search.Services, fmt.Sprintf("service-%03d", i))
	}
	in.Config.Searches = map[string]planner.Search{"s": search}
	return fixedFleet{locator.Build(in), o}
}

// measureEntry measures the VM that receives the query: planning, choice of replicas and merge.
func measureEntry() error {
	for _, n := range fanOuts {
		s := scatterer.New(scatterer.DefaultConfig(), searchFleet(n, instantOwner{}), &quarantiner.Tracker{})
		var incomplete int
		perUnit(fmt.Sprintf("entry, fan-out %d, for each sub-query", n), n, func() {
			a, err := s.Search(context.Background(), scatterer.Query{Search: "s", Body: []byte(`{"q":"x"}`), Deadline: time.Now().Add(time.Minute)})
			if err != nil || !a.Complete() {
				incomplete++
			}
		})
		if incomplete > 0 {
			return fmt.Errorf("%d answers not complete", incomplete)
		}
	}
	return nil
}

// instantRunner is a backend server that replies at once.
type instantRunner struct{}

func (instantRunner) Run(executor.Request) (executor.Reply, error) { return completeReply(), nil }
func (instantRunner) Cancel(string, time.Time) error               { return nil }
func (instantRunner) State(time.Time) (executor.State, error) {
	return executor.State{Held: heldGenerations}, nil
}
func (instantRunner) Close() {}

func subrequests(n int) []dispatcher.Subrequest {
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

// measureOwner measures the queueing, limiting and hand-over of a run, without the run itself.
func measureOwner() error {
	for _, n := range fanOuts {
		d := dispatcher.New(dispatcher.Config{}, func(lister.BackendServer) dispatcher.Runner { return instantRunner{} },
			func(now time.Time) time.Time { return now }, &quarantiner.Tracker{}, &recorder.Ring{})
		servers := fleetInput(1, 3*n, 1).List.BackendServers
		now := time.Now()
		d.Open(now, d.SetOwned(now, servers, map[string]int{"dc-0": 1}))
		batch := subrequests(n)
		perUnit(fmt.Sprintf("owner, batch of %d, for each sub-query", n), n, func() {
			_ = d.Dispatch(context.Background(), batch, nil, func(dispatcher.Event) {})
		})
	}
	return nil
}

// measureLink measures both ends of the link between two VMs.
func measureLink() error {
	keys := linker.Keys{make([]byte, linker.KeySize)}
	a, err := linker.Listen(loopback, keys, instantOwner{})
	if err != nil {
		return err
	}
	b, err := linker.Listen(loopback, keys, instantOwner{})
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go func() { _ = b.Serve(ctx) }()
	remote := a.Remote(b.Addr())
	for _, n := range []int{1, 3, 10, 30} {
		batch := subrequests(n)
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

// measureBackend measures both ends of a run over HTTP.
func measureBackend() error {
	b, err := standin.NewBackend(standin.BackendConfig{ID: "a", Service: "a", Slots: 4, MaxConns: 10, Generations: standin.FirstGenerations()})
	if err != nil {
		return err
	}
	defer b.Close()
	c := executor.New(standin.MustAddr(b.ListEntry().Addr), 10, fetcher.Limits{})
	n := 0
	perUnit("HTTP run at a backend server, both ends", 1, func() {
		n++
		_, err = c.Run(executor.Request{ID: fmt.Sprint(n), Service: "a", Generation: 1, Body: []byte(`{"q":"x"}`), Deadline: time.Now().Add(time.Minute), Idempotent: true})
	})
	return err
}
