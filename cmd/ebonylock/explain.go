package main

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/samber/oops"
	"github.com/urfave/cli/v3"
)

const (
	// maxLogLine is the maximum length of a log line, in bytes.
	maxLogLine = 4 << 20
	// explainWindow is the time before the end of a request from which state changes are printed.
	explainWindow = 10 * time.Second
)

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "show the outcome of a request and the state changes before it, from the logs of one or more VMs",
		ArgsUsage: "REQUEST-ID [FILE...]",
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Len() == 0 {
				return oops.Errorf("no request ID given")
			}
			var lines []logLine
			files := c.Args().Slice()[1:]
			if len(files) == 0 {
				files = []string{"-"}
			}
			for _, name := range files {
				read, err := readLog(name)
				if err != nil {
					return err
				}
				lines = append(lines, read...)
			}
			return explain(c.Root().Writer, c.Args().First(), lines)
		},
	}
}

// logLine is one parsed line of a VM's log.
type logLine struct {
	at     time.Time
	fields map[string]any
}

// text returns the value of a field as text, empty if the field is missing or null.
func (l logLine) text(name string) string {
	if v, ok := l.fields[name]; ok && v != nil {
		return fmt.Sprint(v)
	}
	return ""
}

// readLog reads the JSON log lines of a file; the name - stands for standard input. It ignores
// text before the JSON object of a line, and skips lines without a valid object or time stamp.
func readLog(name string) ([]logLine, error) {
	in := io.Reader(os.Stdin)
	if name != "-" {
		f, err := os.Open(name)
		if err != nil {
			return nil, oops.Wrapf(err, "read log")
		}
		defer func() { _ = f.Close() }()
		in = f
	}
	var out []logLine
	s := bufio.NewScanner(in)
	s.Buffer(nil, maxLogLine)
	for s.Scan() {
		start := bytes.IndexByte(s.Bytes(), '{')
		if start < 0 {
			continue
		}
		var fields map[string]any
		if json.Unmarshal(s.Bytes()[start:], &fields) != nil {
			continue
		}
		at, err := time.Parse(time.RFC3339Nano, fmt.Sprint(fields["time"]))
		if err == nil {
			out = append(out, logLine{at, fields})
		}
	}
	return out, oops.Wrapf(s.Err(), "read log %s", name)
}

// requestEvents are the log events about a single request, both at the VM that received it and
// at the VMs that gathered parts for that VM.
var requestEvents = []string{"request", "gathered", "call-refused"}

// explain writes the log lines of the request with the given ID in the order of time. Each one
// follows the earlier state changes of the same VM that concern the services of the request,
// their replicas or the configuration.
func explain(w io.Writer, id string, lines []logLine) error {
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.at.Compare(b.at) })
	found := false
	for _, line := range lines {
		if line.text("id") != id || !slices.Contains(requestEvents, line.text("event")) {
			continue
		}
		found = true
		for _, other := range lines {
			age := line.at.Sub(other.at)
			if age >= 0 && age <= explainWindow && other.text("vm") == line.text("vm") && isRelevant(line, other) {
				if _, err := fmt.Fprintf(w, "%s  %6.3f s before: %s\n", other.text("vm"), age.Seconds(), formatChange(other)); err != nil {
					return oops.Wrap(err)
				}
			}
		}
		if err := writeEvent(w, line); err != nil {
			return err
		}
	}
	if !found {
		return oops.Errorf("no log line for request %s; under a high log rate the lines of requests answered in full are dropped first", id)
	}
	return nil
}

// isRelevant reports whether other is a state change that may have affected the given request.
func isRelevant(request, other logLine) bool {
	switch event := other.text("event"); event {
	case "config", "evacuation", "source-lost", "paused", "reload", "start", "stop":
		return true
	case "replica-ejected", "replica-back", "replica-notice":
		return strings.Contains(request.text("tries")+request.text("missing"), other.text("service"))
	}
	return false
}

// formatChange formats a state change on one line.
func formatChange(l logLine) string {
	out := l.text("event")
	for _, name := range []string{"version", "revision", "source", "service", "replica", "data-centre", "says", "until", "stored", "out", "gap", "error"} {
		if v := l.text(name); v != "" {
			out += " " + name + "=" + strings.ReplaceAll(v, "\n", " ")
		}
	}
	return out
}

// writeEvent writes the log line of a request with its lists, one item a line.
func writeEvent(w io.Writer, l logLine) error {
	out := ""
	switch l.text("event") {
	case "gathered":
		out = fmt.Sprintf("%s  %s: gathered %s parts of request %s for another VM: %s, after %s ms (cutoff %s ms)\n",
			l.text("vm"), l.at.Format(timeFormat), l.text("parts"), l.text("id"), l.text("outcome"), l.text("took-ms"), l.text("cutoff-ms"))
	case "call-refused":
		out = fmt.Sprintf("%s  %s: refused to gather parts of request %s: %s calls under way, configured %s\n",
			l.text("vm"), l.at.Format(timeFormat), l.text("id"), l.text("calls"), l.text("configured"))
	default:
		out = formatRequest(l)
	}
	for _, name := range []string{"missing", "reasons", "hops", "tries"} {
		list, _ := l.fields[name].([]any)
		for _, v := range list {
			out += fmt.Sprintf("    %s: %v\n", name, v)
		}
	}
	_, err := io.WriteString(w, out)
	return oops.Wrap(err)
}

// timeFormat is the format of the times in the output.
const timeFormat = "15:04:05.000"

// formatRequest formats the log line of the VM that received the request.
func formatRequest(l logLine) string {
	out := fmt.Sprintf("%s  %s: request %s ended: %s, status %s, after %s ms of %s ms (target %s ms, of which %s ms were gone)\n",
		l.text("vm"), l.at.Format(timeFormat), l.text("id"), l.text("outcome"), l.text("status"),
		l.text("took-ms"), l.text("patience-ms"), cmp.Or(l.text("target-ms"), "-"), cmp.Or(l.text("used-ms"), "-"))
	return out + fmt.Sprintf("    route %s, configuration %s, beliefs %s ms old, %s parts, budget %s\n",
		cmp.Or(l.text("route"), "-"), cmp.Or(l.text("version"), "-"), cmp.Or(l.text("beliefs-age-ms"), "-"), cmp.Or(l.text("parts"), "-"), cmp.Or(l.text("budget"), "-"))
}
