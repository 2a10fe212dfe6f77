package archiver

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"

	"github.com/ebonylock/ebonylock/modules/quarantiner"
	"github.com/ebonylock/ebonylock/services/recorder"
	"github.com/ebonylock/ebonylock/services/replicator"
)

var (
	software  = quarantiner.Software{Service: "s", Version: "v1"}
	startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	errAway   = errors.New("store away")
)

// fakeStore is a Writer that holds one key.
type fakeStore struct {
	item replicator.Item
	// version is that of the last change.
	version replicator.Version
	away    bool
	// puts are the times of all calls, which are carried out unless the store is away.
	puts []time.Time
	now  *time.Time
}

func (s *fakeStore) Put(_ context.Context, key string, value []byte, expect uint64) (replicator.Version, error) {
	s.puts = append(s.puts, *s.now)
	revision := s.item.Revision
	if s.item.Removed {
		revision = 0
	}
	switch {
	case s.away:
		return replicator.Version{}, errAway
	case expect != revision:
		return replicator.Version{}, recorder.ErrConflict
	}
	s.version.Revision++
	s.item = replicator.Item{Key: key, Value: value, Version: s.version}
	return s.version, nil
}

// restore makes the store come back from a copy.
func (s *fakeStore) restore(state replicator.Item, revision uint64) {
	s.version = replicator.Version{Era: s.version.Era + 1, Revision: revision}
	s.item = state
	s.item.Era = s.version.Era
	if state.Removed {
		s.item.Version = s.version
	}
}

// testVM is a VM with what it knows of losses.
type testVM struct {
	Archiver
	tracker quarantiner.Tracker
	// started is the time of its start, and read that from which on it has a copy of the store.
	started, read time.Time
}

// testFleet is a store and the VMs that use it, in the order of their ranks. All VMs follow the store.
type testFleet struct {
	t     *testing.T
	is    *is.I
	store *fakeStore
	vms   []*testVM
	now   time.Time
	log   bytes.Buffer
}

func newFleet(t *testing.T, n int) *testFleet {
	f := &testFleet{t: t, is: is.New(t), now: startTime}
	f.store = &fakeStore{now: &f.now, version: replicator.Version{Era: 1, Revision: 5}}
	f.store.item = replicator.Item{Removed: true, Version: f.store.version}
	f.restart(n)
	return f
}

// restart ends all VMs and starts n others.
func (f *testFleet) restart(n int) {
	f.vms = nil
	for range n {
		v := &testVM{started: f.now}
		log := logrus.New()
		log.SetOutput(io.Discard)
		if f.vms == nil {
			log.SetOutput(&f.log)
		}
		v.Archiver = Archiver{Recorder: &recorder.Recorder{Store: f.store, Key: "k"}, Losses: &v.tracker, Log: log}
		f.vms = append(f.vms, v)
	}
	f.tick(0)
}

// tick lets time pass; each VM reads the store and writes twice a second.
func (f *testFleet) tick(d time.Duration) {
	for end := f.now.Add(d); ; f.now = f.now.Add(500 * time.Millisecond) {
		for rank, v := range f.vms {
			if !f.store.away {
				v.Observe(f.store.item, v.read.IsZero() || f.now.Sub(v.started) < 10*time.Second, f.now)
				if v.read.IsZero() {
					v.read = f.now
				}
			}
			v.WriteIfStale(f.t.Context(), rank, f.now)
		}
		if !f.now.Before(end) {
			return
		}
	}
}

// lose makes a request crash a server, which all VMs learn from one of them.
func (f *testFleet) lose(request quarantiner.Fingerprint, server string) {
	l := quarantiner.Loss{Fingerprint: request, Group: 100 + request, Software: software, Server: server, Began: f.now.Add(-100 * time.Millisecond), At: f.now}
	for i, v := range f.vms {
		if i == 0 {
			v.tracker.Report(l)
		} else {
			v.tracker.Merge([]quarantiner.Loss{l}, f.now)
		}
	}
}

// answer makes the software reply to a request, which all VMs learn.
func (f *testFleet) answer(request quarantiner.Fingerprint) {
	for _, v := range f.vms {
		v.tracker.MarkAnswered(quarantiner.Answer{Fingerprint: request, Group: 100 + request, Software: software, At: f.now})
	}
}

// expect checks the verdict on a request at all VMs.
func (f *testFleet) expect(request quarantiner.Fingerprint, want quarantiner.Verdict) {
	f.t.Helper()
	for i, v := range f.vms {
		if got := v.tracker.Verdict(request, software, f.now); got != want {
			f.t.Errorf("%v after the start VM %d has request %d as %v, not %v", f.now.Sub(startTime), i, request, got, want)
		}
	}
}

// TestRequestStaysBlockedAfterAllVMsEnd guards against a request that crashes servers again after each time that all VMs
// were killed, with what they knew.
func TestRequestStaysBlockedAfterAllVMsEnd(t *testing.T) {
	f := newFleet(t, 7)
	f.lose(1, "i-1")
	f.tick(time.Second)
	f.restart(7)
	f.expect(1, quarantiner.Suspect)
	f.tick(9 * time.Second)
	f.lose(1, "i-2")
	f.expect(1, quarantiner.Blocked)
	for range 4 {
		f.tick(time.Second)
		f.restart(7)
		f.expect(1, quarantiner.Blocked)
		f.tick(8 * time.Second)
		f.expect(1, quarantiner.Blocked)
	}
	f.expect(2, quarantiner.Allowed)
	f.is.Equal(len(f.store.puts), 2) // one for each loss
}

// TestAgesCountWhileVMsRun guards against a block that never ends, or ends early, since VMs start again and again or
// clocks jump: ages are those of the VMs' own clocks.
func TestAgesCountWhileVMsRun(t *testing.T) {
	f := newFleet(t, 3)
	f.lose(1, "i-1")
	f.tick(2 * time.Second)
	f.lose(1, "i-2")
	for i := range 5 { // nine minutes, in each of which a VM runs most of the time
		f.tick(108 * time.Second)
		f.expect(1, quarantiner.Blocked)
		f.now = f.now.Add(time.Duration(1-2*(i%2)) * 24 * time.Hour) // the time of day jumps back and forth while no VM runs
		f.restart(3)
	}
	f.expect(1, quarantiner.Blocked)
	f.tick(quarantiner.DefaultRetention) // more than what is left, and the renewals
	f.expect(1, quarantiner.Allowed)
	f.tick(5 * time.Second)
	f.restart(3)
	f.expect(1, quarantiner.Allowed)
	f.is.Equal(len(f.store.item.Value), 0)
}

// TestStoreAwayAtCrash guards against losses that are never written, since the store was away as they became known.
func TestStoreAwayAtCrash(t *testing.T) {
	f := newFleet(t, 7)
	f.store.away = true
	f.lose(1, "i-1")
	f.lose(1, "i-2")
	f.tick(30 * time.Second)
	f.is.True(len(f.store.puts) < 90)
	f.store.away = false
	f.tick(3 * time.Second)
	f.restart(7)
	f.expect(1, quarantiner.Suspect) // both at once
	f.tick(time.Second)
	f.store.away = true
	f.lose(1, "i-3")
	f.tick(time.Second)
	f.store.away = false
	f.tick(3 * time.Second)
	f.restart(7)
	f.expect(1, quarantiner.Blocked)
}

// TestStoreAwayAtStart guards against a VM that reads the record late, as the store was away when it started, and takes
// it for one that it knows.
func TestStoreAwayAtStart(t *testing.T) {
	f := newFleet(t, 7)
	f.lose(1, "i-1")
	f.tick(time.Second)
	f.lose(1, "i-2")
	f.tick(time.Second)
	f.store.away = true
	f.restart(7)
	f.tick(time.Minute)
	f.store.away = false
	f.tick(0)
	f.expect(1, quarantiner.Blocked)
}

// TestDrillLosesRecord guards against losses that are gone from the store since it came back from a copy without them.
func TestDrillLosesRecord(t *testing.T) {
	for _, seen := range []bool{true, false} {
		t.Run(fmt.Sprint("seen ", seen), func(t *testing.T) {
			f := newFleet(t, 7)
			f.lose(1, "i-1")
			f.tick(time.Second)
			before, revision := f.store.item, f.store.version.Revision
			f.lose(1, "i-2")
			if seen {
				f.tick(time.Second)
			} else {
				// The write is the last thing that happens before the store is away.
				f.now = f.now.Add(writeInterval)
				f.vms[0].WriteIfStale(t.Context(), 0, f.now)
			}
			f.store.restore(before, revision)
			f.tick(3 * time.Second)
			f.restart(7)
			f.expect(1, quarantiner.Blocked)

			f.store.restore(replicator.Item{Removed: true}, 2)
			f.tick(3 * time.Second)
			f.store.restore(f.store.item, f.store.version.Revision) // as it was
			f.tick(3 * time.Second)
			f.restart(7)
			f.expect(1, quarantiner.Blocked)
		})
	}
}

// TestOddRecord guards against a record of another writer that hides the losses, stops the VM or is written over
// without end.
func TestOddRecord(t *testing.T) {
	for name, value := range map[string][]byte{
		"no protobuf": {0xff}, "JSON": []byte(`{"losses":[]}`), "loss without a request": {0x0a, 0x00}, "cut off": {0x0a, 0x20, 0x01}, "removed": nil,
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 7)
			f.lose(1, "i-1")
			f.tick(time.Second)
			f.lose(1, "i-2")
			f.tick(time.Second)
			spoil := func() {
				f.store.version.Revision++
				f.store.item = replicator.Item{Key: "k", Value: value, Version: f.store.version, Removed: value == nil}
			}
			spoil()
			f.expect(1, quarantiner.Blocked)
			f.tick(3 * time.Second)
			f.restart(7)
			f.expect(1, quarantiner.Blocked)
			f.store.puts = nil
			for range 30 { // another writer that goes on
				spoil()
				f.tick(2 * time.Second)
			}
			f.is.True(len(f.store.puts) <= 60+7)
			f.expect(1, quarantiner.Blocked)

			spoil()
			f.restart(7) // there is nothing to read
			f.expect(1, quarantiner.Allowed)
			f.lose(1, "i-3")
			f.lose(2, "i-4")
			f.expect(1, quarantiner.Suspect)
		})
	}
}

// TestHarmlessRequestIsCleared guards against a harmless request that is blocked after a restart, since the record has
// losses of which it has been cleared.
func TestHarmlessRequestIsCleared(t *testing.T) {
	f := newFleet(t, 7)
	f.lose(2, "i-1")
	f.tick(time.Second)
	f.is.True(len(f.store.item.Value) > 0)
	f.answer(2)
	f.tick(clearDelay + writeInterval + time.Second)
	f.restart(7)
	f.expect(2, quarantiner.Allowed)
	f.lose(2, "i-2")
	f.expect(2, quarantiner.Suspect)
	f.tick(time.Second)

	// Cleared after a restart, and beside a request that is to blame.
	f.restart(7)
	f.expect(2, quarantiner.Suspect)
	f.lose(1, "i-3")
	f.tick(time.Second)
	f.answer(2)
	f.lose(1, "i-4")
	f.lose(2, "i-4")
	f.expect(1, quarantiner.Blocked)
	f.expect(2, quarantiner.Allowed)
	f.tick(5 * time.Second)
	f.restart(7)
	f.expect(1, quarantiner.Blocked)
	f.expect(2, quarantiner.Allowed)
	f.lose(2, "i-5")
	f.expect(2, quarantiner.Suspect)
}

// TestFirstVMKeepsLossesOfOthers guards against a first VM that removes a loss from the record that it has not heard of.
func TestFirstVMKeepsLossesOfOthers(t *testing.T) {
	f := newFleet(t, 3)
	f.tick(20 * time.Second)
	f.vms[2].tracker.Report(quarantiner.Loss{Fingerprint: 1, Software: software, Server: "i-1", At: f.now})
	f.tick(5 * time.Second)
	f.vms[2].tracker.Report(quarantiner.Loss{Fingerprint: 1, Software: software, Server: "i-2", At: f.now})
	f.tick(5 * time.Second)
	f.lose(3, "i-3")
	f.tick(2 * time.Minute)
	f.restart(3)
	f.expect(1, quarantiner.Blocked)
	f.expect(3, quarantiner.Suspect)
}

// TestWritesAreBounded guards against more calls than the store takes: many replicas are lost, or the store is away, in
// a fleet of 300 VMs.
func TestWritesAreBounded(t *testing.T) {
	for _, away := range []bool{false, true} {
		t.Run(fmt.Sprint("away ", away), func(t *testing.T) {
			f := newFleet(t, 300)
			f.tick(time.Second)
			f.store.away = away
			for i := range 60 {
				f.lose(quarantiner.Fingerprint(1+i), fmt.Sprint("i-", i))
				f.tick(500 * time.Millisecond)
			}
			most := 0
			for i, at := range f.store.puts {
				n := 0
				for _, p := range f.store.puts[i:] {
					if p.Sub(at) < time.Second {
						n++
					}
				}
				most = max(most, n)
			}
			t.Logf("%d calls in 30 s, at most %d within a second", len(f.store.puts), most)
			f.is.True(most <= 10) // a fleet of this size has 3,200 a second
			f.store.away = false
			f.tick(2 * time.Second)
			f.restart(7)
			for i := range 60 {
				f.expect(quarantiner.Fingerprint(1+i), quarantiner.Suspect)
			}
		})
	}
}

// TestRecordIsBounded guards against a record that is too large for the VMs to read, and against losses without room
// that are written again and again.
func TestRecordIsBounded(t *testing.T) {
	f := newFleet(t, 3)
	long := bytes.Repeat([]byte("i"), 200)
	for i := range 2 * maxLosses {
		f.lose(quarantiner.Fingerprint(10+i), fmt.Sprintf("%s-%d", long, i))
	}
	f.now = f.now.Add(time.Second)
	f.lose(1, "i-1")
	f.now = f.now.Add(time.Second)
	f.lose(1, "i-2")
	f.tick(20 * time.Second)
	f.is.Equal(len(f.store.puts), 1)
	f.is.True(len(f.store.item.Value) <= maxBytes+1000)
	f.restart(3)
	f.expect(1, quarantiner.Blocked) // requests with several losses come first
}

func FuzzDecode(f *testing.F) {
	f.Add(encode([]quarantiner.Loss{{Fingerprint: 1, Group: 2, Software: software, Server: "i-1", At: startTime}}, startTime.Add(time.Second)))
	f.Fuzz(func(t *testing.T, b []byte) {
		list, err := decode(b, startTime)
		if err != nil {
			return
		}
		for _, l := range list {
			if l.Fingerprint == 0 || l.Server == "" || !l.Inexact || l.At.After(startTime) || l.Began.After(l.At) {
				t.Fatalf("%+v", l)
			}
		}
		if again, err := decode(encode(list, startTime), startTime); err != nil || len(again) > len(list) {
			t.Fatal(list, again, err)
		}
	})
}

// TestRestartsChangeNoVerdict generates crashes by one request while harmless ones run beside it, replies to these, and
// ends of all VMs. A fleet that was restarted must block the request to blame if one that goes on does, and no
// harmless one but those that one that goes on blocks, or one that was restarted and kept nothing.
func TestRestartsChangeNoVerdict(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		restarted, steady, forgetful := newFleet(t, 2), newFleet(t, 2), newFleet(t, 2)
		forgetful.store.away = true
		each := func(f func(*testFleet)) {
			for _, fleet := range []*testFleet{restarted, steady, forgetful} {
				f(fleet)
			}
		}
		servers := 0
		for range rapid.IntRange(1, 12).Draw(r, "steps") {
			switch rapid.IntRange(0, 3).Draw(r, "step") {
			case 0, 1:
				servers++
				beside := rapid.SliceOfDistinct(rapid.IntRange(2, 4), rapid.ID[int]).Draw(r, "beside")
				each(func(f *testFleet) {
					// A server crashes only if the request to blame reaches it; otherwise it replies to the others.
					crashes := !f.blocks(1)
					if crashes {
						f.lose(1, fmt.Sprint("i-", servers))
					}
					for _, request := range beside {
						switch harmless := quarantiner.Fingerprint(request); {
						case f.blocks(harmless):
						case crashes:
							f.lose(harmless, fmt.Sprint("i-", servers))
						default:
							f.answer(harmless)
						}
					}
				})
			case 2:
				request := quarantiner.Fingerprint(rapid.IntRange(2, 4).Draw(r, "answered"))
				each(func(f *testFleet) { f.answer(request) })
			case 3:
				restarted.restart(2)
				forgetful.restart(2)
			}
			each(func(f *testFleet) { f.tick(clearDelay + writeInterval + time.Second) })
			if steady.blocks(1) && !restarted.blocks(1) {
				r.Fatal("the request to blame is not blocked")
			}
			for request := quarantiner.Fingerprint(2); request <= 4; request++ {
				if restarted.blocks(request) && !steady.blocks(request) && !forgetful.blocks(request) {
					r.Fatalf("harmless request %d is blocked", request)
				}
			}
		}
	})
}

// blocks reports whether the VMs block a request.
func (f *testFleet) blocks(request quarantiner.Fingerprint) bool {
	return f.vms[0].tracker.Verdict(request, software, f.now) == quarantiner.Blocked
}
