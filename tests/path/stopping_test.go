package path

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/ebonylock/ebonylock/tests/fleet"
	"github.com/ebonylock/ebonylock/tests/site"
)

const (
	// stopGrace is the time between SIGTERM and SIGKILL.
	stopGrace = 6 * time.Second
	// balancerDelay is the time after SIGTERM during which the balancer still opens connections to a VM.
	balancerDelay = 2500 * time.Millisecond
	// lossSlack is the time after which a request that was not passed on counts as lost if its connection ends.
	lossSlack = 200 * time.Millisecond
	// stopLogDelay is the time for the last log lines to arrive.
	stopLogDelay = 100 * time.Millisecond
	// never is the work time of a replica that does not answer.
	never = time.Hour
)

// run is the execution of a request at a replica.
type run struct {
	replica string
	began   time.Time
	ends    time.Time
}

// stopFleet is a set of VMs that are stopped while callers use them, with the record of what callers and
// replicas saw.
type stopFleet struct {
	t        *testing.T
	store    *site.Store
	dir      string
	vms      []*stopVM
	replicas []*site.Replica
	version  int

	mu    sync.Mutex
	runs  map[string][]run
	lines map[string][]string
	reqs  []*stopRequest
	// hungUntil is the time at which the replicas of kind hung go on.
	hungUntil time.Time
}

// stopVM is a VM with the time of its SIGTERM.
type stopVM struct {
	*fleet.SiteVM
	mu      sync.Mutex
	stopped time.Time
}

// stopRequest is a request with all that its caller saw.
type stopRequest struct {
	id, class, route string
	vm               *stopVM
	patience         time.Duration
	sent, ended      time.Time
	// got is the number of bytes of the answer, status its status or 0.
	got, status int
	// end is empty if the answer is whole, else how the connection ended.
	end string
}

// replicaKind is the behaviour of a replica: its work times factor, or one of the special kinds.
type replicaKind struct {
	factor float64
	// silent never ends its run. lost ends its run in time and sends no answer. hung goes on at hungUntil.
	silent, lost, hung bool
}

// startStopFleet starts VMs, and services "booking", "lot" and "big" with a replica for each kind. Services
// "a" and "b" are the shards of a search and have two quick replicas each.
func startStopFleet(t *testing.T, vms int, kinds map[string][]replicaKind) *stopFleet {
	t.Helper()
	f := &stopFleet{t: t, dir: t.TempDir(), runs: make(map[string][]run), lines: make(map[string][]string)}
	var err error
	if f.store, err = site.NewStore(100); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.kill)
	quick := []replicaKind{{factor: 1}, {factor: 1}}
	for _, service := range []string{"a", "b", "booking", "lot", "big"} {
		list := kinds[service]
		if list == nil {
			list = quick
		}
		for i, k := range list {
			f.addReplica(service, fmt.Sprintf("%s-%d", service, i+1), k)
		}
	}
	f.writeConfig()
	for i := range vms {
		vm := &stopVM{SiteVM: fleet.NewSiteVM(i, "dc-1", f.store.Addr())}
		f.vms = append(f.vms, vm)
		if err := vm.Start(binDir, f.dir, &stopLog{fleet: f}); err != nil {
			t.Fatal(err)
		}
	}
	end := time.Now().Add(30 * time.Second)
	for _, vm := range f.vms {
		for !vm.Ready(time.Second) {
			if time.Now().After(end) {
				t.Fatalf("%s is not ready in time", vm.ID)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return f
}

func (f *stopFleet) kill() {
	for _, vm := range f.vms {
		vm.Kill()
	}
	for _, r := range f.replicas {
		r.Close()
	}
	f.store.Close()
}

// addReplica starts a replica and registers it. The query of a request gives its work time and the size of
// its answer.
func (f *stopFleet) addReplica(service, id string, k replicaKind) {
	r, err := site.NewReplica(func(g site.Request) site.Reply {
		if g.Target == "/health" {
			return site.Reply{Raw: site.Status(g, http.StatusOK, "", "Instance-Id: "+id)}
		}
		u, _ := url.Parse(g.Target)
		work, _ := time.ParseDuration(u.Query().Get("work"))
		size, _ := strconv.Atoi(u.Query().Get("size"))
		raw := site.OK(g, strings.Repeat("x", size))
		work = time.Duration(float64(work) * k.factor)
		f.mu.Lock()
		defer f.mu.Unlock()
		if wait := time.Until(f.hungUntil); k.hung && wait > 0 {
			work += wait
		}
		if ms, err := strconv.Atoi(g.Header.Get("Deadline-Ms")); err == nil && time.Duration(ms)*time.Millisecond < work {
			work = time.Duration(ms) * time.Millisecond
			raw = site.Status(g, http.StatusGatewayTimeout, "late", "Server-Stamp: stamp."+g.Header.Get("Request-Id"))
		}
		if k.silent {
			work = never
		}
		rid := g.Header.Get("Request-Id")
		f.runs[rid] = append(f.runs[rid], run{replica: id, began: time.Now(), ends: time.Now().Add(work)})
		if k.lost {
			work = never
		}
		return site.Reply{Raw: raw, Delay: work}
	})
	if err != nil {
		f.t.Fatal(err)
	}
	f.replicas = append(f.replicas, r)
	f.store.Put("servers/"+id, fmt.Appendf(nil, `{"service":%q,"address":%q,"zone":"dc-1","version":"v1","slots":50,"state":"ready","warmup_left_ms":0,"sequence":1}`, service, r.Addr()))
}

// writeConfig writes the next version of the configuration.
func (f *stopFleet) writeConfig() {
	f.version++
	route := func(name, kind string, timeout, target int, to string) string {
		return fmt.Sprintf(`{"name":%[1]q,"hostname":"h.example","path_prefix":"/%[1]s/","type":%[2]q,"timeout_ms":%[3]d,"target_latency_ms":%[4]d,"priority":%[6]d,"max_attempts":2,%[5]s}`, name, kind, timeout, target, to, f.version%3)
	}
	f.store.Put("op/config", fmt.Appendf(nil, `{"version":%d,"routes":[%s,%s,%s,%s,%s],"services":[{"name":"booking","health_path":"/health","max_connections":100},{"name":"lot","health_path":"/health","max_connections":100}],
		"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`, f.version,
		route("booking", "idempotent", 1500, 250, `"service":"booking"`),
		route("hold", "non_idempotent", 1500, 250, `"service":"booking"`),
		route("lot", "idempotent", 15000, 800, `"service":"lot"`),
		route("big", "idempotent", 15000, 800, `"service":"big"`),
		route("search", "idempotent", 400, 80, `"gather":["a","b"],"top_k":5,"min_shard_share":0.5`)))
}

// stopLog collects the log lines of a VM that name a request.
type stopLog struct {
	fleet   *stopFleet
	partial []byte
}

// Write implements io.Writer.
func (l *stopLog) Write(p []byte) (int, error) {
	l.partial = append(l.partial, p...)
	for {
		line, rest, ok := bytes.Cut(l.partial, []byte("\n"))
		if !ok {
			return len(p), nil
		}
		l.partial = rest
		var e struct{ Event, ID, Outcome string }
		if json.Unmarshal(line, &e) != nil {
			continue
		}
		l.fleet.mu.Lock()
		if e.ID != "" {
			l.fleet.lines[e.ID] = append(l.fleet.lines[e.ID], strings.TrimSuffix(e.Event+" "+e.Outcome, " "))
		}
		l.fleet.mu.Unlock()
		switch e.Event {
		case "stop", "stopped", "request-cut", "answer-cut", "reload":
			l.fleet.t.Logf("%s", line)
		}
	}
}

// stop sends SIGTERM to a VM, and SIGKILL once the grace period is over. It returns when the process has
// ended.
func (f *stopFleet) stop(vm *stopVM) {
	vm.mu.Lock()
	vm.stopped = time.Now()
	vm.mu.Unlock()
	_ = vm.Signal(syscall.SIGTERM)
	if !vm.Wait(stopGrace) {
		_ = vm.Signal(syscall.SIGKILL)
		vm.Wait(time.Minute)
	}
	f.t.Logf("%s ended %.2f s after SIGTERM", vm.ID, time.Since(vm.stopped).Seconds())
}

// since returns the time since the VM's SIGTERM, or 0 before it.
func (vm *stopVM) since(at time.Time) time.Duration {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	if vm.stopped.IsZero() {
		return 0
	}
	return at.Sub(vm.stopped)
}

// countingConn counts the bytes read from a connection.
type countingConn struct {
	*net.TCPConn
	n int
	// pause, if not 0, is the time between two reads of at most 4 KB, until slowUntil if that is set.
	pause     time.Duration
	slowUntil time.Time
}

// Read implements io.Reader.
func (c *countingConn) Read(p []byte) (int, error) {
	if c.pause > 0 && (c.slowUntil.IsZero() || time.Now().Before(c.slowUntil)) {
		time.Sleep(c.pause)
		p = p[:min(len(p), 4<<10)]
	}
	n, err := c.TCPConn.Read(p)
	c.n += n
	return n, err
}

// stopCaller is a caller with a connection to a VM.
type stopCaller struct {
	f    *stopFleet
	vm   *stopVM
	conn *countingConn
	in   *bufio.Reader
}

// dial opens a connection to vm, with a receive buffer of rcvbuf bytes unless that is 0.
func (f *stopFleet) dial(vm *stopVM, rcvbuf int) (*stopCaller, error) {
	d := net.Dialer{Timeout: time.Second, Control: func(_, _ string, c syscall.RawConn) error {
		if rcvbuf == 0 {
			return nil
		}
		return c.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, rcvbuf) })
	}}
	c, err := d.Dial("tcp4", vm.Callers())
	if err != nil {
		return nil, err
	}
	cc := &countingConn{TCPConn: c.(*net.TCPConn)}
	return &stopCaller{f: f, vm: vm, conn: cc, in: bufio.NewReader(cc)}, nil
}

// newRequest records a request of the given class on a route.
func (c *stopCaller) newRequest(class, route string) *stopRequest {
	patience := map[string]time.Duration{"booking": 1500 * time.Millisecond, "hold": 1500 * time.Millisecond, "search": 400 * time.Millisecond}[route]
	if patience == 0 {
		patience = 15 * time.Second
	}
	c.f.mu.Lock()
	defer c.f.mu.Unlock()
	q := &stopRequest{id: fmt.Sprintf("q%d", len(c.f.reqs)), class: class, route: route, vm: c.vm, patience: patience}
	c.f.reqs = append(c.f.reqs, q)
	return q
}

// text returns the request with the given work time and size of the answer.
func (q *stopRequest) text(work time.Duration, size int) string {
	method, body := "GET", ""
	if q.route == "hold" {
		method, body = "POST", "Content-Length: 4\r\n"
	}
	s := fmt.Sprintf("%s /%s/%s?work=%s&size=%d HTTP/1.1\r\nHost: h.example\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n%s\r\n", method, q.route, q.id, work, size, q.id, q.patience.Milliseconds(), body)
	if body != "" {
		s += "body"
	}
	return s
}

// send writes raw as the text of the given requests.
func (c *stopCaller) send(raw string, qs ...*stopRequest) {
	_ = c.conn.SetDeadline(time.Now().Add(16 * time.Second))
	for _, q := range qs {
		q.sent = time.Now()
	}
	_, _ = c.conn.Write([]byte(raw))
}

// read reads the answer to q. It returns false if the connection has ended or is to be closed.
func (c *stopCaller) read(q *stopRequest) bool {
	before := c.conn.n - c.in.Buffered()
	w, err := http.ReadResponse(c.in, nil)
	if err == nil {
		q.status = w.StatusCode
		_, err = io.Copy(io.Discard, w.Body)
	}
	q.ended, q.got = time.Now(), c.conn.n-c.in.Buffered()-before
	switch {
	case err == nil:
		return !w.Close
	case errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE):
		q.end = "reset"
	case errors.Is(err, os.ErrDeadlineExceeded):
		q.end = "timeout"
	default:
		q.end = "closed"
	}
	return false
}

// violation returns why the end of q is a violation, or "". A request that a replica ran must get a whole
// answer while its caller waits for it, and 503 means that no replica ran it.
func (f *stopFleet) violation(q *stopRequest) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	runs := f.runs[q.id]
	switch {
	case q.end != "" && len(runs) > 0 && q.ended.Sub(q.sent) < q.patience:
		return "no whole answer"
	case q.status == http.StatusServiceUnavailable && len(runs) > 0 && q.route != "search":
		return "503 after a run"
	}
	return ""
}

// check fails the test for each request whose end is a violation.
func (f *stopFleet) check() {
	f.t.Helper()
	time.Sleep(stopLogDelay)
	for _, q := range f.reqs {
		if v := f.violation(q); v != "" {
			f.t.Errorf("%s: %s", v, f.describe(q))
		}
	}
}

// describe returns the record of a request. Times are in seconds since its VM's SIGTERM.
func (f *stopFleet) describe(q *stopRequest) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	at := func(t time.Time) string { return fmt.Sprintf("%.2f", q.vm.since(t).Seconds()) }
	s := fmt.Sprintf("%s %s %s at %s: sent %s, ended %s, status %d, %d bytes, %q", q.id, q.class, q.route, q.vm.ID, at(q.sent), at(q.ended), q.status, q.got, q.end)
	for _, r := range f.runs[q.id] {
		s += fmt.Sprintf(", %s ran it %s to %s", r.replica, at(r.began), at(r.ends))
	}
	return s + fmt.Sprintf(", log %v", f.lines[q.id])
}

// excused reports whether q has an excuse of rule LOST: it was sent early in the stop and its replica still
// worked late in it.
func (f *stopFleet) excused(q *stopRequest) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return q.vm.since(q.sent) <= 3*time.Second && slices.ContainsFunc(f.runs[q.id], func(r run) bool {
		return q.vm.since(r.ends) > stopGrace*5/6
	})
}

// randomRequest returns route, work time and answer size of a request.
func randomRequest(rng *rand.Rand) (route string, work time.Duration, size int) {
	size = 3000 + int(min(rng.ExpFloat64()*2000, 15000))
	switch d := rng.Float64(); {
	case d < 0.45:
		return "booking", time.Duration(min(rng.ExpFloat64()*60, 400) * 1e6), size
	case d < 0.6:
		return "hold", time.Duration(min(rng.ExpFloat64()*60, 400) * 1e6), size
	case d < 0.9:
		return "lot", time.Duration(min(rng.ExpFloat64()*220, 1300) * 1e6), size
	}
	return "search", 5 * time.Millisecond, 160
}
