package dispatcher

import "github.com/prometheus/client_golang/prometheus"

type metrics struct {
	starts   prometheus.Counter
	cancels  prometheus.Counter
	failures *prometheus.CounterVec
	owned    prometheus.Gauge
}

func newMetrics() *metrics {
	return &metrics{
		starts: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "ebonylock_backend_runs_started_total",
			Help: "Runs started at backend servers.",
		}),
		cancels: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "ebonylock_backend_runs_cancelled_total",
			Help: "Runs that a cancellation was sent for.",
		}),
		failures: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "ebonylock_backend_run_failures_total",
			Help: "Runs without a whole reply, by code.",
		}, []string{"code"}),
		owned: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "ebonylock_backend_servers_owned",
			Help: "Backend servers owned by this VM.",
		}),
	}
}

// Register adds the dispatcher's metrics to r.
func (d *Dispatcher) Register(r prometheus.Registerer) {
	r.MustRegister(d.metrics.starts, d.metrics.cancels, d.metrics.failures, d.metrics.owned)
}
