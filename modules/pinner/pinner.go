// Package pinner selects the index generation that a query reads.
package pinner

import (
	"slices"
	"sync"
	"time"
)

// Generation is an index generation with the partitions that a service holds in it.
type Generation struct {
	Number     uint64
	Partitions []string
}

// Registry records which server holds which generations. The zero value is ready to use.
type Registry struct {
	mu sync.RWMutex
	// servers is keyed by server ID.
	servers map[string]serverState
	// partitions maps service and generation to the last known partitions.
	partitions map[string]map[uint64][]string
}

type serverState struct {
	service string
	// generations is sorted in descending order.
	generations []uint64
	updated     time.Time
}

// maxGenerations is the number of generations per service whose partitions are kept.
const maxGenerations = 8

// Update records the generations that a server holds. It changes nothing if their numbers are
// the recorded ones.
func (r *Registry) Update(server, service string, generations []Generation, now time.Time) {
	if r.unchanged(server, generations) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.servers == nil {
		r.servers = make(map[string]serverState)
		r.partitions = make(map[string]map[uint64][]string)
	}
	if r.partitions[service] == nil {
		r.partitions[service] = make(map[uint64][]string)
	}
	state := serverState{service: service, updated: now}
	for _, g := range generations {
		state.generations = append(state.generations, g.Number)
		r.partitions[service][g.Number] = g.Partitions
	}
	slices.SortFunc(state.generations, newestFirst)
	r.servers[server] = state
	r.trimPartitions(service)
}

func newestFirst(x, y uint64) int {
	switch {
	case x > y:
		return -1
	case x < y:
		return 1
	}
	return 0
}

// unchanged reports whether exactly these generation numbers are recorded, in any order.
func (r *Registry) unchanged(server string, generations []Generation) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	state, ok := r.servers[server]
	if !ok || len(state.generations) != len(generations) {
		return false
	}
	for _, g := range generations {
		if !slices.Contains(state.generations, g.Number) {
			return false
		}
	}
	return true
}

func (r *Registry) trimPartitions(service string) {
	partitions := r.partitions[service]
	for len(partitions) > maxGenerations {
		oldest := ^uint64(0)
		for n := range partitions {
			oldest = min(oldest, n)
		}
		delete(partitions, oldest)
	}
}

// Remove deletes the record of a server.
func (r *Registry) Remove(server string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.servers, server)
}

// Known reports whether a server is recorded.
func (r *Registry) Known(server string) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	_, ok := r.servers[server]
	return ok
}

// Holds reports whether the server is recorded as holding generation.
func (r *Registry) Holds(server string, generation uint64) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return slices.Contains(r.servers[server].generations, generation)
}

// Partitions returns the partitions of a service in a generation, or nil if unknown.
func (r *Registry) Partitions(service string, generation uint64) []string {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.partitions[service][generation]
}

// Pin returns the generation below limit that the most services hold on at least one of the
// given servers, and the newest one if several qualify. The keys of servers are services and
// the values are the IDs of usable servers. A limit of 0 means no limit. Pin returns 0 if no
// generation qualifies.
func (r *Registry) Pin(servers map[string][]string, limit uint64) uint64 {
	r.mu.RLock()
	defer r.mu.RUnlock()
	holders := make(map[uint64]int)
	for _, ids := range servers {
		var generations []uint64
		for _, id := range ids {
			generations = append(generations, r.servers[id].generations...)
		}
		slices.Sort(generations)
		for _, n := range slices.Compact(generations) {
			if limit == 0 || n < limit {
				holders[n]++
			}
		}
	}
	var best uint64
	for n, count := range holders {
		if best == 0 || count > holders[best] || (count == holders[best] && n > best) {
			best = n
		}
	}
	return best
}
