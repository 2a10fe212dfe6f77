//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/ebonylock/ebonylock/tests/site"
)

func init() { cases["cold-shard"] = coldShard }

const (
	csHost     = "leno12.example"
	csDeadline = 3 * time.Second
	// csRate is the number of pattern-sweeps a second over all VMs, csWork the work of one at a shard.
	csRate = 120
	csWork = 28
	// The index has csShards shards with csCopies replicas each.
	csShards, csCopies, csSlots, csQueue = 10, 3, 6, 36
	// A replica is cold for csWarmup after its start and then bears csPerSecond requests a second.
	csWarmup    = 3 * time.Second
	csPerSecond = 10
	// csBound is warmup_per_s x warmup_overshoot + warmup_slack.
	csBound = csPerSecond*1.5 + 5
	// All replicas of one shard crash csCrash after the start of the traffic and are back csDown later.
	csCrash, csDown = 3 * time.Second, 4500 * time.Millisecond
	// csBeat is heartbeat_ms: a crashed replica's entry is removed after three.
	csBeat = 1200 * time.Millisecond
	csEnd  = 14 * time.Second
)

// csReplica starts a replica of a shard and registers it.
func csReplica(f *fleet, r *record, id, service string, n int, warmup time.Duration) (*slotReplica, error) {
	p, err := newSlotReplica(id, r, csSlots, csQueue, func(g site.Request) site.Reply {
		return site.Reply{Raw: site.OK(g, strings.Repeat("0123456789abcdef", 12))}
	})
	if err != nil {
		return nil, err
	}
	f.store.Put("servers/"+id, fmt.Appendf(nil, `{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":"ready","warmup_left_ms":%d,"sequence":1,"born":%d}`,
		service, p.Addr(), zones[n%3], csSlots, warmup.Milliseconds(), time.Now().UnixMilli()))
	return p, nil
}

// coldShard lets all replicas of one shard crash and come back cold. None of them may get more requests
// in a second than the rule allows, while it is cold.
func coldShard(r *record, trouble bool) (int, error) {
	f, err := newFleet(7)
	if err != nil {
		return cannotRun, err
	}
	defer f.end()
	var names []string
	var crashing []*slotReplica
	for i := range csShards {
		name := fmt.Sprintf("cutfloor-%d", i+1)
		names = append(names, fmt.Sprintf("%q", name))
		for n := range csCopies {
			p, err := csReplica(f, r, fmt.Sprintf("i-%d-%d", i+1, n+1), name, n, 0)
			if err != nil {
				return cannotRun, err
			}
			defer p.Close()
			if i == 1 {
				crashing = append(crashing, p)
			}
		}
	}
	var services []string
	for _, name := range names {
		services = append(services, fmt.Sprintf(`{"name":%s,"health_path":"/health","max_connections":46,"warmup_s":%g,"warmup_per_s":%d}`, name, csWarmup.Seconds(), csPerSecond))
	}
	f.store.Put("op/config", []byte(`{"version":7,"routes":[{"name":"pattern-sweep","hostname":"`+csHost+`","path_prefix":"/rany330/","type":"idempotent",
		"timeout_ms":3000,"target_latency_ms":200,"priority":1,"gather":[`+strings.Join(names, ",")+`],"max_attempts":2,"top_k":10,"min_shard_share":0.89}],
		"services":[`+strings.Join(services, ",")+`],
		"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`))
	if err := f.startAll(); err != nil {
		return cannotRun, err
	}
	time.Sleep(5 * time.Second) // all VMs have found each other and are in touch

	began := time.Now()
	var mu sync.Mutex
	sent := make(map[string]time.Time)
	statuses := make(map[string]int)
	var cold []*slotReplica
	var back time.Time
	var wg sync.WaitGroup
	wg.Go(func() {
		if !trouble {
			return
		}
		time.Sleep(time.Until(began.Add(csCrash)))
		r.say("all replicas of cutfloor-2 crash")
		for _, p := range crashing {
			p.Close()
		}
		time.Sleep(3 * csBeat)
		for n := range csCopies {
			f.store.Remove(fmt.Sprintf("servers/i-2-%d", n+1))
		}
		time.Sleep(time.Until(began.Add(csCrash + csDown)))
		back = time.Now()
		for n := range csCopies {
			p, err := csReplica(f, r, fmt.Sprintf("j-2-%d", n+1), "cutfloor-2", n, csWarmup)
			if err != nil {
				r.say("replica not started: %v", err)
				continue
			}
			cold = append(cold, p)
		}
		r.say("they are back, cold for %v", csWarmup)
	})
	for k := 0; time.Since(began) < csEnd; k++ {
		time.Sleep(time.Until(began.Add(time.Duration(k) * time.Second / csRate)))
		wg.Go(func() {
			v, id := f.vms[k%len(f.vms)], fmt.Sprintf("%06x", k)
			mu.Lock()
			sent[id] = time.Now()
			mu.Unlock()
			what := csSend(v, id)
			r.line("%s at %s: %s", id, v.id, what)
			mu.Lock()
			statuses[what]++
			mu.Unlock()
		})
	}
	wg.Wait()
	most := 0
	for _, p := range cold {
		var at []time.Time
		p.mu.Lock()
		for id, t := range p.arrived {
			// Counted are requests that were sent and arrived inside the second, while the replica is cold.
			if t.Before(back.Add(csWarmup)) {
				at = append(at, t)
				r.line("cold replica: %s arrived %.3f s after the start, sent %.3f s after it", id, t.Sub(back).Seconds(), sent[id].Sub(back).Seconds())
			}
		}
		got := 0
		slices.SortFunc(at, time.Time.Compare)
		for _, from := range at {
			n := 0
			for id, t := range p.arrived {
				if !sent[id].Before(from.Add(-10*time.Millisecond)) && !t.After(from.Add(990*time.Millisecond)) && t.Before(back.Add(csWarmup)) {
					n++
				}
			}
			got = max(got, n)
		}
		p.mu.Unlock()
		r.say("a cold replica got up to %d requests in a second; the rule allows %g", got, csBound)
		most = max(most, got)
		p.Close()
	}
	for what, n := range statuses {
		r.say("%d answers: %s", n, what)
	}
	if statuses["status 200, Missing-Parts 0"] == 0 {
		return cannotRun, fmt.Errorf("no request was served")
	}
	if float64(most) > csBound {
		r.say("FAILBACK is broken")
		return broken, nil
	}
	return held, nil
}

// csSend sends one request on a connection of its own and describes the answer.
func csSend(v *vm, id string) string {
	c, err := net.DialTimeout("tcp4", v.callers(), time.Second)
	if err != nil {
		return "no connection"
	}
	defer func() { _ = c.Close() }()
	fmt.Fprintf(c, "GET /rany330/%d HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n\r\n", csWork, csHost, id, csDeadline.Milliseconds())
	_ = c.SetReadDeadline(time.Now().Add(csDeadline))
	w, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return "no answer"
	}
	if _, err = io.Copy(io.Discard, w.Body); err != nil {
		return "an answer cut off"
	}
	if w.StatusCode != http.StatusOK {
		return fmt.Sprintf("status %d", w.StatusCode)
	}
	return "status 200, Missing-Parts " + w.Header.Get("Missing-Parts")
}
