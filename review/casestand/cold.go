//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["cold"] = coldCase }

// coldCase lets all replicas of a service crash and come back cold, under the load of the sheet. The
// service's entry in the configuration limits what a cold replica can bear.
func coldCase(r *record, trouble bool) (int, error) {
	const (
		perSecond  = 45
		warmupPerS = 4.0
		warmup     = 3 * time.Second
		// bound is the figure of the rule for one second.
		bound = warmupPerS*1.5 + 5
		// A cold replica crashes at a rate well above warmupPerS: here at four times as many.
		bears = 15
		// reboot is the time that a crashed replica needs to start again.
		reboot = 3 * time.Second
	)
	f, err := newFleet(3)
	if err != nil {
		return cannotRun, err
	}
	defer f.end()
	var mu sync.Mutex
	coldUntil := make(map[string]time.Time)
	crashes, overload, most := 0, 0, 0
	recent := make(map[string][]time.Time)
	ended := make(chan struct{})
	var reps []*replica
	var revive func(rep *replica, after time.Duration)
	revive = func(rep *replica, after time.Duration) {
		go func() {
			time.Sleep(after)
			select {
			case <-ended:
				return
			default:
			}
			born := time.Now()
			mu.Lock()
			coldUntil[rep.id], recent[rep.id] = born.Add(warmup), nil
			mu.Unlock()
			if err := rep.start(); err != nil {
				r.say("restart of %s: %v", rep.id, err)
				return
			}
			r.line("%s has started again, cold for %v", rep.id, warmup)
			f.store.Put("servers/"+rep.id, rep.entry("ready", warmup, born))
		}()
	}
	// onRun counts what a cold replica gets within a second.
	onRun := func(rep *replica, q *http.Request) bool {
		now := time.Now()
		mu.Lock()
		defer mu.Unlock()
		if !now.Before(coldUntil[rep.id]) {
			return false
		}
		list := append(recent[rep.id], now)
		for now.Sub(list[0]) > time.Second {
			list = list[1:]
		}
		recent[rep.id] = list
		most = max(most, len(list))
		// Requests that were sent before the second began don't count; two are allowed for.
		if float64(len(list)) > bound+2 {
			overload++
			r.line("FAILBACK: cold replica %s gets %d requests within a second; the bound is %.0f", rep.id, len(list), bound)
		}
		if len(list) <= bears {
			return false
		}
		crashes++
		r.line("cold replica %s crashes at %d requests within a second", rep.id, len(list))
		f.store.Remove("servers/" + rep.id)
		revive(rep, reboot)
		return true
	}
	for i := range 3 {
		rep := &replica{
			id: fmt.Sprintf("i-%d", i), service: "returns-desk", zone: zones[i], slots: 4, queue: 16, onRun: onRun,
			work: func(*http.Request, []byte) time.Duration { return 60 * time.Millisecond },
		}
		if err := rep.start(); err != nil {
			return cannotRun, err
		}
		defer rep.crash()
		reps = append(reps, rep)
		f.store.Put("servers/"+rep.id, rep.entry("ready", 0, time.Now()))
	}
	defer close(ended)
	f.store.Put("op/config", fmt.Appendf(nil, `{"version":3,"routes":[
		{"name":"r-booking","hostname":"hufi27.example","path_prefix":"/goka902/","type":"idempotent","timeout_ms":1500,"target_latency_ms":250,"priority":2,"service":"returns-desk","max_attempts":2}],
		"services":[{"name":"returns-desk","health_path":"/health","max_connections":100,"warmup_s":3.0,"warmup_per_s":%.1f}],
		"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`, warmupPerS))
	if err := f.startAll(); err != nil {
		return cannotRun, err
	}
	time.Sleep(5 * time.Second)
	began := time.Now()
	const crashAt, length = 6 * time.Second, 40 * time.Second
	if trouble {
		time.AfterFunc(crashAt, func() {
			r.say("all replicas crash; they are back, cold, after 4.5 s")
			for _, rep := range reps {
				rep.crash()
				revive(rep, 4500*time.Millisecond)
			}
		})
	}
	type window struct{ sent, served int }
	var windows [int(length / (4 * time.Second))]window
	var wg sync.WaitGroup
	for i := range perSecond * int(length/time.Second) {
		wg.Go(func() {
			at := time.Duration(i) * time.Second / perSecond
			time.Sleep(time.Until(began.Add(at)))
			a := once(f.vms[i%len(f.vms)], "GET", "hufi27.example", "/goka902/2f", fmt.Sprintf("q%d", i), "", 1500*time.Millisecond)
			mu.Lock()
			defer mu.Unlock()
			w := &windows[int(at/(4*time.Second))]
			w.sent++
			if a.status == 200 {
				w.served++
			}
		})
	}
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	for i, w := range windows {
		r.say("requests sent from %2d s on: %3d of %3d served", 4*i, w.served, w.sent)
	}
	r.say("most requests at a cold replica within a second: %d (bound %.0f); times above the bound: %d; crashes of cold replicas: %d", most, bound, overload, crashes)
	if overload > 0 {
		return broken, nil
	}
	return held, nil
}
