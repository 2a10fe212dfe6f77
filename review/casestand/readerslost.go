//go:build review

package main

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/ebonylock/ebonylock/tests/site"
)

func init() { cases["readers-lost"] = readersLost }

const (
	rlHost     = "hufi27.example"
	rlDeadline = 3 * time.Second
	rlWork     = 30
	// Four VMs give no answer from rlAt after the start of the traffic on. They are killed and started
	// again rlDown later.
	rlAt, rlDown   = 3 * time.Second, 3500 * time.Millisecond
	rlDrain        = rlAt + 100*time.Millisecond
	rlBound        = 3 * time.Second
	rlEvery        = 10 * time.Millisecond
	rlEnd          = rlDrain + 6*time.Second
	rlSettle       = 8 * time.Second
	rlSlots, rlAll = 4, 5
	// rlRounds replicas drain one after the other.
	rlRounds = 3
)

// rlLeaving holds the indexes of the replicas that drain: those in the zones of the VMs that are left.
var rlLeaving = [rlRounds]int{0, 2, 3}

// byRank returns the VMs in the order in which they read the store: VMs with links of the same speed are
// ordered by a hash of their ID, the first one of each zone before all others.
func byRank(vms []*vm) []*vm {
	sorted := slices.Clone(vms)
	slices.SortFunc(sorted, func(a, b *vm) int { return cmp.Compare(xxhash.Sum64String(a.id), xxhash.Sum64String(b.id)) })
	var first, rest []*vm
	seen := make(map[string]bool)
	for _, v := range sorted {
		if seen[v.zone] {
			rest = append(rest, v)
		} else {
			first = append(first, v)
		}
		seen[v.zone] = true
	}
	return append(first, rest...)
}

// readersLost takes four of seven VMs away at once, the two that read the store among them, and lets a
// replica drain right after. None of the other VMs may send it a request later than drain_ms after the
// store has accepted its report. A VM without power gives no answer; SIGSTOP stands for it here.
func readersLost(r *record, trouble bool) (int, error) {
	f, err := newFleet(7)
	if err != nil {
		return cannotRun, err
	}
	defer f.end()
	var replicas []*slotReplica
	for i := range rlAll {
		id := fmt.Sprintf("i-%d", i+1)
		p, err := newSlotReplica(id, r, rlSlots, 16, func(g site.Request) site.Reply {
			return site.Reply{Raw: site.OK(g, "ledger")}
		})
		if err != nil {
			return cannotRun, err
		}
		defer p.Close()
		replicas = append(replicas, p)
		f.put(id, "tannery-ledger", zones[i%3], p.Addr(), rlSlots)
	}
	f.store.Put("op/config", []byte(`{"version":7,"routes":[{"name":"lot-history","hostname":"`+rlHost+`","path_prefix":"/goka902/","service":"tannery-ledger",
		"type":"idempotent","timeout_ms":15000,"target_latency_ms":800,"max_attempts":2,"priority":2}],
		"services":[{"name":"tannery-ledger","max_connections":43}],
		"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`))
	if err := f.startAll(); err != nil {
		return cannotRun, err
	}
	time.Sleep(rlSettle)

	ranked := byRank(f.vms)
	// Both readers are lost, and the two VMs that are last in rank; the standby readers stay.
	lost, left := append(slices.Clone(ranked[:2]), ranked[len(ranked)-2:]...), ranked[2:len(ranked)-2]
	late, served := 0, 0
	for round, n := range rlLeaving {
		tooLate, ok, err := rlRound(f, r, lost, left, replicas[n], round, n, trouble)
		if err != nil {
			return cannotRun, err
		}
		late, served = late+tooLate, served+ok
		time.Sleep(rlSettle)
	}
	if served == 0 {
		return cannotRun, fmt.Errorf("no request was served")
	}
	if late > 0 {
		r.say("DRAIN is broken")
		return broken, nil
	}
	return held, nil
}

// rlRound takes the VMs in lost away and lets a replica drain. It returns the number of requests that
// reached the replica too late, and of those that were served.
func rlRound(f *fleet, r *record, lost, left []*vm, leaving *slotReplica, round, n int, trouble bool) (late, served int, err error) {
	began := time.Now()
	var mu sync.Mutex
	from := make(map[string]string)
	var acked time.Time
	var wg sync.WaitGroup
	wg.Go(func() {
		time.Sleep(time.Until(began.Add(rlAt)))
		if !trouble {
			return
		}
		for _, v := range lost {
			_ = v.cmd.Process.Signal(syscall.SIGSTOP)
			r.line("%s is lost", v.id)
		}
		time.Sleep(rlDown)
		for _, v := range lost {
			_ = v.cmd.Process.Kill()
			<-v.done
			if err := f.start(v, false); err != nil {
				r.say("restart: %v", err)
			}
		}
		r.line("they are started again")
	})
	wg.Go(func() {
		time.Sleep(time.Until(began.Add(rlDrain)))
		f.store.Put(fmt.Sprintf("servers/i-%d", n+1), fmt.Appendf(nil, `{"service":"tannery-ledger","address":%q,"zone":%q,"version":"v1","slots":%d,"state":"draining","warmup_left_ms":0,"sequence":2,"born":%d}`,
			leaving.Addr(), zones[n%3], rlSlots, time.Now().Add(-time.Minute).UnixMilli()))
		mu.Lock()
		acked = time.Now()
		mu.Unlock()
		r.line("the store has accepted that i-%d is draining", n+1)
	})
	for k := 0; time.Since(began) < rlEnd; k++ {
		time.Sleep(time.Until(began.Add(time.Duration(k) * rlEvery)))
		wg.Go(func() {
			v, id := left[k%len(left)], fmt.Sprintf("%x%06x", round, k)
			mu.Lock()
			from[id] = v.id
			mu.Unlock()
			status, err := rlSend(v, id)
			r.line("%s at %s: status %d, error %v", id, v.id, status, err)
			mu.Lock()
			if status == http.StatusOK {
				served++
			}
			mu.Unlock()
		})
	}
	wg.Wait()
	last := time.Duration(0)
	leaving.mu.Lock()
	defer leaving.mu.Unlock()
	for id, at := range leaving.arrived {
		after := at.Sub(acked)
		last = max(last, after)
		if after > rlBound {
			late++
			r.line("DRAIN: %s reached i-%d from %s %.3f s after the acknowledgement", id, n+1, from[id], after.Seconds())
		}
	}
	r.say("%d requests served; the last one reached i-%d %.3f s after the acknowledgement, %d later than %v", served, n+1, last.Seconds(), late, rlBound)
	return late, served, nil
}

// rlSend sends one request on a connection of its own and returns the status of the answer; 0 if there
// was none.
func rlSend(v *vm, id string) (int, error) {
	c, err := net.DialTimeout("tcp4", v.callers(), time.Second)
	if err != nil {
		return 0, err
	}
	defer func() { _ = c.Close() }()
	fmt.Fprintf(c, "GET /goka902/%d HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n\r\n", rlWork, rlHost, id, rlDeadline.Milliseconds())
	_ = c.SetReadDeadline(time.Now().Add(rlDeadline))
	w, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, w.Body)
	return w.StatusCode, err
}
