//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/ebonylock/ebonylock/tests/site"
)

func init() { cases["late-stop"] = lateStop }

const (
	lsHost     = "hufi27.example"
	lsDeadline = 15 * time.Second
	// lsWork is the mean work of a lot-history, lsLong that of a long one; the site file's maximum is
	// 1,300 ms.
	lsWork = 220 * time.Millisecond
	lsLong = 1250 * time.Millisecond
	// lsSlots and lsQueue are those of a replica of the ledger's service, lsReplicas their number.
	lsSlots, lsQueue, lsReplicas = 4, 16, 3
	// lsBusy is the number of requesters that keep the replicas busy through the other VMs.
	lsBusy = 12
	// lsTerm is the time of the SIGTERM after the start of the traffic.
	lsTerm = 3 * time.Second
	// lsLate requesters send one more request on their kept connection, lsFrom to lsTo after the
	// SIGTERM.
	lsLate         = 24
	lsFrom, lsTo   = 200 * time.Millisecond, 4250 * time.Millisecond
	lsExcusedUntil = 3 * time.Second
)

// lsConn is a requester's kept connection.
type lsConn struct {
	net.Conn
	in *bufio.Reader
}

func lsDial(v *vm) (*lsConn, error) {
	c, err := net.DialTimeout("tcp4", v.callers(), time.Second)
	if err != nil {
		return nil, err
	}
	return &lsConn{c, bufio.NewReader(c)}, nil
}

// ask sends a request and returns its answer. closed is true if the answer closes the connection.
func (c *lsConn) ask(id string, work time.Duration) (status int, closed bool, err error) {
	fmt.Fprintf(c, "GET /goka902/%d HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n\r\n", work.Milliseconds(), lsHost, id, lsDeadline.Milliseconds())
	_ = c.SetReadDeadline(time.Now().Add(lsDeadline))
	w, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return 0, true, err
	}
	_, err = io.Copy(io.Discard, w.Body)
	return w.StatusCode, w.Close, err
}

// lateStop stops a VM with SIGTERM while requesters keep connections to it. A request that is sent on
// one of them later than 3 s after the SIGTERM and is passed on to a replica must be answered.
func lateStop(r *record, trouble bool) (int, error) {
	f, err := newFleet(7)
	if err != nil {
		return cannotRun, err
	}
	defer f.end()
	var replicas []*slotReplica
	for i := range lsReplicas {
		id := fmt.Sprintf("i-%d", i+1)
		p, err := newSlotReplica(id, r, lsSlots, lsQueue, func(g site.Request) site.Reply {
			return site.Reply{Raw: site.OK(g, strings.Repeat("ledger", 500))}
		})
		if err != nil {
			return cannotRun, err
		}
		defer p.Close()
		replicas = append(replicas, p)
		f.put(id, "tannery-ledger", zones[i%3], p.Addr(), lsSlots)
	}
	f.store.Put("op/config", []byte(`{"version":7,"routes":[{"name":"lot-history","hostname":"`+lsHost+`","path_prefix":"/goka902/","service":"tannery-ledger",
		"type":"idempotent","timeout_ms":15000,"target_latency_ms":800,"max_attempts":2,"priority":2}],
		"services":[{"name":"tannery-ledger","max_connections":43}],
		"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`))
	if err := f.startAll(); err != nil {
		return cannotRun, err
	}
	time.Sleep(5 * time.Second) // all VMs have found each other and are in touch

	began := time.Now()
	end := began.Add(lsTerm + lsTo + 3*time.Second)
	var mu sync.Mutex
	served, others := 0, 0
	var wg sync.WaitGroup
	for i := range lsBusy {
		wg.Go(func() {
			v := f.vms[1+i%(len(f.vms)-1)]
			var c *lsConn
			for k := 0; time.Now().Before(end); k++ {
				if c == nil {
					if c, err = lsDial(v); err != nil {
						return
					}
				}
				status, closed, _ := c.ask(fmt.Sprintf("b%02x%06x", i, k), lsWork)
				mu.Lock()
				if status == http.StatusOK {
					served++
				} else {
					others++
				}
				mu.Unlock()
				if closed {
					_ = c.Close()
					c = nil
				}
			}
		})
	}
	term := began.Add(lsTerm)
	lost, answered, refused := 0, 0, 0
	for i := range lsLate {
		wg.Go(func() {
			c, err := lsDial(f.vms[0])
			if err != nil {
				return
			}
			defer func() { _ = c.Close() }()
			time.Sleep(time.Duration(i) * 100 * time.Millisecond)
			status, closed, err := c.ask(fmt.Sprintf("k%02x", i), lsWork)
			r.line("k%02x: status %d, closes %t, error %v", i, status, closed, err)
			if status != http.StatusOK || closed {
				return
			}
			at := lsFrom + time.Duration(i)*(lsTo-lsFrom)/(lsLate-1)
			time.Sleep(time.Until(term.Add(at)))
			id := fmt.Sprintf("l%02x", i)
			sent := time.Now()
			r.line("%s: sent %.3f s after the SIGTERM on a kept connection", id, sent.Sub(term).Seconds())
			status, _, err = c.ask(id, lsLong)
			took := time.Since(sent)
			var arrived time.Time
			for _, p := range replicas {
				p.mu.Lock()
				if t, ok := p.arrived[id]; ok {
					arrived = t
				}
				p.mu.Unlock()
			}
			r.line("%s: status %d after %.3f s, error %v, passed on to a replica: %t", id, status, took.Seconds(), err, !arrived.IsZero())
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err == nil && status == http.StatusServiceUnavailable:
				refused++
			case err == nil:
				answered++
			case sent.Sub(term) > lsExcusedUntil && !arrived.IsZero():
				lost++
				r.line("LOST: %s was read whole and passed on, and its connection ended %.3f s after the SIGTERM without an answer", id, time.Since(term).Seconds())
			}
		})
	}
	if trouble {
		time.Sleep(time.Until(term))
		r.say("SIGTERM to %s", f.vms[0].id)
		_ = f.vms[0].cmd.Process.Signal(syscall.SIGTERM)
		go func() {
			<-f.vms[0].done
			r.say("%s has ended %.3f s after the SIGTERM", f.vms[0].id, time.Since(term).Seconds())
		}()
	}
	wg.Wait()
	r.say("late requests: %d answered, %d refused, %d passed on and cut off; other requests: %d served, %d not", answered, refused, lost, served, others)
	if served == 0 {
		return cannotRun, fmt.Errorf("no request was served")
	}
	if lost > 0 {
		r.say("LOST is broken")
		return broken, nil
	}
	return held, nil
}
