// Package path has end-to-end tests: entry VMs, platform and backend servers run as separate
// processes.
package path

import (
	"encoding/json"
	"net/http"
	"os"
	"testing"

	"github.com/matryer/is"

	"github.com/ebonylock/ebonylock/tests/fleet"
	"github.com/ebonylock/ebonylock/tests/standin"
)

// binDir is the directory of the binaries under test.
var binDir string

func TestMain(m *testing.M) {
	os.Exit(fleet.RunWithBinaries(func(dir string) int {
		binDir = dir
		return m.Run()
	}))
}

func startFleet(t *testing.T, vms int) *fleet.Fleet {
	t.Helper()
	return startFleetWith(t, fleet.Config{VMs: vms})
}

func startFleetWith(t *testing.T, cfg fleet.Config) *fleet.Fleet {
	t.Helper()
	cfg.Bin, cfg.Deployment, cfg.Log = binDir, standin.Deployments[0], t.Output()
	f, err := fleet.Start(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Kill)
	return f
}

type answer struct {
	Generation uint64 `json:"generation"`
	Complete   bool   `json:"complete"`
	Covered    []part `json:"covered"`
	Uncovered  []part `json:"uncovered"`
	Results    []part `json:"results"`
}

type part struct {
	Service    string `json:"service"`
	Partition  string `json:"partition"`
	Generation uint64 `json:"generation"`
	Reason     string `json:"reason"`
}

func search(t *testing.T, f *fleet.Fleet, vm *fleet.VM, name string) (int, answer) {
	t.Helper()
	status, raw, err := f.CallVM(vm, "/v1/search/"+name, map[string]any{"query": map[string]string{"q": "x"}, "deadline-ms": 5000})
	if err != nil {
		t.Fatal(err)
	}
	var a answer
	if err := json.Unmarshal(raw, &a); err != nil {
		t.Fatal(err)
	}
	return status, a
}

// TestSearchThroughEveryVM checks that every VM answers a search completely, with each partition
// once and all results from one generation.
func TestSearchThroughEveryVM(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, 7)
	for _, vm := range f.VMs {
		status, a := search(t, f, vm, "stand-search")
		is.Equal(status, http.StatusOK)
		is.True(a.Complete)
		is.Equal(len(a.Covered), 20)
		is.Equal(len(a.Results), 20) // one result for each partition
		for _, r := range a.Results {
			is.Equal(r.Generation, a.Generation) // all results are of one generation
		}
	}
	is.NoErr(f.Stop())
}
