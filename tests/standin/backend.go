package standin

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"github.com/ebonylock/ebonylock/modules/executor"
	"github.com/ebonylock/ebonylock/modules/replier"
)

// Generation is an index generation with its partitions.
type Generation struct {
	Number     uint64   `json:"number"`
	Partitions []string `json:"partitions"`
}

// BackendConfig configures a Backend.
type BackendConfig struct {
	ID, Service, DataCentre string
	Slots, MaxConns         int
	// ConnectCost is the time that accepting a connection takes. Connections are accepted one
	// after the other.
	ConnectCost time.Duration
	// Work is the mean time of a run.
	Work time.Duration
	// SlowShare is the share of runs that take SlowFactor times as long.
	SlowShare, SlowFactor float64
	// ColdFactor multiplies the time of a run until the server is warm.
	ColdFactor float64
	// WarmAfter is the number of finished runs after which the capacity of a cold server grows
	// by one slot, from one up to Slots. With 0, the server has all slots from the start.
	WarmAfter int
	// Queue makes the server accept and slow down work above its capacity instead of shedding it.
	Queue bool
	// IgnoreCancel makes the server ignore cancellations, so that cancelled runs go on.
	IgnoreCancel bool
	// Generations are the index generations that the server holds at its start.
	Generations []Generation
	// Seed is the seed of the random run times.
	Seed uint64
}

// Record holds the counters of a Backend. They are kept when the server crashes and reboots.
type Record struct {
	// Runs counts the started runs by the "key" member of the request body, for bodies that have
	// one.
	Runs map[string]int `json:"runs"`
	// Started and Finished count runs, Refused the requests that were refused without a run.
	Started  int `json:"started"`
	Finished int `json:"finished"`
	Refused  int `json:"refused"`
	// MostRunning is the largest number of concurrent runs.
	MostRunning int `json:"most-running"`
	// Overruns counts the runs that were started or shed above the server's capacity at that time.
	Overruns int `json:"overruns"`
	// MostConns is the largest number of concurrent connections.
	MostConns int `json:"most-conns"`
	// RefusedConns counts connections refused because of MaxConns.
	RefusedConns int `json:"refused-conns"`
	// Crashes counts the runs that crashed the server.
	Crashes int `json:"crashes"`
	// Last is the time at which the last run was started.
	Last time.Time `json:"last"`
}

// Backend is a stand-in for a backend server.
type Backend struct {
	cfg BackendConfig
	srv *fasthttp.Server

	mu       sync.Mutex
	ln       *listener
	addr     netip.AddrPort
	rnd      *rand.Rand
	boot     string
	down     bool
	draining bool
	held     []Generation
	running  int
	// served counts the runs finished since the last boot.
	served  int
	cancels map[string]chan struct{}
	record  Record
}

// NewBackend starts a cold server on a free port of the loopback address.
func NewBackend(cfg BackendConfig) (*Backend, error) {
	ln, err := listen(cfg.ConnectCost, cfg.MaxConns)
	if err != nil {
		return nil, err
	}
	b := &Backend{
		cfg:     cfg,
		ln:      ln,
		addr:    netip.MustParseAddrPort(ln.Addr().String()),
		rnd:     rand.New(rand.NewPCG(cfg.Seed, 1)),
		boot:    uuid.NewString(),
		held:    slices.Clone(cfg.Generations),
		cancels: make(map[string]chan struct{}),
		record:  Record{Runs: make(map[string]int)},
	}
	b.srv = &fasthttp.Server{Handler: b.handle, IdleTimeout: time.Minute, MaxRequestBodySize: 4 << 20}
	go func() { _ = b.srv.Serve(ln) }()
	return b, nil
}

// ListEntry returns the server's entry for the platform's list.
func (b *Backend) ListEntry() ListedServer {
	return ListedServer{
		ID:         b.cfg.ID,
		Service:    b.cfg.Service,
		DataCentre: b.cfg.DataCentre,
		Addr:       b.addr.String(),
		Slots:      b.cfg.Slots,
		MaxConns:   b.cfg.MaxConns,
	}
}

// Close closes the listener and all connections.
func (b *Backend) Close() {
	b.mu.Lock()
	ln := b.ln
	b.down = true
	b.mu.Unlock()
	_ = ln.Close()
	ln.closeConns()
}

// Crash closes all connections and drops all runs. The server restarts on the same address, cold
// and with a new boot ID, after d. A server that is already down is left as it is.
func (b *Backend) Crash(d time.Duration) {
	b.mu.Lock()
	if b.down {
		b.mu.Unlock()
		return
	}
	b.down = true
	b.boot = uuid.NewString()
	b.running, b.served = 0, 0
	for id, c := range b.cancels {
		close(c)
		delete(b.cancels, id)
	}
	ln := b.ln
	b.mu.Unlock()
	_ = ln.Close()
	ln.closeConns()
	time.AfterFunc(d, b.reboot)
}

func (b *Backend) reboot() {
	ln, err := listenAt(b.addr, b.cfg.ConnectCost, b.cfg.MaxConns)
	if err != nil {
		return
	}
	b.mu.Lock()
	ln.maxOpen, ln.refused = b.ln.maxOpen, b.ln.refused
	b.ln = ln
	b.down = false
	b.mu.Unlock()
	_ = b.srv.Serve(ln)
}

// Drain sets whether the server refuses new work.
func (b *Backend) Drain(on bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.draining = on
}

// Hold replaces the generations that the server holds.
func (b *Backend) Hold(g []Generation) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.held = slices.Clone(g)
}

// Record returns a copy of the server's counters.
func (b *Backend) Record() Record {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := b.record
	out.Runs = make(map[string]int, len(b.record.Runs))
	for k, n := range b.record.Runs {
		out.Runs[k] = n
	}
	b.ln.mu.Lock()
	defer b.ln.mu.Unlock()
	out.MostConns, out.RefusedConns = b.ln.maxOpen, b.ln.refused
	return out
}

type backendRequest struct {
	ID         string          `json:"request-id"`
	Service    string          `json:"service"`
	Generation uint64          `json:"generation"`
	Body       json.RawMessage `json:"body"`
	Deadline   int64           `json:"deadline-unix-ms"`
	Idempotent bool            `json:"idempotent"`
}

type backendReply struct {
	ID         string            `json:"request-id"`
	BootID     string            `json:"boot-id"`
	Generation uint64            `json:"generation"`
	Partitions []string          `json:"partitions"`
	Results    []json.RawMessage `json:"results"`
	Checksum   string            `json:"results-xxh64"`
	Held       []Generation      `json:"held"`
	Code       string            `json:"code,omitempty"`
	NotRun     bool              `json:"not-run,omitempty"`
}

// bodyMembers holds the members of a request body that control the stand-in.
type bodyMembers struct {
	// Key is the key under which Record.Runs counts the run.
	Key string `json:"key"`
	// Crash makes the server crash instead of running the request.
	Crash bool `json:"crash"`
}

func (b *Backend) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/v1/state":
		b.mu.Lock()
		defer b.mu.Unlock()
		replier.JSON(ctx, fasthttp.StatusOK, map[string]any{"boot-id": b.boot, "draining": b.draining, "held": b.held})
	case "/v1/cancel":
		var in backendRequest
		_ = json.Unmarshal(ctx.PostBody(), &in)
		b.cancel(in.ID)
	case "/v1/run":
		b.run(ctx)
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

func (b *Backend) cancel(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c := b.cancels[id]; c != nil && !b.cfg.IgnoreCancel {
		close(c)
		delete(b.cancels, id)
	}
}

// capacity returns the number of concurrent runs that the server can take now. The caller must
// hold b.mu.
func (b *Backend) capacity() int {
	if b.cfg.WarmAfter <= 0 {
		return b.cfg.Slots
	}
	return min(b.cfg.Slots, 1+b.served/b.cfg.WarmAfter)
}

// generation returns the held generation with the number n and whether a request for it can be
// run. Number 0 stands for no generation and is always accepted. The caller must hold b.mu.
func (b *Backend) generation(n uint64) (Generation, bool) {
	i := slices.IndexFunc(b.held, func(g Generation) bool { return g.Number == n })
	if i < 0 {
		return Generation{Number: n}, n == 0
	}
	return b.held[i], true
}

// run handles a request to run work: it admits or refuses it, waits for the time of the run, and
// replies.
func (b *Backend) run(ctx *fasthttp.RequestCtx) {
	var in backendRequest
	if err := json.Unmarshal(ctx.PostBody(), &in); err != nil {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	b.mu.Lock()
	g, refusal := b.checkAdmission(in)
	if refusal != "" {
		b.record.Refused++
		reply := backendReply{ID: in.ID, BootID: b.boot, Held: b.held, Code: refusal, NotRun: true}
		b.mu.Unlock()
		replier.JSON(ctx, fasthttp.StatusServiceUnavailable, reply)
		return
	}
	boot, work, cancelled := b.startRun(in)
	b.mu.Unlock()
	var m bodyMembers
	_ = json.Unmarshal(in.Body, &m)
	if m.Crash {
		b.mu.Lock()
		b.record.Crashes++
		b.mu.Unlock()
		b.Crash(200 * time.Millisecond)
		dropConnection(ctx)
		return
	}
	completed := waitForRun(work, time.UnixMilli(in.Deadline), cancelled)
	if !b.finishRun(in, boot) {
		dropConnection(ctx)
		return
	}
	if !completed {
		replier.JSON(ctx, fasthttp.StatusUnprocessableEntity, backendReply{ID: in.ID, BootID: boot, Code: "stopped"})
		return
	}
	replier.JSON(ctx, fasthttp.StatusOK, b.reply(in, boot, g))
}

// checkAdmission returns the generation to read, and the code of the refusal if the request is
// refused. The caller must hold b.mu.
func (b *Backend) checkAdmission(in backendRequest) (Generation, string) {
	g, ok := b.generation(in.Generation)
	switch {
	case b.draining:
		return g, "draining"
	case !time.Now().Before(time.UnixMilli(in.Deadline)):
		return g, "expired"
	case !ok:
		return g, "no-generation"
	case b.running >= b.capacity() && !b.cfg.Queue:
		b.record.Overruns++
		return g, "shed"
	}
	return g, ""
}

// startRun counts the start of a run. It returns the current boot ID, the time that the run takes,
// and a channel that is closed when the run is cancelled. The caller must hold b.mu.
func (b *Backend) startRun(in backendRequest) (boot string, work time.Duration, cancelled chan struct{}) {
	b.running++
	b.record.Started++
	b.record.Last = time.Now()
	b.record.MostRunning = max(b.record.MostRunning, b.running)
	if b.running > b.capacity() {
		b.record.Overruns++
	}
	var m bodyMembers
	if json.Unmarshal(in.Body, &m) == nil && m.Key != "" {
		b.record.Runs[m.Key]++
	}
	cancelled = make(chan struct{})
	b.cancels[in.ID] = cancelled
	return b.boot, b.workTime(), cancelled
}

// workTime returns a random run time: half of the mean is fixed, the other half is exponentially
// distributed. Slow runs, a cold server and more runs than slots lengthen it. The caller must
// hold b.mu.
func (b *Backend) workTime() time.Duration {
	work := float64(b.cfg.Work) * (0.5 + 0.5*b.rnd.ExpFloat64())
	if b.rnd.Float64() < b.cfg.SlowShare {
		work *= b.cfg.SlowFactor
	}
	if b.capacity() < b.cfg.Slots && b.cfg.ColdFactor > 1 {
		work *= b.cfg.ColdFactor
	}
	if over := float64(b.running) / float64(b.cfg.Slots); over > 1 {
		work *= over
	}
	return time.Duration(work)
}

// waitForRun waits for the time of a run. It returns false if the run was cancelled or its deadline
// passed first.
func waitForRun(work time.Duration, deadline time.Time, cancelled <-chan struct{}) bool {
	timer := time.NewTimer(min(work, time.Until(deadline)))
	defer timer.Stop()
	select {
	case <-timer.C:
		return time.Now().Before(deadline)
	case <-cancelled:
		return false
	}
}

// finishRun counts the end of a run. It returns false, and counts nothing, if the server has crashed
// since the run's start.
func (b *Backend) finishRun(in backendRequest, boot string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.boot != boot {
		return false
	}
	delete(b.cancels, in.ID)
	b.running--
	b.served++
	b.record.Finished++
	return true
}

func (b *Backend) reply(in backendRequest, boot string, g Generation) backendReply {
	var results [][]byte
	for _, p := range g.Partitions {
		results = append(results, fmt.Appendf(nil, `{"service":%q,"partition":%q,"generation":%d}`, b.cfg.Service, p, g.Number))
	}
	if in.Generation == 0 {
		results = append(results, fmt.Appendf(nil, `{"service":%q,"accepted":true}`, b.cfg.Service))
	}
	out := backendReply{ID: in.ID, BootID: boot, Generation: g.Number, Partitions: g.Partitions, Checksum: executor.Checksum(results)}
	for _, r := range results {
		out.Results = append(out.Results, r)
	}
	b.mu.Lock()
	out.Held = slices.Clone(b.held)
	b.mu.Unlock()
	return out
}
