//go:build review

// Command casestand3 runs the cases of the third review: it starts stand-ins of the platform and of its clients, and
// the system's programs as separate processes.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// maxCase is the longest time that a case may take.
const maxCase = 115 * time.Second

// errBroken is returned by a case in which the rule was broken.
var errBroken = errors.New("rule broken")

// cases holds the cases by name. trouble is false for a run without the disruption.
var cases = map[string]func(ctx context.Context, rec *record, trouble bool) error{
	"crashing-request":    crashingRequest,
	"restored-config":     restoredConfig,
	"spliced-status":      splicedStatus,
	"spliced-refusal":     splicedRefusal,
	"stray-leaving":       strayLeaving,
	"restored-evacuation": restoredEvacuation,
}

func main() {
	os.Exit(runCase())
}

func runCase() int {
	if len(os.Args) > 1 && os.Args[1] == "replica" {
		return serveReplica(os.Args[2:])
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: casestand3 CASE RECORD")
		return exitNotRun
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, maxCase)
	defer cancel()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.notef("case %s, disruption: %t", os.Args[1], trouble)
	err = cases[os.Args[1]](ctx, rec, trouble)
	if err == nil {
		err = ctx.Err()
	}
	switch {
	case err == nil:
		rec.notef("the rule held")
		return exitHeld
	case errors.Is(err, errBroken):
		rec.notef("%v", err)
		return exitBroken
	}
	rec.notef("the case could not run: %v", err)
	return exitNotRun
}

// pause waits for d or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
