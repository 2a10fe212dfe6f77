// Package follower keeps a VM's view of the platform up to date. It watches the store, directly or
// through another VM, and derives the configuration in force and the set of usable backend servers
// from it.
package follower

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/ebonylock/ebonylock/modules/registrar"
	"github.com/ebonylock/ebonylock/modules/router"
	"github.com/ebonylock/ebonylock/services/forwarder"
	"github.com/ebonylock/ebonylock/services/replicator"
)

// KeyKind is the kind of a key in the store.
type KeyKind int

// Kinds of keys in the store.
const (
	// OtherKey is a key that the follower ignores.
	OtherKey KeyKind = iota
	// ConfigKey holds the configuration.
	ConfigKey
	// EvacuationKey takes a data centre out of service while the key exists.
	EvacuationKey
	// ReplicaKey holds the entry of a backend server.
	ReplicaKey
	// FleetKey holds the fleet record, which describes the VMs.
	FleetKey
	// LossesKey holds the record of the losses of backend servers.
	LossesKey
)

// Decoder decodes the keys and values of the store.
type Decoder interface {
	// ParseKey returns the kind of a key, and the ID of the data centre or backend server that the
	// key names.
	ParseKey(key string) (KeyKind, string)
	Config(value []byte) (router.Config, error)
	Replica(id string, value []byte) (registrar.Replica, error)
}

// expireInterval is the time between two checks for backend servers whose entries have been missing
// for too long.
const expireInterval = 200 * time.Millisecond

// Follower holds the VM's view of the platform. It implements forwarder.StateSource.
type Follower struct {
	decoder Decoder
	log     *logrus.Logger
	// Cache is the copy of the store. Other VMs may follow it.
	Cache replicator.Cache
	// OnRecord is called with each change of a record of the VMs; nil for none. It must be set before
	// use and must not call the Follower, whose lock is held during the call.
	OnRecord func(kind KeyKind, it replicator.Item)

	reads   *prometheus.CounterVec
	sources sourceStates
	state   atomic.Pointer[forwarder.State]

	// mu is held while the copy and the view change, so that all changes reach the view in the order in which
	// they reach the copy.
	mu       sync.Mutex
	table    *router.Table
	registry registrar.Registry
	// evacuated holds the data centres that are out of service.
	evacuated map[string]bool
	// deferred holds changes by key that don't count yet, since the store has come back from an older copy.
	deferred  map[string]deferral
	vms, rank int
}

// New returns a Follower with an empty Cache. Its State is nil until a configuration has been read.
func New(decoder Decoder, log *logrus.Logger) *Follower {
	return &Follower{decoder: decoder, log: log, reads: newReads(), evacuated: make(map[string]bool), vms: 1}
}

// State implements forwarder.StateSource.
func (f *Follower) State() *forwarder.State {
	return f.state.Load()
}

// SyncedAt implements forwarder.StateSource.
func (f *Follower) SyncedAt() time.Time {
	return f.Cache.SyncedAt()
}

// SetVMs sets the number of VMs that share the limits, this one included, and the place of this VM among
// them, from 0.
func (f *Follower) SetVMs(n, rank int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if n != f.vms || rank != f.rank {
		f.vms, f.rank = n, rank
		f.publish()
	}
}

// Load applies a snapshot of the store.
func (f *Follower) Load(b replicator.Batch, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	synced, before, gone := f.Cache.SyncedAt(), f.Cache.Version(), f.Cache.Removed()
	changes := f.Cache.Load(b, now)
	after := f.Cache.Version()
	if before.Revision == 0 || after.Era == before.Era {
		f.applyChanges(changes, synced, now)
		return
	}
	f.log.WithFields(logrus.Fields{
		"event": "store-era", "era": after.Era, "revision": after.Revision, "before-era": before.Era, "before-revision": before.Revision,
		"changes": len(changes),
	}).Warn("the store has come back from an older copy")
	// What the copy lacks is missing from now on, not from when it was last read.
	f.applyRestored(changes, gone, f.Cache.SyncedAt(), now)
	f.sweep(now)
	f.publish()
}

// Apply applies changes of the store.
func (f *Follower) Apply(b replicator.Batch, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	synced := f.Cache.SyncedAt()
	f.applyChanges(f.Cache.Apply(b, now), synced, now)
}

// MinOutage is the least time between the last sync of a copy and a reported end of an outage of the store for which
// the outage is believed. It must be longer than each NamedSource.MinAge, plus the time of a read: a VM whose copy is
// that old has failed to read the store itself, while the VM that reports the outage may only have been cut off.
const MinOutage = replicator.StaleAfter + 800*time.Millisecond

// applyChanges applies changes to a copy that was complete at the time synced. It must be called with the lock held.
func (f *Follower) applyChanges(changes []replicator.Item, synced, now time.Time) {
	if len(changes) == 0 {
		return
	}
	removedAt := f.removalTime(synced)
	for _, it := range changes {
		f.applyItem(it, removedAt)
	}
	f.sweep(now)
	f.publish()
}

// removalTime returns the earliest time at which the grace period of an entry may begin that is gone from a copy which
// was complete at the time synced: that time, or the end of an outage of the store since then.
func (f *Follower) removalTime(synced time.Time) time.Time {
	end := f.Cache.StableSince()
	if !end.After(synced) {
		return synced
	}
	believed := end.Sub(synced) >= MinOutage
	f.log.WithFields(logrus.Fields{"event": "store-outage", "copy-age-ms": end.Sub(synced).Milliseconds(), "believed": believed}).Info("a VM reports that the store was away")
	if !believed {
		return synced
	}
	return end
}

// applyItem applies one change. removedAt is the result of removalTime.
func (f *Follower) applyItem(it replicator.Item, removedAt time.Time) {
	delete(f.deferred, it.Key)
	switch kind, name := f.decoder.ParseKey(it.Key); kind {
	case ConfigKey:
		f.applyConfig(it)
	case EvacuationKey:
		if it.Removed {
			delete(f.evacuated, name)
		} else {
			f.evacuated[name] = true
		}
		f.log.WithFields(logrus.Fields{"event": "evacuation", "data-centre": name, "out": !it.Removed, "revision": it.Revision}).Info("data centre taken out of service or put back")
	case ReplicaKey:
		f.applyReplica(name, it, removedAt)
	case FleetKey, LossesKey:
		if f.OnRecord != nil {
			f.OnRecord(kind, it)
		}
	case OtherKey:
	}
}

func (f *Follower) applyConfig(it replicator.Item) {
	fields := logrus.Fields{"event": "config", "revision": it.Revision}
	if it.Removed {
		f.log.WithFields(fields).Warn("configuration was removed from the store; the previous one stays in force")
		return
	}
	cfg, err := f.decoder.Config(it.Value)
	if err != nil {
		f.log.WithFields(fields).WithError(err).Error("configuration could not be decoded; the previous one stays in force")
		return
	}
	fields["version"] = cfg.Version
	if f.table != nil && cfg.Version <= f.table.Config.Version {
		f.log.WithFields(fields).Info("configuration version is not newer; the current one stays in force")
		return
	}
	f.table = router.New(cfg)
	fields["routes"] = len(cfg.Routes)
	f.log.WithFields(fields).Info("new configuration in force")
}

func (f *Follower) applyReplica(id string, it replicator.Item, removedAt time.Time) {
	fields := logrus.Fields{"event": "replica", "id": id, "revision": it.Revision}
	if it.Removed {
		f.registry.MarkMissing(id, removedAt)
		f.log.WithFields(fields).Info("backend server entry removed")
		return
	}
	r, err := f.decoder.Replica(id, it.Value)
	if err != nil {
		f.registry.Drop(id)
		f.log.WithFields(fields).WithError(err).Warn("backend server entry names no usable replica")
		return
	}
	f.registry.Put(r)
	fields["service"], fields["address"], fields["draining"] = r.Service, r.Addr.String(), r.Draining
	f.log.WithFields(fields).Debug("backend server entry added or changed")
}

// publish makes the current view available to State. It must be called with the lock held.
func (f *Follower) publish() {
	if f.table == nil {
		return
	}
	f.registry.SetEvacuated(f.evacuated)
	view := f.registry.View(time.Now(), func(service string) bool {
		_, ok := f.table.Config.Services[service]
		return ok
	})
	f.state.Store(&forwarder.State{Table: f.table, View: view, VMs: max(f.vms, 1), Rank: f.rank})
}

// ExpireReplicas removes the backend servers whose entries have been missing for too long. It runs
// until ctx is done.
func (f *Follower) ExpireReplicas(ctx context.Context) {
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			f.expire(now)
		}
	}
}

func (f *Follower) expire(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	applied := f.applyDeferred(now)
	if f.sweep(now) || applied {
		f.publish()
	}
}

// sweep removes the backend servers whose entries have been missing for too long, and reports whether there
// were any. It must be called with the lock held.
func (f *Follower) sweep(now time.Time) bool {
	removed := f.registry.Sweep(now)
	if len(removed) == 0 {
		return false
	}
	f.log.WithFields(logrus.Fields{"event": "replica-gone", "ids": removed}).Info("backend servers removed because their entries were missing for too long")
	return true
}
