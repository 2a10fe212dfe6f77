package follower

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/ebonylock/ebonylock/modules/registrar"
	"github.com/ebonylock/ebonylock/services/replicator"
)

// bornDecoder decodes entries like "r3": ready or draining, with the start.
type bornDecoder struct{ testDecoder }

func (bornDecoder) Replica(id string, value []byte) (registrar.Replica, error) {
	r, err := testDecoder{}.Replica(id, []byte("dc-1"))
	r.Draining, r.StartedAt = value[0] == 'd', time.Unix(int64(value[1]-'0'), 0)
	return r, err
}

// restoredBatch returns a snapshot of the era after that of the other batches of these tests.
func restoredBatch(rev uint64, items ...replicator.Item) replicator.Batch {
	b := batch(rev, items...)
	b.Era = 1
	for i := range b.Items {
		b.Items[i].Era = 1
	}
	return b
}

// TestRestoredStoreKeepsOperatorsWord guards against a data centre that is filled, or emptied, against the operator's
// last word, since the store came back from a copy that lacks it; and against one that stays so for good.
func TestRestoredStoreKeepsOperatorsWord(t *testing.T) {
	for _, out := range []bool{true, false} {
		for _, rewritten := range []bool{true, false} {
			t.Run(fmt.Sprint("evacuated ", out, ", written again ", rewritten), func(t *testing.T) {
				is := is.New(t)
				f, now := New(testDecoder{}, discardLogger()), time.Now()
				usable := func(d time.Duration) bool {
					f.expire(now.Add(d))
					return len(f.State().View.Services["s"]) > 0
				}
				entries := func() []replicator.Item {
					return []replicator.Item{item("config", "4", 1), item("replica/a", "dc-1", 2)}
				}
				evacuated := append(entries(), item("out/dc-1", "{}", 3))
				before, copied := entries(), evacuated
				if out {
					before, copied = evacuated, entries()
				}
				f.Load(batch(60, before...), now)
				f.Load(restoredBatch(50, copied...), now)
				is.Equal(usable(2*time.Second), !out)
				if rewritten {
					value := ""
					if out {
						value = "{}"
					}
					f.Apply(restoredBatch(51, item("out/dc-1", value, 51)), now.Add(2*time.Second))
				}
				is.Equal(usable(3*time.Second), out != rewritten)
				is.Equal(usable(time.Minute), out != rewritten)
			})
		}
	}
}

// TestSecondReturnKeepsDeferredChanges guards against an evacuation that never counts, since the store came back a second
// time, with the same word, while the change was deferred.
func TestSecondReturnKeepsDeferredChanges(t *testing.T) {
	is := is.New(t)
	f, now := New(testDecoder{}, discardLogger()), time.Now()
	entries := []replicator.Item{item("config", "4", 1), item("replica/a", "dc-1", 2)}
	f.Load(batch(60, entries...), now)
	evacuated := append(entries, item("out/dc-1", "{}", 3))
	f.Load(restoredBatch(50, evacuated...), now)
	again := restoredBatch(50, evacuated...)
	again.Era = 2
	for i := range again.Items {
		again.Items[i].Era = 2
	}
	f.Load(again, now.Add(time.Second))
	is.Equal(len(f.State().View.Services["s"]), 1)
	f.expire(now.Add(2 * rewriteTime))
	is.Equal(len(f.State().View.Services["s"]), 0)
}

// TestRestoredEntriesOfLeftServers guards against requests to a server that had left or was draining, whose entry is back
// in the copy from which the store has come back; and against a server that gets none for good.
func TestRestoredEntriesOfLeftServers(t *testing.T) {
	is := is.New(t)
	f, now := New(bornDecoder{}, discardLogger()), time.Now()
	usable := func(d time.Duration) (ids string) {
		f.expire(now.Add(d))
		for _, r := range f.State().View.Services["s"] {
			if !r.Missing {
				ids += r.ID
			}
		}
		return ids
	}
	list := []replicator.Item{item("config", "4", 1)}
	for i, id := range []string{"a", "b", "c", "d", "e"} {
		list = append(list, item("replica/"+id, "r1", uint64(2+i)))
	}
	f.Load(batch(40, list...), now)
	f.Apply(batch(60, item("replica/a", "d1", 51), item("replica/b", "", 52), item("replica/c", "", 53), item("replica/d", "d1", 54), item("replica/f", "r1", 55)), now)
	is.Equal(usable(0), "ef")

	f.Load(restoredBatch(40, list...), now)
	is.Equal(usable(time.Second), "e") // f is missing, until it writes its entry again
	f.Apply(restoredBatch(43, item("replica/f", "r1", 41), item("replica/b", "r2", 42), item("replica/d", "r2", 43)), now.Add(time.Second))
	is.Equal(usable(3*time.Second), "bdef") // b and d have started again under their IDs
	f.Apply(restoredBatch(44, item("replica/a", "", 44)), now.Add(3*time.Second))
	is.Equal(usable(silenceTime), "bcdef") // the store still has the entry of c, so it isn't silent
}
