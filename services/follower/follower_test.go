package follower

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/ebonylock/ebonylock/modules/registrar"
	"github.com/ebonylock/ebonylock/modules/router"
	"github.com/ebonylock/ebonylock/services/replicator"
)

// testDecoder decodes keys such as "config", "out/dc" and "replica/id".
type testDecoder struct{}

func (testDecoder) ParseKey(key string) (KeyKind, string) {
	kind, name, _ := strings.Cut(key, "/")
	return map[string]KeyKind{"config": ConfigKey, "out": EvacuationKey, "replica": ReplicaKey}[kind], name
}

func (testDecoder) Config(value []byte) (router.Config, error) {
	if value[0] == 'x' {
		return router.Config{}, errors.New("unreadable")
	}
	return router.Config{Version: uint64(value[0] - '0')}, nil
}

func (testDecoder) Replica(id string, value []byte) (registrar.Replica, error) {
	if value[0] == 'x' {
		return registrar.Replica{}, errors.New("unreadable")
	}
	return registrar.Replica{ID: id, Service: "s", DataCentre: string(value), Addr: netip.MustParseAddrPort("10.0.0.1:1")}, nil
}

func discardLogger() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

func item(key, value string, rev uint64) replicator.Item {
	return replicator.Item{Key: key, Value: []byte(value), Version: replicator.Version{Revision: rev}, Removed: value == ""}
}

func batch(rev uint64, items ...replicator.Item) replicator.Batch {
	return replicator.Batch{Items: items, Cursor: replicator.Cursor{Version: replicator.Version{Revision: rev}}}
}

func TestBeliefs(t *testing.T) {
	is := is.New(t)
	f := New(testDecoder{}, discardLogger())
	now := time.Now()
	version := func() uint64 { return f.State().Table.Config.Version }
	replicas := func() int { return len(f.State().View.Services["s"]) }
	f.Load(batch(2, item("replica/a", "dc-1", 1), item("other", "x", 2)), now)
	is.True(f.State() == nil) // no configuration yet
	f.Apply(batch(3, item("config", "4", 3)), now)
	is.Equal(version(), uint64(4))
	is.Equal(replicas(), 1)
	f.Apply(batch(4, item("config", "3", 4)), now) // lower version
	is.Equal(version(), uint64(4))
	f.Apply(batch(5, item("config", "x", 5)), now) // unreadable
	is.Equal(version(), uint64(4))
	f.Apply(batch(6, item("config", "", 6)), now) // removed
	is.Equal(version(), uint64(4))
	f.Apply(batch(7, item("replica/b", "x", 7)), now) // a malformed entry does not affect other replicas
	is.Equal(replicas(), 1)
	f.Apply(batch(8, item("out/dc-1", "{}", 8)), now)
	is.Equal(replicas(), 0)
	f.Apply(batch(9, item("out/dc-1", "", 9)), now)
	is.Equal(replicas(), 1)
	f.Apply(batch(10, item("replica/a", "", 10)), now)
	is.True(f.State().View.Services["s"][0].Missing)
	f.expire(now.Add(3 * time.Second))
	is.Equal(replicas(), 0)
	f.SetVMs(5, 2)
	is.Equal(f.State().VMs, 5)
}

// TestWatchersApplyInOrder guards against a view that goes back to an earlier change: one watcher has put it into the copy
// of the store first, and applies it after the other one has applied a later change.
func TestWatchersApplyInOrder(t *testing.T) {
	const changes = 2000
	f := New(testDecoder{}, discardLogger())
	f.Load(batch(2, item("config", "4", 1), item("replica/a", "dc-1", 2)), time.Now())
	var wg sync.WaitGroup
	for range 2 {
		wg.Go(func() {
			for rev := uint64(3); rev < changes; rev++ {
				f.Apply(batch(rev, item("replica/a", fmt.Sprint("dc-", rev), rev)), time.Now())
				var seen uint64
				if _, err := fmt.Sscanf(f.State().View.Services["s"][0].DataCentre, "dc-%d", &seen); err != nil || seen < rev {
					t.Errorf("the replica is in dc-%d after change %d", seen, rev)
				}
			}
		})
	}
	wg.Wait()
}

// TestEntryTurnsOdd guards against requests to a replica whose entry another writer has overwritten:
// it names no replica to use, not even as a last resort, until it is sound again.
func TestEntryTurnsOdd(t *testing.T) {
	is := is.New(t)
	f := New(testDecoder{}, discardLogger())
	now := time.Now()
	replicas := func() int { return len(f.State().View.Services["s"]) }
	f.Load(batch(3, item("config", "4", 1), item("replica/a", "dc-1", 2), item("replica/b", "dc-1", 3)), now)
	is.Equal(replicas(), 2)
	f.Apply(batch(4, item("replica/a", "x", 4)), now)
	is.Equal(replicas(), 1)
	f.Apply(batch(5, item("replica/a", "dc-1", 5)), now)
	is.Equal(replicas(), 2)
	f.expire(now.Add(time.Hour))
	is.Equal(replicas(), 2)
}

// TestRemovalHeardLate guards against requests to a replica that has left long ago: the grace period of an entry
// runs from when the copy last had it, or from the store's return if it was away, not from when this VM hears.
func TestRemovalHeardLate(t *testing.T) {
	for _, c := range []struct {
		heard, stableFor, after time.Duration
		usable                  bool
	}{
		{heard: 100 * time.Millisecond, after: 1900 * time.Millisecond, usable: true},
		{heard: 2 * time.Second, usable: true},
		{heard: 2 * time.Second, after: 200 * time.Millisecond},
		{heard: 2500 * time.Millisecond},
		{heard: time.Minute, stableFor: 50 * time.Millisecond, after: 2 * time.Second, usable: true},
		{heard: time.Minute, stableFor: 50 * time.Millisecond, after: 2100 * time.Millisecond},
		{heard: 2500 * time.Millisecond, stableFor: time.Hour}, // an earlier outage
	} {
		t.Run(fmt.Sprint(c.heard, c.stableFor, c.after), func(t *testing.T) {
			f, start := New(testDecoder{}, discardLogger()), time.Now()
			f.Load(batch(2, item("config", "4", 1), item("replica/a", "dc-1", 2)), start)
			b := batch(3, item("replica/a", "", 3))
			b.StableFor = c.stableFor
			f.Apply(b, start.Add(c.heard))
			f.expire(start.Add(c.heard + c.after))
			is.New(t).Equal(len(f.State().View.Services["s"]) > 0, c.usable)
		})
	}
}

// TestOutageIsToldApart guards against replicas that are dropped at once after an outage of the store, in
// which their entries lapsed: all VMs learn from the readers that the store was away. If only the readers
// are cut off from the store, the entries are gone in time.
func TestOutageIsToldApart(t *testing.T) {
	for _, outage := range []bool{true, false} {
		t.Run(fmt.Sprint(outage), func(t *testing.T) {
			runFleet(t, func(is *is.I, fl *testFleet) {
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				fl.store.Apply(batch(2, item("replica/a", "dc-1", 2)), time.Now())
				time.Sleep(3 * time.Second)
				for _, v := range fl.vms {
					go v.ExpireReplicas(ctx)
				}
				cut, except := []int{0, 1, 2, 3, 4, 5, 6}, 0
				if !outage {
					cut, except = cut[:2], 2
				}
				fl.setFailed(fl.storeUnreachable, cut...)
				time.Sleep(50 * time.Millisecond)
				fl.store.Apply(batch(3, item("replica/a", "", 3)), time.Now())
				if outage {
					time.Sleep(6 * time.Second)
					fl.setFailed(fl.storeUnreachable)
					time.Sleep(1800 * time.Millisecond)
				} else {
					time.Sleep(3 * time.Second)
				}
				for _, v := range fl.vms[except:] {
					is.Equal(len(v.State().View.Services["s"]) > 0, outage)
				}
			})
		})
	}
}

// testFleet is a store and the VMs that follow it. The index of a VM determines its sources. Each
// VM has two watchers.
type testFleet struct {
	mu    sync.Mutex
	store replicator.Cache
	vms   []*Follower
	// storeUnreachable holds the VMs that can't reach the store, and unreachable those that no
	// other VM can reach.
	storeUnreachable, unreachable map[int]bool
	calls                         int
}

var errUnreachable = errors.New("source unreachable")

// fleetSource is one source of one VM: the store or another VM.
type fleetSource struct {
	fl       *testFleet
	from, to int
}

const storeTarget = -1

func (src fleetSource) resolve() (replicator.Source, error) {
	src.fl.mu.Lock()
	defer src.fl.mu.Unlock()
	if src.to == storeTarget {
		src.fl.calls++
		if src.fl.storeUnreachable[src.from] {
			return nil, errUnreachable
		}
		return &src.fl.store, nil
	}
	if src.fl.unreachable[src.to] {
		return nil, errUnreachable
	}
	return &src.fl.vms[src.to].Cache, nil
}

// uncountCall removes the second check of one call from the count.
func (src fleetSource) uncountCall() {
	src.fl.mu.Lock()
	defer src.fl.mu.Unlock()
	if src.to == storeTarget {
		src.fl.calls--
	}
}

func (src fleetSource) Snapshot(ctx context.Context) (replicator.Batch, error) {
	s, err := src.resolve()
	if err != nil {
		return replicator.Batch{}, err
	}
	b, err := s.Snapshot(ctx)
	return src.zeroStoreAge(b), err
}

func (src fleetSource) Changes(ctx context.Context, after replicator.Cursor, wait time.Duration) (replicator.Batch, error) {
	s, err := src.resolve()
	if err != nil {
		return replicator.Batch{}, err
	}
	b, err := s.Changes(ctx, after, wait)
	if _, failure := src.resolve(); failure != nil {
		return replicator.Batch{}, failure
	}
	src.uncountCall()
	return src.zeroStoreAge(b), err
}

// zeroStoreAge sets the age of data from the store itself to 0.
func (src fleetSource) zeroStoreAge(b replicator.Batch) replicator.Batch {
	if src.to == storeTarget {
		b.Age = 0
	}
	return b
}

// Sources implements SourceProvider by the rules of package launcher: VMs 0 and 1 read the store,
// VMs 2 and 3 are the first to replace them, then all others.
func (src fleetSource) Sources(watcher int) []NamedSource {
	var out []NamedSource
	for i := range 4 {
		if i != src.from {
			out = append(out, NamedSource{Name: string(rune('a' + i)), IsReader: i < 2, Source: fleetSource{src.fl, src.from, i}})
		}
	}
	store := NamedSource{Name: "store", IsStore: true, Backoff: 500 * time.Millisecond, Source: fleetSource{src.fl, src.from, storeTarget}}
	switch {
	case watcher > 0:
		if src.from >= 2 {
			out[0], out[1] = out[1], out[0]
		}
		return out
	case src.from < 2:
		return append([]NamedSource{store}, out...)
	case src.from < 4:
		store.MinAge, store.IsStandby = replicator.StaleAfter, true
	default:
		store.MinAge, store.Backoff = replicator.StaleAfter+400*time.Millisecond, 3*time.Second
	}
	return append(out, store)
}

// runFleet runs a fleet of 7 VMs in virtual time and calls f once all VMs have the configuration.
func runFleet(t *testing.T, f func(is *is.I, fl *testFleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		fl := &testFleet{storeUnreachable: make(map[int]bool), unreachable: make(map[int]bool)}
		// The time lies in the future, so that the store is never stale.
		fl.store.Load(batch(1, item("config", "1", 1)), time.Now().Add(1000*time.Hour))
		ctx, cancel := context.WithCancel(t.Context())
		for range 7 {
			fl.vms = append(fl.vms, New(testDecoder{}, discardLogger()))
		}
		for i, v := range fl.vms {
			go v.Follow(ctx, 2, fleetSource{fl, i, 0})
		}
		time.Sleep(20 * time.Second)
		defer func() {
			cancel()
			time.Sleep(time.Minute)
			synctest.Wait()
		}()
		f(is.New(t), fl)
	})
}

// storeCalls returns the number of calls to the store so far.
func (fl *testFleet) storeCalls() int {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.calls
}

// writeConfig writes a version of the configuration and returns the time until it is in force at
// all VMs that are not in except. It gives up after a minute.
func (fl *testFleet) writeConfig(version byte, except ...int) time.Duration {
	rev := fl.store.Revision() + 1
	fl.store.Apply(batch(rev, item("config", string([]byte{'0' + version}), rev)), time.Now())
	began := time.Now()
	for {
		time.Sleep(10 * time.Millisecond)
		behind := 0
		for i, v := range fl.vms {
			skip := false
			for _, e := range except {
				skip = skip || e == i
			}
			if !skip && v.State().Table.Config.Version != uint64(version) {
				behind++
			}
		}
		if behind == 0 || time.Since(began) > time.Minute {
			return time.Since(began)
		}
	}
}

func (fl *testFleet) setFailed(m map[int]bool, vms ...int) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	clear(m)
	for _, v := range vms {
		m[v] = true
	}
}

// maxPropagation is the platform's limit for the time until a configuration change is in force on
// all VMs.
const maxPropagation = 3 * time.Second

func TestInForceEverywhere(t *testing.T) {
	runFleet(t, func(is *is.I, fl *testFleet) {
		before := fl.storeCalls()
		is.True(fl.writeConfig(2) < maxPropagation)
		time.Sleep(60 * time.Second)
		is.True(fl.storeCalls()-before < 2*65) // two readers with about one call per second each
	})
}

// TestBothReadersCutFromTheStore guards against the failure of incident "two readers": both VMs
// that read the store lose their connection to it but stay reachable for their followers. A change
// made at that moment must be in force on all other VMs in time.
func TestBothReadersCutFromTheStore(t *testing.T) {
	runFleet(t, func(is *is.I, fl *testFleet) {
		fl.setFailed(fl.storeUnreachable, 0, 1)
		is.True(fl.writeConfig(2, 0, 1) < maxPropagation)
		is.True(fl.writeConfig(3) < maxPropagation) // the readers follow the reserve VMs
		fl.setFailed(fl.storeUnreachable)
		time.Sleep(10 * time.Second)
		before := fl.storeCalls()
		time.Sleep(60 * time.Second)
		is.True(fl.storeCalls()-before < 2*65) // only the readers read the store again
	})
}

func TestReadersDie(t *testing.T) {
	runFleet(t, func(is *is.I, fl *testFleet) {
		fl.setFailed(fl.unreachable, 0, 1)
		fl.setFailed(fl.storeUnreachable, 0, 1)
		is.True(fl.writeConfig(2, 0, 1) < maxPropagation)
	})
}

// TestStoreAway guards against a store that no VM can reach. The configuration must stay in force,
// the VMs must make few calls to the store, and a change made when the store is back must be in
// force in time.
func TestStoreAway(t *testing.T) {
	runFleet(t, func(is *is.I, fl *testFleet) {
		before := fl.storeCalls()
		fl.setFailed(fl.storeUnreachable, 0, 1, 2, 3, 4, 5, 6)
		time.Sleep(60 * time.Second)
		is.True(fl.storeCalls()-before < 60*(4*2+3)) // readers and reserves twice a second, others rarely
		for _, v := range fl.vms {
			is.Equal(v.State().Table.Config.Version, uint64(1))
		}
		fl.setFailed(fl.storeUnreachable)
		is.True(fl.writeConfig(2) < maxPropagation)
	})
}

// TestStartWhileTheStoreIsAway checks that a VM that starts during an outage of the store gets its
// data from the other VMs.
func TestStartWhileTheStoreIsAway(t *testing.T) {
	runFleet(t, func(is *is.I, fl *testFleet) {
		fl.setFailed(fl.storeUnreachable, 0, 1, 2, 3, 4, 5, 6)
		time.Sleep(30 * time.Second)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		v := New(testDecoder{}, discardLogger())
		go v.Follow(ctx, 2, fleetSource{fl, 6, 0})
		time.Sleep(2 * time.Second)
		is.True(v.State() != nil)
	})
}

// bootstrapProvider is a SourceProvider with a seed that is used for the first snapshot only, and a
// store whose first read is delayed.
type bootstrapProvider struct {
	seed, store replicator.Source
	delay       time.Duration
}

func (p bootstrapProvider) Sources(int) []NamedSource {
	return []NamedSource{
		{Name: "seed", Source: p.seed, BootstrapOnly: true},
		{Name: "store", IsStore: true, Source: p.store, BootstrapDelay: p.delay},
	}
}

// countingCache counts the snapshots that are read from a Cache.
type countingCache struct {
	*replicator.Cache
	snapshots atomic.Int64
}

func (c *countingCache) Snapshot(ctx context.Context) (replicator.Batch, error) {
	c.snapshots.Add(1)
	return c.Cache.Snapshot(ctx)
}

// TestFirstReadLeavesTheStore guards against hundreds of VMs that start together and all read the
// store. A VM that gets its first snapshot from a seed must not read the store, and a VM whose
// seeds are down must read it after the delay.
func TestFirstReadLeavesTheStore(t *testing.T) {
	for _, alive := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithCancel(t.Context())
			seed, store := &countingCache{Cache: &replicator.Cache{}}, &countingCache{Cache: &replicator.Cache{}}
			store.Load(batch(5, item("config", "1", 5)), time.Now())
			if alive {
				seed.Load(batch(5, item("config", "1", 5)), time.Now())
			}
			f := New(testDecoder{}, discardLogger())
			go f.bootstrap(ctx, bootstrapProvider{seed, store, time.Second})
			time.Sleep(900 * time.Millisecond)
			synctest.Wait()
			is.Equal(f.Cache.Revision() > 0, alive)
			is.Equal(store.snapshots.Load(), int64(0))
			time.Sleep(2 * time.Second)
			synctest.Wait()
			is.True(f.Cache.Revision() > 0)
			cancel()
			time.Sleep(time.Minute)
			synctest.Wait()
		})
	}
}

// slowSource is a source whose snapshot takes a while.
type slowSource struct {
	replicator.Source
	took time.Duration
}

func (s slowSource) Snapshot(ctx context.Context) (replicator.Batch, error) {
	select {
	case <-time.After(s.took):
		return s.Source.Snapshot(ctx)
	case <-ctx.Done():
		return replicator.Batch{}, ctx.Err()
	}
}

// TestLongSnapshotIsRead guards against a VM that never becomes ready because large values of another
// writer make the first snapshot longer than an attempt may take.
func TestLongSnapshotIsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Minute)
		defer cancel()
		store := &replicator.Cache{}
		store.Load(batch(5, item("config", "1", 5)), time.Now())
		f := New(testDecoder{}, discardLogger())
		f.bootstrap(ctx, bootstrapProvider{seed: &replicator.Cache{}, store: slowSource{store, 10 * time.Second}})
		is.NoErr(ctx.Err())
		is.True(f.State() != nil)
	})
}

// TestShortOutageCausesNoHerd covers a store that turns all VMs away for a moment. The readers have
// to be back at the store before their copies are stale: otherwise all VMs read the store at once, and
// the more there are, the longer it takes until it serves them (thundering herd).
func TestShortOutageCausesNoHerd(t *testing.T) {
	for _, outage := range []time.Duration{100 * time.Millisecond, 400 * time.Millisecond, 900 * time.Millisecond} {
		t.Run(outage.String(), func(t *testing.T) {
			runFleet(t, func(is *is.I, fl *testFleet) {
				fl.setFailed(fl.storeUnreachable, 0, 1, 2, 3, 4, 5, 6)
				time.Sleep(outage)
				fl.setFailed(fl.storeUnreachable)
				before := fl.storeCalls()
				is.True(fl.writeConfig(2) < maxPropagation)
				time.Sleep(10 * time.Second)
				is.True(fl.storeCalls()-before < 2*15) // the two readers alone, about one call a second each
			})
		})
	}
}
