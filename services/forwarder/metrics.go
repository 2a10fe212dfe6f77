package forwarder

import (
	"github.com/prometheus/client_golang/prometheus"
)

// metrics are those of a Forwarder.
type metrics struct {
	requests *prometheus.CounterVec
	latency  *prometheus.HistogramVec
	missing  *prometheus.CounterVec
	sends    *prometheus.CounterVec
	declined *prometheus.CounterVec
	changes  *prometheus.CounterVec
}

// latencyBuckets are in seconds, dense around the target latencies of the users.
var latencyBuckets = []float64{.005, .01, .02, .03, .04, .06, .08, .1, .15, .2, .25, .4, .8, 1.6, 5, 15}

func newMetrics() *metrics {
	counter := func(name, help string, labels ...string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "ebonylock", Subsystem: "forward", Name: name, Help: help}, labels)
	}
	return &metrics{
		requests: counter("requests_total", "Requests of callers by outcome and status.", "outcome", "status"),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: "ebonylock", Subsystem: "forward", Name: "request_seconds",
			Help: "Time from a request's arrival to its answer, by kind.", Buckets: latencyBuckets,
		}, []string{"kind"}),
		missing:  counter("parts_missing_total", "Shards left out of answers by reason.", "reason"),
		sends:    counter("sends_total", "Sends to replicas: first, retry or hedge.", "kind"),
		declined: counter("declined_total", "Further sends that were decided against, by reason.", "reason"),
		changes:  counter("replica_changes_total", "Replicas left for signs of death, and taken back.", "change"),
	}
}

// Register adds the forwarder's metrics to r.
func (f *Forwarder) Register(r prometheus.Registerer) {
	m := f.metrics
	r.MustRegister(m.requests, m.latency, m.missing, m.sends, m.declined, m.changes)
}
