// Package follower keeps a VM's beliefs up to date: it follows the store, itself or through
// another VM, and turns what it reads into the configuration and the replicas in use.
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

// KeyKind is what a key of the store is about.
type KeyKind int

// Kinds of keys.
const (
	// OtherKey is a key of no interest.
	OtherKey KeyKind = iota
	// ConfigKey is the configuration.
	ConfigKey
	// EvacuationKey takes a data centre out of service.
	EvacuationKey
	// ReplicaKey is the entry of a backend server.
	ReplicaKey
	// FleetKey is the record of the VMs.
	FleetKey
)

// Decoder reads the store's keys and values.
type Decoder interface {
	// ParseKey returns what a key is about, and the data centre or backend server it names.
	ParseKey(key string) (KeyKind, string)
	Config(value []byte) (router.Config, error)
	Replica(id string, value []byte) (registrar.Replica, error)
}

// sweepInterval is the time between two looks for entries that are missing for too long.
const sweepInterval = 200 * time.Millisecond

// Follower holds the beliefs. It implements forwarder.Beliefs.
type Follower struct {
	decoder Decoder
	log     *logrus.Logger
	// Cache is the copy of the store that others may follow.
	Cache replicator.Cache
	// OnFleetRecord takes in the record of the VMs; nil for none. It is set before use and must not call
	// the Follower.
	OnFleetRecord func(value []byte, revision uint64)

	reads *prometheus.CounterVec
	state atomic.Pointer[forwarder.State]

	mu       sync.Mutex
	table    *router.Table
	register registrar.Registry
	// evacuated are the data centres out of service.
	evacuated map[string]bool
	vms       int
}

// New returns a Follower that knows nothing.
func New(decoder Decoder, log *logrus.Logger) *Follower {
	return &Follower{decoder: decoder, log: log, reads: newReads(), evacuated: make(map[string]bool), vms: 1}
}

// State implements forwarder.Beliefs.
func (f *Follower) State() *forwarder.State {
	return f.state.Load()
}

// SyncedAt implements forwarder.Beliefs.
func (f *Follower) SyncedAt() time.Time {
	return f.Cache.SyncedAt()
}

// SetVMs sets the number of VMs that share the limits.
func (f *Follower) SetVMs(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if n != f.vms {
		f.vms = n
		f.publish()
	}
}

// Load takes in a snapshot of the store.
func (f *Follower) Load(b replicator.Batch, now time.Time) {
	f.take(f.Cache.Load(b, now), now)
}

// Apply takes in changes of the store.
func (f *Follower) Apply(b replicator.Batch, now time.Time) {
	f.take(f.Cache.Apply(b, now), now)
}

func (f *Follower) take(changes []replicator.Item, now time.Time) {
	if len(changes) == 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, it := range changes {
		f.takeItem(it, now)
	}
	f.publish()
}

func (f *Follower) takeItem(it replicator.Item, now time.Time) {
	switch kind, name := f.decoder.ParseKey(it.Key); kind {
	case ConfigKey:
		f.takeConfig(it)
	case EvacuationKey:
		if it.Removed {
			delete(f.evacuated, name)
		} else {
			f.evacuated[name] = true
		}
		f.log.WithFields(logrus.Fields{"event": "evacuation", "data-centre": name, "out": !it.Removed, "revision": it.Revision}).Info("data centre taken out or back")
	case ReplicaKey:
		f.takeReplica(name, it, now)
	case FleetKey:
		if f.OnFleetRecord != nil && !it.Removed {
			f.OnFleetRecord(it.Value, it.Revision)
		}
	case OtherKey:
	}
}

func (f *Follower) takeConfig(it replicator.Item) {
	fields := logrus.Fields{"event": "config", "revision": it.Revision}
	if it.Removed {
		f.log.WithFields(fields).Warn("configuration removed from the store; the last one stays in force")
		return
	}
	cfg, err := f.decoder.Config(it.Value)
	if err != nil {
		f.log.WithFields(fields).WithError(err).Error("configuration not readable; the last one stays in force")
		return
	}
	fields["version"] = cfg.Version
	if f.table != nil && cfg.Version <= f.table.Config.Version {
		f.log.WithFields(fields).Info("configuration is not newer; the last one stays in force")
		return
	}
	f.table = router.New(cfg)
	fields["routes"] = len(cfg.Routes)
	f.log.WithFields(fields).Info("configuration in force")
}

func (f *Follower) takeReplica(id string, it replicator.Item, now time.Time) {
	fields := logrus.Fields{"event": "replica", "id": id, "revision": it.Revision}
	if it.Removed {
		f.register.MarkMissing(id, now)
		f.log.WithFields(fields).Info("entry of a backend server removed")
		return
	}
	r, err := f.decoder.Replica(id, it.Value)
	if err != nil {
		f.register.MarkMissing(id, now)
		f.log.WithFields(fields).WithError(err).Warn("entry names no backend server")
		return
	}
	f.register.Put(r)
	fields["service"], fields["address"], fields["draining"] = r.Service, r.Addr.String(), r.Draining
	f.log.WithFields(fields).Debug("entry of a backend server")
}

// publish makes the beliefs visible; it needs the lock.
func (f *Follower) publish() {
	if f.table == nil {
		return
	}
	f.register.SetEvacuated(f.evacuated)
	f.state.Store(&forwarder.State{Table: f.table, View: f.register.View(), VMs: max(f.vms, 1)})
}

// ExpireReplicas drops the entries that are missing for too long until ctx ends.
func (f *Follower) ExpireReplicas(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			f.sweep(now)
		}
	}
}

func (f *Follower) sweep(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	gone := f.register.Sweep(now)
	if len(gone) == 0 {
		return
	}
	f.log.WithFields(logrus.Fields{"event": "replica-gone", "ids": gone}).Info("backend servers gone")
	f.publish()
}
