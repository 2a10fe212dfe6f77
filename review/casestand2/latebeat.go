//go:build review

package main

import (
	"time"
)

// playLateBeat crashes the replicas of a service. The last heartbeat of one before the crash is executed late, after
// its next start under the same ID.
func playLateBeat(r *record, trouble bool) error {
	const warmupPerS, perSecond = 5, 180
	s, err := startStage(1, 2, 8*time.Millisecond, warmupPerS)
	if err != nil {
		return err
	}
	defer s.stop()
	s.play(15*time.Second, perSecond, func(at func(time.Duration)) {
		if !trouble {
			return
		}
		p := s.replicas[0]
		at(4 * time.Second)
		late := p.lateBeat()
		r.addf("store: a heartbeat of %s gets no answer", p.id)
		s.crashAll(r)
		at(7500 * time.Millisecond)
		s.startAll(r)
		at(9300 * time.Millisecond)
		late()
		r.addf("store: executes the late heartbeat of %s", p.id)
	})
	s.caller.write(r)
	s.writeRuns(r)
	return s.checkCold(r, warmupPerS)
}

// lateBeat takes a heartbeat whose answer is lost, and returns a function that executes it.
func (r *replica) lateBeat() func() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sequence++
	value := encodeEntry(r.entry(time.Now(), r.sequence))
	return func() { r.store.Put("servers/"+r.id, value) }
}
