package limiter

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var epoch = time.Unix(1_700_000_000, 0)

func TestFaults(t *testing.T) {
	for _, tc := range []struct {
		name    string
		prepare func(l *Limiter[int])
		limit   int
		cold    bool
	}{
		{"starts cold", func(*Limiter[int]) {}, 1, true},
		{"grows after enough replies", func(l *Limiter[int]) { reply(l, 16) }, 2, true},
		{"needs more replies at a higher limit", func(l *Limiter[int]) { reply(l, 16+31) }, 2, true},
		{"is warm in the end", func(l *Limiter[int]) { reply(l, 1000) }, 4, false},
		{"halves on a shed", func(l *Limiter[int]) { reply(l, 1000); l.Observe(epoch, Shed, 0) }, 2, true},
		{"halves twice", func(l *Limiter[int]) { reply(l, 1000); l.Observe(epoch, Shed, 0); l.Observe(epoch, Shed, 0) }, 1, true},
		{"is cold after a loss", func(l *Limiter[int]) { reply(l, 1000); l.Observe(epoch, Lost, 0) }, 1, true},
		{"keeps its limit on a timeout", func(l *Limiter[int]) { reply(l, 1000); l.Observe(epoch, Neutral, 0) }, 4, false},
		{"splits the slots", func(l *Limiter[int]) { reply(l, 1000); l.SetShare(2) }, 2, false},
		{"gives a share rounded down", func(l *Limiter[int]) { reply(l, 1000); l.SetShare(3) }, 1, false},
		{"gives no share to a minority", func(l *Limiter[int]) { reply(l, 1000); l.SetShare(-1) }, 0, false},
		{"gives nothing when shares are below one slot", func(l *Limiter[int]) { reply(l, 1000); l.SetShare(5) }, 0, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			l := &Limiter[int]{Slots: 4}
			tc.prepare(l)
			is.Equal(l.Limit(epoch), tc.limit)
			is.Equal(l.Cold(), tc.cold)
		})
	}
}

func reply(l *Limiter[int], n int) {
	for range n {
		l.Observe(epoch, Done, time.Millisecond)
	}
}

func TestPauseGrowsWithEachLoss(t *testing.T) {
	is := is.New(t)
	l := &Limiter[int]{Slots: 2}
	var last time.Duration
	for range 3 {
		l.Observe(epoch, Lost, 0)
		pause := l.PausedUntil().Sub(epoch)
		is.True(pause > last)
		last = pause
	}
	_, err := l.Enqueue(epoch, epoch.Add(last/2), false, 1)
	is.Equal(err, ErrTooLate) // a paused server refuses what it could not start in time
}

func TestDeadlineOrder(t *testing.T) {
	is := is.New(t)
	l := &Limiter[int]{Slots: 1}
	for i, d := range []time.Duration{3, 1, 2} {
		_, err := l.Enqueue(epoch, epoch.Add(d*time.Second), false, i)
		is.NoErr(err)
	}
	it, late, ok := l.Next(epoch)
	is.True(ok && !late)
	is.Equal(it.Value, 1)
	_, _, ok = l.Next(epoch)
	is.True(!ok) // the only slot is held
	l.Release()
	it, late, ok = l.Next(epoch.Add(2500 * time.Millisecond))
	is.True(ok && late) // never started after its deadline
	is.Equal(it.Value, 2)
}

// TestNeverAboveLimit drives a Limiter with random events and checks that a start never
// takes it above the limit of that moment.
func TestNeverAboveLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := &Limiter[int]{Slots: rapid.IntRange(1, 6).Draw(t, "slots"), RepliesPerSlot: 2}
		now := epoch
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			now = now.Add(time.Millisecond)
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0, 1:
				_, _ = l.Enqueue(now, now.Add(time.Second), rapid.Bool().Draw(t, "urgent"), 0)
			case 2, 3:
				before, limit := l.Running(), l.Limit(now)
				_, late, ok := l.Next(now)
				if ok && !late && before >= limit {
					t.Fatalf("started with %d running, limit %d", before, limit)
				}
			case 4:
				if l.Running() > 0 {
					l.Observe(now, Outcome(rapid.IntRange(0, 3).Draw(t, "outcome")), time.Millisecond)
					l.Release()
				}
			case 5:
				l.SetShare(rapid.IntRange(-1, 3).Draw(t, "share"))
			}
			if l.Running() < 0 || l.Limit(now) > l.Slots {
				t.Fatalf("running %d, limit %d, slots %d", l.Running(), l.Limit(now), l.Slots)
			}
		}
	})
}

// TestSilentServerGetsOneRun covers a server that starts again while nothing is sent to it.
func TestSilentServerGetsOneRun(t *testing.T) {
	is := is.New(t)
	l := &Limiter[int]{Slots: 4, StaleAfter: time.Second}
	reply(l, 1000)
	is.Equal(l.Limit(epoch.Add(time.Second)), 4)
	is.Equal(l.Limit(epoch.Add(1001*time.Millisecond)), 1)
	l.NoteReply(epoch.Add(2 * time.Second))
	is.Equal(l.Limit(epoch.Add(2*time.Second)), 4)
}
