// Package launcher starts the components of a VM on the users' platform and shuts them down gracefully.
package launcher

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/sirupsen/logrus"

	"github.com/ebonylock/ebonylock/modules/accepter"
	"github.com/ebonylock/ebonylock/modules/bouncer"
	"github.com/ebonylock/ebonylock/modules/loader"
	"github.com/ebonylock/ebonylock/modules/prober"
	"github.com/ebonylock/ebonylock/modules/quarantiner"
	"github.com/ebonylock/ebonylock/modules/rationer"
	"github.com/ebonylock/ebonylock/modules/reporter"
	"github.com/ebonylock/ebonylock/modules/router"
	"github.com/ebonylock/ebonylock/modules/selector"
	"github.com/ebonylock/ebonylock/modules/spooler"
	"github.com/ebonylock/ebonylock/modules/tuner"
	"github.com/ebonylock/ebonylock/platform/readier"
	"github.com/ebonylock/ebonylock/platform/replica"
	"github.com/ebonylock/ebonylock/platform/requester"
	"github.com/ebonylock/ebonylock/platform/store"
	"github.com/ebonylock/ebonylock/routers/exposer"
	"github.com/ebonylock/ebonylock/services/archiver"
	"github.com/ebonylock/ebonylock/services/enroller"
	"github.com/ebonylock/ebonylock/services/follower"
	"github.com/ebonylock/ebonylock/services/forwarder"
	"github.com/ebonylock/ebonylock/services/gatherer"
	"github.com/ebonylock/ebonylock/services/gossiper"
	"github.com/ebonylock/ebonylock/services/linker"
	"github.com/ebonylock/ebonylock/services/recorder"
	"github.com/ebonylock/ebonylock/services/relayer"
)

const (
	// callersPart is the part of the process's file descriptors that connections of callers may use.
	callersPart = 0.75
	// callerDelay is the one-way network latency between a VM and a caller on the users' networks.
	callerDelay = 3 * time.Millisecond
	// flushTimeout limits the time for writing buffered log lines at exit.
	flushTimeout = 100 * time.Millisecond
	// sweepInterval is the time between two cleanups of idle connections and expired statistics.
	sweepInterval = 5 * time.Second
	// statsTTL is the time after which the statistics of an unused replica are dropped.
	statsTTL = time.Minute
	// tickInterval is the time between two timer runs of the membership protocol.
	tickInterval = 100 * time.Millisecond
	// joinPeriod is the time after a start during which a VM may not have discovered all other VMs.
	joinPeriod = 10 * time.Second
	// recordInterval is the time between two checks of the fleet record.
	recordInterval = time.Second
	// archiveInterval is the time between two checks of the record of losses. What happens between a loss and the
	// next check is lost with the VMs.
	archiveInterval = 500 * time.Millisecond
	// noContactGap is the gap above which a reported pause is ignored: it means that there
	// has been no contact with another VM since the start.
	noContactGap = 24 * time.Hour
	// pauseThreshold is the time without contact after which the process counts as paused.
	pauseThreshold = 2 * time.Second
)

// probeTiming configures the membership protocol: at two probes a second, a dead VM is detected in about
// three seconds.
var probeTiming = prober.Config{
	Period:       500 * time.Millisecond,
	AckTimeout:   200 * time.Millisecond,
	Suspicion:    1500 * time.Millisecond,
	SyncInterval: 30 * time.Second,
	RemoveAfter:  30 * time.Second,
}

// Daemon is a running VM.
type Daemon struct {
	site    loader.Site
	log     *logrus.Logger
	spool   *spooler.Spooler
	backend replica.Client
	follow  *follower.Follower
	store   *store.Client
	forward *forwarder.Forwarder
	// clients is the memory that callers and other VMs make this VM hold.
	clients   rationer.Pool
	callers   *requester.Listener
	readiness *readier.Server
	metrics   *exposer.Server
	gossip    *gossiper.Gossiper
	relay     *relayer.Server
	provider  sourceProvider
	// roster holds the VMs that may gather parts, and gather calls them.
	roster selector.Roster
	gather *gatherer.Client
	// enroll maintains the fleet record, from which starting VMs discover the others.
	enroll *enroller.Enroller
	// archive keeps what quarantine knows in the store, for when all VMs start again.
	archive *archiver.Archiver
	started time.Time
	// quarantine tracks requests that have crashed replicas.
	quarantine quarantiner.Tracker
	// evidence holds the replica statistics shared between all VMs.
	evidence reporter.Evidence
	// membersMu serializes updateMembers.
	membersMu sync.Mutex
	// stop is closed by Stop. stopping is true once the shutdown has begun: the VM is not ready, and
	// takes only requests that it can answer before its end. refusing is true once it takes none.
	stop     chan struct{}
	stopOnce sync.Once
	stopping atomic.Bool
	refusing atomic.Bool
	// cut counts the requests that got no whole answer, by reason.
	cut *prometheus.CounterVec
	// acceptPauses counts the seconds in which a listener accepted no connections for a moment.
	acceptPauses *prometheus.CounterVec
}

// Values of the label reason of Daemon.cut.
const (
	cutClosed  = "connection-closed"
	cutStopped = "process-ended"
)

// New binds the daemon's addresses. It writes its log to out asynchronously, so that a blocked out delays
// no request.
func New(site loader.Site, out io.Writer) (*Daemon, error) {
	d := &Daemon{site: site, spool: &spooler.Spooler{Out: out}, stop: make(chan struct{}), started: time.Now()}
	shares := rationer.Divide(int64(site.VM.MemoryMB) * rationer.MiB)
	conns := shares.LimitConnections(site.VM.Descriptors, callersPart)
	d.clients.Limit, d.backend.Memory.Limit, d.backend.ReceiveBuffer = shares.Clients, shares.Replies, rationer.ReceiveBuffer
	others := bouncer.Limits{MaxConns: conns.Others, Memory: &d.clients, Buffers: shares.Buffers()}
	d.cut = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: "ebonylock", Name: "requests_cut_total", Help: "Requests that got no whole answer, by reason.",
	}, []string{"reason"})
	d.acceptPauses = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: "ebonylock", Name: "accept_pauses_total", Help: "Seconds in which no connections were accepted for a moment, by listener.",
	}, []string{"listener"})
	log, routine := site.Log.Logger(d.spool.Important()), site.Log.Logger(d.spool.Routine())
	log.AddHook(vmHook(site.VM.ID))
	routine.AddHook(vmHook(site.VM.ID))
	d.log = log
	d.follow = follower.New(store.Decoder{}, log)
	d.store = store.New(site.Store, log)
	d.enroll = &enroller.Enroller{Recorder: &recorder.Recorder{Store: d.store, Key: store.KeyFleet}, Log: log}
	d.archive = &archiver.Archiver{Recorder: &recorder.Recorder{Store: d.store, Key: store.KeyLosses}, Losses: &d.quarantine, Log: log}
	d.follow.OnRecord = d.observeRecord
	gatherKeys, err := deriveKeys(site.Peers.Keys, "gather")
	if err != nil {
		return nil, err
	}
	if d.gather, err = gatherer.NewClient(gatherKeys, &d.roster, relayer.DialStream); err != nil {
		return nil, err
	}
	d.forward = forwarder.New(forwarder.Config{
		VM:             site.VM.ID,
		Gatherers:      d.gather,
		DataCentre:     site.VM.DataCentre,
		RetryRatio:     site.Bounds.RetryRatio,
		RetrySlack:     site.Bounds.RetrySlack,
		RetryWindow:    site.Bounds.RetryWindow,
		FirstStart:     site.FirstStart,
		CallerDelay:    callerDelay,
		Log:            log,
		RoutineLog:     routine,
		Quarantine:     &d.quarantine,
		SharedStats:    &d.evidence,
		Announce:       d.provider.broadcastLosses,
		AnnounceAnswer: d.provider.broadcastAnswer,

		AnnounceLeaver:  d.evidence.AddLeaver,
		WarmupOvershoot: site.Bounds.WarmupOvershoot,
		WarmupSlack:     site.Bounds.WarmupSlack,
	}, d.follow, &d.backend)
	d.evidence.OnLeaver = d.forward.HandleLeaver
	calls, err := gatherer.NewServer(gatherKeys, d, log)
	if err != nil {
		return nil, err
	}
	calls.Memory = &d.clients
	if err := d.startMembership(calls, bouncer.Limits{MaxConns: conns.Peers, Memory: &d.clients, Buffers: accepter.Buffers{Receive: shares.Buffers().Receive}}); err != nil {
		return nil, err
	}
	d.relay.OnAcceptError = d.acceptPaused(linkListener)
	if d.readiness, err = readier.Listen(site.Requests.Readiness, d.Ready, others); err != nil {
		return nil, err
	}
	d.readiness.OnAcceptError = d.acceptPaused(readinessListener)
	if d.metrics, err = exposer.Listen(site.Requests.Metrics, d.registry(), others); err != nil {
		return nil, err
	}
	d.metrics.OnAcceptError = d.acceptPaused(metricsListener)
	d.callers, err = requester.Config{
		Addr:     site.Requests.Listen,
		Memory:   &d.clients,
		MaxConns: conns.Callers,
		Buffers:  shares.Buffers(),
	}.Listen(d)
	if err != nil {
		return nil, err
	}
	return d, nil
}

// vmHook adds the VM's ID to each log line, so that the logs of several VMs can be merged.
type vmHook string

// Levels implements logrus.Hook.
func (vmHook) Levels() []logrus.Level {
	return logrus.AllLevels
}

// Fire implements logrus.Hook.
func (h vmHook) Fire(e *logrus.Entry) error {
	e.Data["vm"] = string(h)
	return nil
}

// registry returns a registry with the metrics of all components.
func (d *Daemon) registry() *prometheus.Registry {
	reg := prometheus.NewRegistry()
	reg.MustRegister(
		d.cut,
		d.acceptPauses,
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: "ebonylock", Name: "replica_connections", Help: "Open connections to replicas.",
		}, func() float64 { return float64(d.backend.Connections()) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Namespace: "ebonylock", Name: "log_lines_dropped_total", Help: "Log lines dropped for volume.",
		}, func() float64 { return float64(d.spool.Dropped()) }),
	)
	d.clients.Register(reg)
	d.backend.Memory.Register(reg)
	d.forward.Register(reg)
	d.follow.Register(reg)
	d.gossip.Register(reg)
	return reg
}

// startMembership starts the membership protocol and the server for calls from other VMs, whose clients have the given
// limits.
func (d *Daemon) startMembership(calls *gatherer.Server, limits bouncer.Limits) error {
	incarnation := rand.Uint64()
	keys, err := deriveKeys(d.site.Peers.Keys, "membership")
	if err != nil {
		return err
	}
	relayKeys, err := deriveKeys(d.site.Peers.Keys, "relay")
	if err != nil {
		return err
	}
	if d.relay, err = relayer.Listen(d.site.Peers.Link, relayKeys, &d.follow.Cache, limits); err != nil {
		return err
	}
	d.relay.OnStream = calls.ServeConn
	d.relay.OnLosses = func(list []quarantiner.Loss) { d.quarantine.Merge(list, time.Now()) }
	d.relay.OnAnswer = func(a quarantiner.Answer) { d.quarantine.MarkAnswered(a) }
	d.evidence.OnChange = d.logVerdict
	d.relay.Evidence, d.relay.Losses = &d.evidence, &d.quarantine
	d.provider = sourceProvider{self: d.site.VM.ID, dataCentre: d.site.VM.DataCentre, store: d.store, keys: relayKeys, evidence: &d.evidence, losses: &d.quarantine, log: d.log}
	d.provider.seeds = seedMembers(d.site.Peers.Seeds, d.relay.Addr())
	d.provider.deferFirstRead = d.site.FirstStart && len(d.provider.seeds) == len(d.site.Peers.Seeds) && len(d.provider.seeds) > 0
	self := prober.Member{
		ID:          d.site.VM.ID,
		DataCentre:  d.site.VM.DataCentre,
		Link:        d.relay.Addr(),
		Operators:   d.site.Requests.Metrics,
		Capacity:    uint64(d.site.VM.LinkMbps),
		Incarnation: incarnation,
		Epoch:       uint64(time.Now().UnixMilli()),
	}
	cfg := gossiper.Config{Bind: d.site.Peers.Gossip, Self: self, Keys: keys, Timing: probeTiming, PauseAfter: pauseThreshold, TickInterval: tickInterval}
	// The observer may be called before Start returns, when d.gossip is not set yet.
	d.membersMu.Lock()
	d.gossip, err = gossiper.Start(cfg, func(self prober.Member) *prober.Prober {
		return prober.New(self, cfg.Timing, rand.New(rand.NewPCG(incarnation, self.Epoch)), time.Now())
	}, d)
	d.membersMu.Unlock()
	if err != nil {
		return err
	}
	d.setSeeds(d.site.Peers.Seeds)
	d.updateMembers()
	return nil
}

// logVerdict logs that the shared statistics of all VMs show a replica as failing or slow, or that they no
// longer do.
func (d *Daemon) logVerdict(v reporter.Verdict, ended bool) {
	fields := logrus.Fields{"event": "replica-judged", "failing": v.FailureRate, "ratio": v.LatencyRatio, "ended": ended}
	if state := d.follow.State(); state != nil {
		for _, list := range state.View.Services {
			for _, c := range list {
				if reporter.Hash(c.Key) == v.Replica {
					fields["replica"], fields["service"], fields["data-centre"] = c.ID, c.Service, c.DataCentre
				}
			}
		}
	}
	d.log.WithFields(fields).Info("shared verdict about a replica changed")
}

// setSeeds sets the seed addresses of the membership protocol. All VMs listen on the same gossip port.
func (d *Daemon) setSeeds(addrs []netip.AddrPort) {
	seeds := make([]netip.AddrPort, len(addrs))
	for i, a := range addrs {
		seeds[i] = netip.AddrPortFrom(a.Addr(), d.site.Peers.Gossip.Port())
	}
	d.gossip.SetSeeds(seeds)
}

// Reload applies reloaded settings. The seeds and the log level take effect at once, all other settings at
// the next start.
func (d *Daemon) Reload(site loader.Site) {
	d.setSeeds(site.Peers.Seeds)
	if level, err := logrus.ParseLevel(site.Log.Level); err == nil {
		d.log.SetLevel(level)
	}
	d.log.WithFields(logrus.Fields{"event": "reload", "seeds": len(site.Peers.Seeds), "level": site.Log.Level}).Info("settings reloaded")
}

// ReloadFailed logs that the settings could not be reloaded; the previous ones remain in effect.
func (d *Daemon) ReloadFailed(err error) {
	d.log.WithField("event", "reload").WithError(err).Error("failed to reload settings; the previous settings remain in effect")
}

// deriveKeys derives a key for purpose from each fleet key.
func deriveKeys(secrets [][]byte, purpose string) ([][]byte, error) {
	var keys [][]byte
	for _, k := range secrets {
		key, err := linker.DeriveKey(k, purpose)
		if err != nil {
			return nil, err
		}
		keys = append(keys, key)
	}
	return keys, nil
}

// RevisionSeen implements gossiper.Observer.
func (d *Daemon) RevisionSeen(string, uint64) {}

// Paused implements gossiper.Observer.
func (d *Daemon) Paused(_ time.Time, gap time.Duration) {
	if gap > noContactGap {
		return
	}
	d.log.WithFields(logrus.Fields{"event": "paused", "gap": gap.String()}).Warn("the process was paused")
}

// Ready reports whether the balancer should send callers to this VM.
func (d *Daemon) Ready() bool {
	return !d.stopping.Load() && d.follow.State() != nil
}

// Limits implements requester.Handler.
func (d *Daemon) Limits() router.Limits {
	if s := d.follow.State(); s != nil {
		return s.Table.Config.Limits
	}
	return router.Limits{}
}

// Serve implements requester.Handler.
func (d *Daemon) Serve(ctx context.Context, r *forwarder.Request) forwarder.Response {
	if d.refusing.Load() {
		return d.forward.Refuse(r)
	}
	return d.forward.Serve(ctx, r)
}

// AnswerCut implements requester.Handler.
func (d *Daemon) AnswerCut(r *forwarder.Request, unsent int) {
	d.cut.WithLabelValues(cutClosed).Inc()
	d.log.WithFields(logrus.Fields{"event": "answer-cut", "id": r.ID, "unsent": unsent}).Warn("connection closed before the whole answer was sent")
}

// logCut logs the requests that get no answer because the process ends.
func (d *Daemon) logCut(began time.Time) {
	for _, r := range d.callers.Unanswered() {
		d.cut.WithLabelValues(cutStopped).Inc()
		d.log.WithFields(logrus.Fields{
			"event": "request-cut", "id": r.ID, "host": r.Host, "path": r.Path, "age-ms": time.Since(r.Arrived).Milliseconds(),
			"stopping-ms": r.Arrived.Sub(began).Milliseconds(), "patience-ms": r.CallerTimeout.Milliseconds(),
		}).Warn("process ends before the request is answered")
	}
}

// Collect implements gatherer.Collector.
func (d *Daemon) Collect(ctx context.Context, c *forwarder.Call, accept func() bool, emit func(forwarder.Partial)) error {
	if d.refusing.Load() {
		return forwarder.ErrRefused
	}
	return d.forward.Collect(ctx, c, accept, emit)
}

// vmTraffic is the traffic from callers and from other VMs.
type vmTraffic struct {
	*Daemon
}

// Drain implements traffic.
func (t vmTraffic) Drain(end time.Time) {
	t.forward.Stop(end)
	t.callers.Drain()
}

// Refuse implements traffic.
func (t vmTraffic) Refuse() {
	t.refusing.Store(true)
}

// Seal implements traffic.
func (t vmTraffic) Seal() {
	t.callers.Seal()
}

// InFlight implements traffic.
func (t vmTraffic) InFlight() int {
	return max(t.callers.InFlight(), t.callers.Unrecorded()) + t.forward.ActiveCalls()
}

// LastTraffic implements traffic.
func (t vmTraffic) LastTraffic() time.Time {
	return t.callers.LastTraffic()
}

// ErrListenerEnded is returned by Run if a listener ended although the VM was not asked to stop.
var ErrListenerEnded = errors.New("listener ended")

// stopAfterFailure shuts down gracefully after a listener has ended with err. The requests in progress don't
// depend on it.
func (d *Daemon) stopAfterFailure(ctx context.Context, err error) error {
	err = errors.Join(ErrListenerEnded, err)
	d.log.WithField("event", "failed").WithError(err).Error("a listener ended; the VM stops")
	d.shutdown(ctx)
	return err
}

// Stop begins the graceful shutdown.
func (d *Daemon) Stop() {
	d.stopOnce.Do(func() { close(d.stop) })
}

// Run serves until the graceful shutdown has finished that Stop or the end of a listener starts, or until ctx
// ends.
func (d *Daemon) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	failed := make(chan error, 3)
	go func() { failed <- d.metrics.Serve() }()
	go func() { failed <- d.readiness.Serve() }()
	go func() { failed <- d.relay.Serve() }()
	go d.follow.Follow(ctx, readerCount, &d.provider)
	go d.follow.ExpireReplicas(ctx)
	go d.sweep(ctx)
	go d.maintainRecord(ctx)
	go d.maintainArchive(ctx)
	go d.forward.Warm(ctx)
	d.log.WithFields(logrus.Fields{
		"event": "start", "vm": d.site.VM.ID, "data-centre": d.site.VM.DataCentre,
		"callers": d.callers.Addr().String(), "first-start": d.site.FirstStart,
	}).Info("VM started")
	select {
	case err := <-failed:
		return d.stopAfterFailure(ctx, err)
	case err := <-d.callers.Ended():
		return d.stopAfterFailure(ctx, err)
	case <-ctx.Done():
		return nil
	case <-d.stop:
		d.shutdown(ctx)
		return nil
	}
}

// TuneMemory adapts the size of the heap to the processor time that the VM has left, until ctx is done.
func (d *Daemon) TuneMemory(ctx context.Context) {
	t := tuner.Tuner{Cores: d.site.VM.Cores}
	if err := t.Run(ctx); err != nil {
		d.log.WithField("event", "tune").WithError(err).Error("size of the heap is not adapted to the processor any more")
	}
}

// shutdown serves the requests that the balancer still sends, waits for running requests and leaves the
// fleet.
func (d *Daemon) shutdown(ctx context.Context) {
	began := time.Now()
	d.stopping.Store(true)
	d.gossip.Drain()
	d.log.WithFields(logrus.Fields{
		"event": "stop", "grace": d.site.Bounds.Grace.String(), "in-flight": d.callers.InFlight(), "calls": d.forward.ActiveCalls(),
	}).Info("graceful shutdown started")
	stopper{
		traffic:     vmTraffic{d},
		gracePeriod: d.site.Bounds.Grace,
		leave: func() {
			d.gossip.Leave()
			d.log.WithFields(logrus.Fields{
				"event": "stopped", "in-flight": d.callers.InFlight(), "calls": d.forward.ActiveCalls(), "took": time.Since(began).String(),
				"quiet": time.Since(d.callers.LastTraffic()).String(),
			}).Info("graceful shutdown finished")
			d.spool.Flush(flushTimeout)
		},
	}.stop(ctx)
	d.logCut(began)
	d.spool.Flush(flushTimeout)
}

// sweep closes idle connections, drops expired statistics and reports dropped log lines and refused clients until ctx
// ends.
func (d *Daemon) sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	var dropped, revoked uint64
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			d.backend.CloseIdle(now)
			d.gather.CloseIdle(now)
			d.forward.Forget(now.Add(-statsTTL))
			dropped = d.reportDropped(dropped)
			revoked = d.reportRevoked(revoked)
		}
	}
}

// reportDropped logs how many log lines were dropped since the count was before, and returns the new count.
func (d *Daemon) reportDropped(before uint64) uint64 {
	n := d.spool.Dropped()
	if n > before {
		d.log.WithFields(logrus.Fields{"event": "log-dropped", "lines": n - before}).Warn("log lines dropped because the log exceeded its byte rate or queue limit")
	}
	return n
}

// reportRevoked logs how many clients were refused for lack of memory since the count was before, and returns the new
// count.
func (d *Daemon) reportRevoked(before uint64) uint64 {
	n := d.clients.RevokedCount()
	if n > before {
		d.log.WithFields(logrus.Fields{"event": "client-memory", "refused": n - before, "limit": d.clients.Limit}).Warn("memory for clients exhausted; those that hold most and move least were refused")
	}
	return n
}
