// Package limiter holds the concurrency limit, the queue and the cold-start ramp of one
// backend server. It is pure: time comes in as an argument and nothing blocks.
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
	// ErrQueueFull says that the queue has no room.
	ErrQueueFull = errors.New("queue full")
	// ErrTooLate says that the work would not start before its deadline.
	ErrTooLate = errors.New("no start before the deadline")
)

// Outcome is what came of one run, as far as the limit is concerned.
type Outcome int

const (
	// Done is a whole reply.
	Done Outcome = iota
	// Shed is a refusal for load.
	Shed
	// Lost is a run whose server went away or fell silent.
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

// Item is a piece of work in the queue.
type Item[T any] struct {
	// Deadline is the time after which the work is useless.
	Deadline time.Time
	// Urgent puts the item before all that are not.
	Urgent bool
	// Value is the caller's own.
	Value T
	// index is the place in the heap, -1 once the item is out of the queue.
	index int
}

// Limiter limits the work at one server. Its zero value is a cold server with one slot.
// It is not safe for concurrent use.
type Limiter[T any] struct {
	// Slots is the warm server's concurrency; below 1 counts as 1.
	Slots int
	// RepliesPerSlot is the number of whole replies at the present limit after which a
	// cold server gets one more slot; 0 means 16.
	RepliesPerSlot int
	// StaleAfter is the time without a reply after which the server may have started again
	// unseen, so that one run at a time is allowed until the next reply; 0 means never.
	StaleAfter time.Duration
	// heard is the time of the last reply.
	heard time.Time
	// shareOf divides the slots among VMs, rounded down.
	shareOf int
	// extra is the number of slots above the first that the ramp has opened; it is below Slots.
	extra int
	// streak is the number of whole replies since the limit changed.
	streak int
	// running is never above the limit at the time of the start.
	running int
	// pausedUntil is the time before which nothing starts.
	pausedUntil time.Time
	// pause is the length of the next pause after a loss; 0 means the default.
	pause time.Duration
	// serviceTime is the smoothed time of a run, in nanoseconds.
	serviceTime float64
	queue       queue[T]
}

// SetShare sets the number of VMs that may hold the server at the same time. The slots
// are divided by n; 0 stands for one VM, and a negative n stops all starts.
func (l *Limiter[T]) SetShare(n int) {
	l.shareOf = n
}

// Limit is the number of runs allowed at once now.
func (l *Limiter[T]) Limit(now time.Time) int {
	if l.shareOf < 0 {
		return 0
	}
	share := max(l.Slots, 1) / max(l.shareOf, 1)
	if l.StaleAfter > 0 && now.Sub(l.heard) > l.StaleAfter {
		return min(1, share)
	}
	return min(1+l.extra, share)
}

// NoteReply takes in a reply of the server that is not the end of a run.
func (l *Limiter[T]) NoteReply(now time.Time) {
	l.heard = now
}

// Cold is true until the ramp has opened all slots.
func (l *Limiter[T]) Cold() bool {
	return 1+l.extra < l.Slots
}

// Running is the number of slots held.
func (l *Limiter[T]) Running() int {
	return l.running
}

// Queued is the length of the queue.
func (l *Limiter[T]) Queued() int {
	return len(l.queue)
}

// Enqueue queues v, by deadline behind urgent work. It refuses work that can't start in time and work beyond the queue's bound.
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

// Wait estimates how long new work would wait for its start.
func (l *Limiter[T]) Wait(now time.Time) time.Duration {
	wait := max(l.pausedUntil.Sub(now), 0)
	ahead := l.running + len(l.queue) - max(l.Limit(now), 1) + 1
	if ahead > 0 {
		wait += time.Duration(l.serviceTime * float64(ahead) / float64(max(l.Limit(now), 1)))
	}
	return wait
}

// Remove takes it out of the queue. It returns false when the item had left the queue.
func (l *Limiter[T]) Remove(it *Item[T]) bool {
	if it.index < 0 {
		return false
	}
	heap.Remove(&l.queue, it.index)
	return true
}

// Next takes the next item to start and holds a slot for it. Items past their deadline
// come with late set, hold no slot and must not be started.
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

// PausedUntil is the time before which nothing starts; it may be past.
func (l *Limiter[T]) PausedUntil() time.Time {
	return l.pausedUntil
}

// Observe takes in the outcome of a run that took took. The slot stays held until Release.
func (l *Limiter[T]) Observe(now time.Time, o Outcome, took time.Duration) {
	switch o {
	case Done:
		l.NoteReply(now)
		l.serviceTime += (float64(took) - l.serviceTime) * serviceTimeWeight
		l.pause = 0
		l.grow()
	case Shed:
		l.extra = (1+l.extra)/2 - 1
		l.extra = max(l.extra, 0)
		l.streak = 0
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
	l.streak++
	if l.streak < per*(1+l.extra) || 1+l.extra >= l.Slots {
		return
	}
	l.extra++
	l.streak = 0
}

// BackOff makes the server cold and pauses starts, longer after each loss in a row.
func (l *Limiter[T]) BackOff(now time.Time) {
	l.ResetRamp()
	if l.pause == 0 {
		l.pause = defaultColdPause
	}
	l.pausedUntil = now.Add(l.pause)
	l.pause = min(2*l.pause, maxColdPause)
}

// ResetRamp makes the server cold without a pause.
func (l *Limiter[T]) ResetRamp() {
	l.extra = 0
	l.streak = 0
}

// Release gives back one slot.
func (l *Limiter[T]) Release() {
	l.running--
}

// Items returns what is in the queue, in no order.
func (l *Limiter[T]) Items() []*Item[T] {
	return append([]*Item[T](nil), l.queue...)
}

// Drain empties the queue and returns what was in it.
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
