package reporter

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// TestManyVMsFewRuns covers a partly failing (grey) and a slow replica in a large fleet. Each VM sees
// two runs of each replica in a second. Together they must have a verdict on both within two seconds,
// and none on the healthy replicas.
func TestManyVMsFewRuns(t *testing.T) {
	is := is.New(t)
	const (
		healthy = uint64(iota)
		grey
		slow
		flaky
		vms = 60
	)
	draw := rand.New(rand.NewPCG(1, 2))
	var hub Aggregate
	books := make([]Aggregate, vms)
	now := start
	for range 4 {
		for i := range books {
			at := now.Add(time.Duration(i) * time.Millisecond)
			books[i].Record(healthy, true, 0.5+draw.Float64(), at)
			books[i].Record(grey, draw.Float64() > 0.45, 1, at)
			books[i].Record(slow, true, 5, at)
			books[i].Record(flaky, draw.Float64() > 0.02, 1, at)
		}
		now = now.Add(500 * time.Millisecond)
		for i := range books {
			for _, tally := range books[i].Drain(now) {
				hub.Add(tally, now)
			}
		}
	}
	got := make(map[uint64]Verdict)
	for _, v := range hub.Verdicts(now) {
		got[v.Replica] = v
	}
	is.True(got[grey].FailureRate > 0.4)
	is.True(got[slow].LatencyRatio > 4)
	is.Equal(len(got), 2) // no verdict on the healthy replica, nor on the one that loses a run in fifty
}

// TestGoodRunsEndAVerdict checks that a verdict ends after good runs, and when it expires.
func TestGoodRunsEndAVerdict(t *testing.T) {
	is := is.New(t)
	var hub Aggregate
	changes := ""
	k := VerdictCache{OnChange: func(v Verdict, ended bool) { changes += fmt.Sprintln(v.Replica, ended) }}
	hub.Add(Tally{Replica: 1, Failed: 10}, start)
	k.Update(hub.Verdicts(start), start)
	k.Update(hub.Verdicts(start), start)
	is.Equal(changes, "1 false\n")
	is.Equal(k.VerdictFor(1, start).FailureRate, 1.0)
	is.Equal(k.VerdictFor(2, start).FailureRate, 0.0)
	is.Equal(k.VerdictFor(1, start.Add(time.Hour)).FailureRate, 0.0)
	now := start
	for range 16 {
		now = now.Add(250 * time.Millisecond)
		hub.Record(1, true, 1, now)
	}
	is.Equal(len(hub.Verdicts(now)), 0)
	k.Update(nil, now)
	is.Equal(changes, "1 false\n1 true\n")
}

// TestPrune checks that the tallies of replicas without recent runs are dropped.
func TestPrune(t *testing.T) {
	is := is.New(t)
	var b Aggregate
	for i := range uint64(500) {
		b.Add(Tally{Replica: i, Failed: 10}, start)
	}
	is.Equal(len(b.Verdicts(start)), MaxEntries)
	is.Equal(len(b.Verdicts(start.Add(time.Minute))), 0)
	is.Equal(len(b.entries), 0)
}

// TestCodec checks that encoding round-trips, and that truncated or too long input is malformed.
func TestCodec(t *testing.T) {
	is := is.New(t)
	tallies := []Tally{{Replica: 1 << 60, Served: 3.5, Failed: 1, RelativeTime: 7.25}, {Replica: 2, Failed: 4}}
	b := AppendTallies(nil, tallies)
	got, err := DecodeTallies(b)
	is.NoErr(err)
	is.Equal(got, tallies)
	_, err = DecodeTallies(b[:len(b)-1])
	is.True(errors.Is(err, ErrMalformed))
	verdicts := []Verdict{{Replica: 9, FailureRate: 0.5, LatencyRatio: 1}, {Replica: 7, FailureRate: 0, LatencyRatio: 4.25}}
	v, err := DecodeVerdicts(AppendVerdicts(nil, verdicts))
	is.NoErr(err)
	is.Equal(v, verdicts)
	_, err = DecodeVerdicts(AppendVerdicts(nil, make([]Verdict, MaxEntries+1)))
	is.True(errors.Is(err, ErrMalformed))
}

func FuzzDecode(f *testing.F) {
	f.Add(AppendTallies(nil, []Tally{{Replica: 1, Served: 3, Failed: 1, RelativeTime: 7}}))
	f.Fuzz(func(t *testing.T, b []byte) {
		tallies, err := DecodeTallies(b)
		var book Aggregate
		for _, tally := range tallies {
			book.Add(tally, start)
		}
		for _, v := range book.Verdicts(start) {
			if err == nil && (v.FailureRate < 0 || v.FailureRate > 1 || v.LatencyRatio < 1) {
				t.Fatalf("verdict %+v", v)
			}
		}
		_, _ = DecodeVerdicts(b)
	})
}
