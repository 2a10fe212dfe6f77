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

// fakeServer is a backend server that several dispatchers may be sending to.
type fakeServer struct {
	run func(r executor.Request) (executor.Reply, error)

	mu      sync.Mutex
	running int
	most    int
	started int
	held    []executor.Generation
}

// work takes the time until the server is done with a run, whatever the caller is told.
func (f *fakeServer) work(d time.Duration) {
	f.mu.Lock()
	f.running++
	f.started++
	f.most = max(f.most, f.running)
	f.mu.Unlock()
	time.AfterFunc(d, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.running--
	})
}

// seen returns the number of runs started and the most at once.
func (f *fakeServer) seen() (started, most int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.started, f.most
}

func (f *fakeServer) Run(r executor.Request) (executor.Reply, error) { return f.run(r) }
func (f *fakeServer) Cancel(string, time.Time) error                 { return nil }
func (f *fakeServer) Close()                                         {}
func (f *fakeServer) State(time.Time) (executor.State, error) {
	return executor.State{BootID: "boot", Held: f.held}, nil
}

// vm is one VM with a heartbeat that can stop.
type vm struct {
	*Dispatcher
	mu   sync.Mutex
	beat time.Time
}

func (v *vm) heartbeat(now time.Time) time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.beat.IsZero() {
		return now
	}
	return v.beat
}

func (v *vm) stopBeat() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.beat = time.Now()
}

var info = lister.BackendServer{ID: "s", Service: "svc", DataCentre: "dc", Slots: 2, MaxConns: 4}

func newVM(f *fakeServer) *vm {
	v := &vm{}
	v.Dispatcher = New(Config{RepliesPerSlot: 1}, func(lister.BackendServer) Runner { return f }, v.heartbeat, &quarantiner.Tracker{}, &recorder.Ring{})
	return v
}

func (v *vm) take() {
	now := time.Now()
	v.Open(now, v.SetOwned(now, []lister.BackendServer{info}, map[string]int{"dc": 1}))
}

func sub(d time.Duration) Subrequest {
	return Subrequest{Server: "s", ID: "id", Service: "svc", Body: []byte("{}"), Deadline: time.Now().Add(d), Idempotent: true}
}

// send dispatches n Subs and returns their final events.
func (v *vm) send(n int, d time.Duration) []Event {
	batch := make([]Subrequest, n)
	for i := range batch {
		batch[i] = sub(d)
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

func done(executor.Request) (executor.Reply, error) {
	return executor.Reply{BootID: "boot"}, nil
}

// TestSlots checks that a server never runs more than its slots, for each way that a run
// can end while the work goes on.
func TestSlots(t *testing.T) {
	const work = 300 * time.Millisecond
	for _, tc := range []struct {
		name string
		run  func(f *fakeServer, r executor.Request) (executor.Reply, error)
	}{
		{"replies", func(f *fakeServer, r executor.Request) (executor.Reply, error) {
			f.work(work - time.Millisecond) // over before its reply
			time.Sleep(work)
			return done(r)
		}},
		{"connection lost, work goes on", func(f *fakeServer, r executor.Request) (executor.Reply, error) {
			f.work(time.Until(r.Deadline))
			return executor.Reply{}, errors.Join(executor.ErrUnknownOutcome, executor.ErrLost)
		}},
		{"corrupt reply, work goes on", func(f *fakeServer, r executor.Request) (executor.Reply, error) {
			f.work(time.Until(r.Deadline))
			return executor.Reply{}, errors.Join(executor.ErrUnknownOutcome, executor.ErrCorrupt)
		}},
		{"timeout, work ends at the deadline", func(f *fakeServer, r executor.Request) (executor.Reply, error) {
			f.work(time.Until(r.Deadline))
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
				v.take()
				is.Equal(len(v.send(20, 5*time.Second)), 20)
				time.Sleep(5 * time.Second)
				started, most := f.seen()
				is.True(started > 1)
				is.True(most <= info.Slots)
				is.Equal(v.Running(), 0)
			})
		})
	}
}

// TestCallerGone cancels a batch whose work goes on at the server; the slot stays held.
func TestCallerGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := &fakeServer{}
		f.run = func(r executor.Request) (executor.Reply, error) {
			f.work(199 * time.Millisecond)
			time.Sleep(200 * time.Millisecond)
			return done(r)
		}
		v := newVM(f)
		v.take()
		for range 10 {
			ctx, stop := context.WithTimeout(context.Background(), 20*time.Millisecond)
			err := v.Dispatch(ctx, []Subrequest{sub(time.Second), sub(time.Second)}, nil, func(Event) { t.Error("event after the end") })
			is.True(err != nil)
			stop()
		}
		time.Sleep(time.Second)
		_, most := f.seen()
		is.True(most <= info.Slots)
		is.Equal(v.Running(), 0)
	})
}

// TestTakeOver hands a server from a VM that is cut off or frozen to another one, at any
// moment, and checks the sum of both VMs' runs. The new owner waits as the coordinator does.
func TestTakeOver(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				rnd := rand.New(rand.NewPCG(seed, 0))
				f := &fakeServer{}
				f.run = func(r executor.Request) (executor.Reply, error) {
					d := min(400*time.Millisecond, time.Until(r.Deadline))
					f.work(d - time.Millisecond)
					time.Sleep(d)
					return done(r)
				}
				a, b := newVM(f), newVM(f)
				a.take()
				go a.send(30, 20*time.Second)
				time.Sleep(2*time.Second + time.Duration(rnd.IntN(400))*time.Millisecond)
				a.stopBeat() // the last that A heard of the fleet
				time.Sleep(a.TakeoverDelay())
				b.take()
				is.Equal(len(b.send(10, 20*time.Second)), 10)
				_, most := f.seen()
				is.True(most <= info.Slots)
				a.Reset(time.Now())
				time.Sleep(time.Second)
			})
		})
	}
}

func TestRefusals(t *testing.T) {
	for _, tc := range []struct {
		name    string
		prepare func(v *vm)
		change  func(s *Subrequest)
		want    error
	}{
		{"not owned", func(*vm) {}, nil, ErrNotOwner},
		{"not open", func(v *vm) { v.SetOwned(time.Now(), []lister.BackendServer{info}, map[string]int{"dc": 1}) }, nil, ErrNotOpen},
		{"given up", func(v *vm) { v.take(); v.SetOwned(time.Now(), nil, nil) }, nil, ErrNotOwner},
		{"minority side", func(v *vm) { v.take(); v.SetOwned(time.Now(), []lister.BackendServer{info}, map[string]int{"dc": -1}) }, nil, ErrNotOpen},
		{"no heartbeat", func(v *vm) { v.take(); v.stopBeat(); time.Sleep(time.Second) }, nil, ErrNotOpen},
		{"after a pause", func(v *vm) { v.take(); v.Reset(time.Now()) }, nil, ErrNotOpen},
		{"generation not held", func(v *vm) { v.take() }, func(s *Subrequest) { s.Generation = 9 }, executor.ErrNoGeneration},
		{"past its deadline", func(v *vm) { v.take() }, func(s *Subrequest) { s.Deadline = time.Now().Add(-time.Second) }, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := &fakeServer{run: done, held: []executor.Generation{{Number: 1}}}
				v := newVM(f)
				tc.prepare(v)
				s := sub(time.Second)
				if tc.change != nil {
					tc.change(&s)
				}
				var got Event
				_ = v.Dispatch(context.Background(), []Subrequest{s}, nil, func(e Event) { got = e })
				is.True(errors.Is(got.Err, executor.ErrNotRun))
				started, _ := f.seen()
				is.Equal(started, 0)
				if tc.want != nil {
					is.True(errors.Is(got.Err, tc.want))
				}
			})
		})
	}
}
