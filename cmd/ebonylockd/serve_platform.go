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
	"github.com/ebonylock/ebonylock/modules/rationer"
	"github.com/ebonylock/ebonylock/services/launcher"
)

func servePlatformCommand() *cli.Command {
	return &cli.Command{
		Name:   "serve-platform",
		Usage:  "serve callers on the users' platform until SIGTERM or SIGINT; SIGHUP reloads the settings",
		Flags:  []cli.Flag{settingsFlag()},
		Action: servePlatform,
	}
}

// settingsPollInterval is the interval at which the settings file is checked for changes, as it
// may change without a signal.
const settingsPollInterval = 2 * time.Second

func servePlatform(ctx context.Context, c *cli.Command) error {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	file := c.String("settings")
	site, data, err := readSite(file)
	if err != nil {
		return err
	}
	// The garbage collector frees memory during a burst before the VM kills the process.
	debug.SetMemoryLimit(rationer.Divide(int64(site.VM.MemoryMB) * rationer.MiB).Heap)
	stops := make(chan os.Signal, 1)
	// From here on a signal must not kill the process, as callers connect as soon as New has bound its
	// addresses.
	signal.Notify(stops, syscall.SIGTERM, syscall.SIGINT)
	d, err := launcher.New(site, os.Stdout)
	if err != nil {
		return err
	}
	go d.TuneMemory(ctx)
	go func() {
		<-stops
		d.Stop()
	}()
	go watchSettings(file, data, d, hangups)
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

// watchSettings reloads the settings at each signal in hangups, and when a check at settingsPollInterval finds the
// file changed from the content in loaded. Reading the file may block.
func watchSettings(file string, loaded []byte, d *launcher.Daemon, hangups <-chan os.Signal) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	for {
		hangup := false
		select {
		case <-hangups:
			hangup = true
		case <-ticker.C:
		}
		data, err := os.ReadFile(file)
		if err == nil && bytes.Equal(data, loaded) && !hangup {
			continue
		}
		site, data, err := readSite(file)
		if err != nil {
			d.ReloadFailed(err)
			continue
		}
		loaded = data
		d.Reload(site)
	}
}
