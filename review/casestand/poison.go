//go:build review

package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["poison"] = poisonCase }

// poisonCase sends a request that crashes each replica that begins to run it, again and again, while
// the VMs are stopped and started in turn. Other requests run beside it.
func poisonCase(r *record, trouble bool) (int, error) {
	const contact = 4 * time.Second
	f, err := newFleet(7)
	if err != nil {
		return cannotRun, err
	}
	defer f.end()
	var mu sync.Mutex
	type death struct {
		at time.Time
		id string
	}
	var deaths []death
	ended := make(chan struct{})
	onRun := func(rep *replica, q *http.Request) bool {
		if !strings.HasSuffix(q.URL.Path, "/poison") {
			return false
		}
		mu.Lock()
		deaths = append(deaths, death{time.Now(), q.Header.Get("Request-Id")})
		mu.Unlock()
		r.line("%s crashes %s", q.Header.Get("Request-Id"), rep.id)
		f.store.Remove("servers/" + rep.id)
		go func() {
			time.Sleep(3 * time.Second)
			select {
			case <-ended:
			default:
				if err := rep.start(); err == nil {
					f.store.Put("servers/"+rep.id, rep.entry("ready", 0, time.Now()))
				}
			}
		}()
		return true
	}
	defer close(ended)
	for i := range 7 {
		rep := &replica{
			id: fmt.Sprintf("i-%d", i), service: "reservations", zone: zones[i%3], slots: 4, queue: 16, onRun: onRun,
			work: func(*http.Request, []byte) time.Duration { return 60 * time.Millisecond },
		}
		if err := rep.start(); err != nil {
			return cannotRun, err
		}
		defer rep.crash()
		f.store.Put("servers/"+rep.id, rep.entry("ready", 0, time.Now()))
	}
	f.store.Put("op/config", []byte(`{"version":3,"routes":[
		{"name":"r-booking","hostname":"hufi27.example","path_prefix":"/goka902/","type":"idempotent","timeout_ms":1500,"target_latency_ms":250,"priority":2,"service":"reservations","max_attempts":2}],
		"services":[{"name":"reservations","health_path":"/health","max_connections":100,"warmup_s":3.0,"warmup_per_s":0.0}],
		"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`))
	if err := f.startAll(); err != nil {
		return cannotRun, err
	}
	time.Sleep(5 * time.Second)
	const host, path = "hufi27.example", "/goka902/poison"
	send := func(v *vm, id string) result {
		a := once(v, "GET", host, path, id, "", 1500*time.Millisecond)
		r.line("%s at %s: %v", id, v.id, a)
		return a
	}
	// The request comes until it has crashed three replicas, then once at each machine.
	for i := 0; ; i++ {
		mu.Lock()
		n := len(deaths)
		mu.Unlock()
		if n >= 3 || i >= 14 {
			break
		}
		send(f.vms[i%len(f.vms)], fmt.Sprintf("p%02d", i))
		time.Sleep(300 * time.Millisecond)
	}
	mu.Lock()
	before := len(deaths)
	mu.Unlock()
	r.say("replicas crashed before the machines are restarted: %d", before)
	time.Sleep(contact + time.Second)
	from := time.Now()
	for i, v := range f.vms {
		if trouble {
			_ = v.cmd.Process.Signal(syscall.SIGTERM)
			<-v.done
			if err := f.start(v, false); err != nil {
				return cannotRun, err
			}
			if err := f.waitReady(v); err != nil {
				return cannotRun, err
			}
			r.line("%s has been stopped and started", v.id)
		}
		// Until the machine counts as in touch.
		time.Sleep(contact + 300*time.Millisecond)
		send(v, fmt.Sprintf("r%02d", i))
	}
	mu.Lock()
	defer mu.Unlock()
	runs := make(map[string]bool)
	crashed := 0
	for _, d := range deaths {
		if d.at.After(from) {
			runs[d.id] = true
			crashed++
		}
	}
	r.say("retries of the request that reached replicas, sent by machines in touch later than %v after the third crash: %d (at most 3 may); replicas crashed by them: %d", contact, len(runs), crashed)
	if len(runs) > 3 && len(deaths)-crashed >= 3 {
		return broken, nil
	}
	if len(runs) > 3 {
		// The third crash came during the restarts: the retries after it count.
		third := deaths[2].at
		late := make(map[string]bool)
		for _, d := range deaths {
			if d.at.After(third.Add(contact)) {
				late[d.id] = true
			}
		}
		r.say("the third crash came late; retries later than %v after it: %d", contact, len(late))
		if len(late) > 3 {
			return broken, nil
		}
	}
	return held, nil
}
