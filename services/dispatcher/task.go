package dispatcher

import (
	"sync"
	"time"

	"github.com/ebonylock/ebonylock/modules/limiter"
)

// inflight is a batch under way.
type inflight struct {
	emit  func(Event)
	tasks []*task
	done  chan struct{}

	mu sync.Mutex
	// open is the number of tasks without their final event.
	open int
	// stopped is true once emit may not be called any more.
	stopped bool
}

func (b *inflight) stop() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stopped = true
}

// task is one Sub of a batch under way.
type task struct {
	sub    Subrequest
	index  int
	batch  *inflight
	server *server
	// item, running and runDeadline are guarded by the server's lock until the run starts.
	item        *limiter.Item[*task]
	running     bool
	runDeadline time.Time
	// final is true once the task's last event was given or is not wanted any more.
	// It is guarded by the batch's lock.
	final bool
}

func (t *task) fail(err error, load float64) {
	t.finish(Event{Index: t.index, Kind: Failed, Err: err, Load: load})
}

func (t *task) slow(load float64) {
	b := t.batch
	b.mu.Lock()
	defer b.mu.Unlock()
	if !t.final && !b.stopped {
		b.emit(Event{Index: t.index, Kind: Slow, Load: load})
	}
}

// finish gives the task's final event.
func (t *task) finish(e Event) {
	b := t.batch
	b.mu.Lock()
	defer b.mu.Unlock()
	if t.final {
		return
	}
	if !b.stopped {
		b.emit(e)
	}
	t.end()
}

// stop ends the task without an event.
func (t *task) stop() {
	t.batch.mu.Lock()
	defer t.batch.mu.Unlock()
	t.end()
}

func (t *task) end() {
	if t.final {
		return
	}
	t.final = true
	t.batch.open--
	if t.batch.open == 0 {
		close(t.batch.done)
	}
}

func (t *task) ended() bool {
	t.batch.mu.Lock()
	defer t.batch.mu.Unlock()
	return t.final
}
