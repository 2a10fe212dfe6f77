package ranker

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/ebonylock/ebonylock/modules/reporter"
)

var (
	start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	work  = Workload{Service: "s", TargetLatency: 80 * time.Millisecond}
)

// end is the end of a run that is under way.
type end struct {
	at  time.Time
	id  string
	run Result
}

// distance is what the forwarder adds for a replica of another data centre: a fifth of the target.
const distance = 16 * time.Millisecond

// player is one VM that sends a request each 10 ms, or as every says, to the replica with the
// least expectation, out of three, of which a is in its own data centre.
type player struct {
	r     Ranker
	now   time.Time
	every time.Duration
	open  []end
}

// play sends n requests and returns how many went to each replica. behave gives the end of a
// run at a replica.
func (p *player) play(n int, behave func(id string, at time.Time) (time.Duration, Outcome)) map[string]int {
	sent := make(map[string]int)
	for range n {
		p.now = p.now.Add(max(p.every, 10*time.Millisecond))
		kept := p.open[:0]
		for _, e := range p.open {
			if e.at.After(p.now) {
				kept = append(kept, e)
				continue
			}
			p.r.End(e.id, work, e.run, e.at)
		}
		p.open = kept
		best := ""
		var lowest time.Duration
		for _, id := range []string{"a", "b", "c"} {
			cost := p.r.Estimate(id, 2, work, p.now).Expected
			if id != "a" {
				cost += distance
			}
			if best == "" || cost < lowest {
				best, lowest = id, cost
			}
		}
		sent[best]++
		p.r.Begin(best, p.now)
		took, o := behave(best, p.now)
		p.open = append(p.open, end{p.now.Add(took), best, Result{Started: p.now, Duration: took, Outcome: o}})
	}
	return sent
}

func sound(id string, _ time.Time) (time.Duration, Outcome) {
	return map[string]time.Duration{"a": 6, "b": 7, "c": 8}[id] * time.Millisecond, Served
}

// TestBehaviours gives for each way that a replica goes wrong how many of the next 300 requests
// (3 s) still go to it, and how many in the 3 s after it is well again.
func TestBehaviours(t *testing.T) {
	for _, tc := range []struct {
		name   string
		took   time.Duration
		end    Outcome
		during int
		after  int
	}{
		{"slow", 80 * time.Millisecond, Served, 20, 50},
		{"very slow", 300 * time.Millisecond, Served, 20, 20},
		{"silent", 400 * time.Millisecond, NoReply, 20, 20},
		{"refuses connections", time.Millisecond, Unreachable, 20, 50},
		{"fails", 5 * time.Millisecond, Failed, 30, 20},
		{"sheds", time.Millisecond, Shed, 40, 50},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			p := player{now: start}
			before := p.play(300, sound)
			is.True(before["a"] > 100) // the fastest gets most
			during := p.play(300, func(id string, at time.Time) (time.Duration, Outcome) {
				if id == "a" {
					return tc.took, tc.end
				}
				return sound(id, at)
			})
			after := p.play(300, sound)
			t.Logf("of 300 each: %d before, %d during, %d after", before["a"], during["a"], after["a"])
			is.True(during["a"] <= tc.during)
			is.True(after["a"] >= tc.after)
		})
	}
}

// TestGreyReplicaAndRareRequests is the pattern of many replicas that shed or fail part of their
// requests, as seen by one VM of a large fleet, which has two requests a second: what it has
// learnt lasts for more than one of them.
func TestGreyReplicaAndRareRequests(t *testing.T) {
	for _, o := range []Outcome{Shed, Failed} {
		is := is.New(t)
		p := player{now: start, every: 500 * time.Millisecond}
		p.play(40, sound)
		draw := rand.New(rand.NewPCG(1, 2))
		during := p.play(100, func(id string, at time.Time) (time.Duration, Outcome) {
			if id == "a" && draw.Float64() < 0.45 {
				return time.Millisecond, o
			}
			return sound(id, at)
		})
		after := p.play(100, sound)
		t.Logf("outcome %d, of 100 each: %d during, %d after", o, during["a"], after["a"])
		is.True(during["a"] <= 33) // a third
		is.True(after["a"] >= 50)
	}
}

// warned is a Shared that has verdicts on some replicas.
type warned map[uint64]reporter.Verdict

func (warned) Run(uint64, bool, float64, time.Time) {}

func (w warned) Of(replica uint64, _ time.Time) reporter.Verdict {
	if v, ok := w[replica]; ok {
		return v
	}
	return reporter.Verdict{LatencyRatio: 1}
}

// TestWarnedByOthers is the pattern of a VM that has seen nothing of a grey or slow replica but was
// told: it sends next to nothing there.
func TestWarnedByOthers(t *testing.T) {
	a := reporter.Hash("a")
	for _, v := range []reporter.Verdict{{Replica: a, FailureRate: 0.5, LatencyRatio: 1}, {Replica: a, LatencyRatio: 8}} {
		is := is.New(t)
		p := player{now: start, every: 500 * time.Millisecond}
		p.play(40, sound)
		p.r.Shared = warned{a: v}
		is.True(p.play(100, sound)["a"] <= 10)
		// A VM that has just started, maybe with all others, goes by what it sees itself.
		p.r.SharedFrom = p.now.Add(time.Hour)
		is.True(p.play(100, sound)["a"] >= 90)
	}
}

// TestPauseCostsLittle is the pattern of a replica that pauses for 100 ms: no more work while it
// lasts, and its place back soon after.
func TestPauseCostsLittle(t *testing.T) {
	is := is.New(t)
	p := player{now: start}
	p.play(300, sound)
	from := p.now
	during := p.play(10, func(id string, at time.Time) (time.Duration, Outcome) {
		if id == "a" {
			return from.Add(100*time.Millisecond).Sub(at) + 6*time.Millisecond, Served
		}
		return sound(id, at)
	})
	is.True(during["a"] <= 4)
	after := p.play(200, sound)
	is.True(after["a"] > 50)
}

// TestFalseEjections counts ejections of sound replicas of which one in 30 runs loses its
// connection: none stays away for longer than the first pause.
func TestFalseEjections(t *testing.T) {
	is := is.New(t)
	var r Ranker
	n, ejected := 0, 0
	now := start
	for range 3000 {
		now = now.Add(10 * time.Millisecond)
		r.Begin("a", now)
		n++
		o := Served
		if n%30 == 0 {
			o = Unreachable
		}
		end := now.Add(5 * time.Millisecond)
		r.End("a", work, Result{Started: now, Duration: 5 * time.Millisecond, Outcome: o}, end)
		if r.Estimate("a", 2, work, end).Dead {
			ejected++
		}
	}
	is.Equal(ejected, 0) // a single sign never counts as death
}

func TestDeathNeedsSilenceToAll(t *testing.T) {
	is := is.New(t)
	var r Ranker
	r.Begin("a", start)
	r.Begin("a", start.Add(time.Millisecond))
	r.End("a", work, Result{Started: start.Add(time.Millisecond), Duration: 5 * time.Millisecond, Outcome: Served}, start.Add(6*time.Millisecond))
	// The first run gets no reply, but the replica lives.
	is.Equal(r.End("a", work, Result{Started: start, Duration: 300 * time.Millisecond, Outcome: NoReply}, start.Add(300*time.Millisecond)), NoChange)
	at := start.Add(time.Second)
	r.Begin("a", at)
	is.Equal(r.End("a", work, Result{Started: at, Outcome: NoReply}, at.Add(300*time.Millisecond)), Ejection)
	is.True(r.Estimate("a", 2, work, at.Add(310*time.Millisecond)).Ejected)
	r.Begin("a", at.Add(time.Second))
	is.Equal(r.End("a", work, Result{Started: at.Add(time.Second), Duration: 1, Outcome: Served}, at.Add(time.Second+1)), Readmission)
	is.True(!r.Estimate("a", 2, work, at.Add(2*time.Second)).Suspect)
}

func TestOneTrialAtATime(t *testing.T) {
	is := is.New(t)
	var r Ranker
	now := start
	for range 3 {
		r.Begin("a", now)
		r.End("a", work, Result{Started: now, Outcome: Unreachable}, now)
		now = now.Add(2 * time.Second)
	}
	is.True(!r.Estimate("a", 2, work, now).Ejected) // its time is over: one may try
	r.Begin("a", now)
	e := r.Estimate("a", 2, work, now)
	is.True(e.Ejected && e.Dead && e.Running == 1)
}

func TestForget(t *testing.T) {
	is := is.New(t)
	var r Ranker
	for i := range 100 {
		id := fmt.Sprint(i)
		r.Begin(id, start)
		r.End(id, work, Result{Started: start, Duration: time.Millisecond, Outcome: Served}, start)
	}
	r.Begin("running", start)
	r.Prune(start.Add(time.Second))
	n := 0
	for i := range r.shards {
		n += len(r.shards[i].replicas)
	}
	is.Equal(n, 1)
}
