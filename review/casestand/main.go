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

// helpers holds the main functions of the processes that a case starts besides the VMs, by name.
var helpers = make(map[string]func(arg string) error)

func main() {
	if len(os.Args) == 3 && helpers[os.Args[1]] != nil {
		if err := helpers[os.Args[1]](os.Args[2]); err != nil {
			fmt.Fprintln(os.Stderr, err)
		}
		os.Exit(cannotRun)
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: casestand CASE RECORD-FILE, in the folder of the repository")
		os.Exit(cannotRun)
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(cannotRun)
	}
	code, err := cases[os.Args[1]](r, os.Getenv("TROUBLE") != "0")
	if err != nil {
		r.say("the case could not run: %v", err)
		code = cannotRun
	}
	os.Exit(code)
}
