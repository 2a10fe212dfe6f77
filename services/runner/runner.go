// Package runner starts the components of an entry VM's daemon and shuts them down gracefully.
package runner

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/samber/oops"
	"github.com/sirupsen/logrus"

	"github.com/ebonylock/ebonylock/modules/bouncer"
	"github.com/ebonylock/ebonylock/modules/executor"
	"github.com/ebonylock/ebonylock/modules/fetcher"
	"github.com/ebonylock/ebonylock/modules/keeper"
	"github.com/ebonylock/ebonylock/modules/lister"
	"github.com/ebonylock/ebonylock/modules/loader"
	"github.com/ebonylock/ebonylock/modules/planner"
	"github.com/ebonylock/ebonylock/modules/prober"
	"github.com/ebonylock/ebonylock/modules/quarantiner"
	"github.com/ebonylock/ebonylock/modules/rationer"
	"github.com/ebonylock/ebonylock/modules/recorder"
	"github.com/ebonylock/ebonylock/routers/answerer"
	"github.com/ebonylock/ebonylock/routers/controller"
	"github.com/ebonylock/ebonylock/services/configurer"
	"github.com/ebonylock/ebonylock/services/coordinator"
	"github.com/ebonylock/ebonylock/services/dispatcher"
	"github.com/ebonylock/ebonylock/services/gossiper"
	"github.com/ebonylock/ebonylock/services/linker"
	"github.com/ebonylock/ebonylock/services/scatterer"
	"github.com/ebonylock/ebonylock/services/submitter"
)

const (
	// balancerDelay is the time for which the platform's balancer may still send requests after this VM has
	// become not ready.
	balancerDelay = 3 * time.Second
	// callersPart is the part of the process's file descriptors that connections of callers may use. A VM may own
	// all backend servers, each with several connections.
	callersPart = 0.5
	// answerMargin is the time that an answer may take after its request's deadline.
	answerMargin = time.Second
	// fenceAfter is the age of the last heartbeat above which nothing is sent to backend servers.
	fenceAfter = 400 * time.Millisecond
)

// Daemon is a running entry VM.
type Daemon struct {
	settings   loader.Settings
	log        *logrus.Logger
	ring       recorder.Ring
	quarantine quarantiner.Tracker
	coord      *coordinator.Coordinator
	dispatch   *dispatcher.Dispatcher
	config     *configurer.Configurer
	gossip     *gossiper.Gossiper
	link       *linker.Linker
	scatter    *scatterer.Scatterer
	submit     *submitter.Submitter
	callers    *answerer.Server
	control    *controller.Server
	// stop is closed by Stop.
	stop     chan struct{}
	stopOnce sync.Once
	// clients is the memory that callers and operators make this VM hold.
	clients rationer.Pool
	// replies is the memory for the replies of backend servers that are being read.
	replies rationer.Budget
}

// stoppableFleet is the coordinator with a Stop method that stops the daemon.
type stoppableFleet struct {
	*coordinator.Coordinator
	d *Daemon
}

// Stop begins the graceful shutdown.
func (f stoppableFleet) Stop() {
	f.d.Stop()
}

// New binds the daemon's addresses and creates its components.
func New(s loader.Settings, log *logrus.Logger) (*Daemon, error) {
	d := &Daemon{settings: s, log: log, stop: make(chan struct{})}
	d.coord = coordinator.New(s.VM.ID)
	d.config = configurer.New(keeper.New(s.Platform.Store), &d.ring, func(c planner.Config) { d.coord.ConfigChanged(c) })
	incarnation := rand.Uint64()
	if err := d.bindPeers(incarnation); err != nil {
		return nil, err
	}
	if err := d.bindHTTP(incarnation); err != nil {
		return nil, err
	}
	return d, nil
}

// bindPeers binds the addresses for other entry VMs. The membership protocol is started last, as it announces
// the other addresses.
func (d *Daemon) bindPeers(incarnation uint64) error {
	s := d.settings
	link, err := linker.Listen(s.Fleet.Link, s.Fleet.Keys, d.coord)
	if err != nil {
		return err
	}
	d.link = link
	var keys [][]byte
	for _, k := range s.Fleet.Keys {
		key, err := linker.DeriveKey(k, "membership")
		if err != nil {
			return err
		}
		keys = append(keys, key)
	}
	self := prober.Member{
		ID:          s.VM.ID,
		DataCentre:  s.VM.DataCentre,
		Link:        link.Addr(),
		Operators:   s.Operators.Listen,
		Incarnation: incarnation,
		Epoch:       uint64(time.Now().UnixMilli()),
	}
	cfg := gossiper.Config{Bind: s.Fleet.Gossip, Self: self, Keys: keys, Clock: &d.ring.Clock, PauseAfter: fenceAfter}
	d.gossip, err = gossiper.Start(cfg, func(self prober.Member) *prober.Prober {
		return prober.New(self, cfg.Timing, rand.New(rand.NewPCG(incarnation, self.Epoch)), time.Now())
	}, d.coord)
	return err
}

// bindHTTP creates the components that serve requests, and binds the addresses for callers and operators.
func (d *Daemon) bindHTTP(incarnation uint64) error {
	s := d.settings
	d.dispatch = dispatcher.New(dispatcher.Config{
		RunLimit:       s.Limits.RunLimit,
		FenceAfter:     fenceAfter,
		ClockSlack:     s.Limits.ClockSlack,
		RepliesPerSlot: s.Limits.RepliesPerSlot,
		RestartTime:    s.Limits.RestartTime,
		Announce:       d.coord.Announce,
	}, d.dial, d.gossip.Heartbeat, &d.quarantine, &d.ring)
	d.scatter = scatterer.New(scatterer.Config{ExtraRatio: s.Limits.ExtraRatio, MaxHedges: s.Limits.MaxHedges}, d.coord, &d.quarantine)
	shares := rationer.Divide(int64(s.VM.MemoryMB) * rationer.MiB)
	d.clients.Limit, d.replies.Limit = shares.Clients, shares.Replies
	conns := shares.LimitConnections(s.VM.Descriptors, callersPart)
	d.submit = submitter.New(s.VM.ID, incarnation, s.Fleet.Keys, d.coord)
	var err error
	d.callers, err = answerer.Listen(answerer.Config{
		Listen:          s.Callers.Listen,
		MaxBody:         s.Callers.MaxBody,
		DefaultDeadline: s.Callers.DefaultDeadline,
		MaxDeadline:     s.Callers.MaxDeadline,
		MaxInFlight:     s.Callers.MaxInFlight,
		Limits:          bouncer.Limits{MaxConns: conns.Callers, Memory: &d.clients, Buffers: shares.Buffers()},
	}, d.scatter, d.submit, d.coord)
	if err != nil {
		return err
	}
	reg := prometheus.NewRegistry()
	reg.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	for _, r := range []interface{ Register(prometheus.Registerer) }{&d.clients, &d.replies, d.dispatch, d.config, d.gossip, d.scatter, d.submit, d.callers} {
		r.Register(reg)
	}
	cfg := controller.Config{Listen: s.Operators.Listen, Tokens: s.Operators.Tokens, VM: s.VM.ID}
	cfg.Limits = bouncer.Limits{MaxConns: conns.Others, Memory: &d.clients, Buffers: shares.Buffers()}
	d.control, err = controller.Listen(cfg, stoppableFleet{d.coord, d}, d.config, &d.ring, reg)
	return err
}

// dial returns a client for a backend server.
func (d *Daemon) dial(b lister.BackendServer) dispatcher.Runner {
	return executor.New(b.Addr, b.MaxConns, fetcher.Limits{Memory: &d.replies, ReceiveBuffer: rationer.ReceiveBuffer})
}

// Stop begins the graceful shutdown.
func (d *Daemon) Stop() {
	d.stopOnce.Do(func() { close(d.stop) })
}

// ErrListenerEnded is returned by Run if a listener ended although the VM was not asked to stop.
var ErrListenerEnded = errors.New("listener ended")

// Run serves until the graceful shutdown has finished that Stop or the end of a listener starts. If ctx ends, it
// returns without waiting for running requests.
func (d *Daemon) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d.ring.Record(time.Now(), recorder.Started, d.settings.VM.ID, d.settings.VM.DataCentre)
	failed := make(chan error, 3)
	d.callers.OnAcceptError = d.logAcceptError("callers")
	d.control.OnAcceptError = d.logAcceptError("operators")
	go func() { failed <- d.callers.Serve() }()
	go func() { failed <- d.control.Serve() }()
	go func() { failed <- d.link.Serve(ctx) }()
	go d.coord.Run(ctx, coordinator.Dependencies{
		Self:       d.settings.VM.ID,
		Ring:       &d.ring,
		Lists:      lister.New(d.settings.Platform.VMList),
		Dispatch:   d.dispatch,
		Config:     d.config,
		Gossip:     d.gossip,
		Link:       d.link,
		Submit:     d.submit,
		Quarantine: &d.quarantine,
	})
	d.log.WithFields(logrus.Fields{
		"vm":        d.settings.VM.ID,
		"callers":   d.callers.Addr().String(),
		"operators": d.control.Addr().String(),
	}).Info("entry VM started")
	select {
	case err := <-failed:
		// The requests in progress don't depend on the listener that ended.
		d.log.WithError(err).Error("a listener ended; the VM stops")
		return errors.Join(ErrListenerEnded, err, d.shutdown(ctx))
	case <-ctx.Done():
		return nil
	case <-d.stop:
		return d.shutdown(ctx)
	}
}

// logAcceptError returns a function that logs an error of accept at the named listener.
func (d *Daemon) logAcceptError(listener string) func(err error) {
	return func(err error) {
		d.log.WithFields(logrus.Fields{"event": "accept-paused", "listener": listener}).WithError(err).Error("no connections accepted for a moment")
	}
}

// shutdown releases the backend servers, serves the requests that the balancer still sends, waits for running
// requests and leaves the fleet.
func (d *Daemon) shutdown(ctx context.Context) error {
	d.log.WithField("vm", d.settings.VM.ID).Info("graceful shutdown started")
	d.coord.Drain()
	d.callers.Drain()
	select {
	case <-ctx.Done():
		return nil
	case <-time.After(balancerDelay):
	}
	ctx, cancel := context.WithTimeout(ctx, shutdownTimeout(d.settings.Callers))
	defer cancel()
	err := d.callers.Shutdown(ctx)
	d.waitForRuns(ctx)
	d.gossip.Leave()
	_ = d.control.Shutdown(ctx)
	_ = d.gossip.Stop(ctx)
	d.link.Close()
	d.log.WithField("vm", d.settings.VM.ID).Info("graceful shutdown finished")
	return oops.Wrap(err)
}

// shutdownTimeout returns the limit on the wait for running requests during a shutdown: the longest time that a request
// may still take of which the first byte has arrived.
func shutdownTimeout(s loader.Callers) time.Duration {
	return answerer.ReadTimeout + s.MaxDeadline + answerMargin
}

// waitForRuns waits until no run at a backend server and no call of another VM is in progress, or until ctx ends.
func (d *Daemon) waitForRuns(ctx context.Context) {
	for (d.dispatch.Running() > 0 || d.link.Calls() > 0) && ctx.Err() == nil {
		time.Sleep(10 * time.Millisecond)
	}
}
