// Package site provides fakes of the users' platform for tests: its key-value store and its backend
// servers. They speak the published protocol and can inject faults.
package site

import (
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key with its value in the store, or a change event of a watch.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
	Removed  bool   `json:"removed,omitempty"`
}

// Faults selects the faults that the store injects. The zero value injects none.
type Faults struct {
	// Status, if not 0, is the status of every answer, and the call is not carried out.
	Status int
	// Hang delays calls until the fault is cleared or the client cancels.
	Hang bool
	// DropEvents makes watches return no events, while the revision that they report still
	// advances.
	DropEvents bool
	// Malformed replaces the body of each answer by truncated JSON.
	Malformed bool
	// Delay is added to the time of every call.
	Delay time.Duration
	// Era, if not nil, replaces the era in the header of each answer; an empty one leaves the header out.
	Era *string
}

// Store is a fake of the platform's key-value store.
type Store struct {
	ln  net.Listener
	srv *http.Server
	// pageSize is the maximum number of items in an answer to a range call.
	pageSize int

	mu       sync.Mutex
	items    map[string]item
	revision uint64
	// era counts the times that the store has come back from a copy, plus one.
	era uint64
	// history holds all changes with a revision above compacted.
	history   []item
	compacted uint64
	// changed is closed and replaced at each change of the items or the faults.
	changed chan struct{}
	faults  Faults
	calls   map[string]int
}

// maxPageBytes is the size of keys and values after which a page of a range call ends.
const maxPageBytes = 1000000

// NewStore starts an empty store on a free port of 127.0.0.1.
func NewStore(pageSize int) (*Store, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Store{ln: ln, pageSize: pageSize, items: make(map[string]item), revision: 1, compacted: 1, era: 1, changed: make(chan struct{}), calls: make(map[string]int)}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/kv-key", s.handler("key", s.getKey))
	mux.HandleFunc("GET /-/kv-range", s.handler("range", s.listRange))
	mux.HandleFunc("GET /-/kv-watch", s.handler("watch", s.watch))
	mux.HandleFunc("POST /-/kv-txn", s.handler("txn", s.txn))
	s.srv = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = s.srv.Serve(ln) }()
	return s, nil
}

// Addr returns the address that the store listens on.
func (s *Store) Addr() netip.AddrPort {
	return s.ln.Addr().(*net.TCPAddr).AddrPort()
}

// Close stops the listener and closes all connections.
func (s *Store) Close() {
	_ = s.srv.Close()
}

// SetFaults replaces the injected faults. Hanging calls and waiting watches see the new ones at once.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.notifyWatchers()
}

func (s *Store) currentFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Calls returns the number of calls of a kind (key, range, watch or txn) received so far.
func (s *Store) Calls(kind string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[kind]
}

// Put writes a key and returns the revision of the write.
func (s *Store) Put(key string, value []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.put(key, value)
	s.notifyWatchers()
	return s.revision
}

// Remove deletes a key; watches report the removal even if the key does not exist.
func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.remove(key)
	s.notifyWatchers()
}

// Compact drops the history of changes. Watches from an older revision are answered with 410.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compacted = nil, s.revision
}

// Copy is the state of a Store at a moment.
type Copy struct {
	items     map[string]item
	revision  uint64
	history   []item
	compacted uint64
}

// Copy returns a copy of the present state.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{maps.Clone(s.items), s.revision, slices.Clone(s.history), s.compacted}
}

// Restore makes the store come back from a copy in the next era, in which it gives out again the revisions of all
// changes since the copy was made. Waiting watches are answered.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.items, s.revision, s.history, s.compacted = maps.Clone(c.items), c.revision, slices.Clone(c.history), c.compacted
	s.era++
	s.notifyWatchers()
}

// Value returns the value of a key; nil if it does not exist.
func (s *Store) Value(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Value
}

// put writes an item at the current revision. The caller must hold s.mu.
func (s *Store) put(key string, value []byte) {
	it := item{Key: key, Value: value, Revision: s.revision, Created: s.revision}
	if old, ok := s.items[key]; ok {
		it.Created = old.Created
	}
	s.items[key] = it
	s.history = append(s.history, it)
}

// remove deletes an item at the current revision. The caller must hold s.mu.
func (s *Store) remove(key string) {
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Revision: s.revision, Removed: true})
}

// notifyWatchers wakes all waiting watches. The caller must hold s.mu.
func (s *Store) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// handler wraps f, which returns status and body of an answer: it counts the call and injects the
// faults.
func (s *Store) handler(kind string, f func(r *http.Request) (int, any)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.calls[kind]++
		s.mu.Unlock()
		faults := s.currentFaults()
		for faults.Hang && r.Context().Err() == nil {
			time.Sleep(10 * time.Millisecond)
			faults = s.currentFaults()
		}
		time.Sleep(faults.Delay)
		status, body := faults.Status, any(map[string]any{})
		era := s.eraHeader()
		if status == 0 {
			status, body = f(r)
			// An answer from the time before a copy was restored is not of the new era.
			for now := s.eraHeader(); now != era; now = s.eraHeader() {
				era = now
				status, body = f(r)
			}
		}
		if era != "" {
			w.Header().Set("Store-Era", era)
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

// eraHeader returns the value of the header Store-Era; empty for none.
func (s *Store) eraHeader() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Era != nil {
		return *s.faults.Era
	}
	return strconv.FormatUint(s.era, 10)
}

func (s *Store) getKey(r *http.Request) (int, any) {
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

func (s *Store) listRange(r *http.Request) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	page := []item{}
	for _, it := range s.items {
		if strings.HasPrefix(it.Key, r.FormValue("path_prefix")) && it.Key > r.FormValue("after") {
			page = append(page, it)
		}
	}
	sort.Slice(page, func(i, j int) bool { return page[i].Key < page[j].Key })
	n, size := 0, 0
	for n < min(len(page), s.pageSize) && size < maxPageBytes {
		size += len(page[n].Key) + len(page[n].Value)
		n++
	}
	return http.StatusOK, map[string]any{"items": page[:n], "truncated": n < len(page), "as_of": s.revision}
}

func (s *Store) watch(r *http.Request) (int, any) {
	after, err := strconv.ParseUint(r.FormValue("after"), 10, 64)
	wait, err2 := strconv.Atoi(r.FormValue("wait_ms"))
	if err != nil || err2 != nil {
		return http.StatusBadRequest, map[string]any{}
	}
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for timedOut := false; ; {
		s.mu.Lock()
		if after < s.compacted || after > s.revision {
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

// txn applies all writes at one revision, or none if the revision of a key differs from the expected
// one.
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
	s.notifyWatchers()
	return http.StatusOK, map[string]any{"revision": s.revision}
}
