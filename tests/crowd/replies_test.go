package crowd

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/ebonylock/ebonylock/tests/fleet"
)

const (
	// faultyReplicas is the number of faulty replicas of a service, and replyCallers the number of callers
	// that ask it at the same time, each replyRounds times.
	faultyReplicas = 40
	replyCallers   = 200
	replyRounds    = 5
)

// faultyReply is what a faulty replica sends.
type faultyReply struct {
	// onAccept is sent as soon as a connection is open, without end.
	onAccept []byte
	// head begins the reply to each request. ID in it stands for the request's.
	head string
	// more follows head without end; if it is empty, body follows once.
	more, body []byte
}

// startFaultyReplicas starts faulty replicas and returns their addresses.
func startFaultyReplicas(t *testing.T, n int, reply faultyReply) []netip.AddrPort {
	t.Helper()
	var out []netip.AddrPort
	for range n {
		ln, err := net.Listen("tcp4", "127.0.0.1:0")
		is.New(t).NoErr(err)
		t.Cleanup(func() { _ = ln.Close() })
		go func() {
			for {
				c, err := ln.Accept()
				if err != nil {
					return
				}
				go reply.serve(c)
			}
		}()
		out = append(out, ln.Addr().(*net.TCPAddr).AddrPort())
	}
	return out
}

// serve sends the reply on one connection until the other end closes it.
func (r faultyReply) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	if r.onAccept != nil {
		writeWithoutEnd(c, r.onAccept)
		return
	}
	buf := make([]byte, 8<<10)
	for {
		n, err := c.Read(buf)
		if err != nil {
			return
		}
		id := headerValue(string(buf[:n]), "Request-Id")
		if _, err := c.Write([]byte(strings.ReplaceAll(r.head, "ID", id))); err != nil {
			return
		}
		if len(r.more) > 0 {
			writeWithoutEnd(c, r.more)
			return
		}
		if _, err := c.Write(r.body); err != nil {
			return
		}
	}
}

func writeWithoutEnd(w io.Writer, b []byte) {
	for {
		if _, err := w.Write(b); err != nil {
			return
		}
	}
}

// headerValue returns the value of a field in an encoded head.
func headerValue(head, name string) string {
	_, rest, _ := strings.Cut(head, name+": ")
	value, _, _ := strings.Cut(rest, "\r\n")
	return value
}

// askAll sends requests for a path, as many at the same time as there are callers, and reads the answers.
func askAll(t *testing.T, callers, rounds int, ask func(ctx context.Context) error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	var wg sync.WaitGroup
	for range callers {
		wg.Go(func() {
			for range rounds {
				if err := ask(ctx); err != nil {
					t.Error(err) // a faulty replica ends no connection of a caller
					return
				}
			}
		})
	}
	wg.Wait()
}

// askVM returns a function that sends one request to a VM and reads the answer.
func askVM(vm *fleet.SiteVM, path string) func(ctx context.Context) error {
	hc := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: replyCallers}}
	return func(ctx context.Context) error {
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+vm.Callers()+path, nil)
		if err != nil {
			return err
		}
		r.Host = "h.example"
		r.Header.Set("Request-Id", "faulty")
		r.Header.Set("Deadline-Ms", "2000")
		w, err := hc.Do(r)
		if err != nil {
			return err
		}
		defer func() { _ = w.Body.Close() }()
		_, err = io.Copy(io.Discard, w.Body)
		return err
	}
}

// TestReplies sends many requests at once for a service whose replicas send more than the VM has memory for: without
// end, until the VM closes the connection, or whole answers inside all limits.
func TestReplies(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nServer-Stamp: s\r\n"
	block := bytes.Repeat([]byte("x"), 64<<10)
	large := func(n int) faultyReply {
		return faultyReply{head: fmt.Sprintf("%sContent-Length: %d\r\n\r\n", ok, n), body: bytes.Repeat([]byte("x"), n)}
	}
	for _, memory := range []int{96, 160} {
		for _, tc := range []struct {
			name  string
			reply faultyReply
		}{
			{"no head", faultyReply{more: block}},
			{"a line of the head", faultyReply{head: "HTTP/1.1 200 ", more: block}},
			{"a field of the head", faultyReply{head: ok + "X: ", more: block}},
			{"fields of the head", faultyReply{head: ok, more: bytes.Repeat([]byte("X: y\r\n"), 8<<10)}},
			{"interim replies", faultyReply{more: bytes.Repeat([]byte("HTTP/1.1 100 Continue\r\n\r\n"), 2<<10)}},
			{"a body without a length", faultyReply{head: ok + "Connection: close\r\n\r\n", more: block}},
			{"a long body", faultyReply{head: ok + "Content-Length: 16000000\r\n\r\n", more: block}},
			{"chunks", faultyReply{head: ok + "Transfer-Encoding: chunked\r\n\r\n", more: fmt.Appendf(nil, "%x\r\n%s\r\n", len(block), block)}},
			{"bytes after a reply", faultyReply{head: ok + "Content-Length: 2\r\n\r\nok", more: block}},
			{"bytes before a request", faultyReply{onAccept: block}},
			{"whole replies of 60 KB", large(60_000)},
			{"whole replies of 1 MB", large(1_000_000)},
		} {
			t.Run(fmt.Sprintf("%s, %d MiB", tc.name, memory), func(t *testing.T) {
				const descriptors = 4000
				f, vm := startSite(t, memory, descriptors)
				f.AddService("d", startFaultyReplicas(t, faultyReplicas, tc.reply))
				ask := askVM(vm, "/d/x")
				waitRoute(t, vm, "/d/x")
				m := measure(vm.PID(), vm.Callers())
				m.limit = memory << 20
				askAll(t, replyCallers, replyRounds, ask)
				checkOrdinary(t, vm, "/write/x")
				checkOrdinary(t, vm, "/search/x")
				m.check(t, descriptors)
			})
		}
	}
}

// TestSearchReplies is TestReplies for searches over ten shards, each of whose replicas sends more than the answer can
// have.
func TestSearchReplies(t *testing.T) {
	const shards = 10
	const ok = "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nServer-Stamp: s\r\n"
	block := bytes.Repeat([]byte("x"), 64<<10)
	for _, memory := range []int{96, 160} {
		for _, tc := range []struct {
			name  string
			reply faultyReply
		}{
			{"a body without a length", faultyReply{head: ok + "Connection: close\r\n\r\n", more: block}},
			{"whole replies of 1 MB", faultyReply{head: ok + "Content-Length: 1048576\r\n\r\n", body: bytes.Repeat(block, 16)}},
		} {
			t.Run(fmt.Sprintf("%s, %d MiB", tc.name, memory), func(t *testing.T) {
				const descriptors = 4000
				f, vm := startSite(t, memory, descriptors)
				var lists [][]netip.AddrPort
				for range shards {
					lists = append(lists, startFaultyReplicas(t, faultyReplicas/shards, tc.reply))
				}
				f.AddSearch("e", lists)
				waitRoute(t, vm, "/e/x")
				m := measure(vm.PID(), vm.Callers())
				m.limit = memory << 20
				askAll(t, replyCallers, replyRounds, askVM(vm, "/e/x"))
				checkOrdinary(t, vm, "/write/x")
				checkOrdinary(t, vm, "/search/x")
				m.check(t, descriptors)
			})
		}
	}
}

// waitRoute waits until a VM has the route of a path.
func waitRoute(t *testing.T, vm *fleet.SiteVM, path string) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		w, _, err := vm.Get("route", path)
		if err == nil && w.StatusCode != http.StatusNotFound && w.StatusCode != http.StatusServiceUnavailable {
			return
		}
		is.New(t).True(time.Now().Before(end)) // the VM knows the route
	}
}
