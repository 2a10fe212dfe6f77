package loader

import (
	"errors"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

func readExample(t testing.TB, name string) string {
	t.Helper()
	data, err := os.ReadFile("../../examples/" + name)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

func TestExamples(t *testing.T) {
	for _, name := range []string{"addis.jsonc", "texas.jsonc"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s, err := Load(name, []byte(readExample(t, name)))
			is.NoErr(err)
			is.Equal(s.VM.ID, "vm-1")
			is.Equal(len(s.Fleet.Keys), 1)
		})
	}
}

func TestSite(t *testing.T) {
	is := is.New(t)
	text := readExample(t, "site.jsonc")
	s, err := LoadSite("site.jsonc", []byte(text))
	is.NoErr(err)
	is.Equal(s.VM.LinkMbps, 1000.0)
	is.Equal(s.VM.Cores, 0.4)
	is.Equal(s.VM.MemoryMB, 284)
	is.Equal(s.Bounds.RetryWindow, 10*time.Second)
	is.Equal(s.Bounds.WarmupOvershoot, 1.5)
	is.Equal(s.Bounds.WarmupSlack, 5.0)
	is.Equal(len(s.Peers.Seeds), 1)
	is.True(s.FirstStart)
	for _, tc := range []struct{ name, old, new, want string }{
		{"unknown key", `"grace"`, `"graces"`, "bounds.graces: unknown key"},
		{"missing store", `"store": "127.0.0.1:8229",`, ``, "store: missing"},
		{"invalid seed", `"127.0.0.1:8224"`, `"host:1"`, "peers.seeds: must be an IP address and port"},
		{"invalid boolean", `"first-start": true`, `"first-start": 1`, "first-start: must be true or false"},
		{"syntax", `"peers": {`, `"peers": [`, "site.jsonc:"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			is.True(strings.Contains(text, tc.old))
			_, err := LoadSite("site.jsonc", []byte(strings.Replace(text, tc.old, tc.new, 1)))
			is.True(errors.Is(err, ErrInvalid))
			is.True(strings.Contains(err.Error(), tc.want))
		})
	}
}

func TestFaults(t *testing.T) {
	for _, tc := range []struct {
		name, old, new, want string
	}{
		{"syntax", `"vm": {`, `"vm": [`, "addis.jsonc:"},
		{"unknown key", `"id": "vm-1"`, `"id": "vm-1", "colour": "red"`, ":6: vm.colour: unknown key"},
		{"unknown section", `"vm": {`, `"wm": {`, ":4: wm: unknown key"},
		{"duplicate key", `"id": "vm-1"`, `"id": "vm-1", "id": "vm-2"`, "vm.id: key given twice"},
		{"missing key", `"id": "vm-1",`, ``, ":4: vm.id: missing"},
		{"empty value", `"id": "vm-1"`, `"id": ""`, "vm.id: must not be empty"},
		{"wrong type", `"max-in-flight": 1024`, `"max-in-flight": "many"`, ":18: callers.max-in-flight: must be a number"},
		{"out of range", `"max-hedges": 2`, `"max-hedges": 9`, "limits.max-hedges: must be from 0 to 4"},
		{"invalid duration", `"450ms"`, `"soon"`, "limits.run-limit: must be a duration"},
		{"invalid address", `"127.0.0.1:7100"`, `"localhost:7100"`, "callers.listen: must be an IP address and port"},
		{"duplicate address", `"127.0.0.1:7200"`, `"127.0.0.1:7100"`, "operators.listen: same address as callers.listen"},
		{"invalid fleet key", `"keys": ["00`, `"keys": ["0`, "fleet.keys: must be 64 hexadecimal digits"},
		{"invalid log level", `"info"`, `"loud"`, "log.level: must be one of"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			text := readExample(t, "addis.jsonc")
			is.True(strings.Contains(text, tc.old))
			_, err := Load("addis.jsonc", []byte(strings.Replace(text, tc.old, tc.new, 1)))
			is.True(errors.Is(err, ErrInvalid))
			is.True(strings.Contains(err.Error(), tc.want))
		})
	}
}

func FuzzLoad(f *testing.F) {
	f.Add([]byte(readExample(f, "addis.jsonc")))
	f.Fuzz(func(t *testing.T, data []byte) {
		if _, err := Load("fuzz", data); err != nil && !errors.Is(err, ErrInvalid) {
			t.Fatal(err)
		}
		if _, err := LoadSite("fuzz", data); err != nil && !errors.Is(err, ErrInvalid) {
			t.Fatal(err)
		}
	})
}
