// Package pinner chooses the index generation that a query reads.
package pinner

import (
	"slices"
	"sync"
	"time"
)

// Generation is a generation with the partitions that one service holds in it.
type Generation struct {
	Number     uint64
	Partitions []string
}

// Registry knows which server holds which generations. The zero value is ready for use.
type Registry struct {
	mu sync.RWMutex
	// servers is keyed by server ID.
	servers map[string]entry
	// tables holds the last known partitions per service and generation.
	tables map[string]map[uint64][]string
}

type entry struct {
	service string
	// held is sorted, newest first.
	held []uint64
	seen time.Time
}

// keptTables is the number of generations whose partition table is kept per service.
const keptTables = 8

// Update takes in the generations that a server holds.
func (b *Registry) Update(server, service string, held []Generation, now time.Time) {
	if b.current(server, held) {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.servers == nil {
		b.servers = make(map[string]entry)
		b.tables = make(map[string]map[uint64][]string)
	}
	if b.tables[service] == nil {
		b.tables[service] = make(map[uint64][]string)
	}
	e := entry{service: service, seen: now}
	for _, g := range held {
		e.held = append(e.held, g.Number)
		b.tables[service][g.Number] = g.Partitions
	}
	slices.SortFunc(e.held, newestFirst)
	b.servers[server] = e
	b.trim(service)
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

// current reports whether the book holds just these generations, in the same order.
func (b *Registry) current(server string, held []Generation) bool {
	b.mu.RLock()
	defer b.mu.RUnlock()
	e, ok := b.servers[server]
	if !ok || len(e.held) != len(held) {
		return false
	}
	for _, g := range held {
		if !slices.Contains(e.held, g.Number) {
			return false
		}
	}
	return true
}

func (b *Registry) trim(service string) {
	t := b.tables[service]
	for len(t) > keptTables {
		oldest := ^uint64(0)
		for n := range t {
			oldest = min(oldest, n)
		}
		delete(t, oldest)
	}
}

// Remove drops what is known of a server.
func (b *Registry) Remove(server string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.servers, server)
}

// Known reports whether anything is known of a server.
func (b *Registry) Known(server string) bool {
	b.mu.RLock()
	defer b.mu.RUnlock()
	_, ok := b.servers[server]
	return ok
}

// Holds reports whether the server was last known to hold generation.
func (b *Registry) Holds(server string, generation uint64) bool {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return slices.Contains(b.servers[server].held, generation)
}

// Partitions returns the partitions of a service in a generation, nil if not known.
func (b *Registry) Partitions(service string, generation uint64) []string {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.tables[service][generation]
}

// Pin returns the newest generation below the limit that most services hold on at
// least one of the usable servers; servers is keyed by service. A limit of 0 stands for none. It
// returns 0 when nothing is known.
func (b *Registry) Pin(servers map[string][]string, below uint64) uint64 {
	b.mu.RLock()
	defer b.mu.RUnlock()
	holders := make(map[uint64]int)
	for _, ids := range servers {
		var seen []uint64
		for _, id := range ids {
			seen = append(seen, b.servers[id].held...)
		}
		slices.Sort(seen)
		for _, n := range slices.Compact(seen) {
			if below == 0 || n < below {
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
