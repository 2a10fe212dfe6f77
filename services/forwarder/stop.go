package forwarder

import (
	"container/list"
	"math"
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
	if end := fl.f.stop.Load().end; end.Before(fl.deadline) {
		fl.deadline, fl.vmEnds = end, true
	}
	if !fl.partialAt.IsZero() {
		fl.partialAt = earlier(fl.partialAt, fl.deadline)
	}
}

// endsInTime reports whether a request that arrives at now and may last for timeout should be
// complete when the VM ends. It is if its timeout ends earlier, or if hardly any request of its route, recent
// or in progress, has lasted for longer than the time that is left. The queues of the replicas are looked at
// when one is chosen.
func (f *Forwarder) endsInTime(route string, now time.Time, timeout time.Duration) bool {
	stop := f.stop.Load()
	if stop == nil {
		return true
	}
	left := stop.end.Sub(now)
	return timeout <= left || f.routeDurations(route).exceedShare(left, now) <= maxCutShare
}

// maxCutShare is the largest share of these requests of a route that have lasted longer than what is left
// of a VM, for which the VM still takes requests of the route. A few that hang must not refuse all others.
const maxCutShare = 1.0 / 32

// routeDurations returns the durations of the requests of a route.
func (f *Forwarder) routeDurations(route string) *durations {
	f.mu.Lock()
	defer f.mu.Unlock()
	d := f.durations[route]
	if d == nil {
		d = &durations{}
		f.durations[route] = d
	}
	return d
}

const (
	// durationWindow is the time for which durations remembers a value at least.
	durationWindow = 10 * time.Second
	// durationBuckets is the number of buckets. Two of them double the duration, so that they range
	// from a millisecond to over a minute.
	durationBuckets = 33
)

// durations counts requests by how long they lasted, over the last one to two windows of durationWindow. The zero value
// is ready for use.
type durations struct {
	mu sync.Mutex
	// running holds the arrival times of the requests in progress, oldest first.
	running list.List
	// current holds the counts since began, previous those of the window before.
	current, previous [durationBuckets]uint32
	began             time.Time
}

// durationBucket returns the bucket of a duration. Bucket i ends at 2^(i/2) ms.
func durationBucket(d time.Duration) int {
	i := int(math.Ceil(2 * math.Log2(max(d.Seconds()*1000, 1))))
	return min(i, durationBuckets-1)
}

// begin records the arrival of a request. The result is passed to end.
func (l *durations) begin(arrived time.Time) *list.Element {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.running.PushBack(arrived)
}

// end records the end of a request. Its duration counts if counted is true.
func (l *durations) end(e *list.Element, counted bool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running.Remove(e)
	if counted {
		l.advance(now)
		l.current[durationBucket(now.Sub(e.Value.(time.Time)))]++
	}
}

// exceedShare returns the share of the requests that may have lasted longer than d; 1 if there were none. Requests in
// progress count once they have.
func (l *durations) exceedShare(d time.Duration, now time.Time) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance(now)
	total, longer := 0, 0
	for i := range durationBuckets {
		n := int(l.current[i] + l.previous[i])
		if total += n; i >= durationBucket(d) {
			longer += n
		}
	}
	for e := l.running.Front(); e != nil && now.Sub(e.Value.(time.Time)) > d; e = e.Next() {
		total, longer = total+1, longer+1
	}
	if total == 0 {
		return 1
	}
	return float64(longer) / float64(total)
}

// unusedSince reports whether the last window began earlier than t and no request is in progress.
func (l *durations) unusedSince(t time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.began.Before(t) && l.running.Len() == 0
}

// advance begins a new window if the current one is over.
func (l *durations) advance(now time.Time) {
	switch age := now.Sub(l.began); {
	case age >= 2*durationWindow:
		l.current, l.previous, l.began = [durationBuckets]uint32{}, [durationBuckets]uint32{}, now
	case age >= durationWindow:
		l.current, l.previous, l.began = [durationBuckets]uint32{}, l.current, now
	}
}
