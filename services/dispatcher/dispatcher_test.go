package dispatcher

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/ebonylock/ebonylock/modules/executor"
	"github.com/ebonylock/ebonylock/modules/lister"
	"github.com/ebonylock/ebonylock/modules/quarantiner"
	"github.com/ebonylock/ebonylock/modules/recorder"
)

// fakeServer is a backend server that counts its runs. Several dispatchers may use it.
type fakeServer struct {
	run func(r executor.Request) (executor.Reply, error)

	mu      sync.Mutex
	running int
	// peak is the largest number of runs at the same time.
	peak    int
	started int
	held    []executor.Generation
}

// simulateRun counts a run that occupies the server for d, whatever result the caller gets
// and when.
func (f *fakeServer) simulateRun(d time.Duration) {
	f.mu.Lock()
	f.running++
	f.started++
	f.peak = max(f.peak, f.running)
	f.mu.Unlock()
	time.AfterFunc(d, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.running--
	})
}

// counts returns the number of runs started and the largest number at the same time.
func (f *fakeServer) counts() (started, peak int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.started, f.peak
}

func (f *fakeServer) Run(r executor.Request) (executor.Reply, error) { return f.run(r) }
func (f *fakeServer) Cancel(string, time.Time) error                 { return nil }
func (f *fakeServer) Close()                                         {}
func (f *fakeServer) State(time.Time) (executor.State, error) {
	return executor.State{BootID: "boot", Held: f.held}, nil
}

// vm is a VM whose heartbeat can be stopped.
type vm struct {
	*Dispatcher
	mu sync.Mutex
	// lastHeartbeat is zero while the heartbeat is running.
	lastHeartbeat time.Time
}

func (v *vm) heartbeat(now time.Time) time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.lastHeartbeat.IsZero() {
		return now
	}
	return v.lastHeartbeat
}

func (v *vm) stopHeartbeat() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.lastHeartbeat = time.Now()
}

var testServer = lister.BackendServer{ID: "s", Service: "svc", DataCentre: "dc", Slots: 2, MaxConns: 4}

func newVM(f *fakeServer) *vm {
	v := &vm{}
	v.Dispatcher = New(Config{RepliesPerSlot: 1}, func(lister.BackendServer) Runner { return f }, v.heartbeat, &quarantiner.Tracker{}, &recorder.Ring{})
	return v
}

// ownAndOpen makes v the owner of testServer and opens it without the takeover delay.
func (v *vm) ownAndOpen() {
	now := time.Now()
	v.Open(now, v.SetOwned(now, []lister.BackendServer{testServer}, map[string]int{"dc": 1}))
}

func newSubrequest(d time.Duration) Subrequest {
	return Subrequest{Server: "s", ID: "id", Service: "svc", Body: []byte("{}"), Deadline: time.Now().Add(d), Idempotent: true}
}

// dispatchAll dispatches n Subrequests with a deadline after d and returns their final events.
func (v *vm) dispatchAll(n int, d time.Duration) []Event {
	batch := make([]Subrequest, n)
	for i := range batch {
		batch[i] = newSubrequest(d)
	}
	var mu sync.Mutex
	var out []Event
	_ = v.Dispatch(context.Background(), batch, nil, func(e Event) {
		mu.Lock()
		defer mu.Unlock()
		if e.Kind != Slow {
			out = append(out, e)
		}
	})
	return out
}

func replyWithoutError(executor.Request) (executor.Reply, error) {
	return executor.Reply{BootID: "boot"}, nil
}

// TestSlots checks that a server never has more runs than slots, for each way in which a run
// can end for the caller while the server is still working on it.
func TestSlots(t *testing.T) {
	const work = 300 * time.Millisecond
	for _, tc := range []struct {
		name string
		run  func(f *fakeServer, r executor.Request) (executor.Reply, error)
	}{
		{"replies", func(f *fakeServer, r executor.Request) (executor.Reply, error) {
			f.simulateRun(work - time.Millisecond) // ends before its reply arrives
			time.Sleep(work)
			return replyWithoutError(r)
		}},
		{"connection lost, run continues", func(f *fakeServer, r executor.Request) (executor.Reply, error) {
			f.simulateRun(time.Until(r.Deadline))
			return executor.Reply{}, errors.Join(executor.ErrUnknownOutcome, executor.ErrLost)
		}},
		{"corrupt reply, run continues", func(f *fakeServer, r executor.Request) (executor.Reply, error) {
			f.simulateRun(time.Until(r.Deadline))
			return executor.Reply{}, errors.Join(executor.ErrUnknownOutcome, executor.ErrCorrupt)
		}},
		{"timeout, run ends at the deadline", func(f *fakeServer, r executor.Request) (executor.Reply, error) {
			f.simulateRun(time.Until(r.Deadline))
			time.Sleep(time.Until(r.Deadline) - 10*time.Millisecond)
			return executor.Reply{}, errors.Join(executor.ErrUnknownOutcome, executor.ErrTimeout)
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := &fakeServer{}
				f.run = func(r executor.Request) (executor.Reply, error) { return tc.run(f, r) }
				v := newVM(f)
				v.ownAndOpen()
				is.Equal(len(v.dispatchAll(20, 5*time.Second)), 20)
				time.Sleep(5 * time.Second)
				started, peak := f.counts()
				is.True(started > 1)
				is.True(peak <= testServer.Slots)
				is.Equal(v.Running(), 0)
			})
		})
	}
}

// TestCancelledBatchHoldsItsSlots cancels batches whose runs continue at the server, and checks
// that the slots stay held until these runs have ended.
func TestCancelledBatchHoldsItsSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := &fakeServer{}
		f.run = func(r executor.Request) (executor.Reply, error) {
			f.simulateRun(199 * time.Millisecond)
			time.Sleep(200 * time.Millisecond)
			return replyWithoutError(r)
		}
		v := newVM(f)
		v.ownAndOpen()
		for range 10 {
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
			err := v.Dispatch(ctx, []Subrequest{newSubrequest(time.Second), newSubrequest(time.Second)}, nil, func(Event) { t.Error("event after the batch was cancelled") })
			is.True(err != nil)
			cancel()
		}
		time.Sleep(time.Second)
		_, peak := f.counts()
		is.True(peak <= testServer.Slots)
		is.Equal(v.Running(), 0)
	})
}

// TestTakeOver checks that a server never has more runs than slots while another VM takes it
// over from an owner that lost contact to the fleet but is still running. The contact is lost at
// a random time, and the new owner waits for the TakeoverDelay, as the coordinator does.
func TestTakeOver(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				rnd := rand.New(rand.NewPCG(seed, 0))
				f := &fakeServer{}
				f.run = func(r executor.Request) (executor.Reply, error) {
					d := min(400*time.Millisecond, time.Until(r.Deadline))
					f.simulateRun(d - time.Millisecond)
					time.Sleep(d)
					return replyWithoutError(r)
				}
				a, b := newVM(f), newVM(f)
				a.ownAndOpen()
				go a.dispatchAll(30, 20*time.Second)
				time.Sleep(2*time.Second + time.Duration(rnd.IntN(400))*time.Millisecond)
				a.stopHeartbeat() // a has no contact to the fleet from here on
				time.Sleep(a.TakeoverDelay())
				b.ownAndOpen()
				is.Equal(len(b.dispatchAll(10, 20*time.Second)), 10)
				_, peak := f.counts()
				is.True(peak <= testServer.Slots)
				a.Reset(time.Now())
				time.Sleep(time.Second)
			})
		})
	}
}

// TestRefusals checks that refused work fails as not run and does not reach the server.
func TestRefusals(t *testing.T) {
	for _, tc := range []struct {
		name    string
		prepare func(v *vm)
		change  func(s *Subrequest)
		want    error
	}{
		{"not owned", func(*vm) {}, nil, ErrNotOwner},
		{"not open", func(v *vm) { v.SetOwned(time.Now(), []lister.BackendServer{testServer}, map[string]int{"dc": 1}) }, nil, ErrNotOpen},
		{"no longer owned", func(v *vm) { v.ownAndOpen(); v.SetOwned(time.Now(), nil, nil) }, nil, ErrNotOwner},
		{"negative share", func(v *vm) {
			v.ownAndOpen()
			v.SetOwned(time.Now(), []lister.BackendServer{testServer}, map[string]int{"dc": -1})
		}, nil, ErrNotOpen},
		{"no heartbeat", func(v *vm) { v.ownAndOpen(); v.stopHeartbeat(); time.Sleep(time.Second) }, nil, ErrNotOpen},
		{"after a reset", func(v *vm) { v.ownAndOpen(); v.Reset(time.Now()) }, nil, ErrNotOpen},
		{"generation not held", func(v *vm) { v.ownAndOpen() }, func(s *Subrequest) { s.Generation = 9 }, executor.ErrNoGeneration},
		{"past its deadline", func(v *vm) { v.ownAndOpen() }, func(s *Subrequest) { s.Deadline = time.Now().Add(-time.Second) }, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := &fakeServer{run: replyWithoutError, held: []executor.Generation{{Number: 1}}}
				v := newVM(f)
				tc.prepare(v)
				s := newSubrequest(time.Second)
				if tc.change != nil {
					tc.change(&s)
				}
				var got Event
				_ = v.Dispatch(context.Background(), []Subrequest{s}, nil, func(e Event) { got = e })
				is.True(errors.Is(got.Err, executor.ErrNotRun))
				started, _ := f.counts()
				is.Equal(started, 0)
				if tc.want != nil {
					is.True(errors.Is(got.Err, tc.want))
				}
			})
		})
	}
}

// TestAnsweredRequestIsBlocked guards against a request that servers have answered and that crashes them without limit
// once they hold another generation, and against its run if it is blocked while it is queued.
func TestAnsweredRequestIsBlocked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := &fakeServer{held: []executor.Generation{{Number: 1}, {Number: 2}}}
		f.run = func(r executor.Request) (executor.Reply, error) {
			f.simulateRun(10 * time.Millisecond)
			time.Sleep(10 * time.Millisecond)
			if r.Generation == 2 {
				return executor.Reply{}, errors.Join(executor.ErrUnknownOutcome, executor.ErrLost)
			}
			return executor.Reply{Generation: 1}, nil
		}
		v := newVM(f)
		v.ownAndOpen()
		send := func(generation uint64, n int) []Event {
			batch := make([]Subrequest, n)
			for i := range batch {
				batch[i] = newSubrequest(10 * time.Second)
				batch[i].Generation, batch[i].Fingerprint = generation, 1
			}
			var mu sync.Mutex
			var out []Event
			_ = v.Dispatch(context.Background(), batch, nil, func(e Event) {
				mu.Lock()
				defer mu.Unlock()
				out = append(out, e)
			})
			time.Sleep(time.Second)
			return out
		}
		is.NoErr(send(1, 1)[0].Err)
		for range 4 {
			send(2, 1)
		}
		started, _ := f.counts()
		is.Equal(started, 1+2)
		is.True(errors.Is(send(2, 1)[0].Err, ErrQuarantined))
		is.NoErr(send(1, 1)[0].Err) // generation 1 has answered it
	})
}

// TestQueuedRequestIsBlocked guards against the run of a request that is blocked while it waits in the queue.
func TestQueuedRequestIsBlocked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := &fakeServer{held: []executor.Generation{{Number: 1}}}
		f.run = func(executor.Request) (executor.Reply, error) {
			f.simulateRun(100 * time.Millisecond)
			time.Sleep(100 * time.Millisecond)
			return executor.Reply{Generation: 1}, nil
		}
		v := newVM(f)
		v.ownAndOpen()
		go v.dispatchAll(4, 10*time.Second) // takes the slots
		time.Sleep(10 * time.Millisecond)
		go func() {
			time.Sleep(10 * time.Millisecond)
			for _, server := range []string{"x", "y"} {
				v.quarantine.Report(quarantiner.Loss{Fingerprint: 1, Server: server, At: time.Now()})
			}
		}()
		s := newSubrequest(10 * time.Second)
		s.Fingerprint = 1
		var got Event
		_ = v.Dispatch(context.Background(), []Subrequest{s}, nil, func(e Event) { got = e })
		is.True(errors.Is(got.Err, ErrQuarantined))
		time.Sleep(time.Second) // until the others have run
	})
}
