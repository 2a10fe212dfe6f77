package main

import (
	"context"

	"github.com/urfave/cli/v3"
	"github.com/valyala/fasthttp"
)

type vmStatus struct {
	VM       string        `json:"vm"`
	Ready    bool          `json:"ready"`
	Revision uint64        `json:"revision"`
	Out      []string      `json:"out"`
	VMs      []vmMember    `json:"vms"`
	Owned    []ownedServer `json:"owned"`
	NoOwner  []string      `json:"no-owner"`
}

type vmMember struct {
	ID         string `json:"id"`
	DataCentre string `json:"data-centre"`
	State      string `json:"state"`
	Operators  string `json:"operators"`
}

type ownedServer struct {
	ID      string `json:"id"`
	Slots   int    `json:"slots"`
	Limit   int    `json:"limit"`
	Running int    `json:"running"`
	Queued  int    `json:"queued"`
	Cold    bool   `json:"cold"`
	Open    bool   `json:"open"`
}

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:   "status",
		Usage:  "show the state of an entry VM, its view of the fleet and the backend servers that it owns",
		Flags:  operatorFlags(),
		Action: status,
	}
}

func status(_ context.Context, c *cli.Command) error {
	var s vmStatus
	raw, err := callOperator(c, fasthttp.MethodGet, "/v1/status", nil, &s)
	if err != nil {
		return err
	}
	w := c.Root().Writer
	if c.Bool("json") {
		printLine(w, "%s", raw)
		return nil
	}
	printLine(w, "VM %s: ready %t, revision %d, data centres out: %v", s.VM, s.Ready, s.Revision, s.Out)
	for _, m := range s.VMs {
		printLine(w, "  VM %s in %s: %s", m.ID, m.DataCentre, m.State)
	}
	printLine(w, "owns %d backend servers; %d have no owner", len(s.Owned), len(s.NoOwner))
	for _, b := range s.Owned {
		printLine(w, "  %s: limit %d of %d slots, %d running, %d queued, cold %t, open %t", b.ID, b.Limit, b.Slots, b.Running, b.Queued, b.Cold, b.Open)
	}
	return nil
}
