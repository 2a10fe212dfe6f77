package scatterer

import (
	"sync"
	"time"
)

const (
	initialDelay = 25 * time.Millisecond
	minDelay     = 2 * time.Millisecond
	maxDelay     = 500 * time.Millisecond
	// initialStep and minStep are the relative increase of the delay after a slow run:
	// initialStep for the first run of a service, falling to minStep after many.
	initialStep = 1.0
	minStep     = 0.05
	// stepHalvingRuns is the number of runs after which the step is half of initialStep.
	stepHalvingRuns = 50
)

// delayTuner adjusts the hedging delay of each service so that a given share of all runs is slow.
// A run counts as slow when it exceeds the delay, however it ends, so that cancelled stragglers
// are included. The method is the stochastic approximation of a quantile (Robbins and Monro,
// 1951). The zero value is ready for use.
type delayTuner struct {
	mu     sync.RWMutex
	delays map[string]tunedDelay
}

// tunedDelay is the delay of one service.
type tunedDelay struct {
	delay time.Duration
	// runs is the number of runs observed.
	runs int
}

// delay returns the current hedging delay of a service.
func (t *delayTuner) delay(service string) time.Duration {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if d, ok := t.delays[service]; ok {
		return d.delay
	}
	return initialDelay
}

// observe adjusts the delay after a run; share is the target share of slow runs.
func (t *delayTuner) observe(service string, slow bool, share float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.delays == nil {
		t.delays = make(map[string]tunedDelay)
	}
	d, ok := t.delays[service]
	if !ok {
		d.delay = initialDelay
	}
	step := max(minStep, initialStep/(1+float64(d.runs)/stepHalvingRuns))
	change := 1 + step
	if !slow {
		change = 1 - step*share/(1-share)
	}
	d.delay = min(max(time.Duration(float64(d.delay)*change), minDelay), maxDelay)
	d.runs++
	t.delays[service] = d
}

// firstHedgeShare is the part of the extra requests that is meant for first hedges. The rest is
// for second hedges and retries.
const firstHedgeShare = 0.7

// slowShare returns the target share of slow runs.
func (s *Scatterer) slowShare() float64 {
	return s.cfg.ExtraRatio * firstHedgeShare
}
