// Package soak runs the programs as separate processes on stand-ins of the users' platform,
// harms them from outside after a seeded plan, and checks what callers and backend servers see.
package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/ebonylock/ebonylock/tests/fleet"
	"github.com/ebonylock/ebonylock/tests/site"
)

const (
	maxAttempts = 2
	topRecords  = 5
	leastParts  = 3
	retryRatio  = 0.2
	retrySlack  = 54
	retryWindow = 10 * time.Second
	// storePage is the most items in a page of the store.
	storePage = 20
	// patience limits the wait for what has to happen, where its time is not checked.
	patience = time.Minute
	// logTime is the time in which a line is out after its request has ended.
	logTime = 2 * time.Second
	// balancerPeriod is the time between two looks of the balancer.
	balancerPeriod = 250 * time.Millisecond
)

// services are those that each kind of request may run at.
var services = [...][]string{
	search: {"s-1", "s-2", "s-3", "s-4"},
	read:   {"single"},
	write:  {"single"},
}

var dataCentres = []string{"dc-1", "dc-2", "dc-3"}

// Config sets up a soak.
type Config struct {
	// Bin is the directory of the binaries.
	Bin  string
	Seed uint64
	// For is how long faults are made; the fleet then has some seconds to recover.
	For     time.Duration
	VMs     int
	Callers int
	// Strict checks the times that are promised as well. Without it a busy machine changes nothing.
	Strict bool
	// Log gets what the VMs print and the faults, in order.
	Log io.Writer
}

// Report is what a soak has seen.
type Report struct {
	Served, Refused, Failed, Cut int
	// Broken are the promises that were broken.
	Broken []string
	// Faults are those that were made, in order.
	Faults []string
}

// vm is a VM with the proxy through which it reaches the store.
type vm struct {
	*fleet.SiteVM
	id    string
	store *proxy

	mu sync.Mutex
	// ready is what the balancer believes.
	ready bool
	// busy is true while a fault has the VM's process.
	busy bool
}

func (v *vm) callers() string { return v.Callers() }

// world is a running soak.
type world struct {
	cfg   Config
	book  *book
	logs  *logs
	store *site.Store
	vms   []*vm
	dir   string
	begin time.Time

	mu      sync.Mutex
	servers []*server
	// starts numbers the starts of servers.
	starts  int
	version int
	draw    *rand.Rand
	made    []string
}

// Run plays a soak.
func Run(cfg Config) (Report, error) {
	w := &world{cfg: cfg, book: newBook(), logs: &logs{out: cfg.Log, outcomes: make(map[string]outcome)}, begin: time.Now(), draw: rand.New(rand.NewPCG(cfg.Seed, 1))}
	defer w.end()
	if err := w.start(); err != nil {
		return Report{}, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { w.balance(ctx) })
	for i := range cfg.Callers {
		c := &caller{n: i, w: w, draw: rand.New(rand.NewPCG(cfg.Seed, uint64(i)+2))}
		wg.Go(func() { c.run(ctx) })
	}
	w.harm()
	recovered := w.recovered()
	cancel()
	wg.Wait()
	w.book.checkBudget()
	w.checkLogs()
	if !recovered {
		w.book.fault("not recovered: a VM does not serve whole answers %v after the last fault", w.limit(recoveryTime))
	}
	r := Report{Broken: w.book.faults(), Faults: w.made}
	r.Served, r.Refused, r.Failed, r.Cut = w.book.counts()
	return r, nil
}

// checkLogs waits until the logs explain each request that was refused or failed.
func (w *world) checkLogs() {
	end := time.Now().Add(w.limit(logTime))
	for {
		list := w.book.unexplained(w.logs)
		if len(list) == 0 {
			return
		}
		if time.Now().After(end) {
			for _, text := range list {
				w.book.fault("%s", text)
			}
			return
		}
		time.Sleep(recoveryPoll)
	}
}

// limit is the time for what is promised within a given one.
func (w *world) limit(promised time.Duration) time.Duration {
	if w.cfg.Strict {
		return promised
	}
	return patience
}

// start starts the store, the servers and the VMs, and waits until all VMs are ready.
func (w *world) start() error {
	var err error
	if w.store, err = site.NewStore(storePage); err != nil {
		return err
	}
	if w.dir, err = os.MkdirTemp("", "ebonylock-soak"); err != nil {
		return err
	}
	for _, list := range services[:write] {
		for _, service := range list {
			for _, dc := range dataCentres {
				if err := w.add(service, dc); err != nil {
					return err
				}
			}
		}
	}
	w.configure()
	for i := range w.cfg.VMs {
		p, err := newProxy(w.store.Addr())
		if err != nil {
			return err
		}
		v := &vm{SiteVM: fleet.NewSiteVM(i, dataCentres[i%len(dataCentres)], p.addr()), store: p}
		v.id = v.ID
		w.vms = append(w.vms, v)
		if err := v.Start(w.cfg.Bin, w.dir, w.logs.process()); err != nil {
			return err
		}
	}
	end := time.Now().Add(patience)
	for _, v := range w.vms {
		for !v.Ready(time.Second) {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready in time", v.id)
			}
			time.Sleep(balancerPeriod)
		}
		v.ready = true
	}
	return nil
}

// add starts a server and enters it into the store.
func (w *world) add(service, dataCentre string) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.starts++
	id := fmt.Sprintf("i-%d", w.starts)
	s, err := newServer(id, service, dataCentre, w.book, rand.New(rand.NewPCG(w.cfg.Seed, 1000+uint64(w.starts))))
	if err != nil {
		return err
	}
	if s.proxy, err = newProxy(s.replica.Addr()); err != nil {
		return err
	}
	w.servers = append(w.servers, s)
	w.store.Put("servers/"+id, s.entry("ready"))
	return nil
}

// configure writes the next version of the configuration. Its timeouts change each time.
func (w *world) configure() {
	w.version += 1 + w.draw.IntN(5)
	timeout := 2000 + 100*(w.version%5)
	shards := `"` + strings.Join(services[search], `","`) + `"`
	route := func(name, kind, to string) string {
		return fmt.Sprintf(`{"name":%q,"hostname":"h.example","path_prefix":"/%s/","type":%q,"timeout_ms":%d,"target_latency_ms":100,"max_attempts":%d,%s}`,
			name, name, kind, timeout, maxAttempts, to)
	}
	limits := `{"name":"single","max_connections":30}`
	if w.cfg.Seed%2 == 1 {
		// Fewer than two for each VM: a few VMs gather for all.
		for _, s := range services[search] {
			limits += fmt.Sprintf(`,{"name":%q,"max_connections":%d}`, s, w.cfg.VMs)
		}
	}
	w.store.Put("op/config", fmt.Appendf(nil, `{"version":%d,"routes":[%s,%s,%s],"services":[%s],
		"limits":{"max_header_bytes":4096,"max_body_bytes":4096,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`, w.version,
		route("search", "idempotent", fmt.Sprintf(`"gather":[%s],"top_k":%d,"min_shard_share":0.75`, shards, topRecords)),
		route("read", "idempotent", `"service":"single"`),
		route("write", "non_idempotent", `"service":"single"`), limits))
}

// balance looks which VMs take callers, until ctx ends.
func (w *world) balance(ctx context.Context) {
	for ctx.Err() == nil {
		for _, v := range w.vms {
			ready := v.Ready(balancerPeriod)
			v.mu.Lock()
			v.ready = ready
			v.mu.Unlock()
		}
		time.Sleep(balancerPeriod)
	}
}

// pick returns a VM that is in rotation, or any if there is none.
func (w *world) pick(draw *rand.Rand) *vm {
	var in []*vm
	for _, v := range w.vms {
		v.mu.Lock()
		if v.ready {
			in = append(in, v)
		}
		v.mu.Unlock()
	}
	if len(in) == 0 {
		in = w.vms
	}
	return in[draw.IntN(len(in))]
}

// server returns one of the servers that are up.
func (w *world) server() *server {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.servers[w.draw.IntN(len(w.servers))]
}

// remove takes a server out of those that are up.
func (w *world) remove(s *server) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.servers = slices.DeleteFunc(w.servers, func(o *server) bool { return o == s })
}

// end ends all that was started.
func (w *world) end() {
	for _, v := range w.vms {
		v.Kill()
		v.store.close()
	}
	for _, s := range w.servers {
		s.proxy.close()
		s.replica.Close()
	}
	if w.store != nil {
		w.store.Close()
	}
	_ = os.RemoveAll(w.dir)
}
