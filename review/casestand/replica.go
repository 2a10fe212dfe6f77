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
	"time"
)

// arrival is a request that reached a replica.
type arrival struct {
	at   time.Time
	id   string
	conn int
	// end says how the request ended at the replica: "run", "shed", "dropped" or "crashed"; empty
	// while it is there.
	end string
}

// replica is a stand-in of a replica as the pages describe it: it runs slots requests at once and queues
// some more, sheds what it has no room for or whose deadline passes in the queue, echoes the request's
// ID and hands out a receipt.
type replica struct {
	id, service, zone string
	slots, queue      int
	// work returns how long a request runs.
	work func(r *http.Request, body []byte) time.Duration
	// onRun is called when a request begins to run; if it returns true, the replica crashes.
	onRun func(rep *replica, r *http.Request) bool

	mu       sync.Mutex
	ln       net.Listener
	addr     netip.AddrPort
	conns    map[net.Conn]bool
	total    int
	arrivals []*arrival
	waiting  int
	free     chan struct{}
	draining bool
	// life ends when the replica crashes or exits.
	life context.Context
	kill context.CancelFunc
}

// start starts the replica, at its previous address if it had one.
func (r *replica) start() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	addr := "127.0.0.1:0"
	if r.addr.IsValid() {
		addr = r.addr.String()
	}
	ln, err := net.Listen("tcp4", addr)
	if err != nil {
		return err
	}
	r.ln, r.addr = ln, ln.Addr().(*net.TCPAddr).AddrPort()
	r.conns = make(map[net.Conn]bool)
	r.free = make(chan struct{}, r.slots)
	r.waiting = 0
	r.life, r.kill = context.WithCancel(context.Background())
	go r.accept(ln, r.life)
	return nil
}

// crash ends the replica at once: all its connections are reset.
func (r *replica) crash() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.life == nil || r.life.Err() != nil {
		return
	}
	r.kill()
	_ = r.ln.Close()
	for c := range r.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
	for _, a := range r.arrivals {
		if a.end == "" {
			a.end = "crashed"
		}
	}
}

// list returns a copy of the requests that arrived.
func (r *replica) list() []arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]arrival, len(r.arrivals))
	for i, a := range r.arrivals {
		out[i] = *a
	}
	return out
}

func (r *replica) accept(ln net.Listener, life context.Context) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		r.total++
		n := r.total
		r.conns[c] = true
		r.mu.Unlock()
		if life.Err() != nil {
			_ = c.Close()
			return
		}
		go r.serve(c, n, life)
	}
}

func (r *replica) serve(c net.Conn, n int, life context.Context) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		at := time.Now()
		body, err := io.ReadAll(req.Body)
		if err != nil || life.Err() != nil {
			return
		}
		if _, err := c.Write(r.answer(req, body, at, n, life)); err != nil {
			return
		}
	}
}

// answer runs a request and returns the bytes of the reply.
func (r *replica) answer(req *http.Request, body []byte, at time.Time, n int, life context.Context) []byte {
	id := req.Header.Get("Request-Id")
	if req.URL.Path == "/health" {
		return []byte("HTTP/1.1 200 OK\r\nInstance-Id: " + r.id + "\r\nContent-Length: 0\r\n\r\n")
	}
	a := &arrival{at: at, id: id, conn: n}
	refuse := func(status int, end string) []byte {
		r.mu.Lock()
		a.end = end
		r.mu.Unlock()
		return reply(id, status, "", "Not-Executed: 1", "Instance-Id: "+r.id)
	}
	r.mu.Lock()
	r.arrivals = append(r.arrivals, a)
	free := r.free
	full := r.waiting >= r.queue+r.slots
	if !full {
		r.waiting++
	}
	r.mu.Unlock()
	if want := req.Header.Get("Expect-Instance"); want != "" && want != r.id {
		r.mu.Lock()
		r.waiting--
		r.mu.Unlock()
		return refuse(http.StatusMisdirectedRequest, "misdirected")
	}
	if full {
		return refuse(http.StatusServiceUnavailable, "shed")
	}
	defer func() {
		r.mu.Lock()
		r.waiting--
		r.mu.Unlock()
	}()
	left := 10 * time.Second
	if ms, err := strconv.Atoi(req.Header.Get("Deadline-Ms")); err == nil {
		left = time.Duration(ms) * time.Millisecond
	}
	select {
	case free <- struct{}{}:
	case <-time.After(left):
		return refuse(http.StatusServiceUnavailable, "shed")
	case <-life.Done():
		return nil
	}
	defer func() { <-free }()
	if r.onRun != nil && r.onRun(r, req) {
		r.crash()
		return nil
	}
	select {
	case <-time.After(r.work(req, body)):
	case <-life.Done():
		return nil
	}
	r.mu.Lock()
	a.end = "run"
	r.mu.Unlock()
	return reply(id, http.StatusOK, "record of "+id, "Server-Stamp: "+r.id+"."+id)
}

// reply encodes a reply with the given header lines.
func reply(id string, status int, body string, fields ...string) []byte {
	out := fmt.Sprintf("HTTP/1.1 %d %s\r\nRequest-Id: %s\r\nContent-Length: %d\r\n", status, http.StatusText(status), id, len(body))
	for _, f := range fields {
		out += f + "\r\n"
	}
	return []byte(out + "\r\n" + body)
}

// entry returns the replica's entry in the store.
func (r *replica) entry(state string, warmupLeft time.Duration, born time.Time) []byte {
	return fmt.Appendf(nil, `{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":%q,"warmup_left_ms":%d,"sequence":1,"born":%d}`,
		r.service, r.addr, r.zone, r.slots, state, warmupLeft.Milliseconds(), born.UnixMilli())
}
