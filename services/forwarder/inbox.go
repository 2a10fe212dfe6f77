package forwarder

import "sync"

// inbox collects results from other goroutines without blocking them.
type inbox[T any] struct {
	mu      sync.Mutex
	results []T
	closed  bool
	// arrived has a capacity of one. A value in it signals that results may not be empty.
	arrived chan struct{}
}

func newInbox[T any]() *inbox[T] {
	return &inbox[T]{arrived: make(chan struct{}, 1)}
}

// add returns false if the inbox is closed and drops the result.
func (i *inbox[T]) add(r T) bool {
	i.mu.Lock()
	if i.closed {
		i.mu.Unlock()
		return false
	}
	i.results = append(i.results, r)
	i.mu.Unlock()
	select {
	case i.arrived <- struct{}{}:
	default:
	}
	return true
}

// close closes the inbox and returns the results added since the last call of take.
func (i *inbox[T]) close() []T {
	i.mu.Lock()
	i.closed = true
	i.mu.Unlock()
	return i.take()
}

// take returns the results added since the last call.
func (i *inbox[T]) take() []T {
	i.mu.Lock()
	defer i.mu.Unlock()
	out := i.results
	i.results = nil
	return out
}
