// Package router looks up the route of a request in one version of the configuration.
package router

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"
)

// Share is the share of a route's requests that one service gets.
type Share struct {
	Service string
	// Weight is relative to the other shares of the route and at least 0.
	Weight float64
}

// Route describes how the requests of one host and path prefix are served.
type Route struct {
	Name string
	// Host is in lower case, without a port.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// Shares are the services among which single requests are split. It is empty if Shards is not.
	Shares []Share
	// Shards names the services that each return a part of the answer.
	Shards []string
	// Idempotent is true if a request may run more than once.
	Idempotent bool
	// Timeout is the time after which a caller gets an answer at the latest.
	Timeout time.Duration
	// TargetLatency is the time within which an answer has its full value.
	TargetLatency time.Duration
	// MaxAttempts is the maximum number of replicas that run one request, for each shard.
	MaxAttempts int
	// Priority is the rank among routes; 0 is the most urgent.
	Priority int
	// TopK is the number of records in an answer that is merged from shards.
	TopK int
	// MinShardShare is the minimum share of shards that an answer must contain, from 0 to 1.
	MinShardShare float64
}

// Service is the configuration of a service.
type Service struct {
	Name string
	// MaxConns is the number of connections that a replica accepts from all VMs; 0 means no limit.
	MaxConns int
	// WarmupPerSecond is the number of requests per second that a cold replica can serve; 0 means no
	// limit.
	WarmupPerSecond float64
}

// Limits are the limits on requests and connections of callers.
type Limits struct {
	// MaxHeader and MaxBody are in bytes; 0 means no limit.
	MaxHeader, MaxBody int
	// HeaderTimeout is the time within which the header of a request must arrive.
	HeaderTimeout time.Duration
	// IdleTimeout is the time for which a connection may stay open without a request.
	IdleTimeout time.Duration
}

// Config is one version of the configuration.
type Config struct {
	// Version orders configurations; a higher one is newer.
	Version  uint64
	Routes   []Route
	Services map[string]Service
	Limits   Limits
}

// Table is the route table of one Config. It is safe for concurrent use.
type Table struct {
	Config Config
	// hosts holds the routes of each host, longest prefix first.
	hosts map[string][]*routeState
}

// routeState is a route with the state of its traffic split.
type routeState struct {
	Route
	mu sync.Mutex
	// currentWeights are those of smooth weighted round robin, one for each share.
	currentWeights []float64
}

// New returns the route table of cfg.
func New(cfg Config) *Table {
	t := &Table{Config: cfg, hosts: make(map[string][]*routeState)}
	for _, r := range cfg.Routes {
		e := &routeState{Route: r, currentWeights: make([]float64, len(r.Shares))}
		for i, s := range r.Shares {
			// A random initial weight keeps the VMs from choosing the same service at the same time after
			// a change of the configuration.
			e.currentWeights[i] = s.Weight * rand.Float64()
		}
		t.hosts[r.Host] = append(t.hosts[r.Host], e)
	}
	for _, routes := range t.hosts {
		slices.SortStableFunc(routes, func(a, b *routeState) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return t
}

// Match returns the route of a request, or nil if there is none. The longest matching prefix wins.
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

// Match is the route that was found for a request.
type Match struct {
	*Route
	entry *routeState
}

// Service returns the service for the next single request of the route, chosen by smooth weighted
// round robin. It is empty for a route without shares, or with several that all have weight 0.
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
		e.currentWeights[i] += s.Weight
		if best < 0 || e.currentWeights[i] > e.currentWeights[best] {
			best = i
		}
	}
	if best < 0 {
		return ""
	}
	e.currentWeights[best] -= total
	return e.Shares[best].Service
}
