// Command bench compares scenarios with the baselines measured in the same run. It fails if a
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
	warmup   = 2 * time.Second
	duration = 8 * time.Second
	deadline = 10 * time.Second
	work     = 4 * time.Millisecond
	slots    = 2
	replicas = 3
	fanOut   = 10
)

// scenario is the configuration of a measured run. Its load is given as a share of the capacity.
type scenario struct {
	name   string
	load   float64
	limits emulator.LimitMode
	search scatterer.Config
	// ignoreCancel makes the servers continue a run after its cancellation.
	ignoreCancel bool
	slowShare    float64
	// deadline is the deadline of each query, 0 for the default of the benchmark.
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
			SlowShare:    s.slowShare,
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
	r := e.Run(emulator.Load{Rate: s.load * capacity, Warmup: warmup, Duration: duration, Deadline: cmp.Or(s.deadline, deadline), Seed: 1})
	fmt.Printf("%-44s p50 %7.1f ms  p99 %7.1f ms  extra %5.2f %%  moves %5.2f %%  whole %d partial %d refused %d  most at once %d  overruns %d\n",
		s.name, milliseconds(r.Quantile(0.5)), milliseconds(r.Quantile(0.99)), 100*r.ExtraRatio(), 100*float64(r.Moves)/float64(max(r.FirstTries, 1)), r.Complete, r.Partial, r.Refused, r.MaxRunning, r.Overruns)
	for name, n := range e.Metrics("ebonylock_hedges_declined") {
		fmt.Printf("    %s: %.0f\n", name, n)
	}
	return r, nil
}

// capacity is the maximum number of queries per second that the servers answer, as found by
// calibrate.
var capacity = 1e9

// clients is a number of clients that keeps all servers busy without overloading them.
const clients = 48

// calibrate measures the capacity without hedging. The time for which a slot is held during the
// transfers between owner and server counts as work.
func calibrate() error {
	e, err := scenario{search: scatterer.Config{NoMoves: true}, slowShare: 0.01}.start()
	if err != nil {
		return err
	}
	defer e.Close()
	capacity = e.Capacity(clients, warmup, duration)
	fmt.Printf("capacity: %.0f whole answers/s, %.0f sub-queries/s\n", capacity, capacity*fanOut)
	return nil
}

func milliseconds(d time.Duration) float64 {
	return float64(d.Microseconds()) / 1000
}

func main() {
	if err := bench(); err != nil {
		fmt.Fprintln(os.Stderr, "bench:", err)
		os.Exit(1)
	}
}

var (
	noHedging     = scatterer.Config{NoMoves: true}
	extra2Percent = scatterer.Config{ExtraRatio: 0.02, MaxHedges: 2}
	extra4Percent = scatterer.Config{ExtraRatio: 0.04, MaxHedges: 2}
	noAdmission   = scatterer.Config{ExtraRatio: 0.04, MaxHedges: 2, NoAdmission: true}
	hedgesOnly    = scatterer.Config{ExtraRatio: 0.04, MaxHedges: 2, NoMoves: true}
)

var scenarios = []scenario{
	{name: "70 %, no hedging", load: 0.7, search: noHedging, slowShare: 0.01},
	{name: "70 %, moves and hedges, 4 %", load: 0.7, search: extra4Percent, slowShare: 0.01},
	{name: "70 %, moves and hedges, 2 %", load: 0.7, search: extra2Percent, slowShare: 0.01},
	{name: "70 %, hedges only, 4 %", load: 0.7, search: hedgesOnly, slowShare: 0.01},
	{name: "70 %, equal split", load: 0.7, search: noHedging, slowShare: 0.01, limits: emulator.EqualSplit},
	{name: "70 %, no coordination", load: 0.7, search: noHedging, slowShare: 0.01, limits: emulator.Uncoordinated},
	{name: "85 %, no hedging", load: 0.85, search: noHedging, slowShare: 0.01},
	{name: "85 %, moves and hedges, 4 %", load: 0.85, search: extra4Percent, slowShare: 0.01},
	{name: "85 %, hedges only, 4 %", load: 0.85, search: hedgesOnly, slowShare: 0.01},
	{name: "70 %, no hedging, cancel ignored", load: 0.7, search: noHedging, slowShare: 0.01, ignoreCancel: true},
	{name: "70 %, moves and hedges, 4 %, cancel ignored", load: 0.7, search: extra4Percent, slowShare: 0.01, ignoreCancel: true},
}

// overloadScenarios are compared with the peak goodput of the run.
var overloadScenarios = []scenario{
	{name: "100 %, deadline 300 ms", load: 1, search: extra4Percent, deadline: 300 * time.Millisecond},
	{name: "200 %, deadline 300 ms, no admission", load: 2, search: noAdmission, deadline: 300 * time.Millisecond},
	{name: "200 %, deadline 300 ms", load: 2, search: extra4Percent, deadline: 300 * time.Millisecond},
	{name: "400 %, deadline 300 ms", load: 4, search: extra4Percent, deadline: 300 * time.Millisecond},
}

// goodputTarget is the minimum goodput under overload, as a share of the peak goodput.
const goodputTarget = 0.9

// runOverloads runs the overload scenarios whose name contains only, and returns the number of
// missed targets.
func runOverloads(only string) (int, error) {
	peak, missed := 0, 0
	for _, s := range overloadScenarios {
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

// targets limit the 99th percentile of the latency, relative to the baseline, and the share of
// extra backend requests.
var targets = []target{
	{"70 %, moves and hedges, 4 %", "70 %, no hedging", 0.25, 0.04},
	{"70 %, moves and hedges, 2 %", "70 %, no hedging", 0.4, 0.02},
	{"85 %, moves and hedges, 4 %", "85 %, no hedging", 1, 0.04},
	{"70 %, moves and hedges, 4 %, cancel ignored", "70 %, no hedging, cancel ignored", 1, 0.04},
}

// target limits a scenario: ratio is the maximum ratio of its 99th percentile to that of the
// baseline, extra the maximum share of extra backend requests.
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
	missed, err := runOverloads(*only)
	if err != nil {
		return err
	}
	missed += checkTargets(results)
	if missed > 0 {
		return fmt.Errorf("%d targets missed", missed)
	}
	return nil
}

// checkTargets checks the results against the targets, and returns the number of missed targets.
func checkTargets(results map[string]emulator.Result) int {
	missed := 0
	for _, t := range targets {
		r, ok := results[t.name]
		base, measured := results[t.baseline]
		if !ok || !measured {
			continue
		}
		ratio := milliseconds(r.Quantile(0.99)) / milliseconds(base.Quantile(0.99))
		verdict := "ok"
		if ratio > t.ratio || r.ExtraRatio() > t.extra {
			verdict = "MISSED"
			missed++
		}
		fmt.Printf("%-6s %s: p99 %.2f of the baseline (target %.2f), extra %.2f %% (target %.0f %%)\n", verdict, t.name, ratio, t.ratio, 100*r.ExtraRatio(), 100*t.extra)
	}
	return missed
}
