package forwarder

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/ebonylock/ebonylock/modules/budgeter"
	"github.com/ebonylock/ebonylock/modules/quarantiner"
	"github.com/ebonylock/ebonylock/modules/ranker"
	"github.com/ebonylock/ebonylock/modules/registrar"
	"github.com/ebonylock/ebonylock/modules/router"
	"github.com/ebonylock/ebonylock/modules/selector"
)

// Config sets up a Forwarder.
type Config struct {
	// VM is the ID of this VM.
	VM string
	// DataCentre is that of this VM.
	DataCentre string
	// RetryRatio is the number of extra sends that each request to a service pays for.
	RetryRatio float64
	// RetrySlack is the number of extra sends that all VMs together have besides, in any
	// RetryWindow.
	RetrySlack  float64
	RetryWindow time.Duration
	// FirstStart is true when no process of this VM ran before.
	FirstStart bool
	// CallerDelay is the time from a VM to a caller, one way.
	CallerDelay time.Duration
	// Gatherers gather parts for this VM; nil if it sends to all replicas itself.
	Gatherers Gatherers
	// Quarantine is told of requests that crash replicas; nil for none.
	Quarantine Quarantine
	// SharedStats is what other VMs have seen of replicas; nil for none.
	SharedStats ranker.SharedEvidence
	// Announce tells other VMs of a loss; nil for none.
	Announce func(l quarantiner.Loss)
	// Log takes the lines that are kept first, RoutineLog those of plain answers.
	Log, RoutineLog *logrus.Logger
}

const (
	// defaultPatience is the time for a request of a caller that did not say how long it waits.
	defaultPatience = 10 * time.Second
	// unknownRetry is the advice to come back when a configuration or replicas are missing.
	unknownRetry = 250 * time.Millisecond
	// retryShare is the part of its time left for which a caller heeds the advice to come back, by the
	// platform's protocol.
	retryShare = 1.0 / 3
	// slackShare is the part of the slack of the retry budget that is used. The rest covers
	// VMs that have just started or have not heard of each other.
	slackShare = 0.75
	// restartShare is the part that is used besides within a RetryWindow of a start that is not the
	// first one.
	restartShare = 0.2
	// alone is the time after a start until which a VM may not have heard of all the others.
	alone = 2 * time.Second
	// ratioShare is the part of the ratio of the retry budget that is used.
	ratioShare = 0.95
	// connShare is the part of a replica's connections that the VMs share.
	connShare = 0.9
	// distance is the share of the target latency that a replica of another data centre has
	// to be faster by, in place of the price of the bytes between data centres.
	distance = 0.2
	// fadingLast is added to the expectation of a replica whose entry is missing.
	fadingLast = time.Minute
	// coldLast is added to the expectation of a cold replica that bears only so many requests.
	coldLast = 30 * time.Second
	// youth is the time after a start in which what other VMs have seen is left aside: when many
	// start at once, it is the load of their own return.
	youth = 10 * time.Second
	// gathererShare is the part of connections and of extra sends that the gatherers share; the rest
	// is for VMs that reach none.
	gathererShare = 0.85
	// noConn is added to the expectation of a replica to which no connection is free.
	noConn = 5 * time.Second
)

// Forwarder serves requests.
type Forwarder struct {
	cfg     Config
	beliefs StateSource
	backend Backend
	ranks   ranker.Ranker
	metrics *metrics
	// log and routine are those of the Config.
	log, routine *logrus.Logger
	started      time.Time
	// calls counts the calls of other VMs under way.
	calls atomic.Int64
	peers peers

	mu      sync.Mutex
	budgets map[string]*budgeter.Window
	// habits are those of the callers of each route.
	habits map[string]*habit
}

// New returns a Forwarder.
func New(cfg Config, beliefs StateSource, backend Backend) *Forwarder {
	now := time.Now()
	return &Forwarder{
		cfg:     cfg,
		beliefs: beliefs,
		backend: backend,
		ranks:   ranker.Ranker{Shared: cfg.SharedStats, SharedFrom: now.Add(youth)},
		started: now,
		metrics: newMetrics(),
		log:     cfg.Log,
		routine: cfg.RoutineLog,
		budgets: make(map[string]*budgeter.Window),
		habits:  make(map[string]*habit),
	}
}

// Serve answers a request. ctx ends when the caller has gone.
func (f *Forwarder) Serve(ctx context.Context, r *Request) Response {
	state := f.beliefs.State()
	if state == nil {
		return f.recorded(nil, r, notRun(unknownRetry), outcomeNoConfig)
	}
	m := state.Table.Match(r.Host, r.Path)
	if m == nil {
		return f.recorded(nil, r, Response{Status: http.StatusNotFound}, outcomeNoRoute)
	}
	fp := fingerprint(r)
	if f.barred(fp, r.Arrived) {
		return f.recorded(nil, r, notRun(0), outcomeBarred)
	}
	patience := r.CallerTimeout
	if patience <= 0 {
		patience = defaultPatience
	}
	used := f.used(m.Route, r, patience)
	fl := &flight{
		f:           f,
		state:       state,
		route:       m.Route,
		r:           r,
		ctx:         ctx,
		deadline:    r.Arrived.Add(min(patience, m.Timeout)),
		target:      r.Arrived.Add(m.TargetLatency - used),
		used:        used,
		fingerprint: fp,
	}
	var a Response
	n := len(m.Shards)
	switch sel := f.selection(state, m.Shards); {
	case n == 0:
		a = fl.single(m.Service())
	case sel.Direct:
		a = fl.gather(m.Shards, needed(m.MinShardShare, n))
	default:
		a = newSpread(fl, sel, needed(m.MinShardShare, n)).run()
	}
	return f.recorded(fl, r, a, fl.outcome(&a))
}

// recorded adds to an answer what is to be recorded of it.
func (f *Forwarder) recorded(fl *flight, r *Request, a Response, outcome string) Response {
	now := time.Now()
	a.Record = func() { f.record(fl, r, &a, outcome, now) }
	return a
}

// used is the part of the target latency that is gone as the request arrives: the caller has
// opened a connection, or has made attempts before this one.
func (f *Forwarder) used(r *router.Route, req *Request, patience time.Duration) time.Duration {
	f.mu.Lock()
	h := f.habits[r.Name]
	if h == nil {
		h = &habit{}
		f.habits[r.Name] = h
	}
	f.mu.Unlock()
	used := max(h.observe(patience)-patience, 0)
	if req.FirstOnConn {
		used = max(used, 2*f.cfg.CallerDelay)
	}
	return used
}

func notRun(after time.Duration) Response {
	return Response{Status: http.StatusServiceUnavailable, RetryAfter: after}
}

// fingerprint identifies requests that are the same to a replica.
func fingerprint(r *Request) quarantiner.Fingerprint {
	return quarantiner.FingerprintOf(r.Method+" "+r.Host+r.Target, r.Body)
}

// budget returns the budget of extra sends to a service; slack is this VM's share of what all VMs
// have besides the ratio.
func (f *Forwarder) budget(service string, slack float64, now time.Time) *budgeter.Window {
	f.mu.Lock()
	defer f.mu.Unlock()
	b := f.budgets[service]
	if b == nil {
		b = &budgeter.Window{Ratio: ratioShare * f.cfg.RetryRatio, Length: f.cfg.RetryWindow}
		f.budgets[service] = b
	}
	b.SetSlack(slack * f.slackNow(now) * f.cfg.RetrySlack)
	return b
}

// slackNow is the part of the slack of the retry budget that all VMs together use. The process
// before this one may have spent its part a moment ago; then only what others leave is used, and
// nothing while this VM has not heard of all the others.
func (f *Forwarder) slackNow(now time.Time) float64 {
	age := now.Sub(f.started)
	switch {
	case f.cfg.FirstStart || age >= f.cfg.RetryWindow:
		return slackShare
	case age < alone:
		return 0
	}
	return restartShare
}

// selection returns the VMs that gather from the replicas of shards.
func (f *Forwarder) selection(s *State, shards []string) *selector.Selection {
	if f.cfg.Gatherers == nil || len(shards) == 0 {
		return &selector.Selection{Direct: true}
	}
	most := s.Table.Config.Services[shards[0]].MaxConns
	if most == 0 {
		return &selector.Selection{Direct: true}
	}
	return f.cfg.Gatherers.Selection(int(connShare * float64(most)))
}

// share is this VM's part of what all VMs together may use of a service.
type share struct {
	// conns is the number of connections to each replica.
	conns int
	// slack is the share of the extra sends besides the ratio.
	slack float64
}

// share returns this VM's part of a service; gathered is true if it is a shard.
func (f *Forwarder) share(s *State, service string, gathered bool) share {
	most := s.Table.Config.Services[service].MaxConns
	vms := float64(max(s.VMs, 1))
	if most == 0 {
		return share{conns: defaultConns, slack: 1 / vms}
	}
	sel := &selector.Selection{Direct: true}
	if gathered {
		sel = f.selection(s, []string{service})
	}
	usable := connShare * float64(most)
	switch {
	case sel.Direct:
		return share{conns: max(int(usable/vms), 1), slack: 1 / vms}
	case sel.IsGatherer(f.cfg.VM):
		n := float64(sel.Total)
		return share{conns: max(int(gathererShare*usable/n), 1), slack: gathererShare / n}
	}
	// Only while no gatherer can be reached.
	return share{conns: 1, slack: (1 - gathererShare) / vms}
}

// defaultConns is the number of connections to a replica whose service names no limit.
const defaultConns = 8

// best returns the replica with the shortest expected time that is not among tried, and what
// to expect of it. conns is the number of connections that this VM may hold to each; fragile
// says that cold ones bear only so many requests.
func (f *Forwarder) best(list []*registrar.Candidate, tried []string, w ranker.Workload, conns int, fragile bool, now time.Time) (*registrar.Candidate, ranker.Estimate) {
	var best *registrar.Candidate
	var expect ranker.Estimate
	var lowest time.Duration
	for _, c := range list {
		if slices.Contains(tried, c.ID) {
			continue
		}
		e := f.ranks.Estimate(c.Key, c.Slots, w, now)
		cost := e.Expected
		if c.DataCentre != f.cfg.DataCentre {
			cost += time.Duration(distance * float64(w.TargetLatency))
		}
		if e.Running >= conns {
			cost += noConn
		}
		if fragile && now.Before(c.ColdUntil) {
			cost += coldLast
		}
		if c.Missing {
			cost += fadingLast
		}
		if best == nil || cost < lowest {
			best, expect, lowest = c, e, cost
		}
	}
	return best, expect
}

// Refuse is the answer to a request that comes as the VM leaves.
func (f *Forwarder) Refuse(r *Request) Response {
	return f.recorded(nil, r, notRun(unknownRetry), outcomeStopping)
}

// Forget drops the evidence about replicas that were not used since before.
func (f *Forwarder) Forget(before time.Time) {
	f.ranks.Prune(before)
}
