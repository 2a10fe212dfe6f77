package standin

import (
	"bytes"
	"encoding/json"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/ebonylock/ebonylock/modules/replier"
)

// Store is a stand-in for the platform's key-value store. It has compare-and-swap, leases and
// watches.
type Store struct {
	ln  *listener
	srv *fasthttp.Server

	mu     sync.Mutex
	values map[string]storeValue
	// changed is closed and replaced at each write, to wake the watches.
	changed chan struct{}
	faults  StoreFaults
	// calls counts the calls by kind.
	calls map[string]int
}

type storeValue struct {
	Data    []byte
	Version uint64
	Expires time.Time
}

// StoreFaults holds the faults that a Store injects.
type StoreFaults struct {
	// Down closes the connection of every call without a reply.
	Down bool `json:"down"`
	// Delay is added to the time of every call.
	Delay time.Duration `json:"delay"`
	// LoseReplies is the number of further writes that take effect but get no reply.
	LoseReplies int `json:"lose-replies"`
}

// closeConnsDelay is the time from a command that takes the store down until all connections
// are closed.
const closeConnsDelay = 10 * time.Millisecond

// NewStore starts a store on a free port of the loopback address.
func NewStore() (*Store, error) {
	ln, err := listen(0, 0)
	if err != nil {
		return nil, err
	}
	s := &Store{ln: ln, values: make(map[string]storeValue), changed: make(chan struct{}), calls: make(map[string]int)}
	s.srv = &fasthttp.Server{Handler: s.handle, MaxRequestBodySize: 4 << 20}
	go func() { _ = s.srv.Serve(ln) }()
	return s, nil
}

// Addr returns the store's address.
func (s *Store) Addr() netip.AddrPort {
	return netip.MustParseAddrPort(s.ln.Addr().String())
}

// Close closes the listener and all connections.
func (s *Store) Close() {
	_ = s.ln.Close()
	s.ln.closeConns()
}

// SetFaults replaces the faults that the store injects.
func (s *Store) SetFaults(f StoreFaults) {
	s.mu.Lock()
	s.faults = f
	s.mu.Unlock()
	if f.Down {
		// Delayed, so that the reply to the command itself can be sent.
		time.AfterFunc(closeConnsDelay, s.ln.closeConns)
	}
}

// Calls returns the number of calls by kind.
func (s *Store) Calls() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(s.calls))
	for k, n := range s.calls {
		out[k] = n
	}
	return out
}

// Value returns the value and version of key, also after its lease has expired.
func (s *Store) Value(key string) ([]byte, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.values[key]
	return v.Data, v.Version
}

// Restore sets the value of key as a restore from a backup does: its version starts again at 1.
func (s *Store) Restore(key string, data []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.values[key] = storeValue{Data: data, Version: 1}
	s.notifyWatchers()
}

// notifyWatchers wakes all watches. The caller must hold s.mu.
func (s *Store) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) handle(ctx *fasthttp.RequestCtx) {
	if strings.HasPrefix(string(ctx.Path()), "/control/") {
		s.handleControl(ctx)
		return
	}
	s.mu.Lock()
	faults := s.faults
	s.mu.Unlock()
	time.Sleep(faults.Delay)
	if faults.Down {
		dropConnection(ctx)
		return
	}
	key := strings.TrimPrefix(string(ctx.Path()), "/v1/kv/")
	switch {
	case ctx.IsPut():
		s.put(ctx, key)
	case ctx.QueryArgs().Has("after-version"):
		s.watch(ctx, key)
	default:
		s.get(ctx, key)
	}
}

// dropConnection closes the connection without a reply.
func dropConnection(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c netConn) { _ = c.Close() })
}

func (s *Store) handleControl(ctx *fasthttp.RequestCtx) {
	if ctx.IsGet() {
		replier.JSON(ctx, fasthttp.StatusOK, s.Calls())
		return
	}
	if key, ok := strings.CutPrefix(string(ctx.Path()), "/control/restore/"); ok {
		s.Restore(key, bytes.Clone(ctx.PostBody()))
		return
	}
	var f StoreFaults
	if err := json.Unmarshal(ctx.PostBody(), &f); err != nil {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	s.SetFaults(f)
}

type storeReply struct {
	Data    []byte `json:"data"`
	Version uint64 `json:"version"`
}

// lookup returns the value of key and whether it exists. If the lease has expired, it returns only
// the version, and false. The caller must hold s.mu.
func (s *Store) lookup(key string) (storeValue, bool) {
	v, ok := s.values[key]
	if ok && !v.Expires.IsZero() && time.Now().After(v.Expires) {
		return storeValue{Version: v.Version}, false
	}
	return v, ok
}

func (s *Store) get(ctx *fasthttp.RequestCtx, key string) {
	s.mu.Lock()
	s.calls["get"]++
	v, ok := s.lookup(key)
	s.mu.Unlock()
	if !ok {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		ctx.SetBodyString("{}")
		return
	}
	replier.JSON(ctx, fasthttp.StatusOK, storeReply{v.Data, v.Version})
}

func (s *Store) watch(ctx *fasthttp.RequestCtx, key string) {
	after, _ := strconv.ParseUint(string(ctx.QueryArgs().Peek("after-version")), 10, 64)
	wait := time.Duration(ctx.QueryArgs().GetUintOrZero("wait-ms")) * time.Millisecond
	timer := time.NewTimer(wait)
	defer timer.Stop()
	s.mu.Lock()
	s.calls["watch"]++
	s.mu.Unlock()
	for {
		s.mu.Lock()
		v, ok := s.lookup(key)
		changed := s.changed
		s.mu.Unlock()
		if ok && v.Version != after {
			replier.JSON(ctx, fasthttp.StatusOK, storeReply{v.Data, v.Version})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			ctx.SetStatusCode(fasthttp.StatusNoContent)
			return
		}
	}
}

type storePut struct {
	Data      []byte `json:"data"`
	IfVersion uint64 `json:"if-version"`
	LeaseMS   int64  `json:"lease-ms"`
}

func (s *Store) put(ctx *fasthttp.RequestCtx, key string) {
	var in storePut
	if err := json.Unmarshal(ctx.PostBody(), &in); err != nil {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.calls["put"]++
	v, _ := s.lookup(key)
	if v.Version != in.IfVersion {
		s.mu.Unlock()
		replier.JSON(ctx, fasthttp.StatusConflict, storeReply{Version: v.Version})
		return
	}
	next := storeValue{Data: in.Data, Version: v.Version + 1}
	if in.LeaseMS > 0 {
		next.Expires = time.Now().Add(time.Duration(in.LeaseMS) * time.Millisecond)
	}
	s.values[key] = next
	loseReply := s.faults.LoseReplies > 0
	if loseReply {
		s.faults.LoseReplies--
	}
	s.notifyWatchers()
	s.mu.Unlock()
	if loseReply {
		dropConnection(ctx)
		return
	}
	replier.JSON(ctx, fasthttp.StatusOK, storeReply{Version: next.Version})
}
