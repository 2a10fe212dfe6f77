package main

import (
	"context"

	"github.com/urfave/cli/v3"
	"github.com/valyala/fasthttp"
)

func vmCommand() *cli.Command {
	return &cli.Command{
		Name:  "vm",
		Usage: "operate one entry VM",
		Commands: []*cli.Command{{
			Name:  "stop",
			Usage: "start the graceful shutdown of the VM at --operators",
			Flags: operatorFlags(),
			Action: func(_ context.Context, c *cli.Command) error {
				raw, err := callOperator(c, fasthttp.MethodPost, "/v1/vm/stop", nil, nil)
				if err != nil {
					return err
				}
				printLine(c.Root().Writer, "%s", raw)
				return nil
			},
		}},
	}
}
