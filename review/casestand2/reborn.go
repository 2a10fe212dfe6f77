//go:build review

package main

import (
	"time"

	"github.com/ebonylock/ebonylock/tests/site"
)

// crashAll crashes all replicas.
func (s *stage) crashAll(r *record) {
	for _, p := range s.replicas {
		p.crash()
	}
	r.addf("replicas: all crash")
}

// startAll starts all replicas again under their IDs, cold.
func (s *stage) startAll(r *record) {
	for _, p := range s.replicas {
		if err := p.start(true); err != nil {
			r.addf("replicas: %s is not back: %v", p.id, err)
		}
	}
	r.addf("replicas: all are back under their IDs, cold for %v", warmupTime)
}

// playReborn crashes the replicas of a service, which start again under their IDs while the store is down.
func playReborn(r *record, trouble bool) error {
	const warmupPerS, perSecond = 5, 180
	s, err := startStage(1, 2, 8*time.Millisecond, warmupPerS)
	if err != nil {
		return err
	}
	defer s.stop()
	s.play(16*time.Second, perSecond, func(at func(time.Duration)) {
		if !trouble {
			return
		}
		at(4 * time.Second)
		s.down(r, true)
		at(4500 * time.Millisecond)
		s.crashAll(r)
		at(6500 * time.Millisecond)
		s.startAll(r)
		at(8500 * time.Millisecond)
		s.down(r, false)
	})
	s.caller.write(r)
	s.writeRuns(r)
	return s.checkCold(r, warmupPerS)
}

// down takes the store down for VMs and replicas, or up again.
func (s *stage) down(r *record, down bool) {
	for _, p := range s.replicas {
		p.mu.Lock()
		p.reaches = func() bool { return !down }
		p.mu.Unlock()
	}
	status := 0
	if down {
		status = 503
	}
	s.store.SetFaults(site.Faults{Status: status})
	r.addf("store: down %t", down)
}
