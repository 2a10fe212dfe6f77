package scatterer

import "sync"

// eventQueue passes events to the goroutine of a gather. It is unbounded, so push never blocks.
type eventQueue struct {
	// wake holds a value while there may be events.
	wake chan struct{}

	mu     sync.Mutex
	events []gatherEvent
}

// push adds an event and wakes the goroutine of the gather.
func (q *eventQueue) push(e gatherEvent) {
	q.mu.Lock()
	q.events = append(q.events, e)
	q.mu.Unlock()
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// takeAll removes all events from the queue and returns them.
func (q *eventQueue) takeAll() []gatherEvent {
	q.mu.Lock()
	defer q.mu.Unlock()
	out := q.events
	q.events = nil
	return out
}
