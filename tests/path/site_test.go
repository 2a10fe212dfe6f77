package path

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/ebonylock/ebonylock/tests/fleet"
)

// TestSite runs three VMs as separate processes on the stand-ins of the users' platform. All must
// answer completely, and so must the remaining VMs while two are stopped one after the other.
func TestSite(t *testing.T) {
	is := is.New(t)
	f, err := fleet.StartSite(binDir, 3, 0, t.Output())
	is.NoErr(err)
	t.Cleanup(f.Kill)
	for _, vm := range f.VMs {
		is.NoErr(f.CheckComplete(vm))
	}
	is.NoErr(f.VMs[1].Stop())
	w, _, err := f.VMs[0].Get("w-1", "/write/x")
	is.NoErr(err)
	is.Equal(w.StatusCode, http.StatusOK)
	is.NoErr(f.CheckComplete(f.VMs[2]))
	is.NoErr(f.VMs[2].Stop())
	is.NoErr(f.CheckComplete(f.VMs[0]))
}

// TestSiteGathers limits the replicas to fewer connections than there are VMs, so that two VMs
// gather parts for all three. One of these two is stopped, then another VM is killed; each time the
// remaining VMs must go on answering completely.
func TestSiteGathers(t *testing.T) {
	is := is.New(t)
	f, err := fleet.StartSite(binDir, 3, 2, t.Output())
	is.NoErr(err)
	t.Cleanup(f.Kill)
	for _, vm := range f.VMs {
		is.NoErr(f.CheckComplete(vm))
	}
	answeringVMs := 0
	for _, vm := range f.VMs {
		m, err := vm.Metrics()
		is.NoErr(err)
		if strings.Contains(m, `ebonylock_forward_calls_total{outcome="answered"}`) {
			answeringVMs++
		}
	}
	is.True(answeringVMs > 0) // at least one VM answered a gather call of another
	is.NoErr(f.VMs[1].Stop())
	is.NoErr(f.CheckComplete(f.VMs[0]))
	is.NoErr(f.CheckComplete(f.VMs[2]))
	f.VMs[2].Kill()
	is.NoErr(f.CheckComplete(f.VMs[0]))
}

// TestSiteLeaver guards against requests that other VMs send to a replica that has told one VM that it leaves: the
// VMs tell each other while the store's copy still has it as ready.
func TestSiteLeaver(t *testing.T) {
	is := is.New(t)
	f, err := fleet.StartSite(binDir, 7, 0, t.Output())
	is.NoErr(err)
	t.Cleanup(f.Kill)
	w, _, err := f.VMs[3].Get("bye", "/write/leave")
	is.NoErr(err)
	is.Equal(w.StatusCode, http.StatusOK)
	began := time.Now()
	for _, vm := range f.VMs {
		for {
			m, err := vm.Metrics()
			is.NoErr(err)
			if strings.Contains(m, `ebonylock_forward_replicas_closed{state="leaving"} 1`) {
				t.Logf("%s knows of it after %v", vm.ID, time.Since(began).Round(time.Millisecond))
				break
			}
			if time.Since(began) > time.Minute {
				t.Fatalf("%s has not heard of the replica that leaves", vm.ID)
			}
			time.Sleep(10 * time.Millisecond)
		}
		w, _, err := vm.Get("after", "/write/x")
		is.NoErr(err)
		is.Equal(w.StatusCode, http.StatusOK)
	}
}

// TestGatherersStop guards against queries that lose parts because a VM that gathers them for another VM stops. Each VM
// stops in turn while callers ask the others for parts that take long and for parts that don't.
func TestGatherersStop(t *testing.T) {
	is := is.New(t)
	f, err := fleet.StartSite(binDir, 3, 2, t.Output())
	is.NoErr(err)
	t.Cleanup(f.Kill)
	dir := t.TempDir()
	for i, stopping := range f.VMs {
		var wg sync.WaitGroup
		var over atomic.Bool
		for n := range 8 {
			wg.Go(func() {
				path := [...]string{"/search/x", "/search/slow"}[n%2]
				for k := 0; !over.Load(); k++ {
					vm := f.VMs[(i+1+k%2)%3]
					id := fmt.Sprintf("stop-%d-%d-%d", i, n, k)
					w, _, err := vm.Get(id, path)
					if err != nil || w.StatusCode != http.StatusOK || w.Header.Get("Missing-Parts") != "0" {
						t.Errorf("%s of %s: %v %+v", id, vm.ID, err, w)
						return
					}
				}
			})
		}
		time.Sleep(time.Second)
		err := stopping.Stop()
		over.Store(true)
		wg.Wait()
		is.NoErr(err)
		is.NoErr(stopping.Start(binDir, dir, t.Output()))
		for end := time.Now().Add(20 * time.Second); f.CheckComplete(stopping) != nil; time.Sleep(20 * time.Millisecond) {
			is.True(time.Now().Before(end)) // it serves again
		}
	}
}
