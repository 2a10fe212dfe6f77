package launcher

import (
	"fmt"
	"testing"
	"time"

	"github.com/ebonylock/ebonylock/tests/site"
)

// TestLeavingReplicaWhateverTheStoreSays guards against requests to a replica that has said that it leaves while the
// store's copy still has it as ready, is written anew, is away or is lost, or a configuration comes.
func TestLeavingReplicaWhateverTheStoreSays(t *testing.T) {
	vm := start(t)
	is := vm.is
	vm.add("c-2")
	used := func(id string) bool {
		before := len(vm.replicas[id].Requests())
		for i := range 8 {
			resp, _ := vm.get(fmt.Sprint("r-", i), "/write/x")
			is.Equal(resp.StatusCode, 200)
		}
		return len(vm.replicas[id].Requests()) > before
	}
	vm.waitFor(func() bool { s := vm.d.follow.State(); return s != nil && len(s.View.Services["c"]) == 2 })
	_, leaver := vm.get("bye", "/write/leave")
	is.True(leaver == "c-1" || leaver == "c-2")
	is.True(!used(leaver))

	revision := func() uint64 { return vm.d.follow.Cache.Revision() }
	change := func(f func()) {
		before := revision()
		f()
		vm.waitFor(func() bool { return revision() > before })
	}
	change(func() { vm.register(leaver, "ready") })
	is.True(!used(leaver)) // an older state that comes later
	change(func() { vm.configure(3, `"gather":["a","b"],"top_k":3,"min_shard_share":0.5`) })
	is.True(!used(leaver)) // a new configuration
	vm.store.SetFaults(site.Faults{Status: 503})
	vm.waitFor(func() bool { return time.Since(vm.d.follow.SyncedAt()) > 2*time.Second })
	is.True(!used(leaver)) // the store is away
	vm.store.Compact()
	vm.store.SetFaults(site.Faults{})
	vm.waitFor(func() bool { return time.Since(vm.d.follow.SyncedAt()) < time.Second })
	is.True(!used(leaver)) // a snapshot replaces the copy
	vm.d.forward.Forget(time.Now().Add(time.Hour))
	is.True(!used(leaver)) // unused statistics are dropped

	// Without another replica requests are refused, as it isn't a last resort either.
	other := map[string]string{"c-1": "c-2", "c-2": "c-1"}[leaver]
	before := len(vm.replicas[leaver].Requests())
	vm.register(other, "draining")
	vm.waitFor(func() bool { resp, _ := vm.get("wait", "/write/x"); return resp.StatusCode == 503 })
	resp, _ := vm.get("refused", "/write/x")
	is.True(resp.Header.Get("Retry-After") != "")
	vm.waitFor(func() bool { return vm.log.lastRequest("refused") != nil })
	is.Equal(fmt.Sprint(vm.log.lastRequest("refused")["missing"]), "[c replica-leaving]")
	is.Equal(len(vm.replicas[leaver].Requests()), before)

	// A process that was started since then is another replica.
	vm.store.Put("servers/"+leaver, fmt.Appendf(nil, `{"service":"c","address":%q,"zone":"dc-1","version":"v1","slots":2,"state":"ready","warmup_left_ms":0,"sequence":1,"born":%d}`,
		vm.replicas[leaver].Addr(), time.Now().UnixMilli()))
	vm.waitFor(func() bool { resp, _ := vm.get("wait", "/write/x"); return resp.StatusCode == 200 })
	is.True(used(leaver))
}
