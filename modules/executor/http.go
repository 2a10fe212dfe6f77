package executor

import (
	"encoding/json"
	"errors"
	"net/netip"
	"strconv"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"github.com/ebonylock/ebonylock/modules/fetcher"
	"github.com/ebonylock/ebonylock/modules/rationer"
)

// HTTP paths of a backend server.
const (
	statePath  = "/v1/state"
	runPath    = "/v1/run"
	cancelPath = "/v1/cancel"
)

// cancelTimeout is short because a cancellation is only a hint to the server.
const cancelTimeout = 200 * time.Millisecond

// Client is the HTTP client for one backend server.
type Client struct {
	runs    *fetcher.Client
	control *fetcher.Client
}

// New returns a Client for the server at addr that opens at most maxConns connections, and whose replies have
// limits. If maxConns is above 1, one of the connections is reserved for state and cancellation requests.
func New(addr netip.AddrPort, maxConns int, limits fetcher.Limits) *Client {
	controlConns := 1
	if maxConns < 2 {
		controlConns = 0
	}
	c := &Client{runs: fetcher.NewLimited(addr, maxConns-controlConns, limits)}
	c.control = c.runs
	if controlConns > 0 {
		c.control = fetcher.NewLimited(addr, controlConns, limits)
	}
	return c
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.runs.Close()
	c.control.Close()
}

type wireGeneration struct {
	Number     uint64   `json:"number"`
	Partitions []string `json:"partitions"`
}

// wireRequest is a request without its body.
type wireRequest struct {
	ID         string `json:"request-id"`
	Service    string `json:"service"`
	Generation uint64 `json:"generation,omitempty"`
	Deadline   int64  `json:"deadline-unix-ms"`
	Idempotent bool   `json:"idempotent"`
}

// encode returns the encoded request in parts. The body is not copied, as many requests share it.
func (w wireRequest) encode(body []byte) ([][]byte, error) {
	b, err := json.Marshal(w)
	if err != nil {
		return nil, err
	}
	if len(body) == 0 {
		body = []byte("null")
	}
	return [][]byte{append(b[:len(b)-1], `,"body":`...), body, []byte("}")}, nil
}

type wireReply struct {
	ID         string            `json:"request-id"`
	BootID     string            `json:"boot-id"`
	Generation uint64            `json:"generation"`
	Partitions []string          `json:"partitions"`
	Results    []json.RawMessage `json:"results"`
	Checksum   string            `json:"results-xxh64"`
	Held       []wireGeneration  `json:"held"`
	Code       string            `json:"code"`
	NotRun     bool              `json:"not-run"`
}

type wireState struct {
	BootID   string           `json:"boot-id"`
	Draining bool             `json:"draining"`
	Held     []wireGeneration `json:"held"`
}

// refusals maps the codes with which the server rejects a request that it did not run to errors.
var refusals = map[string]error{
	"shed":                 ErrShed,
	"draining":             ErrDraining,
	"no-generation":        ErrNoGeneration,
	"expired":              ErrExpired,
	"too-many-connections": ErrTooManyConns,
}

// Checksum returns the checksum of results that a reply carries: XXH64 over each result followed by a
// zero byte, as 16 hexadecimal digits.
func Checksum(results [][]byte) string {
	h := xxhash.New()
	for _, r := range results {
		_, _ = h.Write(r)
		_, _ = h.Write([]byte{0})
	}
	s := strconv.FormatUint(h.Sum64(), 16)
	for len(s) < 16 {
		s = "0" + s
	}
	return s
}

// Run sends r once, without retries. An error matches either ErrNotRun or ErrUnknownOutcome.
func (c *Client) Run(r Request) (Reply, error) {
	in := wireRequest{
		ID:         r.ID,
		Service:    r.Service,
		Generation: r.Generation,
		Deadline:   r.Deadline.UnixMilli(),
		Idempotent: r.Idempotent,
	}
	parts, err := in.encode(r.Body)
	if err != nil {
		return Reply{}, notRun(err)
	}
	var out wireReply
	code, err := c.runs.DoParts(fasthttp.MethodPost, runPath, parts, &out, r.Deadline)
	if err != nil {
		return Reply{}, classify(err)
	}
	if code != fasthttp.StatusOK {
		return Reply{Held: out.held()}, refusal(code, out, r)
	}
	return out.reply(r)
}

func classify(err error) error {
	var syntaxErr *json.SyntaxError
	var typeErr *json.UnmarshalTypeError
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return notRun(errors.Join(ErrRefused, err))
	case errors.Is(err, fasthttp.ErrNoFreeConns), errors.Is(err, fasthttp.ErrDialTimeout):
		return notRun(errors.Join(ErrTooManyConns, err))
	case errors.Is(err, fasthttp.ErrTimeout):
		return unknownOutcome(errors.Join(ErrTimeout, err))
	case errors.As(err, &syntaxErr), errors.As(err, &typeErr),
		errors.Is(err, fetcher.ErrMalformed), errors.Is(err, fetcher.ErrTooLarge), errors.Is(err, rationer.ErrNoMemory):
		return unknownOutcome(errors.Join(ErrCorrupt, err))
	}
	return unknownOutcome(errors.Join(ErrLost, err))
}

func refusal(code int, w wireReply, r Request) error {
	if w.ID != r.ID {
		return unknownOutcome(ErrCorrupt)
	}
	if err, ok := refusals[w.Code]; ok && w.NotRun {
		return notRun(err)
	}
	if code == fasthttp.StatusUnprocessableEntity {
		return unknownOutcome(ErrFailed)
	}
	return unknownOutcome(ErrCorrupt)
}

func (w wireReply) reply(r Request) (Reply, error) {
	results := make([][]byte, len(w.Results))
	for i, m := range w.Results {
		results[i] = m
	}
	valid := w.ID == r.ID && w.Generation == r.Generation && w.Checksum == Checksum(results)
	if !valid {
		return Reply{}, unknownOutcome(ErrCorrupt)
	}
	return Reply{
		BootID:     w.BootID,
		Generation: w.Generation,
		Partitions: w.Partitions,
		Results:    results,
		Held:       w.held(),
	}, nil
}

func (w wireReply) held() []Generation {
	return generations(w.Held)
}

func generations(in []wireGeneration) []Generation {
	out := make([]Generation, len(in))
	for i, g := range in {
		out[i] = Generation(g)
	}
	return out
}

// Cancel asks the server to stop the run of id. The server may ignore it.
func (c *Client) Cancel(id string, now time.Time) error {
	in := struct {
		ID string `json:"request-id"`
	}{id}
	_, err := c.control.Do(fasthttp.MethodPost, cancelPath, in, nil, now.Add(cancelTimeout))
	return err
}

// State requests the state of the server.
func (c *Client) State(deadline time.Time) (State, error) {
	var w wireState
	code, err := c.control.Do(fasthttp.MethodGet, statePath, nil, &w, deadline)
	if err != nil {
		return State{}, classify(err)
	}
	if code != fasthttp.StatusOK {
		return State{}, unknownOutcome(ErrCorrupt)
	}
	return State{BootID: w.BootID, Draining: w.Draining, Held: generations(w.Held)}, nil
}
