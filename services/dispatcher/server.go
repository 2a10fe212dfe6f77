package dispatcher

import (
	"net/netip"
	"sync"
	"time"

	"github.com/ebonylock/ebonylock/modules/executor"
	"github.com/ebonylock/ebonylock/modules/limiter"
	"github.com/ebonylock/ebonylock/modules/lister"
)

// server is the owner's state of one backend server.
type server struct {
	runner Runner

	mu   sync.Mutex
	info lister.BackendServer
	lim  limiter.Limiter[*task]
	// opened is true once no other VM can hold the server; nothing is sent before.
	opened bool
	// closed is true once the VM has given up the server.
	closed   bool
	draining bool
	// stuckRuns is the number of runs under way that block a slot for long.
	stuckRuns int
	bootID    string
	held      []executor.Generation
}

// offer queues t.
func (s *server) offer(d *Dispatcher, t *task, now time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.closed:
		return ErrNotOwner
	case !s.opened, d.fenced(now), s.lim.Limit(now) == 0:
		return ErrNotOpen
	case s.draining:
		return executor.ErrDraining
	case t.sub.Generation != 0 && len(s.held) > 0 && !s.holds(t.sub.Generation):
		return executor.ErrNoGeneration
	}
	it, err := s.lim.Enqueue(now, t.sub.Deadline, t.sub.Urgent, t)
	if err != nil {
		return err
	}
	t.item = it
	return nil
}

func (s *server) holds(generation uint64) bool {
	for _, g := range s.held {
		if g.Number == generation {
			return true
		}
	}
	return false
}

// movable takes all work that may move out of the queue.
func (s *server) movable() []*task {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*task
	for _, it := range s.lim.Items() {
		if it.Value.sub.MayMove && s.lim.Remove(it) {
			out = append(out, it.Value)
		}
	}
	return out
}

func (s *server) addStuck(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stuckRuns += n
}

// withdraw takes t out of the queue; it returns false when t is not in it.
func (s *server) withdraw(t *task) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return t.item != nil && s.lim.Remove(t.item)
}

// isRunning reports whether t has left the queue.
func (s *server) isRunning(t *task) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return t.item != nil && t.running
}

// next takes the next task to start, or one that is too late. Without a task, wake is
// the time after which starts are possible again, 0 if nothing waits for time to pass.
func (s *server) next(d *Dispatcher, now time.Time) (t *task, late bool, wake time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || !s.opened || d.fenced(now) {
		return nil, false, 0
	}
	it, late, ok := s.lim.Next(now)
	if ok {
		it.Value.running = !late
		return it.Value, late, 0
	}
	if s.lim.Queued() > 0 {
		wake = max(s.lim.PausedUntil().Sub(now), 0)
	}
	return nil, false, wake
}

// finish takes in the outcome of a run and gives its slot back.
func (s *server) finish(o limiter.Outcome, took time.Duration, boot string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if boot != "" {
		s.setBoot(boot)
	}
	s.lim.Observe(time.Now(), o, took)
	s.lim.Release()
}

func (s *server) observe(o limiter.Outcome, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lim.Observe(time.Now(), o, took)
}

func (s *server) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lim.Release()
}

// setBoot makes the server cold when its boot identity has changed.
func (s *server) setBoot(boot string) bool {
	changed := s.bootID != "" && s.bootID != boot
	if changed {
		s.lim.ResetRamp()
	}
	s.bootID = boot
	return changed
}

func (s *server) noteBoot(boot string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := s.setBoot(boot)
	s.lim.NoteReply(time.Now())
	return changed
}

func (s *server) learn(r executor.Reply) {
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

func (s *server) describe(t *task) {
	reply := executor.Reply{Held: s.generations()}
	t.finish(Event{Index: t.index, Kind: Done, Reply: reply, Load: s.load()})
}

func (s *server) load() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	free := max(s.lim.Limit(time.Now())-s.stuckRuns, 1)
	return float64(s.lim.Running()+s.lim.Queued()) / float64(free)
}

func (s *server) setDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := !s.draining
	s.draining = true
	return changed
}

func (s *server) clearDraining() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = s.info.Leaving
}

func (s *server) update(info lister.BackendServer, share int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.info = info
	s.lim.Slots = info.Slots
	s.lim.SetShare(share)
	s.draining = s.draining || info.Leaving
}

func (s *server) isOpen() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.closed && s.opened
}

// open returns false when the server was open or given up.
func (s *server) open() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := !s.opened && !s.closed
	s.opened = true
	return changed
}

// idle reports whether no run is under way.
func (s *server) idle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lim.Running() == 0
}

func (s *server) address() netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.info.Addr
}

func (s *server) close() []*task {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	return s.drain()
}

func (s *server) reset() []*task {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.opened = false
	s.lim.ResetRamp()
	return s.drain()
}

func (s *server) drain() []*task {
	var out []*task
	for _, it := range s.lim.Drain() {
		out = append(out, it.Value)
	}
	return out
}

func (s *server) status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Status{
		Server:   s.info,
		Limit:    s.lim.Limit(time.Now()),
		Running:  s.lim.Running(),
		Queued:   s.lim.Queued(),
		Cold:     s.lim.Cold(),
		Draining: s.draining,
		Open:     !s.closed && s.opened,
	}
}
