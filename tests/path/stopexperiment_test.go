package path

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

var (
	stopSeeds = flag.Int("stop-seeds", 0, "number of seeds for TestStopExperiment; 0 skips it")
	stopSeed  = flag.Uint64("stop-seed", 1, "first seed of TestStopExperiment")
	stopMode  = flag.String("stop-mode", "mixed", "replicas of TestStopExperiment: mixed, slow or lost")
	stopVMs   = flag.Int("stop-vms", 3, "number of VMs of TestStopExperiment")
)

// experimentKinds holds the replicas of the services for each mode.
var experimentKinds = map[string]map[string][]replicaKind{
	"mixed": {
		"booking": {{factor: 1}, {factor: 1}, {factor: 2}, {factor: 5}, {factor: 8}, {silent: true}, {factor: 1, hung: true}},
		"lot":     {{factor: 1}, {factor: 2}, {factor: 2.5}, {factor: 4}, {factor: 6}, {factor: 8}, {silent: true}, {factor: 1, hung: true}},
	},
	"slow": {
		"booking": {{factor: 5}, {factor: 6}, {factor: 8}},
		"lot":     {{factor: 5}, {factor: 6}, {factor: 8}},
	},
	"lost": {
		"booking": {{factor: 1}, {factor: 2}, {factor: 1, lost: true}, {factor: 2, lost: true}},
		"lot":     {{factor: 1}, {factor: 2}, {factor: 1, lost: true}, {factor: 2, lost: true}},
	},
}

// TestStopExperiment stops VMs one after the other, overlapping, while callers use their connections in every
// way the protocol allows, and tabulates the requests that got no whole answer.
func TestStopExperiment(t *testing.T) {
	if *stopSeeds == 0 {
		t.Skip("an experiment; -stop-seeds starts it")
	}
	for i := range *stopSeeds {
		t.Run(fmt.Sprintf("seed_%d", *stopSeed+uint64(i)), func(t *testing.T) {
			e := &stopExperiment{rng: rand.New(rand.NewPCG(*stopSeed+uint64(i), 1))}
			e.run(t)
		})
	}
}

// stopExperiment is one seed of the experiment.
type stopExperiment struct {
	*stopFleet
	rngMu sync.Mutex
	rng   *rand.Rand
	wg    sync.WaitGroup
	// stops holds when each VM that is stopped gets SIGTERM.
	stops map[*stopVM]time.Time
}

func (e *stopExperiment) newRNG() *rand.Rand {
	e.rngMu.Lock()
	defer e.rngMu.Unlock()
	return rand.New(rand.NewPCG(e.rng.Uint64(), 2))
}

func (e *stopExperiment) run(t *testing.T) {
	e.stopFleet = startStopFleet(t, *stopVMs, experimentKinds[*stopMode])
	base := time.Now().Add(3 * time.Second)
	e.stops = make(map[*stopVM]time.Time)
	end := base
	for i, vm := range e.vms[:len(e.vms)-1] {
		end = base.Add(time.Duration(i) * 2 * time.Second)
		e.stops[vm] = end
	}
	for vm, at := range e.stops {
		e.wg.Go(func() {
			time.Sleep(time.Until(at))
			e.stop(vm)
		})
		e.startCallers(vm, at)
	}
	for i := range 4 {
		e.wg.Go(func() {
			e.busy(e.newRNG(), e.vms[len(e.vms)-1], fmt.Sprintf("busy elsewhere %d", i)[:14], end.Add(4*time.Second))
		})
	}
	for range 30 { // hangs, reloads and configurations beside the stops
		time.Sleep(400 * time.Millisecond)
		if time.Now().After(end.Add(5 * time.Second)) {
			break
		}
		r := e.newRNG()
		e.mu.Lock()
		if r.IntN(6) == 0 {
			e.hungUntil = time.Now().Add(time.Duration(r.IntN(3000)) * time.Millisecond)
		}
		e.mu.Unlock()
		if r.IntN(3) == 0 {
			e.writeConfig()
		}
		_ = e.vms[r.IntN(len(e.vms))].Signal(syscall.SIGHUP)
	}
	e.wg.Wait()
	e.report(t)
}

// startCallers starts callers of all classes on a VM that gets SIGTERM at at.
func (e *stopExperiment) startCallers(vm *stopVM, at time.Time) {
	for range 8 {
		e.wg.Go(func() { e.busy(e.newRNG(), vm, "busy", at.Add(stopGrace)) })
	}
	for range 40 {
		e.one(vm, at, "idle", stopGrace, func(c *stopCaller, r *rand.Rand) {
			route, work, size := randomRequest(r)
			q := c.newRequest("idle", route)
			c.send(q.text(work, size), q)
			c.read(q)
		})
	}
	for range 8 {
		e.one(vm, at, "pipelined", 5*time.Second, func(c *stopCaller, r *rand.Rand) {
			var qs []*stopRequest
			text := ""
			for range 2 {
				route, work, size := randomRequest(r)
				q := c.newRequest("pipelined", route)
				text += q.text(work, size)
				qs = append(qs, q)
			}
			c.send(text, qs...)
			if !c.read(qs[0]) { // the second one crossed the close
				qs[1].ended, qs[1].end = time.Now(), "closed"
				return
			}
			c.read(qs[1])
		})
		e.one(vm, at, "read ahead", 5*time.Second, func(c *stopCaller, r *rand.Rand) {
			route, work, size := randomRequest(r)
			q := c.newRequest("read ahead", route)
			c.send(q.text(work, size), q)
			go func() {
				for range 20 {
					time.Sleep(20 * time.Millisecond)
					if _, err := c.conn.Write([]byte("\r\n")); err != nil {
						return
					}
				}
			}()
			c.read(q)
		})
		e.one(vm, at, "half-closed", 5*time.Second, func(c *stopCaller, r *rand.Rand) {
			route, work, size := randomRequest(r)
			q := c.newRequest("half-closed", route)
			c.send(q.text(work, size), q)
			_ = c.conn.CloseWrite()
			c.read(q)
		})
		e.one(vm, at, "slow 18 KB", 4*time.Second, func(c *stopCaller, _ *rand.Rand) {
			q := c.newRequest("slow 18 KB", "big")
			c.conn.pause = 100 * time.Millisecond
			c.send(q.text(100*time.Millisecond, 18<<10), q)
			c.read(q)
		})
		e.one(vm, at, "slow 400 KB", 4*time.Second, func(c *stopCaller, _ *rand.Rand) {
			q := c.newRequest("slow 400 KB", "big")
			c.conn.pause = 10 * time.Millisecond
			c.send(q.text(100*time.Millisecond, 400<<10), q)
			c.read(q)
		})
		e.one(vm, at, "slow 4 MB", 4*time.Second, func(c *stopCaller, _ *rand.Rand) {
			q := c.newRequest("slow 4 MB", "big")
			c.conn.pause = time.Millisecond
			c.send(q.text(100*time.Millisecond, 4<<20), q)
			c.read(q)
		})
	}
}

// one starts a caller that uses a connection before the stop, and once more within the given time after it.
func (e *stopExperiment) one(vm *stopVM, at time.Time, class string, within time.Duration, use func(c *stopCaller, r *rand.Rand)) {
	e.wg.Go(func() {
		r := e.newRNG()
		time.Sleep(time.Until(at.Add(-time.Duration(500+r.IntN(2000)) * time.Millisecond)))
		rcvbuf := 0
		if strings.HasPrefix(class, "slow") {
			rcvbuf = 4 << 10
		}
		c, err := e.dial(vm, rcvbuf)
		if err != nil {
			return
		}
		defer func() { _ = c.conn.Close() }()
		q := c.newRequest("before", "booking")
		c.send(q.text(time.Millisecond, 100), q)
		if !c.read(q) {
			return
		}
		time.Sleep(time.Until(at.Add(time.Duration(r.Float64() * float64(within)))))
		use(c, r)
	})
}

// busy sends one request after the other until end, on new connections while the balancer opens them.
func (e *stopExperiment) busy(r *rand.Rand, vm *stopVM, class string, end time.Time) {
	for time.Now().Before(end) && vm.since(time.Now()) < balancerDelay {
		c, err := e.dial(vm, 0)
		if err != nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		for open := true; open && time.Now().Before(end); {
			route, work, size := randomRequest(r)
			q := c.newRequest(class, route)
			c.send(q.text(work, size), q)
			open = c.read(q)
			time.Sleep(time.Duration(r.ExpFloat64() * float64(60*time.Millisecond)))
		}
		_ = c.conn.Close()
	}
}

// report logs each violation, and a table of all requests sent around the stops by class.
func (e *stopExperiment) report(t *testing.T) {
	time.Sleep(200 * time.Millisecond)
	type row struct{ n, whole, refused, crossed, held, late, cut, excused, false503 int }
	rows := make(map[string]*row)
	for _, q := range e.reqs {
		r := rows[q.class]
		if r == nil {
			r = &row{}
			rows[q.class] = r
		}
		r.n++
		switch v := e.violation(q); {
		case v == "no whole answer" && e.excused(q):
			r.excused++
			t.Log("EXCUSED " + e.describe(q))
		case v == "no whole answer":
			r.cut++
			t.Log("CUT " + e.describe(q))
		case v != "":
			r.false503++
			t.Log("FALSE 503 " + e.describe(q))
		case q.end != "" && len(e.runs[q.id]) > 0:
			r.late++
			t.Log("LATE " + e.describe(q))
		case q.end != "" && q.ended.Sub(q.sent) > lossSlack:
			r.held++
			t.Log("HELD " + e.describe(q))
		case q.end != "":
			r.crossed++
		case q.status == 503:
			r.refused++
		default:
			r.whole++
		}
	}
	var names []string
	for n := range rows {
		names = append(names, n)
	}
	slices.Sort(names)
	for _, n := range names {
		t.Logf("TABLE %-14s %+v", n, *rows[n])
	}
}
