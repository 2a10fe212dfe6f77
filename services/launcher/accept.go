package launcher

import "github.com/sirupsen/logrus"

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
