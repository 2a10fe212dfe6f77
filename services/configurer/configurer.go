// Package configurer maintains the operators' configuration that is in force. It reads the platform's store,
// adopts newer revisions from other VMs and confirms plans.
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
	// ErrStoreBehind is returned when the store holds an older revision than the one in force.
	ErrStoreBehind = errors.New("store holds an older revision than the one in force")
	// ErrUnknownOutcome is returned when a confirmation may or may not have taken effect.
	ErrUnknownOutcome = errors.New("outcome of the confirmation unknown")
	// ErrStoreDown is returned when the store did not answer and nothing was written.
	ErrStoreDown = errors.New("store unavailable; nothing was changed")
)

// Key is the key of the configuration in the store.
const Key = "ebonylock-config"

const (
	callTimeout      = time.Second
	watchWait        = 20 * time.Second
	readInterval     = 30 * time.Second
	retryWait        = 500 * time.Millisecond
	confirmRetryWait = 50 * time.Millisecond
)

// Store is the platform's key-value store.
type Store interface {
	Get(key string, deadline time.Time) (keeper.Value, error)
	Watch(key string, after uint64, wait time.Duration, deadline time.Time) (keeper.Value, error)
	Put(key string, data []byte, ifVersion uint64, deadline time.Time) (uint64, error)
}

// Configurer holds the newest configuration that this VM has received.
type Configurer struct {
	store    Store
	ring     *recorder.Ring
	onChange func(planner.Config)
	calls    *prometheus.CounterVec

	mu  sync.Mutex
	cfg planner.Config
	// known is true once a configuration was received, even an empty one.
	known bool
	// raw is the encoded form of cfg.
	raw       []byte
	storeDown bool
	// version is the version in the store of the last value read.
	version uint64
}

// New returns a Configurer. It calls onChange after each new revision.
func New(store Store, ring *recorder.Ring, onChange func(planner.Config)) *Configurer {
	return &Configurer{
		store:    store,
		ring:     ring,
		onChange: onChange,
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

// Current returns the configuration in force; known is false before one was received.
func (c *Configurer) Current() (cfg planner.Config, known bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cfg, c.known
}

// Raw returns the encoded configuration in force, or nil before one was received.
func (c *Configurer) Raw() []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.raw
}

// Adopt puts an encoded configuration in force if its revision is higher than the current one.
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
		c.onChange(cfg)
	}
	return nil
}

// Run reads the store until ctx ends. While watching returns true, it watches the store for changes;
// otherwise it reads at random intervals around readInterval.
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

// jitter returns a random duration from d/2 to 3d/2.
func jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(rand.Int64N(int64(d)))
}

// read reads and adopts the configuration in the store. It waits for a change if watch is true and a
// configuration is known. If the store has no configuration and none is known, it adopts an empty one.
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
		c.recordStoreState(nil)
		if known {
			return nil
		}
		return c.adoptEmpty()
	}
	c.recordStoreState(err)
	if err != nil {
		return err
	}
	return c.adoptValue(v)
}

// adoptValue adopts a value read from the store. A value that can't be decoded is not adopted, and its error
// is returned.
func (c *Configurer) adoptValue(v keeper.Value) error {
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

// recordStoreState records when the store becomes unavailable or available again. err is the error of the last
// read, if any.
func (c *Configurer) recordStoreState(err error) {
	down := err != nil
	c.mu.Lock()
	wasDown := c.storeDown
	c.storeDown = down
	c.mu.Unlock()
	switch {
	case down && !wasDown:
		c.ring.Record(time.Now(), recorder.StoreDown, Key, err.Error())
	case wasDown && !down:
		c.ring.Record(time.Now(), recorder.StoreUp, Key, "")
	}
}

// Confirm writes the plan's result to the store if the configuration is still the one that the plan was made
// from. Confirming a plan again succeeds without a write. Errors match planner.ErrConflict, ErrStoreBehind or
// ErrStoreDown, which all mean that nothing was changed, or ErrUnknownOutcome.
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
		if time.Now().Add(confirmRetryWait).After(deadline) {
			break
		}
		time.Sleep(confirmRetryWait)
	}
	if written {
		return oops.Wrapf(ErrUnknownOutcome, "plan %s", p.ID)
	}
	return ErrStoreDown
}

// confirmOnce makes one attempt to read and write the configuration. It returns false without an error when
// the attempt has to be repeated. Repeated writes are safe, as the store accepts only one of them.
func (c *Configurer) confirmOnce(p planner.Plan, raw []byte, written *bool) (bool, error) {
	// The local configuration is loaded before the read: a revision received during the read may be newer
	// than the value read.
	local, _ := c.Current()
	c.calls.WithLabelValues("get").Inc()
	v, err := c.store.Get(Key, time.Now().Add(callTimeout))
	if err != nil && !errors.Is(err, keeper.ErrNotFound) {
		return false, nil
	}
	stored := planner.Config{}
	if err == nil {
		if stored, err = planner.DecodeConfig(v.Data); err != nil {
			return false, err
		}
	}
	confirmed, err := checkPlan(p, stored, local)
	if confirmed || err != nil {
		if confirmed {
			return true, c.adoptValue(v)
		}
		return false, err
	}
	c.calls.WithLabelValues("put").Inc()
	*written = true
	version, err := c.store.Put(Key, raw, v.Version, time.Now().Add(callTimeout))
	if err != nil {
		// After a conflict or a lost reply, the next read shows whether the write took effect.
		return false, nil
	}
	return true, c.adoptValue(keeper.Value{Data: raw, Version: version})
}

// checkPlan returns true if the stored configuration shows that the plan was confirmed. It returns an error if
// the plan can't be confirmed any more. local is the configuration that was in force before the store was read.
func checkPlan(p planner.Plan, stored, local planner.Config) (bool, error) {
	for _, id := range stored.Plans {
		if id == p.ID {
			return true, nil
		}
	}
	switch {
	case stored.Revision < local.Revision:
		return false, oops.Wrapf(ErrStoreBehind, "store has revision %d, in force is %d", stored.Revision, local.Revision)
	case stored.Revision != p.Base:
		return false, oops.Wrapf(planner.ErrConflict, "plan is for revision %d, the store has %d, changed by %q", p.Base, stored.Revision, stored.ChangedBy)
	}
	return false, nil
}
