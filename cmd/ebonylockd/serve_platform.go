package main

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

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

// gcPercent lets the heap, which is small beside the fixed cost of a collection, grow to four
// times what is in use.
const gcPercent = 300

// settingsInterval is the time between two looks whether the settings file has changed, as it
// may do so without a signal.
const settingsInterval = 2 * time.Second

func servePlatform(ctx context.Context, c *cli.Command) error {
	file := c.String("settings")
	site, data, err := readSite(file)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(memoryLimit)
	debug.SetGCPercent(gcPercent)
	d, err := launcher.New(site, os.Stdout)
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go watchSettings(file, data, d, signals)
	return d.Run(ctx)
}

func readSite(file string) (loader.Site, []byte, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return loader.Site{}, nil, oops.Wrapf(err, "read settings")
	}
	site, err := loader.LoadSite(file, data)
	return site, data, err
}

// watchSettings stops the daemon at a signal, and reads the settings again when they have
// changed, at SIGHUP and now and then.
func watchSettings(file string, last []byte, d *launcher.Daemon, signals <-chan os.Signal) {
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	for {
		hangup := false
		select {
		case s := <-signals:
			if s != syscall.SIGHUP {
				d.Stop()
				return
			}
			hangup = true
		case <-ticker.C:
		}
		data, err := os.ReadFile(file)
		if err == nil && bytes.Equal(data, last) && !hangup {
			continue
		}
		site, data, err := readSite(file)
		if err != nil {
			d.ReloadFailed(err)
			continue
		}
		last = data
		d.Reload(site)
	}
}
