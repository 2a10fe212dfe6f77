package forwarder

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/ebonylock/ebonylock/modules/decider"
	"github.com/ebonylock/ebonylock/modules/gatekeeper"
	"github.com/ebonylock/ebonylock/modules/registrar"
	"github.com/ebonylock/ebonylock/modules/reporter"
)

// Kinds of notices, used in logs and metrics.
const (
	noticeLeaving  = "leaving"
	noticePause    = "pause"
	noticePauseEnd = "pause-over"
)

// handleNotice records what a replica has said about further requests. Requests that wait for a
// connection to it go to other replicas.
func (f *Forwarder) handleNotice(c *registrar.Candidate, n Notice, now time.Time) {
	if n.Leaving && f.gate.Leave(c.Key, now) {
		f.metrics.notices.WithLabelValues(noticeLeaving).Inc()
		f.logNotice(c, noticeLeaving, now).Info("replica says that it leaves")
		f.backend.Withdraw(c)
		if f.cfg.AnnounceLeaver != nil {
			f.cfg.AnnounceLeaver(reporter.Hash(c.Key), now)
		}
	}
	if n.Pause > 0 && f.gate.Pause(c.Key, n.Pause, now) {
		f.metrics.notices.WithLabelValues(noticePause).Inc()
		until := f.gate.Ask(c.Key, now).Until
		f.logNotice(c, noticePause, now).WithField("until", until.Format(time.RFC3339Nano)).Info("replica wants a pause")
		time.AfterFunc(until.Sub(now), func() { f.logPauseEnd(c) })
		f.backend.Withdraw(c)
	}
}

// HandleLeaver records that another VM reports a replica that has said that it leaves.
func (f *Forwarder) HandleLeaver(replica uint64) {
	state, now := f.states.State(), time.Now()
	if state == nil {
		return
	}
	for _, list := range state.View.Services {
		for _, c := range list {
			if reporter.Hash(c.Key) == replica && f.gate.Leave(c.Key, now) {
				f.logNotice(c, noticeLeaving, now).WithField("reported", true).Info("another VM reports that a replica leaves")
				f.backend.Withdraw(c)
			}
		}
	}
}

// logPauseEnd logs the end of a pause, later if the pause was extended.
func (f *Forwarder) logPauseEnd(c *registrar.Candidate) {
	now := time.Now()
	switch g := f.gate.Ask(c.Key, now); {
	case g.State == gatekeeper.Leaving:
	case !g.Until.IsZero():
		time.AfterFunc(g.Until.Sub(now), func() { f.logPauseEnd(c) })
	default:
		f.logNotice(c, noticePauseEnd, now).Info("pause of a replica is over")
	}
}

// logNotice returns a log entry for a notice of the given kind. It says what this VM's copy of the store
// has of the replica.
func (f *Forwarder) logNotice(c *registrar.Candidate, kind string, now time.Time) *logrus.Entry {
	stored := "none"
	if current := f.candidate(c.Service, c.Key); current != nil && current.Missing {
		stored = "missing"
	} else if current != nil {
		stored = "ready"
	}
	return f.log.WithFields(logrus.Fields{
		"event": "replica-notice", "says": kind, "replica": c.ID, "service": c.Service, "data-centre": c.DataCentre,
		"stored": stored, "beliefs-age-ms": milliseconds(now.Sub(f.states.SyncedAt())),
	})
}

// candidate returns the usable replica of a service with the given key, or nil.
func (f *Forwarder) candidate(service, key string) *registrar.Candidate {
	if state := f.states.State(); state != nil {
		for _, c := range state.View.Services[service] {
			if c.Key == key {
				return c
			}
		}
	}
	return nil
}

// closed returns why none of the replicas of p takes requests, and the time after which one is
// expected to. The reason is empty if one takes requests.
func (fl *flight) closed(p *part, now time.Time) (reason string, after time.Duration) {
	answers := make([]gatekeeper.Answer, len(p.list))
	for i, c := range p.list {
		answers[i] = fl.gate(p, c, now)
	}
	return decider.Closed(answers, now)
}

// pruneNotices drops what replicas have said that are no longer in use.
func (f *Forwarder) pruneNotices(before time.Time) {
	known := make(map[string]bool)
	if state := f.states.State(); state != nil {
		for _, list := range state.View.Services {
			for _, c := range list {
				known[c.Key] = true
			}
		}
	}
	f.cold.Prune(before)
	f.gate.Prune(before, func(key string) bool { return known[key] })
}
