// Package configurer keeps the operators' configuration in force: it reads the platform's
// store, takes newer revisions from other VMs, and confirms plans.
package configurer

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/samber/oops"

	"github.com/ebonylock/ebonylock/modules/keeper"
	"github.com/ebonylock/ebonylock/modules/planner"
	"github.com/ebonylock/ebonylock/modules/recorder"
)

var (
	// ErrStoreBehind says that the store holds an older revision than the one in force.
	ErrStoreBehind = errors.New("store holds an older revision than the one in force")
	// ErrUnknownOutcome says that a confirmation may or may not have taken effect.
	ErrUnknownOutcome = errors.New("outcome of the confirmation unknown")
	// ErrStoreDown says that the store gave no answer and nothing was written.
	ErrStoreDown = errors.New("store unavailable; nothing was changed")
)

// Key is the store's key for the configuration.
const Key = "ebonylock-config"

const (
	callTimeout  = time.Second
	watchWait    = 20 * time.Second
	readInterval = 30 * time.Second
	retryWait    = 500 * time.Millisecond
	settleWait   = 50 * time.Millisecond
)

// Store is the platform's key-value store.
type Store interface {
	Get(key string, deadline time.Time) (keeper.Value, error)
	Watch(key string, after uint64, wait time.Duration, deadline time.Time) (keeper.Value, error)
	Put(key string, data []byte, ifVersion uint64, deadline time.Time) (uint64, error)
}

// Configurer keeps the newest configuration that it has heard of.
type Configurer struct {
	store   Store
	ring    *recorder.Ring
	changed func(planner.Config)
	calls   *prometheus.CounterVec

	mu  sync.Mutex
	cfg planner.Config
	// known is true once any configuration was heard of, an empty one included.
	known bool
	// raw is the encoded form of cfg.
	raw       []byte
	storeDown bool
	// version is the store's version of the last value read.
	version uint64
}

// New returns a Configurer; changed is called after each new revision.
func New(store Store, ring *recorder.Ring, changed func(planner.Config)) *Configurer {
	return &Configurer{
		store:   store,
		ring:    ring,
		changed: changed,
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "ebonylock_store_calls_total",
			Help: "Calls to the platform's store, by kind; a watch counts once for each wait.",
		}, []string{"kind"}),
	}
}

// Register adds the configurer's metrics to r.
func (c *Configurer) Register(r prometheus.Registerer) {
	r.MustRegister(c.calls)
}

// Current returns the configuration in force; known is false before any was heard of.
func (c *Configurer) Current() (cfg planner.Config, known bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cfg, c.known
}

// Raw returns the encoded configuration in force, nil before any was heard of.
func (c *Configurer) Raw() []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.raw
}

// Adopt puts an encoded configuration in force if its revision is higher than the present one.
func (c *Configurer) Adopt(raw []byte) error {
	cfg, err := planner.DecodeConfig(raw)
	if err != nil {
		return err
	}
	c.mu.Lock()
	newer := !c.known || cfg.Revision > c.cfg.Revision
	if newer {
		c.cfg, c.raw, c.known = cfg, raw, true
	}
	c.mu.Unlock()
	if newer {
		c.ring.Record(time.Now(), recorder.ConfigInForce, "revision-"+formatRevision(cfg.Revision), "changed by "+cfg.ChangedBy)
		c.changed(cfg)
	}
	return nil
}

// Run reads the store until ctx ends: with a watch while watching returns true, and now
// and then otherwise.
func (c *Configurer) Run(ctx context.Context, watching func() bool) {
	wait := time.Duration(0)
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		if err := c.read(watching()); err != nil {
			wait = jitter(retryWait)
			continue
		}
		wait = 0
		if !watching() {
			wait = jitter(readInterval)
		}
	}
}

func jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(rand.Int64N(int64(d)))
}

// read takes in the store's value, with a watch if that is asked for and a value is known.
func (c *Configurer) read(watch bool) error {
	c.mu.Lock()
	after := c.version
	known := c.known
	c.mu.Unlock()
	var v keeper.Value
	var err error
	if watch && known {
		c.calls.WithLabelValues("watch").Inc()
		v, err = c.store.Watch(Key, after, watchWait, time.Now().Add(watchWait+callTimeout))
	} else {
		c.calls.WithLabelValues("get").Inc()
		v, err = c.store.Get(Key, time.Now().Add(callTimeout))
	}
	if errors.Is(err, keeper.ErrNotFound) {
		c.noteStore(nil)
		if known {
			return nil
		}
		return c.adoptEmpty()
	}
	c.noteStore(err)
	if err != nil {
		return err
	}
	return c.take(v)
}

// take adopts a value read from the store. A value that can't be decoded is left alone.
func (c *Configurer) take(v keeper.Value) error {
	c.mu.Lock()
	c.version = v.Version
	c.mu.Unlock()
	return c.Adopt(v.Data)
}

func (c *Configurer) adoptEmpty() error {
	raw, err := planner.EncodeConfig(planner.Config{})
	if err != nil {
		return err
	}
	return c.Adopt(raw)
}

// noteStore records when the store goes down or comes back.
func (c *Configurer) noteStore(err error) {
	down := err != nil
	c.mu.Lock()
	was := c.storeDown
	c.storeDown = down
	c.mu.Unlock()
	switch {
	case down && !was:
		c.ring.Record(time.Now(), recorder.StoreDown, Key, err.Error())
	case was && !down:
		c.ring.Record(time.Now(), recorder.StoreUp, Key, "")
	}
}

// Confirm writes the plan's result if the configuration is still the one that the plan
// was made from. A plan that was confirmed before is confirmed again without a write.
// Errors match planner.ErrConflict, ErrStoreBehind, ErrStoreDown (nothing was changed in
// these cases) or ErrUnknownOutcome.
func (c *Configurer) Confirm(p planner.Plan, deadline time.Time) error {
	raw, err := planner.EncodeConfig(p.Result)
	if err != nil {
		return err
	}
	written := false
	for {
		done, err := c.confirmOnce(p, raw, &written)
		if done || err != nil {
			return err
		}
		if time.Now().Add(settleWait).After(deadline) {
			break
		}
		time.Sleep(settleWait)
	}
	if written {
		return oops.Wrapf(ErrUnknownOutcome, "plan %s", p.ID)
	}
	return ErrStoreDown
}

// confirmOnce makes one round of read and write. It returns false without an error when
// the round settled nothing. A repeated write is harmless: the store takes only one.
func (c *Configurer) confirmOnce(p planner.Plan, raw []byte, written *bool) (bool, error) {
	// A revision that is heard of during the read may be newer than the value read.
	mine, _ := c.Current()
	c.calls.WithLabelValues("get").Inc()
	v, err := c.store.Get(Key, time.Now().Add(callTimeout))
	if err != nil && !errors.Is(err, keeper.ErrNotFound) {
		return false, nil
	}
	now := planner.Config{}
	if err == nil {
		if now, err = planner.DecodeConfig(v.Data); err != nil {
			return false, err
		}
	}
	settled, err := compare(p, now, mine)
	if settled || err != nil {
		if settled {
			return true, c.take(v)
		}
		return false, err
	}
	c.calls.WithLabelValues("put").Inc()
	*written = true
	version, err := c.store.Put(Key, raw, v.Version, time.Now().Add(callTimeout))
	if err != nil {
		// A conflict or a lost reply is settled by the next read.
		return false, nil
	}
	return true, c.take(keeper.Value{Data: raw, Version: version})
}

// compare returns true when the store's configuration shows that the plan was confirmed. mine
// was in force before the store was read.
func compare(p planner.Plan, now, mine planner.Config) (bool, error) {
	for _, id := range now.Plans {
		if id == p.ID {
			return true, nil
		}
	}
	switch {
	case now.Revision < mine.Revision:
		return false, oops.Wrapf(ErrStoreBehind, "store has revision %d, in force is %d", now.Revision, mine.Revision)
	case now.Revision != p.Base:
		return false, oops.Wrapf(planner.ErrConflict, "plan is for revision %d, the store has %d, changed by %q", p.Base, now.Revision, now.ChangedBy)
	}
	return false, nil
}
