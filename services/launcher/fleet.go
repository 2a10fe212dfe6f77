package launcher

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/ebonylock/ebonylock/modules/prober"
	"github.com/ebonylock/ebonylock/modules/selector"
	"github.com/ebonylock/ebonylock/platform/store"
	"github.com/ebonylock/ebonylock/services/follower"
	"github.com/ebonylock/ebonylock/services/replicator"
)

// MembersChanged implements gossiper.Observer.
func (d *Daemon) MembersChanged(_ time.Time, changes []prober.Change) {
	for _, c := range changes {
		d.log.WithFields(logrus.Fields{"event": "vm", "id": c.Member.ID, "state": c.Member.State.String(), "before": c.Before.String()}).Info("VM state changed")
	}
	d.updateMembers()
}

// updateMembers passes the current members of the fleet to all components. A VM that has just started also
// counts those of the fleet record in the store, most of which it has not discovered yet.
func (d *Daemon) updateMembers() {
	d.membersMu.Lock()
	defer d.membersMu.Unlock()
	members := d.gossip.Members()
	d.provider.update(members)
	n, rank := 0, 0
	for _, m := range members {
		// A dead VM counts until it is removed from the members: it may only be partitioned from this VM
		// and still use its share of the common limits.
		if m.State != prober.Left {
			n++
			if m.ID < d.site.VM.ID {
				rank++
			}
		}
	}
	n = max(n, len(d.site.Peers.Seeds))
	if time.Since(d.started) < joinPeriod {
		r := d.enroll.Record()
		n = max(n, r.VMs)
		members = appendRecorded(members, r.Fastest)
	}
	d.roster.Update(gatherCandidates(members), n)
	d.follow.SetVMs(n, rank)
}

// appendRecorded appends the VMs of the fleet record that are not among the members.
func appendRecorded(members, recorded []prober.Member) []prober.Member {
	for _, r := range recorded {
		if !slices.ContainsFunc(members, func(m prober.Member) bool { return m.ID == r.ID }) {
			members = append(members, r)
		}
	}
	return members
}

// observeRecord processes a change of a record that the VMs share.
func (d *Daemon) observeRecord(kind follower.KeyKind, it replicator.Item) {
	switch kind {
	case follower.FleetKey:
		d.enroll.Observe(it)
		// The follower holds its lock during this call, and updateMembers calls the follower.
		go d.updateMembers()
	case follower.LossesKey:
		d.observeLosses(it)
	default:
	}
}

// observeLosses processes the state of the record of losses. The VM is starting until it may have learned the losses
// from the other VMs.
func (d *Daemon) observeLosses(it replicator.Item) {
	now := time.Now()
	d.archive.Observe(it, d.follow.State() == nil || now.Sub(d.started) < joinPeriod, now)
}

// maintainArchive keeps the record of losses in the store up to date. It returns when ctx ends.
func (d *Daemon) maintainArchive(ctx context.Context) {
	ticker := time.NewTicker(archiveInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			if d.follow.Cache.Revision() == 0 {
				continue
			}
			// The copy also shows that a record was lost which this VM wrote, but has not read since.
			d.observeLosses(d.follow.Cache.Item(store.KeyLosses))
			d.archive.WriteIfStale(ctx, d.provider.rank(), now)
		}
	}
}

// maintainRecord writes the fleet record while this VM is the first reader of the store. After a start it
// uses the recorded VMs as additional seeds until joinPeriod is over. It returns when ctx ends.
func (d *Daemon) maintainRecord(ctx context.Context) {
	ticker := time.NewTicker(recordInterval)
	defer ticker.Stop()
	seeded, joined := false, false
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			if r := d.enroll.Record(); !seeded && len(r.Fastest) > 0 {
				seeded = true
				d.setSeeds(appendGossipAddrs(d.site.Peers.Seeds, r.Fastest))
			}
			if now.Sub(d.started) < joinPeriod {
				continue
			}
			if !joined {
				joined = true
				d.setSeeds(d.site.Peers.Seeds)
				d.updateMembers()
			}
			// The copy also shows that a record was lost which this VM wrote, but has not read since.
			d.enroll.Observe(d.follow.Cache.Item(store.KeyFleet))
			if d.provider.rank() == 0 {
				d.enroll.WriteIfStale(ctx, d.gossip.Members(), now)
			}
		}
	}
}

// appendGossipAddrs returns the seeds and the gossip addresses of the recorded VMs.
func appendGossipAddrs(seeds []netip.AddrPort, recorded []prober.Member) []netip.AddrPort {
	out := slices.Clone(seeds)
	for _, m := range recorded {
		out = append(out, m.Gossip)
	}
	return out
}

// gatherCandidates returns the members that may gather parts. It includes suspected VMs, as they may still
// be reachable; a call to one that is not fails.
func gatherCandidates(members []prober.Member) []selector.VM {
	var out []selector.VM
	for _, m := range members {
		if m.State <= prober.Suspect && !m.Draining {
			out = append(out, selector.VM{ID: m.ID, DataCentre: m.DataCentre, Link: m.Link, Capacity: m.Capacity})
		}
	}
	return out
}

// seedMembers returns the VMs at the seed addresses, except this VM, whose link address is self. All VMs
// listen on the same link port.
func seedMembers(seeds []netip.AddrPort, self netip.AddrPort) []prober.Member {
	var out []prober.Member
	for _, s := range seeds {
		link := netip.AddrPortFrom(s.Addr(), self.Port())
		if link != self {
			out = append(out, prober.Member{ID: "seed-" + s.Addr().String(), Link: link})
		}
	}
	return out
}
