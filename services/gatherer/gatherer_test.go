package gatherer

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/ebonylock/ebonylock/modules/selector"
	"github.com/ebonylock/ebonylock/services/forwarder"
)

var keys = [][]byte{bytes.Repeat([]byte{1}, 32)}

// collector answers calls as a function says.
type collector func(ctx context.Context, c *forwarder.Call, accept func() bool, emit func(forwarder.Partial)) error

func (f collector) Collect(ctx context.Context, c *forwarder.Call, accept func() bool, emit func(forwarder.Partial)) error {
	return f(ctx, c, accept, emit)
}

// sink passes on what becomes of a call.
type sink struct {
	accepted chan struct{}
	partials chan forwarder.Partial
	failed   chan error
}

func newSink() sink {
	return sink{make(chan struct{}, 1), make(chan forwarder.Partial, 8), make(chan error, 1)}
}

func (s sink) Accepted()                    { s.accepted <- struct{}{} }
func (s sink) Received(p forwarder.Partial) { s.partials <- p }
func (s sink) Failed(err error)             { s.failed <- err }

func quiet() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// start connects a Client and a Server with the given keys by pipes; dials counts them.
func start(t *testing.T, serverKeys [][]byte, f collector) (c *Client, conns chan net.Conn) {
	t.Helper()
	s, err := NewServer(serverKeys, f, quiet())
	if err != nil {
		t.Fatal(err)
	}
	conns = make(chan net.Conn, 8)
	c, err = NewClient(keys, &selector.Roster{}, func(netip.AddrPort, *net.Dialer) (net.Conn, error) {
		near, far := net.Pipe()
		conns <- near
		go s.ServeConn(far)
		return near, nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return c, conns
}

var vm = selector.VM{ID: "vm-2", Link: netip.MustParseAddrPort("127.0.0.1:1")}

func call(now time.Time) *forwarder.Call {
	return &forwarder.Call{
		Request: &forwarder.Request{ID: "id-1", Method: "GET", Target: "/a?b", Host: "h", Fields: []forwarder.HeaderField{{Name: "X", Value: "1"}}, Body: []byte("body"), Arrived: now},
		Route:   "sweep", Shards: []string{"s-1", "s-2"}, TotalShards: 10, MinParts: 9, TopK: 5, TargetLatency: 80 * time.Millisecond, MaxAttempts: 2,
		Cutoff: now.Add(60 * time.Millisecond), Deadline: now.Add(400 * time.Millisecond), PriorAttempts: 1,
	}
}

func TestCall(t *testing.T) {
	is := is.New(t)
	got := make(chan *forwarder.Call, 2)
	c, conns := start(t, keys, func(_ context.Context, c *forwarder.Call, accept func() bool, emit func(forwarder.Partial)) error {
		got <- c
		accept()
		emit(forwarder.Partial{Parts: []forwarder.ReceivedPart{{Shard: 1, Stamp: "stamp"}}, Body: make([]byte, 16)})
		emit(forwarder.Partial{Final: true, MayHaveRun: true, Reasons: []string{"budget"}, RetryAfter: time.Second})
		return nil
	})
	for range 2 {
		s, sent := newSink(), call(time.Now())
		x := c.Gather(vm, sent, s)
		<-s.accepted
		x.Start()
		is.Equal(<-s.partials, forwarder.Partial{Parts: []forwarder.ReceivedPart{{Shard: 1, Stamp: "stamp"}}, Body: make([]byte, 16)})
		is.Equal(<-s.partials, forwarder.Partial{Final: true, MayHaveRun: true, Reasons: []string{"budget"}, RetryAfter: time.Second})
		in := <-got
		is.True(!in.Cutoff.After(sent.Cutoff.Add(time.Second)))
		in.Arrived, in.Cutoff, in.Deadline = sent.Arrived, sent.Cutoff, sent.Deadline
		is.Equal(in, sent)
	}
	is.Equal(len(conns), 1) // one connection serves both
}

func TestRefusedCall(t *testing.T) {
	is := is.New(t)
	c, _ := start(t, keys, func(context.Context, *forwarder.Call, func() bool, func(forwarder.Partial)) error {
		return forwarder.ErrRefused
	})
	s := newSink()
	c.Gather(vm, call(time.Now()), s)
	is.True(errors.Is(<-s.failed, forwarder.ErrRefused))
}

// TestEndOfACall checks that the other VM hears whether the caller has gone or has its answer.
func TestEndOfACall(t *testing.T) {
	for _, gone := range []bool{false, true} {
		is := is.New(t)
		cause := make(chan error)
		c, _ := start(t, keys, func(ctx context.Context, _ *forwarder.Call, accept func() bool, _ func(forwarder.Partial)) error {
			if accept() {
				t.Error("began")
			}
			<-ctx.Done()
			cause <- context.Cause(ctx)
			return nil
		})
		s := newSink()
		x := c.Gather(vm, call(time.Now()), s)
		<-s.accepted
		x.End(gone)
		is.Equal(errors.Is(<-cause, forwarder.ErrResponseSent), !gone)
	}
}

// TestLostConnection is the pattern of a VM that is killed with calls under way: they fail as lost,
// the VM that gathers ends them, and the next call opens another connection.
func TestLostConnection(t *testing.T) {
	is := is.New(t)
	cause := make(chan error, 1)
	c, conns := start(t, keys, func(ctx context.Context, _ *forwarder.Call, accept func() bool, _ func(forwarder.Partial)) error {
		accept()
		<-ctx.Done()
		cause <- context.Cause(ctx)
		return nil
	})
	for range 2 {
		s := newSink()
		c.Gather(vm, call(time.Now()), s)
		<-s.accepted
		_ = (<-conns).Close()
		is.True(errors.Is(<-s.failed, forwarder.ErrConnLost))
		is.True(!errors.Is(<-cause, forwarder.ErrResponseSent))
	}
}

// TestWrongKey checks that a VM without the fleet's key gets nothing served.
func TestWrongKey(t *testing.T) {
	is := is.New(t)
	c, _ := start(t, [][]byte{bytes.Repeat([]byte{2}, 32)}, func(context.Context, *forwarder.Call, func() bool, func(forwarder.Partial)) error {
		t.Error("served")
		return nil
	})
	s := newSink()
	c.Gather(vm, call(time.Now()), s)
	is.True(errors.Is(<-s.failed, forwarder.ErrConnLost))
}

// TestBytesWithoutEnd is the pattern of another end that announces or sends bytes without end: the
// connection is closed at the bound, and nothing is kept.
func TestBytesWithoutEnd(t *testing.T) {
	is := is.New(t)
	s, err := NewServer(keys, collector(nil), quiet())
	is.NoErr(err)
	near, far := net.Pipe()
	done := make(chan struct{})
	go func() {
		s.ServeConn(far)
		close(done)
	}()
	_, _ = near.Write(binary.BigEndian.AppendUint32(nil, maxFrame+1))
	<-done
}

func FuzzDecodeCall(f *testing.F) {
	now := time.Now()
	f.Add(appendCall(nil, call(now), now))
	f.Add(frame{kind: kindCall, call: 1, body: []byte("x")}.append(nil))
	f.Fuzz(func(t *testing.T, b []byte) {
		_, _ = decodeFrame(b)
		c, err := decodeCall(b, now)
		if err != nil {
			return
		}
		again, err := decodeCall(appendCall(nil, c, now), now)
		if err != nil {
			t.Fatal(err)
		}
		is.New(t).Equal(again, c)
	})
}

func FuzzDecodePartial(f *testing.F) {
	f.Add(appendPartial(nil, forwarder.Partial{Parts: []forwarder.ReceivedPart{{Shard: 3, Stamp: "s"}}, Body: make([]byte, 16), Final: true, Reasons: []string{"r"}}))
	f.Fuzz(func(t *testing.T, b []byte) {
		p, err := decodePartial(b)
		if err != nil {
			return
		}
		again, err := decodePartial(appendPartial(nil, p))
		if err != nil || len(again.Parts) != len(p.Parts) || !bytes.Equal(again.Body, p.Body) {
			t.Fatal(again, p, err)
		}
	})
}
