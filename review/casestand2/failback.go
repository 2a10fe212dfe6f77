//go:build review

package main

import (
	"time"
)

// playFailback takes a zone out of service and puts it back, with its replicas cold since shortly before.
func playFailback(r *record, trouble bool) error {
	const warmupPerS, perSecond = 5, 240
	s, err := startStage(2, 2, 8*time.Millisecond, warmupPerS)
	if err != nil {
		return err
	}
	defer s.stop()
	s.play(17*time.Second, perSecond, func(at func(time.Duration)) {
		if !trouble {
			return
		}
		at(4 * time.Second)
		s.store.Put("op/evacuate/merkato", []byte("{}"))
		r.addf("operator: merkato is taken out")
		at(8700 * time.Millisecond)
		for _, p := range s.replicas {
			if p.zone == "merkato" {
				p.cool()
			}
		}
		r.addf("replicas: those of merkato are cold for %v", warmupTime)
		at(9 * time.Second)
		s.store.Remove("op/evacuate/merkato")
		r.addf("operator: merkato is put back")
	})
	s.caller.write(r)
	s.writeRuns(r)
	return s.checkCold(r, warmupPerS)
}
