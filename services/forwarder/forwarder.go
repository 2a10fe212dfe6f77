package forwarder

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/ebonylock/ebonylock/modules/budgeter"
	"github.com/ebonylock/ebonylock/modules/ranker"
	"github.com/ebonylock/ebonylock/modules/registrar"
	"github.com/ebonylock/ebonylock/modules/router"
)

// Config sets up a Forwarder.
type Config struct {
	// DataCentre is that of this VM.
	DataCentre string
	// RetryRatio is the number of extra sends that each request to a service pays for.
	RetryRatio float64
	// RetrySlack is the number of extra sends that all VMs together have besides.
	RetrySlack float64
	// CallerDelay is the time from a VM to a caller, one way.
	CallerDelay time.Duration
}

const (
	// defaultPatience is the time for a request of a caller that did not say how long it waits.
	defaultPatience = 10 * time.Second
	// unknownRetry is the advice to come back when a configuration or replicas are missing.
	unknownRetry = 250 * time.Millisecond
	// slackShare is the part of the slack of the retry budget that is used. The rest covers
	// VMs that have just started or have not heard of each other.
	slackShare = 0.7
	// ratioShare is the part of the ratio of the retry budget that is used.
	ratioShare = 0.9
	// connShare is the part of a replica's connections that the VMs share.
	connShare = 0.9
	// distance is what a replica of another data centre has to be faster by, in place of the
	// price of the bytes between data centres.
	distance = 2 * time.Millisecond
)

// Forwarder serves requests.
type Forwarder struct {
	cfg     Config
	beliefs Beliefs
	backend Backend
	ranks   ranker.Ranker

	mu      sync.Mutex
	budgets map[string]*budgeter.Budget
	// usual is the longest patience seen on each route.
	usual map[string]time.Duration
}

// New returns a Forwarder.
func New(cfg Config, beliefs Beliefs, backend Backend) *Forwarder {
	return &Forwarder{
		cfg:     cfg,
		beliefs: beliefs,
		backend: backend,
		budgets: make(map[string]*budgeter.Budget),
		usual:   make(map[string]time.Duration),
	}
}

// Serve answers a request. ctx ends when the caller has gone.
func (f *Forwarder) Serve(ctx context.Context, r *Request) Answer {
	state := f.beliefs.State()
	if state == nil {
		return notRun(unknownRetry)
	}
	m := state.Table.Match(r.Host, r.Path)
	if m == nil {
		return Answer{Status: http.StatusNotFound}
	}
	patience := r.Patience
	if patience <= 0 {
		patience = defaultPatience
	}
	fl := &flight{
		f:        f,
		state:    state,
		route:    m.Route,
		r:        r,
		ctx:      ctx,
		deadline: r.Arrived.Add(min(patience, m.Timeout)),
		target:   r.Arrived.Add(m.Target - f.used(m.Route, patience)),
	}
	if len(m.Shards) > 0 {
		return fl.gather(m.Shards)
	}
	return fl.single(m.Service())
}

// used is the part of the target latency that earlier attempts of the caller took. A caller
// that comes again has less patience left than it had at first.
func (f *Forwarder) used(r *router.Route, patience time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	usual := max(f.usual[r.Name], patience)
	f.usual[r.Name] = usual
	return usual - patience
}

func notRun(after time.Duration) Answer {
	return Answer{Status: http.StatusServiceUnavailable, RetryAfter: after}
}

// budget returns the budget of extra sends to a service.
func (f *Forwarder) budget(service string, vms int) *budgeter.Budget {
	burst := slackShare * f.cfg.RetrySlack / float64(max(vms, 1))
	f.mu.Lock()
	defer f.mu.Unlock()
	b := f.budgets[service]
	if b == nil {
		b = &budgeter.Budget{Ratio: ratioShare * f.cfg.RetryRatio, Burst: burst, Empty: true}
		f.budgets[service] = b
	}
	if b.Burst != burst {
		b.Resize(burst)
	}
	return b
}

// conns is the number of connections that this VM may hold to a replica of a service.
func conns(s *State, service string) int {
	most := s.Table.Config.Services[service].MaxConns
	if most == 0 {
		return defaultConns
	}
	return max(int(connShare*float64(most)/float64(s.VMs)), 1)
}

// defaultConns is the number of connections to a replica whose service names no limit.
const defaultConns = 8

// best returns the replica with the shortest expected time that is not among tried, and what
// to expect of it.
func (f *Forwarder) best(list []*registrar.Candidate, tried []string, w ranker.Work, now time.Time) (*registrar.Candidate, ranker.Estimate) {
	var best *registrar.Candidate
	var expect ranker.Estimate
	var lowest time.Duration
	for _, c := range list {
		if contains(tried, c.ID) {
			continue
		}
		e := f.ranks.Estimate(c.Key(), c.Slots, w, now)
		cost := e.Expected
		if c.DataCentre != f.cfg.DataCentre {
			cost += distance
		}
		if c.Fading {
			cost += time.Minute
		}
		if best == nil || cost < lowest {
			best, expect, lowest = c, e, cost
		}
	}
	return best, expect
}

func contains(list []string, s string) bool {
	for _, v := range list {
		if v == s {
			return true
		}
	}
	return false
}

// Refuse is the answer to a request that was not looked at.
func Refuse() Answer {
	return notRun(unknownRetry)
}

// Forget drops the evidence about replicas that were not used since before.
func (f *Forwarder) Forget(before time.Time) {
	f.ranks.Forget(before)
}
