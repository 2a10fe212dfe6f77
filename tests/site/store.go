// Package site holds stand-ins for the users' platform: its key-value store and its backend
// servers, which speak the published protocol and can be made to fail.
package site

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an item of the store, or the event of its change.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
	Removed  bool   `json:"removed,omitempty"`
}

// Faults are ways for the store to fail.
type Faults struct {
	// Status is given in place of any answer, if it is not 0.
	Status int
	// Hang keeps calls without an answer until the fault is lifted.
	Hang bool
	// DropEvents makes watches hear nothing, while their revision goes on.
	DropEvents bool
	// Malformed makes answers unreadable.
	Malformed bool
	// Delay slows every answer down.
	Delay time.Duration
}

// Store is the platform's key-value store.
type Store struct {
	ln  net.Listener
	srv *http.Server
	// pageSize is the most items in a page.
	pageSize int

	mu       sync.Mutex
	items    map[string]item
	revision uint64
	// history holds all changes after compacted.
	history   []item
	compacted uint64
	changed   chan struct{}
	faults    Faults
	calls     map[string]int
}

// NewStore starts a store on a free port of the loopback address.
func NewStore(pageSize int) (*Store, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Store{ln: ln, pageSize: pageSize, items: make(map[string]item), revision: 1, compacted: 1, changed: make(chan struct{}), calls: make(map[string]int)}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/kv-key", s.call("key", s.key))
	mux.HandleFunc("GET /-/kv-range", s.call("range", s.list))
	mux.HandleFunc("GET /-/kv-watch", s.call("watch", s.watch))
	mux.HandleFunc("POST /-/kv-txn", s.call("txn", s.txn))
	s.srv = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = s.srv.Serve(ln) }()
	return s, nil
}

// Addr is the store's address.
func (s *Store) Addr() netip.AddrPort {
	return s.ln.Addr().(*net.TCPAddr).AddrPort()
}

// Close ends the store.
func (s *Store) Close() {
	_ = s.srv.Close()
}

// SetFaults replaces the faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.announce()
}

func (s *Store) getFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Calls is the number of calls of a kind: key, range, watch or txn.
func (s *Store) Calls(kind string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[kind]
}

// Put writes a key and returns its revision.
func (s *Store) Put(key string, value []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.put(key, value)
	s.announce()
	return s.revision
}

// Remove removes a key.
func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.remove(key)
	s.announce()
}

// Compact drops the history.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compacted = nil, s.revision
}

// put, remove and announce need the lock.
func (s *Store) put(key string, value []byte) {
	it := item{Key: key, Value: value, Revision: s.revision, Created: s.revision}
	if old, ok := s.items[key]; ok {
		it.Created = old.Created
	}
	s.items[key] = it
	s.history = append(s.history, it)
}

func (s *Store) remove(key string) {
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Revision: s.revision, Removed: true})
}

func (s *Store) announce() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// call counts a call and applies the faults.
func (s *Store) call(kind string, f func(r *http.Request) (int, any)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.calls[kind]++
		s.mu.Unlock()
		faults := s.getFaults()
		for faults.Hang && r.Context().Err() == nil {
			time.Sleep(10 * time.Millisecond)
			faults = s.getFaults()
		}
		time.Sleep(faults.Delay)
		status, body := faults.Status, any(map[string]any{})
		if status == 0 {
			status, body = f(r)
		}
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		if faults.Malformed {
			_, _ = w.Write([]byte("{\"items\":[{"))
			return
		}
		_ = json.NewEncoder(w).Encode(body)
	}
}

func (s *Store) key(r *http.Request) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, ok := s.items[r.FormValue("key")]
	if !ok {
		return http.StatusNotFound, map[string]any{"as_of": s.revision}
	}
	return http.StatusOK, struct {
		item
		AsOf uint64 `json:"as_of"`
	}{it, s.revision}
}

func (s *Store) list(r *http.Request) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	page := []item{}
	for _, it := range s.items {
		if strings.HasPrefix(it.Key, r.FormValue("path_prefix")) && it.Key > r.FormValue("after") {
			page = append(page, it)
		}
	}
	sort.Slice(page, func(i, j int) bool { return page[i].Key < page[j].Key })
	truncated := len(page) > s.pageSize
	return http.StatusOK, map[string]any{"items": page[:min(len(page), s.pageSize)], "truncated": truncated, "as_of": s.revision}
}

func (s *Store) watch(r *http.Request) (int, any) {
	after, err := strconv.ParseUint(r.FormValue("after"), 10, 64)
	wait, err2 := strconv.Atoi(r.FormValue("wait_ms"))
	if err != nil || err2 != nil {
		return http.StatusBadRequest, map[string]any{}
	}
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for over := false; ; {
		s.mu.Lock()
		if after < s.compacted {
			s.mu.Unlock()
			return http.StatusGone, map[string]any{}
		}
		events := []item{}
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, r.FormValue("path_prefix")) && !s.faults.DropEvents {
				events = append(events, it)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || over {
			return http.StatusOK, map[string]any{"events": events, "as_of": revision}
		}
		select {
		case <-changed:
		case <-timeout:
			over = true
		case <-r.Context().Done():
			return http.StatusServiceUnavailable, map[string]any{}
		}
	}
}

// txn writes under a condition, all or nothing.
func (s *Store) txn(r *http.Request) (int, any) {
	var in struct {
		Expect []item   `json:"expect"`
		Puts   []item   `json:"puts"`
		Remove []string `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		return http.StatusBadRequest, map[string]any{"error": fmt.Sprint(err)}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range in.Expect {
		if s.items[e.Key].Revision != e.Revision {
			return http.StatusPreconditionFailed, map[string]any{"items": []item{s.items[e.Key]}}
		}
	}
	s.revision++
	for _, p := range in.Puts {
		s.put(p.Key, p.Value)
	}
	for _, key := range in.Remove {
		s.remove(key)
	}
	s.announce()
	return http.StatusOK, map[string]any{"revision": s.revision}
}
