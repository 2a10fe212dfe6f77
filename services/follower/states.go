package follower

import (
	"sync"
	"time"
)

// sourceStates holds what the watchers of a VM know of its sources. The zero value is ready for use.
type sourceStates struct {
	mu sync.Mutex
	// failures holds the last failure of each source by its name.
	failures map[string]failure
	// inUse holds the name of the source that each watcher follows.
	inUse map[int]string
}

// failure is the last failure of a source.
type failure struct {
	at time.Time
	// stale is true if the source answered but had no fresh data.
	stale bool
}

func (st *sourceStates) fail(name string, f failure) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.failures == nil {
		st.failures = make(map[string]failure)
	}
	st.failures[name] = f
}

// failedSince reports whether a source has failed after a time.
func (st *sourceStates) failedSince(name string, at time.Time) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.failures[name].at.After(at)
}

func (st *sourceStates) use(index int, name string) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.inUse == nil {
		st.inUse = make(map[int]string)
	}
	st.inUse[index] = name
}

// leftAside reports whether s failed so recently that it is not read. The caller must hold mu.
func (st *sourceStates) leftAside(s NamedSource, now time.Time, age time.Duration) bool {
	f, ok := st.failures[s.Name]
	return ok && now.Sub(f.at) < f.backoff(s, age)
}

// readersLost reports whether none of the readers among sources answers. The caller must hold mu.
func (st *sourceStates) readersLost(sources []NamedSource, now time.Time) bool {
	readers := 0
	for _, s := range sources {
		if !s.IsReader {
			continue
		}
		readers++
		if f := st.failures[s.Name]; f.stale || now.Sub(f.at) >= silentBackoff {
			return false
		}
	}
	return readers > 0
}

// usedByOther reports whether another watcher than the one with the given index follows a source. The
// caller must hold mu.
func (st *sourceStates) usedByOther(index int, name string) bool {
	for other, used := range st.inUse {
		if other != index && used == name {
			return true
		}
	}
	return false
}

// backoff returns the time for which a source is left aside after f, if the VM's own copy is of the
// given age.
func (f failure) backoff(s NamedSource, age time.Duration) time.Duration {
	switch {
	case s.Backoff > 0:
		return s.Backoff
	case !f.stale && !s.IsStore:
		return silentBackoff
	case f.stale && age < takeoverTime:
		return takeoverBackoff
	default:
		return defaultBackoff
	}
}
