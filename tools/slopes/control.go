package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/ebonylock/ebonylock/modules/lister"
	"github.com/ebonylock/ebonylock/modules/locator"
	"github.com/ebonylock/ebonylock/modules/planner"
	"github.com/ebonylock/ebonylock/modules/prober"
	"github.com/ebonylock/ebonylock/modules/recorder"
	"github.com/ebonylock/ebonylock/modules/ticketer"
	"github.com/ebonylock/ebonylock/services/gossiper"
)

// noopObserver ignores all membership events.
type noopObserver struct{}

func (noopObserver) MembersChanged(time.Time, []prober.Change) {}
func (noopObserver) RevisionSeen(string, uint64)               {}
func (noopObserver) Paused(time.Time, time.Duration)           {}

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// membershipDuration is the time for which each fleet is measured.
const membershipDuration = 8 * time.Second

// settleDuration is the time to wait before the measurement, as members gossip about the start
// of the fleet until then.
const settleDuration = 40 * time.Second

// measureMembership measures fleets of members that gossip over UDP in one process.
func measureMembership() error {
	for _, n := range []int{7, 50, 150} {
		if err := measureFleet(n); err != nil {
			return err
		}
	}
	return nil
}

// measureFleet starts n members, and prints the traffic of one of them and the mean processor time
// and memory of all.
func measureFleet(n int) error {
	before := heap()
	var members []*gossiper.Gossiper
	reg := prometheus.NewRegistry()
	for i := range n {
		cfg := gossiper.Config{
			Bind:       loopback,
			Self:       prober.Member{ID: fmt.Sprintf("vm-%d", i), DataCentre: "dc", Link: loopback, Operators: loopback},
			Keys:       [][]byte{make([]byte, 32)},
			PauseAfter: time.Minute,
		}
		g, err := gossiper.Start(cfg, func(self prober.Member) *prober.Prober {
			return prober.New(self, prober.Config{}, rand.New(rand.NewPCG(uint64(i), 1)), time.Now())
		}, noopObserver{})
		if err != nil {
			return err
		}
		if i > 0 {
			g.SetSeeds([]netip.AddrPort{members[0].Members()[0].Gossip})
		}
		members = append(members, g)
	}
	members[0].Register(reg)
	waitForMembers(members, n)
	time.Sleep(settleDuration)
	used, at := cpu(), time.Now()
	sent := totalTraffic(reg)
	time.Sleep(membershipDuration)
	span := time.Since(at).Seconds()
	now := totalTraffic(reg)
	share := (cpu() - used).Seconds() / span / float64(n)
	fmt.Printf("%4d members: %7.0f bytes/s, %6.1f packets/s, %.3f %% of a core, %6.0f KB each\n", n,
		(now.bytes-sent.bytes)/span, (now.packets-sent.packets)/span, 100*share, (heap()-before)/float64(n)/1024)
	stopAll(members)
	return nil
}

func stopAll(members []*gossiper.Gossiper) {
	ctx, stop := context.WithTimeout(context.Background(), 2*time.Second)
	defer stop()
	var wg sync.WaitGroup
	for _, g := range members {
		wg.Go(func() { _ = g.Stop(ctx) })
	}
	wg.Wait()
}

// waitForMembers waits until all members know each other. After 30 s it prints a warning and
// returns.
func waitForMembers(members []*gossiper.Gossiper, n int) {
	for range 300 {
		known := 0
		for _, g := range members {
			known += len(g.Members())
		}
		if known == n*n {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	fmt.Println("not all members know each other after 30 s")
}

// trafficTotals counts what a member sent and received.
type trafficTotals struct {
	bytes, packets float64
}

// totalTraffic adds up both directions of the traffic of one member.
func totalTraffic(reg *prometheus.Registry) trafficTotals {
	var s trafficTotals
	families, _ := reg.Gather()
	for _, f := range families {
		for _, m := range f.GetMetric() {
			switch f.GetName() {
			case "ebonylock_membership_bytes_total":
				s.bytes += m.GetCounter().GetValue()
			case "ebonylock_membership_packets_total":
				s.packets += m.GetCounter().GetValue()
			}
		}
	}
	return s
}

// fleetInput returns a fleet of the given numbers of VMs, servers and data centres.
func fleetInput(vms, servers, centres int) locator.Input {
	in := locator.Input{Self: "vm-0", Config: planner.Config{Revision: 1}}
	for i := range vms {
		id, dc := fmt.Sprintf("vm-%d", i), fmt.Sprintf("dc-%d", i%centres)
		in.Members = append(in.Members, prober.Member{ID: id, DataCentre: dc, Gossip: loopback, Link: loopback})
		in.List.VMs = append(in.List.VMs, lister.VM{ID: id, DataCentre: dc, Gossip: loopback})
	}
	for i := range servers {
		in.List.BackendServers = append(in.List.BackendServers, lister.BackendServer{
			ID:         fmt.Sprintf("service-%03d-r%d", i/3, i%3),
			Service:    fmt.Sprintf("service-%03d", i/3),
			DataCentre: fmt.Sprintf("dc-%d", i%centres),
			Addr:       loopback,
			Slots:      4,
			MaxConns:   45,
		})
	}
	return in
}

// measureView measures the time of a view's rebuild after a change, and the memory of a view.
func measureView() error {
	for _, size := range []struct{ vms, servers int }{{7, 85}, {50, 300}, {150, 900}, {450, 2700}} {
		in := fleetInput(size.vms, size.servers, 4)
		before := heap()
		v := locator.Build(in)
		memory := heap() - before
		perUnit(fmt.Sprintf("view of %d VMs, %d servers", size.vms, size.servers), 1, func() { v = locator.Build(in) })
		fmt.Printf("%-40s %10.0f KB\n", "", memory/1024)
		runtime.KeepAlive(v)
	}
	return nil
}

// measureState measures the memory of a stored ticket outcome and of a full timeline, and the size
// of an encoded configuration.
func measureState() error {
	const n = 100_000
	before := heap()
	table := &ticketer.Table{VM: "vm-1"}
	now := time.Now()
	for range n {
		k := table.Mint(now, time.Minute)
		_, _, _ = table.Do(k, nil, now, nil, func() ticketer.Outcome {
			return ticketer.Outcome{Status: 200, Body: make([]byte, 256)}
		})
	}
	fmt.Printf("outcome of a ticket with 256 bytes       %10.0f bytes\n", (heap()-before)/n)
	runtime.KeepAlive(table)
	before = heap()
	ring := &recorder.Ring{}
	for i := range 2048 {
		ring.Record(now, recorder.VMAlive, fmt.Sprint("vm-", i), "data centre")
	}
	fmt.Printf("time line, full                          %10.0f KB\n", (heap()-before)/1024)
	runtime.KeepAlive(ring)
	cfg := planner.Config{Searches: make(map[string]planner.Search)}
	for i := range 60 {
		s := planner.Search{}
		for j := range 130 {
			s.Services = append(s.Services, fmt.Sprintf("service-%03d-%03d", i, j))
		}
		cfg.Searches[fmt.Sprint("search-", i)] = s
	}
	raw, err := planner.EncodeConfig(cfg)
	fmt.Printf("configuration, 60 searches x 130 services%10.0f KB\n", float64(len(raw))/1024)
	return err
}
