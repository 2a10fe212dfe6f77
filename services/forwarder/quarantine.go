package forwarder

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/ebonylock/ebonylock/modules/quarantiner"
	"github.com/ebonylock/ebonylock/modules/registrar"
)

// probeTimeout limits the check whether a replica that broke a connection still accepts new ones.
const probeTimeout = 300 * time.Millisecond

// softwareOf returns what the quarantine knows a replica's software by.
func softwareOf(c *registrar.Candidate) quarantiner.Software {
	return quarantiner.Software{Service: c.Service, Version: c.Version}
}

// suspected reports whether a request, or one of its group, ran on a replica that was lost. If not, it
// may run anywhere.
func (f *Forwarder) suspected(id identity) bool {
	return f.cfg.Quarantine != nil && f.cfg.Quarantine.HasLosses(id.request, id.group)
}

// verdict returns whether and how a replica may run a request.
func (f *Forwarder) verdict(id identity, c *registrar.Candidate, now time.Time) quarantiner.Verdict {
	q, t := f.cfg.Quarantine, softwareOf(c)
	if q.Verdict(id.group, t, now) == quarantiner.Blocked {
		return quarantiner.Blocked
	}
	return q.Verdict(id.request, t, now)
}

// quarantined reports whether a request has crashed so many replicas that fewer than minParts of the
// services have a replica which may run it. A service without replicas counts as if it had one.
func (f *Forwarder) quarantined(id identity, view *registrar.View, services []string, minParts int, now time.Time) bool {
	if !f.suspected(id) {
		return false
	}
	usable := 0
	for _, s := range services {
		list := view.Services[s]
		if len(list) == 0 || slices.ContainsFunc(list, func(c *registrar.Candidate) bool {
			return f.verdict(id, c, now) != quarantiner.Blocked
		}) {
			usable++
		}
	}
	return usable < minParts
}

// markAnswered records that a replica gave a complete reply to the request.
func (fl *flight) markAnswered(a *attempt, at time.Time) {
	cfg := &fl.f.cfg
	if cfg.Quarantine == nil {
		return
	}
	answer := quarantiner.Answer{Fingerprint: fl.identity.request, Group: fl.identity.group, Software: softwareOf(a.to), At: at}
	if cfg.Quarantine.MarkAnswered(answer) && cfg.AnnounceAnswer != nil {
		cfg.AnnounceAnswer(answer)
	}
}

// checkCrash checks whether a replica that broke the connection of an attempt is down, and reports
// the loss if it is. A lost reply alone is no evidence against the request.
func (a *attempt) checkCrash(at time.Time) {
	f, c, id, q := a.fl.f, a.to, a.fl.identity, a.fl.f.cfg.Quarantine
	if q == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	if f.backend.Probe(ctx, c) == nil {
		return
	}
	t := softwareOf(c)
	l := quarantiner.Loss{
		Fingerprint: id.request, Group: id.group, Software: t, Server: c.Key, Began: a.sent, At: at,
	}
	if !q.Report(l) {
		return
	}
	f.log.WithFields(logrus.Fields{
		"event": "replica-lost", "replica": c.ID, "service": c.Service, "version": c.Version, "fingerprint": uint64(id.request),
		"ran-ms": milliseconds(at.Sub(a.sent)), "answered": q.Proven(id.request, t, at), "verdict": q.Verdict(id.request, t, at).String(),
	}).Warn("replica went down while it ran a request")
	if f.cfg.Announce != nil {
		// With the earlier ones the other VMs learn in which order the runs began and ended.
		f.cfg.Announce(q.LossesOf(id.request, at))
	}
}
