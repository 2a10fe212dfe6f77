package forwarder

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/ebonylock/ebonylock/modules/quarantiner"
	"github.com/ebonylock/ebonylock/modules/registrar"
)

// TestIdentity guards against requests of different callers that count as the same one.
func TestIdentity(t *testing.T) {
	fields := func(list ...HeaderField) *Request {
		r := request("/read/x", time.Second)
		r.Fields = list
		return r
	}
	a := fields(HeaderField{"Caller", "a"}, HeaderField{"Accept", "*/*"})
	for _, tc := range []struct {
		name                 string
		other                *Request
		sameRequest, inGroup bool
	}{
		{"same", fields(HeaderField{"accept", "*/*"}, HeaderField{"caller", "a"}), true, true},
		{"next attempt", fields(HeaderField{"Caller", "a"}, HeaderField{"Traceparent", "00-1"}, HeaderField{"Accept", "*/*"}), true, true},
		{"other caller", fields(HeaderField{"Caller", "b"}, HeaderField{"Accept", "*/*"}), false, true},
		{"other body", &Request{Method: a.Method, Host: a.Host, Target: a.Target, Fields: a.Fields, Body: []byte("b")}, false, false},
		{"other path", &Request{Method: a.Method, Host: a.Host, Target: "/read/y", Fields: a.Fields}, false, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			x, y := identify(a), identify(tc.other)
			is.Equal(x.request == y.request, tc.sameRequest)
			is.Equal(x.group == y.group, tc.inGroup)
		})
	}
	is := is.New(t)
	bare := identify(fields())
	is.Equal(bare.group, identify(a).group)
	is.True(bare.request != bare.group) // a request without fields doesn't stand for its group
	is.True(bare.request != identify(a).request)
}

// TestCallerWhoseRequestCrashesReplicas guards against a request that crashes replicas and is never refused because
// other callers ask for the same path without harm, and against these callers being refused.
func TestCallerWhoseRequestCrashesReplicas(t *testing.T) {
	poison := false
	runTest(t, true, func(*registrar.Candidate) behaviour {
		if poison {
			return behaviour{after: time.Millisecond, err: ErrConnLost}
		}
		return served(time.Millisecond)
	}, func(is *is.I, f *Forwarder, b *fakeBackend) {
		var losses quarantiner.Tracker
		f.cfg.Quarantine = &losses
		ask := func(caller string) int {
			poison = caller == "bad"
			b.down = nil
			if poison {
				b.down = map[string]bool{"single/0": true, "single/1": true, "single/2": true}
			}
			r := request("/read/x", time.Second)
			r.Fields = []HeaderField{{Name: "Caller", Value: caller}}
			resp := f.Serve(context.Background(), r)
			synctest.Wait()
			time.Sleep(time.Second)
			return resp.Status
		}
		for i := range 6 {
			is.Equal(ask("good"), http.StatusOK)
			before := b.total()
			ask("bad")
			is.True(i < 3 || b.total() == before) // refused
		}
		is.Equal(ask("new"), http.StatusOK)
	})
}
