package forwarder

import (
	"context"
	"maps"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/ebonylock/ebonylock/modules/budgeter"
	"github.com/ebonylock/ebonylock/modules/decider"
	"github.com/ebonylock/ebonylock/modules/gatekeeper"
	"github.com/ebonylock/ebonylock/modules/quarantiner"
	"github.com/ebonylock/ebonylock/modules/ranker"
	"github.com/ebonylock/ebonylock/modules/router"
	"github.com/ebonylock/ebonylock/modules/selector"
)

// Config is the configuration of a Forwarder.
type Config struct {
	// VM is the ID of this VM.
	VM string
	// DataCentre is the data centre of this VM.
	DataCentre string
	// RetryRatio is the number of extra sends allowed for each request to a service.
	RetryRatio float64
	// RetrySlack is the number of extra sends allowed in addition in any RetryWindow, for all VMs
	// together.
	RetrySlack  float64
	RetryWindow time.Duration
	// WarmupOvershoot and WarmupSlack define the number of requests that a cold replica tolerates within
	// a second, from all VMs together: WarmupOvershoot times its configured rate, plus WarmupSlack. If
	// that is less than the rate, the rate is.
	WarmupOvershoot, WarmupSlack float64
	// FirstStart is true when no process of this VM has run before.
	FirstStart bool
	// CallerDelay is the one-way network delay between a VM and a caller.
	CallerDelay time.Duration
	// Gatherers gather parts on behalf of this VM. If nil, this VM sends to all replicas itself.
	Gatherers Gatherers
	// Quarantine is informed of requests that crash replicas; nil disables the quarantine.
	Quarantine Quarantine
	// SharedStats are the observations of other VMs about replicas; may be nil.
	SharedStats ranker.SharedEvidence
	// Announce informs the other VMs of the losses of a request, and AnnounceAnswer of a reply that clears
	// a request of losses; may be nil.
	Announce       func(list []quarantiner.Loss)
	AnnounceAnswer func(a quarantiner.Answer)
	// AnnounceLeaver informs the other VMs of a replica that has said that it leaves, named by the hash
	// of its key; may be nil.
	AnnounceLeaver func(replica uint64, now time.Time)
	// Log receives the more important lines. RoutineLog receives the lines of requests answered
	// without incident, which are dropped first when lines have to be dropped.
	Log, RoutineLog *logrus.Logger
}

const (
	// defaultCallerTimeout applies to requests of callers that do not say how long they wait.
	defaultCallerTimeout = 10 * time.Second
	// slackShare is the used share of the slack of the retry budget. The rest covers VMs that have
	// just started or have not discovered each other yet.
	slackShare = 0.75
	// restartSlackShare is the share used instead during the first RetryWindow after a restart.
	// Together with slackShare it must not exceed 1, since the previous process may have used its
	// share within the same window.
	restartSlackShare = 0.2
	// discoveryTime is the time after a start during which a VM may not have discovered all
	// others.
	discoveryTime = 2 * time.Second
	// ratioShare is the used share of the ratio of the retry budget.
	ratioShare = 0.95
	// connShare is the share of a replica's connection limit that the VMs divide among themselves.
	connShare = 0.9
	// sharedStatsDelay is the time after a start during which observations of other VMs are
	// ignored. When many VMs start at once, these observations reflect the load of the restart
	// itself.
	sharedStatsDelay = 10 * time.Second
	// gathererShare is the share of connections and extra sends divided among the gatherers. The
	// rest is for VMs that can't reach any gatherer.
	gathererShare = 0.85
)

// Forwarder serves requests. It is safe for concurrent use.
type Forwarder struct {
	cfg     Config
	states  StateSource
	backend Backend
	ranks   ranker.Ranker
	// gate holds what replicas have said about further requests.
	gate gatekeeper.Gatekeeper
	// cold limits the requests to cold replicas.
	cold            gatekeeper.Cold
	metrics         *metrics
	log, routineLog *logrus.Logger
	started         time.Time
	// activeCalls counts the calls of other VMs in progress.
	activeCalls atomic.Int64
	peers       peers

	mu      sync.Mutex
	budgets map[string]*budgeter.Window
	// usualTimeouts holds the usual timeout of callers by route name.
	usualTimeouts map[string]*usualTimeout
	// durations holds how long requests have lasted by route name.
	durations map[string]*durations

	// stop is nil until Stop is called. stopping is closed then, which wakes the requests in progress.
	stop     atomic.Pointer[stopTimes]
	stopping chan struct{}
}

// New returns a Forwarder.
func New(cfg Config, states StateSource, backend Backend) *Forwarder {
	now := time.Now()
	return &Forwarder{
		cfg:           cfg,
		states:        states,
		backend:       backend,
		ranks:         ranker.Ranker{Shared: cfg.SharedStats, SharedFrom: now.Add(sharedStatsDelay)},
		started:       now,
		metrics:       newMetrics(),
		log:           cfg.Log,
		routineLog:    cfg.RoutineLog,
		budgets:       make(map[string]*budgeter.Window),
		usualTimeouts: make(map[string]*usualTimeout),
		durations:     make(map[string]*durations),
		stopping:      make(chan struct{}),
	}
}

// Serve returns the response to a request. ctx is cancelled when the caller disconnects.
func (f *Forwarder) Serve(ctx context.Context, r *Request) Response {
	state := f.states.State()
	if state == nil {
		return f.withRecord(nil, r, notRunResponse(decider.DefaultRetryAfter), outcomeNoConfig)
	}
	m := state.Table.Match(r.Host, r.Path)
	if m == nil {
		return f.withRecord(nil, r, Response{Status: http.StatusNotFound}, outcomeNoRoute)
	}
	callerTimeout := r.CallerTimeout
	if callerTimeout <= 0 {
		callerTimeout = defaultCallerTimeout
	}
	if !f.endsInTime(m.Name, r.Arrived, min(callerTimeout, m.Timeout)) {
		return f.Refuse(r)
	}
	n := len(m.Shards)
	services, minParts := m.Shards, decider.MinShards(m.MinShardShare, n)
	if n == 0 {
		services, minParts = []string{m.Service()}, 1
	}
	id := identify(r)
	if f.quarantined(id, state.View, services, minParts, r.Arrived) {
		return f.withRecord(nil, r, notRunResponse(0), outcomeQuarantined)
	}
	timeUsed := f.timeUsed(m.Route, r, callerTimeout)
	fl := &flight{
		f:        f,
		state:    state,
		route:    m.Route,
		r:        r,
		ctx:      ctx,
		deadline: r.Arrived.Add(min(callerTimeout, m.Timeout)),
		target:   r.Arrived.Add(m.TargetLatency - timeUsed),
		timeUsed: timeUsed,
		identity: id,
		stopping: f.stopping,
	}
	if f.stop.Load() != nil {
		fl.endWithVM()
	}
	routeDurations := f.routeDurations(m.Name)
	inProgress := routeDurations.begin(r.Arrived)
	var resp Response
	switch sel := f.selection(state, m.Shards); {
	case n == 0:
		resp = fl.single(services[0])
	case sel.Direct:
		resp = fl.gather(services, minParts)
	default:
		resp = newFanout(fl, sel, minParts).run()
	}
	routeDurations.end(inProgress, ctx.Err() == nil && resp.Status != http.StatusServiceUnavailable, time.Now())
	return f.withRecord(fl, r, resp, fl.outcome(&resp))
}

// withRecord sets the Record function of a response.
func (f *Forwarder) withRecord(fl *flight, r *Request, resp Response, outcome string) Response {
	now := time.Now()
	resp.Record = func() { f.record(fl, r, &resp, outcome, now) }
	return resp
}

// timeUsed returns the part of the target latency that had passed when the request arrived, because
// the caller opened a connection or made earlier attempts.
func (f *Forwarder) timeUsed(r *router.Route, req *Request, callerTimeout time.Duration) time.Duration {
	f.mu.Lock()
	usual := f.usualTimeouts[r.Name]
	if usual == nil {
		usual = &usualTimeout{}
		f.usualTimeouts[r.Name] = usual
	}
	f.mu.Unlock()
	used := max(usual.observe(callerTimeout)-callerTimeout, 0)
	if req.FirstOnConn {
		used = max(used, 2*f.cfg.CallerDelay)
	}
	return used
}

func notRunResponse(retryAfter time.Duration) Response {
	return Response{Status: http.StatusServiceUnavailable, RetryAfter: retryAfter}
}

// budget returns the budget of extra sends to a service. slack is this VM's share of the slack that
// all VMs have in addition to the ratio.
func (f *Forwarder) budget(service string, slack float64, now time.Time) *budgeter.Window {
	f.mu.Lock()
	defer f.mu.Unlock()
	b := f.budgets[service]
	if b == nil {
		b = &budgeter.Window{Ratio: ratioShare * f.cfg.RetryRatio, Length: f.cfg.RetryWindow}
		f.budgets[service] = b
	}
	b.SetSlack(slack * f.currentSlackShare(now) * f.cfg.RetrySlack)
	return b
}

// currentSlackShare returns the share of the retry budget's slack that all VMs together may use
// now. After a restart the previous process of this VM may just have used its share, so only a part
// of what slackShare leaves over is used. Nothing is used until this VM has had time to discover
// the others.
func (f *Forwarder) currentSlackShare(now time.Time) float64 {
	age := now.Sub(f.started)
	switch {
	case f.cfg.FirstStart || age >= f.cfg.RetryWindow:
		return slackShare
	case age < discoveryTime:
		return 0
	}
	return restartSlackShare
}

// selection returns the VMs that gather from the replicas of shards.
func (f *Forwarder) selection(s *State, shards []string) *selector.Selection {
	if f.cfg.Gatherers == nil || len(shards) == 0 {
		return &selector.Selection{Direct: true}
	}
	maxConns := s.Table.Config.Services[shards[0]].MaxConns
	if maxConns == 0 {
		return &selector.Selection{Direct: true}
	}
	return f.cfg.Gatherers.Selection(int(connShare * float64(maxConns)))
}

// quota is this VM's share of what all VMs together may use of a service.
type quota struct {
	// conns is the number of connections allowed to each replica.
	conns int
	// slack is this VM's share of the extra sends allowed in addition to the ratio.
	slack float64
}

// quota returns this VM's quota for a service. gathered is true if the service is a shard.
func (f *Forwarder) quota(s *State, service string, gathered bool) quota {
	maxConns := s.Table.Config.Services[service].MaxConns
	vms := float64(max(s.VMs, 1))
	if maxConns == 0 {
		return quota{conns: defaultConns, slack: 1 / vms}
	}
	sel := &selector.Selection{Direct: true}
	if gathered {
		sel = f.selection(s, []string{service})
	}
	usable := connShare * float64(maxConns)
	switch {
	case sel.Direct:
		return quota{conns: max(int(usable/vms), 1), slack: 1 / vms}
	case sel.IsGatherer(f.cfg.VM):
		n := float64(sel.Total)
		return quota{conns: max(int(gathererShare*usable/n), 1), slack: gathererShare / n}
	}
	// A VM that does not gather sends to replicas only while it can't reach any gatherer.
	return quota{conns: 1, slack: (1 - gathererShare) / vms}
}

// defaultConns is the number of connections to each replica of a service without a limit.
const defaultConns = 8

// Refuse returns the response to a request that arrives while the VM is stopping.
func (f *Forwarder) Refuse(r *Request) Response {
	return f.withRecord(nil, r, notRunResponse(decider.DefaultRetryAfter), outcomeStopping)
}

// Forget drops the statistics of replicas and routes that were last used earlier than before.
func (f *Forwarder) Forget(before time.Time) {
	f.ranks.Prune(before)
	f.pruneNotices(before)
	f.mu.Lock()
	defer f.mu.Unlock()
	maps.DeleteFunc(f.durations, func(_ string, l *durations) bool { return l.unusedSince(before) })
}
