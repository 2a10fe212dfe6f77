package dispatcher

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/ebonylock/ebonylock/modules/executor"
	"github.com/ebonylock/ebonylock/modules/limiter"
	"github.com/ebonylock/ebonylock/modules/lister"
	"github.com/ebonylock/ebonylock/modules/quarantiner"
	"github.com/ebonylock/ebonylock/modules/recorder"
)

// Runner sends requests to one backend server.
type Runner interface {
	// Run sends r once. An error matches either executor.ErrNotRun or executor.ErrUnknownOutcome.
	Run(r executor.Request) (executor.Reply, error)
	// Cancel asks the server to stop a run. It is best-effort: the run may continue.
	Cancel(id string, now time.Time) error
	// State fetches the state that the server reports.
	State(deadline time.Time) (executor.State, error)
	// Close closes the connections.
	Close()
}

// Quarantine tracks backend servers that were lost while they ran a request, and limits how
// the requests under suspicion may run.
type Quarantine interface {
	// Verdict returns how a request may be run by the software.
	Verdict(f quarantiner.Fingerprint, t quarantiner.Software, now time.Time) quarantiner.Verdict
	// TryAcquire claims the only run that a suspect request may have at a time. It returns false
	// if the request is already running or is blocked.
	TryAcquire(f quarantiner.Fingerprint, t quarantiner.Software, now time.Time) bool
	// Release ends the claim made by TryAcquire.
	Release(f quarantiner.Fingerprint)
	// Report adds a loss and returns true if it is new.
	Report(l quarantiner.Loss) bool
	// LastAnswer returns the last time at which the software replied to a request; zero if it is not known to
	// have replied.
	LastAnswer(f quarantiner.Fingerprint, t quarantiner.Software) time.Time
	// MarkAnswered records a complete reply. It returns true if the reply clears a suspect.
	MarkAnswered(a quarantiner.Answer) bool
}

// Config configures a Dispatcher. Zero durations take the defaults.
type Config struct {
	// RunLimit is the maximum duration of a run at a server.
	RunLimit time.Duration
	// FenceAfter is the age of the last heartbeat above which this VM sends no work to servers.
	FenceAfter time.Duration
	// ClockSlack is the maximum difference between this VM's clock and a server's.
	ClockSlack time.Duration
	// RepliesPerSlot is the number of replies after which the cold-start ramp opens another
	// slot; 0 for the default of the limiter.
	RepliesPerSlot int
	// RestartTime is the minimum time that a backend server needs to restart.
	RestartTime time.Duration
	// Announce is called with each new loss, to pass it on to the other VMs. It may be nil.
	Announce func(quarantiner.Loss)
}

// Defaults of Config, and fixed settings.
const (
	defaultRunLimit   = 450 * time.Millisecond
	defaultFenceAfter = 400 * time.Millisecond
	defaultClockSlack = 20 * time.Millisecond
	defaultRestart    = 250 * time.Millisecond
	// stalledFactor times the SlowAfter of a Subrequest is the run time after which the
	// work queued behind it is returned.
	stalledFactor = 2
	stateTimeout  = 250 * time.Millisecond
)

func (c Config) withDefaults() Config {
	if c.RunLimit == 0 {
		c.RunLimit = defaultRunLimit
	}
	if c.FenceAfter == 0 {
		c.FenceAfter = defaultFenceAfter
	}
	if c.ClockSlack == 0 {
		c.ClockSlack = defaultClockSlack
	}
	if c.RestartTime == 0 {
		c.RestartTime = defaultRestart
	}
	return c
}

// Dispatcher sends subrequests to the backend servers that this VM owns.
type Dispatcher struct {
	cfg        Config
	dial       func(lister.BackendServer) Runner
	quarantine Quarantine
	ring       *recorder.Ring
	// heartbeat returns the time of the last confirmed contact with the fleet.
	heartbeat func(now time.Time) time.Time
	metrics   *metrics

	mu      sync.RWMutex
	servers map[string]*server
	// releasedServers are servers that this VM no longer owns but whose runs may not have
	// ended.
	releasedServers []*server
}

// New returns a Dispatcher without servers. The function dial creates the Runner of a server,
// and heartbeat returns the time of the last confirmed contact with the fleet.
func New(cfg Config, dial func(lister.BackendServer) Runner, heartbeat func(time.Time) time.Time, quarantine Quarantine, ring *recorder.Ring) *Dispatcher {
	return &Dispatcher{
		cfg:        cfg.withDefaults(),
		dial:       dial,
		quarantine: quarantine,
		ring:       ring,
		heartbeat:  heartbeat,
		metrics:    newMetrics(),
		servers:    make(map[string]*server),
	}
}

// TakeoverDelay returns how long a new owner must wait before it sends work to the servers
// of a VM that is presumed dead. That VM may still be running without contact to the fleet;
// after the delay it has stopped sending (FenceAfter) and its last run has ended (RunLimit).
func (d *Dispatcher) TakeoverDelay() time.Duration {
	return d.cfg.FenceAfter + d.cfg.RunLimit + 2*d.cfg.ClockSlack
}

func (d *Dispatcher) server(id string) *server {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.servers[id]
}

// fenced reports whether the last heartbeat is too old for this VM to send work.
func (d *Dispatcher) fenced(now time.Time) bool {
	return now.Sub(d.heartbeat(now)) > d.cfg.FenceAfter
}

// Dispatch runs a batch and calls emit with the events of each Subrequest. The calls come
// from several goroutines, one at a time. Dispatch returns once every Subrequest has had its
// final event. When ctx ends, it cancels the others, makes no more calls of emit and returns
// the error of ctx. An index received from cancels cancels that Subrequest.
func (d *Dispatcher) Dispatch(ctx context.Context, batch []Subrequest, cancels <-chan int, emit func(Event)) error {
	b := &inflightBatch{emit: emit, tasks: make([]*task, len(batch)), unfinished: len(batch), done: make(chan struct{})}
	for i := range batch {
		b.tasks[i] = &task{request: batch[i], index: i, batch: b}
	}
	for _, t := range b.tasks {
		d.start(t)
	}
	for {
		select {
		case <-b.done:
			return nil
		case i, ok := <-cancels:
			if !ok {
				cancels = nil
			} else if i >= 0 && i < len(b.tasks) {
				d.cancel(b.tasks[i])
			}
		case <-ctx.Done():
			b.stop()
			for _, t := range b.tasks {
				d.cancel(t)
			}
			return ctx.Err()
		}
	}
}

// start queues a task at its server, or finishes it at once if it needs no run or may not run.
func (d *Dispatcher) start(t *task) {
	now := time.Now()
	s := d.server(t.request.Server)
	if s == nil {
		t.fail(notRun(ErrNotOwner), 0)
		return
	}
	t.server = s
	if t.request.Describe {
		s.replyWithGenerations(t)
		return
	}
	if d.quarantine.Verdict(t.request.Fingerprint, t.request.Software(), now) == quarantiner.Blocked {
		t.fail(notRun(ErrQuarantined), 0)
		return
	}
	if err := s.enqueue(d, t, now); err != nil {
		e := Event{Index: t.index, Kind: Failed, Err: notRun(err), Load: s.load()}
		if errors.Is(err, executor.ErrNoGeneration) {
			e.Reply.Held = s.generations()
		}
		t.finish(e)
		return
	}
	d.startQueued(s)
}

// startQueued starts queued tasks as far as the server's limit allows, and tries again later
// if the limiter has paused starts.
func (d *Dispatcher) startQueued(s *server) {
	for {
		now := time.Now()
		t, late, wake := s.nextTask(d, now)
		switch {
		case t == nil:
			if wake > 0 {
				time.AfterFunc(wake, func() { d.startQueued(s) })
			}
			return
		case late:
			t.fail(notRun(limiter.ErrTooLate), s.load())
		default:
			go d.run(s, t)
		}
	}
}

// run runs one task and holds its slot until the run is known to have ended.
func (d *Dispatcher) run(s *server, t *task) {
	defer d.startQueued(s)
	started := time.Now()
	verdict := d.quarantine.Verdict(t.request.Fingerprint, t.request.Software(), started)
	if verdict == quarantiner.Blocked {
		// It was blocked while it was queued.
		s.finish(limiter.Neutral, 0, "")
		t.fail(notRun(ErrQuarantined), s.load())
		return
	}
	suspect := verdict == quarantiner.Suspect
	if suspect && !d.quarantine.TryAcquire(t.request.Fingerprint, t.request.Software(), started) {
		s.finish(limiter.Neutral, 0, "")
		t.fail(notRun(ErrSuspectRunning), s.load())
		return
	}
	if suspect {
		defer d.quarantine.Release(t.request.Fingerprint)
	}
	if d.fenced(started) {
		s.finish(limiter.Neutral, 0, "")
		t.fail(notRun(ErrNotOpen), s.load())
		return
	}
	d.metrics.starts.Inc()
	reply, err := d.runAtServer(s, t, started)
	d.handleResult(s, t, started, reply, err)
}

// runAtServer sends the task to the server. While the task runs, it reports a slow run and
// returns the work queued behind a stalled one.
func (d *Dispatcher) runAtServer(s *server, t *task, started time.Time) (executor.Reply, error) {
	deadline := t.request.Deadline
	if limit := started.Add(d.cfg.RunLimit); limit.Before(deadline) {
		deadline = limit
	}
	t.runDeadline = deadline
	if t.request.SlowAfter > 0 {
		slow := time.AfterFunc(t.request.SlowAfter, func() { t.reportSlow(s.load()) })
		defer slow.Stop()
		stalled := time.AfterFunc(stalledFactor*t.request.SlowAfter, func() { d.handleStalledRun(s) })
		defer func() {
			if !stalled.Stop() {
				s.addStalledRuns(-1)
			}
		}()
	}
	return s.runner.Run(executor.Request{
		ID:         t.request.ID,
		Service:    t.request.Service,
		Generation: t.request.Generation,
		Body:       t.request.Body,
		Deadline:   deadline,
		Idempotent: t.request.Idempotent,
	})
}

// handleStalledRun returns the movable work queued at a server where a run has held its slot
// for too long, so that the callers can send it to another replica.
func (d *Dispatcher) handleStalledRun(s *server) {
	s.addStalledRuns(1)
	for _, queued := range s.takeMovable() {
		queued.fail(notRun(ErrMoved), s.load())
	}
}

// handleResult reports the end of a run and releases its slot. If the run may still be going
// on at the server, the slot stays held until the run's deadline, which the server enforces, has
// passed by the server's clock as well.
func (d *Dispatcher) handleResult(s *server, t *task, started time.Time, reply executor.Reply, err error) {
	took := time.Since(started)
	s.updateGenerations(reply)
	if err == nil {
		d.quarantine.MarkAnswered(quarantiner.Answer{Fingerprint: t.request.Fingerprint, Software: t.request.Software(), At: time.Now()})
		s.finish(limiter.Done, took, reply.BootID)
		t.finish(Event{Index: t.index, Kind: Done, Reply: reply, Load: s.load()})
		return
	}
	d.metrics.failures.WithLabelValues(Code(err)).Inc()
	outcome := outcomeOf(err)
	if outcome == limiter.Lost {
		d.recordLoss(s, t, started, err)
	}
	if errors.Is(err, executor.ErrDraining) {
		d.markDraining(s)
	}
	s.observeOutcome(outcome, took)
	t.finish(Event{Index: t.index, Kind: Failed, Reply: reply, Err: err, Load: s.load()})
	if mayStillRun(err) {
		time.Sleep(time.Until(t.runDeadline.Add(d.cfg.ClockSlack)))
	}
	s.releaseSlot()
}

// mayStillRun reports whether the server may still be working on a run that ended with err.
func mayStillRun(err error) bool {
	return errors.Is(err, executor.ErrUnknownOutcome) && !errors.Is(err, executor.ErrFailed)
}

// outcomeOf returns what err means for the limit of the server.
func outcomeOf(err error) limiter.Outcome {
	switch {
	case errors.Is(err, executor.ErrShed), errors.Is(err, executor.ErrTooManyConns):
		return limiter.Shed
	case errors.Is(err, executor.ErrLost), errors.Is(err, executor.ErrRefused):
		return limiter.Lost
	}
	return limiter.Neutral
}

// recordLoss records that a server has become unreachable. If its connection was lost during
// the run of t, it also reports the loss to the quarantine.
func (d *Dispatcher) recordLoss(s *server, t *task, started time.Time, err error) {
	now := time.Now()
	d.ring.Record(now, recorder.ServerCold, s.info.ID, Code(err))
	if t.request.Fingerprint == 0 || !errors.Is(err, executor.ErrLost) {
		return
	}
	software := t.request.Software()
	loss := quarantiner.Loss{
		Fingerprint: t.request.Fingerprint, Software: software, Server: s.info.ID, Began: started, At: now,
		Answered: d.quarantine.LastAnswer(t.request.Fingerprint, software),
	}
	if !d.quarantine.Report(loss) {
		return
	}
	kind := recorder.RequestSuspect
	if d.quarantine.Verdict(loss.Fingerprint, software, now) == quarantiner.Blocked {
		kind = recorder.RequestQuarantined
	}
	d.ring.Record(now, kind, s.info.ID, "server lost while it ran the request")
	if d.cfg.Announce != nil {
		d.cfg.Announce(loss)
	}
}

// markDraining records that a server has stopped accepting new work.
func (d *Dispatcher) markDraining(s *server) {
	if s.setDraining() {
		d.ring.Record(time.Now(), recorder.ServerLeaving, s.info.ID, "server refuses new work")
	}
}

// cancel finishes t without an event. It removes t from the queue or, if t is running, asks
// the server to stop the run.
func (d *Dispatcher) cancel(t *task) {
	s := t.server
	if s == nil || t.isFinished() {
		return
	}
	t.abandon()
	if s.dequeue(t) {
		return
	}
	if s.isRunning(t) {
		d.metrics.cancels.Inc()
		go func() { _ = s.runner.Cancel(t.request.ID, time.Now()) }()
	}
}

// SetOwned sets the servers that this VM owns. For each data centre, shares has the number of
// VMs that may send work to its servers at the same time and thus divide their slots; a
// negative number means that this VM may not send any. A new server stays closed until Open is
// called for it. Work queued at servers that are no longer owned fails as not run. SetOwned
// returns the IDs of the owned servers that are closed.
func (d *Dispatcher) SetOwned(now time.Time, servers []lister.BackendServer, shares map[string]int) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	keep := make(map[string]bool, len(servers))
	var closed []string
	for _, info := range servers {
		keep[info.ID] = true
		s := d.servers[info.ID]
		switch {
		case s == nil:
			s = d.addServer(now, info)
		case s.address() != info.Addr:
			d.releaseServer(now, s)
			s = d.addServer(now, info)
		}
		s.updateInfo(info, shares[info.DataCentre])
		if !s.isOpen() {
			closed = append(closed, info.ID)
		}
	}
	for id, s := range d.servers {
		if !keep[id] {
			d.releaseServer(now, s)
			delete(d.servers, id)
		}
	}
	d.metrics.owned.Set(float64(len(d.servers)))
	return closed
}

// addServer starts to own a server, which stays closed until Open. The caller holds d.mu.
func (d *Dispatcher) addServer(now time.Time, info lister.BackendServer) *server {
	s := &server{info: info, runner: d.dial(info)}
	s.limiter.RepliesPerSlot = d.cfg.RepliesPerSlot
	s.limiter.StaleAfter = d.cfg.RestartTime
	d.servers[info.ID] = s
	d.ring.Record(now, recorder.OwnerGained, info.ID, "closed until no other VM can hold it")
	return s
}

// releaseServer gives up the ownership of a server. Its connections stay open until the last
// run has ended. The caller holds d.mu.
func (d *Dispatcher) releaseServer(now time.Time, s *server) {
	d.ring.Record(now, recorder.OwnerLost, s.info.ID, "")
	for _, t := range s.close() {
		t.fail(notRun(ErrNotOwner), 0)
	}
	d.releasedServers = append(d.releasedServers, s)
	time.AfterFunc(d.cfg.RunLimit+2*d.cfg.ClockSlack, s.runner.Close)
}

// Open allows work to start at the servers with these IDs. IDs of servers that this VM does
// not own are ignored.
func (d *Dispatcher) Open(now time.Time, ids []string) {
	for _, id := range ids {
		s := d.server(id)
		if s == nil || !s.open() {
			continue
		}
		d.ring.Record(now, recorder.OwnerOpened, id, "")
		d.pollServer(s)
	}
}

// Held returns those of ids where this VM may have work running: servers that it owns
// and has opened, and servers with runs that have not ended.
func (d *Dispatcher) Held(ids []string) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.releasedServers = slices.DeleteFunc(d.releasedServers, func(s *server) bool { return s.idle() })
	var out []string
	for _, id := range ids {
		s := d.servers[id]
		held := s != nil && (s.isOpen() || !s.idle())
		for _, old := range d.releasedServers {
			held = held || old.info.ID == id
		}
		if held {
			out = append(out, id)
		}
	}
	return out
}

// Reset closes every owned server until Open is called again, for use after the process was
// paused and other VMs may have taken over the servers. Queued work fails as not run, and each
// server starts cold again.
func (d *Dispatcher) Reset(now time.Time) {
	for _, s := range d.sortedServers() {
		for _, t := range s.reset() {
			t.fail(notRun(ErrNotOpen), 0)
		}
	}
	d.ring.Record(now, recorder.OwnerLost, "all", "no heartbeat for too long; every server is closed")
}

// sortedServers returns the owned servers, sorted by ID.
func (d *Dispatcher) sortedServers() []*server {
	d.mu.RLock()
	defer d.mu.RUnlock()
	out := make([]*server, 0, len(d.servers))
	for _, s := range d.servers {
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b *server) int {
		if a.info.ID < b.info.ID {
			return -1
		}
		return 1
	})
	return out
}

// Poll fetches the state of every open server. The state is only a hint: it updates the
// generations and the draining flag, and a new boot ID makes the server cold, but the reported
// state never sets the limit.
func (d *Dispatcher) Poll() {
	var wg sync.WaitGroup
	for _, s := range d.sortedServers() {
		if !s.isOpen() || d.fenced(time.Now()) {
			continue
		}
		wg.Go(func() { d.pollServer(s) })
	}
	wg.Wait()
}

func (d *Dispatcher) pollServer(s *server) {
	st, err := s.runner.State(time.Now().Add(stateTimeout))
	if err != nil {
		return
	}
	s.updateGenerations(executor.Reply{Held: st.Held})
	if st.Draining {
		d.markDraining(s)
	} else {
		s.clearDraining()
	}
	if s.observeBoot(st.BootID) {
		d.ring.Record(time.Now(), recorder.ServerCold, s.info.ID, "server has started again")
	}
}

// Status is the state of one owned server.
type Status struct {
	Server   lister.BackendServer
	Limit    int
	Running  int
	Queued   int
	Cold     bool
	Draining bool
	Open     bool
}

// Statuses returns the state of the owned servers, sorted by ID.
func (d *Dispatcher) Statuses() []Status {
	var out []Status
	for _, s := range d.sortedServers() {
		out = append(out, s.status())
	}
	return out
}

// Running returns the number of slots in use at all owned servers.
func (d *Dispatcher) Running() int {
	n := 0
	for _, s := range d.sortedServers() {
		n += s.status().Running
	}
	return n
}
