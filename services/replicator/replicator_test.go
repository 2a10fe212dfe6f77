package replicator

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func putItem(key string, rev uint64) Item {
	return Item{Key: key, Value: fmt.Append(nil, key, rev), Version: Version{Revision: rev}}
}

// at returns the cursor at a revision of a store that tells no era.
func at(rev uint64) Cursor {
	return Cursor{Version: Version{Revision: rev}}
}

func removedItem(key string, rev uint64) Item {
	return Item{Key: key, Version: Version{Revision: rev}, Removed: true}
}

func TestLoadTellsWhatChanged(t *testing.T) {
	is := is.New(t)
	var c Cache
	is.Equal(len(c.Load(Batch{Items: []Item{putItem("a", 1), putItem("b", 2)}, Cursor: at(2)}, startTime)), 2)
	is.Equal(len(c.Load(Batch{Items: []Item{putItem("a", 1), putItem("b", 2)}, Cursor: at(2)}, startTime)), 0)
	is.Equal(c.Load(Batch{Items: []Item{putItem("a", 5)}, Cursor: at(6)}, startTime), []Item{putItem("a", 5), removedItem("b", 6)})
	is.Equal(len(c.Load(Batch{Items: []Item{putItem("a", 1), putItem("b", 2)}, Cursor: at(2)}, startTime)), 0) // older snapshot
	is.Equal(c.Revision(), uint64(6))
}

// TestSlowerSourceBringsNothingBack guards against outdated changes when two sources are followed
// and one of them lags. Its late batch must not restore a removed key or an old value.
func TestSlowerSourceBringsNothingBack(t *testing.T) {
	is := is.New(t)
	var c Cache
	c.Load(Batch{Items: []Item{putItem("a", 1)}, Cursor: at(1)}, startTime)
	c.Apply(Batch{Items: []Item{putItem("b", 2), removedItem("b", 3), putItem("a", 4)}, Cursor: at(4)}, startTime)
	is.Equal(len(c.Apply(Batch{Items: []Item{putItem("b", 2)}, Cursor: at(2)}, startTime)), 0)
	is.Equal(len(c.Apply(Batch{Items: []Item{putItem("a", 1)}, Cursor: at(2)}, startTime)), 0)
	is.Equal(len(c.Apply(Batch{Items: []Item{putItem("b", 9)}, Cursor: at(9)}, startTime)), 1) // written again after the removal
}

func TestFreshOnlyRises(t *testing.T) {
	is := is.New(t)
	var c Cache
	c.Load(Batch{Cursor: at(1)}, startTime.Add(time.Second))
	c.Apply(Batch{Cursor: at(1), Age: time.Minute}, startTime.Add(2*time.Second))
	is.Equal(c.SyncedAt(), startTime.Add(time.Second))
	c.Apply(Batch{Cursor: at(1), Age: time.Second}, startTime.Add(5*time.Second))
	is.Equal(c.SyncedAt(), startTime.Add(4*time.Second))
}

func TestChangesWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var c Cache
		_, err := c.Changes(t.Context(), Cursor{}, time.Second)
		is.True(errors.Is(err, ErrNotReady))
		c.Load(Batch{Items: []Item{putItem("a", 1)}, Cursor: at(1)}, time.Now())
		began, cursor := time.Now(), Cursor{Version: Version{Revision: 1}, Epoch: c.epoch}
		b, err := c.Changes(t.Context(), cursor, time.Second)
		is.NoErr(err)
		is.Equal(len(b.Items), 0)
		is.Equal(time.Since(began), time.Second)
		time.AfterFunc(100*time.Millisecond, func() { c.Apply(Batch{Items: []Item{putItem("a", 2)}, Cursor: at(2)}, time.Now()) })
		b, err = c.Changes(t.Context(), cursor, time.Second)
		is.NoErr(err)
		is.Equal(b.Items, []Item{putItem("a", 2)})
		time.Sleep(time.Hour)
		began = time.Now()
		b, err = c.Changes(t.Context(), b.Cursor, time.Second) // a stale copy answers at once
		is.NoErr(err)
		is.True(time.Since(began) == 0 && b.Age > StaleAfter)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		c.Apply(Batch{Cursor: at(2)}, time.Now())
		_, err = c.Changes(ctx, b.Cursor, time.Second)
		is.True(errors.Is(err, context.Canceled))
	})
}

// TestKeyChangedTwiceInOneBatch guards against a wrong end state if an entry is added and removed
// between two watches.
func TestKeyChangedTwiceInOneBatch(t *testing.T) {
	is := is.New(t)
	var c Cache
	c.Load(Batch{Cursor: at(1)}, startTime)
	is.Equal(len(c.Apply(Batch{Items: []Item{putItem("a", 2), removedItem("a", 3)}, Cursor: at(3)}, startTime)), 2)
	is.Equal(len(c.items), 0)
}

// TestLargeHistoryIsForgotten guards against a VM that runs out of memory because large values, such as
// configurations, change often. Followers that are too far behind must read a snapshot.
func TestLargeHistoryIsForgotten(t *testing.T) {
	is := is.New(t)
	var c Cache
	c.Load(Batch{Cursor: at(1)}, time.Now().Add(time.Hour))
	size := 0
	for rev := uint64(2); rev < 200; rev++ {
		it := Item{Key: "config", Value: make([]byte, 1<<20), Version: Version{Revision: rev}}
		c.Apply(Batch{Items: []Item{it}, Cursor: at(rev)}, time.Now().Add(time.Hour))
	}
	for _, it := range c.history {
		size += len(it.Value)
	}
	is.True(size > 0 && size <= maxHistoryBytes)
	_, err := c.Changes(t.Context(), Cursor{Version: Version{Revision: 2}, Epoch: c.epoch}, time.Second)
	is.True(errors.Is(err, ErrCompacted))
	b, err := c.Changes(t.Context(), Cursor{Version: Version{Revision: 197}, Epoch: c.epoch}, time.Second)
	is.NoErr(err)
	is.Equal(len(b.Items), 2)
}

// readOnce makes a follower read what there is at its source after a cursor, and returns its next cursor.
func readOnce(source, follower *Cache, after Cursor, now time.Time) Cursor {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	b, err := source.Changes(ctx, after, time.Hour)
	if errors.Is(err, ErrCompacted) {
		if b, err = source.Snapshot(ctx); err == nil {
			follower.Load(b, now)
		}
	} else if err == nil {
		follower.Apply(b, now)
	}
	if err != nil {
		return after
	}
	return b.Cursor
}

// TestFollowersEndAtTheSameItems generates random changes of a store, a reader that misses some of
// them until its next snapshot, and a follower of the reader. At the end all three must hold the
// same items.
func TestFollowersEndAtTheSameItems(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := make(map[string]Item)
		var reader, follower Cache
		var rev uint64
		var after Cursor
		snapshot := func() Batch {
			b := Batch{Cursor: at(rev)}
			for _, it := range store {
				b.Items = append(b.Items, it)
			}
			return b
		}
		follow := func() { after = readOnce(&reader, &follower, after, startTime) }
		reader.Load(Batch{Cursor: at(0)}, time.Now().Add(time.Hour))
		for range rapid.IntRange(1, 60).Draw(t, "n") {
			rev++
			key := fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "key"))
			it := putItem(key, rev)
			if _, ok := store[key]; ok && rapid.Bool().Draw(t, "remove") {
				it = removedItem(key, rev)
				delete(store, key)
			} else {
				store[key] = it
			}
			if rapid.IntRange(0, 3).Draw(t, "missed") > 0 {
				reader.Apply(Batch{Items: []Item{it}, Cursor: at(rev)}, time.Now().Add(time.Hour))
			}
			if rapid.IntRange(0, 9).Draw(t, "snapshot") == 0 {
				reader.Load(snapshot(), time.Now().Add(time.Hour))
			}
			if rapid.Bool().Draw(t, "follow") {
				follow()
			}
		}
		reader.Load(snapshot(), time.Now().Add(time.Hour))
		follow()
		for _, c := range []*Cache{&reader, &follower} {
			if len(c.items) != len(store) {
				t.Fatalf("%d items, the store has %d", len(c.items), len(store))
			}
			for key, it := range store {
				if c.items[key].Revision != it.Revision {
					t.Fatalf("%s at %d, the store is at %d", key, c.items[key].Revision, it.Revision)
				}
			}
		}
	})
}
