package path

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/ebonylock/ebonylock/tests/fleet"
)

// ask sends a GET request on c without waiting for the answer.
func ask(is *is.I, c net.Conn, path string) {
	_, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: h.example\r\nRequest-Id: d-1\r\nDeadline-Ms: 5000\r\n\r\n", path)
	is.NoErr(err)
}

// readStatus reads the answer of a request that was sent on c.
func readStatus(is *is.I, c net.Conn) int {
	is.NoErr(c.SetReadDeadline(time.Now().Add(20 * time.Second)))
	w, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	_ = w.Body.Close()
	return w.StatusCode
}

// TestCallersUseUpDescriptors guards against a VM that ends, and cuts every request in progress, because
// callers open more connections than it has file descriptors. It must also have descriptors left for
// connections to replicas, and serve the waiting callers once others have left.
func TestCallersUseUpDescriptors(t *testing.T) {
	is := is.New(t)
	f, err := fleet.StartSite(binDir, 1, 0, t.Output())
	is.NoErr(err)
	t.Cleanup(f.Kill)
	vm := fleet.NewSiteVM(1, "dc-1", f.Store.Addr())
	vm.Descriptors = 120
	is.NoErr(vm.Start(binDir, t.TempDir(), t.Output()))
	t.Cleanup(vm.Kill)
	for end := time.Now().Add(20 * time.Second); f.CheckComplete(vm) != nil; time.Sleep(20 * time.Millisecond) {
		is.True(time.Now().Before(end)) // the VM serves
	}
	dial := func() net.Conn {
		c, err := net.DialTimeout("tcp4", vm.Callers(), time.Second)
		is.NoErr(err)
		t.Cleanup(func() { _ = c.Close() })
		return c
	}
	running, kept := dial(), dial()
	ask(is, kept, "/write/x")
	is.Equal(readStatus(is, kept), http.StatusOK)
	ask(is, running, "/write/slow")
	var crowd []net.Conn
	for range 2 * vm.Descriptors {
		crowd = append(crowd, dial())
	}
	ask(is, kept, "/search/slow") // needs connections to two replicas
	is.Equal(readStatus(is, running), http.StatusOK)
	is.Equal(readStatus(is, kept), http.StatusOK)
	is.True(vm.Ready(5 * time.Second))
	last := dial()
	ask(is, last, "/write/x")
	for _, c := range crowd {
		_ = c.Close()
	}
	is.Equal(readStatus(is, last), http.StatusOK)
	is.True(!vm.Wait(0)) // the process still runs
}
