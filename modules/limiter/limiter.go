// Package limiter implements the concurrency limit, the queue and the cold-start ramp of one
// backend server. It does no I/O and never blocks; the current time is passed in.
//
// The limit follows additive increase and multiplicative decrease (Chiu and Jain, 1989)
// between 1 and the server's slots.
package limiter

import (
	"container/heap"
	"errors"
	"time"
)

var (
	// ErrQueueFull is returned if the queue is at its bound.
	ErrQueueFull = errors.New("queue full")
	// ErrTooLate is returned for work that is not expected to start before its deadline.
	ErrTooLate = errors.New("cannot start before the deadline")
)

// Outcome is the result of a run, as far as it matters to the limit.
type Outcome int

const (
	// Done is a complete reply.
	Done Outcome = iota
	// Shed is a refusal because of overload.
	Shed
	// Lost is a run whose server went away or stopped responding.
	Lost
	// Neutral says nothing about the server's load.
	Neutral
)

// Default settings of a Limiter.
const (
	defaultRepliesPerSlot = 16
	defaultQueuePerSlot   = 16
	defaultColdPause      = 250 * time.Millisecond
	maxColdPause          = 4 * time.Second
	serviceTimeWeight     = 0.1
)

// Item is an entry of the queue.
type Item[T any] struct {
	// Deadline is the time from which on the item is not started.
	Deadline time.Time
	// Urgent puts the item before all items that are not urgent.
	Urgent bool
	// Value belongs to the caller.
	Value T
	// index is the position in the heap; -1 once the item has left the queue.
	index int
}

// Limiter limits the concurrent runs at one server. The zero value is a cold server with one slot.
// It is not safe for concurrent use.
type Limiter[T any] struct {
	// Slots is the concurrency limit of the server once it is warm; below 1 counts as 1.
	Slots int
	// RepliesPerSlot is the number of complete replies, for each slot of the current limit, after
	// which a cold server gets one more slot; 0 means 16.
	RepliesPerSlot int
	// StaleAfter is the time without a reply after which the server may have restarted without this
	// VM having noticed, so that one run at a time is allowed until the next reply; 0 means never.
	StaleAfter time.Duration
	// lastReply is the time of the last reply.
	lastReply time.Time
	// sharers is the number of VMs that the slots are divided among, rounded down; see SetShare.
	sharers int
	// opened is the number of slots that the ramp has opened beyond the first one; it is below Slots.
	opened int
	// repliesAtLimit is the number of complete replies since the limit last changed.
	repliesAtLimit int
	// running is the number of slots held. No run starts while it is at or above the limit.
	running int
	// pausedUntil is the time before which no run starts.
	pausedUntil time.Time
	// nextPause is the length of the next pause after a loss; 0 means the default.
	nextPause time.Duration
	// serviceTime is the moving average of the duration of a run, in nanoseconds.
	serviceTime float64
	queue       queue[T]
}

// SetShare sets the number of VMs that may own the server at the same time. The slots are divided
// by n; 0 stands for one VM, and with a negative n no run starts.
func (l *Limiter[T]) SetShare(n int) {
	l.sharers = n
}

// Limit returns the number of concurrent runs allowed at now.
func (l *Limiter[T]) Limit(now time.Time) int {
	if l.sharers < 0 {
		return 0
	}
	share := max(l.Slots, 1) / max(l.sharers, 1)
	if l.StaleAfter > 0 && now.Sub(l.lastReply) > l.StaleAfter {
		return min(1, share)
	}
	return min(1+l.opened, share)
}

// NoteReply records a reply of the server that is not the end of a run.
func (l *Limiter[T]) NoteReply(now time.Time) {
	l.lastReply = now
}

// Cold reports whether the ramp has not yet opened all slots.
func (l *Limiter[T]) Cold() bool {
	return 1+l.opened < l.Slots
}

// Running returns the number of slots held.
func (l *Limiter[T]) Running() int {
	return l.running
}

// Queued returns the length of the queue.
func (l *Limiter[T]) Queued() int {
	return len(l.queue)
}

// Enqueue adds v to the queue, which is ordered by urgency and then by deadline. It returns
// ErrQueueFull if the queue is at its bound and ErrTooLate if v is not expected to start in time.
func (l *Limiter[T]) Enqueue(now, deadline time.Time, urgent bool, v T) (*Item[T], error) {
	if len(l.queue) >= defaultQueuePerSlot*max(l.Slots, 1) {
		return nil, ErrQueueFull
	}
	if now.Add(l.Wait(now)).After(deadline) {
		return nil, ErrTooLate
	}
	it := &Item[T]{Deadline: deadline, Urgent: urgent, Value: v}
	heap.Push(&l.queue, it)
	return it, nil
}

// Wait estimates how long a new item would wait for its start.
func (l *Limiter[T]) Wait(now time.Time) time.Duration {
	wait := max(l.pausedUntil.Sub(now), 0)
	ahead := l.running + len(l.queue) - max(l.Limit(now), 1) + 1
	if ahead > 0 {
		wait += time.Duration(l.serviceTime * float64(ahead) / float64(max(l.Limit(now), 1)))
	}
	return wait
}

// Remove removes it from the queue. It returns false if the item had already left the queue.
func (l *Limiter[T]) Remove(it *Item[T]) bool {
	if it.index < 0 {
		return false
	}
	heap.Remove(&l.queue, it.index)
	return true
}

// Next removes the next item to start from the queue and holds a slot for it. An item past its
// deadline is returned with late set, holds no slot and must not be started.
func (l *Limiter[T]) Next(now time.Time) (it *Item[T], late, ok bool) {
	if len(l.queue) == 0 {
		return nil, false, false
	}
	if !l.queue[0].Deadline.After(now) {
		return heap.Pop(&l.queue).(*Item[T]), true, true
	}
	if l.running >= l.Limit(now) || now.Before(l.pausedUntil) {
		return nil, false, false
	}
	l.running++
	return heap.Pop(&l.queue).(*Item[T]), false, true
}

// PausedUntil returns the time before which no run starts; it may be in the past.
func (l *Limiter[T]) PausedUntil() time.Time {
	return l.pausedUntil
}

// Observe records the outcome of a run and its duration. The slot stays held until Release.
func (l *Limiter[T]) Observe(now time.Time, o Outcome, took time.Duration) {
	switch o {
	case Done:
		l.NoteReply(now)
		l.serviceTime += (float64(took) - l.serviceTime) * serviceTimeWeight
		l.nextPause = 0
		l.grow()
	case Shed:
		l.opened = (1+l.opened)/2 - 1
		l.opened = max(l.opened, 0)
		l.repliesAtLimit = 0
	case Lost:
		l.BackOff(now)
	case Neutral:
	}
}

func (l *Limiter[T]) grow() {
	per := l.RepliesPerSlot
	if per == 0 {
		per = defaultRepliesPerSlot
	}
	l.repliesAtLimit++
	if l.repliesAtLimit < per*(1+l.opened) || 1+l.opened >= l.Slots {
		return
	}
	l.opened++
	l.repliesAtLimit = 0
}

// BackOff resets the ramp and pauses starts. The pause doubles with each loss in a row,
// up to maxColdPause.
func (l *Limiter[T]) BackOff(now time.Time) {
	l.ResetRamp()
	if l.nextPause == 0 {
		l.nextPause = defaultColdPause
	}
	l.pausedUntil = now.Add(l.nextPause)
	l.nextPause = min(2*l.nextPause, maxColdPause)
}

// ResetRamp makes the server cold, without a pause.
func (l *Limiter[T]) ResetRamp() {
	l.opened = 0
	l.repliesAtLimit = 0
}

// Release frees one slot.
func (l *Limiter[T]) Release() {
	l.running--
}

// Items returns the queued items in no particular order.
func (l *Limiter[T]) Items() []*Item[T] {
	return append([]*Item[T](nil), l.queue...)
}

// Drain empties the queue and returns its items.
func (l *Limiter[T]) Drain() []*Item[T] {
	out := []*Item[T](l.queue)
	for _, it := range out {
		it.index = -1
	}
	l.queue = nil
	return out
}

type queue[T any] []*Item[T]

func (q queue[T]) Len() int { return len(q) }

func (q queue[T]) Less(i, j int) bool {
	if q[i].Urgent != q[j].Urgent {
		return q[i].Urgent
	}
	return q[i].Deadline.Before(q[j].Deadline)
}

func (q queue[T]) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

func (q *queue[T]) Push(x any) {
	it := x.(*Item[T])
	it.index = len(*q)
	*q = append(*q, it)
}

func (q *queue[T]) Pop() any {
	old := *q
	it := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	it.index = -1
	return it
}
