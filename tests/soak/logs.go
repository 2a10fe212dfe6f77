package soak

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
)

// logEntry is a log line of a VM: about one request, or about Lines that were dropped.
type logEntry struct {
	Event   string   `json:"event"`
	ID      string   `json:"id"`
	VM      string   `json:"vm"`
	Outcome string   `json:"outcome"`
	Missing []string `json:"missing"`
	Tries   []string `json:"tries"`
	Lines   int      `json:"lines"`
}

// logCollector collects the log lines of the VMs about requests.
type logCollector struct {
	out io.Writer

	mu      sync.Mutex
	entries map[string]logEntry
	// dropped counts the lines that each VM has dropped.
	dropped map[string]int
}

// newWriter returns a writer for the output of one process.
func (l *logCollector) newWriter() io.Writer {
	return &lineWriter{logs: l}
}

// lineWriter splits the output of one process into lines and passes them to the collector.
type lineWriter struct {
	logs    *logCollector
	partial []byte
}

// Write implements io.Writer.
func (l *lineWriter) Write(p []byte) (int, error) {
	l.partial = append(l.partial, p...)
	for {
		line, rest, ok := bytes.Cut(l.partial, []byte("\n"))
		if !ok {
			return len(p), nil
		}
		l.partial = rest
		if err := l.logs.record(line); err != nil {
			return 0, err
		}
	}
}

// record stores a line about a request and copies every line to the output.
func (l *logCollector) record(line []byte) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	var o logEntry
	if json.Unmarshal(line, &o) == nil {
		switch o.Event {
		case "request":
			l.entries[o.ID] = o
		case "log-dropped":
			l.dropped[o.VM] += o.Lines
		}
	}
	_, err := l.out.Write(append(line, '\n'))
	return err
}

// attemptFailures are the log values for an attempt that ended without a usable reply.
var attemptFailures = []string{
	"not-sent", "no-connection-free", "connection-lost", "bad-reply", "silent", "error", "misdirected", "shed", "failed", "under-way",
}

// cause returns the reason that the entry gives for a failed request, or an empty string if it gives
// none.
func (o logEntry) cause() string {
	switch {
	case slices.Contains([]string{"no-configuration", "crashes-replicas", "caller-left", "stopping"}, o.Outcome):
		return o.Outcome
	case len(o.Missing) > 0:
		return o.Missing[0]
	}
	for _, try := range o.Tries {
		words := strings.Fields(try)
		for _, end := range attemptFailures {
			if len(words) > 0 && words[len(words)-1] == end {
				return try
			}
		}
	}
	return ""
}

// unexplained returns the refused or failed requests whose log line gives no cause. It leaves out
// requests during which the VM's process was killed or paused, and as many without a line as the VM says to have
// dropped: a VM that serves the callers of the whole fleet exceeds the rate of its log.
func (b *history) unexplained(l *logCollector) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []string
	unlogged := make(map[string][]string)
	for _, q := range b.requests {
		if q.status < http.StatusMultipleChoices || !b.runningSince(q.vm, q.sent) {
			continue
		}
		o := l.entries[q.id]
		text := fmt.Sprintf("unexplained: request %s to %s ended with %d, the log has %+v: %s", q.id, q.vm, q.status, o, b.describe(q))
		switch {
		case o.ID == "":
			unlogged[q.vm] = append(unlogged[q.vm], text)
		case o.VM != q.vm || o.cause() == "":
			out = append(out, text)
		}
	}
	for vm, list := range unlogged {
		if len(list) > l.dropped[vm] {
			out = append(out, list...)
		}
	}
	return out
}
