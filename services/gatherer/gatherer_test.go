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

	"github.com/ebonylock/ebonylock/modules/rationer"
	"github.com/ebonylock/ebonylock/modules/selector"
	"github.com/ebonylock/ebonylock/services/forwarder"
)

var keys = [][]byte{bytes.Repeat([]byte{1}, 32)}

// collectorFunc implements Collector by a function.
type collectorFunc func(ctx context.Context, c *forwarder.Call, accept func() bool, emit func(forwarder.Partial)) error

func (f collectorFunc) Collect(ctx context.Context, c *forwarder.Call, accept func() bool, emit func(forwarder.Partial)) error {
	return f(ctx, c, accept, emit)
}

// testHandler implements forwarder.CallHandler and makes each event available on a channel.
type testHandler struct {
	accepted chan struct{}
	partials chan forwarder.Partial
	failed   chan error
}

func newTestHandler() testHandler {
	return testHandler{make(chan struct{}, 1), make(chan forwarder.Partial, 8), make(chan error, 1)}
}

func (s testHandler) Accepted()                    { s.accepted <- struct{}{} }
func (s testHandler) Received(p forwarder.Partial) { s.partials <- p }
func (s testHandler) Failed(err error)             { s.failed <- err }

func discardLogger() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// startPair connects a Client and a Server with the given keys by pipes. The channel gets the
// client end of each connection that the Client opens.
func startPair(t *testing.T, serverKeys [][]byte, f collectorFunc) (c *Client, conns chan net.Conn) {
	t.Helper()
	return startLimitedPair(t, serverKeys, f, nil)
}

// startLimitedPair is like startPair with the given memory of the Server.
func startLimitedPair(t *testing.T, serverKeys [][]byte, f collectorFunc, memory *rationer.Pool) (c *Client, conns chan net.Conn) {
	t.Helper()
	s, err := NewServer(serverKeys, f, discardLogger())
	if err != nil {
		t.Fatal(err)
	}
	s.Memory = memory
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

func newCall(now time.Time) *forwarder.Call {
	return &forwarder.Call{
		Request: &forwarder.Request{ID: "id-1", Method: "GET", Target: "/a?b", Host: "h", Fields: []forwarder.HeaderField{{Name: "X", Value: "1"}}, Body: []byte("body"), Arrived: now},
		Route:   "sweep", Shards: []string{"s-1", "s-2"}, TotalShards: 10, MinParts: 9, TopK: 5, TargetLatency: 80 * time.Millisecond, MaxAttempts: 2,
		Cutoff: now.Add(60 * time.Millisecond), Deadline: now.Add(400 * time.Millisecond), PriorAttempts: 1,
	}
}

func TestCall(t *testing.T) {
	is := is.New(t)
	got := make(chan *forwarder.Call, 2)
	c, conns := startPair(t, keys, func(_ context.Context, c *forwarder.Call, accept func() bool, emit func(forwarder.Partial)) error {
		got <- c
		accept()
		emit(forwarder.Partial{Parts: []forwarder.ReceivedPart{{Shard: 1, Stamp: "stamp"}}, Body: make([]byte, 16)})
		emit(forwarder.Partial{Final: true, MayHaveRun: true, Reasons: []string{"budget"}, RetryAfter: time.Second})
		return nil
	})
	for range 2 {
		s, sent := newTestHandler(), newCall(time.Now())
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
	is.Equal(len(conns), 1) // both calls use one connection
}

func TestRefusedCall(t *testing.T) {
	is := is.New(t)
	c, _ := startPair(t, keys, func(context.Context, *forwarder.Call, func() bool, func(forwarder.Partial)) error {
		return forwarder.ErrRefused
	})
	s := newTestHandler()
	c.Gather(vm, newCall(time.Now()), s)
	is.True(errors.Is(<-s.failed, forwarder.ErrRefused))
}

// TestEndOfACall checks that the other VM is told whether the caller has disconnected or has been
// answered.
func TestEndOfACall(t *testing.T) {
	for _, gone := range []bool{false, true} {
		is := is.New(t)
		cause := make(chan error)
		c, _ := startPair(t, keys, func(ctx context.Context, _ *forwarder.Call, accept func() bool, _ func(forwarder.Partial)) error {
			if accept() {
				t.Error("call started without kindStart")
			}
			<-ctx.Done()
			cause <- context.Cause(ctx)
			return nil
		})
		s := newTestHandler()
		x := c.Gather(vm, newCall(time.Now()), s)
		<-s.accepted
		x.End(gone)
		is.Equal(errors.Is(<-cause, forwarder.ErrResponseSent), !gone)
	}
}

// TestLostConnection guards against a VM that is killed with calls in progress. The calls must fail
// as lost, the gathering VM must cancel them, and the next call must open a new connection.
func TestLostConnection(t *testing.T) {
	is := is.New(t)
	cause := make(chan error, 1)
	c, conns := startPair(t, keys, func(ctx context.Context, _ *forwarder.Call, accept func() bool, _ func(forwarder.Partial)) error {
		accept()
		<-ctx.Done()
		cause <- context.Cause(ctx)
		return nil
	})
	for range 2 {
		s := newTestHandler()
		c.Gather(vm, newCall(time.Now()), s)
		<-s.accepted
		_ = (<-conns).Close()
		is.True(errors.Is(<-s.failed, forwarder.ErrConnLost))
		is.True(!errors.Is(<-cause, forwarder.ErrResponseSent))
	}
}

// TestWrongKey checks that a server serves no call of a VM without the fleet key.
func TestWrongKey(t *testing.T) {
	is := is.New(t)
	c, _ := startPair(t, [][]byte{bytes.Repeat([]byte{2}, 32)}, func(context.Context, *forwarder.Call, func() bool, func(forwarder.Partial)) error {
		t.Error("call served")
		return nil
	})
	s := newTestHandler()
	c.Gather(vm, newCall(time.Now()), s)
	is.True(errors.Is(<-s.failed, forwarder.ErrConnLost))
}

// TestBytesWithoutEnd guards against memory exhaustion by a VM that announces a frame larger than
// maxFrame. The connection must be closed without reading the frame.
func TestBytesWithoutEnd(t *testing.T) {
	is := is.New(t)
	s, err := NewServer(keys, collectorFunc(nil), discardLogger())
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
	f.Add(appendCall(nil, newCall(now), now))
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

// TestIdleCloseSparesCallsInProgress guards against a call that is cut because it lasts longer than a connection may be
// idle.
func TestIdleCloseSparesCallsInProgress(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	c, _ := startPair(t, keys, func(_ context.Context, _ *forwarder.Call, accept func() bool, emit func(forwarder.Partial)) error {
		accept()
		<-release
		emit(forwarder.Partial{Final: true})
		return nil
	})
	s := newTestHandler()
	x := c.Gather(vm, newCall(time.Now()), s)
	<-s.accepted
	x.Start()
	c.CloseIdle(time.Now().Add(2 * idleTimeout))
	close(release)
	select {
	case p := <-s.partials:
		is.True(p.Final)
	case err := <-s.failed:
		is.NoErr(err)
	}
	c.CloseIdle(time.Now().Add(2 * idleTimeout)) // now the connection is idle
	is.Equal(len(c.peers), 0)
}

// TestEndedCallsAreForgotten guards against memory that grows with each call whose caller was answered before the other VM
// was done: that VM sends nothing more about it.
func TestEndedCallsAreForgotten(t *testing.T) {
	is := is.New(t)
	accepts := make(chan struct{}, 1)
	c, _ := startPair(t, keys, func(ctx context.Context, _ *forwarder.Call, accept func() bool, _ func(forwarder.Partial)) error {
		<-accepts
		accept()
		<-ctx.Done()
		return nil
	})
	accepted, late := newTestHandler(), newTestHandler()
	x := c.Gather(vm, newCall(time.Now()), accepted)
	accepts <- struct{}{}
	<-accepted.accepted
	x.Start()
	x.End(false)
	is.Equal(len(c.peer(vm.Link).calls), 0)
	y := c.Gather(vm, newCall(time.Now()), late).(*outgoingCall)
	for registered := false; !registered; time.Sleep(time.Millisecond) {
		y.peer.mu.Lock()
		registered = len(y.peer.calls) > 0
		y.peer.mu.Unlock()
	}
	y.End(false)
	accepts <- struct{}{}
	<-late.accepted // it is measured when the VM accepted the call
	is.Equal(len(c.peer(vm.Link).calls), 0)
}

// TestCallsShareTheMemory checks that a call for which there is no memory is refused, and that it can be made once others
// have ended.
func TestCallsShareTheMemory(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	memory := &rationer.Pool{Limit: 64 << 10}
	c, _ := startLimitedPair(t, keys, func(_ context.Context, _ *forwarder.Call, accept func() bool, emit func(forwarder.Partial)) error {
		accept()
		<-release
		emit(forwarder.Partial{Final: true})
		return nil
	}, memory)
	large := func() *forwarder.Call {
		call := newCall(time.Now())
		call.Deadline = time.Now().Add(time.Minute)
		call.Body = make([]byte, 50<<10)
		return call
	}
	first, second, third := newTestHandler(), newTestHandler(), newTestHandler()
	x := c.Gather(vm, large(), first)
	<-first.accepted
	x.Start()
	c.Gather(vm, large(), second)
	is.True(errors.Is(<-second.failed, forwarder.ErrRefused))
	small := newTestHandler()
	c.Gather(vm, newCall(time.Now()), small)
	<-small.accepted // small calls always have room
	close(release)
	<-first.partials
	for memory.Used() > 0 {
		time.Sleep(time.Millisecond)
	}
	c.Gather(vm, large(), third)
	<-third.accepted
}

// TestFrameTakesMemoryAsItArrives guards against clients without a key that make a VM take memory: by the length of a
// frame that they announce, or by frames that stop short.
func TestFrameTakesMemoryAsItArrives(t *testing.T) {
	is := is.New(t)
	memory := &rationer.Pool{Limit: 256 << 10}
	s, err := NewServer(keys, nil, discardLogger())
	is.NoErr(err)
	s.Memory = memory
	connect := func(announced, sent int) net.Conn {
		near, far := net.Pipe()
		t.Cleanup(func() { _ = near.Close() })
		go s.ServeConn(far)
		_, err := near.Write(append(binary.BigEndian.AppendUint32(nil, uint32(announced)), make([]byte, sent)...))
		is.NoErr(err)
		return near
	}
	connect(maxFrame, 0)
	is.Equal(memory.Used(), int64(0))
	stalled := connect(maxFrame, 200<<10)
	for memory.Used() == 0 {
		time.Sleep(time.Millisecond)
	}
	for err == nil { // until there is more than the memory
		_, err = stalled.Write(make([]byte, 100<<10))
	}
	for memory.Used() > 0 {
		time.Sleep(time.Millisecond)
	}
}
