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
	// readerCount is the number of VMs that read the store; the other VMs follow them.
	readerCount = 2
	// standbyCount is the number of standby readers, which read the store as soon as no reader answers
	// or all are stale. The other VMs then follow the standby readers, and read the store themselves only
	// if that fails.
	standbyCount = 2
	// hubCount is the number of VMs of each data centre that follow the readers, in a fleet of more than
	// hubThreshold VMs. The other VMs of the data centre follow these hubs, as traffic between data
	// centres is expensive.
	hubCount     = 2
	hubThreshold = 40
	// readerBackoff is the pause of readers and standby readers after a failed read of the store;
	// followerBackoff is that of all other VMs.
	readerBackoff   = 500 * time.Millisecond
	followerBackoff = 3 * time.Second
	// seedDelay is the time for which the other VMs leave the first read of the store to the seeds at
	// the first start of the fleet.
	seedDelay = time.Second
	// standbyDelay is the additional age of the copy after which the other VMs read the store, so that
	// the standby readers can read it first. Within storeSpread after it they read the store one after
	// the other.
	standbyDelay = 400 * time.Millisecond
	storeSpread  = 200 * time.Millisecond
)

// sourceProvider chooses the sources that this VM follows. It implements follower.SourceProvider.
type sourceProvider struct {
	self, dataCentre string
	// seeds are the other VMs that are used as sources while no other member is known.
	seeds []prober.Member
	// deferFirstRead is true for a VM that leaves the first read of the store to the seeds for seedDelay,
	// as no caller waits for it yet.
	deferFirstRead bool

	store replicator.Source
	keys  [][]byte
	// evidence is exchanged with the VMs that are followed.
	evidence *reporter.Evidence
	// losses are read from the VMs that are followed.
	losses relayer.LossTracker
	log    *logrus.Logger

	mu sync.Mutex
	// ranked holds the VMs that may read the store. The order is the same on all VMs that have the same
	// view of the members.
	ranked []prober.Member
	// clients holds a client for each link address.
	clients map[netip.AddrPort]*relayer.Client
}

// broadcastLosses reports losses to all other VMs. There is no retry: a VM that misses the report reads the
// losses from the VMs that it follows.
func (p *sourceProvider) broadcastLosses(list []quarantiner.Loss) {
	for _, c := range p.peerClients() {
		go func() {
			if err := c.ReportLosses(list); err != nil {
				p.log.WithField("event", "loss-untold").WithError(err).Info("failed to report a lost replica to another VM")
			}
		}()
	}
}

// broadcastAnswer reports a reply that clears a request of losses to all other VMs. There is no retry: a VM
// that misses the report goes on to suspect the request until it has a reply to it itself.
func (p *sourceProvider) broadcastAnswer(a quarantiner.Answer) {
	for _, c := range p.peerClients() {
		go func() {
			if err := c.ReportAnswer(a); err != nil {
				p.log.WithField("event", "answer-untold").WithError(err).Info("failed to report the reply to a suspected request to another VM")
			}
		}()
	}
}

// peerClients returns the clients of all other live VMs.
func (p *sourceProvider) peerClients() []*relayer.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []*relayer.Client
	for _, m := range p.ranked {
		if m.ID == p.self {
			continue
		}
		if _, ok := p.relaySource(m); ok {
			out = append(out, p.clients[m.Link])
		}
	}
	return out
}

// rankMembers orders the live VMs by link capacity, the fastest first, as all other VMs read from the first
// ones. The fastest VM of each data centre precedes all others, so that the readers are in different data
// centres. VMs with the same capacity are ordered by a hash of their ID.
func rankMembers(members []prober.Member) []prober.Member {
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

// update sets the members of the fleet and drops the clients of VMs that are no longer live.
func (p *sourceProvider) update(members []prober.Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ranked = rankMembers(members)
	known := make(map[netip.AddrPort]bool)
	for _, m := range p.ranked {
		known[m.Link] = true
	}
	for addr := range p.clients {
		if !known[addr] {
			delete(p.clients, addr)
		}
	}
}

// Sources implements follower.SourceProvider. The first watcher of a VM prefers the first reader, the second
// watcher the second one. A reader follows the store with its first watcher and the other reader with its
// second, so that the second watcher of no VM causes billed calls to the store.
func (p *sourceProvider) Sources(watcher int) []follower.NamedSource {
	p.mu.Lock()
	defer p.mu.Unlock()
	position := p.position()
	out := p.relaySources(p.ranked[:min(readerCount+standbyCount, len(p.ranked))])
	for i := range out {
		out[i].IsReader = slices.ContainsFunc(p.ranked[:min(readerCount, len(p.ranked))], func(m prober.Member) bool { return m.ID == out[i].Name })
	}
	store := follower.NamedSource{Name: "store", IsStore: true, Backoff: readerBackoff, Source: p.store}
	if near := p.relaySources(p.localHubs()); position >= readerCount+standbyCount && len(near) > 0 {
		out = append(near, slices.DeleteFunc(out, func(s follower.NamedSource) bool {
			return slices.ContainsFunc(near, func(n follower.NamedSource) bool { return n.Name == s.Name })
		})...)
	}
	switch {
	case watcher > 0:
		if len(out) > 1 && position >= readerCount {
			out[0], out[1] = out[1], out[0]
		}
		return out
	case len(p.ranked) <= 1:
		if p.deferFirstRead {
			store.BootstrapDelay = seedDelay
		}
		first := p.relaySources(p.seeds)
		for i := range first {
			first[i].BootstrapOnly = true
		}
		return append(first, store)
	case position < readerCount:
		return append([]follower.NamedSource{store}, out...)
	case position < readerCount+standbyCount:
		store.MinAge, store.IsStandby = replicator.StaleAfter, true
	default:
		spread := storeSpread * time.Duration(position) / time.Duration(len(p.ranked)+1)
		store.MinAge, store.Backoff = replicator.StaleAfter+standbyDelay+spread, followerBackoff
	}
	return append(out, store)
}

// localHubs returns the hubs of this data centre, or nil in a small fleet or if this VM is a hub itself. The
// caller must hold mu.
func (p *sourceProvider) localHubs() []prober.Member {
	if len(p.ranked) <= hubThreshold {
		return nil
	}
	var out []prober.Member
	for _, m := range p.ranked {
		if m.DataCentre != p.dataCentre || len(out) == hubCount {
			continue
		}
		if m.ID == p.self {
			return nil
		}
		out = append(out, m)
	}
	return out
}

// relaySources returns a source for each member except this VM. The caller must hold mu.
func (p *sourceProvider) relaySources(members []prober.Member) []follower.NamedSource {
	var out []follower.NamedSource
	for _, m := range members {
		if m.ID == p.self {
			continue
		}
		if s, ok := p.relaySource(m); ok {
			out = append(out, s)
		}
	}
	return out
}

// rank returns the position of this VM among those that may read the store, from 0 for the first reader.
func (p *sourceProvider) rank() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.position()
}

// position returns the index of this VM in ranked, whose length stands for a VM that may not read the store. The
// caller must hold mu.
func (p *sourceProvider) position() int {
	if i := slices.IndexFunc(p.ranked, func(m prober.Member) bool { return m.ID == p.self }); i >= 0 {
		return i
	}
	return len(p.ranked)
}

// relaySource returns the source for a member and creates its client if necessary. It returns false if that
// fails. The caller must hold mu.
func (p *sourceProvider) relaySource(m prober.Member) (follower.NamedSource, bool) {
	c := p.clients[m.Link]
	if c == nil {
		var err error
		if c, err = relayer.NewClient(m.Link, p.keys); err != nil {
			p.log.WithError(err).WithField("event", "relay").Error("failed to create a client for another VM")
			return follower.NamedSource{}, false
		}
		c.Evidence, c.Losses = p.evidence, p.losses
		if p.clients == nil {
			p.clients = make(map[netip.AddrPort]*relayer.Client)
		}
		p.clients[m.Link] = c
	}
	return follower.NamedSource{Name: m.ID, Source: c}, true
}
