//go:build review

package main

import (
	"context"
	"fmt"
	"time"

	"github.com/ebonylock/ebonylock/tests/site"
)

const (
	host     = "leno12.example"
	pathRead = "/rany330/2f"
	// firstService serves the route in the first configuration.
	firstService, otherService = "huvo11a", "kafi81c"
	// warmupTime is warmup_s of the service.
	warmupTime = 3 * time.Second
)

// config returns a configuration with a route to one of two services whose cold replicas bear warmupPerS requests a
// second.
func config(version int, service string, warmupPerS float64) []byte {
	return fmt.Appendf(nil, `{"version":%d,"routes":[{"name":"r-one","hostname":%q,"path_prefix":"/rany330/","type":"idempotent","timeout_ms":1500,
		"target_latency_ms":250,"priority":2,"service":%q,"max_attempts":2}],
		"services":[{"name":%q,"health_path":"/health","max_connections":100,"protocol":"h1","tls":false,"warmup_s":3.0,"warmup_per_s":%[5]g},
		{"name":%[6]q,"health_path":"/health","max_connections":100,"protocol":"h1","tls":false,"warmup_s":3.0,"warmup_per_s":%[5]g}],
		"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`,
		version, host, service, firstService, warmupPerS, otherService)
}

// stage is a running small deployment with one service.
type stage struct {
	store    *site.Store
	replicas []*replica
	fleet    *fleet
	caller   *caller
}

// startStage starts the store, perZone replicas and vmsPerZone VMs in each of three zones.
func startStage(perZone, vmsPerZone int, work time.Duration, warmupPerS float64) (*stage, error) {
	store, err := site.NewStore(500)
	if err != nil {
		return nil, err
	}
	s := &stage{store: store}
	store.Put("op/config", config(7, firstService, warmupPerS))
	if s.replicas, err = startReplicas(store, firstService, perZone, work, warmupTime); err != nil {
		s.stop()
		return nil, err
	}
	if s.fleet, err = startFleet(zonesOf(vmsPerZone), store.Addr()); err != nil {
		s.stop()
		return nil, err
	}
	s.caller = newCaller(s.fleet)
	time.Sleep(settleTime)
	return s, nil
}

func (s *stage) stop() {
	if s.fleet != nil {
		s.fleet.stop()
	}
	for _, r := range s.replicas {
		r.crash()
	}
	s.store.Close()
}

// play sends load for the given time while events run in turn, each at its time after the start.
func (s *stage) play(length time.Duration, perSecond float64, events func(at func(time.Duration))) {
	ctx, cancel := context.WithTimeout(context.Background(), length)
	defer cancel()
	began := time.Now()
	done := make(chan struct{})
	go func() {
		defer close(done)
		events(func(d time.Duration) { time.Sleep(time.Until(began.Add(d))) })
	}()
	s.caller.load(ctx, perSecond, host, pathRead, 1500*time.Millisecond)
	<-done
}

// writeRuns adds what the replicas have run to the record.
func (s *stage) writeRuns(r *record) {
	for _, p := range s.replicas {
		for _, a := range p.taken() {
			state := ""
			if a.cold {
				state = " while cold"
			}
			r.addAt(a.at, "replica: %s (%s) runs %s%s, sent at %.3f", p.id, p.zone, a.id, state, s.caller.sent(a.id).Sub(r.began).Seconds())
		}
	}
}
