package main

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/ebonylock/ebonylock/modules/rationer"
	"github.com/ebonylock/ebonylock/services/runner"
)

func serveCommand() *cli.Command {
	return &cli.Command{
		Name:   "serve",
		Usage:  "serve callers until SIGTERM or SIGINT; a second signal ends the process at once",
		Flags:  []cli.Flag{settingsFlag()},
		Action: serve,
	}
}

func serve(ctx context.Context, c *cli.Command) error {
	s, err := readSettings(c.String("settings"))
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(rationer.Divide(int64(s.VM.MemoryMB) * rationer.MiB).Heap)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	signals := make(chan os.Signal, 2)
	// From here on a signal must not kill the process, as callers connect as soon as New has bound its
	// addresses.
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	d, err := runner.New(s, s.Log.Logger(os.Stderr))
	if err != nil {
		return err
	}
	go func() {
		<-signals
		d.Stop()
		<-signals
		cancel()
	}()
	return d.Run(ctx)
}
