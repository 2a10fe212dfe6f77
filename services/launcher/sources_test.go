package launcher

import (
	"bytes"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/ebonylock/ebonylock/modules/prober"
	"github.com/ebonylock/ebonylock/services/follower"
)

// fleet has n VMs in each of three data centres, of which two have fast links.
func fleet(n int) []prober.Member {
	var out []prober.Member
	for dc := range 3 {
		for i := range n {
			m := prober.Member{
				ID: fmt.Sprintf("dc-%d-%d", dc, i), DataCentre: fmt.Sprintf("dc-%d", dc), Capacity: 20,
				Link: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(dc), byte(i)}), 1),
			}
			if i < 2 {
				m.Capacity = 200
			}
			out = append(out, m)
		}
	}
	return out
}

func guideOf(members []prober.Member, self prober.Member) *guide {
	g := &guide{self: self.ID, dataCentre: self.DataCentre, keys: [][]byte{bytes.Repeat([]byte{1}, 32)}}
	g.update(members)
	return g
}

func dataCentreOf(s follower.NamedSource) string {
	return s.Name[:len("dc-0")]
}

// TestFollowersStayNear is the pattern of a large fleet that learns of the store through two VMs: in
// each data centre only two others follow these, and the rest follows them.
func TestFollowersStayNear(t *testing.T) {
	is := is.New(t)
	members := fleet(25)
	readers, far := 0, 0
	for _, m := range members {
		g := guideOf(members, m)
		first, second := g.Sources(0), g.Sources(1)
		switch {
		case first[0].IsStore:
			readers++
			continue
		case dataCentreOf(first[0]) != m.DataCentre:
			far++
		}
		is.True(first[0].Name != second[0].Name)
		is.Equal(len(first), len(second)+1)
		is.True(first[len(first)-1].IsStore) // the last resort
	}
	is.Equal(readers, 2)
	is.True(far <= 3*hubs)
}

// TestFollowersInASmallFleet checks that a fleet of a few VMs has no hubs.
func TestFollowersInASmallFleet(t *testing.T) {
	is := is.New(t)
	members := fleet(3)
	for _, m := range members {
		is.True(guideOf(members, m).near() == nil)
	}
}

// TestFirstReadIsLeftToTheSeeds is the pattern of hundreds of VMs that start together for the first
// time: the store is read by the seeds, and by the others only if these do not answer.
func TestFirstReadIsLeftToTheSeeds(t *testing.T) {
	is := is.New(t)
	members := fleet(1)
	link := func(m prober.Member) netip.AddrPort { return m.Link }
	seeds := []netip.AddrPort{link(members[0]), link(members[1])}
	is.Equal(len(seedMembers(seeds, link(members[0]))), 1)
	g := guideOf(members[2:], members[2])
	g.seeds = seedMembers(seeds, link(members[2]))
	is.Equal(len(g.seeds), 2)
	g.patient = true
	list := g.Sources(0)
	is.Equal(len(list), 3)
	is.True(list[2].IsStore && list[2].BootstrapDelay == seedTime)
	is.True(list[0].BootstrapOnly && list[1].BootstrapOnly && !list[2].BootstrapOnly)
	g.patient = false // it starts again, and callers may wait
	is.Equal(g.Sources(0)[2].BootstrapDelay, time.Duration(0))
}

// TestHubLeaves is the pattern of a VM that others follow and that is gone: another one takes its
// place.
func TestHubLeaves(t *testing.T) {
	is := is.New(t)
	members := fleet(25)
	self := members[24]
	g := guideOf(members, self)
	lost := g.Sources(0)[0].Name
	for i := range members {
		if members[i].ID == lost {
			members[i].State = prober.Dead
		}
	}
	g.update(members)
	is.True(g.Sources(0)[0].Name != lost)
	is.Equal(dataCentreOf(g.Sources(0)[0]), self.DataCentre)
	is.Equal(dataCentreOf(g.Sources(1)[0]), self.DataCentre)
}
