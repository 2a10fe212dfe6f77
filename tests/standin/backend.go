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

// BackendConfig sets up a Backend.
type BackendConfig struct {
	ID, Service, DataCentre string
	Slots, MaxConns         int
	// ConnectCost is the time for each new connection.
	ConnectCost time.Duration
	// Work is the mean time of a run.
	Work time.Duration
	// SlowShare is the share of runs that take SlowFactor times as long.
	SlowShare, SlowFactor float64
	// ColdFactor multiplies the time of a run until the server is warm.
	ColdFactor float64
	// WarmAfter is the number of runs for each further slot that the cold server bears.
	WarmAfter int
	// Queue makes the server queue work above its slots in place of shedding it.
	Queue bool
	// IgnoreCancel makes cancelled runs go on.
	IgnoreCancel bool
	// Generations are held at the start.
	Generations []Generation
	// Seed makes the times of the runs repeatable.
	Seed uint64
}

// Record is what a Backend has seen, over all its boots.
type Record struct {
	// Runs counts the starts of each request body's "key" member, if it has one.
	Runs map[string]int `json:"runs"`
	// Started and Finished count the runs; Refused counts requests not run.
	Started  int `json:"started"`
	Finished int `json:"finished"`
	Refused  int `json:"refused"`
	// MostRunning is the largest number of runs at once.
	MostRunning int `json:"most-running"`
	// Overruns counts starts above what the server could bear at that moment.
	Overruns int `json:"overruns"`
	// MostConns is the largest number of connections at once.
	MostConns int `json:"most-conns"`
	// RefusedConns counts connections above the cap.
	RefusedConns int `json:"refused-conns"`
	// Crashes counts the runs that crashed the server.
	Crashes int `json:"crashes"`
	// Last is the time of the last start.
	Last time.Time `json:"last"`
}

// Backend is one backend server.
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
	// served counts the runs finished since the boot.
	served  int
	cancels map[string]chan struct{}
	record  Record
}

// NewBackend starts a server on a free port of the loopback address. It is cold.
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

// ListEntry is the server's entry for the platform's list.
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

// Close ends the server.
func (b *Backend) Close() {
	b.mu.Lock()
	ln := b.ln
	b.down = true
	b.mu.Unlock()
	_ = ln.Close()
	ln.cut()
}

// Crash cuts all connections and loses all runs; the server comes back cold after d.
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
	ln.cut()
	time.AfterFunc(d, b.reboot)
}

func (b *Backend) reboot() {
	ln, err := listenAt(b.addr, b.cfg.ConnectCost, b.cfg.MaxConns)
	if err != nil {
		return
	}
	b.mu.Lock()
	ln.most, ln.refused = b.ln.most, b.ln.refused
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

// Hold replaces the generations held.
func (b *Backend) Hold(g []Generation) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.held = slices.Clone(g)
}

// Record returns what the server has seen.
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
	out.MostConns, out.RefusedConns = b.ln.most, b.ln.refused
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

// body holds the members of a request's body that the stand-in understands.
type body struct {
	// Key is counted in the record.
	Key string `json:"key"`
	// Crash makes the run crash the server.
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

// bears is the number of runs at once that the server can bear; it needs the lock.
func (b *Backend) bears() int {
	if b.cfg.WarmAfter <= 0 {
		return b.cfg.Slots
	}
	return min(b.cfg.Slots, 1+b.served/b.cfg.WarmAfter)
}

func (b *Backend) generation(n uint64) (Generation, bool) {
	i := slices.IndexFunc(b.held, func(g Generation) bool { return g.Number == n })
	if i < 0 {
		return Generation{Number: n}, n == 0
	}
	return b.held[i], true
}

// run runs one request.
func (b *Backend) run(ctx *fasthttp.RequestCtx) {
	var in backendRequest
	if err := json.Unmarshal(ctx.PostBody(), &in); err != nil {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	b.mu.Lock()
	g, refusal := b.admit(in)
	if refusal != "" {
		b.record.Refused++
		reply := backendReply{ID: in.ID, BootID: b.boot, Held: b.held, Code: refusal, NotRun: true}
		b.mu.Unlock()
		replier.JSON(ctx, fasthttp.StatusServiceUnavailable, reply)
		return
	}
	boot, work, cancelled := b.begin(in)
	b.mu.Unlock()
	var m body
	_ = json.Unmarshal(in.Body, &m)
	if m.Crash {
		b.mu.Lock()
		b.record.Crashes++
		b.mu.Unlock()
		b.Crash(200 * time.Millisecond)
		cutOff(ctx)
		return
	}
	whole := wait(work, time.UnixMilli(in.Deadline), cancelled)
	if !b.end(in, boot) {
		cutOff(ctx)
		return
	}
	if !whole {
		replier.JSON(ctx, fasthttp.StatusUnprocessableEntity, backendReply{ID: in.ID, BootID: boot, Code: "stopped"})
		return
	}
	replier.JSON(ctx, fasthttp.StatusOK, b.reply(in, boot, g))
}

// admit returns the generation to read, or the code of a refusal; it needs the lock.
func (b *Backend) admit(in backendRequest) (Generation, string) {
	g, ok := b.generation(in.Generation)
	switch {
	case b.draining:
		return g, "draining"
	case !time.Now().Before(time.UnixMilli(in.Deadline)):
		return g, "expired"
	case !ok:
		return g, "no-generation"
	case b.running >= b.bears() && !b.cfg.Queue:
		b.record.Overruns++
		return g, "shed"
	}
	return g, ""
}

// begin counts the start of a run; it needs the lock.
func (b *Backend) begin(in backendRequest) (boot string, work time.Duration, cancelled chan struct{}) {
	b.running++
	b.record.Started++
	b.record.Last = time.Now()
	b.record.MostRunning = max(b.record.MostRunning, b.running)
	if b.running > b.bears() {
		b.record.Overruns++
	}
	var m body
	if json.Unmarshal(in.Body, &m) == nil && m.Key != "" {
		b.record.Runs[m.Key]++
	}
	cancelled = make(chan struct{})
	b.cancels[in.ID] = cancelled
	return b.boot, b.workTime(), cancelled
}

// workTime draws the time of a run: half of the mean fixed, half exponential.
func (b *Backend) workTime() time.Duration {
	work := float64(b.cfg.Work) * (0.5 + 0.5*b.rnd.ExpFloat64())
	if b.rnd.Float64() < b.cfg.SlowShare {
		work *= b.cfg.SlowFactor
	}
	if b.bears() < b.cfg.Slots && b.cfg.ColdFactor > 1 {
		work *= b.cfg.ColdFactor
	}
	if over := float64(b.running) / float64(b.cfg.Slots); over > 1 {
		work *= over
	}
	return time.Duration(work)
}

func wait(work time.Duration, deadline time.Time, cancelled <-chan struct{}) bool {
	timer := time.NewTimer(min(work, time.Until(deadline)))
	defer timer.Stop()
	select {
	case <-timer.C:
		return time.Now().Before(deadline)
	case <-cancelled:
		return false
	}
}

// end counts the end of a run; it returns false when the server has crashed since.
func (b *Backend) end(in backendRequest, boot string) bool {
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
