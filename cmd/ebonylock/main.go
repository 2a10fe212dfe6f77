// Command ebonylock is the command-line client for operators.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"
)

// version is set at build time by a linker flag.
var version = "dev"

// Exit codes.
const (
	exitFailure    = 1
	exitIncomplete = 3
	exitNotRun     = 4
	exitUnknown    = 5
	exitConflict   = 6
)

// exitError makes main exit with the given code. Its message has been printed before.
type exitError int

// Error returns a text with the exit code.
func (e exitError) Error() string {
	return fmt.Sprintf("exit code %d", int(e))
}

func main() {
	app := &cli.Command{
		Name:                  "ebonylock",
		Usage:                 "query and operate a fleet of entry VMs",
		Version:               version,
		EnableShellCompletion: true,
		Commands: []*cli.Command{
			statusCommand(),
			queryCommand(),
			requestCommand(),
			timelineCommand(),
			explainCommand(),
			intentCommand(),
			vmCommand(),
			keysCommand(),
		},
	}
	err := app.Run(context.Background(), os.Args)
	var code exitError
	switch {
	case err == nil:
	case errors.As(err, &code):
		os.Exit(int(code))
	default:
		fmt.Fprintln(os.Stderr, "ebonylock:", err)
		os.Exit(exitFailure)
	}
}
