package crowd

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
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

// faultyServer is a backend server that answers requests for a path as a faulty replica, and others soundly.
type faultyServer struct {
	path  string
	reply faultyReply
	// asked is closed at the first request.
	asked chan struct{}
	once  sync.Once
}

// ServeHTTP implements http.Handler.
func (s *faultyServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.once.Do(func() { close(s.asked) })
	_, _ = io.Copy(io.Discard, r.Body)
	switch r.URL.Path {
	case s.path:
		c, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		if _, err := io.WriteString(c, s.reply.head); err == nil {
			writeWithoutEnd(c, s.reply.more)
		}
	case "/v1/state":
		_, _ = io.WriteString(w, `{"boot-id": "b", "held": [{"number": 1, "partitions": ["p"]}]}`)
	default:
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// startFaultyServers starts faulty backend servers and returns them with their addresses.
func startFaultyServers(t *testing.T, path string, reply faultyReply) (servers []*faultyServer, addrs []netip.AddrPort) {
	t.Helper()
	for range faultyReplicas {
		s := &faultyServer{path: path, reply: reply, asked: make(chan struct{})}
		srv := httptest.NewServer(s)
		t.Cleanup(func() {
			srv.CloseClientConnections()
			srv.Close()
		})
		servers = append(servers, s)
		addrs = append(addrs, srv.Listener.Addr().(*net.TCPAddr).AddrPort())
	}
	return servers, addrs
}

// TestOwnReplies sends many searches at once whose backend servers send replies without end, to them or to the checks of
// their state.
func TestOwnReplies(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
	block := bytes.Repeat([]byte("x"), 64<<10)
	for _, tc := range []struct {
		name, path string
		memory     int
		reply      faultyReply
	}{
		{"no head", "/v1/run", 96, faultyReply{more: block}},
		{"a body without a length", "/v1/run", 96, faultyReply{head: ok + "Connection: close\r\n\r\n", more: block}},
		{"a body without a length", "/v1/run", 160, faultyReply{head: ok + "Connection: close\r\n\r\n", more: block}},
		{"chunks", "/v1/run", 160, faultyReply{head: ok + "Transfer-Encoding: chunked\r\n\r\n", more: fmt.Appendf(nil, "%x\r\n%s\r\n", len(block), block)}},
		{"a body without a length", "/v1/state", 96, faultyReply{head: ok + "Connection: close\r\n\r\n", more: block}},
		{"chunks", "/v1/state", 160, faultyReply{head: ok + "Transfer-Encoding: chunked\r\n\r\n", more: fmt.Appendf(nil, "%x\r\n%s\r\n", len(block), block)}},
	} {
		t.Run(fmt.Sprintf("%s, %s, %d MiB", tc.path, tc.name, tc.memory), func(t *testing.T) {
			const descriptors = 4000
			is := is.New(t)
			f, err := fleet.Start(fleet.Config{
				Bin: binDir, Deployment: standin.Deployments[0], VMs: 1, MemoryMB: tc.memory, Descriptors: descriptors, Log: t.Output(),
			})
			is.NoErr(err)
			t.Cleanup(f.Kill)
			vm := f.VMs[0]
			m := measure(vm.PID(), vm.Callers)
			m.limit = tc.memory << 20
			servers, addrs := startFaultyServers(t, tc.path, tc.reply)
			is.NoErr(f.ReplaceServers("hire-billing", addrs, 8))
			for _, s := range servers {
				<-s.asked // the VM has opened it
			}
			var n atomic.Int64
			askAll(t, replyCallers, replyRounds, func(context.Context) error {
				query := map[string]any{"query": map[string]any{"q": n.Add(1)}, "deadline-ms": 1000}
				_, _, err := f.CallVM(vm, "/v1/search/hire-billing", query)
				return err
			})
			checkSearch(t, f, vm)
			m.check(t, descriptors)
		})
	}
}
