package emulator

import (
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/prometheus/client_golang/prometheus"
)

// Load is an open-loop load with exponentially distributed gaps between the queries.
type Load struct {
	// Rate is the number of queries per second.
	Rate float64
	// Warmup is the time of load before the measurement, Duration that of the measurement.
	Warmup, Duration time.Duration
	// Deadline is the time allowed for each answer.
	Deadline time.Duration
	Seed     uint64
}

// Result holds the measurements of a load.
type Result struct {
	// Latency is in microseconds, from the scheduled arrival of the query to its answer.
	Latency *hdrhistogram.Histogram
	// Complete, Partial and Refused count the answers.
	Complete, Partial, Refused int
	// Coverage is the mean share of covered partitions.
	Coverage float64
	// FirstTries, Hedges and Retries count the planned backend requests, Moves the sub-queries moved
	// from one queue to another.
	FirstTries, Hedges, Retries, Moves int
	// Started, Overruns and MaxRunning are counted by the servers. MaxRunning includes the warm-up.
	Started, Overruns, MaxRunning int
}

// ExtraRatio returns the number of hedges and retries per first try.
func (r Result) ExtraRatio() float64 {
	return float64(r.Hedges+r.Retries) / float64(max(r.FirstTries, 1))
}

// Quantile returns the latency at quantile q, from 0 to 1.
func (r Result) Quantile(q float64) time.Duration {
	return time.Duration(r.Latency.ValueAtQuantile(q*100)) * time.Microsecond
}

// maxLatency is the maximum value of the histogram, in microseconds.
const maxLatency = 60_000_000

// Capacity returns the number of complete answers per second that n clients receive. Each client
// sends its next query after the answer to the previous one. Answers during the warm-up are not
// counted; d is the time after it.
func (e *Emulator) Capacity(n int, warmup, d time.Duration) float64 {
	var complete atomic.Int64
	var wg sync.WaitGroup
	start := time.Now()
	for i := range n {
		wg.Go(func() {
			for time.Since(start) < warmup+d {
				a, err := e.Search(i, []byte(`{"q":"x"}`), maxLatency*time.Microsecond)
				if err == nil && a.Complete() && time.Since(start) > warmup {
					complete.Add(1)
				}
			}
		})
	}
	wg.Wait()
	return float64(complete.Load()) / d.Seconds()
}

// Run sends the load to the VMs in turn and measures the answers.
func (e *Emulator) Run(l Load) Result {
	res := Result{Latency: hdrhistogram.New(1, maxLatency, 3)}
	rnd := rand.New(rand.NewPCG(l.Seed, 2))
	var mu sync.Mutex
	var wg sync.WaitGroup
	start := time.Now()
	next := start
	before := e.Totals()
	counting := false
	for n := 0; next.Sub(start) < l.Warmup+l.Duration; n++ {
		next = next.Add(time.Duration(rnd.ExpFloat64() / l.Rate * float64(time.Second)))
		time.Sleep(time.Until(next))
		if !counting && next.Sub(start) >= l.Warmup {
			counting = true
			before = e.Totals()
		}
		counted, planned := counting, next
		wg.Go(func() {
			a, err := e.Search(n, []byte(`{"q":"x"}`), l.Deadline)
			took := time.Since(planned)
			if !counted {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			_ = res.Latency.RecordValue(max(took.Microseconds(), 1))
			res.Hedges += a.Hedges
			res.Retries += a.Retries
			res.Moves += a.Moves
			res.FirstTries += e.cfg.Services
			res.Coverage += float64(len(a.Covered)) / float64(max(len(a.Covered)+len(a.Uncovered), 1))
			switch {
			case err != nil:
				res.Refused++
			case a.Complete():
				res.Complete++
			default:
				res.Partial++
			}
		})
	}
	wg.Wait()
	after := e.Totals()
	res.Coverage /= float64(max(res.Complete+res.Partial+res.Refused, 1))
	res.Started = after.Started - before.Started
	res.Overruns = after.Overruns - before.Overruns
	res.MaxRunning = after.MostRunning
	return res
}

// Metrics adds up the counters of all VMs. It returns those whose name has the prefix, keyed by
// name and label values.
func (e *Emulator) Metrics(prefix string) map[string]float64 {
	out := make(map[string]float64)
	for _, v := range e.vms {
		reg := prometheus.NewRegistry()
		v.scatter.Register(reg)
		families, _ := reg.Gather()
		for _, f := range families {
			if !strings.HasPrefix(f.GetName(), prefix) {
				continue
			}
			for _, m := range f.GetMetric() {
				name := f.GetName()
				for _, l := range m.GetLabel() {
					name += " " + l.GetValue()
				}
				out[name] += m.GetCounter().GetValue()
			}
		}
	}
	return out
}
