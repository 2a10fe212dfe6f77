package dispatcher

import (
	"sync"
	"time"

	"github.com/ebonylock/ebonylock/modules/limiter"
)

// inflightBatch is a batch that Dispatch is running.
type inflightBatch struct {
	emit  func(Event)
	tasks []*task
	done  chan struct{}

	mu sync.Mutex
	// unfinished is the number of tasks that are not finished.
	unfinished int
	// stopped is true once emit must not be called any more.
	stopped bool
}

// stop prevents further calls of emit.
func (b *inflightBatch) stop() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stopped = true
}

// task is one Subrequest of an inflightBatch.
type task struct {
	request Subrequest
	index   int
	batch   *inflightBatch
	server  *server
	// item, running and runDeadline are guarded by server.mu until the run starts.
	item        *limiter.Item[*task]
	running     bool
	runDeadline time.Time
	// finished is true once the final event of the task was emitted or is no longer needed.
	// It is guarded by batch.mu.
	finished bool
}

// fail finishes the task with a Failed event.
func (t *task) fail(err error, load float64) {
	t.finish(Event{Index: t.index, Kind: Failed, Err: err, Load: load})
}

// reportSlow emits a Slow event unless the task is finished.
func (t *task) reportSlow(load float64) {
	b := t.batch
	b.mu.Lock()
	defer b.mu.Unlock()
	if !t.finished && !b.stopped {
		b.emit(Event{Index: t.index, Kind: Slow, Load: load})
	}
}

// finish emits the final event of the task, unless the task is already finished.
func (t *task) finish(e Event) {
	b := t.batch
	b.mu.Lock()
	defer b.mu.Unlock()
	if t.finished {
		return
	}
	if !b.stopped {
		b.emit(e)
	}
	t.markFinished()
}

// abandon finishes the task without an event.
func (t *task) abandon() {
	t.batch.mu.Lock()
	defer t.batch.mu.Unlock()
	t.markFinished()
}

// markFinished marks the task as finished, and closes batch.done if it was the last of its
// batch. The caller holds batch.mu.
func (t *task) markFinished() {
	if t.finished {
		return
	}
	t.finished = true
	t.batch.unfinished--
	if t.batch.unfinished == 0 {
		close(t.batch.done)
	}
}

func (t *task) isFinished() bool {
	t.batch.mu.Lock()
	defer t.batch.mu.Unlock()
	return t.finished
}
