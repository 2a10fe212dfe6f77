package gossiper

import "github.com/prometheus/client_golang/prometheus"

type metrics struct {
	bytes   *prometheus.CounterVec
	packets *prometheus.CounterVec
	refused prometheus.Counter
}

func newMetrics() *metrics {
	return &metrics{
		bytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "ebonylock_membership_bytes_total",
			Help: "Bytes of membership datagrams, without IP and UDP headers.",
		}, []string{"direction"}),
		packets: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "ebonylock_membership_packets_total",
			Help: "Membership datagrams.",
		}, []string{"direction"}),
		refused: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "ebonylock_membership_refused_total",
			Help: "Membership datagrams that were malformed or not authentic.",
		}),
	}
}
