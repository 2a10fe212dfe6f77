// Command slopes measures the cost of a unit of work in each role of a VM, and how this cost grows
// with the size of the fleet or the fan-out. docs/CAPACITY.md has the results.
package main

import (
	"flag"
	"fmt"
	"os"
	"runtime"
	"runtime/pprof"
	"strings"
	"syscall"
	"time"
)

// slope is a named measurement.
type slope struct {
	name string
	run  func() error
}

var slopes = []slope{
	{"membership", measureMembership},
	{"view", measureView},
	{"entry", measureEntry},
	{"owner", measureOwner},
	{"link", measureLink},
	{"backend", measureBackend},
	{"state", measureState},
}

func main() {
	only := flag.String("only", "", "measure the slopes whose name contains `TEXT`")
	profile := flag.String("cpuprofile", "", "write a processor profile to `FILE`")
	flag.Parse()
	if *profile != "" {
		f, err := os.Create(*profile)
		if err != nil || pprof.StartCPUProfile(f) != nil {
			fmt.Fprintln(os.Stderr, "slopes: cannot start the processor profile")
			os.Exit(1)
		}
		defer pprof.StopCPUProfile()
	}
	for _, s := range slopes {
		if !strings.Contains(s.name, *only) {
			continue
		}
		fmt.Println("##", s.name)
		if err := s.run(); err != nil {
			fmt.Fprintln(os.Stderr, "slopes:", s.name, err)
			os.Exit(1)
		}
	}
}

// cpu returns the processor time that this process has used, or 0 if it is not available.
func cpu() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// heap returns the memory of heap and stacks in use after garbage collection, in bytes.
func heap() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// perUnit runs f repeatedly for about a second. It prints the processor time per unit, where one
// run of f has the given number of units.
func perUnit(label string, units int, f func()) {
	f()
	const duration = time.Second
	start, used := time.Now(), cpu()
	n := 0
	for time.Since(start) < duration {
		f()
		n++
	}
	per := (cpu() - used) / time.Duration(n*units)
	fmt.Printf("%-40s %10.2f us of CPU each\n", label, float64(per.Nanoseconds())/1000)
}
