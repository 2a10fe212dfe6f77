//go:build review

package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	held = iota
	broken
	cannotRun
)

// cases holds the cases by name. trouble is false if the disruption is to be left out.
var cases = make(map[string]func(r *record, trouble bool) (int, error))

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil || (os.Args[3] != "with" && os.Args[3] != "without") {
		fmt.Fprintln(os.Stderr, "usage: casestand CASE RECORD-FILE with|without, in the folder of the repository")
		os.Exit(cannotRun)
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(cannotRun)
	}
	trouble := os.Args[3] == "with"
	r.say("case %s, %s the disruption", os.Args[1], os.Args[3])
	code, err := cases[os.Args[1]](r, trouble)
	if err != nil {
		r.say("the case could not run: %v", err)
		code = cannotRun
	}
	os.Exit(code)
}
