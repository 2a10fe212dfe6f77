package scatterer

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/ebonylock/ebonylock/modules/quarantiner"
	"github.com/ebonylock/ebonylock/services/dispatcher"
)

// startCanary starts one subquery. Every VM picks the same subquery and the same order of
// replicas for a query. A query that crashes servers therefore reaches the same few servers and
// owners each time it is sent again, through whichever VM (canary requests: Dean and Barroso,
// 2013).
func (g *gather) startCanary() {
	n := len(g.subqueries)
	start := int(uint64(g.fingerprint) % uint64(n))
	for i := range n {
		sq := g.subqueries[(start+i)%n]
		if g.anyInFlight() {
			return
		}
		if sq.done || sq.started {
			continue
		}
		if a := g.nextAttempt(sq); a != nil {
			g.countFirstAttempts(1)
			g.sendAttempts([]*attempt{a})
			return
		}
	}
}

// proven reports whether any service has replied to the query in this generation. The others may still
// crash, but not more than two servers, as the quarantine counts their losses.
func (g *gather) proven(now time.Time) bool {
	return slices.ContainsFunc(g.subqueries, func(sq *subquery) bool {
		return g.scatterer.quarantine.Proven(g.fingerprint, g.software(sq), now)
	})
}

// suspect reports whether the query has probably crashed a server.
func (g *gather) suspect(now time.Time) bool {
	return slices.ContainsFunc(g.subqueries, func(sq *subquery) bool {
		return g.scatterer.quarantine.Verdict(g.fingerprint, g.software(sq), now) == quarantiner.Suspect
	})
}

func (g *gather) software(sq *subquery) quarantiner.Software {
	return dispatcher.SoftwareOf(sq.service, g.generation)
}

// markSafe records the reply of a service and starts the subqueries that waited for the canary.
func (g *gather) markSafe(sq *subquery) {
	g.scatterer.quarantine.MarkAnswered(quarantiner.Answer{Fingerprint: g.fingerprint, Software: g.software(sq), At: time.Now()})
	if g.knownSafe {
		return
	}
	g.knownSafe = true
	g.startAll()
}

// withResponsiveOwners returns the servers whose owners have not failed recently, or all servers
// if there are none.
func (g *gather) withResponsiveOwners(servers []string) []string {
	now := time.Now()
	var out []string
	for _, id := range servers {
		if g.scatterer.loads.score(g.view.Owners[id], now) < failedLoad/2 {
			out = append(out, id)
		}
	}
	if len(out) == 0 {
		return servers
	}
	return out
}

// firstByHash returns the first of the servers in an order that depends only on the query.
func (g *gather) firstByHash(servers []string) string {
	var first string
	var top uint64
	prefix := strconv.FormatUint(uint64(g.fingerprint), 16)
	for _, id := range servers {
		h := xxhash.Sum64String(prefix + id)
		if first == "" || h > top {
			first, top = id, h
		}
	}
	return first
}
