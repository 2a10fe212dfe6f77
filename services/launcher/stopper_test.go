package launcher

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// fakeTraffic is what callers send, in virtual time.
type fakeTraffic struct {
	mu       sync.Mutex
	inFlight int
	last     time.Time
	draining bool
}

func (f *fakeTraffic) Drain() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.draining = true
}

func (f *fakeTraffic) InFlight() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.inFlight
}

func (f *fakeTraffic) LastTraffic() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.last
}

// request is under way for d.
func (f *fakeTraffic) request(d time.Duration) {
	f.mu.Lock()
	f.inFlight++
	f.last = time.Now()
	f.mu.Unlock()
	time.AfterFunc(d, func() {
		f.mu.Lock()
		f.inFlight--
		f.mu.Unlock()
	})
}

// stopped plays a stop with a grace of 6 s and returns how long it took and when new requests
// began to be refused. during is called as the VM leaves.
func stopped(t *testing.T, f *fakeTraffic, during func()) (took, refused time.Duration) {
	t.Helper()
	began := time.Now()
	stopper{
		traffic: f, grace: 6 * time.Second,
		refuse: func() {
			if refused == 0 {
				refused = time.Since(began)
			}
		},
		leave: during,
	}.stop(t.Context())
	return time.Since(began), refused
}

func TestStopWaitsForTheBalancer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var f fakeTraffic
		took, refused := stopped(t, &f, func() {})
		is.True(f.draining)
		is.True(took > leastDrain && took < leastDrain+100*time.Millisecond)
		is.True(refused > leastDrain)
	})
}

// TestRequestAsTheVMLeaves is the pattern of hunted day trouble-2, seed 572750238241: a request
// comes between the decision to end and the end, and must be answered.
func TestRequestAsTheVMLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var f fakeTraffic
		stopped(t, &f, func() { f.request(80 * time.Millisecond) })
		is.Equal(f.InFlight(), 0)
	})
}

func TestLongRequestsAndSteadyTraffic(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var f fakeTraffic
		f.request(4 * time.Second)
		took, _ := stopped(t, &f, func() {})
		is.True(took >= 4*time.Second && f.InFlight() == 0)
		f = fakeTraffic{}
		f.request(time.Minute) // never done in time
		took, refused := stopped(t, &f, func() {})
		is.True(took < 6*time.Second-endMargin+100*time.Millisecond)
		is.True(refused < took-lastCall+100*time.Millisecond) // no request is taken that can't end
	})
}
