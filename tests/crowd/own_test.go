package crowd

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/ebonylock/ebonylock/tests/fleet"
	"github.com/ebonylock/ebonylock/tests/standin"
)

// startEntryVM starts one entry VM of the own interface whose process has memoryMB.
func startEntryVM(t *testing.T, descriptors int) (*fleet.Fleet, *fleet.VM) {
	t.Helper()
	f, err := fleet.Start(fleet.Config{
		Bin: binDir, Deployment: standin.Deployments[0], VMs: 1, MemoryMB: memoryMB, Descriptors: descriptors, Log: t.Output(),
	})
	is.New(t).NoErr(err)
	t.Cleanup(f.Kill)
	return f, f.VMs[0]
}

// checkSearch sends one search to an entry VM and fails the test unless it is answered.
func checkSearch(t *testing.T, f *fleet.Fleet, vm *fleet.VM) {
	t.Helper()
	is := is.New(t)
	status, raw, err := f.CallVM(vm, "/v1/search/stand-search", map[string]any{"query": map[string]string{"q": "x"}, "deadline-ms": 5000})
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
	is.True(json.Valid(raw))
	is.True(vm.Ready())
}

// TestOwnInterface sends crowds of clients to the listeners for callers and for operators of an entry VM.
func TestOwnInterface(t *testing.T) {
	const operatorBody = 2 << 20
	request := func(path string, length, sent int) string {
		return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", path, length, strings.Repeat("x", sent))
	}
	const chunked = "Transfer-Encoding: chunked\r\n\r\n"
	small := "POST /v1/search/stand-search HTTP/1.1\r\nHost: h\r\n" + chunked + chunks(maxBody, 1, "")
	large := "POST /v1/search/stand-search HTTP/1.1\r\nHost: h\r\n" + chunked + chunks(maxBody, 64<<10, "")
	query := fmt.Sprintf(`{"query": %q, "deadline-ms": 9000}`, strings.Repeat("x", maxBody-100))
	whole := fmt.Sprintf("POST /v1/search/stand-search HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", len(query), query)
	callers := func(vm *fleet.VM) string { return vm.Callers }
	operators := func(vm *fleet.VM) string { return vm.Operators }
	for _, tc := range []struct {
		name   string
		n      int
		addr   func(vm *fleet.VM) string
		pieces []string
	}{
		{"callers, bodies that stop short", 600, callers, []string{request("/v1/search/stand-search", maxBody, maxBody-1)}},
		{"callers, bodies in pieces that stop short", 600, callers, cut(request("/v1/search/stand-search", maxBody, maxBody-1), 16<<10)},
		{"callers, bodies that are only announced", 2000, callers, []string{request("/v1/search/stand-search", maxBody, 0)}},
		{"callers, whole bodies", 600, callers, []string{whole}},
		{"callers, large chunks", 600, callers, []string{large}},
		{"callers, small chunks", 200, callers, []string{small}},
		{"callers, forms", 600, callers, []string{strings.Replace(request("/v1/search/stand-search", maxBody, maxBody-1), "Host: h", "Host: h\r\nContent-Type: multipart/form-data; boundary=b", 1)}},
		{"operators, bodies that stop short", 150, operators, []string{request("/v1/intent/plan", operatorBody, operatorBody-1)}},
		{"operators, chunks", 150, operators, []string{"POST /v1/intent/plan HTTP/1.1\r\nHost: h\r\n" + chunked + chunks(operatorBody, 64<<10, "")}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			const descriptors = 4000
			f, vm := startEntryVM(t, descriptors)
			m := measure(vm.PID(), vm.Callers)
			send(t, m, repeat(tc.n, tc.addr(vm), tc.pieces...))
			checkSearch(t, f, vm)
			m.check(t, descriptors)
		})
	}
}

// TestOwnInterfaceUsesUpDescriptors guards against clients of one listener of an entry VM that leave no file descriptors
// for the requests of others.
func TestOwnInterfaceUsesUpDescriptors(t *testing.T) {
	for name, addr := range map[string]func(vm *fleet.VM) string{
		"callers":   func(vm *fleet.VM) string { return vm.Callers },
		"operators": func(vm *fleet.VM) string { return vm.Operators },
	} {
		t.Run(name, func(t *testing.T) {
			const descriptors = 300
			f, vm := startEntryVM(t, descriptors)
			m := measure(vm.PID(), vm.Callers)
			send(t, m, repeat(3*descriptors, addr(vm), "POST /"))
			checkSearch(t, f, vm)
			m.check(t, descriptors)
		})
	}
}
