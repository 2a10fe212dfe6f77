package rationer

import "github.com/prometheus/client_golang/prometheus"

// Register registers the metrics of the budget, which is for the replies of backend servers, with r.
func (b *Budget) Register(r prometheus.Registerer) {
	r.MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: "ebonylock", Name: "reply_memory_bytes", Help: "Memory held for replies of backend servers beyond what each connection has for itself.",
		}, func() float64 { return float64(b.Used()) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: "ebonylock", Name: "reply_memory_limit_bytes", Help: "Limit on the memory held for replies of backend servers.",
		}, func() float64 { return float64(b.limit()) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Namespace: "ebonylock", Name: "replies_stopped_total", Help: "Replies of backend servers that were not read to their end because they took too much of the memory for replies.",
		}, func() float64 { return float64(b.stopped.Load()) }),
	)
}

// Register registers the pool's metrics with r.
func (p *Pool) Register(r prometheus.Registerer) {
	r.MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: "ebonylock", Name: "client_memory_bytes", Help: "Memory held for clients beyond what each connection has for itself.",
		}, func() float64 { return float64(p.Used()) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: "ebonylock", Name: "client_memory_limit_bytes", Help: "Limit on the memory held for clients; 0 for none.",
		}, func() float64 { return float64(p.Limit) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Namespace: "ebonylock", Name: "client_memory_revoked_total", Help: "Connections and requests refused because the memory for clients ran out.",
		}, func() float64 { return float64(p.RevokedCount()) }),
	)
}
