package launcher

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/netip"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/ebonylock/ebonylock/modules/registrar"
	"github.com/ebonylock/ebonylock/modules/router"
	"github.com/ebonylock/ebonylock/platform/replica"
	"github.com/ebonylock/ebonylock/services/forwarder"
	"github.com/ebonylock/ebonylock/tests/site"
)

// beliefs is a fixed state.
type beliefs struct {
	state *forwarder.State
}

func (b beliefs) State() *forwarder.State { return b.state }
func (b beliefs) SyncedAt() time.Time     { return time.Now() }

const (
	benchShards = 36
	// asReplicas is set in the process that stands for the replicas of a benchmark.
	asReplicas = "EBONYLOCK_BENCH_REPLICAS"
)

// TestMain serves as the replicas of a benchmark when it is told to.
func TestMain(m *testing.M) {
	if os.Getenv(asReplicas) == "" {
		os.Exit(m.Run())
	}
	for range benchShards {
		r, err := site.NewReplica(func(g site.Request) site.Reply {
			return site.Reply{Raw: site.OK(g, strings.Repeat("x", 1000), "Server-Load: 1,0,4")}
		})
		if err != nil {
			panic(err)
		}
		fmt.Println(r.Addr())
	}
	_, _ = io.Copy(io.Discard, os.Stdin)
}

// startReplicas starts replicas in a process of their own and returns their addresses.
func startReplicas(b *testing.B) []netip.AddrPort {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), asReplicas+"=1")
	in, err := cmd.StdinPipe()
	if err != nil {
		b.Fatal(err)
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		b.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() {
		_ = in.Close()
		_ = cmd.Wait()
	})
	lines := bufio.NewScanner(out)
	var addrs []netip.AddrPort
	for len(addrs) < benchShards && lines.Scan() {
		addrs = append(addrs, netip.MustParseAddrPort(lines.Text()))
	}
	return addrs
}

// processorTime is that of this process.
func processorTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkGather measures one gathered request over 36 shards. Its replicas are another process.
func BenchmarkGather(b *testing.B) {
	view := &registrar.View{Services: make(map[string][]*registrar.Candidate)}
	route := router.Route{Host: "h", Prefix: "/", Idempotent: true, Timeout: time.Second, TargetLatency: 80 * time.Millisecond, MaxAttempts: 2, TopK: 50, MinShardShare: 0.95}
	for i, addr := range startReplicas(b) {
		name := fmt.Sprint("shard-", i)
		route.Shards = append(route.Shards, name)
		for j := range 3 {
			addr := addr
			if j > 0 {
				addr = netip.MustParseAddrPort("127.0.0.1:1")
			}
			rep := registrar.Replica{ID: fmt.Sprint(name, "/", j), Service: name, DataCentre: fmt.Sprint("dc-", j), Addr: addr, Slots: 4}
			view.Services[name] = append(view.Services[name], &registrar.Candidate{Replica: rep, Key: rep.ID})
		}
	}
	state := &forwarder.State{Table: router.New(router.Config{Version: 1, Routes: []router.Route{route}}), View: view, VMs: 7}
	log := logrus.New()
	log.SetOutput(io.Discard)
	var backend replica.Client
	f := forwarder.New(forwarder.Config{DataCentre: "dc-0", Log: log, RoutineLog: log}, beliefs{state}, &backend)
	b.ReportAllocs()
	before, n := processorTime(), 0
	for b.Loop() {
		n++
		a := f.Serve(context.Background(), &forwarder.Request{
			ID: "id", Method: "GET", Target: "/x", Path: "/x", Host: "h", Arrived: time.Now(), CallerTimeout: time.Second,
		})
		if a.Status != 200 {
			b.Fatal(a.Status)
		}
		a.Record()
	}
	b.ReportMetric(float64((processorTime()-before).Microseconds())/float64(n), "cpu-us/op")
}
