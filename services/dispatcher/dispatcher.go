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

// Runner runs requests at one backend server.
type Runner interface {
	// Run sends r once; errors match executor.ErrNotRun or executor.ErrUnknownOutcome.
	Run(r executor.Request) (executor.Reply, error)
	// Cancel asks for the end of a run; it is a hint.
	Cancel(id string, now time.Time) error
	// State reads what the server says of itself.
	State(deadline time.Time) (executor.State, error)
	// Close gives up the connections.
	Close()
}

// Losses is told of servers lost while they ran a request.
type Losses interface {
	Verdict(f quarantiner.Fingerprint, now time.Time) quarantiner.Verdict
	Begin(f quarantiner.Fingerprint, now time.Time) bool
	End(f quarantiner.Fingerprint)
	Report(l quarantiner.Loss) bool
	Prove(f quarantiner.Fingerprint)
}

// Config sets up a Dispatcher. Zero fields take the defaults.
type Config struct {
	// RunLimit is the longest run at a server.
	RunLimit time.Duration
	// FenceAfter is the age of the last heartbeat above which nothing is sent.
	FenceAfter time.Duration
	// ClockSlack is the bound on the difference between this VM's clock and a server's.
	ClockSlack time.Duration
	// RepliesPerSlot is the pace of the cold-start ramp.
	RepliesPerSlot int
	// RestartTime is the shortest time in which a backend server starts again.
	RestartTime time.Duration
	// Announce is told of each new loss, to pass it on to the other VMs; nil for nobody.
	Announce func(quarantiner.Loss)
}

// Default settings of a Dispatcher.
const (
	defaultRunLimit   = 450 * time.Millisecond
	defaultFenceAfter = 400 * time.Millisecond
	defaultClockSlack = 20 * time.Millisecond
	defaultRestart    = 250 * time.Millisecond
	// stuckFactor times a Sub's SlowAfter is the time of running after which the work
	// queued behind it is given back.
	stuckFactor  = 2
	stateTimeout = 250 * time.Millisecond
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

// Dispatcher holds the servers that this VM owns.
type Dispatcher struct {
	cfg    Config
	dial   func(lister.BackendServer) Runner
	losses Losses
	ring   *recorder.Ring
	// heartbeat returns the time of the last proof that this VM is in touch with the fleet.
	heartbeat func(now time.Time) time.Time
	metrics   *metrics

	mu      sync.RWMutex
	servers map[string]*server
	// leavingRuns are servers given up whose runs may not have ended.
	leavingRuns []*server
}

// New returns a Dispatcher without servers. The function dial makes the Runner of a server,
// and heartbeat returns the time of the last proof of contact with the fleet.
func New(cfg Config, dial func(lister.BackendServer) Runner, heartbeat func(time.Time) time.Time, losses Losses, ring *recorder.Ring) *Dispatcher {
	return &Dispatcher{
		cfg:       cfg.withDefaults(),
		dial:      dial,
		losses:    losses,
		ring:      ring,
		heartbeat: heartbeat,
		metrics:   newMetrics(),
		servers:   make(map[string]*server),
	}
}

// TakeoverDelay is how long after the death of an owner its servers stay closed: until
// its fence has closed and its last run has ended, should it live on unseen.
func (d *Dispatcher) TakeoverDelay() time.Duration {
	return d.cfg.FenceAfter + d.cfg.RunLimit + 2*d.cfg.ClockSlack
}

func (d *Dispatcher) server(id string) *server {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.servers[id]
}

// fenced reports whether the last heartbeat is too old to send anything.
func (d *Dispatcher) fenced(now time.Time) bool {
	return now.Sub(d.heartbeat(now)) > d.cfg.FenceAfter
}

// Dispatch runs a batch and calls emit, from several goroutines, with what becomes of each
// Sub. It returns once every Sub has had its final event, or when ctx ends, after which
// the rest is cancelled and emit is not called again. A number from cancels cancels that Sub.
func (d *Dispatcher) Dispatch(ctx context.Context, batch []Subrequest, cancels <-chan int, emit func(Event)) error {
	b := &inflight{emit: emit, tasks: make([]*task, len(batch)), open: len(batch), done: make(chan struct{})}
	for i := range batch {
		b.tasks[i] = &task{sub: batch[i], index: i, batch: b}
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

func (d *Dispatcher) start(t *task) {
	now := time.Now()
	s := d.server(t.sub.Server)
	if s == nil {
		t.fail(notRun(ErrNotOwner), 0)
		return
	}
	t.server = s
	if t.sub.Describe {
		s.describe(t)
		return
	}
	if d.losses.Verdict(t.sub.Fingerprint, now) == quarantiner.Blocked {
		t.fail(notRun(ErrQuarantined), 0)
		return
	}
	if err := s.offer(d, t, now); err != nil {
		e := Event{Index: t.index, Kind: Failed, Err: notRun(err), Load: s.load()}
		if errors.Is(err, executor.ErrNoGeneration) {
			e.Reply.Held = s.generations()
		}
		t.finish(e)
		return
	}
	d.pump(s)
}

// pump starts what the server's limit allows.
func (d *Dispatcher) pump(s *server) {
	for {
		now := time.Now()
		t, late, wake := s.next(d, now)
		switch {
		case t == nil:
			if wake > 0 {
				time.AfterFunc(wake, func() { d.pump(s) })
			}
			return
		case late:
			t.fail(notRun(limiter.ErrTooLate), s.load())
		default:
			go d.run(s, t)
		}
	}
}

// run makes one run and holds its slot until the run is known to have ended.
func (d *Dispatcher) run(s *server, t *task) {
	defer d.pump(s)
	started := time.Now()
	suspect := d.losses.Verdict(t.sub.Fingerprint, started) == quarantiner.Suspect
	if suspect && !d.losses.Begin(t.sub.Fingerprint, started) {
		s.finish(limiter.Neutral, 0, "")
		t.fail(notRun(ErrSuspectRunning), s.load())
		return
	}
	if suspect {
		defer d.losses.End(t.sub.Fingerprint)
	}
	if d.fenced(started) {
		s.finish(limiter.Neutral, 0, "")
		t.fail(notRun(ErrNotOpen), s.load())
		return
	}
	d.metrics.starts.Inc()
	reply, err := d.call(s, t, started)
	d.settle(s, t, started, reply, err)
}

func (d *Dispatcher) call(s *server, t *task, started time.Time) (executor.Reply, error) {
	deadline := t.sub.Deadline
	if limit := started.Add(d.cfg.RunLimit); limit.Before(deadline) {
		deadline = limit
	}
	t.runDeadline = deadline
	if t.sub.SlowAfter > 0 {
		slow := time.AfterFunc(t.sub.SlowAfter, func() { t.slow(s.load()) })
		defer slow.Stop()
		stuck := time.AfterFunc(stuckFactor*t.sub.SlowAfter, func() { d.stuck(s) })
		defer func() {
			if !stuck.Stop() {
				s.addStuck(-1)
			}
		}()
	}
	return s.runner.Run(executor.Request{
		ID:         t.sub.ID,
		Service:    t.sub.Service,
		Generation: t.sub.Generation,
		Body:       t.sub.Body,
		Deadline:   deadline,
		Idempotent: t.sub.Idempotent,
	})
}

// stuck gives back the work queued behind a run that blocks a slot for long.
func (d *Dispatcher) stuck(s *server) {
	s.addStuck(1)
	for _, queued := range s.movable() {
		queued.fail(notRun(ErrMoved), s.load())
	}
}

// settle reports the end of a run and gives the slot back. When the run may go on at the
// server, the slot stays held until the deadline that the server itself obeys.
func (d *Dispatcher) settle(s *server, t *task, started time.Time, reply executor.Reply, err error) {
	took := time.Since(started)
	s.learn(reply)
	if err == nil {
		d.losses.Prove(t.sub.Fingerprint)
		s.finish(limiter.Done, took, reply.BootID)
		t.finish(Event{Index: t.index, Kind: Done, Reply: reply, Load: s.load()})
		return
	}
	d.metrics.failures.WithLabelValues(Code(err)).Inc()
	outcome := outcomeOf(err)
	if outcome == limiter.Lost {
		d.lost(s, t, err)
	}
	if errors.Is(err, executor.ErrDraining) {
		d.leaving(s)
	}
	s.observe(outcome, took)
	t.finish(Event{Index: t.index, Kind: Failed, Reply: reply, Err: err, Load: s.load()})
	if mayGoOn(err) {
		time.Sleep(time.Until(t.runDeadline.Add(d.cfg.ClockSlack)))
	}
	s.release()
}

func mayGoOn(err error) bool {
	return errors.Is(err, executor.ErrUnknownOutcome) && !errors.Is(err, executor.ErrFailed)
}

func outcomeOf(err error) limiter.Outcome {
	switch {
	case errors.Is(err, executor.ErrShed), errors.Is(err, executor.ErrTooManyConns):
		return limiter.Shed
	case errors.Is(err, executor.ErrLost), errors.Is(err, executor.ErrRefused):
		return limiter.Lost
	}
	return limiter.Neutral
}

// lost records that a server can't be reached any more, and that it went away while it
// ran a request.
func (d *Dispatcher) lost(s *server, t *task, err error) {
	now := time.Now()
	d.ring.Record(now, recorder.ServerCold, s.info.ID, Code(err))
	if t.sub.Fingerprint == 0 || !errors.Is(err, executor.ErrLost) {
		return
	}
	loss := quarantiner.Loss{Fingerprint: t.sub.Fingerprint, Server: s.info.ID, At: now}
	if !d.losses.Report(loss) {
		return
	}
	kind := recorder.RequestSuspect
	if d.losses.Verdict(loss.Fingerprint, now) == quarantiner.Blocked {
		kind = recorder.RequestQuarantined
	}
	d.ring.Record(now, kind, s.info.ID, "server lost while it ran the request")
	if d.cfg.Announce != nil {
		d.cfg.Announce(loss)
	}
}

func (d *Dispatcher) leaving(s *server) {
	if s.setDraining() {
		d.ring.Record(time.Now(), recorder.ServerLeaving, s.info.ID, "server refuses new work")
	}
}

func (d *Dispatcher) cancel(t *task) {
	s := t.server
	if s == nil || t.ended() {
		return
	}
	t.stop()
	if s.withdraw(t) {
		return
	}
	if s.isRunning(t) {
		d.metrics.cancels.Inc()
		go func() { _ = s.runner.Cancel(t.sub.ID, time.Now()) }()
	}
}

// SetOwned sets the servers that this VM owns and, by data centre, the number of VMs that may
// hold its servers at once (below 0: not this one). New servers stay closed until Open.
// Work queued at servers given up is returned as not run. SetOwned returns the IDs of the
// servers that are closed.
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
			s = d.gain(now, info)
		case s.address() != info.Addr:
			d.giveUp(now, s)
			s = d.gain(now, info)
		}
		s.update(info, shares[info.DataCentre])
		if !s.isOpen() {
			closed = append(closed, info.ID)
		}
	}
	for id, s := range d.servers {
		if !keep[id] {
			d.giveUp(now, s)
			delete(d.servers, id)
		}
	}
	d.metrics.owned.Set(float64(len(d.servers)))
	return closed
}

func (d *Dispatcher) gain(now time.Time, info lister.BackendServer) *server {
	s := &server{info: info, runner: d.dial(info)}
	s.lim.RepliesPerSlot = d.cfg.RepliesPerSlot
	s.lim.StaleAfter = d.cfg.RestartTime
	d.servers[info.ID] = s
	d.ring.Record(now, recorder.OwnerGained, info.ID, "closed until no other VM can hold it")
	return s
}

func (d *Dispatcher) giveUp(now time.Time, s *server) {
	d.ring.Record(now, recorder.OwnerLost, s.info.ID, "")
	for _, t := range s.close() {
		t.fail(notRun(ErrNotOwner), 0)
	}
	d.leavingRuns = append(d.leavingRuns, s)
	time.AfterFunc(d.cfg.RunLimit+2*d.cfg.ClockSlack, s.runner.Close)
}

// Open lets work start at the named servers, as far as this VM owns them.
func (d *Dispatcher) Open(now time.Time, ids []string) {
	for _, id := range ids {
		s := d.server(id)
		if s == nil || !s.open() {
			continue
		}
		d.ring.Record(now, recorder.OwnerOpened, id, "")
		d.pollOne(s)
	}
}

// Held returns those of ids that this VM holds: owned and open, or with runs that have
// not ended.
func (d *Dispatcher) Held(ids []string) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.leavingRuns = slices.DeleteFunc(d.leavingRuns, func(s *server) bool { return s.idle() })
	var out []string
	for _, id := range ids {
		s := d.servers[id]
		held := s != nil && (s.isOpen() || !s.idle())
		for _, old := range d.leavingRuns {
			held = held || old.info.ID == id
		}
		if held {
			out = append(out, id)
		}
	}
	return out
}

// Reset treats everything held as lost, as after a pause of the process: each server is
// cold and closed until Open.
func (d *Dispatcher) Reset(now time.Time) {
	for _, s := range d.all() {
		for _, t := range s.reset() {
			t.fail(notRun(ErrNotOpen), 0)
		}
	}
	d.ring.Record(now, recorder.OwnerLost, "all", "no heartbeat for too long; every server is closed")
}

func (d *Dispatcher) all() []*server {
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

// Poll reads the state of every server that is open. It is a hint only: it teaches
// generations and the word of leaving, never the limit.
func (d *Dispatcher) Poll() {
	var wg sync.WaitGroup
	for _, s := range d.all() {
		if !s.isOpen() || d.fenced(time.Now()) {
			continue
		}
		wg.Go(func() { d.pollOne(s) })
	}
	wg.Wait()
}

func (d *Dispatcher) pollOne(s *server) {
	st, err := s.runner.State(time.Now().Add(stateTimeout))
	if err != nil {
		return
	}
	s.learn(executor.Reply{Held: st.Held})
	if st.Draining {
		d.leaving(s)
	} else {
		s.clearDraining()
	}
	if s.noteBoot(st.BootID) {
		d.ring.Record(time.Now(), recorder.ServerCold, s.info.ID, "server has started again")
	}
}

// Status describes one owned server.
type Status struct {
	Server   lister.BackendServer
	Limit    int
	Running  int
	Queued   int
	Cold     bool
	Draining bool
	Open     bool
}

// Statuses describes the owned servers, sorted by ID.
func (d *Dispatcher) Statuses() []Status {
	var out []Status
	for _, s := range d.all() {
		out = append(out, s.status())
	}
	return out
}

// Running is the number of slots held over all servers.
func (d *Dispatcher) Running() int {
	n := 0
	for _, s := range d.all() {
		n += s.status().Running
	}
	return n
}
