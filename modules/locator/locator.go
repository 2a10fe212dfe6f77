// Package locator determines where the backend servers are, which of them may be used, and
// which entry VM owns each.
package locator

import (
	"cmp"
	"maps"
	"slices"

	"github.com/ebonylock/ebonylock/modules/assigner"
	"github.com/ebonylock/ebonylock/modules/lister"
	"github.com/ebonylock/ebonylock/modules/planner"
	"github.com/ebonylock/ebonylock/modules/prober"
)

// View is a consistent snapshot of the fleet. It is immutable.
type View struct {
	// Self is the ID of this VM.
	Self string
	// Config is the configuration in force.
	Config planner.Config
	// VMs are the alive and suspect members by ID.
	VMs map[string]prober.Member
	// Servers are all backend servers of the platform's list by ID.
	Servers map[string]lister.BackendServer
	// Usable lists, by service, the sorted IDs of the servers that may get new requests.
	Usable map[string][]string
	// Owners maps a server ID to the ID of the VM that owns the server. A server without an
	// entry can't be reached at present.
	Owners map[string]string
	// Shares is, by data centre, the number of VMs that may own one of its servers at the same
	// time, each with an equal part of the slots. It is negative where this side of a partition
	// must not own any.
	Shares map[string]int
}

// Input holds the data from which a View is built.
type Input struct {
	Self    string
	Config  planner.Config
	Members []prober.Member
	List    lister.List
}

// Build returns the View for in.
func Build(in Input) *View {
	v := &View{
		Self:    in.Self,
		Config:  in.Config,
		VMs:     make(map[string]prober.Member),
		Servers: make(map[string]lister.BackendServer, len(in.List.BackendServers)),
		Usable:  make(map[string][]string),
		Shares:  make(map[string]int),
	}
	for _, m := range in.Members {
		if m.State < prober.Dead {
			v.VMs[m.ID] = m
		}
	}
	listed := countVMs(in)
	v.setShares(listed)
	var servers []assigner.Server
	for _, s := range in.List.BackendServers {
		v.Servers[s.ID] = s
		if s.Leaving || in.Config.IsOut(s.DataCentre) {
			continue
		}
		v.Usable[s.Service] = append(v.Usable[s.Service], s.ID)
		if v.assignable(s.DataCentre, listed) {
			servers = append(servers, assigner.Server{ID: s.ID, DataCentre: s.DataCentre})
		}
	}
	for _, ids := range v.Usable {
		slices.Sort(ids)
	}
	v.Owners = assigner.Assign(v.nodes(), servers)
	return v
}

// countVMs counts, by data centre, the VMs that may be alive: those listed and not leaving, and
// the alive and suspect members, without the members that have left.
func countVMs(in Input) map[string]int {
	ids := make(map[string]string)
	for _, vm := range in.List.VMs {
		if !vm.Leaving {
			ids[vm.ID] = vm.DataCentre
		}
	}
	for _, m := range in.Members {
		switch {
		case m.State == prober.Left:
			delete(ids, m.ID)
		case m.State < prober.Dead:
			ids[m.ID] = m.DataCentre
		}
	}
	count := make(map[string]int)
	for _, dc := range ids {
		count[dc]++
	}
	return count
}

// setShares compares the VMs in the view with those that may be alive. A side of a partition
// that sees more than half of them is the only one to own the data centre's servers. Two sides
// of equal size get half of the slots each. A smaller side gets none.
func (v *View) setShares(listed map[string]int) {
	seen := make(map[string]int)
	for _, m := range v.VMs {
		seen[m.DataCentre]++
	}
	for dc, n := range listed {
		switch {
		case 2*seen[dc] > n:
			v.Shares[dc] = 1
		case 2*seen[dc] == n:
			v.Shares[dc] = 2
		default:
			v.Shares[dc] = -1
		}
	}
}

// assignable reports whether this side of a partition may assign owners to the servers of the
// data centre. VMs of other data centres take them over only once the data centre has no VM left
// that may be alive.
func (v *View) assignable(dc string, listed map[string]int) bool {
	return listed[dc] == 0 || v.Shares[dc] > 0
}

func (v *View) nodes() []assigner.Node {
	var nodes []assigner.Node
	for _, id := range slices.Sorted(maps.Keys(v.VMs)) {
		if m := v.VMs[id]; !m.Draining {
			nodes = append(nodes, assigner.Node{ID: id, DataCentre: m.DataCentre})
		}
	}
	return nodes
}

// Owned returns the servers owned by this VM, sorted by ID.
func (v *View) Owned() []lister.BackendServer {
	var out []lister.BackendServer
	for id, owner := range v.Owners {
		if owner == v.Self {
			out = append(out, v.Servers[id])
		}
	}
	slices.SortFunc(out, func(a, b lister.BackendServer) int { return cmp.Compare(a.ID, b.ID) })
	return out
}
