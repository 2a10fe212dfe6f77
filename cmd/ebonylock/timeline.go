package main

import (
	"cmp"
	"context"
	"encoding/json"
	"html/template"
	"os"
	"slices"
	"time"

	"github.com/samber/oops"
	"github.com/urfave/cli/v3"
	"github.com/valyala/fasthttp"
)

// event is a state change in the timeline of a VM. Logical orders events of the same wall time.
type event struct {
	Wall    time.Time `json:"wall"`
	Logical uint32    `json:"logical"`
	VM      string    `json:"vm"`
	Kind    string    `json:"kind"`
	Subject string    `json:"subject"`
	Detail  string    `json:"detail"`
}

func timelineCommand() *cli.Command {
	return &cli.Command{
		Name:  "timeline",
		Usage: "show the state changes of all entry VMs in one order",
		Flags: operatorFlags(
			&cli.StringSliceFlag{Name: "vm", Usage: "only events of these VMs"},
			&cli.StringSliceFlag{Name: "kind", Usage: "only events of these kinds"},
			&cli.StringSliceFlag{Name: "subject", Usage: "only events about these VMs, backend servers or data centres"},
			&cli.StringFlag{Name: "html", Usage: "write an HTML page to `FILE`"},
		),
		Action: timeline,
	}
}

func timeline(_ context.Context, c *cli.Command) error {
	var s vmStatus
	if _, err := callOperator(c, fasthttp.MethodGet, "/v1/status", nil, &s); err != nil {
		return err
	}
	events, unreachable := collectEvents(c, s)
	events = slices.DeleteFunc(events, func(e event) bool { return !matchesFlags(c, e) })
	slices.SortStableFunc(events, compareEvents)
	for _, id := range unreachable {
		printLine(os.Stderr, "VM %s could not be reached; its events are missing", id)
	}
	if file := c.String("html"); file != "" {
		return writePage(file, events, unreachable)
	}
	return printEvents(c, events)
}

// collectEvents fetches the timelines of all VMs, and returns the IDs of the VMs that failed to
// answer.
func collectEvents(c *cli.Command, s vmStatus) (events []event, unreachable []string) {
	for _, m := range s.VMs {
		addr := m.Operators
		if m.ID == s.VM {
			addr = c.String("operators")
		}
		var part []event
		if _, err := callOperatorAt(c, addr, fasthttp.MethodGet, "/v1/timeline", nil, &part); err != nil {
			unreachable = append(unreachable, m.ID)
			continue
		}
		events = append(events, part...)
	}
	return events, unreachable
}

// matchesFlags reports whether the event passes the filters given as flags.
func matchesFlags(c *cli.Command, e event) bool {
	for flag, value := range map[string]string{"vm": e.VM, "kind": e.Kind, "subject": e.Subject} {
		if allowed := c.StringSlice(flag); len(allowed) > 0 && !slices.Contains(allowed, value) {
			return false
		}
	}
	return true
}

// compareEvents orders events by wall time, logical time and VM.
func compareEvents(a, b event) int {
	if n := a.Wall.Compare(b.Wall); n != 0 {
		return n
	}
	if n := cmp.Compare(a.Logical, b.Logical); n != 0 {
		return n
	}
	return cmp.Compare(a.VM, b.VM)
}

func printEvents(c *cli.Command, events []event) error {
	w := c.Root().Writer
	for _, e := range events {
		if !c.Bool("json") {
			printLine(w, "%s+%d %s %s %s %s", e.Wall.UTC().Format("15:04:05.000000"), e.Logical, e.VM, e.Kind, e.Subject, e.Detail)
			continue
		}
		raw, err := json.Marshal(e)
		if err != nil {
			return oops.Wrap(err)
		}
		printLine(w, "%s", raw)
	}
	return nil
}

// pageTemplate lists all events in one table, as a column for each VM would not fit a large
// fleet.
var pageTemplate = template.Must(template.New("timeline").Parse(`<!doctype html>
<meta charset="utf-8"><title>ebonylock time line</title>
<style>body{font:14px sans-serif}td,th{padding:2px 8px;text-align:left}tr:nth-child(even){background:#eee}</style>
<h1>Time line</h1>
{{range .Unreachable}}<p>VM {{.}} could not be reached; its events are missing.</p>{{end}}
<table><tr><th>time</th><th>VM</th><th>kind</th><th>subject</th><th>detail</th></tr>
{{range .Events}}<tr><td>{{.Wall.UTC.Format "15:04:05.000000"}}+{{.Logical}}</td><td>{{.VM}}</td><td>{{.Kind}}</td><td>{{.Subject}}</td><td>{{.Detail}}</td></tr>
{{end}}</table>
`))

func writePage(file string, events []event, unreachable []string) error {
	f, err := os.Create(file)
	if err != nil {
		return oops.Wrap(err)
	}
	err = pageTemplate.Execute(f, struct {
		Events      []event
		Unreachable []string
	}{events, unreachable})
	return oops.Wrap(cmp.Or(err, f.Close()))
}
