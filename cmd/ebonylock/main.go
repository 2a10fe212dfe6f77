// Command ebonylock is the operators' command line.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"
)

// version is set by the build.
var version = "dev"

// Exit codes.
const (
	exitFailure    = 1
	exitIncomplete = 3
	exitNotRun     = 4
	exitUnknown    = 5
	exitConflict   = 6
)

// errExit carries an exit code; the message was printed already.
type errExit int

// Error returns the code in words.
func (e errExit) Error() string {
	return fmt.Sprintf("exit code %d", int(e))
}

func main() {
	app := &cli.Command{
		Name:                  "ebonylock",
		Usage:                 "ask and operate a fleet of entry VMs",
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
	var code errExit
	switch {
	case err == nil:
	case errors.As(err, &code):
		os.Exit(int(code))
	default:
		fmt.Fprintln(os.Stderr, "ebonylock:", err)
		os.Exit(exitFailure)
	}
}
