//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sort"
	"strings"
	"sync"
	"time"
)

func init() { cases["gone"] = goneCase }

// goneCase cuts the two VMs that read the store off from it, as a replica of each of several services
// leaves without a report of its own: its entry is removed. The other VMs have their way to the store
// all the while, and only they get requests.
func goneCase(r *record, trouble bool) (int, error) {
	const (
		drain = 3 * time.Second
		// stays is how long a replica serves after its entry is gone, a little longer than drain.
		stays = 4 * time.Second
		// cutLength is the length of the cut on the sites.
		cutLength = 4 * time.Second
		services  = 5
		// perSecond is the load of each service. With three replicas the service bears it; with two it
		// refuses some requests.
		perSecond = 37
		length    = 12
		work      = 220 * time.Millisecond
	)
	f, err := newFleet(7)
	if err != nil {
		return cannotRun, err
	}
	defer f.end()
	var proxies []*storeProxy
	for _, v := range f.vms {
		p, err := newStoreProxy(f.store.Addr())
		if err != nil {
			return cannotRun, err
		}
		defer p.close()
		proxies = append(proxies, p)
		v.store = p.addr()
	}
	var leaving []*replica
	var routes, names []string
	for s := range services {
		service := fmt.Sprintf("ledger-%d", s)
		for i := range 3 {
			rep := &replica{
				id: fmt.Sprintf("i-%d-%d", s, i), service: service, zone: zones[i], slots: 4, queue: 2,
				work: func(*http.Request, []byte) time.Duration {
					return time.Duration((0.5 + rand.Float64()) * float64(work))
				},
			}
			if err := rep.start(); err != nil {
				return cannotRun, err
			}
			defer rep.crash()
			f.store.Put("servers/"+rep.id, rep.entry("ready", 0, time.Now()))
			if i == 0 {
				leaving = append(leaving, rep)
			}
		}
		routes = append(routes, fmt.Sprintf(`{"name":"r-%d","hostname":"hufi27.example","path_prefix":"/l%d/","type":"non_idempotent","timeout_ms":15000,"target_latency_ms":800,"priority":2,"service":%q,"max_attempts":2}`, s, s, service))
		names = append(names, fmt.Sprintf(`{"name":%q,"health_path":"/health","max_connections":43,"warmup_s":3.0,"warmup_per_s":0.0}`, service))
	}
	f.store.Put("op/config", fmt.Appendf(nil, `{"version":3,"routes":[%s],"services":[%s],
		"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`, strings.Join(routes, ","), strings.Join(names, ",")))
	if err := f.startAll(); err != nil {
		return cannotRun, err
	}
	// Replicas of another service, which has no route, come and go.
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(400 * time.Millisecond):
			}
			other := &replica{id: fmt.Sprintf("o-%d", i), service: "shipbook", zone: zones[i%3], slots: 4, addr: netip.AddrPortFrom(host(99), uint16(10000+i))}
			f.store.Put("servers/"+other.id, other.entry("ready", 0, time.Now()))
			f.store.Remove(fmt.Sprintf("servers/o-%d", i-3))
		}
	}()
	time.Sleep(14 * time.Second)
	// The readers are the two VMs that call the store most.
	before := make([]int64, len(proxies))
	for i, p := range proxies {
		before[i] = p.calls.Load()
	}
	time.Sleep(4 * time.Second)
	calls := func(i int) int64 { return proxies[i].calls.Load() - before[i] }
	order := []int{0, 1, 2, 3, 4, 5, 6}
	sort.Slice(order, func(a, b int) bool { return calls(order[a]) > calls(order[b]) })
	for _, i := range order {
		r.line("%s made %d calls of the store in 4 s", f.vms[i].id, calls(i))
	}
	readers, others := order[:2], order[2:]
	began := time.Now()
	var wg sync.WaitGroup
	var mu sync.Mutex
	answers := make(map[string]string)
	count := make(map[string]int)
	for s := range services {
		for i := range perSecond * length {
			wg.Go(func() {
				time.Sleep(time.Until(began.Add(time.Duration(rand.Float64() * length * float64(time.Second)))))
				id := fmt.Sprintf("q%d-%d", s, i)
				a := once(f.vms[others[i%len(others)]], "POST", "hufi27.example", fmt.Sprintf("/l%d/2f", s), id, strings.Repeat("b", 300), 15*time.Second)
				mu.Lock()
				answers[id] = a.String()
				count[a.String()]++
				mu.Unlock()
			})
		}
	}
	time.Sleep(time.Until(began.Add(2 * time.Second)))
	if trouble {
		for _, i := range readers {
			r.say("%s is cut off from the store for %v", f.vms[i].id, cutLength)
			proxies[i].cut.Store(true)
			time.AfterFunc(cutLength, func() { proxies[i].cut.Store(false) })
		}
	}
	time.Sleep(50 * time.Millisecond)
	gone := time.Now()
	for _, rep := range leaving {
		f.store.Remove("servers/" + rep.id)
		time.AfterFunc(stays, rep.crash)
	}
	r.say("the entries of %d replicas are removed; they exit after %v", len(leaving), stays)
	wg.Wait()
	late, lost := 0, 0
	for _, rep := range leaving {
		for _, a := range rep.list() {
			after := a.at.Sub(gone)
			if after > 0 {
				r.line("%s reached %s %.2f s after its entry was removed (%s); the requester got %s", a.id, rep.id, after.Seconds(), a.end, answers[a.id])
			}
			if after > drain && a.end != "misdirected" {
				late++
				if answers[a.id] != "200" {
					lost++
				}
			}
		}
	}
	r.say("answers: %v", count)
	r.say("DRAIN: requests that reached a replica later than %v after its entry was removed, by VMs that were not cut off: %d; without success: %d", drain, late, lost)
	if late > 0 {
		return broken, nil
	}
	return held, nil
}
