//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["stop"] = stopCase }

// stopCase stops a VM with SIGTERM while requesters hold kept connections to it. Each connection sends
// one more request at some moment after the signal. Every request takes work ms at its replica.
func stopCase(r *record, trouble bool) (int, error) {
	const (
		conns = 44
		gap   = 100 * time.Millisecond
		work  = 1200 * time.Millisecond
	)
	f, err := newFleet(3)
	if err != nil {
		return cannotRun, err
	}
	defer f.end()
	var reps []*replica
	for i := range 13 {
		rep := &replica{id: fmt.Sprintf("i-%d", i), service: "tannery-ledger", zone: zones[i%3], slots: 4, queue: 16, work: func(q *http.Request, _ []byte) time.Duration {
			if q.Header.Get("Request-Id")[0] == 'w' {
				return 10 * time.Millisecond
			}
			return work
		}}
		if err := rep.start(); err != nil {
			return cannotRun, err
		}
		defer rep.crash()
		reps = append(reps, rep)
		f.store.Put("servers/"+rep.id, rep.entry("ready", 0, time.Now()))
	}
	f.store.Put("op/config", []byte(`{"version":3,"routes":[
		{"name":"r-lot","hostname":"hufi27.example","path_prefix":"/goka902/","type":"idempotent","timeout_ms":15000,"target_latency_ms":800,"priority":2,"service":"tannery-ledger","max_attempts":2}],
		"services":[{"name":"tannery-ledger","health_path":"/health","max_connections":43,"warmup_s":3.0,"warmup_per_s":0.0}],
		"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`))
	if err := f.startAll(); err != nil {
		return cannotRun, err
	}
	time.Sleep(5 * time.Second)
	vm := f.vms[0]
	var kept []*callerConn
	for i := range conns {
		k, err := dialVM(vm)
		if err != nil {
			return cannotRun, err
		}
		if a := k.do("GET", "hufi27.example", "/goka902/2f", fmt.Sprintf("w%d", i), "", 15*time.Second); a.status != 200 {
			return cannotRun, fmt.Errorf("warm-up request: %v", a)
		}
		kept = append(kept, k)
	}
	began := time.Now()
	if trouble {
		r.say("SIGTERM to %s", vm.id)
		_ = vm.cmd.Process.Signal(syscall.SIGTERM)
	}
	var mu sync.Mutex
	lost := 0
	var wg sync.WaitGroup
	for i, k := range kept {
		wg.Go(func() {
			time.Sleep(time.Until(began.Add(time.Duration(i) * gap)))
			id := fmt.Sprintf("q%02d", i)
			sent := time.Since(began)
			a := k.do("GET", "hufi27.example", "/goka902/2f", id, "", 15*time.Second)
			ended := time.Since(began)
			r.line("%s sent %.2f s after the signal, ended at %.2f s: %v", id, sent.Seconds(), ended.Seconds(), a)
			ran := false
			for _, rep := range reps {
				for _, x := range rep.list() {
					ran = ran || x.id == id
				}
			}
			// A request that was not passed on may have crossed the VM's close, and one that was sent in
			// the first 3 s may have an excuse.
			if a.err != nil && ran && sent > 3*time.Second {
				mu.Lock()
				lost++
				mu.Unlock()
				r.say("LOST: %s, sent %.2f s after the signal, was passed on to a replica and got no answer; its connection ended at %.2f s", id, sent.Seconds(), ended.Seconds())
			}
		})
	}
	wg.Wait()
	select {
	case <-vm.done:
		r.say("the VM's process ended before %.2f s", time.Since(began).Seconds())
	default:
		r.say("the VM's process still runs")
	}
	if lost > 0 {
		return broken, nil
	}
	return held, nil
}
