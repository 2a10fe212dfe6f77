package launcher

import (
	"bytes"
	"context"
	"encoding/json"
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

// patience limits the wait for something that has to happen.
const patience = 30 * time.Second

type output struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (o *output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buf.Write(p)
}

// line returns the fields of the last line about a request.
func (o *output) line(id string) map[string]any {
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

// world is one VM with the platform's stand-ins around it.
type world struct {
	t        *testing.T
	is       *is.I
	store    *site.Store
	replicas map[string]*site.Replica
	d        *Daemon
	log      output
	ended    chan error
}

const settings = `{
	"vm": {"id": "vm-1", "data-centre": "dc-1"},
	"requests": {"listen": "127.0.0.1:0", "readiness": "127.0.0.1:0", "metrics": "127.0.0.1:0"},
	"peers": {"gossip": "127.0.0.1:0", "link": "127.0.0.1:0", "seeds": [],
		"keys": ["000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f"]},
	"store": %q, "first-start": true,
	"bounds": {"grace": "20s"},
}`

func start(t *testing.T) *world {
	t.Helper()
	return startWith(t, nil)
}

// startWith starts a VM that logs to out, or to the world's own log if out is nil.
func startWith(t *testing.T, out io.Writer) *world {
	t.Helper()
	w := &world{t: t, is: is.New(t), replicas: make(map[string]*site.Replica), ended: make(chan error, 1)}
	var err error
	w.store, err = site.NewStore(100)
	w.is.NoErr(err)
	t.Cleanup(w.store.Close)
	for _, id := range []string{"a-1", "a-2", "b-1", "b-2", "c-1"} {
		w.add(id)
	}
	w.configure(1, `"gather":["a","b"],"top_k":3,"min_shard_share":0.5`)
	s, err := loader.LoadSite("test", fmt.Appendf(nil, settings, w.store.Addr()))
	w.is.NoErr(err)
	if out == nil {
		out = &w.log
	}
	w.d, err = New(s, out)
	w.is.NoErr(err)
	go func() { w.ended <- w.d.Run(context.Background()) }()
	t.Cleanup(func() {
		w.d.Stop()
		<-w.ended
	})
	w.until(func() bool { return w.status("http://"+w.d.balancer.Addr().String()+"/-/readiness") == 200 })
	return w
}

// add starts a replica of the service that its ID begins with, and registers it.
func (w *world) add(id string) {
	r, err := site.NewReplica(func(g site.Request) site.Reply {
		if strings.HasSuffix(g.Target, "slow") {
			return site.Reply{Raw: site.OK(g, "late"), Delay: 300 * time.Millisecond}
		}
		return site.Reply{Raw: site.OK(g, strings.Repeat(id[:1], 16)), Delay: time.Millisecond}
	})
	w.is.NoErr(err)
	w.t.Cleanup(r.Close)
	w.replicas[id] = r
	w.register(id, "ready")
}

func (w *world) register(id, state string) {
	w.store.Put("servers/"+id, fmt.Appendf(nil, `{"service":%q,"address":%q,"zone":"dc-1","version":"v1","slots":2,"state":%q,"warmup_left_ms":0,"sequence":1}`,
		id[:1], w.replicas[id].Addr(), state))
}

func (w *world) configure(version int, search string) {
	w.store.Put("op/config", fmt.Appendf(nil, `{"version":%d,"routes":[
		{"name":"search","hostname":"h.example","path_prefix":"/search/","type":"idempotent","timeout_ms":5000,"target_latency_ms":1000,"priority":1,"max_attempts":2,%s},
		{"name":"write","hostname":"h.example","path_prefix":"/write/","type":"non_idempotent","timeout_ms":5000,"target_latency_ms":1000,"priority":1,"max_attempts":2,"service":"c"}],
		"services":[{"name":"a","max_connections":20},{"name":"b","max_connections":20},{"name":"c","max_connections":20}],
		"limits":{"max_header_bytes":4096,"max_body_bytes":4096,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`, version, search))
}

func (w *world) until(ok func() bool) {
	w.t.Helper()
	for end := time.Now().Add(patience); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			w.t.Fatal("it did not happen")
		}
	}
}

func (w *world) status(url string) int {
	resp, err := http.Get(url)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

func (w *world) ask(id, path string) (*http.Response, string) {
	r, err := http.NewRequest(http.MethodGet, "http://"+w.d.callers.Addr().String()+path, http.NoBody)
	w.is.NoErr(err)
	r.Host = "h.example"
	r.Header.Set("Request-Id", id)
	r.Header.Set("Deadline-Ms", "5000")
	resp, err := http.DefaultClient.Do(r)
	w.is.NoErr(err)
	body, err := io.ReadAll(resp.Body)
	w.is.NoErr(err)
	_ = resp.Body.Close()
	return resp, string(body)
}

func TestWholePath(t *testing.T) {
	w := start(t)
	is := w.is
	w.until(func() bool { resp, _ := w.ask("wait", "/search/x"); return resp.Header.Get("Missing-Parts") == "0" })
	resp, body := w.ask("r-1", "/search/x")
	is.Equal(body, strings.Repeat("b", 16)+strings.Repeat("a", 16))
	is.Equal(len(strings.Split(resp.Header.Get("Part-Stamps"), ",")), 2)
	resp, _ = w.ask("r-2", "/write/x")
	is.Equal(resp.StatusCode, 200)
	resp, _ = w.ask("r-3", "/none/x")
	is.Equal(resp.StatusCode, 404)

	// A new version is in force, and an older one never again.
	w.configure(3, `"service":"c"`)
	w.until(func() bool { resp, _ := w.ask("wait", "/search/x"); return resp.Header.Get("Part-Stamps") == "" })
	w.configure(2, `"gather":["a"],"top_k":3,"min_shard_share":0.5`)
	w.store.Put("servers/nonsense", []byte("\x00"))
	time.Sleep(300 * time.Millisecond) // two reads of the store
	resp, _ = w.ask("r-4", "/search/x")
	is.Equal(resp.Header.Get("Part-Stamps"), "")

	// Replicas that leave get nothing more; with none left the refusal is true and at once.
	w.register("c-1", "draining")
	w.until(func() bool { resp, _ := w.ask("wait", "/search/x"); return resp.StatusCode == 503 })
	before := len(w.replicas["c-1"].Requests())
	resp, _ = w.ask("r-5", "/write/x")
	is.Equal(resp.StatusCode, 503)
	is.True(resp.Header.Get("Retry-After") != "")
	is.Equal(len(w.replicas["c-1"].Requests()), before)

	// Each failed request is explained by its line.
	w.until(func() bool { return w.log.line("r-5") != nil })
	is.Equal(fmt.Sprint(w.log.line("r-5")["missing"]), "[c no-replica]")
	is.Equal(w.log.line("r-5")["outcome"], "refused")
	is.Equal(w.log.line("r-3")["outcome"], "no-route")
	resp, err := http.Get("http://" + w.d.metrics.Addr().String() + "/metrics")
	is.NoErr(err)
	text, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	for _, name := range []string{"ebonylock_forward_requests_total", "ebonylock_beliefs_config_version 3", "ebonylock_beliefs_reads_total"} {
		is.True(strings.Contains(string(text), name))
	}
}

// TestEvacuationAndOutage takes the data centre out while the store goes away and comes back.
func TestEvacuationAndOutage(t *testing.T) {
	w := start(t)
	is := w.is
	w.until(func() bool { resp, _ := w.ask("wait", "/write/x"); return resp.StatusCode == 200 })
	w.store.SetFaults(site.Faults{Status: 503})
	w.until(func() bool { return time.Since(w.d.follow.SyncedAt()) > 2*time.Second })
	resp, _ := w.ask("r-1", "/write/x")
	is.Equal(resp.StatusCode, 200) // beliefs outlive the store
	is.True(w.d.Ready())
	w.store.Put("op/evacuate/dc-1", []byte("{}"))
	w.store.Compact()
	w.store.SetFaults(site.Faults{})
	w.until(func() bool { resp, _ := w.ask("wait", "/write/x"); return resp.StatusCode == 503 })
	w.store.Remove("op/evacuate/dc-1")
	w.until(func() bool { resp, _ := w.ask("wait", "/write/x"); return resp.StatusCode == 200 })
}

// TestStop checks that a request under way is finished, that the balancer is told at once, and
// that answers end their connections.
func TestStop(t *testing.T) {
	w := start(t)
	is := w.is
	w.until(func() bool { resp, _ := w.ask("wait", "/write/x"); return resp.StatusCode == 200 })
	done := make(chan int, 1)
	before := len(w.replicas["c-1"].Requests())
	go func() {
		resp, _ := w.ask("r-1", "/write/slow")
		done <- resp.StatusCode
	}()
	w.until(func() bool { return len(w.replicas["c-1"].Requests()) > before })
	w.d.Stop()
	w.until(func() bool { return w.status("http://"+w.d.balancer.Addr().String()+"/-/readiness") == 503 })
	is.Equal(<-done, 200)
	resp, _ := w.ask("r-2", "/write/x")
	is.Equal(resp.StatusCode, 200) // what the balancer still sends is served
	is.True(resp.Close)
	is.NoErr(<-w.ended)
	w.ended <- nil
}

// TestRefusalAsTheVMLeaves: what is refused in a stopping VM's last second has its line as well.
func TestRefusalAsTheVMLeaves(t *testing.T) {
	w := start(t)
	w.d.closing.Store(true)
	resp, _ := w.ask("r-1", "/write/x")
	w.is.Equal(resp.StatusCode, 503)
	w.until(func() bool { return w.log.line("r-1") != nil })
	w.is.Equal(w.log.line("r-1")["outcome"], "stopping")
}

// stuck is an output that takes nothing until it is freed.
type stuck chan struct{}

func (s stuck) Write(p []byte) (int, error) {
	<-s
	return len(p), nil
}

// TestStuckOutput: a reader of standard output that has stalled delays no request, and the lines that
// find no room are counted.
func TestStuckOutput(t *testing.T) {
	out := make(stuck)
	w := startWith(t, out)
	t.Cleanup(func() { close(out) })
	is := w.is
	w.until(func() bool { resp, _ := w.ask("wait", "/write/x"); return resp.StatusCode == 200 })
	for i := 0; w.d.spool.Dropped() == 0; i++ {
		is.True(i < 20_000) // a queue of 512 KiB holds far fewer lines
		resp, _ := w.ask(fmt.Sprint("r-", i), "/none/x")
		is.Equal(resp.StatusCode, 404)
	}
	resp, _ := w.ask("last", "/write/x")
	is.Equal(resp.StatusCode, 200)
}

func TestRank(t *testing.T) {
	is := is.New(t)
	var members []prober.Member
	for i, dc := range []string{"x", "x", "x", "y", "y", "z"} {
		members = append(members, prober.Member{ID: fmt.Sprint("vm-", i), DataCentre: dc, Capacity: 20})
	}
	ranked := rank(members)
	is.Equal(len(ranked), 6)
	is.True(ranked[0].DataCentre != ranked[1].DataCentre && ranked[1].DataCentre != ranked[2].DataCentre)
	members[1].Capacity, members[2].Capacity, members[4].Capacity = 200, 200, 200
	ranked = rank(members)
	is.Equal(ranked[0].Capacity+ranked[1].Capacity, uint64(400)) // the fastest links, of two data centres
	is.True(ranked[0].DataCentre != ranked[1].DataCentre)
	members[4].State = prober.Dead
	members[1].Draining = true
	for _, m := range rank(members) {
		is.True(m.ID != "vm-4" && m.ID != "vm-1")
	}
}
