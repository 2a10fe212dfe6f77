// Package assigner assigns each backend server to one owner among the live entry VMs.
//
// The method is rendezvous hashing (Thaler and Ravishankar, 1998) with bounded loads
// (Mirrokni, Thorup and Zadimoghaddam, 2018): a server goes to the VM with the highest
// hash that is below the load bound. All VMs with the same view compute the same owners.
package assigner

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// loadFactor is the load bound: the number of servers of a data centre that a VM may own, as a multiple
// of the mean.
const loadFactor = 1.25

// Node is an entry VM that may own servers.
type Node struct {
	ID         string
	DataCentre string
}

// Server is a backend server that needs an owner.
type Server struct {
	ID         string
	DataCentre string
}

// Assign returns the ID of the owner for each server ID. The owner is in the data centre of the server
// if that has a node, else in any data centre. Without nodes the map is empty.
func Assign(nodes []Node, servers []Server) map[string]string {
	owners := make(map[string]string, len(servers))
	if len(nodes) == 0 {
		return owners
	}
	local := make(map[string][]Node)
	for _, n := range nodes {
		local[n.DataCentre] = append(local[n.DataCentre], n)
	}
	byDC := make(map[string][]Server)
	for _, s := range servers {
		byDC[s.DataCentre] = append(byDC[s.DataCentre], s)
	}
	for dc, group := range byDC {
		candidates := local[dc]
		if len(candidates) == 0 {
			candidates = nodes
		}
		assignGroup(candidates, group, owners)
	}
	return owners
}

func assignGroup(nodes []Node, servers []Server, owners map[string]string) {
	servers = slices.Clone(servers)
	slices.SortFunc(servers, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
	bound := int(loadFactor*float64(len(servers))/float64(len(nodes))) + 1
	load := make(map[string]int, len(nodes))
	for _, s := range servers {
		id := pickOwner(nodes, s.ID, load, bound)
		owners[s.ID] = id
		load[id]++
	}
}

func pickOwner(nodes []Node, server string, load map[string]int, bound int) string {
	var id string
	var highest uint64
	for _, n := range nodes {
		if load[n.ID] >= bound {
			continue
		}
		h := xxhash.Sum64String(server + "\x00" + n.ID)
		if id == "" || h > highest || (h == highest && n.ID < id) {
			id, highest = n.ID, h
		}
	}
	return id
}
