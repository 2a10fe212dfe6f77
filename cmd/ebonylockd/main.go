// Command ebonylockd is the daemon of an entry VM.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
)

// version is set at build time by a linker flag.
var version = "dev"

// Exit codes.
const (
	exitFailure  = 1
	exitSettings = 2
)

func main() {
	app := &cli.Command{
		Name:                  "ebonylockd",
		Usage:                 "run an entry VM of the query tier",
		Version:               version,
		EnableShellCompletion: true,
		Commands:              []*cli.Command{serveCommand(), servePlatformCommand(), checkSettingsCommand()},
	}
	// The runtime would end the process when the reader of its log has left.
	signal.Ignore(syscall.SIGPIPE)
	if err := app.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "ebonylockd:", err)
		os.Exit(exitCode(err))
	}
}
