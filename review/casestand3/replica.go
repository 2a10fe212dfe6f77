//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// heartbeat is the interval at which a replica writes its entry.
const heartbeat = 1200 * time.Millisecond

// run is one request that a replica has begun to work on.
type run struct {
	id, service, replica string
	at                   time.Time
}

// runs collects the runs of all replicas.
type runs struct {
	mu   sync.Mutex
	list []run
}

func (r *runs) add(x run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list = append(r.list, x)
}

// all returns a copy of the runs so far.
func (r *runs) all() []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]run(nil), r.list...)
}

// replica is a stand-in of a backend server.
type replica struct {
	id, service, zone string
	work              time.Duration
	store             *store
	rec               *record
	runs              *runs
	born              time.Time
	// warmup is how long the replica stays slow after its start.
	warmup time.Duration
	// reply, if set, answers a request in place of the usual reply. It returns false to leave that to the replica.
	reply func(w http.ResponseWriter, r *http.Request) bool

	addr     string
	srv      *http.Server
	stamps   atomic.Int64
	draining atomic.Bool
	ended    chan struct{}
	once     sync.Once

	mu      sync.Mutex
	written string
}

// start binds the address of a replica, which is a free port if addr is empty, and registers it.
func (p *replica) start() error {
	if p.addr == "" {
		p.addr = "127.0.0.1:0"
	}
	ln, err := net.Listen("tcp4", p.addr)
	if err != nil {
		return err
	}
	p.addr, p.ended, p.born = ln.Addr().String(), make(chan struct{}), time.Now()
	p.srv = &http.Server{Handler: p, ReadHeaderTimeout: 10 * time.Second, IdleTimeout: time.Minute}
	go func() { _ = p.srv.Serve(ln) }()
	if !p.store.away() {
		p.register()
	}
	go p.beat()
	return nil
}

// entry returns the entry of the replica without its sequence.
func (p *replica) entry() map[string]any {
	state := "ready"
	if p.draining.Load() {
		state = "draining"
	}
	left := max(p.warmup-time.Since(p.born), 0).Milliseconds()
	return map[string]any{
		"service": p.service, "address": p.addr, "zone": p.zone, "version": "v1", "slots": 4, "state": state,
		"warmup_left_ms": left, "born": p.born.UnixMilli(),
	}
}

// register writes the entry if more than its sequence has changed, or if the store lacks it.
func (p *replica) register() {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.entry()
	b, _ := json.Marshal(e)
	if string(b) == p.written && p.store.get("servers/"+p.id) != nil {
		return
	}
	p.written = string(b)
	e["sequence"] = time.Since(p.born).Milliseconds()
	value, _ := json.Marshal(e)
	p.store.put("servers/"+p.id, value)
}

func (p *replica) beat() {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-p.ended:
			return
		case <-ticker.C:
			if !p.store.away() {
				p.register()
			}
		}
	}
}

// drain announces the planned end of the replica; it goes on to serve.
func (p *replica) drain() {
	p.draining.Store(true)
	p.register()
	p.rec.notef("replica %s reports that it drains", p.id)
}

// leave ends the replica and removes its entry.
func (p *replica) leave() {
	p.stop()
	p.store.remove("servers/" + p.id)
	p.rec.notef("replica %s has left", p.id)
}

// stop ends the replica and breaks its connections.
func (p *replica) stop() {
	p.once.Do(func() { close(p.ended) })
	_ = p.srv.Close()
}

// ServeHTTP implements http.Handler.
func (p *replica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if p.draining.Load() {
		w.Header().Set("Server-Leaving", "1")
	}
	if want := r.Header.Get("Expect-Instance"); want != "" && want != p.id {
		w.Header().Set("Instance-Id", p.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if p.reply != nil && p.reply(w, r) {
		return
	}
	p.runs.add(run{id: id, service: p.service, replica: p.id, at: time.Now()})
	p.rec.logf("run %s at %s of %s, %d bytes", id, p.id, p.service, len(body))
	select {
	case <-time.After(p.work):
	case <-r.Context().Done():
		return
	}
	out := fmt.Sprintf("%s of %s", id, p.service)
	w.Header().Set("Server-Stamp", fmt.Sprintf("%s.%d", p.id, p.stamps.Add(1)))
	w.Header().Set("Content-Length", strconv.Itoa(len(out)))
	_, _ = io.WriteString(w, out)
}
