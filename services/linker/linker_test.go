package linker

import (
	"bytes"
	"context"
	"errors"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/ebonylock/ebonylock/modules/executor"
	"github.com/ebonylock/ebonylock/modules/quarantiner"
	"github.com/ebonylock/ebonylock/services/dispatcher"
)

// echoHandler answers each Subrequest with its ID, except for those of the service "hang", which
// get no answer. Cancellations go to cancelled, and so does -1 once the context is done.
type echoHandler struct {
	cancelled chan int
}

func (e echoHandler) Dispatch(ctx context.Context, batch []dispatcher.Subrequest, cancels <-chan int, emit func(dispatcher.Event)) error {
	hang := false
	for i, s := range batch {
		if s.Service == "hang" {
			hang = true
			continue
		}
		emit(dispatcher.Event{Index: i, Kind: dispatcher.Done, Reply: executor.Reply{BootID: s.ID}})
	}
	for hang {
		select {
		case i := <-cancels:
			e.cancelled <- i
		case <-ctx.Done():
			e.cancelled <- -1
			return ctx.Err()
		}
	}
	return nil
}

func (echoHandler) Execute(_ context.Context, x Execute) Executed {
	return Executed{Status: 200, Body: x.Body}
}
func (echoHandler) Held(s []string) ([]string, uint64) { return s, 7 }
func (echoHandler) HandleLoss(quarantiner.Loss)        {}
func (echoHandler) Config() []byte                     { return []byte("config") }

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

func listen(t *testing.T, h Handler, keys ...byte) *Linker {
	t.Helper()
	var k Keys
	for _, b := range keys {
		k = append(k, bytes.Repeat([]byte{b}, KeySize))
	}
	l, err := Listen(loopback, k, h)
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(func() { stop(); l.Close() })
	go func() { _ = l.Serve(ctx) }()
	return l
}

func testContext(t *testing.T) context.Context {
	t.Helper()
	ctx, stop := context.WithTimeout(context.Background(), 10*time.Second)
	t.Cleanup(stop)
	return ctx
}

// TestKeyRotation checks that the VMs trust each other at each step of a key rotation, and that a
// VM without an accepted key is refused.
func TestKeyRotation(t *testing.T) {
	for _, tc := range []struct {
		name         string
		caller, peer []byte
		trusted      bool
	}{
		{"same key", []byte{1}, []byte{1}, true},
		{"new key added at the peer", []byte{1}, []byte{1, 2}, true},
		{"new key used by the caller", []byte{2, 1}, []byte{1, 2}, true},
		{"old key removed at the caller", []byte{2}, []byte{2, 1}, true},
		{"unknown key", []byte{3}, []byte{1, 2}, false},
		{"peer without the caller's key", []byte{2}, []byte{1}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			peer := listen(t, echoHandler{}, tc.peer...)
			caller := listen(t, echoHandler{}, tc.caller...)
			raw, err := caller.Remote(peer.Addr()).Config(testContext(t))
			is.Equal(err == nil, tc.trusted)
			if tc.trusted {
				is.Equal(string(raw), "config")
			}
		})
	}
}

func TestCalls(t *testing.T) {
	is := is.New(t)
	a, b := listen(t, echoHandler{}, 1), listen(t, echoHandler{}, 1)
	r := a.Remote(b.Addr())
	var got []string
	is.NoErr(r.Dispatch(testContext(t), []dispatcher.Subrequest{{ID: "x"}, {ID: "y"}}, nil, func(e dispatcher.Event) { got = append(got, e.Reply.BootID) }))
	is.Equal(got, []string{"x", "y"})
	out, err := r.Execute(testContext(t), Execute{Ticket: "t", Body: []byte("b"), Deadline: time.Now().Add(5 * time.Second)})
	is.NoErr(err)
	is.Equal(string(out.Body), "b")
	held, revision, err := r.Claim(testContext(t), []string{"s"})
	is.NoErr(err)
	is.Equal(held, []string{"s"})
	is.Equal(revision, uint64(7))
}

// TestLinkFaults checks which outcome is reported if the link fails: ErrNotRun before the batch is
// sent, ErrUnknownOutcome after it. Reporting sent work as not run could run it twice.
func TestLinkFaults(t *testing.T) {
	is := is.New(t)
	a := listen(t, echoHandler{}, 1)
	var got dispatcher.Event
	emit := func(e dispatcher.Event) { got = e }
	closedAddr := netip.MustParseAddrPort("127.0.0.1:9")
	is.NoErr(a.Remote(closedAddr).Dispatch(testContext(t), []dispatcher.Subrequest{{ID: "x"}}, nil, emit))
	is.True(errors.Is(got.Err, executor.ErrNotRun)) // never sent

	h := echoHandler{cancelled: make(chan int, 4)}
	b := listen(t, h, 1)
	cancels := make(chan int, 1)
	cancels <- 0
	done := make(chan error, 1)
	go func() {
		done <- a.Remote(b.Addr()).Dispatch(testContext(t), []dispatcher.Subrequest{{Service: "hang"}}, cancels, emit)
	}()
	is.Equal(<-h.cancelled, 0) // the cancellation arrived
	a.Drop(b.Addr())
	is.NoErr(<-done)
	is.True(errors.Is(got.Err, executor.ErrUnknownOutcome)) // sent, then lost
	is.True(errors.Is(got.Err, dispatcher.ErrLinkLost))
	is.Equal(<-h.cancelled, -1) // the peer stops the work of a caller that has disconnected
}

// largeHandler answers each Execute with a body that is sent in one packet.
type largeHandler struct {
	echoHandler
	started, release chan struct{}
}

func (h largeHandler) Execute(context.Context, Execute) Executed {
	close(h.started)
	<-h.release
	return Executed{Status: 200, Body: bytes.Repeat([]byte("x"), 100)}
}

// TestCloseAfterTheLastCall guards against a stopping VM that cuts the answer to a request which runs for another VM: the
// answer counts as sent only once the other VM has it.
func TestCloseAfterTheLastCall(t *testing.T) {
	is := is.New(t)
	h := largeHandler{started: make(chan struct{}), release: make(chan struct{})}
	a, b := listen(t, echoHandler{}, 1), listen(t, h, 1)
	done := make(chan error, 1)
	go func() {
		_, err := a.Remote(b.Addr()).Execute(testContext(t), Execute{Ticket: "t", Deadline: time.Now().Add(5 * time.Second)})
		done <- err
	}()
	<-h.started
	is.Equal(b.Calls(), 1)
	close(h.release)
	for b.Calls() > 0 {
		runtime.Gosched()
	}
	b.Close()
	is.NoErr(<-done)
}
