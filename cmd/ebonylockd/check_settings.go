package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/samber/oops"
	"github.com/urfave/cli/v3"

	"github.com/ebonylock/ebonylock/modules/loader"
)

func settingsFlag() cli.Flag {
	return &cli.StringFlag{
		Name:     "settings",
		Usage:    "settings `FILE` in JSON with comments, - for standard input",
		Required: true,
	}
}

func checkSettingsCommand() *cli.Command {
	return &cli.Command{
		Name:  "check-settings",
		Usage: "check a settings file; exits 2 if it is not valid",
		Flags: []cli.Flag{settingsFlag()},
		Action: func(_ context.Context, c *cli.Command) error {
			s, err := readSettings(c.String("settings"))
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(c.Root().Writer, "settings of VM %s are valid\n", s.VM.ID)
			return err
		},
	}
}

// readSettings loads a settings file; the name - stands for standard input.
func readSettings(file string) (loader.Settings, error) {
	var data []byte
	var err error
	if file == "-" {
		file = "standard input"
		data, err = io.ReadAll(os.Stdin)
	} else {
		data, err = os.ReadFile(file)
	}
	if err != nil {
		return loader.Settings{}, oops.Wrapf(err, "read settings")
	}
	return loader.Load(file, data)
}

// exitCode returns the exit code for an error, with a code of its own for invalid settings.
func exitCode(err error) int {
	if errors.Is(err, loader.ErrInvalid) {
		return exitSettings
	}
	return exitFailure
}
