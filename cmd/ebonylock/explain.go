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
	// maxLogLine bounds a line of a log, in bytes.
	maxLogLine = 4 << 20
	// explainBefore is how long before a request's end changes of belief are of interest.
	explainBefore = 10 * time.Second
)

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "tell from the logs of one or more VMs what became of a request, and what was believed then",
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

// logLine is one line of a VM's log.
type logLine struct {
	at     time.Time
	fields map[string]any
}

func (l logLine) text(name string) string {
	if v, ok := l.fields[name]; ok && v != nil {
		return fmt.Sprint(v)
	}
	return ""
}

// readLog reads the JSON lines of a file; - is standard input. Whatever stands before the JSON
// of a line, and lines without any, is skipped.
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

// stories are the events that tell of a request: at the VM that took it, and at those that gathered
// parts for that one.
var stories = []string{"request", "gathered", "call-refused"}

// explain writes the story of a request: its own lines, and before them the changes of belief of
// the same VM about the services, replicas and the configuration that it met.
func explain(w io.Writer, id string, lines []logLine) error {
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.at.Compare(b.at) })
	found := false
	for _, l := range lines {
		if l.text("id") != id || !slices.Contains(stories, l.text("event")) {
			continue
		}
		found = true
		for _, other := range lines {
			age := l.at.Sub(other.at)
			if age >= 0 && age <= explainBefore && other.text("vm") == l.text("vm") && bears(l, other) {
				if _, err := fmt.Fprintf(w, "%s  %6.3f s before: %s\n", other.text("vm"), age.Seconds(), belief(other)); err != nil {
					return oops.Wrap(err)
				}
			}
		}
		if err := tell(w, l); err != nil {
			return err
		}
	}
	if !found {
		return oops.Errorf("no line about request %s; plain answers are dropped first when there are many lines", id)
	}
	return nil
}

// bears reports whether a change of belief bears on the request of l.
func bears(l, other logLine) bool {
	switch event := other.text("event"); event {
	case "config", "evacuation", "source-lost", "paused", "reload", "start", "stop":
		return true
	case "replica-ejected", "replica-back":
		return strings.Contains(l.text("tries")+l.text("missing"), other.text("service"))
	}
	return false
}

func belief(l logLine) string {
	out := l.text("event")
	for _, name := range []string{"version", "revision", "source", "service", "replica", "data-centre", "out", "gap", "error"} {
		if v := l.text(name); v != "" {
			out += " " + name + "=" + strings.ReplaceAll(v, "\n", " ")
		}
	}
	return out
}

func tell(w io.Writer, l logLine) error {
	out := ""
	switch l.text("event") {
	case "gathered":
		out = fmt.Sprintf("%s  %s: gathered %s parts of request %s for another VM: %s, after %s ms (cutoff %s ms)\n",
			l.text("vm"), l.at.Format(clockFormat), l.text("parts"), l.text("id"), l.text("outcome"), l.text("took-ms"), l.text("cutoff-ms"))
	case "call-refused":
		out = fmt.Sprintf("%s  %s: refused to gather parts of request %s: %s calls under way, configured %s\n",
			l.text("vm"), l.at.Format(clockFormat), l.text("id"), l.text("calls"), l.text("configured"))
	default:
		out = tellRequest(l)
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

// clockFormat is how times of lines are written.
const clockFormat = "15:04:05.000"

func tellRequest(l logLine) string {
	out := fmt.Sprintf("%s  %s: request %s ended: %s, status %s, after %s ms of %s ms (target %s ms, of which %s ms were gone)\n",
		l.text("vm"), l.at.Format(clockFormat), l.text("id"), l.text("outcome"), l.text("status"),
		l.text("took-ms"), l.text("patience-ms"), cmp.Or(l.text("target-ms"), "-"), cmp.Or(l.text("used-ms"), "-"))
	return out + fmt.Sprintf("    route %s, configuration %s, beliefs %s ms old, %s parts, budget %s\n",
		cmp.Or(l.text("route"), "-"), cmp.Or(l.text("version"), "-"), cmp.Or(l.text("beliefs-age-ms"), "-"), cmp.Or(l.text("parts"), "-"), cmp.Or(l.text("budget"), "-"))
}
