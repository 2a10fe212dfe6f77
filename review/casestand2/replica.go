//go:build review

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/ebonylock/ebonylock/tests/site"
)

const (
	// heartbeat is heartbeat_ms of the settings.
	heartbeat = 1200 * time.Millisecond
	// queueFactor times the slots is the number of requests that a replica holds at most.
	queueFactor = 4
)

// arrival is a request that a replica began to run.
type arrival struct {
	id   string
	at   time.Time
	cold bool
}

// replica is a stand-in of a backend server that registers itself in the store.
type replica struct {
	id, service, zone string
	// version is that of its software.
	version string
	store   *site.Store
	// crashes reports whether the replica crashes when it begins to run a request; nil for never.
	crashes func(req *http.Request) bool
	// silent is closed at the end of a crash during which the replica neither reads nor answers; nil if it runs.
	silent chan struct{}
	work   time.Duration
	slots  int
	// warmup is the time for which the replica is cold.
	warmup time.Duration

	mu        sync.Mutex
	addr      netip.AddrPort
	srv       *http.Server
	stopBeats context.CancelFunc
	born      int64
	sequence  int
	coldUntil time.Time
	draining  bool
	// phase is the time of the first heartbeat after a start.
	phase time.Duration
	// reaches reports whether calls to the store are answered; nil for always.
	reaches  func() bool
	arrivals []arrival
	running  int
	waiting  int
	free     chan struct{}
	// last is the last entry written, without its sequence.
	last string
}

// entry returns the store entry. The caller must hold mu.
func (r *replica) entry(now time.Time, sequence int) map[string]any {
	state := "ready"
	if r.draining {
		state = "draining"
	}
	return map[string]any{
		"service": r.service, "address": r.addr.String(), "zone": r.zone, "version": r.version, "slots": r.slots, "state": state,
		"warmup_left_ms": max(r.coldUntil.Sub(now).Milliseconds(), 0), "sequence": sequence, "born": r.born,
	}
}

// start starts the replica's server, on its last address if it had one, and its heartbeats.
func (r *replica) start(cold bool) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	listen := "127.0.0.1:0"
	if r.addr.IsValid() {
		listen = r.addr.String()
	}
	var ln net.Listener
	var err error
	for range 100 {
		if ln, err = net.Listen("tcp4", listen); err == nil {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	r.addr = ln.Addr().(*net.TCPAddr).AddrPort()
	r.born, r.sequence, r.draining, r.last = time.Now().UnixMilli(), 0, false, ""
	r.running, r.waiting, r.silent = 0, 0, nil
	r.free = make(chan struct{}, r.slots)
	if cold {
		r.coldUntil = time.Now().Add(r.warmup)
	}
	r.srv = &http.Server{Handler: http.HandlerFunc(r.serve), ReadHeaderTimeout: 5 * time.Second}
	srv := r.srv
	go func() { _ = srv.Serve(ln) }()
	ctx, cancel := context.WithCancel(context.Background())
	r.stopBeats = cancel
	go r.beats(ctx)
	return nil
}

// crash ends the server and its heartbeats at once.
func (r *replica) crash() {
	r.mu.Lock()
	srv, stop := r.srv, r.stopBeats
	r.mu.Unlock()
	stop()
	_ = srv.Close()
}

// fallSilent makes the replica neither read nor answer from now on, and crash after d. It reports false if it already
// is silent.
func (r *replica) fallSilent(d time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.silent != nil {
		return false
	}
	silent := make(chan struct{})
	r.silent = silent
	stop := r.stopBeats
	stop()
	time.AfterFunc(d, func() {
		r.crash()
		close(silent)
	})
	return true
}

// beats writes the entry at the start and at each heartbeat after phase.
func (r *replica) beats(ctx context.Context) {
	r.beat()
	next := time.NewTimer(r.phase)
	defer next.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-next.C:
			next.Reset(heartbeat)
			r.beat()
		}
	}
}

// beat writes the entry if more than the sequence has changed and the store answers.
func (r *replica) beat() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sequence++
	if r.reaches != nil && !r.reaches() {
		return
	}
	e := r.entry(time.Now(), r.sequence)
	value := encodeEntry(e)
	delete(e, "sequence")
	plain := encodeEntry(e)
	if string(plain) == r.last {
		return
	}
	r.last = string(plain)
	r.store.Put("servers/"+r.id, value)
}

// cool makes the replica cold again.
func (r *replica) cool() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.coldUntil = time.Now().Add(r.warmup)
}

// drain makes the replica report that it shuts down. It goes on serving.
func (r *replica) drain() {
	r.mu.Lock()
	r.draining = true
	r.mu.Unlock()
	r.beat()
}

func (r *replica) serve(w http.ResponseWriter, req *http.Request) {
	now := time.Now()
	r.mu.Lock()
	if silent := r.silent; silent != nil {
		r.mu.Unlock()
		<-silent
		return
	}
	cold, leaving := now.Before(r.coldUntil), r.draining
	left := r.coldUntil.Sub(now)
	full := r.running+r.waiting >= r.slots*queueFactor
	load := fmt.Sprintf("%d,%d,%d", r.running, r.waiting, r.slots)
	r.mu.Unlock()
	id := req.Header.Get("Request-Id")
	w.Header().Set("Server-Load", load)
	if leaving {
		w.Header().Set("Server-Leaving", "1")
	}
	if id != "" {
		w.Header().Set("Request-Id", id)
	}
	switch {
	case req.URL.Path == "/health":
		w.Header().Set("Instance-Id", r.id)
		if cold {
			w.Header().Set("Warmup-Ms", fmt.Sprint(left.Milliseconds()))
		}
		if leaving {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	case req.Header.Get("Expect-Instance") != "" && req.Header.Get("Expect-Instance") != r.id:
		w.Header().Set("Instance-Id", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case full:
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	r.mu.Lock()
	r.arrivals = append(r.arrivals, arrival{id: id, at: now, cold: cold})
	r.waiting++
	free := r.free
	r.mu.Unlock()
	if r.crashes != nil && r.crashes(req) {
		return
	}
	free <- struct{}{}
	r.mu.Lock()
	r.waiting--
	r.running++
	r.mu.Unlock()
	time.Sleep(r.work + time.Duration(rand.Int64N(int64(r.work)/4)))
	<-free
	r.mu.Lock()
	r.running--
	r.mu.Unlock()
	w.Header().Set("Server-Stamp", fmt.Sprintf("%s.%s", id, r.id))
	_, _ = w.Write([]byte(r.id))
}

// taken returns the requests that began to run so far.
func (r *replica) taken() []arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]arrival(nil), r.arrivals...)
}

// zonesOf returns the zones of the deployment, each n times.
func zonesOf(n int) []string {
	var out []string
	for range n {
		out = append(out, "bole", "piassa", "merkato")
	}
	return out
}

// startReplicas starts perZone replicas of a service in each zone, with heartbeats at different times.
func startReplicas(store *site.Store, service string, perZone int, work, warmup time.Duration) ([]*replica, error) {
	var out []*replica
	for i, zone := range zonesOf(perZone) {
		r := &replica{
			id: fmt.Sprintf("i-%s-%d", service, i+1), service: service, zone: zone, version: "v1", store: store, work: work, slots: 4, warmup: warmup,
			phase: heartbeat * time.Duration(i+1) / time.Duration(3*perZone),
		}
		if err := r.start(false); err != nil {
			return out, err
		}
		out = append(out, r)
	}
	return out, nil
}

func encodeEntry(e map[string]any) []byte {
	value, err := json.Marshal(e)
	if err != nil {
		panic(err) // strings and numbers only
	}
	return value
}
