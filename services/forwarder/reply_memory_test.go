package forwarder

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/ebonylock/ebonylock/modules/registrar"
)

// meteredBackend counts the replies whose memory is accounted for.
type meteredBackend struct {
	*fakeBackend
	held atomic.Int64
}

func (b *meteredBackend) Send(c *registrar.Candidate, m ReplicaRequest, s SendHandler) Exchange {
	return b.fakeBackend.Send(c, m, meteredHandler{s, b})
}

type meteredHandler struct {
	SendHandler
	b *meteredBackend
}

func (h meteredHandler) Done(r *Reply, err error) {
	if r != nil {
		h.b.held.Add(1)
		r.Release = func() { h.b.held.Add(-1) }
	}
	h.SendHandler.Done(r, err)
}

// TestRepliesAreNotKept guards against a VM that keeps replies in memory which are not needed any more: those that come
// after the answer, those that have failed, and the one that was the answer, while another attempt goes on.
func TestRepliesAreNotKept(t *testing.T) {
	large := func(status int, after time.Duration) behaviour {
		return behaviour{after: after, reply: &Reply{Status: status, Stamp: "stamp", Body: make([]byte, 1<<16)}}
	}
	for _, tc := range []struct {
		name, path string
		// behave returns the behaviour in the nth send.
		behave func(n int) behaviour
		leave  time.Duration
		status int
	}{
		{"single", "/read/x", func(int) behaviour { return large(200, time.Millisecond) }, 0, 200},
		{"single, first attempt goes on", "/read/x", func(n int) behaviour {
			if n == 1 {
				return large(200, 700*time.Millisecond)
			}
			return large(200, time.Millisecond)
		}, 0, 200},
		{"single, failures", "/read/x", func(int) behaviour { return large(500, time.Millisecond) }, 0, 500},
		{"single, caller leaves", "/read/x", func(int) behaviour { return large(200, 100*time.Millisecond) }, 50 * time.Millisecond, 0},
		{"gathered", "/sweep/x", func(int) behaviour { return large(200, time.Millisecond) }, 0, 200},
		{"gathered, some late", "/claim/x", func(n int) behaviour {
			if n%5 == 1 {
				return large(200, 300*time.Millisecond)
			}
			return large(200, time.Millisecond)
		}, 0, 200},
		{"gathered, failures", "/sweep/x", func(int) behaviour { return large(500, time.Millisecond) }, 0, 502},
		{"gathered, caller leaves", "/sweep/x", func(n int) behaviour { return large(200, time.Duration(n)*10*time.Millisecond) }, 30 * time.Millisecond, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			n := 0
			runTest(t, true, func(*registrar.Candidate) behaviour {
				n++
				return tc.behave(n)
			}, func(is *is.I, f *Forwarder, b *fakeBackend) {
				metered := &meteredBackend{fakeBackend: b}
				f.backend = metered
				ctx, leave := context.WithCancel(context.Background())
				if tc.leave > 0 {
					time.AfterFunc(tc.leave, leave)
				}
				resp := f.Serve(ctx, request(tc.path, time.Second))
				is.Equal(resp.Status, tc.status)
				synctest.Wait()
				want := int64(0)
				if resp.Release != nil {
					want = 1 // what the caller gets
				}
				is.Equal(metered.held.Load(), want)
				if resp.Release != nil {
					is.Equal(len(resp.Body), 1<<16)
					resp.Release()
				}
				if resp.Gathered {
					is.Equal(len(resp.Body), 5*16)
				}
				time.Sleep(2 * time.Second)
				synctest.Wait()
				is.Equal(metered.held.Load(), int64(0))
				leave()
			})
		})
	}
}
