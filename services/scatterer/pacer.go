package scatterer

import (
	"sync"
	"time"
)

const (
	initialDelay = 25 * time.Millisecond
	minDelay     = 2 * time.Millisecond
	maxDelay     = 500 * time.Millisecond
	// initialStep and lastStep are the relative change of the delay after a slow run, for the
	// first run of a service and after many.
	initialStep = 1.0
	minStep     = 0.05
	// stepHalvingRuns is the number of runs after which the step is half of the first.
	stepHalvingRuns = 50
)

// delayTuner steers the hedging delay of each service so that a set share of all runs turns
// out slow. Slow runs count when they pass the delay, whatever ends them, so cancelled
// stragglers are not left out. The method is the stochastic approximation of a quantile
// (Robbins and Monro, 1951). The zero value is ready for use.
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

func (p *delayTuner) delay(service string) time.Duration {
	p.mu.RLock()
	defer p.mu.RUnlock()
	if d, ok := p.delays[service]; ok {
		return d.delay
	}
	return initialDelay
}

// observe takes in whether a run was slow; share is the share of slow runs aimed at.
func (p *delayTuner) observe(service string, slow bool, share float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.delays == nil {
		p.delays = make(map[string]tunedDelay)
	}
	d, ok := p.delays[service]
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
	p.delays[service] = d
}

// firstHedgeShare is the part of the budget meant for first hedges; the rest is for
// second hedges and retries.
const firstHedgeShare = 0.7

// slowShare is the share of runs that should turn out slow.
func (s *Scatterer) slowShare() float64 {
	return s.cfg.ExtraRatio * firstHedgeShare
}
