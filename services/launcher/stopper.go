package launcher

import (
	"context"
	"time"
)

// stopInterval is the time between two looks whether all is done.
const stopInterval = 20 * time.Millisecond

// traffic is what callers send.
type traffic interface {
	// Drain makes each answer from now on end its connection.
	Drain()
	// InFlight is the number of requests that are read and not answered.
	InFlight() int
	// LastTraffic is the time of the last new connection or request.
	LastTraffic() time.Time
}

// stopper ends a VM without cutting a request off.
type stopper struct {
	traffic traffic
	// grace is the time until the process is ended by force.
	grace time.Duration
	// refuse makes each new request get a true refusal.
	refuse func()
	// leave tells the other VMs; it may take a while, in which requests still come.
	leave func()
}

// stop returns once the process may end: the balancer has had its time to notice, nothing new
// has come for a while, and every request that was read is answered; or the grace is nearly over.
func (s stopper) stop(ctx context.Context) {
	began := time.Now()
	end := began.Add(s.grace - endMargin)
	s.traffic.Drain()
	refusing := false
	s.wait(ctx, func(now time.Time) bool {
		if !refusing && now.After(end.Add(-lastCall)) {
			refusing = true
			s.refuse()
		}
		idle := s.traffic.InFlight() == 0 && now.Sub(s.traffic.LastTraffic()) > quiet
		return now.After(end) || (idle && now.Sub(began) > leastDrain)
	})
	s.refuse()
	s.leave()
	s.wait(ctx, func(now time.Time) bool { return now.After(end) || s.traffic.InFlight() == 0 })
}

// wait looks until done says so or ctx ends.
func (s stopper) wait(ctx context.Context, done func(now time.Time) bool) {
	ticker := time.NewTicker(stopInterval)
	defer ticker.Stop()
	for !done(time.Now()) {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
