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

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func put(key string, rev uint64) Item {
	return Item{Key: key, Value: fmt.Append(nil, key, rev), Revision: rev}
}

func gone(key string, rev uint64) Item {
	return Item{Key: key, Revision: rev, Removed: true}
}

func TestLoadTellsWhatChanged(t *testing.T) {
	is := is.New(t)
	var c Cache
	is.Equal(len(c.Load(Batch{Items: []Item{put("a", 1), put("b", 2)}, Cursor: Cursor{Revision: 2}}, start)), 2)
	is.Equal(len(c.Load(Batch{Items: []Item{put("a", 1), put("b", 2)}, Cursor: Cursor{Revision: 2}}, start)), 0)
	is.Equal(c.Load(Batch{Items: []Item{put("a", 5)}, Cursor: Cursor{Revision: 6}}, start), []Item{put("a", 5), gone("b", 6)})
	is.Equal(len(c.Load(Batch{Items: []Item{put("a", 1), put("b", 2)}, Cursor: Cursor{Revision: 2}}, start)), 0) // older
	is.Equal(c.Revision(), uint64(6))
}

// TestSlowerSourceBringsNothingBack is the pattern of two lanes of which one lags.
func TestSlowerSourceBringsNothingBack(t *testing.T) {
	is := is.New(t)
	var c Cache
	c.Load(Batch{Items: []Item{put("a", 1)}, Cursor: Cursor{Revision: 1}}, start)
	c.Apply(Batch{Items: []Item{put("b", 2), gone("b", 3), put("a", 4)}, Cursor: Cursor{Revision: 4}}, start)
	is.Equal(len(c.Apply(Batch{Items: []Item{put("b", 2)}, Cursor: Cursor{Revision: 2}}, start)), 0)
	is.Equal(len(c.Apply(Batch{Items: []Item{put("a", 1)}, Cursor: Cursor{Revision: 2}}, start)), 0)
	is.Equal(len(c.Apply(Batch{Items: []Item{put("b", 9)}, Cursor: Cursor{Revision: 9}}, start)), 1) // written anew
}

func TestFreshOnlyRises(t *testing.T) {
	is := is.New(t)
	var c Cache
	c.Load(Batch{Cursor: Cursor{Revision: 1}}, start.Add(time.Second))
	c.Apply(Batch{Cursor: Cursor{Revision: 1}, Age: time.Minute}, start.Add(2*time.Second))
	is.Equal(c.SyncedAt(), start.Add(time.Second))
	c.Apply(Batch{Cursor: Cursor{Revision: 1}, Age: time.Second}, start.Add(5*time.Second))
	is.Equal(c.SyncedAt(), start.Add(4*time.Second))
}

func TestChangesWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var c Cache
		_, err := c.Changes(t.Context(), Cursor{}, time.Second)
		is.True(errors.Is(err, ErrNotReady))
		c.Load(Batch{Items: []Item{put("a", 1)}, Cursor: Cursor{Revision: 1}}, time.Now())
		began, mark := time.Now(), Cursor{Revision: 1, Epoch: c.epoch}
		b, err := c.Changes(t.Context(), mark, time.Second)
		is.NoErr(err)
		is.Equal(len(b.Items), 0)
		is.Equal(time.Since(began), time.Second)
		time.AfterFunc(100*time.Millisecond, func() { c.Apply(Batch{Items: []Item{put("a", 2)}, Cursor: Cursor{Revision: 2}}, time.Now()) })
		b, err = c.Changes(t.Context(), mark, time.Second)
		is.NoErr(err)
		is.Equal(b.Items, []Item{put("a", 2)})
		time.Sleep(time.Hour)
		began = time.Now()
		b, err = c.Changes(t.Context(), b.Cursor, time.Second) // stale: at once
		is.NoErr(err)
		is.True(time.Since(began) == 0 && b.Age > StaleAfter)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		c.Apply(Batch{Cursor: Cursor{Revision: 2}}, time.Now())
		_, err = c.Changes(ctx, b.Cursor, time.Second)
		is.True(errors.Is(err, context.Canceled))
	})
}

// TestKeyChangedTwiceInOneBatch is the pattern of an entry that appears and goes before the next
// watch.
func TestKeyChangedTwiceInOneBatch(t *testing.T) {
	is := is.New(t)
	var c Cache
	c.Load(Batch{Cursor: Cursor{Revision: 1}}, start)
	is.Equal(len(c.Apply(Batch{Items: []Item{put("a", 2), gone("a", 3)}, Cursor: Cursor{Revision: 3}}, start)), 2)
	is.Equal(len(c.items), 0)
}

// TestFollowersEndAtTheSameItems draws changes of a store, a reader that misses some until its
// next snapshot, and a follower of it: at the end all hold the same.
func TestFollowersEndAtTheSameItems(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := make(map[string]Item)
		var reader, follower Cache
		var rev uint64
		var after Cursor
		snapshot := func() Batch {
			b := Batch{Cursor: Cursor{Revision: rev}}
			for _, it := range store {
				b.Items = append(b.Items, it)
			}
			return b
		}
		follow := func() {
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			b, err := reader.Changes(ctx, after, time.Hour)
			if errors.Is(err, ErrCompacted) {
				if b, err = reader.Snapshot(ctx); err == nil {
					follower.Load(b, start)
				}
			} else if err == nil {
				follower.Apply(b, start)
			}
			if err == nil {
				after = b.Cursor
			}
		}
		reader.Load(Batch{Cursor: Cursor{Revision: 0}}, time.Now().Add(time.Hour))
		for range rapid.IntRange(1, 60).Draw(t, "n") {
			rev++
			key := fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "key"))
			it := put(key, rev)
			if _, ok := store[key]; ok && rapid.Bool().Draw(t, "remove") {
				it = gone(key, rev)
				delete(store, key)
			} else {
				store[key] = it
			}
			if rapid.IntRange(0, 3).Draw(t, "missed") > 0 {
				reader.Apply(Batch{Items: []Item{it}, Cursor: Cursor{Revision: rev}}, time.Now().Add(time.Hour))
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
