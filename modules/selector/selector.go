// Package selector chooses the VMs that gather parts of replicas for all others.
//
// A replica takes a bounded number of connections. Where that leaves each VM of the fleet a few,
// all VMs send to the replicas themselves. Otherwise a few VMs of each data centre do, those with
// the fastest links, and hold the connections, limits and evidence that are shared.
package selector

import (
	"cmp"
	"math"
	"net/netip"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
)

const (
	// directConns is the number of connections of each VM to a replica from which on all VMs send
	// themselves: one in use and one for a second request.
	directConns = 2
	// gathererConns is the least number of connections of each gatherer to a replica, where the
	// replicas take as many.
	gathererConns = 4
	// leastGatherers is the number of gatherers of a data centre, so that one may fail.
	leastGatherers = 2
	// capable is the share of the fastest link in its data centre that a gatherer has.
	capable = 0.5
)

// VM is one that may gather.
type VM struct {
	ID         string
	DataCentre string
	// Link is the address for calls of other VMs.
	Link netip.AddrPort
	// Capacity is the speed of the network link in Mbit/s; 0 if unknown.
	Capacity uint64
}

// Selection says which VMs gather. It never changes.
type Selection struct {
	// Direct is true when all VMs send to the replicas themselves; the other fields are empty then.
	Direct bool
	// ByDataCentre holds the gatherers of each data centre, of which there is at least one.
	ByDataCentre map[string][]VM
	// Total is the number of gatherers.
	Total int
}

// IsGatherer reports whether a VM is among the gatherers.
func (s *Selection) IsGatherer(id string) bool {
	for _, list := range s.ByDataCentre {
		if slices.ContainsFunc(list, func(v VM) bool { return v.ID == id }) {
			return true
		}
	}
	return false
}

// Select chooses among vms for replicas that take conns connections from all of them; total is the
// number of VMs, if more than the known ones. VMs that know the same choose the same.
func Select(vms []VM, total, conns int) *Selection {
	if len(vms) == 0 || conns >= directConns*max(len(vms), total) {
		return &Selection{Direct: true}
	}
	byDC := make(map[string][]VM)
	for _, v := range vms {
		byDC[v.DataCentre] = append(byDC[v.DataCentre], v)
	}
	most := max(conns/gathererConns/len(byDC), leastGatherers)
	out := &Selection{ByDataCentre: byDC}
	for dc, list := range byDC {
		byDC[dc] = fastest(list, most)
		out.Total += len(byDC[dc])
	}
	return out
}

// fastest returns up to most of the VMs of one data centre.
func fastest(list []VM, most int) []VM {
	slices.SortFunc(list, func(a, b VM) int {
		return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(xxhash.Sum64String(a.ID), xxhash.Sum64String(b.ID)), cmp.Compare(a.ID, b.ID))
	})
	least := capable * float64(list[0].Capacity)
	n := 0
	for n < len(list) && (float64(list[n].Capacity) >= least || n < leastGatherers) {
		n++
	}
	return slices.Clip(list[:min(n, most)])
}

// Order sorts vms by weighted rendezvous hashing (Thaler and Ravishankar, 1998) for key: each key has
// its own order and keeps it when other VMs come and go, and a VM comes first in proportion to the
// speed of its link.
func Order(vms []VM, key string) []VM {
	out := slices.Clone(vms)
	scores := make(map[string]float64, len(out))
	for _, v := range out {
		scores[v.ID] = score(v, key)
	}
	slices.SortFunc(out, func(a, b VM) int {
		return cmp.Or(cmp.Compare(scores[b.ID], scores[a.ID]), cmp.Compare(a.ID, b.ID))
	})
	return out
}

func score(v VM, key string) float64 {
	// The hash as a number between 0 and 1, both left out.
	u := (float64(xxhash.Sum64String(v.ID+"\x00"+key)>>11) + 0.5) / (1 << 53)
	return max(float64(v.Capacity), 1) / -math.Log(u)
}

// Roster holds the VMs of the fleet and the selections among them. The zero value knows none.
type Roster struct {
	mu         sync.Mutex
	vms        []VM
	total      int
	selections map[int]*Selection
}

// Update replaces the VMs; total is their number, if more than these.
func (r *Roster) Update(vms []VM, total int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.vms, r.total, r.selections = vms, total, nil
}

// Select returns the selection for replicas that take conns connections.
func (r *Roster) Select(conns int) *Selection {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.selections[conns]
	if s == nil {
		s = Select(r.vms, r.total, conns)
		if r.selections == nil {
			r.selections = make(map[int]*Selection)
		}
		r.selections[conns] = s
	}
	return s
}
