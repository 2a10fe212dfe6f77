package main

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/samber/oops"
	"github.com/urfave/cli/v3"

	"github.com/ebonylock/ebonylock/modules/loader"
	"github.com/ebonylock/ebonylock/services/launcher"
)

// memoryLimit is the soft limit of the runtime, in bytes. It is below the smallest VM's
// memory, so that a burst is collected before the VM kills the process.
const memoryLimit = 120 << 20

func servePlatformCommand() *cli.Command {
	return &cli.Command{
		Name:   "serve-platform",
		Usage:  "serve callers on the users' platform until SIGTERM; SIGHUP reads the settings again",
		Flags:  []cli.Flag{settingsFlag()},
		Action: servePlatform,
	}
}

func servePlatform(ctx context.Context, c *cli.Command) error {
	file := c.String("settings")
	data, err := os.ReadFile(file)
	if err != nil {
		return oops.Wrapf(err, "read settings")
	}
	site, err := loader.LoadSite(file, data)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(memoryLimit)
	d, err := launcher.New(site, os.Stdout)
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		for s := range signals {
			if s != syscall.SIGHUP {
				d.Stop()
			}
		}
	}()
	return d.Run(ctx)
}
