package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const exampleLog = `  12.0 vm-1 {"event":"replica-ejected","replica":"i-1","service":"shard-3","time":"2026-01-01T00:00:08.000Z","vm":"vm-1","error":"connection lost"}
not a JSON log line
{"event":"replica-ejected","replica":"i-7","service":"shard-9","time":"2026-01-01T00:00:08.500Z","vm":"vm-1"}
{"event":"config","version":7,"time":"2026-01-01T00:00:09.000Z","vm":"vm-2"}
{"event":"request","id":"r-1","outcome":"answered-partly","status":200,"missing":["shard-3 no-sound-replica"],"tries":["shard-3 i-1 dc-1 try +0.2 3.0 silent"],"version":6,"time":"2026-01-01T00:00:10.000Z","vm":"vm-1"}
`

func TestExplain(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "log")
	is.NoErr(os.WriteFile(file, []byte(exampleLog), 0o600))
	lines, err := readLog(file)
	is.NoErr(err)
	is.Equal(len(lines), 4)
	var out strings.Builder
	is.NoErr(explain(&out, "r-1", lines))
	for _, want := range []string{"2.000 s before: replica-ejected service=shard-3 replica=i-1 error=connection lost", "answered-partly", "missing: shard-3 no-sound-replica", "tries: shard-3 i-1 dc-1 try +0.2 3.0 silent"} {
		is.True(strings.Contains(out.String(), want))
	}
	is.True(!strings.Contains(out.String(), "shard-9"))   // another shard
	is.True(!strings.Contains(out.String(), "version=7")) // another VM
	is.True(explain(&out, "r-2", lines) != nil)
}

const hopLog = `{"event":"gathered","id":"r-1","outcome":"answered-partly","parts":5,"took-ms":52,"cutoff-ms":50,"missing":["shard-3 no-reply-yet"],"tries":["shard-3 i-1 dc-1 try +0.2 3.0 silent"],"time":"2026-01-01T00:00:09.990Z","vm":"vm-2"}
{"event":"call-refused","id":"r-1","calls":65,"configured":true,"time":"2026-01-01T00:00:09.950Z","vm":"vm-3"}
{"event":"request","id":"r-1","outcome":"answered-partly","status":200,"parts":10,"missing":["shard-3"],"reasons":["no-reply-yet"],"hops":["vm-3 dc-1 5 +0.1 1.0 refused","vm-2 dc-1 5 +1.1 52.0 partly"],"time":"2026-01-01T00:00:10.000Z","vm":"vm-1"}
`

// TestExplainHops checks that the output names the VMs that gathered parts, in the order of time.
func TestExplainHops(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "log")
	is.NoErr(os.WriteFile(file, []byte(hopLog), 0o600))
	lines, err := readLog(file)
	is.NoErr(err)
	var out strings.Builder
	is.NoErr(explain(&out, "r-1", lines))
	rest := out.String()
	for _, want := range []string{
		"vm-3  00:00:09.950: refused to gather", "vm-2  00:00:09.990: gathered 5 parts", "tries: shard-3 i-1",
		"vm-1  00:00:10.000: request r-1 ended", "reasons: no-reply-yet", "hops: vm-3 dc-1 5 +0.1 1.0 refused", "hops: vm-2",
	} {
		_, after, ok := strings.Cut(rest, want)
		is.True(ok)
		rest = after
	}
}
