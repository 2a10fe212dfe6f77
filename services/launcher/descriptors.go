package launcher

import (
	"syscall"

	"github.com/sirupsen/logrus"

	"github.com/ebonylock/ebonylock/modules/rationer"
)

// callersShare is the part of the process's file descriptors that connections of callers may use. The rest is
// kept for connections to replicas, to other VMs and to the store, which the requests of these callers need.
const callersShare = 0.75

// maxCallers returns the limit on the connections of callers. setting is the limit on file descriptors according to
// the settings, 0 if unknown.
func maxCallers(setting int, shares rationer.Shares) int {
	var rlimit syscall.Rlimit
	descriptors := uint64(setting)
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &rlimit); err == nil && (descriptors == 0 || rlimit.Cur < descriptors) {
		descriptors = rlimit.Cur
	}
	limit := shares.MaxConnections()
	if descriptors > 0 {
		limit = min(limit, int(callersShare*float64(descriptors)))
	}
	return max(limit, 1)
}

// Names of the listeners in log lines and metrics.
const (
	callersListener   = "callers"
	readinessListener = "readiness"
	metricsListener   = "metrics"
	linkListener      = "link"
)

// AcceptPaused implements requester.Handler.
func (d *Daemon) AcceptPaused(err error) {
	d.acceptPaused(callersListener)(err)
}

// acceptPaused returns a function that records why the named listener accepts no connections for a moment.
func (d *Daemon) acceptPaused(listener string) func(err error) {
	return func(err error) {
		d.acceptPauses.WithLabelValues(listener).Inc()
		d.log.WithFields(logrus.Fields{"event": "accept-paused", "listener": listener}).WithError(err).Error("no connections accepted for a moment")
	}
}
