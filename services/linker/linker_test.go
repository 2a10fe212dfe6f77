package linker

import (
	"bytes"
	"context"
	"errors"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/ebonylock/ebonylock/modules/executor"
	"github.com/ebonylock/ebonylock/modules/quarantiner"
	"github.com/ebonylock/ebonylock/services/dispatcher"
)

// echo answers every Sub with its ID, and Subs of the service "hang" never.
type echo struct {
	cancelled chan int
}

func (e echo) Dispatch(ctx context.Context, batch []dispatcher.Subrequest, cancels <-chan int, emit func(dispatcher.Event)) error {
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

func (echo) Execute(_ context.Context, x Execute) Executed {
	return Executed{Status: 200, Body: x.Body}
}
func (echo) Held(s []string) ([]string, uint64) { return s, 7 }
func (echo) Lost(quarantiner.Loss)              {}
func (echo) Config() []byte                     { return []byte("config") }

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

func soon(t *testing.T) context.Context {
	t.Helper()
	ctx, stop := context.WithTimeout(context.Background(), 10*time.Second)
	t.Cleanup(stop)
	return ctx
}

// TestKeyRotation goes through the steps of a rotation, and shows that a stranger is refused.
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
		{"stranger", []byte{3}, []byte{1, 2}, false},
		{"peer without the caller's key", []byte{2}, []byte{1}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			peer := listen(t, echo{}, tc.peer...)
			caller := listen(t, echo{}, tc.caller...)
			raw, err := caller.Remote(peer.Addr()).Config(soon(t))
			is.Equal(err == nil, tc.trusted)
			if tc.trusted {
				is.Equal(string(raw), "config")
			}
		})
	}
}

func TestCalls(t *testing.T) {
	is := is.New(t)
	a, b := listen(t, echo{}, 1), listen(t, echo{}, 1)
	r := a.Remote(b.Addr())
	var got []string
	is.NoErr(r.Dispatch(soon(t), []dispatcher.Subrequest{{ID: "x"}, {ID: "y"}}, nil, func(e dispatcher.Event) { got = append(got, e.Reply.BootID) }))
	is.Equal(got, []string{"x", "y"})
	out, err := r.Execute(soon(t), Execute{Ticket: "t", Body: []byte("b"), Deadline: time.Now().Add(5 * time.Second)})
	is.NoErr(err)
	is.Equal(string(out.Body), "b")
	held, revision, err := r.Claim(soon(t), []string{"s"})
	is.NoErr(err)
	is.Equal(held, []string{"s"})
	is.Equal(revision, uint64(7))
}

// TestLinkFaults checks what is known of work when the link fails before and after the send.
func TestLinkFaults(t *testing.T) {
	is := is.New(t)
	a := listen(t, echo{}, 1)
	var got dispatcher.Event
	emit := func(e dispatcher.Event) { got = e }
	nobody := netip.MustParseAddrPort("127.0.0.1:9")
	is.NoErr(a.Remote(nobody).Dispatch(soon(t), []dispatcher.Subrequest{{ID: "x"}}, nil, emit))
	is.True(errors.Is(got.Err, executor.ErrNotRun)) // never sent

	h := echo{cancelled: make(chan int, 4)}
	b := listen(t, h, 1)
	cancels := make(chan int, 1)
	cancels <- 0
	done := make(chan error, 1)
	go func() {
		done <- a.Remote(b.Addr()).Dispatch(soon(t), []dispatcher.Subrequest{{Service: "hang"}}, cancels, emit)
	}()
	is.Equal(<-h.cancelled, 0) // the cancellation arrived
	a.Drop(b.Addr())
	is.NoErr(<-done)
	is.True(errors.Is(got.Err, executor.ErrUnknownOutcome)) // sent, then lost
	is.True(errors.Is(got.Err, dispatcher.ErrLinkLost))
	is.Equal(<-h.cancelled, -1) // the peer stops working for a caller that is gone
}
