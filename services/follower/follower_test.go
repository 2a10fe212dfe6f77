package follower

import (
	"context"
	"errors"
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

// plain reads keys such as "config", "out/dc" and "replica/id".
type plain struct{}

func (plain) ParseKey(key string) (KeyKind, string) {
	kind, name, _ := strings.Cut(key, "/")
	return map[string]KeyKind{"config": ConfigKey, "out": EvacuationKey, "replica": ReplicaKey}[kind], name
}

func (plain) Config(value []byte) (router.Config, error) {
	if value[0] == 'x' {
		return router.Config{}, errors.New("unreadable")
	}
	return router.Config{Version: uint64(value[0] - '0')}, nil
}

func (plain) Replica(id string, value []byte) (registrar.Replica, error) {
	if value[0] == 'x' {
		return registrar.Replica{}, errors.New("unreadable")
	}
	return registrar.Replica{ID: id, Service: "s", DataCentre: string(value), Addr: netip.MustParseAddrPort("10.0.0.1:1")}, nil
}

func quiet() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

func item(key, value string, rev uint64) replicator.Item {
	return replicator.Item{Key: key, Value: []byte(value), Revision: rev, Removed: value == ""}
}

func batch(rev uint64, items ...replicator.Item) replicator.Batch {
	return replicator.Batch{Items: items, Cursor: replicator.Cursor{Revision: rev}}
}

func TestBeliefs(t *testing.T) {
	is := is.New(t)
	f := New(plain{}, quiet())
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
	f.Apply(batch(7, item("replica/b", "x", 7)), now) // an entry that names no replica harms no other
	is.Equal(replicas(), 1)
	f.Apply(batch(8, item("out/dc-1", "{}", 8)), now)
	is.Equal(replicas(), 0)
	f.Apply(batch(9, item("out/dc-1", "", 9)), now)
	is.Equal(replicas(), 1)
	f.Apply(batch(10, item("replica/a", "", 10)), now)
	is.True(f.State().View.Services["s"][0].Missing)
	f.sweep(now.Add(3 * time.Second))
	is.Equal(replicas(), 0)
	f.SetVMs(5)
	is.Equal(f.State().VMs, 5)
}

// fleet is a store, and VMs that follow it by their ranks, each over two lanes.
type fleet struct {
	mu    sync.Mutex
	store replicator.Cache
	vms   []*Follower
	// cut holds the VMs that can't reach the store, dead those that nobody reaches.
	cut, dead map[int]bool
	calls     int
}

var errCut = errors.New("cut off")

// link is what one VM follows: the store or another VM.
type link struct {
	fl       *fleet
	from, to int
}

const theStore = -1

func (l link) check() (replicator.Source, error) {
	l.fl.mu.Lock()
	defer l.fl.mu.Unlock()
	if l.to == theStore {
		l.fl.calls++
		if l.fl.cut[l.from] {
			return nil, errCut
		}
		return &l.fl.store, nil
	}
	if l.fl.dead[l.to] {
		return nil, errCut
	}
	return &l.fl.vms[l.to].Cache, nil
}

// uncount takes back the second look of one call.
func (l link) uncount() {
	l.fl.mu.Lock()
	defer l.fl.mu.Unlock()
	if l.to == theStore {
		l.fl.calls--
	}
}

func (l link) Snapshot(ctx context.Context) (replicator.Batch, error) {
	s, err := l.check()
	if err != nil {
		return replicator.Batch{}, err
	}
	b, err := s.Snapshot(ctx)
	return l.fresh(b), err
}

func (l link) Changes(ctx context.Context, after replicator.Cursor, wait time.Duration) (replicator.Batch, error) {
	s, err := l.check()
	if err != nil {
		return replicator.Batch{}, err
	}
	b, err := s.Changes(ctx, after, wait)
	if _, cut := l.check(); cut != nil {
		return replicator.Batch{}, cut
	}
	l.uncount()
	return l.fresh(b), err
}

// fresh makes what the store itself says new.
func (l link) fresh(b replicator.Batch) replicator.Batch {
	if l.to == theStore {
		b.Age = 0
	}
	return b
}

// Sources follows the rules of the launcher: two readers, two reserves, then everybody.
func (l link) Sources(lane int) []NamedSource {
	var out []NamedSource
	for i := range 4 {
		if i != l.from {
			out = append(out, NamedSource{Name: string(rune('a' + i)), Source: link{l.fl, l.from, i}})
		}
	}
	store := NamedSource{Name: "store", IsStore: true, Backoff: 500 * time.Millisecond, Source: link{l.fl, l.from, theStore}}
	switch {
	case lane > 0:
		if l.from >= 2 {
			out[0], out[1] = out[1], out[0]
		}
		return out
	case l.from < 2:
		return append([]NamedSource{store}, out...)
	case l.from < 4:
		store.MinAge = replicator.StaleAfter
	default:
		store.MinAge, store.Backoff = replicator.StaleAfter+400*time.Millisecond, 3*time.Second
	}
	return append(out, store)
}

// play runs a fleet of 7 VMs in virtual time and calls f once all know the configuration.
func play(t *testing.T, f func(is *is.I, fl *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		fl := &fleet{cut: make(map[int]bool), dead: make(map[int]bool)}
		// The store itself is never stale.
		fl.store.Load(batch(1, item("config", "1", 1)), time.Now().Add(1000*time.Hour))
		ctx, cancel := context.WithCancel(t.Context())
		for range 7 {
			fl.vms = append(fl.vms, New(plain{}, quiet()))
		}
		for i, v := range fl.vms {
			go v.Follow(ctx, 2, link{fl, i, 0})
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

// called is the number of calls to the store so far.
func (fl *fleet) called() int {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.calls
}

// write puts a version of the configuration and returns how long it takes to be in force at
// all VMs but those in except.
func (fl *fleet) write(version byte, except ...int) time.Duration {
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

func (fl *fleet) set(m map[int]bool, vms ...int) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	clear(m)
	for _, v := range vms {
		m[v] = true
	}
}

// inForce is the bound of the platform on a change of the configuration.
const inForce = 3 * time.Second

func TestInForceEverywhere(t *testing.T) {
	play(t, func(is *is.I, fl *fleet) {
		before := fl.called()
		is.True(fl.write(2) < inForce)
		time.Sleep(60 * time.Second)
		is.True(fl.called()-before < 2*65) // two readers, about a call a second each
	})
}

// TestBothReadersCutFromTheStore is the pattern of incident "two readers": both VMs that read
// the store lose it and stay reachable; a change made right then is in force in time elsewhere.
func TestBothReadersCutFromTheStore(t *testing.T) {
	play(t, func(is *is.I, fl *fleet) {
		fl.set(fl.cut, 0, 1)
		is.True(fl.write(2, 0, 1) < inForce)
		is.True(fl.write(3) < inForce) // the readers learn from the reserves
		fl.set(fl.cut)
		time.Sleep(10 * time.Second)
		before := fl.called()
		time.Sleep(60 * time.Second)
		is.True(fl.called()-before < 2*65) // only the readers read again
	})
}

func TestReadersDie(t *testing.T) {
	play(t, func(is *is.I, fl *fleet) {
		fl.set(fl.dead, 0, 1)
		fl.set(fl.cut, 0, 1)
		is.True(fl.write(2, 0, 1) < inForce)
	})
}

// TestStoreAway is the pattern of a store that nobody reaches: beliefs stay, calls are few, and
// a change made on its return is in force in time.
func TestStoreAway(t *testing.T) {
	play(t, func(is *is.I, fl *fleet) {
		before := fl.called()
		fl.set(fl.cut, 0, 1, 2, 3, 4, 5, 6)
		time.Sleep(60 * time.Second)
		is.True(fl.called()-before < 60*(4*2+3)) // readers and reserves twice a second, others rarely
		for _, v := range fl.vms {
			is.Equal(v.State().Table.Config.Version, uint64(1))
		}
		fl.set(fl.cut)
		is.True(fl.write(2) < inForce)
	})
}

// TestStartWhileTheStoreIsAway checks that a VM that knows nothing learns from the others.
func TestStartWhileTheStoreIsAway(t *testing.T) {
	play(t, func(is *is.I, fl *fleet) {
		fl.set(fl.cut, 0, 1, 2, 3, 4, 5, 6)
		time.Sleep(30 * time.Second)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		v := New(plain{}, quiet())
		go v.Follow(ctx, 2, link{fl, 6, 0})
		time.Sleep(2 * time.Second)
		is.True(v.State() != nil)
	})
}

// first is a Guide with a source that serves the first read alone, and a store that is held back.
type first struct {
	seed, store replicator.Source
	hold        time.Duration
}

func (g first) Sources(int) []NamedSource {
	return []NamedSource{
		{Name: "seed", Source: g.seed, BootstrapOnly: true},
		{Name: "store", IsStore: true, Source: g.store, BootstrapDelay: g.hold},
	}
}

// counted counts the snapshots that are read of a copy.
type counted struct {
	*replicator.Cache
	snapshots atomic.Int64
}

func (c *counted) Snapshot(ctx context.Context) (replicator.Batch, error) {
	c.snapshots.Add(1)
	return c.Cache.Snapshot(ctx)
}

// TestFirstReadLeavesTheStore is the pattern of hundreds of VMs that start together: a VM that gets its
// first snapshot from a seed does not read the store, and one whose seeds are dead reads it later.
func TestFirstReadLeavesTheStore(t *testing.T) {
	for _, alive := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithCancel(t.Context())
			seed, store := &counted{Cache: &replicator.Cache{}}, &counted{Cache: &replicator.Cache{}}
			store.Load(batch(5, item("config", "1", 5)), time.Now())
			if alive {
				seed.Load(batch(5, item("config", "1", 5)), time.Now())
			}
			f := New(plain{}, quiet())
			go f.first(ctx, first{seed, store, time.Second})
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
