// Package router finds the route of a request in one version of the configuration.
package router

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"
)

// Share is the part of a route's requests that one service gets.
type Share struct {
	Service string
	// Weight is relative to the other shares of the route and never below 0.
	Weight float64
}

// Route says how the requests of one host and path prefix are served.
type Route struct {
	Name string
	// Host is in lower case, without a port.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// Shares name the services for single requests. It is empty when Shards is not.
	Shares []Share
	// Shards name the services of which each gives a part of the answer.
	Shards []string
	// Idempotent requests may run more than once.
	Idempotent bool
	// Timeout is the longest time for which a caller is kept waiting.
	Timeout time.Duration
	// TargetLatency is the time within which an answer has its full value.
	TargetLatency time.Duration
	// MaxAttempts is the number of replicas that may run one request, for each shard.
	MaxAttempts int
	// Priority is the rank among routes, 0 the most urgent.
	Priority int
	// TopK is the number of records in an answer over shards.
	TopK int
	// MinShardShare is the least share of shards in an answer, from 0 to 1.
	MinShardShare float64
}

// Service is what the configuration says of a service.
type Service struct {
	Name string
	// MaxConns is the number of connections that a replica takes from all VMs; 0 for no limit.
	MaxConns int
	// WarmupPerSecond is the number of requests that a cold replica bears; 0 for no limit.
	WarmupPerSecond float64
}

// Limits bound what callers may send.
type Limits struct {
	// MaxHeader and MaxBody are in bytes; 0 for no limit.
	MaxHeader, MaxBody int
	// HeaderTimeout is the time for a request's head.
	HeaderTimeout time.Duration
	// IdleTimeout is the time for which a connection may stay without a request.
	IdleTimeout time.Duration
}

// Config is one version of the configuration.
type Config struct {
	// Version orders configurations.
	Version  uint64
	Routes   []Route
	Services map[string]Service
	Limits   Limits
}

// Table looks up routes. It belongs to one Config and is safe for concurrent use.
type Table struct {
	Config Config
	// hosts holds the routes of each host, longest prefix first.
	hosts map[string][]*entry
}

// entry is a route with the state of its split.
type entry struct {
	Route
	mu sync.Mutex
	// credits are those of smooth weighted round robin, one for each share.
	credits []float64
}

// New returns the Table of cfg.
func New(cfg Config) *Table {
	t := &Table{Config: cfg, hosts: make(map[string][]*entry)}
	for _, r := range cfg.Routes {
		e := &entry{Route: r, credits: make([]float64, len(r.Shares))}
		for i, s := range r.Shares {
			// A random phase keeps VMs from choosing in step after a change.
			e.credits[i] = s.Weight * rand.Float64()
		}
		t.hosts[r.Host] = append(t.hosts[r.Host], e)
	}
	for _, routes := range t.hosts {
		slices.SortStableFunc(routes, func(a, b *entry) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return t
}

// Match returns the route of a request, nil if there is none.
func (t *Table) Match(host, path string) *Match {
	for _, e := range t.hosts[Host(host)] {
		if strings.HasPrefix(path, e.Prefix) {
			return &Match{Route: &e.Route, entry: e}
		}
	}
	return nil
}

// Host returns a host name in lower case without its port.
func Host(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// Match is the route of one request.
type Match struct {
	*Route
	entry *entry
}

// Service returns the service for the next single request of the route, by smooth weighted
// round robin; empty for a route without a service.
func (m *Match) Service() string {
	e := m.entry
	if len(e.Shares) == 1 {
		return e.Shares[0].Service
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	total, best := 0.0, -1
	for i, s := range e.Shares {
		if s.Weight <= 0 {
			continue
		}
		total += s.Weight
		e.credits[i] += s.Weight
		if best < 0 || e.credits[i] > e.credits[best] {
			best = i
		}
	}
	if best < 0 {
		return ""
	}
	e.credits[best] -= total
	return e.Shares[best].Service
}
