// Package replicator keeps a copy of a key-value store on a VM, and lets other VMs follow it.
package replicator

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

var (
	// ErrCompacted says that the changes asked for are no longer known; a snapshot is needed.
	ErrCompacted = errors.New("history compacted")
	// ErrNotReady says that the copy holds nothing yet.
	ErrNotReady = errors.New("copy not ready")
)

// Item is the state of one key.
type Item struct {
	Key   string
	Value []byte
	// Revision is that of the last change of the key.
	Revision uint64
	// Removed is true when the key holds no value since Revision.
	Removed bool
}

// Cursor is a place in the changes of one source.
type Cursor struct {
	// Revision is the one up to which all changes are known.
	Revision uint64
	// Epoch changes when a source finds changes that it had missed at earlier revisions; it is
	// always 0 for the store itself.
	Epoch uint64
}

// Batch is what a source knows up to a mark.
type Batch struct {
	Items []Item
	Cursor
	// Age is the time since the store itself was last heard to be at Revision.
	Age time.Duration
}

// Source is the store, or a VM that follows it.
type Source interface {
	// Snapshot returns all items.
	Snapshot(ctx context.Context) (Batch, error)
	// Changes returns what changed after a mark, as soon as there is anything or wait has
	// passed. Errors match ErrCompacted when the mark is too old.
	Changes(ctx context.Context, after Cursor, wait time.Duration) (Batch, error)
}

// StaleAfter is the age above which a copy may have missed a change that should be in force
// within three seconds. A healthy copy of a copy is at most a second and a half old.
const StaleAfter = 2 * time.Second

// defaultHistory is the number of changes kept for followers.
const defaultHistory = 2048

// maxRemoved is the number of removals remembered.
const maxRemoved = 8192

// Cache is a copy of the store. The zero value is ready for use.
type Cache struct {
	mu sync.Mutex
	// items holds the last known state of each key, removed ones left out.
	items map[string]Item
	// removed holds the revisions of removals, so that a slower source does not bring a key
	// back. It is bounded by maxRemoved.
	removed map[string]uint64
	// revision is the one up to which items are whole; it never falls.
	revision uint64
	// fresh is the time at which the store was known to be at revision.
	fresh time.Time
	// history holds the last changes in the order of their revisions, all of them after
	// compacted.
	history   []Item
	compacted uint64
	// epoch is random at first, so that it differs between starts of the process.
	epoch uint64
	// changed is closed and replaced at each change.
	changed chan struct{}
}

// Load takes in a snapshot and returns what it changes. A snapshot that is older than the
// copy changes nothing.
func (c *Cache) Load(b Batch, now time.Time) []Item {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.items != nil && b.Revision < c.revision {
		return nil
	}
	if c.items == nil {
		c.items, c.removed = make(map[string]Item), make(map[string]uint64)
		c.epoch = rand.Uint64()
	}
	var changes []Item
	seen := make(map[string]bool, len(b.Items))
	for _, it := range b.Items {
		seen[it.Key] = true
		if old, ok := c.items[it.Key]; !ok || old.Revision < it.Revision {
			changes = append(changes, it)
		}
	}
	for key, old := range c.items {
		if !seen[key] && old.Revision <= b.Revision {
			changes = append(changes, Item{Key: key, Revision: b.Revision, Removed: true})
		}
	}
	for _, it := range changes {
		c.set(it)
	}
	c.take(changes, b, now)
	if len(changes) > 0 {
		// The changes may be older than what followers have seen; they read a snapshot.
		c.history, c.compacted = nil, c.revision
		c.epoch++
	}
	return changes
}

// Apply takes in changes after the copy's revision and returns those that are new.
func (c *Cache) Apply(b Batch, now time.Time) []Item {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.items == nil {
		return nil
	}
	var changes []Item
	for _, it := range b.Items {
		old, ok := c.items[it.Key]
		if (ok && old.Revision < it.Revision) || (!ok && !it.Removed && c.removed[it.Key] < it.Revision) {
			changes = append(changes, it)
			// A batch may hold several changes of one key.
			c.set(it)
		}
	}
	c.take(changes, b, now)
	return changes
}

// set needs the lock.
func (c *Cache) set(it Item) {
	if !it.Removed {
		c.items[it.Key] = it
		return
	}
	delete(c.items, it.Key)
	if len(c.removed) >= maxRemoved {
		clear(c.removed)
	}
	c.removed[it.Key] = it.Revision
}

// take needs the lock.
func (c *Cache) take(changes []Item, b Batch, now time.Time) {
	slices.SortStableFunc(changes, func(a, b Item) int { return int(int64(a.Revision) - int64(b.Revision)) })
	c.history = append(c.history, changes...)
	if n := len(c.history) - defaultHistory; n > 0 {
		c.compacted = max(c.compacted, c.history[n-1].Revision)
		c.history = slices.Delete(c.history, 0, n)
	}
	c.revision = max(c.revision, b.Revision)
	if at := now.Add(-b.Age); at.After(c.fresh) {
		c.fresh = at
	}
	if len(changes) > 0 && c.changed != nil {
		close(c.changed)
		c.changed = nil
	}
}

// Revision is the one up to which the copy is whole; 0 before the first snapshot.
func (c *Cache) Revision() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.revision
}

// SyncedAt is the time at which the store was last known to be at the copy's revision; zero
// before the first snapshot.
func (c *Cache) SyncedAt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.fresh
}

// Snapshot implements Source.
func (c *Cache) Snapshot(context.Context) (Batch, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.items == nil {
		return Batch{}, ErrNotReady
	}
	b := Batch{Cursor: Cursor{c.revision, c.epoch}, Age: time.Since(c.fresh)}
	for _, it := range c.items {
		b.Items = append(b.Items, it)
	}
	return b, nil
}

// Changes implements Source. A stale copy answers at once, so that its followers look for
// another one.
func (c *Cache) Changes(ctx context.Context, after Cursor, wait time.Duration) (Batch, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		b, changed, err := c.since(after)
		if err != nil || len(b.Items) > 0 || b.Age > StaleAfter {
			return b, err
		}
		select {
		case <-changed:
		case <-timer.C:
			b, _, err := c.since(after)
			return b, err
		case <-ctx.Done():
			return Batch{}, ctx.Err()
		}
	}
}

// since returns the changes after a mark, and a channel that is closed at the next one.
func (c *Cache) since(after Cursor) (Batch, chan struct{}, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.items == nil:
		return Batch{}, nil, ErrNotReady
	case after.Epoch != c.epoch, after.Revision < c.compacted:
		return Batch{}, nil, ErrCompacted
	}
	if c.changed == nil {
		c.changed = make(chan struct{})
	}
	// A follower ahead of this copy must not be led back.
	b := Batch{Cursor: Cursor{max(c.revision, after.Revision), c.epoch}, Age: time.Since(c.fresh)}
	for _, it := range c.history {
		if it.Revision > after.Revision {
			b.Items = append(b.Items, it)
		}
	}
	return b, c.changed, nil
}
