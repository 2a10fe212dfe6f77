package path

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/ebonylock/ebonylock/tests/fleet"
	"github.com/ebonylock/ebonylock/tests/standin"
)

// TestCrashingRequest sends a request that crashes servers through every VM, again and again.
func TestCrashingRequest(t *testing.T) {
	is := is.New(t)
	f := start(t, 7)
	for range 2 {
		for _, vm := range f.VMs {
			_, _, err := f.CallVM(vm, "/v1/search/stand-search", map[string]any{"query": map[string]any{"crash": true}, "deadline-ms": 2000})
			is.NoErr(err)
		}
	}
	t.Logf("searches crashed %d servers", crashes(t, f))
	is.True(crashes(t, f) <= 2)
	before := crashes(t, f)
	for range 2 {
		for _, vm := range f.VMs {
			_, _, err := submit(f, vm, ticket(t, f, vm), map[string]any{"crash": true})
			is.NoErr(err)
		}
	}
	t.Logf("requests crashed %d servers", crashes(t, f)-before)
	is.True(crashes(t, f)-before <= 2)
	status, a := search(t, f, f.VMs[0], "stand-search")
	is.Equal(status, http.StatusOK)
	is.True(a.Complete) // others keep their service
}

func crashes(t *testing.T, f *fleet.Fleet) int {
	t.Helper()
	records, err := f.Records()
	if err != nil {
		t.Fatal(err)
	}
	n := 0
	for _, r := range records {
		n += r.Crashes
	}
	return n
}

func ticket(t *testing.T, f *fleet.Fleet, vm *fleet.VM) string {
	t.Helper()
	_, raw, err := f.CallVM(vm, "/v1/ticket", nil)
	if err != nil {
		t.Fatal(err)
	}
	var a struct {
		Ticket string `json:"ticket"`
	}
	if err := json.Unmarshal(raw, &a); err != nil {
		t.Fatal(err)
	}
	return a.Ticket
}

func submit(f *fleet.Fleet, vm *fleet.VM, ticket string, request any) (string, int, error) {
	status, raw, err := f.CallVM(vm, "/v1/request/reservations", map[string]any{"request": request, "ticket": ticket, "deadline-ms": 1000})
	if err != nil {
		return "", 0, err
	}
	var a struct {
		Outcome string `json:"outcome"`
	}
	err = json.Unmarshal(raw, &a)
	return a.Outcome, status, err
}

// chaos is a seeded schedule of faults with callers beside it.
type chaos struct {
	t   *testing.T
	f   *fleet.Fleet
	rnd *rand.Rand
	// over is true once callers should stop.
	over atomic.Bool

	mu sync.Mutex
	// outcomes holds all outcomes of each request's key.
	outcomes map[string][]string
	answers  int
	complete int
	// reasons counts the parts not covered.
	reasons  map[string]int
	failures []string
}

func (c *chaos) fail(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failures = append(c.failures, fmt.Sprintf(format, args...))
}

// searcher sends searches through random VMs and checks each answer by itself.
func (c *chaos) searcher(seed uint64) {
	rnd := rand.New(rand.NewPCG(seed, 3))
	for n := 0; !c.over.Load(); n++ {
		vm := c.f.VMs[rnd.IntN(len(c.f.VMs))]
		body := map[string]any{"query": map[string]any{"n": n % 50, "seed": seed}, "deadline-ms": 400}
		status, raw, err := c.f.CallVM(vm, "/v1/search/stand-search", body)
		if err != nil || status != http.StatusOK {
			time.Sleep(5 * time.Millisecond)
			continue
		}
		var a answer
		if err := json.Unmarshal(raw, &a); err != nil {
			c.fail("answer is not JSON: %v", err)
			continue
		}
		if len(a.Covered) == 0 {
			c.t.Logf("nothing covered at %s: %v", vm.ID, a.Uncovered[0])
		}
		c.check(a)
	}
}

func (c *chaos) check(a answer) {
	c.mu.Lock()
	c.answers++
	if a.Complete {
		c.complete++
	}
	for _, p := range a.Uncovered {
		c.reasons[p.Reason]++
	}
	c.mu.Unlock()
	covered := make(map[string]bool)
	for _, p := range a.Covered {
		name := p.Service + "/" + p.Partition
		if covered[name] {
			c.fail("partition %s covered twice", name)
		}
		covered[name] = true
	}
	for _, r := range a.Results {
		name := r.Service + "/" + r.Partition
		if r.Generation != a.Generation {
			c.fail("result of generation %d in an answer of %d", r.Generation, a.Generation)
		}
		if !covered[name] {
			c.fail("result of %s, which is not covered, or twice", name)
		}
		delete(covered, name)
	}
	for name := range covered {
		c.fail("%s is covered without a result", name)
	}
	for _, p := range a.Uncovered {
		if covered[p.Service+"/"+p.Partition] {
			c.fail("%s/%s both covered and not", p.Service, p.Partition)
		}
	}
}

// submitter sends requests, and each again through other VMs.
func (c *chaos) submitter(seed uint64) {
	rnd := rand.New(rand.NewPCG(seed, 4))
	for n := 0; !c.over.Load(); n++ {
		key := fmt.Sprintf("request-%d-%d", seed, n)
		_, raw, err := c.f.CallVM(c.f.VMs[rnd.IntN(len(c.f.VMs))], "/v1/ticket", nil)
		var a struct {
			Ticket string `json:"ticket"`
		}
		if err != nil || json.Unmarshal(raw, &a) != nil {
			time.Sleep(5 * time.Millisecond)
			continue
		}
		for range 3 {
			vm := c.f.VMs[rnd.IntN(len(c.f.VMs))]
			outcome, _, err := submit(c.f, vm, a.Ticket, map[string]any{"key": key})
			if err != nil {
				outcome = "no-answer"
			}
			c.mu.Lock()
			c.outcomes[key] = append(c.outcomes[key], outcome)
			c.mu.Unlock()
		}
	}
}

// fault makes one fault happen and ends it.
func (c *chaos) fault(generation uint64) {
	centres := c.f.Control
	vm := c.f.VMs[c.rnd.IntN(len(c.f.VMs))]
	kind := c.rnd.IntN(5)
	c.t.Logf("fault %d at %s", kind, vm.ID)
	switch kind {
	case 0: // kill -9 and a new process
		_ = vm.Signal(syscall.SIGKILL)
		_ = vm.Wait(5 * time.Second)
		time.Sleep(500 * time.Millisecond)
		if err := c.f.StartVM(vm); err != nil {
			c.fail("restart: %v", err)
		}
	case 1: // freeze
		_ = vm.Signal(syscall.SIGSTOP)
		time.Sleep(2 * time.Second)
		_ = vm.Signal(syscall.SIGCONT)
	case 2: // servers turn cold
		for dc := range centres {
			_, _ = c.f.ControlBackend(dc, standin.Command{Servers: c.someServers(), Crash: 400 * time.Millisecond})
		}
	case 3: // a server drains for a while
		ids, on, off := c.someServers(), true, false
		for dc := range centres {
			_, _ = c.f.ControlBackend(dc, standin.Command{Servers: ids, Drain: &on})
		}
		time.Sleep(500 * time.Millisecond)
		for dc := range centres {
			_, _ = c.f.ControlBackend(dc, standin.Command{Servers: ids, Drain: &off})
		}
	case 4: // the store is down for a while
		_ = c.f.SetStoreFaults(standin.StoreFaults{Down: true})
		time.Sleep(500 * time.Millisecond)
		_ = c.f.SetStoreFaults(standin.StoreFaults{})
	}
	c.advance(generation)
}

func (c *chaos) someServers() []string {
	var out []string
	for range 5 {
		out = append(out, fmt.Sprintf("stand-search-%02d-r%d", 1+c.rnd.IntN(10), 1+c.rnd.IntN(3)))
	}
	return append(out, fmt.Sprintf("reservations-r%d", 1+c.rnd.IntN(7)))
}

// advance gives all servers a further generation, data centre by data centre, with
// another partition table.
func (c *chaos) advance(n uint64) {
	table := func(n uint64) standin.Generation {
		if n == 1 {
			return standin.FirstGenerations()[0]
		}
		g := standin.Generation{Number: n}
		for i := range 2 + n%3 {
			g.Partitions = append(g.Partitions, fmt.Sprintf("g%d-p%d", n, i))
		}
		return g
	}
	for dc := range c.f.Control {
		_, _ = c.f.ControlBackend(dc, standin.Command{Hold: []standin.Generation{table(n - 1), table(n)}})
		time.Sleep(100 * time.Millisecond)
	}
}

func (c *chaos) run(d time.Duration) {
	var wg sync.WaitGroup
	for i := range 16 {
		wg.Go(func() { c.searcher(uint64(i)) })
	}
	for i := range 3 {
		wg.Go(func() { c.submitter(uint64(i)) })
	}
	end := time.Now().Add(d)
	for generation := uint64(2); time.Now().Before(end); generation++ {
		c.fault(generation)
		time.Sleep(200 * time.Millisecond)
	}
	time.Sleep(2 * time.Second)
	c.over.Store(true)
	wg.Wait()
}

// audit compares the servers' own records with the promises and with what callers were told.
func (c *chaos) audit() {
	records, err := c.f.Records()
	if err != nil {
		c.t.Fatal(err)
	}
	runs := make(map[string]int)
	for id, r := range records {
		if r.Overruns > 0 {
			c.fail("%s: %d runs or tries above what it could bear, most at once %d", id, r.Overruns, r.MostRunning)
		}
		if r.RefusedConns > 0 {
			c.fail("%s: %d connections above the cap", id, r.RefusedConns)
		}
		for key, n := range r.Runs {
			runs[key] += n
		}
	}
	counts := make(map[string]int)
	for key, outcomes := range c.outcomes {
		for _, o := range outcomes {
			counts[o]++
			if o == "done" && runs[key] != 1 || o == "not-run" && runs[key] != 0 {
				c.fail("%s: answered %q, ran %d times", key, o, runs[key])
			}
		}
		if runs[key] > 1 {
			c.fail("%s ran %d times", key, runs[key])
		}
	}
	c.t.Logf("%d answers, %d complete; not covered: %v; outcomes of requests: %v", c.answers, c.complete, c.reasons, counts)
	if c.answers == 0 || counts["done"] == 0 {
		c.fail("nothing was answered")
	}
}

// TestFaults runs seeded schedules of kills, freezes, cold servers, drains and store
// outages, with generations advancing, and checks the promises at the stand-ins.
func TestFaults(t *testing.T) {
	for _, tc := range []struct {
		seed uint64
		// work is long in one run, so that work of a former owner is still running when a
		// server has a new one.
		work time.Duration
	}{{1, 0}, {2, 60 * time.Millisecond}} {
		t.Run(fmt.Sprint("seed ", tc.seed), func(t *testing.T) {
			c := &chaos{
				t:        t,
				f:        startWith(t, fleet.Config{VMs: 7, Work: tc.work}),
				rnd:      rand.New(rand.NewPCG(tc.seed, 5)),
				reasons:  make(map[string]int),
				outcomes: make(map[string][]string),
			}
			c.run(15 * time.Second)
			c.audit()
			for i, f := range c.failures {
				if i < 20 {
					t.Error(f)
				}
			}
			if n := len(c.failures); n > 20 {
				t.Errorf("and %d more", n-20)
			}
		})
	}
}
