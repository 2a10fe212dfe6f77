//go:build review

package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"syscall"
	"time"
)

func init() { cases["early-answer"] = earlyAnswer }

const (
	eaHost = "hufi27.example"
	// eaTimeout is the timeout_ms of both routes, eaDeadline how long a requester waits.
	eaTimeout  = 700 * time.Millisecond
	eaDeadline = 1500 * time.Millisecond
	// eaBody is the size of a long request in bytes; the configuration allows 262,144.
	eaBody = 260_000
	// The disruption begins eaBegin after the traffic, lasts eaFor, and comes eaTimes, each eaEvery.
	eaBegin = 3 * time.Second
	eaFor   = 5 * time.Second
	eaEvery = 9 * time.Second
	eaTimes = 6
	// eaReadOn is the time after which a replica that has answered early reads the rest of the body.
	eaReadOn = 3 * time.Second
	// eaShare of the replicas answer eaRate of their requests early.
	eaVMs, eaReplicas, eaShare = 7, 7, 0.6
	eaRate                     = 0.03
	eaWork                     = 60 * time.Millisecond
	// eaLeast requests without an answer are needed for a verdict; the rule names no number.
	eaLeast = 3
	eaEnd   = eaBegin + eaTimes*eaEvery + 2*time.Second
)

// eaReplica is a replica that may answer a long request before it has read the body.
type eaReplica struct {
	id string
	ln net.Listener
	r  *record
	// garbling reports whether the replica may answer a long request before its body is read.
	garbling func() bool
	// ran is called when a request has been read and begins to run.
	ran func(id string)

	mu sync.Mutex
	// answers and given count the answers during the disruption and the early ones among them.
	answers, given int
}

// newEAReplica listens on a free port. Its connections have the windows of an ordinary network path
// with a small window.
func newEAReplica(id string, r *record, garbling func() bool, ran func(id string)) (*eaReplica, error) {
	lc := net.ListenConfig{Control: func(_, _ string, rc syscall.RawConn) error {
		return rc.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, 1460)
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10)
		})
	}}
	ln, err := lc.Listen(context.Background(), "tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &eaReplica{id: id, ln: ln, r: r, garbling: garbling, ran: ran}
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

func (p *eaReplica) addr() netip.AddrPort { return p.ln.Addr().(*net.TCPAddr).AddrPort() }

// early counts an answer and reports whether it is to be given before the body is read: at most eaRate of
// the answers are.
func (p *eaReplica) early(long bool) bool {
	if !p.garbling() {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.answers++
	if !long || float64(p.given+1) > eaRate*float64(p.answers) {
		return false
	}
	p.given++
	return true
}

func (p *eaReplica) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReaderSize(c, 4096)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		id := req.Header.Get("Request-Id")
		switch {
		case req.Header.Get("Expect-Instance") != p.id:
			_, _ = io.Copy(io.Discard, req.Body)
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: %s\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", id, p.id)
		case p.early(req.ContentLength > 0):
			p.r.line("%s: answers %s before its body of %d bytes is in", p.id, id, req.ContentLength)
			p.ran(id)
			body := "0123456789abcdef"
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: stamp.%s\r\nContent-Length: %d\r\n\r\n%s", id, id, len(body), body)
			time.Sleep(eaReadOn)
			n, err := io.Copy(io.Discard, req.Body)
			p.r.line("%s: has read the rest of %s, %d bytes, error %v", p.id, id, n, err)
		default:
			if _, err := io.Copy(io.Discard, req.Body); err != nil {
				return
			}
			p.r.line("%s: runs %s, Deadline-Ms %s", p.id, id, req.Header.Get("Deadline-Ms"))
			p.ran(id)
			time.Sleep(eaWork)
			body := "0123456789abcdef"
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: stamp.%s\r\nContent-Length: %d\r\n\r\n%s", id, id, len(body), body)
		}
	}
}

// eaResult is what a requester saw of one request.
type eaResult struct {
	id, vm     string
	long       bool
	sent, took time.Duration
	// status is 0 if the requester gave up at its deadline without an answer.
	status int
	err    error
}

// earlyAnswer lets replicas answer long requests before they have read them and read on later. Other
// requests to the same service must have a final answer half a second after their route's timeout.
func earlyAnswer(r *record, trouble bool) (int, error) {
	f, err := newFleet(eaVMs)
	if err != nil {
		return cannotRun, err
	}
	defer f.end()
	var mu sync.Mutex
	ran := make(map[string]time.Duration)
	var began time.Time
	garbling := func(replica int) func() bool {
		return func() bool {
			mu.Lock()
			defer mu.Unlock()
			since := time.Since(began) - eaBegin
			return trouble && float64(replica+1) <= eaShare*eaReplicas && since > 0 && since < eaTimes*eaEvery && since%eaEvery < eaFor
		}
	}
	var replicas []*eaReplica
	for i := range eaReplicas {
		id := fmt.Sprintf("i-%d", i+1)
		p, err := newEAReplica(id, r, garbling(i), func(id string) {
			mu.Lock()
			defer mu.Unlock()
			ran[id] = time.Since(r.start)
		})
		if err != nil {
			return cannotRun, err
		}
		defer func() { _ = p.ln.Close() }()
		replicas = append(replicas, p)
		f.put(id, "reservations", zones[i%3], p.addr(), 4)
	}
	ms := eaTimeout.Milliseconds()
	f.store.Put("op/config", fmt.Appendf(nil, `{"version":7,"routes":[
		{"name":"booking-read","hostname":%[1]q,"path_prefix":"/goka902/","service":"reservations","type":"idempotent","timeout_ms":%[2]d,"target_latency_ms":250,"max_attempts":2,"priority":2},
		{"name":"booking-plan","hostname":%[1]q,"path_prefix":"/nono601/","service":"reservations","type":"non_idempotent","timeout_ms":%[2]d,"target_latency_ms":250,"max_attempts":2,"priority":2}],
		"services":[{"name":"reservations","max_connections":100}],
		"limits":{"max_header_bytes":8192,"max_body_bytes":262144,"header_timeout_ms":2000,"idle_timeout_ms":15000}}`, eaHost, ms))
	if err := f.startAll(); err != nil {
		return cannotRun, err
	}
	time.Sleep(2 * time.Second)

	mu.Lock()
	began = time.Now()
	mu.Unlock()
	var results []eaResult
	var wg sync.WaitGroup
	send := func(v *vm, n int, long bool, pause time.Duration) {
		wg.Go(func() {
			out := eaRequester(v, r, n, long, pause, began)
			mu.Lock()
			defer mu.Unlock()
			results = append(results, out...)
		})
	}
	for i, v := range f.vms {
		for k := range 5 {
			send(v, 10*i+k, false, 80*time.Millisecond)
		}
		send(v, 10*i+8, true, 200*time.Millisecond)
	}
	wg.Wait()

	for _, p := range replicas {
		r.line("%s: %d of %d answers during the disruption were early", p.id, p.given, p.answers)
	}
	answered, overdue, late, gone := 0, 0, 0, 0
	for _, s := range results {
		switch {
		case s.long:
			continue
		case s.status != 0 && s.took < eaTimeout+20*time.Millisecond:
			answered++
			continue
		}
		overdue++
		if s.status == 0 || s.took > eaTimeout+500*time.Millisecond {
			late++
			r.line("LATE: %s at %s: sent %.3f, status %d after %.3f s; route's timeout %.3f s", s.id, s.vm, s.sent.Seconds(), s.status, s.took.Seconds(), eaTimeout.Seconds())
		}
		if at, ok := ran[s.id]; s.status == 0 && ok && at > s.sent+s.took+500*time.Millisecond {
			gone++
			r.line("GONE: %s runs at %.3f, its requester closed at %.3f", s.id, at.Seconds(), (s.sent + s.took).Seconds())
		}
	}
	r.say("short requests: %d answered in time, %d not answered at the route's timeout, %d of these not answered 0.5 s later; %d ran over 0.5 s after their requester had closed", answered, overdue, late, gone)
	if answered == 0 {
		return cannotRun, fmt.Errorf("no request was answered")
	}
	if late >= eaLeast && 2*late > overdue {
		r.say("CONFIG is broken")
		return broken, nil
	}
	return held, nil
}

// eaRequester sends requests one after the other to one VM. It leaves its connection when it has had no
// answer at its deadline.
func eaRequester(v *vm, r *record, n int, long bool, pause time.Duration, began time.Time) (out []eaResult) {
	var c net.Conn
	var in *bufio.Reader
	for k := 0; time.Since(began) < eaEnd; k++ {
		if c == nil {
			var err error
			if c, err = net.DialTimeout("tcp4", v.callers(), time.Second); err != nil {
				c = nil
				time.Sleep(50 * time.Millisecond)
				continue
			}
			in = bufio.NewReader(c)
		}
		s := eaResult{id: fmt.Sprintf("%02x%06x", n, k), vm: v.id, long: long, sent: time.Since(r.start)}
		if long {
			fmt.Fprintf(c, "POST /nono601/%d HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nContent-Length: %s\r\n\r\n", k, eaHost, s.id, eaDeadline.Milliseconds(), strconv.Itoa(eaBody))
			_, _ = c.Write(make([]byte, eaBody))
		} else {
			fmt.Fprintf(c, "GET /goka902/%d HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n\r\n", k, eaHost, s.id, eaDeadline.Milliseconds())
		}
		_ = c.SetReadDeadline(time.Now().Add(eaDeadline))
		w, err := http.ReadResponse(in, nil)
		last := true
		if s.err = err; err == nil {
			if _, s.err = io.Copy(io.Discard, w.Body); s.err == nil {
				s.status, last = w.StatusCode, w.Close
			}
		}
		s.took = time.Since(r.start) - s.sent
		r.line("%s at %s: long %t, sent %.3f, status %d, took %.3f, error %v", s.id, s.vm, s.long, s.sent.Seconds(), s.status, s.took.Seconds(), s.err)
		out = append(out, s)
		if last || s.err != nil {
			_ = c.Close()
			c = nil
		}
		time.Sleep(pause)
	}
	if c != nil {
		_ = c.Close()
	}
	return out
}
