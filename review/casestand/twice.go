//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["twice"] = twiceCase }

const (
	// garbleShare and garbleLength are the dose of the sites: a replica in trouble spoils 3 of 100
	// answers for 5 s.
	garbleShare  = 0.03
	garbleLength = 5 * time.Second
	// additional is what a spoiled answer is followed by: the answer of a full replica as the page
	// shows it, which names no request.
	additional = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
)

// spoilingReplica is a replica that for some time sends additional bytes after some of its complete
// answers, late: at the point where the next answer on the connection is expected. All its own answers
// carry the Request-Id.
type spoilingReplica struct {
	id string
	r  *record
	// free holds the slots in use.
	free chan struct{}

	mu        sync.Mutex
	garbles   bool
	answers   int
	spoiled   int
	runs      map[string]int
	misplaced map[string]bool
}

func (s *spoilingReplica) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	owed := false
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.ReadAll(req.Body); err != nil {
			return
		}
		id := req.Header.Get("Request-Id")
		if owed {
			owed = false
			s.r.line("%s: %s has arrived; additional bytes after the answer before it are sent", s.id, id)
			s.mu.Lock()
			s.misplaced[id] = true
			s.mu.Unlock()
			if _, err := io.WriteString(c, additional); err != nil {
				return
			}
		}
		s.free <- struct{}{}
		s.r.line("%s: runs %s", s.id, id)
		s.mu.Lock()
		s.runs[id]++
		s.mu.Unlock()
		time.Sleep(time.Duration((0.5 + rand.Float64()) * float64(60*time.Millisecond)))
		<-s.free
		s.mu.Lock()
		s.answers++
		if s.garbles && rand.Float64() < garbleShare {
			owed = true
			s.spoiled++
		}
		s.mu.Unlock()
		if _, err := c.Write(reply(id, http.StatusOK, "record of "+id, "Server-Stamp: "+s.id+"."+id)); err != nil {
			return
		}
	}
}

// twiceCase sends requests that must not run twice, while some replicas send additional bytes after
// answers, in several spans of garbleLength.
func twiceCase(r *record, trouble bool) (int, error) {
	const (
		perSecond = 45
		length    = 60 * time.Second
		replicas  = 7
	)
	f, err := newFleet(3)
	if err != nil {
		return cannotRun, err
	}
	defer f.end()
	var reps []*spoilingReplica
	for i := range replicas {
		s := &spoilingReplica{id: fmt.Sprintf("i-%d", i), r: r, free: make(chan struct{}, 4), runs: make(map[string]int), misplaced: make(map[string]bool)}
		ln, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return cannotRun, err
		}
		defer func() { _ = ln.Close() }()
		go func() {
			for {
				c, err := ln.Accept()
				if err != nil {
					return
				}
				go s.serve(c)
			}
		}()
		f.put(s.id, "reservations", zones[i%3], ln.Addr().(*net.TCPAddr).AddrPort(), 4)
		reps = append(reps, s)
	}
	f.store.Put("op/config", []byte(`{"version":3,"routes":[
		{"name":"r-booking","hostname":"hufi27.example","path_prefix":"/goka902/","type":"non_idempotent","timeout_ms":1500,"target_latency_ms":250,"priority":2,"service":"reservations","max_attempts":2}],
		"services":[{"name":"reservations","health_path":"/health","max_connections":100,"warmup_s":3.0,"warmup_per_s":0.0}],
		"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`))
	if err := f.startAll(); err != nil {
		return cannotRun, err
	}
	time.Sleep(5 * time.Second)
	began := time.Now()
	for at := 4 * time.Second; trouble && at < length-garbleLength; at += 2 * garbleLength {
		// The sites name a share of 0.6 of the replicas.
		for _, i := range rand.Perm(replicas)[:replicas*6/10] {
			s := reps[i]
			set := func(on bool) func() {
				return func() {
					s.mu.Lock()
					s.garbles = on
					s.mu.Unlock()
				}
			}
			time.AfterFunc(at, set(true))
			time.AfterFunc(at+garbleLength, set(false))
		}
	}
	var mu sync.Mutex
	results := make(map[string]result)
	var wg sync.WaitGroup
	for i := range perSecond * int(length/time.Second) {
		wg.Go(func() {
			time.Sleep(time.Until(began.Add(time.Duration(rand.Float64() * float64(length)))))
			id := fmt.Sprintf("q%04d", i)
			a := once(f.vms[i%3], "POST", "hufi27.example", "/goka902/2f", id, strings.Repeat("b", 300), 1500*time.Millisecond)
			r.line("%s at %s: %v", id, f.vms[i%3].id, a)
			mu.Lock()
			results[id] = a
			mu.Unlock()
		})
	}
	wg.Wait()
	time.Sleep(200 * time.Millisecond)
	runs := make(map[string]int)
	answers, spoiled := 0, 0
	for _, s := range reps {
		s.mu.Lock()
		answers, spoiled = answers+s.answers, spoiled+s.spoiled
		for id, n := range s.runs {
			runs[id] += n
		}
		s.mu.Unlock()
	}
	twice, refused := 0, 0
	for id, n := range runs {
		if n > 1 {
			twice++
			r.say("TWICE: %s is not idempotent and has run %d times; its requester got %v", id, n, results[id])
		}
		if results[id].status == http.StatusServiceUnavailable {
			refused++
			r.say("REFUSED: %s has run and was answered 503", id)
		}
	}
	r.say("requests: %d; answers of the replicas: %d, followed by additional bytes: %d", len(results), answers, spoiled)
	r.say("requests that ran more than once: %d; that ran and were answered 503: %d", twice, refused)
	if twice+refused > 0 {
		return broken, nil
	}
	return held, nil
}
