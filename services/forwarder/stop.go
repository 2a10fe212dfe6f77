package forwarder

import (
	"sync"
	"time"
)

// stopTimes are the times of a VM that stops.
type stopTimes struct {
	// began is when the stop began. end is when the last response has to leave the VM.
	began, end time.Time
}

// Stop announces that the VM ends. From now on it takes a request only if the request should be
// complete by end. The requests in progress get their response by end, whatever replicas still do.
// Only the first call has an effect.
func (f *Forwarder) Stop(end time.Time) {
	if f.stop.CompareAndSwap(nil, &stopTimes{began: time.Now(), end: end}) {
		close(f.stopping)
	}
}

// endWithVM moves the deadline to the end of the VM if that is earlier.
func (fl *flight) endWithVM() {
	fl.stopping = nil
	fl.deadline = earlier(fl.deadline, fl.f.stop.Load().end)
	if !fl.partialAt.IsZero() {
		fl.partialAt = earlier(fl.partialAt, fl.deadline)
	}
}

// endsInTime reports whether a request that arrives at now and may last for timeout should be
// complete when the VM ends. It is if its timeout ends earlier, or if no recent request of its route
// lasted for longer than the time that is left.
func (f *Forwarder) endsInTime(route string, now time.Time, timeout time.Duration) bool {
	stop := f.stop.Load()
	if stop == nil {
		return true
	}
	left := stop.end.Sub(now)
	if timeout <= left {
		return true
	}
	longest, known := f.longest(route).get(now)
	return known && longest < left
}

// longest returns the tracker of how long the requests of a route last.
func (f *Forwarder) longest(route string) *longestDuration {
	f.mu.Lock()
	defer f.mu.Unlock()
	l := f.durations[route]
	if l == nil {
		l = &longestDuration{}
		f.durations[route] = l
	}
	return l
}

// durationWindow is the time for which longestDuration remembers a value at least.
const durationWindow = 10 * time.Second

// longestDuration tracks the longest of the durations observed during the last one to two windows of
// durationWindow.
type longestDuration struct {
	mu sync.Mutex
	// current is the maximum since began, previous that of the window before. Each is 0 if nothing
	// was observed.
	current, previous time.Duration
	began             time.Time
}

func (l *longestDuration) observe(d time.Duration, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance(now)
	l.current = max(l.current, d)
}

// get returns the longest duration; known is false if nothing was observed.
func (l *longestDuration) get(now time.Time) (longest time.Duration, known bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance(now)
	longest = max(l.current, l.previous)
	return longest, longest > 0
}

// unusedSince reports whether the last window began earlier than t.
func (l *longestDuration) unusedSince(t time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.began.Before(t)
}

// advance begins a new window if the current one is over.
func (l *longestDuration) advance(now time.Time) {
	switch age := now.Sub(l.began); {
	case age >= 2*durationWindow:
		l.current, l.previous, l.began = 0, 0, now
	case age >= durationWindow:
		l.current, l.previous, l.began = 0, l.current, now
	}
}
