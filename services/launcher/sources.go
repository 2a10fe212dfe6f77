package launcher

import (
	"cmp"
	"net/netip"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/ebonylock/ebonylock/modules/prober"
	"github.com/ebonylock/ebonylock/services/follower"
	"github.com/ebonylock/ebonylock/services/relayer"
	"github.com/ebonylock/ebonylock/services/replicator"
)

// readers is the number of VMs that read the store; the others follow these.
const readers = 2

// guide chooses whom this VM follows. It implements follower.Guide.
type guide struct {
	self  string
	store replicator.Source
	keys  [][]byte
	log   *logrus.Logger

	mu sync.Mutex
	// ranked are the VMs that may read the store, in the same order on all VMs that believe
	// the same.
	ranked []prober.Member
	relays map[netip.AddrPort]*relayer.Client
}

// rank orders the live VMs so that the first ones are of different data centres.
func rank(members []prober.Member) []prober.Member {
	live := slices.DeleteFunc(slices.Clone(members), func(m prober.Member) bool {
		return m.State >= prober.Dead || m.Draining
	})
	slices.SortFunc(live, func(a, b prober.Member) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a.ID), xxhash.Sum64String(b.ID)), cmp.Compare(a.ID, b.ID))
	})
	seen := make(map[string]bool)
	var first, rest []prober.Member
	for _, m := range live {
		if seen[m.DataCentre] {
			rest = append(rest, m)
			continue
		}
		seen[m.DataCentre] = true
		first = append(first, m)
	}
	return append(first, rest...)
}

// update takes in the members of the fleet.
func (g *guide) update(members []prober.Member) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ranked = rank(members)
	known := make(map[netip.AddrPort]bool)
	for _, m := range g.ranked {
		known[m.Link] = true
	}
	for addr := range g.relays {
		if !known[addr] {
			delete(g.relays, addr)
		}
	}
}

// Sources implements follower.Guide. Each lane follows a reader of its own; a reader follows
// the store on the first lane and the other reader on the second.
func (g *guide) Sources(lane int) []follower.Named {
	g.mu.Lock()
	defer g.mu.Unlock()
	store := follower.Named{Name: "store", Store: true, Source: g.store}
	var out []follower.Named
	reader := len(g.ranked) < readers
	for _, m := range g.ranked[:min(readers, len(g.ranked))] {
		if m.ID == g.self {
			reader = true
			continue
		}
		if s, ok := g.relay(m); ok {
			out = append(out, s)
		}
	}
	if len(out) > 1 && lane%2 == 1 {
		slices.Reverse(out)
	}
	if reader && lane == 0 {
		return append([]follower.Named{store}, out...)
	}
	return append(out, store)
}

// relay needs the lock.
func (g *guide) relay(m prober.Member) (follower.Named, bool) {
	c := g.relays[m.Link]
	if c == nil {
		var err error
		if c, err = relayer.NewClient(m.Link, g.keys); err != nil {
			g.log.WithError(err).WithField("event", "relay").Error("no client for another VM")
			return follower.Named{}, false
		}
		if g.relays == nil {
			g.relays = make(map[netip.AddrPort]*relayer.Client)
		}
		g.relays[m.Link] = c
	}
	return follower.Named{Name: m.ID, Source: c}, true
}
