package forwarder

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/ebonylock/ebonylock/modules/quarantiner"
	"github.com/ebonylock/ebonylock/modules/registrar"
)

// reachTimeout limits the look whether a replica that broke a connection still takes new ones.
const reachTimeout = 300 * time.Millisecond

// barred reports whether a request has crashed too many replicas to be sent again.
func (f *Forwarder) barred(fp quarantiner.Fingerprint, now time.Time) bool {
	return f.cfg.Quarantine != nil && f.cfg.Quarantine.Verdict(fp, now) == quarantiner.Blocked
}

// prove takes in that a replica has given a whole reply.
func (fl *flight) prove() {
	if !fl.proven && fl.f.cfg.Quarantine != nil {
		fl.f.cfg.Quarantine.Prove(fl.fingerprint)
	}
	fl.proven = true
}

// checkLoss looks whether a replica that broke the connection of a request at the time given is
// down. A lost reply alone says nothing against the request.
func (f *Forwarder) checkLoss(c *registrar.Candidate, fp quarantiner.Fingerprint, at time.Time) {
	if f.cfg.Quarantine == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), reachTimeout)
	defer cancel()
	if f.backend.Reach(ctx, c) == nil {
		return
	}
	l := quarantiner.Loss{Fingerprint: fp, Server: c.Key, At: at}
	if !f.cfg.Quarantine.Report(l) {
		return
	}
	f.log.WithFields(logrus.Fields{"event": "replica-lost", "replica": c.ID, "service": c.Service, "fingerprint": uint64(fp)}).Warn("a replica went down while it ran a request")
	if f.cfg.Announce != nil {
		f.cfg.Announce(l)
	}
}
