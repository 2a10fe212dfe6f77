package scatterer

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

type metrics struct {
	firstAttempts prometheus.Counter
	hedges        prometheus.Counter
	hedgeWins     prometheus.Counter
	retries       prometheus.Counter
	moves         prometheus.Counter
	declined      *prometheus.CounterVec
	answers       *prometheus.CounterVec
	latency       prometheus.Histogram
}

func newMetrics() *metrics {
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Name: name, Help: help})
	}
	return &metrics{
		firstAttempts: counter("ebonylock_first_tries_total", "First tries of sub-queries."),
		hedges:        counter("ebonylock_hedges_total", "Hedged sub-queries."),
		hedgeWins:     counter("ebonylock_hedge_wins_total", "Hedges whose reply came first."),
		retries:       counter("ebonylock_retries_total", "Sub-queries tried again after a run that may have started."),
		moves:         counter("ebonylock_moves_total", "Sub-queries moved from one queue to another."),
		declined: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "ebonylock_hedges_declined_total",
			Help: "Slow sub-queries that were not hedged, by reason.",
		}, []string{"reason"}),
		answers: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "ebonylock_answers_total",
			Help: "Answers to searches, by coverage.",
		}, []string{"coverage"}),
		latency: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "ebonylock_answer_seconds",
			Help:    "Time from a search to its answer.",
			Buckets: prometheus.ExponentialBuckets(0.001, 1.5, 20),
		}),
	}
}

func (m *metrics) observe(a *Answer, took time.Duration) {
	m.hedges.Add(float64(a.Hedges))
	m.retries.Add(float64(a.Retries))
	m.moves.Add(float64(a.Moves))
	m.latency.Observe(took.Seconds())
	coverage := "partial"
	if a.Complete() {
		coverage = "complete"
	}
	m.answers.WithLabelValues(coverage).Inc()
}

// Register adds the scatterer's metrics to r.
func (s *Scatterer) Register(r prometheus.Registerer) {
	m := s.metrics
	r.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "ebonylock_search_limit",
		Help: "Searches that may be under way at once.",
	}, s.admission.Limit))
	r.MustRegister(m.firstAttempts, m.hedges, m.hedgeWins, m.retries, m.moves, m.declined, m.answers, m.latency)
}
