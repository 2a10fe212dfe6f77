// Package recorder writes records to the store that all VMs share. Each has a key of its own and is written
// only over the version that the VM knows.
package recorder

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/ebonylock/ebonylock/services/replicator"
)

// ErrConflict is returned if another VM has written the record since the expected revision.
var ErrConflict = errors.New("record was written by another VM")

// Writer writes keys of the store.
type Writer interface {
	// Put writes a key if its current revision is expect, where 0 stands for a key that does not
	// exist, and returns the version of the write. If the revision is another one, errors match
	// ErrConflict.
	Put(ctx context.Context, key string, value []byte, expect uint64) (replicator.Version, error)
}

// Recorder writes one record. It is ready for use once its exported fields are set, and safe for concurrent use.
type Recorder struct {
	Store Writer
	Key   string

	mu sync.Mutex
	// revision is that of the key in the store; 0 if it does not exist.
	revision uint64
	// observed is the last version of the store at which revision is known, and learned the time at which it
	// became known.
	observed replicator.Version
	learned  time.Time
}

// Observe notes the state of the key at its version, as the copy of the store has it. It returns false if that is
// known already, or older than what is known. A state of a lower era is older for replicator.EraFallTime.
func (r *Recorder) Observe(it replicator.Item) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	var revision uint64
	if !it.Removed {
		revision = it.Revision
	}
	known := r.observed != replicator.Version{} && it.Era == r.observed.Era && revision == r.revision
	late := it.Version.Before(r.observed) && (it.Era == r.observed.Era || time.Since(r.learned) < replicator.EraFallTime)
	if late || known {
		return false
	}
	r.revision, r.observed, r.learned = revision, it.Version, time.Now()
	return true
}

// Write writes the record over its last known revision and returns the new version. Errors match ErrConflict also if
// another VM is known to have written the record after that.
func (r *Recorder) Write(ctx context.Context, value []byte) (replicator.Version, error) {
	r.mu.Lock()
	expect := r.revision
	r.mu.Unlock()
	v, err := r.Store.Put(ctx, r.Key, value, expect)
	if err != nil {
		return v, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if v.Before(r.observed) {
		return v, ErrConflict
	}
	r.revision, r.observed, r.learned = v.Revision, v, time.Now()
	return v, nil
}
