package launcher

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// fakeTraffic simulates requests in virtual time.
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

// request simulates a request that takes d.
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

// runStop runs a shutdown with a grace period of 6 s. It returns how long the shutdown took and the time after
// which new requests were refused. during is called when the VM leaves the fleet.
func runStop(t *testing.T, f *fakeTraffic, during func()) (took, refused time.Duration) {
	t.Helper()
	began := time.Now()
	stopper{
		traffic: f, gracePeriod: 6 * time.Second,
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
		took, refused := runStop(t, &f, func() {})
		is.True(f.draining)
		is.True(took > minDrain && took < minDrain+100*time.Millisecond)
		is.True(refused > minDrain)
	})
}

// TestRequestAsTheVMLeaves guards against an interrupted request: it arrives after the stopper has decided to
// exit and before the process exits, and must be answered. The fault was found in the randomized run trouble-2,
// seed 572750238241.
func TestRequestAsTheVMLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var f fakeTraffic
		runStop(t, &f, func() { f.request(80 * time.Millisecond) })
		is.Equal(f.InFlight(), 0)
	})
}

func TestLongRequestsAndSteadyTraffic(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var f fakeTraffic
		f.request(4 * time.Second)
		took, _ := runStop(t, &f, func() {})
		is.True(took >= 4*time.Second && f.InFlight() == 0)
		f = fakeTraffic{}
		f.request(time.Minute) // takes longer than the grace period
		took, refused := runStop(t, &f, func() {})
		is.True(took < 6*time.Second-exitMargin+100*time.Millisecond)
		is.True(refused < took-refusalPeriod+100*time.Millisecond) // no request is accepted that can't finish in time
	})
}
