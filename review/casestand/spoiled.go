//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"
)

func init() { cases["spoiled"] = spoiledAnswer }

const (
	spHost     = "hufi27.example"
	spDeadline = 1500 * time.Millisecond
	spWork     = 60 * time.Millisecond
	// spShare of the replicas spoil spRate of their answers, from spBegin after the start of the traffic
	// for spFor.
	spVMs, spReplicas, spShare = 7, 7, 0.6
	spRate                     = 0.03
	spBegin                    = 3 * time.Second
	spFor                      = 5 * time.Second
	spEnd                      = 11 * time.Second
	// spClose is the share of the answers with "Connection: close".
	spClose = 0.05
)

// spReplica is a replica whose answers are chunked. A spoiled answer has one flipped bit, in the first
// digit of its HTTP version.
type spReplica struct {
	id string
	ln net.Listener
	r  *record
	// garbling reports whether the replica may spoil answers.
	garbling func() bool

	mu sync.Mutex
	// answers and spoiled count the answers during the disruption.
	answers, spoiled int
	total, closed    int
}

func newSPReplica(id string, r *record, garbling func() bool) (*spReplica, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &spReplica{id: id, ln: ln, r: r, garbling: garbling}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p, nil
}

func (p *spReplica) addr() netip.AddrPort { return p.ln.Addr().(*net.TCPAddr).AddrPort() }

// next reports whether the next answer is spoiled and whether it closes its connection.
func (p *spReplica) next() (spoil, last bool) {
	garbling := p.garbling()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.total++
	if last = float64(p.closed) < spClose*float64(p.total); last {
		p.closed++
	}
	if garbling {
		p.answers++
		if spoil = last && float64(p.spoiled+1) <= spRate*float64(p.answers); spoil {
			p.spoiled++
		}
	}
	return spoil, last
}

// spBody is the body of the answer to a request.
func spBody(id string) string { return strings.Repeat("record "+id+" ", 20) }

func (p *spReplica) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		id := req.Header.Get("Request-Id")
		if req.Header.Get("Expect-Instance") != p.id {
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: %s\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", id, p.id)
			continue
		}
		time.Sleep(spWork)
		spoil, last := p.next()
		body, closing := spBody(id), ""
		if last {
			closing = "Connection: close\r\n"
		}
		half := len(body) / 2
		b := fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: stamp.%s\r\n%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n",
			id, id, closing, half, body[:half], len(body)-half, body[half:])
		if spoil {
			b[len("HTTP/")] ^= 4
			p.r.line("%s: spoils its answer to %s: %.30q", p.id, id, b)
		}
		if _, err := c.Write(b); err != nil || last {
			return
		}
	}
}

// spoiledAnswer flips one bit in some answers of replicas. What a requester gets with a success must be
// the replica's body.
func spoiledAnswer(r *record, trouble bool) (int, error) {
	f, err := newFleet(spVMs)
	if err != nil {
		return cannotRun, err
	}
	defer f.end()
	var mu sync.Mutex
	var began time.Time
	var replicas []*spReplica
	for i := range spReplicas {
		id := fmt.Sprintf("i-%d", i+1)
		p, err := newSPReplica(id, r, func() bool {
			mu.Lock()
			defer mu.Unlock()
			since := time.Since(began)
			return trouble && float64(i+1) <= spShare*spReplicas && since > spBegin && since < spBegin+spFor
		})
		if err != nil {
			return cannotRun, err
		}
		defer func() { _ = p.ln.Close() }()
		replicas = append(replicas, p)
		f.put(id, "reservations", zones[i%3], p.addr(), 4)
	}
	f.store.Put("op/config", []byte(`{"version":7,"routes":[{"name":"booking-read","hostname":"`+spHost+`","path_prefix":"/goka902/","service":"reservations",
		"type":"idempotent","timeout_ms":1500,"target_latency_ms":250,"max_attempts":2,"priority":2}],
		"services":[{"name":"reservations","max_connections":100}],
		"limits":{"max_header_bytes":8192,"max_body_bytes":262144,"header_timeout_ms":2000,"idle_timeout_ms":15000}}`))
	if err := f.startAll(); err != nil {
		return cannotRun, err
	}
	time.Sleep(2 * time.Second)

	mu.Lock()
	began = time.Now()
	mu.Unlock()
	right, wrong, failed := 0, 0, 0
	var wg sync.WaitGroup
	for i, v := range f.vms {
		for j := range 5 {
			wg.Go(func() {
				for k := 0; time.Since(began) < spEnd; k++ {
					id := fmt.Sprintf("%x%x%06x", i, j, k)
					status, body, err := spSend(v, id)
					mu.Lock()
					switch {
					case err != nil || status != http.StatusOK:
						failed++
						r.line("%s at %s: status %d, error %v", id, v.id, status, err)
					case body != spBody(id):
						wrong++
						r.line("WRONG: %s at %s: status 200 with the body %q, the replica's body is %q", id, v.id, body, spBody(id))
					default:
						right++
						r.line("%s at %s: status 200 with the replica's body", id, v.id)
					}
					mu.Unlock()
					time.Sleep(150 * time.Millisecond)
				}
			})
		}
	}
	wg.Wait()
	for _, p := range replicas {
		r.line("%s: %d of %d answers during the disruption were spoiled", p.id, p.spoiled, p.answers)
	}
	r.say("%d successes with the replica's body, %d with another body, %d without a success", right, wrong, failed)
	if right == 0 {
		return cannotRun, fmt.Errorf("no request was served")
	}
	if wrong > 0 {
		r.say("MIXED is broken")
		return broken, nil
	}
	return held, nil
}

// spSend sends one request on a connection of its own and returns the answer.
func spSend(v *vm, id string) (status int, body string, err error) {
	c, err := net.DialTimeout("tcp4", v.callers(), time.Second)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = c.Close() }()
	fmt.Fprintf(c, "GET /goka902/%s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n\r\n", id, spHost, id, spDeadline.Milliseconds())
	_ = c.SetReadDeadline(time.Now().Add(spDeadline))
	w, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, "", err
	}
	b, err := io.ReadAll(w.Body)
	return w.StatusCode, string(b), err
}
