package dispatcher

import (
	"net/netip"
	"sync"
	"time"

	"github.com/ebonylock/ebonylock/modules/executor"
	"github.com/ebonylock/ebonylock/modules/limiter"
	"github.com/ebonylock/ebonylock/modules/lister"
)

// server is the state of one backend server that this VM owns or has owned.
type server struct {
	runner Runner

	mu      sync.Mutex
	info    lister.BackendServer
	limiter limiter.Limiter[*task]
	// opened is true once no other VM can have work running at the server. Nothing is sent
	// before that.
	opened bool
	// released is true once the VM no longer owns the server.
	released bool
	draining bool
	// stalledRuns is the number of current runs that are stalled: they have held a slot for
	// stalledFactor times their SlowAfter.
	stalledRuns int
	bootID      string
	held        []executor.Generation
}

// enqueue adds t to the queue of the server, or returns the reason for refusing it.
func (s *server) enqueue(d *Dispatcher, t *task, now time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.released:
		return ErrNotOwner
	case !s.opened, d.fenced(now), s.limiter.Limit(now) == 0:
		return ErrNotOpen
	case s.draining:
		return executor.ErrDraining
	case t.request.Generation != 0 && len(s.held) > 0 && !s.hasGeneration(t.request.Generation):
		return executor.ErrNoGeneration
	}
	it, err := s.limiter.Enqueue(now, t.request.Deadline, t.request.Urgent, t)
	if err != nil {
		return err
	}
	t.item = it
	return nil
}

func (s *server) hasGeneration(generation uint64) bool {
	for _, g := range s.held {
		if g.Number == generation {
			return true
		}
	}
	return false
}

// takeMovable removes all work that may move from the queue and returns it.
func (s *server) takeMovable() []*task {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*task
	for _, it := range s.limiter.Items() {
		if it.Value.request.MayMove && s.limiter.Remove(it) {
			out = append(out, it.Value)
		}
	}
	return out
}

func (s *server) addStalledRuns(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stalledRuns += n
}

// dequeue removes t from the queue. It returns false if t is not in the queue.
func (s *server) dequeue(t *task) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return t.item != nil && s.limiter.Remove(t.item)
}

// isRunning reports whether t has left the queue.
func (s *server) isRunning(t *task) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return t.item != nil && t.running
}

// nextTask removes the next task to start from the queue, or one that has become too late.
// If it returns no task, wake is the delay after which starts are possible again, or 0 if no
// queued task is waiting for a pause to end.
func (s *server) nextTask(d *Dispatcher, now time.Time) (t *task, late bool, wake time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.released || !s.opened || d.fenced(now) {
		return nil, false, 0
	}
	it, late, ok := s.limiter.Next(now)
	if ok {
		it.Value.running = !late
		return it.Value, late, 0
	}
	if s.limiter.Queued() > 0 {
		wake = max(s.limiter.PausedUntil().Sub(now), 0)
	}
	return nil, false, wake
}

// finish records the outcome of a run and releases its slot.
func (s *server) finish(o limiter.Outcome, took time.Duration, boot string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if boot != "" {
		s.setBoot(boot)
	}
	s.limiter.Observe(time.Now(), o, took)
	s.limiter.Release()
}

func (s *server) observeOutcome(o limiter.Outcome, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limiter.Observe(time.Now(), o, took)
}

func (s *server) releaseSlot() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limiter.Release()
}

// setBoot sets the boot ID of the server. If it has changed, the server becomes cold and
// setBoot returns true. The caller holds s.mu.
func (s *server) setBoot(boot string) bool {
	changed := s.bootID != "" && s.bootID != boot
	if changed {
		s.limiter.ResetRamp()
	}
	s.bootID = boot
	return changed
}

// observeBoot records a boot ID that the server has reported outside a run. It returns true if
// the server has restarted.
func (s *server) observeBoot(boot string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := s.setBoot(boot)
	s.limiter.NoteReply(time.Now())
	return changed
}

func (s *server) updateGenerations(r executor.Reply) {
	if len(r.Held) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held = r.Held
}

func (s *server) generations() []executor.Generation {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.held
}

func (s *server) replyWithGenerations(t *task) {
	reply := executor.Reply{Held: s.generations()}
	t.finish(Event{Index: t.index, Kind: Done, Reply: reply, Load: s.load()})
}

// load returns the running and queued work per slot that is not held by a stalled run.
func (s *server) load() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	free := max(s.limiter.Limit(time.Now())-s.stalledRuns, 1)
	return float64(s.limiter.Running()+s.limiter.Queued()) / float64(free)
}

// setDraining marks the server as draining and returns true if it was not draining before.
func (s *server) setDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := !s.draining
	s.draining = true
	return changed
}

// clearDraining clears the draining flag, unless the server list says that the server is
// leaving.
func (s *server) clearDraining() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = s.info.Leaving
}

func (s *server) updateInfo(info lister.BackendServer, share int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.info = info
	s.limiter.Slots = info.Slots
	s.limiter.SetShare(share)
	s.draining = s.draining || info.Leaving
}

func (s *server) isOpen() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.released && s.opened
}

// open allows work to start at the server. It returns false if the server was already open or
// is no longer owned.
func (s *server) open() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := !s.opened && !s.released
	s.opened = true
	return changed
}

// idle reports whether no run holds a slot.
func (s *server) idle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limiter.Running() == 0
}

func (s *server) address() netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.info.Addr
}

// close marks the server as no longer owned and returns the tasks from its queue.
func (s *server) close() []*task {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.released = true
	return s.drainQueue()
}

// reset closes the server, makes it cold and returns the tasks from its queue.
func (s *server) reset() []*task {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.opened = false
	s.limiter.ResetRamp()
	return s.drainQueue()
}

// drainQueue empties the queue and returns its tasks. The caller holds s.mu.
func (s *server) drainQueue() []*task {
	var out []*task
	for _, it := range s.limiter.Drain() {
		out = append(out, it.Value)
	}
	return out
}

func (s *server) status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Status{
		Server:   s.info,
		Limit:    s.limiter.Limit(time.Now()),
		Running:  s.limiter.Running(),
		Queued:   s.limiter.Queued(),
		Cold:     s.limiter.Cold(),
		Draining: s.draining,
		Open:     !s.released && s.opened,
	}
}
