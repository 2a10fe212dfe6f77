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

// TestCrashingRequest sends a search, and then a request, that crashes the backend server that
// runs it, twice through every VM. The VMs together must stop sending each after at most two
// crashes.
func TestCrashingRequest(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, 7)
	for range 2 {
		for _, vm := range f.VMs {
			_, _, err := f.CallVM(vm, "/v1/search/stand-search", map[string]any{"query": map[string]any{"crash": true}, "deadline-ms": 2000})
			is.NoErr(err)
		}
	}
	t.Logf("searches caused %d crashes", countCrashes(t, f))
	is.True(countCrashes(t, f) <= 2)
	before := countCrashes(t, f)
	for range 2 {
		for _, vm := range f.VMs {
			_, _, err := submit(f, vm, issueTicket(t, f, vm), map[string]any{"crash": true})
			is.NoErr(err)
		}
	}
	t.Logf("requests caused %d crashes", countCrashes(t, f)-before)
	is.True(countCrashes(t, f)-before <= 2)
	status, a := search(t, f, f.VMs[0], "stand-search")
	is.Equal(status, http.StatusOK)
	is.True(a.Complete) // other searches are still served in full
}

func countCrashes(t *testing.T, f *fleet.Fleet) int {
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

func issueTicket(t *testing.T, f *fleet.Fleet, vm *fleet.VM) string {
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

// faultRun injects a seeded sequence of faults while callers send searches and requests.
type faultRun struct {
	t   *testing.T
	f   *fleet.Fleet
	rnd *rand.Rand
	// stopped tells the callers to stop.
	stopped atomic.Bool

	mu sync.Mutex
	// outcomes holds the outcomes of all sends of each request, by the request's key.
	outcomes map[string][]string
	answers  int
	complete int
	// reasons counts the partitions not covered, by reason.
	reasons  map[string]int
	failures []string
}

func (c *faultRun) addFailure(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failures = append(c.failures, fmt.Sprintf(format, args...))
}

// runSearches sends searches through random VMs and checks the consistency of each answer.
func (c *faultRun) runSearches(seed uint64) {
	rnd := rand.New(rand.NewPCG(seed, 3))
	for n := 0; !c.stopped.Load(); n++ {
		vm := c.f.VMs[rnd.IntN(len(c.f.VMs))]
		body := map[string]any{"query": map[string]any{"n": n % 50, "seed": seed}, "deadline-ms": 400}
		status, raw, err := c.f.CallVM(vm, "/v1/search/stand-search", body)
		if err != nil || status != http.StatusOK {
			time.Sleep(5 * time.Millisecond)
			continue
		}
		var a answer
		if err := json.Unmarshal(raw, &a); err != nil {
			c.addFailure("decode search answer: %v", err)
			continue
		}
		if len(a.Covered) == 0 {
			c.t.Logf("search at %s covered no partition: %v", vm.ID, a.Uncovered[0])
		}
		c.checkAnswer(a)
	}
}

// checkAnswer checks that the covered partitions of an answer are distinct, that each has exactly
// one result, and that all results are of the answer's generation. A partition listed both as
// covered and as not covered is found only if it has no result, since covered partitions with a
// result have been removed from the map by then.
func (c *faultRun) checkAnswer(a answer) {
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
			c.addFailure("partition %s covered twice", name)
		}
		covered[name] = true
	}
	for _, r := range a.Results {
		name := r.Service + "/" + r.Partition
		if r.Generation != a.Generation {
			c.addFailure("result of generation %d in an answer of generation %d", r.Generation, a.Generation)
		}
		if !covered[name] {
			c.addFailure("result of %s is a duplicate, or its partition is not listed as covered", name)
		}
		delete(covered, name)
	}
	for name := range covered {
		c.addFailure("partition %s is listed as covered but has no result", name)
	}
	for _, p := range a.Uncovered {
		if covered[p.Service+"/"+p.Partition] {
			c.addFailure("partition %s/%s is listed both as covered and as not covered", p.Service, p.Partition)
		}
	}
}

// runSubmits sends each request three times with the same ticket, through random VMs.
func (c *faultRun) runSubmits(seed uint64) {
	rnd := rand.New(rand.NewPCG(seed, 4))
	for n := 0; !c.stopped.Load(); n++ {
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

// injectFault injects one random fault, ends it, and then moves the servers to the given
// generation. Servers that crash come back later by themselves.
func (c *faultRun) injectFault(generation uint64) {
	centres := c.f.Control
	vm := c.f.VMs[c.rnd.IntN(len(c.f.VMs))]
	kind := c.rnd.IntN(5)
	c.t.Logf("fault %d at %s", kind, vm.ID)
	switch kind {
	case 0: // kill the VM's process and start a new one
		_ = vm.Signal(syscall.SIGKILL)
		_ = vm.Wait(5 * time.Second)
		time.Sleep(500 * time.Millisecond)
		if err := c.f.StartVM(vm); err != nil {
			c.addFailure("restart VM: %v", err)
		}
	case 1: // suspend the VM's process for 2 s
		_ = vm.Signal(syscall.SIGSTOP)
		time.Sleep(2 * time.Second)
		_ = vm.Signal(syscall.SIGCONT)
	case 2: // crash servers, which come back cold
		for dc := range centres {
			_, _ = c.f.ControlBackend(dc, standin.Command{Servers: c.randomServers(), Crash: 400 * time.Millisecond})
		}
	case 3: // drain servers for 500 ms
		ids, on, off := c.randomServers(), true, false
		for dc := range centres {
			_, _ = c.f.ControlBackend(dc, standin.Command{Servers: ids, Drain: &on})
		}
		time.Sleep(500 * time.Millisecond)
		for dc := range centres {
			_, _ = c.f.ControlBackend(dc, standin.Command{Servers: ids, Drain: &off})
		}
	case 4: // take the store down for 500 ms
		_ = c.f.SetStoreFaults(standin.StoreFaults{Down: true})
		time.Sleep(500 * time.Millisecond)
		_ = c.f.SetStoreFaults(standin.StoreFaults{})
	}
	c.advanceGeneration(generation)
}

func (c *faultRun) randomServers() []string {
	var out []string
	for range 5 {
		out = append(out, fmt.Sprintf("stand-search-%02d-r%d", 1+c.rnd.IntN(10), 1+c.rnd.IntN(3)))
	}
	return append(out, fmt.Sprintf("reservations-r%d", 1+c.rnd.IntN(7)))
}

// advanceGeneration makes all servers hold generations n-1 and n, one data centre after the
// other. Each generation has a partition table of its own.
func (c *faultRun) advanceGeneration(n uint64) {
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

func (c *faultRun) run(d time.Duration) {
	var wg sync.WaitGroup
	for i := range 16 {
		wg.Go(func() { c.runSearches(uint64(i)) })
	}
	for i := range 3 {
		wg.Go(func() { c.runSubmits(uint64(i)) })
	}
	end := time.Now().Add(d)
	for generation := uint64(2); time.Now().Before(end); generation++ {
		c.injectFault(generation)
		time.Sleep(200 * time.Millisecond)
	}
	time.Sleep(2 * time.Second)
	c.stopped.Store(true)
	wg.Wait()
}

// checkRecords checks the records of the backend servers: no server was sent more runs than its
// current capacity or more connections than its limit, and no request ran twice. A
// request whose outcome was "done" must have run once, one with "not-run" never.
func (c *faultRun) checkRecords() {
	records, err := c.f.Records()
	if err != nil {
		c.t.Fatal(err)
	}
	runs := make(map[string]int)
	for id, r := range records {
		if r.Overruns > 0 {
			c.addFailure("%s: %d runs started or shed above its capacity, at most %d runs at once", id, r.Overruns, r.MostRunning)
		}
		if r.RefusedConns > 0 {
			c.addFailure("%s: %d connections above its limit", id, r.RefusedConns)
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
				c.addFailure("%s: outcome %q, but ran %d times", key, o, runs[key])
			}
		}
		if runs[key] > 1 {
			c.addFailure("%s ran %d times", key, runs[key])
		}
	}
	c.t.Logf("%d answers, %d complete; not covered: %v; outcomes of requests: %v", c.answers, c.complete, c.reasons, counts)
	if c.answers == 0 || counts["done"] == 0 {
		c.addFailure("no search was answered, or no request was done")
	}
}

// TestFaults injects seeded sequences of VM kills and suspensions, server crashes, drains and
// store outages while the index generation advances. It checks each search answer, and at the
// end the records of the backend servers.
func TestFaults(t *testing.T) {
	for _, tc := range []struct {
		seed uint64
		// work is the mean time of a run; 0 is the deployment's. One case has long runs, so that
		// runs of a former owner are still going on when the server has a new owner.
		work time.Duration
	}{{1, 0}, {2, 60 * time.Millisecond}} {
		t.Run(fmt.Sprint("seed ", tc.seed), func(t *testing.T) {
			c := &faultRun{
				t:        t,
				f:        startFleetWith(t, fleet.Config{VMs: 7, Work: tc.work}),
				rnd:      rand.New(rand.NewPCG(tc.seed, 5)),
				reasons:  make(map[string]int),
				outcomes: make(map[string][]string),
			}
			c.run(15 * time.Second)
			c.checkRecords()
			for i, f := range c.failures {
				if i < 20 {
					t.Error(f)
				}
			}
			if n := len(c.failures); n > 20 {
				t.Errorf("%d more failures not shown", n-20)
			}
		})
	}
}
