// Package replicator keeps a copy of a key-value store in memory and lets other VMs follow this
// copy by snapshots and watches.
package replicator

import (
	"bytes"
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

var (
	// ErrCompacted is returned if the requested changes are no longer in the history; the caller
	// must read a snapshot.
	ErrCompacted = errors.New("history compacted")
	// ErrNotReady is returned if the copy has no snapshot yet.
	ErrNotReady = errors.New("copy not ready")
)

// Item is the state of one key.
type Item struct {
	Key   string
	Value []byte
	// Version is that of the last change of the key.
	Version
	// Removed is true if the key was deleted at Version.
	Removed bool
}

// Cursor is a position in the change history of one source.
type Cursor struct {
	// Version is that up to which all changes are known.
	Version
	// Epoch changes if a source finds changes at earlier versions that it had missed, or moves to another
	// era. It is always 0 for the store itself.
	Epoch uint64
}

// Batch is a snapshot of a source, or the changes up to a cursor. All versions in it are of one era.
type Batch struct {
	Items []Item
	Cursor
	// Age is the time since the store itself was last known to be at Version.
	Age time.Duration
	// StableFor is the time since the store answered again after it had not answered a VM that read it;
	// 0 if no such time is known.
	StableFor time.Duration
}

// Source is the store or a VM that follows it.
type Source interface {
	// Snapshot returns all items that exist.
	Snapshot(ctx context.Context) (Batch, error)
	// Changes returns the changes after a cursor. It returns as soon as there are any, and without
	// items after wait. Errors match ErrCompacted if the cursor is too old.
	Changes(ctx context.Context, after Cursor, wait time.Duration) (Batch, error)
}

// StaleAfter is the age above which a copy may have missed a change that must be in force within
// three seconds. A healthy copy of another VM's copy is at most 1.5 seconds old.
const StaleAfter = 2 * time.Second

// maxHistory is the maximum number of changes kept for followers, and maxHistoryBytes that of the
// bytes of their values.
const (
	maxHistory      = 2048
	maxHistoryBytes = 8 << 20
)

// maxRemoved is the maximum number of removed keys that are remembered.
const maxRemoved = 8192

// EraFallTime is the time by which what is known of a lower era must be fresher than what is known of the higher one to
// replace it. It is longer than any read of the store and any time for which a VM with a stale copy is followed, so
// that a late reply never does. Eras fall only by mistake, which must not hide the data of the store for good.
const EraFallTime = 5 * time.Second

// Cache is a copy of the store. The zero value is ready for use and safe for concurrent use.
type Cache struct {
	mu sync.Mutex
	// items holds the last known state of each key that exists. It is nil before the first
	// snapshot. All items are of the era of version.
	items map[string]Item
	// removed holds the version at which each key was removed, so that older changes from a slower
	// source do not restore a key. It is bounded by maxRemoved.
	removed map[string]Version
	// version is that up to which items are complete. It decreases only if the store goes on to report a
	// lower era.
	version Version
	// syncedAt is the last time at which the store was known to be at version.
	syncedAt time.Time
	// stableSince is the last known time at which the store answered again after a failure; zero if none
	// is known.
	stableSince time.Time
	// history holds the last changes by ascending version. All changes after compacted are in it.
	history   []Item
	compacted Version
	// epoch starts at a random value, so that it differs after a restart of the process.
	epoch uint64
	// changed is closed at the next change. It is nil while nobody waits.
	changed chan struct{}
}

// Load applies a snapshot and returns the changes that it makes. A snapshot that is older than the
// copy is ignored; one of another era replaces it.
func (c *Cache) Load(b Batch, now time.Time) []Item {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.items != nil && b.Version.Before(c.version) && !c.hasFallen(b, now) {
		return nil
	}
	if c.items == nil {
		c.items, c.removed = make(map[string]Item), make(map[string]Version)
		c.epoch = rand.Uint64()
	}
	otherEra := b.Era != c.version.Era
	if otherEra {
		// Nothing that is known of the versions of another era says which changes are new.
		clear(c.removed)
		c.version, c.syncedAt = b.Version, now.Add(-b.Age)
	}
	var changes []Item
	seen := make(map[string]bool, len(b.Items))
	for _, it := range b.Items {
		seen[it.Key] = true
		old, ok := c.items[it.Key]
		switch {
		case !ok, !otherEra && old.Version.Before(it.Version):
			changes = append(changes, it)
		case otherEra && (old.Revision != it.Revision || !bytes.Equal(old.Value, it.Value)):
			changes = append(changes, it)
		case otherEra:
			c.items[it.Key] = it
		}
	}
	for key, old := range c.items {
		if !seen[key] && (otherEra || !old.Version.After(b.Version)) {
			changes = append(changes, Item{Key: key, Version: b.Version, Removed: true})
		}
	}
	for _, it := range changes {
		c.setItem(it)
	}
	c.recordChanges(changes, b, now)
	if len(changes) > 0 || otherEra {
		// The changes may have lower versions than the cursors of followers, so followers must
		// read a snapshot.
		c.history, c.compacted = nil, c.version
		c.epoch++
		c.wakeFollowers()
	}
	return changes
}

// hasFallen reports whether the store has gone on to report the lower era of b since it last reported that of the
// copy. It must be called with the lock held.
func (c *Cache) hasFallen(b Batch, now time.Time) bool {
	return b.Era < c.version.Era && now.Add(-b.Age).Sub(c.syncedAt) >= EraFallTime
}

// Apply applies changes and returns those that are new. It does nothing before the first snapshot, and with
// changes of another era, which follow from another state than that of the copy.
func (c *Cache) Apply(b Batch, now time.Time) []Item {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.items == nil || b.Era != c.version.Era {
		return nil
	}
	var changes []Item
	for _, it := range b.Items {
		old, ok := c.items[it.Key]
		if (ok && old.Version.Before(it.Version)) || (!ok && !it.Removed && c.removed[it.Key].Before(it.Version)) {
			changes = append(changes, it)
			// Set the item now, since a batch may hold several changes of one key.
			c.setItem(it)
		}
	}
	c.recordChanges(changes, b, now)
	return changes
}

// setItem applies one change to items and removed. It must be called with the lock held.
func (c *Cache) setItem(it Item) {
	if !it.Removed {
		c.items[it.Key] = it
		return
	}
	delete(c.items, it.Key)
	if len(c.removed) >= maxRemoved {
		clear(c.removed)
	}
	c.removed[it.Key] = it.Version
}

// recordChanges adds changes to the history, advances version and syncedAt, and wakes the waiting
// followers. It must be called with the lock held.
func (c *Cache) recordChanges(changes []Item, b Batch, now time.Time) {
	slices.SortStableFunc(changes, func(a, b Item) int { return a.Version.Compare(b.Version) })
	c.history = append(c.history, changes...)
	if n := excessHistory(c.history); n > 0 {
		c.compacted = latest(c.compacted, c.history[n-1].Version)
		c.history = slices.Delete(c.history, 0, n)
	}
	c.version = latest(c.version, b.Version)
	if at := now.Add(-b.Age); at.After(c.syncedAt) {
		c.syncedAt = at
	}
	if at := now.Add(-b.StableFor); b.StableFor > 0 && at.After(c.stableSince) {
		c.stableSince = at
	}
	if len(changes) > 0 {
		c.wakeFollowers()
	}
}

// wakeFollowers ends the wait of all followers. It must be called with the lock held.
func (c *Cache) wakeFollowers() {
	if c.changed != nil {
		close(c.changed)
		c.changed = nil
	}
}

// latest returns the later one of two versions.
func latest(a, b Version) Version {
	if a.Before(b) {
		return b
	}
	return a
}

// excessHistory returns the number of changes at the start of history that exceed its bounds.
func excessHistory(history []Item) int {
	size := 0
	for i := len(history) - 1; i >= 0; i-- {
		if size += len(history[i].Value); size > maxHistoryBytes || len(history)-i > maxHistory {
			return i + 1
		}
	}
	return 0
}

// Revision returns the revision up to which the copy is complete; 0 before the first snapshot.
func (c *Cache) Revision() uint64 {
	return c.Version().Revision
}

// Version returns the version up to which the copy is complete; zero before the first snapshot.
func (c *Cache) Version() Version {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.version
}

// Removed returns the keys that are known to have been removed.
func (c *Cache) Removed() map[string]bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[string]bool, len(c.removed))
	for key := range c.removed {
		if _, ok := c.items[key]; !ok {
			out[key] = true
		}
	}
	return out
}

// Item returns the state of a key. The item of a key that doesn't exist is removed at the version of the copy.
func (c *Cache) Item(key string) Item {
	c.mu.Lock()
	defer c.mu.Unlock()
	if it, ok := c.items[key]; ok {
		return it
	}
	return Item{Key: key, Version: c.version, Removed: true}
}

// SyncedAt returns the time at which the store was last known to be at the copy's version; zero
// before the first snapshot.
func (c *Cache) SyncedAt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.syncedAt
}

// StableSince returns the last known time at which the store answered again after a failure; zero if none
// is known.
func (c *Cache) StableSince() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stableSince
}

// stableFor returns the StableFor of a Batch. It must be called with the lock held.
func (c *Cache) stableFor() time.Duration {
	if c.stableSince.IsZero() {
		return 0
	}
	return max(time.Since(c.stableSince), 1)
}

// Snapshot implements Source.
func (c *Cache) Snapshot(context.Context) (Batch, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.items == nil {
		return Batch{}, ErrNotReady
	}
	b := Batch{Cursor: Cursor{c.version, c.epoch}, Age: time.Since(c.syncedAt), StableFor: c.stableFor()}
	for _, it := range c.items {
		b.Items = append(b.Items, it)
	}
	return b, nil
}

// Changes implements Source. A stale copy answers at once, so that its followers switch to another
// source.
func (c *Cache) Changes(ctx context.Context, after Cursor, wait time.Duration) (Batch, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		b, changed, err := c.changesSince(after)
		if err != nil || len(b.Items) > 0 || b.Age > StaleAfter {
			return b, err
		}
		select {
		case <-changed:
		case <-timer.C:
			b, _, err := c.changesSince(after)
			return b, err
		case <-ctx.Done():
			return Batch{}, ctx.Err()
		}
	}
}

// changesSince returns the changes after a cursor and a channel that is closed at the next change.
func (c *Cache) changesSince(after Cursor) (Batch, chan struct{}, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	// A cursor of this epoch is of the copy's era. VMs don't send the eras of their cursors.
	after.Era = c.version.Era
	switch {
	case c.items == nil:
		return Batch{}, nil, ErrNotReady
	case after.Epoch != c.epoch, after.Version.Before(c.compacted):
		return Batch{}, nil, ErrCompacted
	}
	if c.changed == nil {
		c.changed = make(chan struct{})
	}
	// The cursor of a follower that is ahead of this copy must not go back.
	b := Batch{Cursor: Cursor{latest(c.version, after.Version), c.epoch}, Age: time.Since(c.syncedAt), StableFor: c.stableFor()}
	for _, it := range c.history {
		if it.Version.After(after.Version) {
			b.Items = append(b.Items, it)
		}
	}
	return b, c.changed, nil
}
