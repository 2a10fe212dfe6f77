package launcher

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/ebonylock/ebonylock/modules/prober"
	"github.com/ebonylock/ebonylock/modules/registrar"
	"github.com/ebonylock/ebonylock/modules/router"
	"github.com/ebonylock/ebonylock/services/follower"
	"github.com/ebonylock/ebonylock/services/replicator"
)

type ignoringDecoder struct{}

func (ignoringDecoder) ParseKey(string) (follower.KeyKind, string)              { return follower.OtherKey, "" }
func (ignoringDecoder) Config([]byte) (c router.Config, err error)              { return c, nil }
func (ignoringDecoder) Replica(string, []byte) (r registrar.Replica, err error) { return r, nil }

// powerFleet is a store and the VMs that follow it, in virtual time. The membership never changes, so a VM
// without power stays in the lists of sources.
type powerFleet struct {
	store replicator.Cache
	vms   map[string]*follower.Follower

	mu sync.Mutex
	// dark holds the VMs without power.
	dark map[string]bool
	// eraless holds the VMs that send no era with their replies.
	eraless map[string]bool
	// calls holds the times of the store's calls by VMs with power.
	calls []time.Time
}

var errNoReply = errors.New("no reply")

const (
	storeRoundTrip = 40 * time.Millisecond
	relayRoundTrip = 20 * time.Millisecond
	// As in package relayer.
	silentSnapshot = time.Second
	silentMargin   = 500 * time.Millisecond
)

// powerSource is the store, or the VM with the ID to, as the VM with the ID from sees it.
type powerSource struct {
	fl       *powerFleet
	from, to string
}

func (s powerSource) read(ctx context.Context, timeout time.Duration, f func(replicator.Source) (replicator.Batch, error)) (replicator.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var source replicator.Source = &s.fl.store
	trip := storeRoundTrip
	if s.to != "store" {
		source, trip = &s.fl.vms[s.to].Cache, relayRoundTrip
	}
	s.fl.mu.Lock()
	if s.to == "store" && !s.fl.dark[s.from] {
		s.fl.calls = append(s.fl.calls, time.Now())
	}
	s.fl.mu.Unlock()
	time.Sleep(trip / 2)
	b, err := f(source)
	time.Sleep(trip / 2)
	s.fl.mu.Lock()
	dark := s.fl.dark[s.to] || s.fl.dark[s.from]
	if s.fl.eraless[s.to] {
		b.Era = 0
		b.Items = slices.Clone(b.Items)
		for i := range b.Items {
			b.Items[i].Era = 0
		}
	}
	s.fl.mu.Unlock()
	if dark {
		<-ctx.Done()
		return replicator.Batch{}, errNoReply
	}
	if s.to == "store" {
		b.Age = 0
	}
	return b, err
}

func (s powerSource) Snapshot(ctx context.Context) (replicator.Batch, error) {
	return s.read(ctx, silentSnapshot, func(src replicator.Source) (replicator.Batch, error) { return src.Snapshot(ctx) })
}

func (s powerSource) Changes(ctx context.Context, after replicator.Cursor, wait time.Duration) (replicator.Batch, error) {
	return s.read(ctx, wait+silentMargin, func(src replicator.Source) (replicator.Batch, error) { return src.Changes(ctx, after, wait) })
}

// powerProvider replaces the sources of a sourceProvider by those of the fleet.
type powerProvider struct {
	*sourceProvider
	fl *powerFleet
}

func (p powerProvider) Sources(watcher int) []follower.NamedSource {
	out := p.sourceProvider.Sources(watcher)
	for i := range out {
		out[i].Source = powerSource{p.fl, p.self, out[i].Name}
	}
	return out
}

// storeTime returns the time at which the store is loaded: it lies in the future, so that the store is never stale.
func storeTime() time.Time {
	return time.Now().Add(1000 * time.Hour)
}

// startPowerFleet starts the VMs of a fleet and waits until a moment that is drawn. stop ends them.
func startPowerFleet(members []prober.Member, draw *rand.Rand) (fl *powerFleet, stop func()) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	fl = &powerFleet{vms: make(map[string]*follower.Follower), dark: make(map[string]bool), eraless: make(map[string]bool)}
	fl.store.Load(replicator.Batch{Items: []replicator.Item{{Key: "a", Version: replicator.Version{Revision: 1}}}, Cursor: replicator.Cursor{Version: replicator.Version{Revision: 1}}}, storeTime())
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for _, m := range members {
		fl.vms[m.ID] = follower.New(ignoringDecoder{}, log)
	}
	for _, m := range members {
		start := time.Duration(draw.IntN(1000)) * time.Millisecond
		wg.Go(func() {
			time.Sleep(start)
			fl.vms[m.ID].Follow(ctx, 2, powerProvider{newProvider(members, m), fl})
		})
	}
	time.Sleep(10*time.Second + time.Duration(draw.IntN(1000))*time.Millisecond)
	return fl, func() {
		cancel()
		wg.Wait()
	}
}

// wait waits until all VMs with power have reached a version, which the store has had since the time at. It returns how
// long that took, the number of calls of the store in the 3 s from then on, and the most of them within 100 ms.
func (fl *powerFleet) wait(v replicator.Version, at time.Time) (took time.Duration, calls, peak int) {
	for id, f := range fl.vms {
		for !fl.dark[id] && f.Cache.Version().Before(v) && time.Since(at) < 20*time.Second {
			time.Sleep(5 * time.Millisecond)
		}
	}
	took = time.Since(at)
	time.Sleep(3*time.Second - min(took, 3*time.Second))
	fl.mu.Lock()
	defer fl.mu.Unlock()
	for i, c := range fl.calls {
		n := 0
		for _, d := range fl.calls[i:] {
			if d.Sub(c) < 100*time.Millisecond {
				n++
			}
		}
		peak = max(peak, n)
		if c.Sub(at) < 3*time.Second {
			calls++
		}
	}
	return took, calls, peak
}

// losePower lets the first lost VMs by rank of a fleet lose power at a moment that the seed draws, and changes
// the store right after. It returns what wait returns.
func losePower(members []prober.Member, lost int, seed uint64) (took time.Duration, calls, peak int) {
	fl, stop := startPowerFleet(members, rand.New(rand.NewPCG(seed, 1)))
	defer stop()
	fl.mu.Lock()
	for _, m := range rankMembers(members)[:lost] {
		fl.dark[m.ID] = true
	}
	fl.calls = nil
	fl.mu.Unlock()
	at := time.Now()
	time.Sleep(time.Millisecond)
	fl.store.Apply(replicator.Batch{Items: []replicator.Item{{Key: "a", Version: replicator.Version{Revision: 2}}}, Cursor: replicator.Cursor{Version: replicator.Version{Revision: 2}}}, at)
	return fl.wait(replicator.Version{Revision: 2}, at)
}

// TestReadersLosePower guards against VMs that go back and forth between VMs without power, while the store and
// the standby readers would answer: a change is known everywhere within 3 s before the membership notices.
func TestReadersLosePower(t *testing.T) {
	for _, vms := range []int{7, 60, 300} {
		members := testFleet((vms + 2) / 3)[:vms]
		// The largest fleet is drawn once, as it takes the most time.
		seeds, most := uint64(5), 4
		if vms > 100 {
			seeds, most = 1, 3
		}
		for lost := 1; lost <= most; lost++ {
			t.Run(fmt.Sprintf("%d-of-%d", lost, vms), func(t *testing.T) {
				var took time.Duration
				var calls, peak int
				for seed := range seeds {
					synctest.Test(t, func(*testing.T) {
						d, n, p := losePower(members, lost, seed)
						took, calls, peak = max(took, d), max(calls, n), max(peak, p)
					})
				}
				t.Logf("known everywhere after %v; calls of the store in 3 s: %d, at most %d within 100 ms", took, calls, peak)
				is.New(t).True(took < 3*time.Second)
			})
		}
	}
}
