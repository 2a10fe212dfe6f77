package forwarder

import (
	"time"

	"github.com/ebonylock/ebonylock/modules/gatekeeper"
	"github.com/ebonylock/ebonylock/modules/registrar"
)

const (
	// coldShare is the used share of the requests that a cold replica tolerates in a second. The rest
	// covers VMs that don't know of each other yet. The configured rate is used in any case.
	coldShare = 0.75
	// maxColdWait is the time for which a request to a cold replica may wait for a connection and
	// still count as sent when it began to wait.
	maxColdWait = 50 * time.Millisecond
)

// coldLimit returns the number of requests that this VM may send within a second to a cold replica
// that tolerates perSecond. gathered is true if its service is a shard.
func (f *Forwarder) coldLimit(s *State, service, key string, perSecond float64, gathered bool, now time.Time) int {
	if !f.cfg.FirstStart && now.Sub(f.started) < discoveryTime {
		return 0
	}
	total := int(max(perSecond, coldShare*(perSecond*f.cfg.WarmupOvershoot+f.cfg.WarmupSlack)))
	if gathered {
		if sel := f.selection(s, []string{service}); !sel.Direct {
			rank := sel.Rank(f.cfg.VM)
			if rank < 0 {
				return 0
			}
			return gatekeeper.Share(total, sel.Total, rank, key)
		}
	}
	return gatekeeper.Share(total, s.VMs, s.Rank, key)
}

// limitedCold reports whether the request rate of a replica is limited now.
func (p *part) limitedCold(c *registrar.Candidate, now time.Time) bool {
	return p.coldRate > 0 && now.Before(c.ColdUntil)
}

// coldLimit returns the number of requests that a cold replica of p may get from this VM in a second.
func (fl *flight) coldLimit(p *part, c *registrar.Candidate, now time.Time) int {
	return fl.f.coldLimit(fl.state, p.service, c.Key, p.coldRate, len(fl.route.Shards) > 0, now)
}

// gate returns whether a replica of p may get a request now.
func (fl *flight) gate(p *part, c *registrar.Candidate, now time.Time) gatekeeper.Answer {
	g := fl.f.gate.Ask(c.Key, now)
	if g.State != gatekeeper.Open || !p.limitedCold(c, now) {
		return g
	}
	g = fl.f.cold.Ask(c.Key, fl.coldLimit(p, c, now), now)
	if g.State == gatekeeper.Warming && (g.Until.IsZero() || c.ColdUntil.Before(g.Until)) {
		g.Until = c.ColdUntil
	}
	return g
}

// begin records that a request of p is sent to a replica. It returns false if the replica may get none.
func (fl *flight) begin(p *part, c *registrar.Candidate, now time.Time) (limited, ok bool) {
	limited = p.limitedCold(c, now)
	if limited && !fl.f.cold.Begin(c.Key, fl.coldLimit(p, c, now), now) {
		return limited, false
	}
	if !fl.f.gate.Begin(c.Key, now) {
		if limited {
			fl.f.cold.Refund(c.Key, now)
		}
		return limited, false
	}
	return limited, true
}
