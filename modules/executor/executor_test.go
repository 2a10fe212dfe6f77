package executor_test

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/ebonylock/ebonylock/modules/executor"
	"github.com/ebonylock/ebonylock/modules/fetcher"
	"github.com/ebonylock/ebonylock/modules/rationer"
	"github.com/ebonylock/ebonylock/tests/standin"
)

// runner is the interface of the client under test.
type runner interface {
	Run(r executor.Request) (executor.Reply, error)
	Cancel(id string, now time.Time) error
	State(deadline time.Time) (executor.State, error)
}

func newBackend(t *testing.T, work time.Duration) *standin.Backend {
	t.Helper()
	b, err := standin.NewBackend(standin.BackendConfig{ID: "a", Service: "a", Slots: 1, MaxConns: 8, Work: work, Generations: standin.FirstGenerations()})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(b.Close)
	return b
}

func request(id string, d time.Duration) executor.Request {
	return executor.Request{ID: id, Service: "a", Generation: 1, Body: []byte(`{"key":"k"}`), Deadline: time.Now().Add(d), Idempotent: true}
}

// TestContract checks the replies and errors of a client against a stand-in backend server.
func TestContract(t *testing.T) {
	for _, tc := range []struct {
		name    string
		prepare func(b *standin.Backend, r runner)
		change  func(r *executor.Request)
		want    error
		notRun  bool
	}{
		{"complete reply", nil, nil, nil, false},
		{"draining", func(b *standin.Backend, _ runner) { b.Drain(true) }, nil, executor.ErrDraining, true},
		{"generation not held", nil, func(r *executor.Request) { r.Generation = 9 }, executor.ErrNoGeneration, true},
		{"no slot", func(_ *standin.Backend, r runner) {
			go func() { _, _ = r.Run(request("first", 5*time.Second)) }()
			time.Sleep(100 * time.Millisecond)
		}, nil, executor.ErrShed, true},
		{"no server", func(b *standin.Backend, _ runner) { b.Close() }, nil, executor.ErrRefused, true},
		{"late", nil, func(r *executor.Request) { r.Deadline = time.Now().Add(50 * time.Millisecond) }, executor.ErrUnknownOutcome, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			work := time.Millisecond
			if tc.name == "no slot" || tc.name == "late" {
				work = 2 * time.Second
			}
			b := newBackend(t, work)
			c := executor.New(standin.MustAddr(b.ListEntry().Addr), 8, fetcher.Limits{Memory: &rationer.Budget{}})
			if tc.prepare != nil {
				tc.prepare(b, c)
			}
			r := request("second", 5*time.Second)
			if tc.change != nil {
				tc.change(&r)
			}
			reply, err := c.Run(r)
			if tc.want == nil {
				is.NoErr(err)
				is.Equal(reply.Partitions, []string{"p0", "p1"})
				is.Equal(len(reply.Results), 2)
				return
			}
			is.True(errors.Is(err, tc.want))
			is.Equal(errors.Is(err, executor.ErrNotRun), tc.notRun)
			is.Equal(errors.Is(err, executor.ErrUnknownOutcome), !tc.notRun)
		})
	}
}

// TestCancelEndsRun checks that a server that supports cancellation ends the run early.
func TestCancelEndsRun(t *testing.T) {
	is := is.New(t)
	b := newBackend(t, time.Minute)
	c := executor.New(standin.MustAddr(b.ListEntry().Addr), 8, fetcher.Limits{Memory: &rationer.Budget{}})
	done := make(chan error, 1)
	go func() {
		_, err := c.Run(request("long", time.Minute))
		done <- err
	}()
	for b.Record().Started == 0 {
		time.Sleep(time.Millisecond)
	}
	is.NoErr(c.Cancel("long", time.Now()))
	is.True(errors.Is(<-done, executor.ErrFailed))
}

// rawServer answers each connection with the next of the replies, byte for byte, and closes it.
func rawServer(t *testing.T, replies ...string) netip.AddrPort {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for _, reply := range replies {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			buf := make([]byte, 4096)
			_, _ = c.Read(buf)
			_, _ = io.WriteString(c, reply)
			_ = c.Close()
		}
	}()
	return netip.MustParseAddrPort(ln.Addr().String())
}

func httpReply(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// TestBadReplies covers replies that must neither count as complete nor lead to a second run.
func TestBadReplies(t *testing.T) {
	sum := executor.Checksum([][]byte{[]byte(`1`)})
	for name, reply := range map[string]string{
		"nothing":             "",
		"truncated":           httpReply(`{"request-id":"x","generation":1,"results":[1],"results-xxh64":"` + sum + `"}`)[:90],
		"not JSON":            httpReply(`<html>`),
		"of another request":  httpReply(`{"request-id":"y","generation":1,"results":[1],"results-xxh64":"` + sum + `"}`),
		"of another snapshot": httpReply(`{"request-id":"x","generation":2,"results":[1],"results-xxh64":"` + sum + `"}`),
		"a result missing":    httpReply(`{"request-id":"x","generation":1,"results":[],"results-xxh64":"` + sum + `"}`),
		"no HTTP status":      strings.Replace(httpReply(`{"request-id":"x","generation":1,"results":[1],"results-xxh64":"`+sum+`"}`), "200", "000", 1),
		"refused with none":   strings.Replace(httpReply(`{"request-id":"x","code":"shed","not-run":true}`), "200", "000", 1),
		"a result changed":    httpReply(`{"request-id":"x","generation":1,"results":[2],"results-xxh64":"` + sum + `"}`),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			// The second reply is valid, so that a hidden retry would succeed.
			valid := httpReply(`{"request-id":"x","generation":1,"results":[1],"results-xxh64":"` + sum + `"}`)
			c := executor.New(rawServer(t, reply, valid), 4, fetcher.Limits{Memory: &rationer.Budget{}})
			_, err := c.Run(executor.Request{ID: "x", Generation: 1, Body: []byte("{}"), Deadline: time.Now().Add(5 * time.Second)})
			is.True(errors.Is(err, executor.ErrUnknownOutcome))
		})
	}
}

// TestBytesWithoutEndAreNoCrash guards against a request that counts as one which crashes servers, since a server has
// answered it with bytes that are no reply.
func TestBytesWithoutEndAreNoCrash(t *testing.T) {
	for name, reply := range map[string]string{
		"no HTTP":     strings.Repeat("x", 1<<20),
		"a long head": "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 1<<20),
		"a long body": "HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n" + strings.Repeat("x", 1<<20),
		"no memory":   "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n" + strings.Repeat("x", 1_000_000),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			limits := fetcher.Limits{Memory: &rationer.Budget{Limit: 100_000}}
			c := executor.New(rawServer(t, reply, reply), 4, limits)
			_, err := c.Run(executor.Request{ID: "x", Generation: 1, Body: []byte("{}"), Deadline: time.Now().Add(5 * time.Second)})
			is.True(errors.Is(err, executor.ErrUnknownOutcome))
			is.True(errors.Is(err, executor.ErrCorrupt))
			is.True(!errors.Is(err, executor.ErrLost))
		})
	}
}

// TestLateReplyIsNotTheNextOne lets a request time out and checks that its late reply is not returned
// for the next request.
func TestLateReplyIsNotTheNextOne(t *testing.T) {
	is := is.New(t)
	b := newBackend(t, 200*time.Millisecond)
	c := executor.New(standin.MustAddr(b.ListEntry().Addr), 8, fetcher.Limits{Memory: &rationer.Budget{}})
	_, err := c.Run(request("first", 30*time.Millisecond))
	is.True(errors.Is(err, executor.ErrUnknownOutcome))
	for b.Record().Finished == 0 {
		time.Sleep(time.Millisecond)
	}
	reply, err := c.Run(request("second", 5*time.Second))
	is.NoErr(err)
	is.Equal(reply.Generation, uint64(1))
}
