package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/ebonylock/ebonylock/tests/site"
)

const (
	// maxCopyAge is the greatest age of the copy from which the store comes back, and maxAwayTime the longest time for
	// which it is away before that. maxRewriteTime is that until what it lost is written again.
	maxCopyAge     = 5 * time.Second
	maxAwayTime    = time.Second
	maxRewriteTime = time.Second
	// secondDrillProbability is the probability that the store comes back from a copy again at once.
	secondDrillProbability = 0.3
	// lostVersions is the number of versions of the configuration that the store loses. While their revisions are
	// given out again, a VM that knows only revisions takes nothing that is written.
	lostVersions = 6
	// applyTime is the time within which a configuration must be in force on all VMs.
	applyTime = 3 * time.Second
)

// drillFaults are the faults of a soak with Config.Drills. As in cutFaults, the store itself has no others.
var drillFaults = slices.Concat(cutFaults, []fault{restoreStore, restoreStore, restoreStore, killAllVMs, killAllVMs})

// storeWriter writes to the store as the operator and the servers do, who write again what it loses.
type storeWriter struct {
	store *site.Store

	mu sync.Mutex
	// values holds the last value of each key; nil if the key was removed.
	values map[string][]byte
}

func newStoreWriter(s *site.Store) *storeWriter {
	return &storeWriter{store: s, values: make(map[string][]byte)}
}

func (w *storeWriter) put(key string, value []byte) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.values[key] = value
	w.store.Put(key, value)
}

func (w *storeWriter) remove(key string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.values[key] = nil
	w.store.Remove(key)
}

// rewrite writes again what the store doesn't have as it was written last.
func (w *storeWriter) rewrite() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for key, value := range w.values {
		switch stored := w.store.Value(key); {
		case value == nil && stored != nil:
			w.store.Remove(key)
		case string(value) != string(stored):
			w.store.Put(key, value)
		}
	}
}

// restoreStore lets the store come back from a copy, often twice in a row.
func restoreStore(h *harness, rng *rand.Rand, _ time.Duration) (string, func()) {
	if !h.restoring.CompareAndSwap(false, true) {
		return "", nil
	}
	age, second := time.Duration(rng.Int64N(int64(maxCopyAge))), rng.Float64() < secondDrillProbability
	away, rewritten := time.Duration(rng.Int64N(int64(maxAwayTime))), time.Duration(rng.Int64N(int64(maxRewriteTime)))
	state := h.store.Copy()
	text := fmt.Sprintf("store comes back from a copy of now after %v, away for %v, again: %v, written again %v later", age, away, second, rewritten)
	return text, func() {
		defer h.restoring.Store(false)
		time.Sleep(age)
		for range lostVersions {
			h.writeConfig(rng)
		}
		time.Sleep(maxAwayTime)
		h.drill(state, away)
		if second {
			time.Sleep(rewritten / 2)
			h.drill(state, away)
		}
		time.Sleep(rewritten)
		h.writer.rewrite()
		h.writeConfig(rng)
		h.checkInForce(contactTime + h.timeout(applyTime))
	}
}

// drill takes the store away and lets it come back from a copy.
func (h *harness) drill(state site.Copy, away time.Duration) {
	for _, v := range h.vms {
		v.store.set(modeRefuse)
	}
	time.Sleep(away)
	h.store.Restore(state)
	for _, v := range h.vms {
		v.store.set(modePass)
	}
}

// killAllVMs kills all VMs that no other fault concerns.
func killAllVMs(h *harness, _ *rand.Rand, lasts time.Duration) (string, func()) {
	var list []*vm
	for _, v := range h.vms {
		if v.reserve() {
			list = append(list, v)
		}
	}
	if len(list) == 0 {
		return "", nil
	}
	return fmt.Sprintf("%d VMs are killed", len(list)), func() {
		var wg sync.WaitGroup
		for _, v := range list {
			wg.Go(func() {
				done := h.history.beginProcessFault(v.id)
				v.Kill()
				done()
			})
		}
		wg.Wait()
		time.Sleep(lasts)
		for _, v := range list {
			wg.Go(func() { h.restartVM(v) })
		}
		wg.Wait()
	}
}

// checkInForce waits until the configuration that was written last is in force on all VMs. After the given time it must
// be so on those that are in touch.
func (h *harness) checkInForce(within time.Duration) {
	h.mu.Lock()
	want := h.version
	h.mu.Unlock()
	for end := time.Now().Add(within); ; time.Sleep(pollInterval) {
		var late []*vm
		for _, v := range h.vms {
			if v.configVersion() < want {
				late = append(late, v)
			}
		}
		if len(late) == 0 {
			return
		}
		if time.Now().Before(end) {
			continue
		}
		for _, v := range late {
			if h.inTouch(v) {
				h.history.addViolation("configuration: version %d is not in force on %s %v after it was written", want, v.id, within)
			}
		}
		return
	}
}

// inTouch reports whether a VM is in touch now.
func (h *harness) inTouch(v *vm) bool {
	h.history.mu.Lock()
	defer h.history.mu.Unlock()
	return h.history.inTouch(v.id, time.Now())
}

// configVersion returns the version of the configuration that is in force on a VM; 0 if the VM doesn't tell.
func (v *vm) configVersion() int {
	text, err := v.Metrics()
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(text, "\nebonylock_beliefs_config_version ")
	var version int
	_, _ = fmt.Sscan(rest, &version)
	return version
}
