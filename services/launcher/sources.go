package launcher

import (
	"cmp"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/ebonylock/ebonylock/modules/prober"
	"github.com/ebonylock/ebonylock/modules/quarantiner"
	"github.com/ebonylock/ebonylock/modules/reporter"
	"github.com/ebonylock/ebonylock/services/follower"
	"github.com/ebonylock/ebonylock/services/relayer"
	"github.com/ebonylock/ebonylock/services/replicator"
)

const (
	// readers is the number of VMs that read the store; the others follow these.
	readers = 2
	// reserves is the number of VMs that read it as soon as all readers are stale. The other
	// VMs follow the reserves then, and read it themselves only if that fails.
	reserves = 2
	// hubs is the number of VMs of each data centre that follow the readers, in a fleet of more than
	// hubsFrom VMs; the other VMs of the data centre follow these, as bytes between data centres are
	// dear.
	hubs     = 2
	hubsFrom = 40
	// readerRetry and othersRetry are the pauses of readers and reserves, and of other VMs,
	// after the store failed.
	readerRetry = 500 * time.Millisecond
	othersRetry = 3 * time.Second
	// seedTime is the time that the seeds have at the first start of the fleet before the other VMs
	// read the store.
	seedTime = time.Second
	// reserveTime is the time that the reserves have before the other VMs read the store.
	reserveTime = 400 * time.Millisecond
)

// guide chooses whom this VM follows. It implements follower.Guide.
type guide struct {
	self, dataCentre string
	// seeds are the other VMs that are asked while no other one is known.
	seeds []prober.Member
	// patient is true for a VM that leaves the first read of the store to the seeds for a while, as
	// nobody waits for it yet.
	patient bool

	store replicator.Source
	keys  [][]byte
	// evidence is told to the VMs that are followed, and learnt from them.
	evidence *reporter.Evidence
	log      *logrus.Logger

	mu sync.Mutex
	// ranked are the VMs that may read the store, in the same order on all VMs that believe
	// the same.
	ranked []prober.Member
	relays map[netip.AddrPort]*relayer.Client
}

// announce tells all other VMs of a loss. A VM that does not hear of it learns by its own.
func (g *guide) announce(l quarantiner.Loss) {
	for _, c := range g.others() {
		go func() {
			if err := c.ReportLoss(l); err != nil {
				g.log.WithField("event", "loss-untold").WithError(err).Info("another VM was not told of a loss")
			}
		}()
	}
}

// others returns the clients of all other live VMs.
func (g *guide) others() []*relayer.Client {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []*relayer.Client
	for _, m := range g.ranked {
		if m.ID == g.self {
			continue
		}
		if _, ok := g.relay(m); ok {
			out = append(out, g.relays[m.Link])
		}
	}
	return out
}

// rank orders the live VMs: those with the fastest link first, as all others read from them,
// and the first ones of different data centres.
func rank(members []prober.Member) []prober.Member {
	live := slices.DeleteFunc(slices.Clone(members), func(m prober.Member) bool {
		return m.State >= prober.Dead || m.Draining
	})
	slices.SortFunc(live, func(a, b prober.Member) int {
		return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(xxhash.Sum64String(a.ID), xxhash.Sum64String(b.ID)), cmp.Compare(a.ID, b.ID))
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

// Sources implements follower.Guide. The first lane prefers the first reader, the second lane
// the second one. A reader follows the store on the first lane and the other reader on the
// second, so that the second lane of no VM pays for calls.
func (g *guide) Sources(lane int) []follower.NamedSource {
	g.mu.Lock()
	defer g.mu.Unlock()
	place := slices.IndexFunc(g.ranked, func(m prober.Member) bool { return m.ID == g.self })
	if place < 0 {
		place = len(g.ranked)
	}
	out := g.sources(g.ranked[:min(readers+reserves, len(g.ranked))])
	store := follower.NamedSource{Name: "store", IsStore: true, Backoff: readerRetry, Source: g.store}
	if near := g.sources(g.near()); place >= readers+reserves && len(near) > 0 {
		out = append(near, slices.DeleteFunc(out, func(s follower.NamedSource) bool {
			return slices.ContainsFunc(near, func(n follower.NamedSource) bool { return n.Name == s.Name })
		})...)
	}
	switch {
	case lane > 0:
		if len(out) > 1 && place >= readers {
			out[0], out[1] = out[1], out[0]
		}
		return out
	case len(g.ranked) <= 1:
		if g.patient {
			store.BootstrapDelay = seedTime
		}
		first := g.sources(g.seeds)
		for i := range first {
			first[i].BootstrapOnly = true
		}
		return append(first, store)
	case place < readers:
		return append([]follower.NamedSource{store}, out...)
	case place < readers+reserves:
		store.MinAge = replicator.StaleAfter
	default:
		store.MinAge, store.Backoff = replicator.StaleAfter+reserveTime, othersRetry
	}
	return append(out, store)
}

// near returns the hubs of the own data centre if this VM follows them; it needs the lock.
func (g *guide) near() []prober.Member {
	if len(g.ranked) <= hubsFrom {
		return nil
	}
	var out []prober.Member
	for _, m := range g.ranked {
		if m.DataCentre != g.dataCentre || len(out) == hubs {
			continue
		}
		if m.ID == g.self {
			return nil
		}
		out = append(out, m)
	}
	return out
}

// sources returns the clients of VMs, this one left out; it needs the lock.
func (g *guide) sources(members []prober.Member) []follower.NamedSource {
	var out []follower.NamedSource
	for _, m := range members {
		if m.ID == g.self {
			continue
		}
		if s, ok := g.relay(m); ok {
			out = append(out, s)
		}
	}
	return out
}

// leads reports whether this VM is the first reader of the store.
func (g *guide) leads() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.ranked) > 0 && g.ranked[0].ID == g.self
}

// relay needs the lock.
func (g *guide) relay(m prober.Member) (follower.NamedSource, bool) {
	c := g.relays[m.Link]
	if c == nil {
		var err error
		if c, err = relayer.NewClient(m.Link, g.keys); err != nil {
			g.log.WithError(err).WithField("event", "relay").Error("no client for another VM")
			return follower.NamedSource{}, false
		}
		c.Evidence = g.evidence
		if g.relays == nil {
			g.relays = make(map[netip.AddrPort]*relayer.Client)
		}
		g.relays[m.Link] = c
	}
	return follower.NamedSource{Name: m.ID, Source: c}, true
}
