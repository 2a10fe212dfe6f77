package follower

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Register registers the follower's metrics with r.
func (f *Follower) Register(r prometheus.Registerer) {
	gauge := func(name, help string, value func() float64) {
		r.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: "ebonylock", Subsystem: "beliefs", Name: name, Help: help}, value))
	}
	gauge("age_seconds", "Time since the store was last known to be at the copy's revision.", func() float64 {
		return time.Since(f.Cache.SyncedAt()).Seconds()
	})
	gauge("revision", "Revision of the store that the copy is whole up to.", func() float64 { return float64(f.Cache.Revision()) })
	gauge("era", "Era of the store that the copy is of; 0 if the store tells none.", func() float64 { return float64(f.Cache.Version().Era) })
	gauge("config_version", "Version of the configuration in force; 0 for none.", func() float64 {
		if s := f.State(); s != nil {
			return float64(s.Table.Config.Version)
		}
		return 0
	})
	gauge("vms", "VMs that the limits are shared with, this one included.", func() float64 {
		if s := f.State(); s != nil {
			return float64(s.VMs)
		}
		return 0
	})
	r.MustRegister(f.reads)
}

// newReads returns the counter of reads from sources.
func newReads() *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: "ebonylock", Subsystem: "beliefs", Name: "reads_total",
		Help: "Reads of the store and of other VMs by call and outcome.",
	}, []string{"source", "call", "outcome"})
}

// countRead counts one read from a source.
func (f *Follower) countRead(s NamedSource, call string, err error) {
	source, outcome := "vm", "answered"
	if s.IsStore {
		source = "store"
	}
	if err != nil {
		outcome = "failed"
	}
	f.reads.WithLabelValues(source, call, outcome).Inc()
}
