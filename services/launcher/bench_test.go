package launcher

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"strings"
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
func (b beliefs) Fresh() time.Time        { return time.Now() }

// BenchmarkGather measures one gathered request over 36 shards, its replicas included.
func BenchmarkGather(b *testing.B) {
	const shards = 36
	view := &registrar.View{Services: make(map[string][]*registrar.Candidate)}
	route := router.Route{Host: "h", Prefix: "/", Idempotent: true, Timeout: time.Second, Target: 80 * time.Millisecond, MaxAttempts: 2, Top: 50, MinShare: 0.95}
	for i := range shards {
		name := fmt.Sprint("shard-", i)
		route.Shards = append(route.Shards, name)
		r, err := site.NewReplica(func(g site.Got) site.Reply {
			return site.Reply{Raw: site.OK(g, strings.Repeat("x", 1000), "Server-Load: 1,0,4")}
		})
		if err != nil {
			b.Fatal(err)
		}
		defer r.Close()
		for j := range 3 {
			addr := r.Addr()
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
	defer func() { _ = backend.Close() }()
	f := forwarder.New(forwarder.Config{DataCentre: "dc-0", Log: log, Routine: log}, beliefs{state}, &backend)
	b.ReportAllocs()
	for b.Loop() {
		a := f.Serve(context.Background(), &forwarder.Request{
			ID: "id", Method: "GET", Target: "/x", Path: "/x", Host: "h", Arrived: time.Now(), Patience: time.Second,
		})
		if a.Status != 200 {
			b.Fatal(a.Status)
		}
		a.Record()
	}
}
