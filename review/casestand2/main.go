//go:build review

// Command casestand2 runs the scripted cases of the second review: it starts VMs as separate processes on stand-ins of
// the users' platform, disturbs them, and checks one rule from what callers and replicas have seen.
package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// errBroken is returned by a case in which the rule was broken.
var errBroken = errors.New("rule broken")

// caseFunc plays a case. trouble is false for the run without the disruption.
type caseFunc func(r *record, trouble bool) error

var cases = map[string]caseFunc{
	"failback":  playFailback,
	"reborn":    playReborn,
	"late-beat": playLateBeat,
	"poison":    playPoison,
	"silent":    playSilent,
}

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: casestand2 CASE RECORD-FILE")
		return exitFailed
	}
	trouble := os.Getenv("TROUBLE") != "0"
	endOnSignal()
	r := &record{began: time.Now()}
	err := cases[args[0]](r, trouble)
	code := exitHeld
	switch {
	case errors.Is(err, errBroken):
		code = exitBroken
		r.addf("result: %v", err)
	case err != nil:
		code = exitFailed
		r.addf("result: the case could not run: %v", err)
	default:
		r.addf("result: rule held")
	}
	if err := r.write(args[1]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	fmt.Println(r.last())
	return code
}

// record collects what was sent, answered and run.
type record struct {
	began time.Time

	mu    sync.Mutex
	lines []string
}

func (r *record) addf(format string, args ...any) {
	r.addAt(time.Now(), format, args...)
}

func (r *record) addAt(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, fmt.Sprintf("%8.3f ", at.Sub(r.began).Seconds())+fmt.Sprintf(format, args...))
}

func (r *record) last() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lines[len(r.lines)-1]
}

func (r *record) write(file string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return os.WriteFile(filepath.Clean(file), []byte(strings.Join(r.lines, "\n")+"\n"), 0o600)
}
