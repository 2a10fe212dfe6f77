package scatterer

import "sync"

// eventQueue passes events to the goroutine of a gather; putting never waits.
type eventQueue struct {
	// wake holds a value while there may be events.
	wake chan struct{}

	mu     sync.Mutex
	events []gatherEvent
}

func (m *eventQueue) push(h gatherEvent) {
	m.mu.Lock()
	m.events = append(m.events, h)
	m.mu.Unlock()
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

func (m *eventQueue) takeAll() []gatherEvent {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := m.events
	m.events = nil
	return out
}
