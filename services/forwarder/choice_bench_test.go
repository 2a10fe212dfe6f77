package forwarder

import (
	"fmt"
	"testing"
	"time"

	"github.com/ebonylock/ebonylock/modules/ranker"
	"github.com/ebonylock/ebonylock/modules/registrar"
)

// BenchmarkBestReplica measures the choice among the replicas of a service that have said nothing.
func BenchmarkBestReplica(b *testing.B) {
	for _, n := range []int{8, 2700} {
		b.Run(fmt.Sprintf("%d replicas", n), func(b *testing.B) {
			f := newForwarder(&fakeBackend{}, true)
			p := &part{service: "s", work: ranker.Workload{Service: "s", TargetLatency: target}, conns: 2}
			for i := range n {
				id := fmt.Sprintf("s/%d", i)
				p.list = append(p.list, &registrar.Candidate{Key: id, Replica: registrar.Replica{ID: id, Service: "s", DataCentre: "dc-0", Slots: 2}})
			}
			now := time.Now()
			b.ReportAllocs()
			for b.Loop() {
				(&flight{f: f}).bestReplica(p, nil, now)
			}
		})
	}
}
