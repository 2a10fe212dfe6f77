//go:build review

package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// poisonPath is the path of the request that crashes the replicas of the second version.
	poisonPath = "/rany330/7c"
	// contactTime is contact_ms of the settings.
	contactTime = 4 * time.Second
	// backAfter is the time after which a crashed replica is back.
	backAfter = 3 * time.Second
	// poisonInterval is the time between two requests with poisonPath.
	poisonInterval = time.Second
	// maxRetries is the number of retries that may reach replicas after the third crash and contactTime.
	maxRetries = 3
)

// crashLog holds the crashes of replicas.
type crashLog struct {
	mu    sync.Mutex
	times []time.Time
}

func (l *crashLog) add(at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.times = append(l.times, at)
}

func (l *crashLog) all() []time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]time.Time(nil), l.times...)
}

// playPoison moves a route to a service whose replicas crash at a request that the service before has served.
func playPoison(r *record, trouble bool) error {
	const perSecond = 60
	s, err := startStage(1, 2, 8*time.Millisecond, 0)
	if err != nil {
		return err
	}
	defer s.stop()
	var log crashLog
	others, err := startReplicas(s.store, otherService, 1, 8*time.Millisecond, 0)
	s.replicas = append(s.replicas, others...)
	if err != nil {
		return err
	}
	for _, p := range others {
		p.crashAt(r, &log)
	}
	stop := s.comeAgain(poisonInterval)
	s.play(36*time.Second, perSecond, func(at func(time.Duration)) {
		if !trouble {
			return
		}
		at(8 * time.Second)
		s.store.Put("op/config", config(8, otherService, 0))
		r.addf("operator: version 8 moves the route to %s", otherService)
	})
	poison := stop()
	s.caller.write(r)
	s.writeRuns(r)
	return s.checkPoison(r, log.all(), poison)
}

// comeAgain sends a request with poisonPath each interval, to one VM after the other, until stop is called, which
// returns the IDs of these requests.
func (s *stage) comeAgain(interval time.Duration) (stop func() []string) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan []string)
	go func() {
		var ids []string
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-ctx.Done():
				done <- ids
				return
			case <-ticker.C:
				id := fmt.Sprintf("poison-%03d", n)
				ids = append(ids, id)
				s.caller.send(s.fleet.vms[n%len(s.fleet.vms)], id, http.MethodGet, host, poisonPath, http.NoBody, 1500*time.Millisecond)
			}
		}
	}()
	return func() []string {
		cancel()
		return <-done
	}
}

// crashAt makes the replica crash whenever it begins to run a request with poisonPath. It is back after backAfter.
func (r *replica) crashAt(rec *record, log *crashLog) {
	r.crashes = func(req *http.Request) bool {
		if req.URL.Path != poisonPath {
			return false
		}
		log.add(time.Now())
		rec.addf("replica: %s crashes at %s", r.id, req.Header.Get("Request-Id"))
		r.crash()
		time.AfterFunc(backAfter, func() {
			if err := r.start(false); err != nil {
				rec.addf("replica: %s is not back: %v", r.id, err)
			}
		})
		return true
	}
}

// checkPoison checks how often the request reached replicas after it had crashed the third.
func (s *stage) checkPoison(r *record, crashes []time.Time, poison []string) error {
	reached := make(map[string]int)
	for _, p := range s.replicas {
		for _, a := range p.taken() {
			reached[a.id]++
		}
	}
	r.addf("replicas: %d crashes", len(crashes))
	if len(crashes) < 3 {
		return nil
	}
	retries := 0
	for _, id := range poison {
		if sent := s.caller.sent(id); reached[id] > 0 && sent.Sub(crashes[2]) > contactTime {
			retries++
			r.addAt(sent, "replicas: %s reached %d of them, sent %.3f s after the third crash", id, reached[id], sent.Sub(crashes[2]).Seconds())
		}
	}
	if retries > maxRetries {
		return fmt.Errorf("%w: BUDGET: %d retries reached replicas later than %v after the third crash, at most %d may", errBroken, retries, contactTime, maxRetries)
	}
	return nil
}
