// Package launcher starts the parts of a VM on the users' platform and stops them gracefully.
package launcher

import (
	"context"
	"io"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/sirupsen/logrus"

	"github.com/ebonylock/ebonylock/modules/loader"
	"github.com/ebonylock/ebonylock/modules/prober"
	"github.com/ebonylock/ebonylock/modules/quarantiner"
	"github.com/ebonylock/ebonylock/modules/reporter"
	"github.com/ebonylock/ebonylock/modules/router"
	"github.com/ebonylock/ebonylock/modules/selector"
	"github.com/ebonylock/ebonylock/modules/spooler"
	"github.com/ebonylock/ebonylock/platform/readier"
	"github.com/ebonylock/ebonylock/platform/replica"
	"github.com/ebonylock/ebonylock/platform/requester"
	"github.com/ebonylock/ebonylock/platform/store"
	"github.com/ebonylock/ebonylock/routers/exposer"
	"github.com/ebonylock/ebonylock/services/enroller"
	"github.com/ebonylock/ebonylock/services/follower"
	"github.com/ebonylock/ebonylock/services/forwarder"
	"github.com/ebonylock/ebonylock/services/gatherer"
	"github.com/ebonylock/ebonylock/services/gossiper"
	"github.com/ebonylock/ebonylock/services/linker"
	"github.com/ebonylock/ebonylock/services/relayer"
)

const (
	// callerDelay is the time from a VM to a caller, one way, on the users' networks.
	callerDelay = 3 * time.Millisecond
	// leastDrain is the time after the request to stop in which the balancer still sends new
	// connections: two misses a second apart, and the way.
	leastDrain = 3 * time.Second
	// quiet is the time without a new request after which a stopping VM ends.
	quiet = 700 * time.Millisecond
	// endMargin is the part of the grace that is left for the end itself.
	endMargin = 700 * time.Millisecond
	// flushTimeout limits the wait for the last lines of the log.
	flushTimeout = 100 * time.Millisecond
	// lastCall is the time before the end after which new requests are refused.
	lastCall = time.Second
	// sweepInterval is the time between two looks for unused connections.
	sweepInterval = 5 * time.Second
	// forgetAfter is the time after which evidence about an unused replica is dropped.
	forgetAfter = time.Minute
	// tick is the time between two looks of the membership protocol for what is due.
	tick = 100 * time.Millisecond
	// joinTime is the time after a start until which a VM may not have heard of all the others.
	joinTime = 10 * time.Second
	// recordInterval is the time between two looks at the record of the fleet.
	recordInterval = time.Second
	// neverHeard is a gap that is none: no other VM has been heard of since the start.
	neverHeard = 24 * time.Hour
	// fenceAfter is the silence that counts as a pause of the process.
	fenceAfter = 2 * time.Second
)

// timing sets the membership protocol: a VM's death is known in about three seconds, at two
// probes a second.
var timing = prober.Config{
	Period:       500 * time.Millisecond,
	AckTimeout:   200 * time.Millisecond,
	Suspicion:    1500 * time.Millisecond,
	SyncInterval: 30 * time.Second,
	RemoveAfter:  30 * time.Second,
}

// Daemon is a running VM.
type Daemon struct {
	site     loader.Site
	log      *logrus.Logger
	spool    *spooler.Spooler
	backend  replica.Client
	follow   *follower.Follower
	forward  *forwarder.Forwarder
	callers  *requester.Listener
	balancer *readier.Server
	metrics  *exposer.Server
	gossip   *gossiper.Gossiper
	relay    *relayer.Server
	guide    guide
	// roster are the VMs that may gather, and gather makes calls to them.
	roster selector.Roster
	gather *gatherer.Client
	// enroll keeps the record of the fleet, in which VMs that start find the others.
	enroll  *enroller.Enroller
	started time.Time
	// losses are the replicas that requests have crashed.
	losses quarantiner.Tracker
	// evidence is what all VMs have seen of replicas.
	evidence reporter.Evidence
	// counting is held while the VMs are counted.
	counting sync.Mutex
	stopping atomic.Bool
	// closing is true once new requests are refused.
	closing  atomic.Bool
	stop     chan struct{}
	stopOnce sync.Once
}

// New binds the daemon's addresses. Its log goes to out and never waits for it.
func New(site loader.Site, out io.Writer) (*Daemon, error) {
	d := &Daemon{site: site, spool: &spooler.Spooler{Out: out}, stop: make(chan struct{}), started: time.Now()}
	log, routine := site.Log.Logger(d.spool.Important()), site.Log.Logger(d.spool.Routine())
	log.AddHook(named(site.VM.ID))
	routine.AddHook(named(site.VM.ID))
	d.log = log
	d.follow = follower.New(store.Decoder{}, log)
	d.enroll = &enroller.Enroller{Store: store.New(site.Store), Key: store.KeyFleet, Log: log}
	d.follow.OnFleetRecord = func(value []byte, revision uint64) {
		d.enroll.ObserveRecord(value, revision)
		// The follower holds its lock, and the count goes to it.
		go d.count()
	}
	gatherKeys, err := derive(site.Peers.Keys, "gather")
	if err != nil {
		return nil, err
	}
	if d.gather, err = gatherer.NewClient(gatherKeys, &d.roster, relayer.DialStream); err != nil {
		return nil, err
	}
	d.forward = forwarder.New(forwarder.Config{
		VM:          site.VM.ID,
		Gatherers:   d.gather,
		DataCentre:  site.VM.DataCentre,
		RetryRatio:  site.Bounds.RetryRatio,
		RetrySlack:  site.Bounds.RetrySlack,
		RetryWindow: site.Bounds.RetryWindow,
		FirstStart:  site.FirstStart,
		CallerDelay: callerDelay,
		Log:         log,
		RoutineLog:  routine,
		Quarantine:  &d.losses,
		SharedStats: &d.evidence,
		Announce:    d.guide.announce,
	}, d.follow, &d.backend)
	calls, err := gatherer.NewServer(gatherKeys, d, log)
	if err != nil {
		return nil, err
	}
	if err := d.join(calls); err != nil {
		return nil, err
	}
	if d.balancer, err = readier.Listen(site.Requests.Readiness, d.Ready); err != nil {
		return nil, err
	}
	if d.metrics, err = exposer.Listen(site.Requests.Metrics, d.registry()); err != nil {
		return nil, err
	}
	d.callers, err = requester.Listen(site.Requests.Listen, d)
	return d, err
}

// named adds the VM's ID to each line, so that the logs of several VMs can be read together.
type named string

// Levels implements logrus.Hook.
func (named) Levels() []logrus.Level {
	return logrus.AllLevels
}

// Fire implements logrus.Hook.
func (n named) Fire(e *logrus.Entry) error {
	e.Data["vm"] = string(n)
	return nil
}

// registry returns the metrics of all parts.
func (d *Daemon) registry() *prometheus.Registry {
	reg := prometheus.NewRegistry()
	reg.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: "ebonylock", Name: "replica_connections", Help: "Open connections to replicas.",
		}, func() float64 { return float64(d.backend.Connections()) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Namespace: "ebonylock", Name: "log_lines_dropped_total", Help: "Log lines dropped for volume.",
		}, func() float64 { return float64(d.spool.Dropped()) }),
	)
	d.forward.Register(reg)
	d.follow.Register(reg)
	d.gossip.Register(reg)
	return reg
}

// join starts the membership between VMs, and takes their calls.
func (d *Daemon) join(calls *gatherer.Server) error {
	incarnation := rand.Uint64()
	keys, err := derive(d.site.Peers.Keys, "membership")
	if err != nil {
		return err
	}
	relayKeys, err := derive(d.site.Peers.Keys, "relay")
	if err != nil {
		return err
	}
	if d.relay, err = relayer.Listen(d.site.Peers.Link, relayKeys, &d.follow.Cache); err != nil {
		return err
	}
	d.relay.OnStream = calls.ServeConn
	d.relay.OnLoss = func(l quarantiner.Loss) { d.losses.Report(l) }
	d.evidence.OnChange = d.judged
	d.relay.Evidence = &d.evidence
	d.guide = guide{self: d.site.VM.ID, dataCentre: d.site.VM.DataCentre, store: store.New(d.site.Store), keys: relayKeys, evidence: &d.evidence, log: d.log}
	d.guide.seeds = seedMembers(d.site.Peers.Seeds, d.relay.Addr())
	d.guide.patient = d.site.FirstStart && len(d.guide.seeds) == len(d.site.Peers.Seeds) && len(d.guide.seeds) > 0
	self := prober.Member{
		ID:          d.site.VM.ID,
		DataCentre:  d.site.VM.DataCentre,
		Link:        d.relay.Addr(),
		Operators:   d.site.Requests.Metrics,
		Capacity:    uint64(d.site.VM.LinkMbps),
		Incarnation: incarnation,
		Epoch:       uint64(time.Now().UnixMilli()),
	}
	cfg := gossiper.Config{Bind: d.site.Peers.Gossip, Self: self, Keys: keys, Timing: timing, PauseAfter: fenceAfter, Tick: tick}
	// The observer may be called before Start returns.
	d.counting.Lock()
	d.gossip, err = gossiper.Start(cfg, func(self prober.Member) *prober.Prober {
		return prober.New(self, cfg.Timing, rand.New(rand.NewPCG(incarnation, self.Epoch)), time.Now())
	}, d)
	d.counting.Unlock()
	if err != nil {
		return err
	}
	d.setSeeds(d.site.Peers.Seeds)
	d.count()
	return nil
}

// judged writes that all VMs together hold a replica for failing or slow, or no longer do.
func (d *Daemon) judged(v reporter.Verdict, ended bool) {
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
	d.log.WithFields(fields).Info("belief of all VMs about a replica changed")
}

// setSeeds takes in the addresses of VMs that may be alive, which all listen on the same port.
func (d *Daemon) setSeeds(addrs []netip.AddrPort) {
	seeds := make([]netip.AddrPort, len(addrs))
	for i, a := range addrs {
		seeds[i] = netip.AddrPortFrom(a.Addr(), d.site.Peers.Gossip.Port())
	}
	d.gossip.SetSeeds(seeds)
}

// Reload takes in settings that were read again. Seeds and the level of the log are in force at
// once, all others at the next start.
func (d *Daemon) Reload(site loader.Site) {
	d.setSeeds(site.Peers.Seeds)
	if level, err := logrus.ParseLevel(site.Log.Level); err == nil {
		d.log.SetLevel(level)
	}
	d.log.WithFields(logrus.Fields{"event": "reload", "seeds": len(site.Peers.Seeds), "level": site.Log.Level}).Info("settings read again")
}

// ReloadFailed writes that settings could not be read again; the last ones stay in force.
func (d *Daemon) ReloadFailed(err error) {
	d.log.WithField("event", "reload").WithError(err).Error("settings not readable; the last ones stay in force")
}

// derive returns a key for purpose from each fleet key.
func derive(secrets [][]byte, purpose string) ([][]byte, error) {
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
	if gap > neverHeard {
		return
	}
	d.log.WithFields(logrus.Fields{"event": "paused", "gap": gap.String()}).Warn("the process was paused")
}

// Ready reports whether the VM should get callers.
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
	if d.closing.Load() {
		return d.forward.Refuse(r)
	}
	return d.forward.Serve(ctx, r)
}

// Collect implements gatherer.Collector.
func (d *Daemon) Collect(ctx context.Context, c *forwarder.Call, accept func() bool, emit func(forwarder.Partial)) error {
	if d.closing.Load() {
		return forwarder.ErrRefused
	}
	return d.forward.Collect(ctx, c, accept, emit)
}

// work is what callers and other VMs send.
type work struct {
	*requester.Listener
	forward *forwarder.Forwarder
}

// InFlight implements traffic.
func (w work) InFlight() int {
	return w.Listener.InFlight() + w.forward.ActiveCalls()
}

// Stop begins the graceful shutdown.
func (d *Daemon) Stop() {
	d.stopOnce.Do(func() { close(d.stop) })
}

// Run serves until Stop and the graceful shutdown that follows, or until ctx ends.
func (d *Daemon) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	failed := make(chan error, 3)
	go func() { failed <- d.metrics.Serve() }()
	go func() { failed <- d.balancer.Serve() }()
	go func() { failed <- d.relay.Serve() }()
	go d.follow.Follow(ctx, readers, &d.guide)
	go d.follow.ExpireReplicas(ctx)
	go d.sweep(ctx)
	go d.keepRecord(ctx)
	go d.forward.Warm(ctx)
	d.log.WithFields(logrus.Fields{
		"event": "start", "vm": d.site.VM.ID, "data-centre": d.site.VM.DataCentre,
		"callers": d.callers.Addr().String(), "first-start": d.site.FirstStart,
	}).Info("VM started")
	select {
	case err := <-failed:
		return err
	case err := <-d.callers.Ended():
		return err
	case <-ctx.Done():
		return nil
	case <-d.stop:
		d.shutdown(ctx)
		return nil
	}
}

// shutdown serves what the balancer still sends, finishes what runs, and leaves.
func (d *Daemon) shutdown(ctx context.Context) {
	began := time.Now()
	d.stopping.Store(true)
	d.gossip.Drain()
	d.log.WithField("event", "stop").Info("graceful shutdown started")
	stopper{
		traffic: work{d.callers, d.forward},
		grace:   d.site.Bounds.Grace,
		refuse:  func() { d.closing.Store(true) },
		leave: func() {
			d.gossip.Leave()
			d.log.WithFields(logrus.Fields{"event": "stopped", "in-flight": d.callers.InFlight(), "took": time.Since(began).String()}).Info("graceful shutdown ends")
			d.spool.Flush(flushTimeout)
		},
	}.stop(ctx)
}

// sweep drops what was not used for long.
func (d *Daemon) sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	dropped := uint64(0)
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			d.backend.CloseIdle(now)
			d.gather.CloseIdle(now)
			d.forward.Forget(now.Add(-forgetAfter))
			dropped = d.reportDropped(dropped)
		}
	}
}

// reportDropped writes how many lines of the log were dropped since before.
func (d *Daemon) reportDropped(before uint64) uint64 {
	n := d.spool.Dropped()
	if n > before {
		d.log.WithFields(logrus.Fields{"event": "log-dropped", "lines": n - before}).Warn("log lines were dropped for volume")
	}
	return n
}
