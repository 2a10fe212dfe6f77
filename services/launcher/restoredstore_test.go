package launcher

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/ebonylock/ebonylock/modules/prober"
	"github.com/ebonylock/ebonylock/services/replicator"
)

// at returns the state of a store with the key a, whose value is that of the last change.
func at(era, revision uint64, value string) replicator.Batch {
	v := replicator.Version{Era: era, Revision: revision}
	return replicator.Batch{Items: []replicator.Item{{Key: "a", Value: []byte(value), Version: v}}, Cursor: replicator.Cursor{Version: v}}
}

// restoreStore lets the store of a fleet come back from a copy, drills times half a second apart, while the first lost
// VMs by rank lose power. It returns what wait returns for the last return.
func restoreStore(t *testing.T, members []prober.Member, drills, lost int, seed uint64) (took time.Duration, calls, peak int) {
	fl, stop := startPowerFleet(members, rand.New(rand.NewPCG(seed, 1)))
	defer stop()
	fl.store.Load(at(1, 50, "lost"), storeTime())
	time.Sleep(3 * time.Second)
	fl.mu.Lock()
	for _, m := range rankMembers(members)[:lost] {
		fl.dark[m.ID] = true
	}
	fl.calls = nil
	fl.mu.Unlock()
	var back time.Time
	var last replicator.Batch
	for i := range drills {
		time.Sleep(500 * time.Millisecond)
		back, last = time.Now(), at(uint64(2+i), uint64(40-i), fmt.Sprint("kept ", i))
		fl.store.Load(last, storeTime())
	}
	took, calls, peak = fl.wait(last.Version, back)
	// What is written next has a revision that was given out before.
	next := at(last.Era, last.Revision+5, "again")
	fl.store.Apply(next, storeTime())
	time.Sleep(3 * time.Second)
	for id, f := range fl.vms {
		if it := f.Cache.Item("a"); !fl.dark[id] && string(it.Value) != "again" {
			t.Errorf("%s has %q at %v", id, it.Value, it.Version)
		}
	}
	return took, calls, peak
}

// TestRestoredStoreReachesAllVMs guards against VMs that take no more changes after the store has come back from an
// older copy, at a lower revision, or that mix the changes of both histories.
func TestRestoredStoreReachesAllVMs(t *testing.T) {
	type drill struct{ vms, drills, lost int }
	cases := []drill{{7, 1, 0}, {7, 2, 0}, {7, 1, 2}, {60, 1, 0}, {60, 2, 2}, {300, 1, 0}}
	for _, c := range cases {
		t.Run(fmt.Sprintf("%d-vms-%d-drills-%d-lost", c.vms, c.drills, c.lost), func(t *testing.T) {
			members := slices.Clone(testFleet((c.vms + 2) / 3)[:c.vms])
			seeds := uint64(5)
			if c.vms > 100 {
				seeds = 1
			}
			var took time.Duration
			var calls, peak int
			for seed := range seeds {
				synctest.Test(t, func(t *testing.T) {
					d, n, p := restoreStore(t, members, c.drills, c.lost, seed)
					took, calls, peak = max(took, d), max(calls, n), max(peak, p)
				})
			}
			t.Logf("in the new era everywhere after %v; calls of the store in 3 s: %d, at most %d within 100 ms", took, calls, peak)
			is.New(t).True(took < 3*time.Second)
		})
	}
}

// TestVMsOfVersionBefore guards against VMs that take the replies of readers that send no era for those of the era in
// force, or that learn of no more changes because they don't.
func TestVMsOfVersionBefore(t *testing.T) {
	for _, n := range []int{7, 60} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				members := testFleet((n + 2) / 3)[:n]
				fl, stop := startPowerFleet(members, rand.New(rand.NewPCG(1, 1)))
				defer stop()
				fl.store.Load(at(2, 40, "kept"), storeTime())
				time.Sleep(5 * time.Second)
				fl.mu.Lock()
				for _, m := range rankMembers(members)[:readerCount+standbyCount] {
					fl.eraless[m.ID] = true
				}
				fl.mu.Unlock()
				time.Sleep(5 * time.Second)
				fl.mu.Lock()
				fl.calls = nil
				fl.mu.Unlock()
				changed := at(2, 41, "changed")
				fl.store.Apply(changed, storeTime())
				took, calls, peak := fl.wait(changed.Version, time.Now())
				t.Logf("known everywhere after %v; calls of the store in 3 s: %d, at most %d within 100 ms", took, calls, peak)
				is.New(t).True(took < 3*time.Second)
			})
		})
	}
}
