//go:build review

package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Bounds of the store's answers, as its protocol states them.
const (
	maxPageItems = 500
	maxPageBytes = 1 << 20
	maxEntries   = 32
)

// item is a key of the store, or a change of one.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
	Removed  bool   `json:"removed,omitempty"`
}

// change is an item as it was written, with the time of the write.
type change struct {
	item
	at time.Time
}

// store is a stand-in of the platform's key-value store. It keeps all changes, so that it can come back from a copy
// of an earlier moment.
type store struct {
	rec  *record
	addr string

	mu       sync.Mutex
	srv      *http.Server
	items    map[string]item
	log      []change
	revision uint64
	era      int
	changed  chan struct{}
	down     atomic.Bool
}

func newStore(rec *record) (*store, error) {
	s := &store{rec: rec, addr: "127.0.0.1:0", items: make(map[string]item), revision: 1, era: 1, changed: make(chan struct{})}
	return s, s.open()
}

// open makes the store accept connections at its address.
func (s *store) open() error {
	ln, err := net.Listen("tcp4", s.addr)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/kv-key", s.answer(s.getKey))
	mux.HandleFunc("GET /-/kv-range", s.answer(s.getRange))
	mux.HandleFunc("GET /-/kv-watch", s.answer(s.watch))
	mux.HandleFunc("POST /-/kv-txn", s.answer(s.txn))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down.Store(false)
	s.addr = ln.Addr().String()
	s.srv = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	go func(srv *http.Server) { _ = srv.Serve(ln) }(s.srv)
	return nil
}

// close resets all connections and accepts no more.
func (s *store) close() {
	s.mu.Lock()
	srv := s.srv
	s.mu.Unlock()
	s.down.Store(true)
	_ = srv.Close()
}

// restore makes the store that is away come back from the copy of a moment.
func (s *store) restore(moment time.Time) error {
	s.mu.Lock()
	kept := 0
	s.items, s.revision = make(map[string]item), 1
	for _, c := range s.log {
		if c.at.After(moment) {
			break
		}
		kept++
		s.revision = c.Revision
		if c.Removed {
			delete(s.items, c.Key)
		} else {
			s.items[c.Key] = c.item
		}
	}
	lost := s.log[kept:]
	s.log = s.log[:kept:kept]
	s.era++
	s.rec.notef("store comes back at revision %d, era %d; %d changes are lost", s.revision, s.era, len(lost))
	for _, c := range lost {
		s.rec.logf("  lost: revision %d of %s", c.Revision, c.Key)
	}
	s.mu.Unlock()
	return s.open()
}

// put writes a key for the operator or a replica and returns the revision.
func (s *store) put(key string, value []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.set(key, value)
	s.notify()
	s.rec.logf("store: revision %d of %s acknowledged", s.revision, key)
	return s.revision
}

// remove deletes a key for the operator or a replica.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.drop(key)
	s.notify()
	s.rec.logf("store: removal of %s at revision %d acknowledged", key, s.revision)
}

// get returns the value of a key; nil if there is none.
func (s *store) get(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Value
}

// set writes an item at the current revision. The caller must hold mu.
func (s *store) set(key string, value []byte) {
	it := item{Key: key, Value: value, Revision: s.revision, Created: s.revision}
	if old, ok := s.items[key]; ok {
		it.Created = old.Created
	}
	s.items[key] = it
	s.log = append(s.log, change{it, time.Now()})
}

// drop deletes an item at the current revision. The caller must hold mu.
func (s *store) drop(key string) {
	delete(s.items, key)
	s.log = append(s.log, change{item{Key: key, Revision: s.revision, Removed: true}, time.Now()})
}

// notify wakes the watches. The caller must hold mu.
func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) answer(f func(r *http.Request) (int, any)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(4 * time.Millisecond)
		status, body := f(r)
		s.mu.Lock()
		era := s.era
		s.mu.Unlock()
		w.Header().Set("Store-Era", strconv.Itoa(era))
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(body)
	}
}

func (s *store) getKey(r *http.Request) (int, any) {
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

func (s *store) getRange(r *http.Request) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	prefix, after := r.FormValue("path_prefix"), r.FormValue("after")
	page := []item{}
	for _, it := range s.items {
		if strings.HasPrefix(it.Key, prefix) && it.Key > after {
			page = append(page, it)
		}
	}
	sort.Slice(page, func(i, j int) bool { return page[i].Key < page[j].Key })
	n, size := 0, 0
	for n < min(len(page), maxPageItems) && size < maxPageBytes {
		size += len(page[n].Key) + len(page[n].Value)
		n++
	}
	return http.StatusOK, map[string]any{"items": page[:n], "truncated": n < len(page), "as_of": s.revision}
}

func (s *store) watch(r *http.Request) (int, any) {
	after, err := strconv.ParseUint(r.FormValue("after"), 10, 64)
	wait, err2 := strconv.Atoi(r.FormValue("wait_ms"))
	if err != nil || err2 != nil {
		return http.StatusBadRequest, map[string]any{}
	}
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for timedOut := false; ; {
		s.mu.Lock()
		if after > s.revision {
			s.mu.Unlock()
			return http.StatusGone, map[string]any{}
		}
		events := []item{}
		for _, c := range s.log {
			if c.Revision > after && strings.HasPrefix(c.Key, r.FormValue("path_prefix")) {
				events = append(events, c.item)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || timedOut {
			return http.StatusOK, map[string]any{"events": events, "as_of": revision}
		}
		select {
		case <-changed:
		case <-timeout:
			timedOut = true
		case <-r.Context().Done():
			return http.StatusServiceUnavailable, map[string]any{}
		}
	}
}

// txn applies all writes of a call at one revision, or none if a condition does not hold.
func (s *store) txn(r *http.Request) (int, any) {
	var in struct {
		Expect []item   `json:"expect"`
		Puts   []item   `json:"puts"`
		Remove []string `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil || len(in.Expect)+len(in.Puts)+len(in.Remove) > maxEntries {
		return http.StatusBadRequest, map[string]any{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range in.Expect {
		if s.items[e.Key].Revision != e.Revision {
			return http.StatusPreconditionFailed, map[string]any{"items": []item{s.items[e.Key]}}
		}
	}
	for _, p := range in.Puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			return http.StatusForbidden, map[string]any{}
		}
	}
	s.revision++
	for _, p := range in.Puts {
		s.set(p.Key, p.Value)
		s.rec.logf("store: revision %d of %s, written by the system", s.revision, p.Key)
	}
	for _, key := range in.Remove {
		s.drop(key)
	}
	s.notify()
	return http.StatusOK, map[string]any{"revision": s.revision}
}

// away reports whether the store accepts no calls.
func (s *store) away() bool {
	return s.down.Load()
}
