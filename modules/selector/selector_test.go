package selector

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"
)

// fleet has n VMs in each of the data centres, the first fast ones of each with fast links.
func fleet(n, fast int, dataCentres ...string) []VM {
	var out []VM
	for _, dc := range dataCentres {
		for i := range n {
			v := VM{ID: fmt.Sprintf("%s-%d", dc, i), DataCentre: dc, Capacity: 45}
			if i < fast {
				v.Capacity = 200
			}
			out = append(out, v)
		}
	}
	return out
}

func TestSmallFleetSendsItself(t *testing.T) {
	is := is.New(t)
	is.True(Select(fleet(3, 0, "a", "b"), 0, 23).Direct)
	is.True(Select(nil, 0, 0).Direct)
}

// TestLargeFleet is the pattern of hundreds of VMs before replicas with fewer connections.
func TestLargeFleet(t *testing.T) {
	is := is.New(t)
	vms := fleet(60, 3, "a", "b", "c", "d", "e")
	s := Select(vms, 0, 175)
	is.True(!s.Direct)
	is.Equal(s.Total, 15)
	for _, v := range vms {
		is.Equal(s.IsGatherer(v.ID), v.Capacity == 200)
	}
	slices.Reverse(vms)
	is.Equal(Select(vms, 0, 175), s) // the same on every VM
}

func TestEqualVMs(t *testing.T) {
	is := is.New(t)
	s := Select(fleet(100, 0, "a", "b", "c"), 0, 175)
	is.Equal(s.Total, 3*(175/gathererConns/3))
	s = Select(fleet(100, 1, "a"), 0, 10) // one fast VM is not enough
	is.Equal(s.Total, leastGatherers)
}

// TestOrderKeepsItsPlace is the pattern of a gatherer that fails: only the VMs that used it move.
func TestOrderKeepsItsPlace(t *testing.T) {
	is := is.New(t)
	vms := fleet(5, 0, "a")
	firsts := make(map[string]int)
	for i := range 100 {
		key := fmt.Sprint(i)
		before := Order(vms, key)
		firsts[before[0].ID]++
		after := Order(slices.DeleteFunc(slices.Clone(vms), func(v VM) bool { return v.ID == "a-2" }), key)
		is.Equal(after, slices.DeleteFunc(before, func(v VM) bool { return v.ID == "a-2" }))
	}
	is.Equal(len(firsts), 5)
}

// TestSlowStandInGetsItsShare is the pattern of a fast gatherer that leaves, so that a VM with a tenth of
// the speed takes its place beside the other one.
func TestSlowStandInGetsItsShare(t *testing.T) {
	is := is.New(t)
	vms := []VM{{ID: "fast", Capacity: 200}, {ID: "slow", Capacity: 20}}
	slow := 0
	for i := range 1000 {
		if Order(vms, fmt.Sprint(i))[0].ID == "slow" {
			slow++
		}
	}
	is.True(slow > 40 && slow < 160) // an eleventh
}

func TestRoster(t *testing.T) {
	is := is.New(t)
	var r Roster
	is.True(r.Select(10).Direct)
	r.Update(fleet(50, 2, "a"), 0)
	is.Equal(r.Select(10).Total, 2)
	is.Equal(r.Select(10), r.Select(10))
	is.True(r.Select(100).Direct)
	r.Update(fleet(5, 2, "a"), 300) // just started, and told of many others
	is.True(!r.Select(100).Direct)
}
