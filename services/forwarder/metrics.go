package forwarder

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/ebonylock/ebonylock/modules/gatekeeper"
)

// metrics holds the Prometheus metrics of a Forwarder.
type metrics struct {
	requests *prometheus.CounterVec
	latency  *prometheus.HistogramVec
	missing  *prometheus.CounterVec
	// sends holds the counter of each kind, by index of sendKinds.
	sends    [len(sendKinds)]prometheus.Counter
	sendsVec *prometheus.CounterVec
	declined *prometheus.CounterVec
	changes  *prometheus.CounterVec
	// notices counts the replicas that have said that they leave or want a pause.
	notices *prometheus.CounterVec
	// calls counts the calls received from other VMs, hops the calls to other VMs.
	calls, hops *prometheus.CounterVec
	hopTime     prometheus.Histogram
}

// Kinds of sends, as indexes of sendKinds.
const (
	sendFirst = iota
	sendRetry
	sendHedge
)

var sendKinds = [...]string{"first", "retry", "hedge"}

// latencyBuckets are in seconds, with more buckets around the target latencies of users.
var latencyBuckets = []float64{.005, .01, .02, .03, .04, .06, .08, .1, .15, .2, .25, .4, .8, 1.6, 5, 15}

func newMetrics() *metrics {
	counter := func(name, help string, labels ...string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "ebonylock", Subsystem: "forward", Name: name, Help: help}, labels)
	}
	m := &metrics{
		requests: counter("requests_total", "Requests of callers by outcome and status.", "outcome", "status"),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: "ebonylock", Subsystem: "forward", Name: "request_seconds",
			Help: "Time from a request's arrival to its answer, by kind.", Buckets: latencyBuckets,
		}, []string{"kind"}),
		missing:  counter("parts_missing_total", "Shards left out of answers by reason.", "reason"),
		sendsVec: counter("sends_total", "Sends to replicas: first, retry or hedge.", "kind"),
		declined: counter("declined_total", "Further sends that were decided against, by reason.", "reason"),
		calls:    counter("calls_total", "Calls of other VMs to gather parts, by outcome.", "outcome"),
		hops:     counter("hops_total", "Calls to other VMs to gather parts, by their end.", "end"),
		hopTime: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: "ebonylock", Subsystem: "forward", Name: "hop_accepted_seconds",
			Help: "Time until another VM has taken a call.", Buckets: latencyBuckets,
		}),
		notices: counter("replica_notices_total", "Replicas that said that they leave, or want a pause, by kind.", "kind"),
		changes: counter("replica_changes_total", "Replicas left for signs of death, and taken back.", "change"),
	}
	for i, kind := range sendKinds {
		m.sends[i] = m.sendsVec.WithLabelValues(kind)
	}
	return m
}

// Register registers the forwarder's metrics with r.
func (f *Forwarder) Register(r prometheus.Registerer) {
	m := f.metrics
	r.MustRegister(m.requests, m.latency, m.missing, m.sendsVec, m.declined, m.changes, m.calls, m.hops, m.hopTime, m.notices)
	for i, state := range []gatekeeper.State{gatekeeper.Leaving, gatekeeper.Paused} {
		r.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: "ebonylock", Subsystem: "forward", Name: "replicas_closed",
			Help: "Replicas that want no requests now, by state.", ConstLabels: prometheus.Labels{"state": state.String()},
		}, func() float64 {
			leaving, paused := f.gate.Count(time.Now())
			return float64([]int{leaving, paused}[i])
		}))
	}
}
