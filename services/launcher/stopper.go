package launcher

import (
	"context"
	"time"
)

const (
	// pollInterval is the time between two checks whether the shutdown can proceed.
	pollInterval = 20 * time.Millisecond
	// minDrain is the time after the stop request during which the balancer may still send new
	// connections: it needs two failed readiness checks a second apart, plus network latency.
	minDrain = 3 * time.Second
	// quietPeriod is the time without a new connection or request after which a stopping VM exits.
	quietPeriod = 700 * time.Millisecond
	// answerMargin is the part of the grace period that remains when the last answer is due, for sending
	// that answer and for leaving the fleet. exitMargin is the part that is reserved for the exit of the
	// process. Of a short grace period they are at most a quarter and an eighth.
	answerMargin = 500 * time.Millisecond
	exitMargin   = 150 * time.Millisecond
)

// traffic is the traffic that has to end before the process may exit.
type traffic interface {
	// Drain makes every further answer close its connection and every request be answered by end. A
	// request that can't be is refused.
	Drain(end time.Time)
	// Refuse makes every new request get a refusal.
	Refuse()
	// Seal makes the VM take no further request.
	Seal()
	// InFlight returns the number of requests whose answers are not completely sent, or whose log lines
	// are not written yet.
	InFlight() int
	// LastTraffic returns the time of the last new connection or request.
	LastTraffic() time.Time
}

// stopper shuts a VM down without interrupting running requests.
type stopper struct {
	traffic traffic
	// gracePeriod is the time after which the process is killed.
	gracePeriod time.Duration
	// leave announces to the other VMs that this one leaves. It may take a while, during which requests
	// still arrive.
	leave func()
}

// stop returns once the process may exit. Either minDrain is over, so that the balancer has noticed the stop,
// and nothing new has arrived for quietPeriod; or the last answer is due. In both cases every request that was
// read is answered, unless the grace period is over except for exitMargin.
func (s stopper) stop(ctx context.Context) {
	began := time.Now()
	end := began.Add(s.gracePeriod - min(answerMargin, s.gracePeriod/4))
	exit := began.Add(s.gracePeriod - min(exitMargin, s.gracePeriod/8))
	s.traffic.Drain(end)
	s.wait(ctx, func(now time.Time) bool {
		idle := s.traffic.InFlight() == 0 && now.Sub(s.traffic.LastTraffic()) > quietPeriod
		return now.After(end) || (idle && now.Sub(began) > minDrain)
	})
	s.traffic.Refuse()
	s.leave()
	finished := func(now time.Time) bool { return now.After(exit) || s.traffic.InFlight() == 0 }
	s.wait(ctx, finished)
	// A request that is taken between the last look and the exit would get no answer, or no log line.
	s.traffic.Seal()
	sealed := time.Now()
	s.wait(ctx, func(now time.Time) bool { return now.Sub(sealed) >= pollInterval && finished(now) })
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
