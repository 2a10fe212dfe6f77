// Command bench measures ratios against baselines in the same run and fails when a
// target is missed.
package main

import (
	"cmp"
	"flag"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/ebonylock/ebonylock/services/scatterer"
	"github.com/ebonylock/ebonylock/tests/standin"
	"github.com/ebonylock/ebonylock/tools/emulator"
)

const (
	warm     = 2 * time.Second
	duration = 8 * time.Second
	deadline = 10 * time.Second
	work     = 4 * time.Millisecond
	slots    = 2
	replicas = 3
	fanOut   = 10
)

// scenario is one measured run.
type scenario struct {
	name   string
	load   float64
	limits emulator.LimitMode
	search scatterer.Config
	// ignoreCancel makes servers go on after a cancel.
	ignoreCancel bool
	slow         float64
	// deadline is that of each query; 0 stands for the default of the benchmark.
	deadline time.Duration
}

func (s scenario) start() (*emulator.Emulator, error) {
	return emulator.Start(emulator.Config{
		VMs:         7,
		DataCentres: 3,
		Services:    fanOut,
		Replicas:    replicas,
		OneWayDelay: 1500 * time.Microsecond,
		Limits:      s.limits,
		Search:      s.search,
		MinCoverage: 1,
		Backend: standin.BackendConfig{
			Slots:        slots,
			MaxConns:     25,
			Work:         work,
			SlowShare:    s.slow,
			SlowFactor:   20,
			IgnoreCancel: s.ignoreCancel,
			Queue:        s.limits != emulator.ByOwner,
		},
	})
}

func (s scenario) run() (emulator.Result, error) {
	e, err := s.start()
	if err != nil {
		return emulator.Result{}, err
	}
	defer e.Close()
	r := e.Run(emulator.Load{Rate: s.load * capacity, Warmup: warm, Duration: duration, Deadline: cmp.Or(s.deadline, deadline), Seed: 1})
	fmt.Printf("%-44s p50 %7.1f ms  p99 %7.1f ms  extra %5.2f %%  moves %5.2f %%  whole %d partial %d refused %d  most at once %d  overruns %d\n",
		s.name, ms(r.Quantile(0.5)), ms(r.Quantile(0.99)), 100*r.ExtraRatio(), 100*float64(r.Moves)/float64(max(r.FirstTries, 1)), r.Complete, r.Partial, r.Refused, r.MaxRunning, r.Overruns)
	for name, n := range e.Metrics("ebonylock_hedges_declined") {
		fmt.Printf("    %s: %.0f\n", name, n)
	}
	return r, nil
}

// capacity is the number of queries a second that the servers answer at most.
var capacity = 1e9

// clients is the number of clients that keep all servers busy without overload.
const clients = 48

// calibrate finds the capacity without hedging. The time that a slot is held for the way
// between owner and server counts as work.
func calibrate() error {
	e, err := scenario{search: scatterer.Config{NoMoves: true}, slow: 0.01}.start()
	if err != nil {
		return err
	}
	defer e.Close()
	capacity = e.Capacity(clients, warm, duration)
	fmt.Printf("capacity: %.0f whole answers/s, %.0f sub-queries/s\n", capacity, capacity*fanOut)
	return nil
}

func ms(d time.Duration) float64 {
	return float64(d.Microseconds()) / 1000
}

func main() {
	if err := bench(); err != nil {
		fmt.Fprintln(os.Stderr, "bench:", err)
		os.Exit(1)
	}
}

var (
	off   = scatterer.Config{NoMoves: true}
	two   = scatterer.Config{ExtraRatio: 0.02, MaxHedges: 2}
	four  = scatterer.Config{ExtraRatio: 0.04, MaxHedges: 2}
	open  = scatterer.Config{ExtraRatio: 0.04, MaxHedges: 2, NoAdmission: true}
	fixed = scatterer.Config{ExtraRatio: 0.04, MaxHedges: 2, NoMoves: true}
)

var scenarios = []scenario{
	{name: "70 %, no hedging", load: 0.7, search: off, slow: 0.01},
	{name: "70 %, moves and hedges, 4 %", load: 0.7, search: four, slow: 0.01},
	{name: "70 %, moves and hedges, 2 %", load: 0.7, search: two, slow: 0.01},
	{name: "70 %, hedges only, 4 %", load: 0.7, search: fixed, slow: 0.01},
	{name: "70 %, equal split", load: 0.7, search: off, slow: 0.01, limits: emulator.EqualSplit},
	{name: "70 %, no coordination", load: 0.7, search: off, slow: 0.01, limits: emulator.Uncoordinated},
	{name: "85 %, no hedging", load: 0.85, search: off, slow: 0.01},
	{name: "85 %, moves and hedges, 4 %", load: 0.85, search: four, slow: 0.01},
	{name: "85 %, hedges only, 4 %", load: 0.85, search: fixed, slow: 0.01},
	{name: "70 %, no hedging, cancel ignored", load: 0.7, search: off, slow: 0.01, ignoreCancel: true},
	{name: "70 %, moves and hedges, 4 %, cancel ignored", load: 0.7, search: four, slow: 0.01, ignoreCancel: true},
}

// overloads are measured against the best goodput of the run.
var overloads = []scenario{
	{name: "100 %, deadline 300 ms", load: 1, search: four, deadline: 300 * time.Millisecond},
	{name: "200 %, deadline 300 ms, no admission", load: 2, search: open, deadline: 300 * time.Millisecond},
	{name: "200 %, deadline 300 ms", load: 2, search: four, deadline: 300 * time.Millisecond},
	{name: "400 %, deadline 300 ms", load: 4, search: four, deadline: 300 * time.Millisecond},
}

// goodputTarget is the least share of the peak goodput under overload.
const goodputTarget = 0.9

// overload returns the number of missed targets.
func overload(only string) (int, error) {
	peak, missed := 0, 0
	for _, s := range overloads {
		if !strings.Contains(s.name, only) {
			continue
		}
		r, err := s.run()
		if err != nil {
			return 0, err
		}
		peak = max(peak, r.Complete)
		if s.load <= 1 || s.search.NoAdmission {
			fmt.Printf("       %s: %.2f of the peak goodput\n", s.name, float64(r.Complete)/float64(peak))
			continue
		}
		verdict := "ok"
		if float64(r.Complete) < goodputTarget*float64(peak) {
			verdict = "MISSED"
			missed++
		}
		fmt.Printf("%-6s %s: %.2f of the peak goodput (target %.2f)\n", verdict, s.name, float64(r.Complete)/float64(peak), goodputTarget)
	}
	return missed, nil
}

// targets bound the 99th percentile against the baseline, and the extra requests.
var targets = []target{
	{"70 %, moves and hedges, 4 %", "70 %, no hedging", 0.25, 0.04},
	{"70 %, moves and hedges, 2 %", "70 %, no hedging", 0.4, 0.02},
	{"85 %, moves and hedges, 4 %", "85 %, no hedging", 1, 0.04},
	{"70 %, moves and hedges, 4 %, cancel ignored", "70 %, no hedging, cancel ignored", 1, 0.04},
}

type target struct {
	name, baseline string
	ratio, extra   float64
}

func bench() error {
	only := flag.String("only", "", "run the scenarios whose name contains `TEXT`")
	flag.Parse()
	if err := calibrate(); err != nil {
		return err
	}
	results := make(map[string]emulator.Result)
	for _, s := range scenarios {
		if !strings.Contains(s.name, *only) {
			continue
		}
		r, err := s.run()
		if err != nil {
			return err
		}
		results[s.name] = r
		if s.limits == emulator.ByOwner && r.Overruns > 0 {
			return fmt.Errorf("%s: %d runs above the slots", s.name, r.Overruns)
		}
	}
	missed, err := overload(*only)
	if err != nil {
		return err
	}
	missed += compare(results)
	if missed > 0 {
		return fmt.Errorf("%d targets missed", missed)
	}
	return nil
}

// compare returns the number of missed targets.
func compare(results map[string]emulator.Result) int {
	missed := 0
	for _, t := range targets {
		r, ok := results[t.name]
		base, measured := results[t.baseline]
		if !ok || !measured {
			continue
		}
		ratio := ms(r.Quantile(0.99)) / ms(base.Quantile(0.99))
		verdict := "ok"
		if ratio > t.ratio || r.ExtraRatio() > t.extra {
			verdict = "MISSED"
			missed++
		}
		fmt.Printf("%-6s %s: p99 %.2f of the baseline (target %.2f), extra %.2f %% (target %.0f %%)\n", verdict, t.name, ratio, t.ratio, 100*r.ExtraRatio(), 100*t.extra)
	}
	return missed
}
