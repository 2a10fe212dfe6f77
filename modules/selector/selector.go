// Package selector chooses the gatherers: the VMs that send requests to replicas on behalf of all
// other VMs.
//
// A replica accepts a bounded number of connections. If that is enough for a few connections from
// each VM of the fleet, all VMs send to the replicas directly. Otherwise only a few VMs of each data
// centre do, those with the fastest links. They hold the connections, limits and statistics that the
// other VMs share.
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
	// minDirectConns is the number of connections to a replica that each VM must be able to open for
	// all VMs to send directly: one in use and one for a second request.
	minDirectConns = 2
	// minGathererConns is the number of connections to a replica that each gatherer gets at least, if
	// the replicas accept that many.
	minGathererConns = 4
	// minGatherers is the minimum number of gatherers of a data centre, so that one may fail.
	minGatherers = 2
	// minCapacityShare is the minimum link speed of a gatherer, as a share of the fastest link in its
	// data centre.
	minCapacityShare = 0.5
)

// VM is a candidate for gatherer.
type VM struct {
	ID         string
	DataCentre string
	// Link is the address for calls from other VMs.
	Link netip.AddrPort
	// Capacity is the speed of the network link in Mbit/s; 0 if unknown.
	Capacity uint64
}

// Selection is the set of gatherers. It is immutable.
type Selection struct {
	// Direct is true if all VMs send to the replicas directly. The other fields are empty then.
	Direct bool
	// ByDataCentre holds the gatherers of each data centre, at least one each.
	ByDataCentre map[string][]VM
	// Total is the number of gatherers.
	Total int
}

// IsGatherer reports whether the VM with this ID is a gatherer.
func (s *Selection) IsGatherer(id string) bool {
	for _, list := range s.ByDataCentre {
		if slices.ContainsFunc(list, func(v VM) bool { return v.ID == id }) {
			return true
		}
	}
	return false
}

// Rank returns the place of a gatherer among all of them in the order of their IDs, from 0. It is -1 for a
// VM that is no gatherer.
func (s *Selection) Rank(id string) int {
	if !s.IsGatherer(id) {
		return -1
	}
	rank := 0
	for _, list := range s.ByDataCentre {
		for _, v := range list {
			if v.ID < id {
				rank++
			}
		}
	}
	return rank
}

// Select chooses gatherers among vms for replicas that accept conns connections from all of them.
// total is the number of VMs in the fleet, if it is larger than len(vms). The result depends only on
// the arguments, not on the order of vms, so that VMs with the same view choose the same gatherers.
func Select(vms []VM, total, conns int) *Selection {
	if len(vms) == 0 || conns >= minDirectConns*max(len(vms), total) {
		return &Selection{Direct: true}
	}
	byDC := make(map[string][]VM)
	for _, v := range vms {
		byDC[v.DataCentre] = append(byDC[v.DataCentre], v)
	}
	perDC := max(conns/minGathererConns/len(byDC), minGatherers)
	out := &Selection{ByDataCentre: byDC}
	for dc, list := range byDC {
		byDC[dc] = fastest(list, perDC)
		out.Total += len(byDC[dc])
	}
	return out
}

// fastest returns up to limit of the VMs of one data centre, fastest links first.
func fastest(list []VM, limit int) []VM {
	slices.SortFunc(list, func(a, b VM) int {
		return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(xxhash.Sum64String(a.ID), xxhash.Sum64String(b.ID)), cmp.Compare(a.ID, b.ID))
	})
	minCapacity := minCapacityShare * float64(list[0].Capacity)
	n := 0
	for n < len(list) && (float64(list[n].Capacity) >= minCapacity || n < minGatherers) {
		n++
	}
	return slices.Clip(list[:min(n, limit)])
}

// Order sorts a copy of vms by weighted rendezvous hashing (Thaler and Ravishankar, 1998) for key.
// Each key has its own order, which stays the same for the remaining VMs when others join or leave. A
// VM comes first for a share of the keys that is proportional to the speed of its link.
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
	// u is the hash mapped to the open interval (0, 1).
	u := (float64(xxhash.Sum64String(v.ID+"\x00"+key)>>11) + 0.5) / (1 << 53)
	return max(float64(v.Capacity), 1) / -math.Log(u)
}

// Roster holds the VMs of the fleet and caches the selections among them. The zero value is empty. It
// is safe for concurrent use.
type Roster struct {
	mu         sync.Mutex
	vms        []VM
	total      int
	selections map[int]*Selection
}

// Update replaces the VMs. total is the number of VMs in the fleet, if it is larger than len(vms).
func (r *Roster) Update(vms []VM, total int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.vms, r.total, r.selections = vms, total, nil
}

// Select returns the selection for replicas that accept conns connections.
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
