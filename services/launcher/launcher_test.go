package launcher

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/ebonylock/ebonylock/modules/loader"
	"github.com/ebonylock/ebonylock/modules/prober"
	"github.com/ebonylock/ebonylock/tests/site"
)

// waitTimeout limits the time that waitFor waits for a condition.
const waitTimeout = 30 * time.Second

type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (o *logBuffer) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buf.Write(p)
}

// lastRequest returns the fields of the last request log line with the given ID, or nil.
func (o *logBuffer) lastRequest(id string) map[string]any {
	o.mu.Lock()
	defer o.mu.Unlock()
	var last map[string]any
	for line := range strings.SplitSeq(o.buf.String(), "\n") {
		var fields map[string]any
		if json.Unmarshal([]byte(line), &fields) == nil && fields["id"] == id && fields["event"] == "request" {
			last = fields
		}
	}
	return last
}

// testVM is one VM with fakes of the platform: a store and replicas.
type testVM struct {
	t        *testing.T
	is       *is.I
	store    *site.Store
	replicas map[string]*site.Replica
	d        *Daemon
	log      logBuffer
	runErr   chan error
}

const settings = `{
	"vm": {"id": "vm-1", "data-centre": "dc-1"},
	"requests": {"listen": "127.0.0.1:0", "readiness": "127.0.0.1:0", "metrics": "127.0.0.1:0"},
	"peers": {"gossip": "127.0.0.1:0", "link": "127.0.0.1:0", "seeds": [],
		"keys": ["000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f"]},
	"store": %q, "first-start": true,
	"bounds": {"grace": "20s"},
}`

func start(t *testing.T) *testVM {
	t.Helper()
	return startWith(t, nil)
}

// startWith starts a VM that logs to out, or to the testVM's own log if out is nil.
func startWith(t *testing.T, out io.Writer) *testVM {
	t.Helper()
	vm := &testVM{t: t, is: is.New(t), replicas: make(map[string]*site.Replica), runErr: make(chan error, 1)}
	var err error
	vm.store, err = site.NewStore(100)
	vm.is.NoErr(err)
	t.Cleanup(vm.store.Close)
	for _, id := range []string{"a-1", "a-2", "b-1", "b-2", "c-1"} {
		vm.add(id)
	}
	vm.configure(1, `"gather":["a","b"],"top_k":3,"min_shard_share":0.5`)
	if out == nil {
		out = &vm.log
	}
	vm.run(out)
	t.Cleanup(vm.end)
	return vm
}

// run starts the VM's process and waits until it is ready.
func (vm *testVM) run(out io.Writer) {
	vm.t.Helper()
	s, err := loader.LoadSite("test", fmt.Appendf(nil, settings, vm.store.Addr()))
	vm.is.NoErr(err)
	vm.d, err = New(s, out)
	vm.is.NoErr(err)
	go func() { vm.runErr <- vm.d.Run(context.Background()) }()
	vm.waitFor(func() bool { return vm.status("http://"+vm.d.readiness.Addr().String()+"/-/readiness") == 200 })
}

// end stops the VM's process.
func (vm *testVM) end() {
	vm.d.Stop()
	<-vm.runErr
}

// add starts and registers a replica. The first letter of the ID is the name of its service.
func (vm *testVM) add(id string) {
	var r *site.Replica
	var err error
	r, err = site.NewReplica(func(g site.Request) site.Reply {
		if strings.HasSuffix(g.Target, "crash-"+id[:1]) {
			r.Close()
			return site.Reply{Reset: true}
		}
		if strings.HasSuffix(g.Target, "slow") {
			return site.Reply{Raw: site.OK(g, "late"), Delay: 300 * time.Millisecond}
		}
		if strings.HasSuffix(g.Target, "leave") {
			return site.Reply{Raw: site.OK(g, id, "Server-Leaving: 1")}
		}
		return site.Reply{Raw: site.OK(g, strings.Repeat(id[:1], 16)), Delay: time.Millisecond}
	})
	vm.is.NoErr(err)
	vm.t.Cleanup(r.Close)
	vm.replicas[id] = r
	vm.register(id, "ready")
}

func (vm *testVM) register(id, state string) {
	vm.store.Put("servers/"+id, fmt.Appendf(nil, `{"service":%q,"address":%q,"zone":"dc-1","version":"v1","slots":2,"state":%q,"warmup_left_ms":0,"sequence":1}`,
		id[:1], vm.replicas[id].Addr(), state))
}

func (vm *testVM) configure(version int, search string) {
	vm.store.Put("op/config", fmt.Appendf(nil, `{"version":%d,"routes":[
		{"name":"search","hostname":"h.example","path_prefix":"/search/","type":"idempotent","timeout_ms":5000,"target_latency_ms":1000,"priority":1,"max_attempts":2,%s},
		{"name":"write","hostname":"h.example","path_prefix":"/write/","type":"non_idempotent","timeout_ms":5000,"target_latency_ms":1000,"priority":1,"max_attempts":2,"service":"c"}],
		"services":[{"name":"a","max_connections":20},{"name":"b","max_connections":20},{"name":"c","max_connections":20}],
		"limits":{"max_header_bytes":4096,"max_body_bytes":4096,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`, version, search))
}

func (vm *testVM) waitFor(ok func() bool) {
	vm.t.Helper()
	for end := time.Now().Add(waitTimeout); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			vm.t.Fatal("timeout while waiting for a condition")
		}
	}
}

func (vm *testVM) status(url string) int {
	resp, err := http.Get(url)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

func (vm *testVM) get(id, path string) (*http.Response, string) {
	r, err := http.NewRequest(http.MethodGet, "http://"+vm.d.callers.Addr().String()+path, http.NoBody)
	vm.is.NoErr(err)
	r.Host = "h.example"
	r.Header.Set("Request-Id", id)
	r.Header.Set("Deadline-Ms", "5000")
	resp, err := http.DefaultClient.Do(r)
	vm.is.NoErr(err)
	body, err := io.ReadAll(resp.Body)
	vm.is.NoErr(err)
	_ = resp.Body.Close()
	return resp, string(body)
}

func TestEndToEnd(t *testing.T) {
	vm := start(t)
	is := vm.is
	vm.waitFor(func() bool { resp, _ := vm.get("wait", "/search/x"); return resp.Header.Get("Missing-Parts") == "0" })
	resp, body := vm.get("r-1", "/search/x")
	is.Equal(body, strings.Repeat("b", 16)+strings.Repeat("a", 16))
	is.Equal(len(strings.Split(resp.Header.Get("Part-Stamps"), ",")), 2)
	resp, _ = vm.get("r-2", "/write/x")
	is.Equal(resp.StatusCode, 200)
	resp, _ = vm.get("r-3", "/none/x")
	is.Equal(resp.StatusCode, 404)

	// A newer configuration version takes effect, and an older one does not replace it.
	vm.configure(3, `"service":"c"`)
	vm.waitFor(func() bool { resp, _ := vm.get("wait", "/search/x"); return resp.Header.Get("Part-Stamps") == "" })
	vm.configure(2, `"gather":["a"],"top_k":3,"min_shard_share":0.5`)
	vm.store.Put("servers/nonsense", []byte("\x00"))
	time.Sleep(300 * time.Millisecond) // two reads of the store
	resp, _ = vm.get("r-4", "/search/x")
	is.Equal(resp.Header.Get("Part-Stamps"), "")

	// A draining replica gets no more requests. Without any other replica, requests are refused at once and
	// run nowhere.
	vm.register("c-1", "draining")
	vm.waitFor(func() bool { resp, _ := vm.get("wait", "/search/x"); return resp.StatusCode == 503 })
	before := len(vm.replicas["c-1"].Requests())
	resp, _ = vm.get("r-5", "/write/x")
	is.Equal(resp.StatusCode, 503)
	is.True(resp.Header.Get("Retry-After") != "")
	is.Equal(len(vm.replicas["c-1"].Requests()), before)

	// The log line of each failed request gives the reason.
	vm.waitFor(func() bool { return vm.log.lastRequest("r-5") != nil })
	is.Equal(fmt.Sprint(vm.log.lastRequest("r-5")["missing"]), "[c no-replica]")
	is.Equal(vm.log.lastRequest("r-5")["outcome"], "refused")
	is.Equal(vm.log.lastRequest("r-3")["outcome"], "no-route")
	resp, err := http.Get("http://" + vm.d.metrics.Addr().String() + "/metrics")
	is.NoErr(err)
	text, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	for _, name := range []string{"ebonylock_forward_requests_total", "ebonylock_beliefs_config_version 3", "ebonylock_beliefs_reads_total"} {
		is.True(strings.Contains(string(text), name))
	}
}

// TestEvacuationAndOutage evacuates the data centre during an outage of the store. The VM must serve from its
// copy during the outage and apply the evacuation once the store is back.
func TestEvacuationAndOutage(t *testing.T) {
	vm := start(t)
	is := vm.is
	vm.waitFor(func() bool { resp, _ := vm.get("wait", "/write/x"); return resp.StatusCode == 200 })
	vm.store.SetFaults(site.Faults{Status: 503})
	vm.waitFor(func() bool { return time.Since(vm.d.follow.SyncedAt()) > 2*time.Second })
	resp, _ := vm.get("r-1", "/write/x")
	is.Equal(resp.StatusCode, 200) // the VM serves from its copy while the store is down
	is.True(vm.d.Ready())
	vm.store.Put("op/evacuate/dc-1", []byte("{}"))
	vm.store.Compact()
	vm.store.SetFaults(site.Faults{})
	vm.waitFor(func() bool { resp, _ := vm.get("wait", "/write/x"); return resp.StatusCode == 503 })
	vm.store.Remove("op/evacuate/dc-1")
	vm.waitFor(func() bool { resp, _ := vm.get("wait", "/write/x"); return resp.StatusCode == 200 })
}

// TestStop checks that a graceful shutdown finishes running requests, makes the VM not ready at once, and
// makes answers close their connections.
func TestStop(t *testing.T) {
	vm := start(t)
	is := vm.is
	vm.waitFor(func() bool { resp, _ := vm.get("wait", "/write/x"); return resp.StatusCode == 200 })
	done := make(chan int, 1)
	before := len(vm.replicas["c-1"].Requests())
	go func() {
		resp, _ := vm.get("r-1", "/write/slow")
		done <- resp.StatusCode
	}()
	vm.waitFor(func() bool { return len(vm.replicas["c-1"].Requests()) > before })
	vm.d.Stop()
	vm.waitFor(func() bool { return vm.status("http://"+vm.d.readiness.Addr().String()+"/-/readiness") == 503 })
	is.Equal(<-done, 200)
	resp, _ := vm.get("r-2", "/write/x")
	is.Equal(resp.StatusCode, 200) // the VM serves requests that the balancer still sends
	is.True(resp.Close)
	is.NoErr(<-vm.runErr)
	vm.runErr <- nil
}

// TestFailedListenerCutsNothing guards against requests that are cut because a listener of the VM has failed: the
// VM must not end before they are answered.
func TestFailedListenerCutsNothing(t *testing.T) {
	for name, fail := range map[string]func(d *Daemon){
		"metrics":   func(d *Daemon) { d.metrics.Close() },
		"readiness": func(d *Daemon) { d.readiness.Close() },
		"link":      func(d *Daemon) { d.relay.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			vm := start(t)
			is := vm.is
			vm.waitFor(func() bool { resp, _ := vm.get("wait", "/write/x"); return resp.StatusCode == 200 })
			before := len(vm.replicas["c-1"].Requests())
			done := make(chan int, 1)
			go func() {
				resp, _ := vm.get("r-1", "/write/slow")
				done <- resp.StatusCode
			}()
			vm.waitFor(func() bool { return len(vm.replicas["c-1"].Requests()) > before })
			fail(vm.d)
			select {
			case err := <-vm.runErr:
				vm.runErr <- err
				t.Fatal("the VM ended before the request was answered")
			case status := <-done:
				is.Equal(status, 200)
			}
			err := <-vm.runErr
			vm.runErr <- nil
			is.True(errors.Is(err, ErrListenerEnded)) // the process ends with a failure
		})
	}
}

// TestRefusalAsTheVMLeaves checks that a request that a stopping VM refuses is logged as well.
func TestRefusalAsTheVMLeaves(t *testing.T) {
	vm := start(t)
	vm.d.refusing.Store(true)
	resp, _ := vm.get("r-1", "/write/x")
	vm.is.Equal(resp.StatusCode, 503)
	vm.waitFor(func() bool { return vm.log.lastRequest("r-1") != nil })
	vm.is.Equal(vm.log.lastRequest("r-1")["outcome"], "stopping")
}

// blockedWriter is an output whose writes block until the channel is closed.
type blockedWriter chan struct{}

func (s blockedWriter) Write(p []byte) (int, error) {
	<-s
	return len(p), nil
}

// TestBlockedLogOutput checks that a stalled reader of standard output delays no request, and that the log
// lines that do not fit into the queue are counted.
func TestBlockedLogOutput(t *testing.T) {
	out := make(blockedWriter)
	vm := startWith(t, out)
	t.Cleanup(func() { close(out) })
	is := vm.is
	vm.waitFor(func() bool { resp, _ := vm.get("wait", "/write/x"); return resp.StatusCode == 200 })
	for i := 0; vm.d.spool.Dropped() == 0; i++ {
		is.True(i < 20_000) // a queue of 512 KiB holds far fewer lines
		resp, _ := vm.get(fmt.Sprint("r-", i), "/none/x")
		is.Equal(resp.StatusCode, 404)
	}
	resp, _ := vm.get("last", "/write/x")
	is.Equal(resp.StatusCode, 200)
}

func TestRank(t *testing.T) {
	is := is.New(t)
	var members []prober.Member
	for i, dc := range []string{"x", "x", "x", "y", "y", "z"} {
		members = append(members, prober.Member{ID: fmt.Sprint("vm-", i), DataCentre: dc, Capacity: 20})
	}
	ranked := rankMembers(members)
	is.Equal(len(ranked), 6)
	is.True(ranked[0].DataCentre != ranked[1].DataCentre && ranked[1].DataCentre != ranked[2].DataCentre)
	members[1].Capacity, members[2].Capacity, members[4].Capacity = 200, 200, 200
	ranked = rankMembers(members)
	is.Equal(ranked[0].Capacity+ranked[1].Capacity, uint64(400)) // the fastest links, in two data centres
	is.True(ranked[0].DataCentre != ranked[1].DataCentre)
	members[4].State = prober.Dead
	members[1].Draining = true
	for _, m := range rankMembers(members) {
		is.True(m.ID != "vm-4" && m.ID != "vm-1")
	}
}
