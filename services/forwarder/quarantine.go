package forwarder

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/ebonylock/ebonylock/modules/quarantiner"
	"github.com/ebonylock/ebonylock/modules/registrar"
)

// probeTimeout limits the check whether a replica that broke a connection still accepts new ones.
const probeTimeout = 300 * time.Millisecond

// quarantined reports whether a request has crashed too many replicas to be sent again.
func (f *Forwarder) quarantined(id identity, now time.Time) bool {
	q := f.cfg.Quarantine
	if q == nil {
		return false
	}
	return q.Verdict(id.request, now) == quarantiner.Blocked || q.Verdict(id.group, now) == quarantiner.Blocked
}

// markSafe records that a replica gave a complete reply to the request.
func (fl *flight) markSafe() {
	if !fl.provenSafe && fl.f.cfg.Quarantine != nil {
		fl.f.cfg.Quarantine.MarkSafe(fl.identity.request)
		fl.f.cfg.Quarantine.MarkSafe(fl.identity.group)
	}
	fl.provenSafe = true
}

// checkCrash checks whether a replica that broke the connection of a request is down, and reports
// the loss if it is. A lost reply alone is no evidence against the request.
func (f *Forwarder) checkCrash(c *registrar.Candidate, id identity, at time.Time) {
	if f.cfg.Quarantine == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	if f.backend.Probe(ctx, c) == nil {
		return
	}
	l := quarantiner.Loss{
		Fingerprint: id.request, Group: id.group, GroupSafe: f.cfg.Quarantine.IsSafe(id.group), Server: c.Key, At: at,
	}
	if !f.cfg.Quarantine.Report(l) {
		return
	}
	f.log.WithFields(logrus.Fields{"event": "replica-lost", "replica": c.ID, "service": c.Service, "fingerprint": uint64(id.request)}).Warn("replica went down while it ran a request")
	if f.cfg.Announce != nil {
		f.cfg.Announce(l)
	}
}
