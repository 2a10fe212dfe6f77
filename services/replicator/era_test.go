package replicator

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// inEra returns a snapshot, or changes, of the given era up to a revision.
func inEra(era, revision uint64, items ...Item) Batch {
	b := Batch{Items: slices.Clone(items), Cursor: Cursor{Version: Version{Era: era, Revision: revision}}}
	for i := range b.Items {
		b.Items[i].Era = era
	}
	return b
}

func TestVersionOrder(t *testing.T) {
	is := is.New(t)
	list := []Version{{}, {0, 9}, {1, 2}, {1, 3}, {2, 1}, {1<<64 - 1, 0}}
	for i, a := range list {
		for j, b := range list {
			is.Equal(a.Before(b), i < j)
			is.Equal(a.After(b), i > j)
		}
	}
}

// TestSnapshotOfNewEraReplacesCopy guards against a VM that goes on with what the store lost when it came back from an
// older copy, as the revisions there are lower.
func TestSnapshotOfNewEraReplacesCopy(t *testing.T) {
	is := is.New(t)
	var c Cache
	c.Load(inEra(1, 60, putItem("kept", 3), putItem("changed", 58), putItem("lost", 59)), startTime)
	c.Apply(inEra(1, 61, removedItem("removed", 61)), startTime)
	changes := c.Load(inEra(2, 50, putItem("kept", 3), putItem("changed", 40), putItem("removed", 20)), startTime.Add(time.Second))
	is.Equal(len(changes), 3) // all but the key that is as it was
	is.Equal(c.Version(), Version{2, 50})
	is.Equal(c.SyncedAt(), startTime.Add(time.Second))
	is.Equal(c.Item("kept").Version, Version{2, 3})
	is.Equal(c.Item("changed").Version, Version{2, 40})
	is.Equal(c.Item("removed").Version, Version{2, 20}) // despite its removal at a higher revision
	is.True(c.Item("lost").Removed)

	// Revisions are given out again for other changes.
	is.Equal(len(c.Apply(inEra(2, 52, putItem("changed", 51), putItem("lost", 52)), startTime)), 2)
}

// TestLateBatchOfEarlierEra guards against a late reply, or a VM that still follows the era before, that brings back
// what the store has lost.
func TestLateBatchOfEarlierEra(t *testing.T) {
	is := is.New(t)
	var c Cache
	c.Load(inEra(2, 50, putItem("a", 40)), startTime)
	late := startTime.Add(EraFallTime - time.Millisecond)
	for _, era := range []uint64{0, 1} { // a VM that doesn't know eras sends none
		is.Equal(len(c.Load(inEra(era, 60, putItem("a", 55), putItem("b", 56)), late)), 0)
		is.Equal(len(c.Apply(inEra(era, 61, putItem("a", 61)), late)), 0)
	}
	is.Equal(c.Version(), Version{2, 50})
	is.Equal(c.SyncedAt(), startTime) // the store is not known to be at this version since
}

// TestChangesOfLaterEraNeedSnapshot guards against changes that are applied to the state of another era.
func TestChangesOfLaterEraNeedSnapshot(t *testing.T) {
	is := is.New(t)
	var c Cache
	c.Load(inEra(1, 60, putItem("a", 60)), startTime)
	is.Equal(len(c.Apply(inEra(2, 51, putItem("b", 51)), startTime)), 0)
	is.Equal(c.Version(), Version{1, 60})
}

// TestFalseEraHidesNothingForGood guards against an era that was read once by mistake and hides all that the store says
// after it.
func TestFalseEraHidesNothingForGood(t *testing.T) {
	is := is.New(t)
	var c Cache
	c.Load(inEra(1<<64-1, 60, putItem("a", 60), putItem("b", 10)), startTime)
	is.Equal(len(c.Load(inEra(3, 62, putItem("a", 61)), startTime.Add(time.Second))), 0)
	b := inEra(3, 62, putItem("a", 61))
	is.Equal(len(c.Load(b, startTime.Add(EraFallTime))), 2)
	is.Equal(c.Version(), Version{3, 62})
	is.True(c.Item("b").Removed)
	is.Equal(len(c.Apply(inEra(3, 63, putItem("b", 63)), startTime.Add(EraFallTime))), 1)
}

// TestFollowersReadSnapshotInNewEra guards against followers whose cursor, ahead of a restored copy, hides all changes
// up to it.
func TestFollowersReadSnapshotInNewEra(t *testing.T) {
	is := is.New(t)
	now := time.Now().Add(time.Hour) // never stale
	var c Cache
	c.Load(inEra(1, 60, putItem("a", 40)), now)
	b, err := c.Snapshot(t.Context())
	is.NoErr(err)
	waited := make(chan error, 1)
	go func() {
		_, err := c.Changes(context.Background(), b.Cursor, time.Minute)
		waited <- err
	}()
	c.Load(inEra(2, 50, putItem("a", 40)), now) // nothing but the era has changed
	is.True(errors.Is(<-waited, ErrCompacted))
	b, err = c.Snapshot(t.Context())
	is.NoErr(err)
	is.Equal(b.Version, Version{2, 50})
	b.Era = 0 // VMs send no era with their cursors
	c.Apply(inEra(2, 51, putItem("a", 51)), now)
	b, err = c.Changes(t.Context(), b.Cursor, time.Minute)
	is.NoErr(err)
	is.Equal(len(b.Items), 1)
	is.Equal(b.Version, Version{2, 51})
}

// drillStore is a store that can come back from a copy.
type drillStore struct {
	items map[string]Item
	Version
}

func (s *drillStore) snapshot() Batch {
	b := Batch{Cursor: Cursor{Version: s.Version}}
	for _, it := range s.items {
		it.Era = s.Era
		b.Items = append(b.Items, it)
	}
	return b
}

// TestFollowersSurviveRestores generates random changes and restores of a store, a reader, a follower of the reader
// and late snapshots. At the end both must hold what the store holds.
func TestFollowersSurviveRestores(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drillStore{items: make(map[string]Item), Version: Version{Era: 1}}
		copies := []drillStore{{items: map[string]Item{}}}
		late := []Batch{s.snapshot()}
		var reader, follower Cache
		var after Cursor
		// The store answers at once, so the copies are never stale and each batch is as old as the next.
		now := time.Now().Add(time.Hour)
		follow := func() { after = readOnce(&reader, &follower, after, now) }
		for range rapid.IntRange(1, 60).Draw(t, "n") {
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				copies = append(copies, drillStore{maps.Clone(s.items), s.Version})
			case 1:
				c := copies[rapid.IntRange(0, len(copies)-1).Draw(t, "copy")]
				s.items, s.Revision = maps.Clone(c.items), c.Revision
				s.Era++
			case 2:
				reader.Load(s.snapshot(), now)
			case 3:
				late = append(late, s.snapshot())
			case 4:
				b := late[rapid.IntRange(0, len(late)-1).Draw(t, "late")]
				reader.Load(b, now)
				follower.Load(b, now)
			case 5, 6:
				follow()
			default:
				s.Revision++
				it := putItem(fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "key")), s.Revision)
				it.Era = s.Era
				// Other values at the revisions that are given out again.
				it.Value = fmt.Append(it.Value, " era ", s.Era)
				if _, ok := s.items[it.Key]; ok && rapid.Bool().Draw(t, "remove") {
					it.Value, it.Removed = nil, true
					delete(s.items, it.Key)
				} else {
					s.items[it.Key] = it
				}
				if rapid.Bool().Draw(t, "watched") && reader.Version() == (Version{s.Era, s.Revision - 1}) {
					reader.Apply(Batch{Items: []Item{it}, Cursor: Cursor{Version: s.Version}}, now)
				}
			}
		}
		reader.Load(s.snapshot(), now)
		follow()
		for _, c := range []*Cache{&reader, &follower} {
			if len(c.items) != len(s.items) {
				t.Fatalf("%d items, the store has %d", len(c.items), len(s.items))
			}
			for key, it := range s.items {
				if got := c.items[key]; got.Revision != it.Revision || string(got.Value) != string(it.Value) {
					t.Fatalf("%s is %q at %v, in the store %q at %v", key, got.Value, got.Version, it.Value, it.Version)
				}
			}
		}
	})
}
