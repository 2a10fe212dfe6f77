package gatekeeper

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1_700_000_000, 0)

// TestLeavingNeverEnds guards against a replica that gets requests again after it has said that it leaves,
// because a pause ends or time passes.
func TestLeavingNeverEnds(t *testing.T) {
	is := is.New(t)
	var g Gatekeeper
	is.True(g.Leave("a", start))
	is.True(!g.Leave("a", start.Add(time.Second))) // known
	g.Pause("a", time.Second, start)
	for _, d := range []time.Duration{0, time.Second, time.Hour, 100 * time.Hour} {
		is.Equal(g.Ask("a", start.Add(d)).State, Leaving)
		is.True(!g.Begin("a", start.Add(d)))
	}
	g.End("a", start.Add(2*time.Second), true, start.Add(3*time.Second))
	is.Equal(g.Ask("a", start.Add(4*time.Second)).State, Leaving)
	is.Equal(g.Ask("b", start).State, Open) // another start of a replica
	g.Prune(start.Add(2*time.Hour), func(key string) bool { return key == "a" })
	is.Equal(g.Ask("a", start.Add(2*time.Hour)).State, Leaving)
	g.Prune(start.Add(200*time.Hour), func(string) bool { return false })
	leaving, paused := g.Count(start)
	is.Equal(leaving+paused, 0)
}

// TestNothingIsSentDuringAPause guards against requests during a pause, and against a burst at its end.
func TestNothingIsSentDuringAPause(t *testing.T) {
	is := is.New(t)
	var g Gatekeeper
	is.True(g.Pause("a", 2*time.Second, start))
	is.True(!g.Pause("a", time.Second, start.Add(100*time.Millisecond))) // shortens nothing
	is.Equal(g.Ask("a", start.Add(time.Second)), Answer{Paused, start.Add(2 * time.Second)})
	is.True(!g.Begin("a", start.Add(1999*time.Millisecond)))
	now := start.Add(2 * time.Second)
	for replies := range rampRuns {
		sent := 0
		for g.Begin("a", now) {
			sent++
		}
		is.Equal(sent, replies+1)
		for range sent - 1 {
			g.End("a", now, false, now)
		}
		g.End("a", now, true, now)
	}
	is.Equal(g.Ask("a", now), Answer{})
	is.Equal(len(g.entries), 0)
}

// TestPausesInARowDoNotStarve guards against a replica that never gets a request again because each one is
// answered with another pause.
func TestPausesInARowDoNotStarve(t *testing.T) {
	is := is.New(t)
	var g Gatekeeper
	now := start
	for range 20 {
		g.Pause("a", time.Second, now)
		is.True(!g.Ask("a", now).Until.After(now.Add(time.Second + maxHold)))
		now = g.Ask("a", now).Until
		is.True(g.Begin("a", now))
		is.True(!g.Begin("a", now))
		g.End("a", now, false, now)
	}
	for range rampRuns {
		is.True(g.Begin("a", now))
		g.End("a", now, true, now)
	}
	is.Equal(g.Ask("a", now), Answer{})
}

// TestLateEndOfAnEarlierRequest checks that the end of a request that began before a pause isn't counted as a
// reply after it.
func TestLateEndOfAnEarlierRequest(t *testing.T) {
	is := is.New(t)
	var g Gatekeeper
	g.Pause("a", time.Second, start)
	for range 2 * rampRuns {
		g.End("a", start.Add(-time.Millisecond), true, start.Add(time.Second))
	}
	now := start.Add(time.Second)
	is.True(g.Begin("a", now))
	is.True(!g.Begin("a", now))
}

func TestPauseIsBounded(t *testing.T) {
	is := is.New(t)
	var g Gatekeeper
	is.True(!g.Pause("a", -time.Second, start))
	is.True(!g.Pause("a", 0, start))
	is.True(g.Pause("a", 1<<62, start))
	is.Equal(g.Ask("a", start).Until, start.Add(MaxPause))
}

func BenchmarkAsk(b *testing.B) {
	for _, closed := range []int{0, 8} {
		b.Run(fmt.Sprintf("%d closed", closed), func(b *testing.B) {
			var g Gatekeeper
			for i := range closed {
				g.Leave(fmt.Sprint(i), start)
			}
			for b.Loop() {
				g.Ask("replica", start)
			}
		})
	}
}
