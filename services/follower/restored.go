package follower

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/ebonylock/ebonylock/modules/registrar"
	"github.com/ebonylock/ebonylock/services/replicator"
)

const (
	// rewriteTime is the time after the store has come back from an older copy within which the operator and the
	// backend servers write again what it lost.
	rewriteTime = 2100 * time.Millisecond
	// silenceTime is the time after which the store has removed the entry of a backend server that is silent, since it
	// has come back with it.
	silenceTime = 4 * time.Second
)

// deferral is a change that counts from a time on.
type deferral struct {
	item replicator.Item
	from time.Time
}

// applyRestored applies the changes that make the view that of a store which came back from an older copy at restoredAt.
// gone holds the keys that had been removed before. The copy may contradict what was written after it was made, so the
// later word counts for a time: evacuations stay as they are, and a server that was draining or gone gets no requests.
// It must be called with the lock held.
func (f *Follower) applyRestored(changes []replicator.Item, gone map[string]bool, restoredAt, now time.Time) {
	if f.deferred == nil {
		// What is deferred since an earlier return still counts then, if this one doesn't change it.
		f.deferred = make(map[string]deferral)
	}
	for _, it := range changes {
		kind, name := f.decoder.ParseKey(it.Key)
		switch {
		case kind == EvacuationKey:
			f.deferred[it.Key] = deferral{it, now.Add(rewriteTime)}
		case kind == ReplicaKey && !it.Removed && gone[it.Key]:
			f.deferred[it.Key] = deferral{it, now.Add(silenceTime)}
		case kind == ReplicaKey && !it.Removed:
			known, ok := f.registry.Get(name)
			f.applyItem(it, restoredAt)
			if restored, found := f.registry.Get(name); ok && found {
				f.registry.Put(keepLaterWord(known, restored))
			}
		default:
			f.applyItem(it, restoredAt)
		}
	}
	f.log.WithFields(logrus.Fields{"event": "store-era-deferred", "changes": len(f.deferred)}).Info("changes of the older copy that contradict later ones are deferred")
}

// keepLaterWord returns the restored entry of a server with what its known one says of the same start.
func keepLaterWord(known, restored registrar.Replica) registrar.Replica {
	if !known.StartedAt.Equal(restored.StartedAt) {
		return restored
	}
	restored.Draining = restored.Draining || known.Draining
	if known.ColdUntil.After(restored.ColdUntil) {
		restored.ColdUntil = known.ColdUntil
	}
	return restored
}

// applyDeferred applies the deferred changes that count by now, and reports whether there were any. It must be called
// with the lock held.
func (f *Follower) applyDeferred(now time.Time) bool {
	applied := false
	for _, d := range f.deferred {
		if !now.Before(d.from) {
			applied = true
			f.applyItem(d.item, d.from)
		}
	}
	return applied
}
