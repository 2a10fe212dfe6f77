package launcher

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/ebonylock/ebonylock/modules/prober"
	"github.com/ebonylock/ebonylock/modules/selector"
)

// MembersChanged implements gossiper.Observer.
func (d *Daemon) MembersChanged(_ time.Time, changes []prober.Change) {
	for _, c := range changes {
		d.log.WithFields(logrus.Fields{"event": "vm", "id": c.Member.ID, "state": c.Member.State.String(), "before": c.Before.String()}).Info("belief about a VM changed")
	}
	d.count()
}

// count tells all parts of the VMs that there are. A VM that has just started also counts those of
// the record in the store, most of which it has not heard of yet.
func (d *Daemon) count() {
	d.counting.Lock()
	defer d.counting.Unlock()
	members := d.gossip.Members()
	d.guide.update(members)
	n := 0
	for _, m := range members {
		// A dead VM counts until it is forgotten, as it may only be cut off from this one.
		if m.State != prober.Left {
			n++
		}
	}
	n = max(n, len(d.site.Peers.Seeds))
	if time.Since(d.started) < joinTime {
		r := d.enroll.Record()
		n = max(n, r.VMs)
		members = withRecorded(members, r.Fastest)
	}
	d.roster.Update(gatherers(members), n)
	d.follow.SetVMs(n)
}

// withRecorded adds the recorded VMs that are not among the members.
func withRecorded(members, recorded []prober.Member) []prober.Member {
	for _, r := range recorded {
		if !slices.ContainsFunc(members, func(m prober.Member) bool { return m.ID == r.ID }) {
			members = append(members, r)
		}
	}
	return members
}

// keepRecord writes the record of the fleet where this VM is the first reader of the store, and takes
// the recorded VMs for seeds after a start, until ctx ends.
func (d *Daemon) keepRecord(ctx context.Context) {
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
				d.setSeeds(withGossip(d.site.Peers.Seeds, r.Fastest))
			}
			if now.Sub(d.started) < joinTime {
				continue
			}
			if !joined {
				joined = true
				d.setSeeds(d.site.Peers.Seeds)
				d.count()
			}
			if d.guide.leads() {
				d.enroll.WriteIfStale(ctx, d.gossip.Members(), now)
			}
		}
	}
}

func withGossip(seeds []netip.AddrPort, recorded []prober.Member) []netip.AddrPort {
	out := slices.Clone(seeds)
	for _, m := range recorded {
		out = append(out, m.Gossip)
	}
	return out
}

// gatherers returns the members that may gather parts. A VM in doubt stays among them, as others may
// reach it; calls find out.
func gatherers(members []prober.Member) []selector.VM {
	var out []selector.VM
	for _, m := range members {
		if m.State <= prober.Suspect && !m.Draining {
			out = append(out, selector.VM{ID: m.ID, DataCentre: m.DataCentre, Link: m.Link, Capacity: m.Capacity})
		}
	}
	return out
}

// seedMembers returns the VMs of the seeds without the one at the address self; all VMs listen on the
// same port.
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
