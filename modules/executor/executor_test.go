package executor_test

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/ebonylock/ebonylock/modules/executor"
	"github.com/ebonylock/ebonylock/tests/standin"
)

// runner is the contract's view of an adapter.
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

// TestContract can be run against any adapter and its stand-in.
func TestContract(t *testing.T) {
	for _, tc := range []struct {
		name    string
		prepare func(b *standin.Backend, r runner)
		change  func(r *executor.Request)
		want    error
		notRun  bool
	}{
		{"whole reply", nil, nil, nil, false},
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
			c := executor.New(standin.MustAddr(b.ListEntry().Addr), 8)
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

// TestCancelEndsRun shows that a server that accepts cancellation ends the run early.
func TestCancelEndsRun(t *testing.T) {
	is := is.New(t)
	b := newBackend(t, time.Minute)
	c := executor.New(standin.MustAddr(b.ListEntry().Addr), 8)
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

// scripted answers each connection with the next of the replies, raw.
func scripted(t *testing.T, replies ...string) netip.AddrPort {
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

// TestBadReplies gives replies that must never count as whole, nor lead to a second run.
func TestBadReplies(t *testing.T) {
	sum := executor.Checksum([][]byte{[]byte(`1`)})
	for name, reply := range map[string]string{
		"nothing":             "",
		"truncated":           httpReply(`{"request-id":"x","generation":1,"results":[1],"results-xxh64":"` + sum + `"}`)[:90],
		"not JSON":            httpReply(`<html>`),
		"of another request":  httpReply(`{"request-id":"y","generation":1,"results":[1],"results-xxh64":"` + sum + `"}`),
		"of another snapshot": httpReply(`{"request-id":"x","generation":2,"results":[1],"results-xxh64":"` + sum + `"}`),
		"a result missing":    httpReply(`{"request-id":"x","generation":1,"results":[],"results-xxh64":"` + sum + `"}`),
		"a result changed":    httpReply(`{"request-id":"x","generation":1,"results":[2],"results-xxh64":"` + sum + `"}`),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			// The second reply would be whole: a hidden retry would get it.
			whole := httpReply(`{"request-id":"x","generation":1,"results":[1],"results-xxh64":"` + sum + `"}`)
			c := executor.New(scripted(t, reply, whole), 4)
			_, err := c.Run(executor.Request{ID: "x", Generation: 1, Body: []byte("{}"), Deadline: time.Now().Add(5 * time.Second)})
			is.True(errors.Is(err, executor.ErrUnknownOutcome))
		})
	}
}

// TestLateReplyIsNotTheNextOne lets a request time out and checks that its reply, which
// comes later, is not taken for that of the next request.
func TestLateReplyIsNotTheNextOne(t *testing.T) {
	is := is.New(t)
	b := newBackend(t, 200*time.Millisecond)
	c := executor.New(standin.MustAddr(b.ListEntry().Addr), 8)
	_, err := c.Run(request("first", 30*time.Millisecond))
	is.True(errors.Is(err, executor.ErrUnknownOutcome))
	for b.Record().Finished == 0 {
		time.Sleep(time.Millisecond)
	}
	reply, err := c.Run(request("second", 5*time.Second))
	is.NoErr(err)
	is.Equal(reply.Generation, uint64(1))
}
