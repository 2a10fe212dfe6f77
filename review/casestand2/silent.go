//go:build review

package main

import (
	"net/http"
	"time"
)

const (
	// silentTime is the time for which a crashing replica neither reads nor answers before its connections close. It is
	// back backAfter after the beginning of the crash.
	silentTime = 2 * time.Second
	// silentInterval is the time between two requests with poisonPath.
	silentInterval = 4 * time.Second
)

// playSilent sends a request that crashes each replica that begins to run it, again and again. A crashing replica
// is silent at first, as a process is while its memory is dumped, or a machine that restarts.
func playSilent(r *record, trouble bool) error {
	const perSecond = 60
	s, err := startStage(1, 2, 8*time.Millisecond, 0)
	if err != nil {
		return err
	}
	defer s.stop()
	var log crashLog
	for _, p := range s.replicas {
		if trouble {
			p.fallSilentAt(r, &log)
		}
	}
	stop := s.comeAgain(silentInterval)
	s.play(52*time.Second, perSecond, func(func(time.Duration)) {})
	poison := stop()
	s.caller.write(r)
	s.writeRuns(r)
	return s.checkPoison(r, log.all(), poison)
}

// fallSilentAt makes the replica crash, silently at first, whenever it begins to run a request with poisonPath.
func (r *replica) fallSilentAt(rec *record, log *crashLog) {
	r.crashes = func(req *http.Request) bool {
		if req.URL.Path != poisonPath || !r.fallSilent(silentTime) {
			return false
		}
		log.add(time.Now())
		rec.addf("replica: %s crashes at %s", r.id, req.Header.Get("Request-Id"))
		time.AfterFunc(backAfter, func() {
			if err := r.start(false); err != nil {
				rec.addf("replica: %s is not back: %v", r.id, err)
			}
		})
		r.mu.Lock()
		silent := r.silent
		r.mu.Unlock()
		<-silent
		return true
	}
}
