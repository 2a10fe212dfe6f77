package crowd

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/matryer/is"

	"github.com/ebonylock/ebonylock/tests/fleet"
)

// maxHeader is the operator's limit on the head of a request in bytes.
const maxHeader = 128 << 10

// startVM starts a VM on the stand-ins of the users' platform whose process has memoryMB.
func startVM(t *testing.T, descriptors int) *fleet.SiteVM {
	t.Helper()
	_, vm := startSite(t, memoryMB, descriptors)
	return vm
}

// startSite is startVM for a process with the given memory. It returns the stand-ins as well.
func startSite(t *testing.T, memory, descriptors int) (*fleet.SiteFleet, *fleet.SiteVM) {
	t.Helper()
	is := is.New(t)
	f, err := fleet.StartSite(binDir, 1, 0, t.Output())
	is.NoErr(err)
	t.Cleanup(f.Kill)
	f.SetLimits(fleet.Limits{MaxHeader: maxHeader, MaxBody: maxBody, HeaderTimeout: 30 * time.Second, IdleTimeout: 30 * time.Second})
	vm := fleet.NewSiteVM(1, "dc-1", f.Store.Addr())
	vm.MemoryMB, vm.Descriptors = memory, descriptors
	is.NoErr(vm.Start(binDir, t.TempDir(), t.Output()))
	t.Cleanup(vm.Kill)
	// The VM may start with the configuration of before.
	for end := time.Now().Add(20 * time.Second); !hasSecondConfig(vm) || !servesLargest(vm) || f.CheckComplete(vm) != nil; time.Sleep(20 * time.Millisecond) {
		is.True(time.Now().Before(end)) // the VM serves
	}
	return f, vm
}

// hasSecondConfig reports whether the VM has the configuration with the limits of the tests. A body that arrives before
// any configuration is served whatever its size.
func hasSecondConfig(vm *fleet.SiteVM) bool {
	metrics, err := vm.Metrics()
	return err == nil && strings.Contains(metrics, "ebonylock_beliefs_config_version 2\n")
}

// servesLargest reports whether the VM serves a request with the largest body.
func servesLargest(vm *fleet.SiteVM) bool {
	w, err := sendBody(vm, "/write/x", strings.NewReader(strings.Repeat("x", maxBody)))
	return err == nil && w.StatusCode == http.StatusOK
}

// sendBody sends a POST request with the given body and returns the answer, whose body is closed.
func sendBody(vm *fleet.SiteVM, path string, body io.Reader) (*http.Response, error) {
	r, err := http.NewRequest(http.MethodPost, "http://"+vm.Callers()+path, body)
	if err != nil {
		return nil, err
	}
	r.Host = "h.example"
	r.Header.Set("Request-Id", "large")
	r.Header.Set("Deadline-Ms", "5000")
	w, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, err
	}
	_, err = io.Copy(io.Discard, w.Body)
	_ = w.Body.Close()
	return w, err
}

// checkOrdinary sends one ordinary request on a new connection and fails the test unless it is answered.
func checkOrdinary(t *testing.T, vm *fleet.SiteVM, path string) {
	t.Helper()
	is := is.New(t)
	w, _, err := vm.Get("ordinary", path)
	is.NoErr(err)
	is.Equal(w.StatusCode, http.StatusOK)
}

// post returns the head of a POST request whose last line is field.
func post(path, field string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h.example\r\nRequest-Id: crowd\r\nDeadline-Ms: 5000\r\n%s\r\n\r\n", path, field)
}

func get(path string) string {
	return fmt.Sprintf("GET %s HTTP/1.1\r\nHost: h.example\r\nRequest-Id: crowd\r\nDeadline-Ms: 5000\r\n\r\n", path)
}

// chunks returns a chunked body of n bytes, without its last chunk, in chunks of size bytes with the given
// extension.
func chunks(n, size int, extension string) string {
	chunk := fmt.Sprintf("%x%s\r\n%s\r\n", size, extension, strings.Repeat("x", size))
	return strings.Repeat(chunk, n/size)
}

// TestCallers sends crowds of callers to a VM of the users' platform. Each request is inside the operator's limits
// as far as it is sent, and all requests of a crowd together are larger than the memory of the process.
func TestCallers(t *testing.T) {
	const chunked = "Transfer-Encoding: chunked"
	length := fmt.Sprintf("Content-Length: %d", maxBody)
	body := strings.Repeat("x", maxBody)
	for _, tc := range []struct {
		name     string
		n        int
		pieces   []string
		answered bool
	}{
		{"bodies that stop short", 600, []string{post("/write/x", length) + body[1:]}, false},
		{"bodies in pieces that stop short", 600, cut(post("/write/x", length)+body[1:], 16<<10), false},
		{"whole bodies", 600, []string{post("/write/slow", length) + body}, false},
		{"whole bodies for all shards", 300, []string{post("/search/slow", length) + body}, false},
		{"large chunks that stop short", 600, []string{post("/write/x", chunked) + chunks(maxBody, 64<<10, "")}, false},
		{"large chunks in pieces that stop short", 600, cut(post("/write/x", chunked)+chunks(maxBody, 64<<10, ""), 16<<10), false},
		{"whole chunked bodies", 600, []string{post("/write/slow", chunked) + chunks(maxBody, 64<<10, "") + "0\r\n\r\n"}, false},
		{"small chunks that stop short", 200, []string{post("/write/x", chunked) + chunks(maxBody, 1, "")}, false},
		{"small chunks in pieces that stop short", 200, cut(post("/write/x", chunked)+chunks(maxBody, 1, ""), 16<<10), false},
		{"chunk extensions", 60, []string{post("/write/x", chunked) + chunks(1<<10, 1, ";x="+strings.Repeat("y", 4000))}, false},
		{"trailers", 60, []string{post("/write/x", chunked) + "1\r\nx\r\n0\r\n" + strings.Repeat("X: "+strings.Repeat("y", 4000)+"\r\n", 1<<10)}, false},
		{"heads that stop short", 1200, []string{"GET /write/x HTTP/1.1\r\nHost: h.example\r\nX: " + strings.Repeat("y", maxHeader-1024)}, false},
		{"heads of many fields", 300, []string{post("/write/x", length+strings.Repeat("\r\na:", maxHeader/4-512)) + body[:maxBody/2]}, false},
		{"requests behind one in progress", 400, []string{get("/write/slow"), post("/write/x", length) + body, post("/write/x", length) + body[1:maxBody/2]}, false},
		{"answers that are not read", 150, []string{get("/write/big")}, true},
		{"many answers that are not read", 50, []string{strings.Repeat(get("/write/big"), 20)}, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			const descriptors = 4000
			vm := startVM(t, descriptors)
			m := measure(vm.PID(), vm.Callers())
			crowd := repeat(tc.n, vm.Callers(), tc.pieces...)
			for i := range crowd {
				crowd[i].answered = tc.answered
			}
			send(t, m, crowd)
			// A service that whole requests of a crowd keep busy need not answer others in time.
			ordinary := "/write/x"
			if strings.Contains(tc.pieces[0], "/write/slow") {
				ordinary = "/search/x"
			}
			checkOrdinary(t, vm, ordinary)
			m.check(t, descriptors)
		})
	}
}

// TestLargestRequestInCalm checks that a single request with the largest body is served, however it is framed.
func TestLargestRequestInCalm(t *testing.T) {
	vm := startVM(t, 0)
	body := strings.Repeat("x", maxBody)
	for _, tc := range []struct {
		name string
		// open returns the body. The client sends one whose length it does not know in chunks of what it reads at
		// once.
		open func() io.Reader
	}{
		{"length", func() io.Reader { return strings.NewReader(body) }},
		{"chunks", func() io.Reader { return io.MultiReader(strings.NewReader(body)) }},
		{"small chunks", func() io.Reader { return iotest.OneByteReader(strings.NewReader(body)) }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			for _, path := range []string{"/write/x", "/search/x"} {
				w, err := sendBody(vm, path, tc.open())
				is.NoErr(err)
				is.Equal(w.StatusCode, http.StatusOK)
			}
		})
	}
}

// TestStalledCallersUseUpDescriptors guards against callers that keep all connections, each with a part of a
// request, from those that come after them.
func TestStalledCallersUseUpDescriptors(t *testing.T) {
	const descriptors = 200
	vm := startVM(t, descriptors)
	m := measure(vm.PID(), vm.Callers())
	send(t, m, repeat(3*descriptors, vm.Callers(), "GET /write/x HTTP/1.1\r\n"))
	checkOrdinary(t, vm, "/write/x")
	m.check(t, descriptors)
}
