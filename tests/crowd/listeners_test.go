package crowd

import (
	"encoding/binary"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/ebonylock/ebonylock/tests/fleet"
)

// siteListeners are the listeners of a VM that are not for callers.
var siteListeners = []struct {
	name string
	addr func(vm *fleet.SiteVM) string
}{
	{"readiness", (*fleet.SiteVM).Readiness},
	{"metrics", (*fleet.SiteVM).MetricsAddr},
	{"link", (*fleet.SiteVM).Link},
}

// checkVM checks that the VM answers the load balancer and an ordinary caller.
func checkVM(t *testing.T, vm *fleet.SiteVM) {
	t.Helper()
	is := is.New(t)
	is.True(vm.Ready(20 * time.Second))
	checkOrdinary(t, vm, "/write/x")
}

// TestListenersOfAVM sends crowds of clients to the listeners of a VM that are for the load balancer, for metrics and
// for other VMs.
func TestListenersOfAVM(t *testing.T) {
	const large = 4<<20 - 1
	bodies := fmt.Sprintf("POST /-/readiness HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", large, strings.Repeat("x", large-1))
	heads := "GET /-/readiness HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("X: "+strings.Repeat("y", 1000)+"\r\n", 900)
	chunked := "POST /-/readiness HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks(large, 1<<20, "")
	// A frame between VMs starts with its length. Only its end shows whether the sender has the key.
	frames := "GET /stream/1 HTTP/1.1\r\nHost: h\r\n\r\n" + string(binary.BigEndian.AppendUint32(nil, large)) + strings.Repeat("x", large-1)
	for _, l := range siteListeners {
		for _, tc := range []struct{ name, sent string }{{"bodies", bodies}, {"chunks", chunked}, {"heads", heads}, {"frames", frames}} {
			t.Run(l.name+" "+tc.name, func(t *testing.T) {
				const descriptors = 4000
				vm := startVM(t, descriptors)
				m := measure(vm.PID(), vm.Callers())
				send(t, m, repeat(150, l.addr(vm), tc.sent))
				checkVM(t, vm)
				m.check(t, descriptors)
			})
		}
	}
}

// TestListenersUseUpDescriptors guards against clients of one listener that leave no file descriptors for the others.
func TestListenersUseUpDescriptors(t *testing.T) {
	for _, l := range siteListeners {
		t.Run(l.name, func(t *testing.T) {
			const descriptors = 200
			vm := startVM(t, descriptors)
			m := measure(vm.PID(), vm.Callers())
			send(t, m, repeat(3*descriptors, l.addr(vm), "GET /"))
			checkVM(t, vm)
			m.check(t, descriptors)
		})
	}
}
