package launcher

import (
	"context"
	"time"
)

// pollInterval is the time between two checks whether the shutdown can proceed.
const pollInterval = 20 * time.Millisecond

// traffic is the traffic that has to end before the process may exit.
type traffic interface {
	// Drain makes every further answer close its connection.
	Drain()
	// InFlight returns the number of requests that were read and not answered yet.
	InFlight() int
	// LastTraffic returns the time of the last new connection or request.
	LastTraffic() time.Time
}

// stopper shuts a VM down without interrupting running requests.
type stopper struct {
	traffic traffic
	// gracePeriod is the time after which the process is killed.
	gracePeriod time.Duration
	// refuse makes every new request get a refusal, which is correct as the request was not run.
	refuse func()
	// leave announces to the other VMs that this one leaves. It may take a while, during which requests
	// still arrive.
	leave func()
}

// stop returns once the process may exit: minDrain is over, so that the balancer has noticed the stop, nothing
// new has arrived for quietPeriod, and every request that was read is answered; or the grace period is over
// except for exitMargin.
func (s stopper) stop(ctx context.Context) {
	began := time.Now()
	end := began.Add(s.gracePeriod - exitMargin)
	s.traffic.Drain()
	refusing := false
	s.wait(ctx, func(now time.Time) bool {
		if !refusing && now.After(end.Add(-refusalPeriod)) {
			refusing = true
			s.refuse()
		}
		idle := s.traffic.InFlight() == 0 && now.Sub(s.traffic.LastTraffic()) > quietPeriod
		return now.After(end) || (idle && now.Sub(began) > minDrain)
	})
	s.refuse()
	s.leave()
	s.wait(ctx, func(now time.Time) bool { return now.After(end) || s.traffic.InFlight() == 0 })
}

// wait polls done until it returns true or ctx ends.
func (s stopper) wait(ctx context.Context, done func(now time.Time) bool) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !done(time.Now()) {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
