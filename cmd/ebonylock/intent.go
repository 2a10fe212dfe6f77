package main

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"os"
	"strings"
	"time"

	"github.com/samber/oops"
	"github.com/urfave/cli/v3"
	"github.com/valyala/fasthttp"

	"github.com/ebonylock/ebonylock/modules/planner"
)

func intentCommand() *cli.Command {
	return &cli.Command{
		Name:  "intent",
		Usage: "plan and confirm changes of the configuration",
		Commands: []*cli.Command{
			{
				Name:  "plan",
				Usage: "show what an intent would change, without applying it",
				Flags: operatorFlags(
					&cli.StringFlag{Name: "file", Usage: "intent as JSON in `FILE`, - for standard input"},
					&cli.StringSliceFlag{Name: "take-out", Usage: "data centre to take out of service"},
					&cli.StringSliceFlag{Name: "bring-in", Usage: "data centre to bring back into service"},
					&cli.StringFlag{Name: "save", Usage: "write the plan to `FILE` for confirm"},
				),
				Action: intentPlan,
			},
			{
				Name:   "confirm",
				Usage:  "apply a saved plan; exits 6 if the configuration has changed since, 5 if the outcome is unknown",
				Flags:  operatorFlags(&cli.StringFlag{Name: "plan", Usage: "saved plan", Required: true}),
				Action: intentConfirm,
			},
			{
				Name:   "status",
				Usage:  "show which VMs have the current configuration in force",
				Flags:  operatorFlags(),
				Action: intentStatus,
			},
		},
	}
}

func intentPlan(_ context.Context, c *cli.Command) error {
	var i planner.Intent
	if file := c.String("file"); file != "" {
		data, err := readInput(file)
		if err != nil {
			return err
		}
		if i, err = planner.DecodeIntent(data); err != nil {
			return err
		}
	}
	i.TakeOut = append(i.TakeOut, c.StringSlice("take-out")...)
	i.BringIn = append(i.BringIn, c.StringSlice("bring-in")...)
	body, err := planner.EncodeIntent(i)
	if err != nil {
		return err
	}
	raw, err := callOperator(c, fasthttp.MethodPost, "/v1/intent/plan", body, nil)
	if err != nil {
		return err
	}
	if file := c.String("save"); file != "" {
		if err := os.WriteFile(file, raw, 0o600); err != nil {
			return oops.Wrap(err)
		}
	}
	return printPlan(c, raw)
}

// readInput reads a file; the name - stands for standard input.
func readInput(file string) ([]byte, error) {
	if file == "-" {
		data, err := io.ReadAll(os.Stdin)
		return data, oops.Wrap(err)
	}
	data, err := os.ReadFile(file)
	return data, oops.Wrap(err)
}

func printPlan(c *cli.Command, raw []byte) error {
	w := c.Root().Writer
	if c.Bool("json") {
		printLine(w, "%s", raw)
		return nil
	}
	p, err := planner.DecodePlan(raw)
	if err != nil {
		return err
	}
	printLine(w, "plan %s from revision %d", p.ID, p.Base)
	for _, change := range p.Changes {
		printLine(w, "  change: %s", change)
	}
	for _, k := range p.Capacities {
		if k.SlotsNow != k.SlotsThen {
			printLine(w, "  capacity of %s: %d slots now, %d then", k.Service, k.SlotsNow, k.SlotsThen)
		}
	}
	for _, warning := range p.Warnings {
		printLine(w, "  warning: %s", warning)
	}
	return nil
}

// configStatus tells which VMs have the current configuration in force.
type configStatus struct {
	Revision  uint64    `json:"revision"`
	InForce   []string  `json:"in-force"`
	Behind    []string  `json:"behind"`
	NoAnswer  []string  `json:"unheard"`
	Out       []string  `json:"out"`
	Searches  []string  `json:"searches"`
	ChangedBy string    `json:"changed-by"`
	ChangedAt time.Time `json:"changed-at"`
}

func intentConfirm(_ context.Context, c *cli.Command) error {
	data, err := os.ReadFile(c.String("plan"))
	if err != nil {
		return oops.Wrap(err)
	}
	raw, err := callOperator(c, fasthttp.MethodPost, "/v1/intent/confirm", data, nil)
	var r *refusalError
	if errors.As(err, &r) {
		printLine(os.Stderr, "%s", r.Error())
		return exitError(r.exit)
	}
	if err != nil {
		return err
	}
	return printConfigStatus(c, raw)
}

func intentStatus(_ context.Context, c *cli.Command) error {
	raw, err := callOperator(c, fasthttp.MethodGet, "/v1/intent/status", nil, nil)
	if err != nil {
		return err
	}
	return printConfigStatus(c, raw)
}

func printConfigStatus(c *cli.Command, raw []byte) error {
	w := c.Root().Writer
	if c.Bool("json") {
		printLine(w, "%s", raw)
		return nil
	}
	var s configStatus
	if err := json.Unmarshal(raw, &s); err != nil {
		return oops.Wrap(err)
	}
	printLine(w, "revision %d in force on %d VMs", s.Revision, len(s.InForce))
	if len(s.Behind) > 0 {
		printLine(w, "  older revision on: %s", strings.Join(s.Behind, ", "))
	}
	if len(s.NoAnswer) > 0 {
		printLine(w, "  no answer from: %s", strings.Join(s.NoAnswer, ", "))
	}
	if s.ChangedBy != "" {
		printLine(w, "  changed by %s at %s; data centres out: %v", s.ChangedBy, s.ChangedAt.Format(time.RFC3339), s.Out)
	}
	return nil
}
