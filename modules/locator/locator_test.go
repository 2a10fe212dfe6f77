package locator

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/ebonylock/ebonylock/modules/lister"
	"github.com/ebonylock/ebonylock/modules/planner"
	"github.com/ebonylock/ebonylock/modules/prober"
)

// fleet returns the input for n VMs and one server with 6 slots in one data centre.
func fleet(n int) Input {
	in := Input{Self: "vm-0"}
	for i := range n {
		id := fmt.Sprintf("vm-%d", i)
		in.Members = append(in.Members, prober.Member{ID: id, DataCentre: "dc"})
		in.List.VMs = append(in.List.VMs, lister.VM{ID: id, DataCentre: "dc"})
	}
	in.List.BackendServers = []lister.BackendServer{{ID: "s", Service: "svc", DataCentre: "dc", Slots: 6}}
	return in
}

// TestSplitSides splits the VMs of a data centre at random into partitions that hold each other
// dead, and checks that the owners in all partitions together never get more slots than the
// server has.
func TestSplitSides(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 9).Draw(t, "VMs")
		side := make([]int, n)
		for i := range side {
			side[i] = rapid.IntRange(0, 3).Draw(t, "side")
		}
		sum := 0
		for s := range 4 {
			in := fleet(n)
			for i := range in.Members {
				if side[i] != s {
					in.Members[i].State = prober.Dead
				}
			}
			v := Build(in)
			if _, ok := v.Owners["s"]; ok && v.Shares["dc"] > 0 {
				sum += 6 / v.Shares["dc"]
			}
		}
		if sum > 6 {
			t.Fatalf("sides %v hold %d of 6 slots", side, sum)
		}
	})
}

func TestBuild(t *testing.T) {
	for _, tc := range []struct {
		name   string
		change func(in *Input)
		usable int
		owner  string
	}{
		{"no failure", func(*Input) {}, 1, "vm-0"},
		{"data centre out", func(in *Input) { in.Config = planner.Config{Out: []string{"dc"}} }, 0, ""},
		{"server leaving", func(in *Input) { in.List.BackendServers[0].Leaving = true }, 0, ""},
		{"VM draining", func(in *Input) { in.Members[0].Draining = true }, 1, ""},
		{"all VMs of the data centre dead but listed", func(in *Input) {
			in.Members[0].State = prober.Dead
			in.Members = append(in.Members, prober.Member{ID: "vm-far", DataCentre: "far"})
		}, 1, ""},
		{"no VM left in the data centre", func(in *Input) {
			in.Members = []prober.Member{{ID: "vm-far", DataCentre: "far"}}
			in.List.VMs = nil
		}, 1, "vm-far"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			in := fleet(1)
			tc.change(&in)
			v := Build(in)
			is.Equal(len(v.Usable["svc"]), tc.usable)
			is.Equal(v.Owners["s"], tc.owner)
		})
	}
}
