package assigner

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func fleet(vms, servers, centres int) ([]Node, []Server) {
	var nodes []Node
	for i := range vms {
		nodes = append(nodes, Node{ID: fmt.Sprintf("vm-%d", i), DataCentre: fmt.Sprintf("dc-%d", i%centres)})
	}
	var list []Server
	for i := range servers {
		list = append(list, Server{ID: fmt.Sprintf("server-%d", i), DataCentre: fmt.Sprintf("dc-%d", i%centres)})
	}
	return nodes, list
}

// TestBoundedLoad checks that no VM exceeds the load bound, which plain rendezvous hashing does not
// guarantee.
func TestBoundedLoad(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		centres := rapid.IntRange(1, 4).Draw(t, "centres")
		vms := rapid.IntRange(centres, 60).Draw(t, "vms")
		servers := rapid.IntRange(0, 300).Draw(t, "servers")
		nodes, list := fleet(vms, servers, centres)
		load := make(map[string]int)
		for _, owner := range Assign(nodes, list) {
			load[owner]++
		}
		for _, n := range nodes {
			inCentre := 0
			for _, m := range nodes {
				if m.DataCentre == n.DataCentre {
					inCentre++
				}
			}
			of := 0
			for _, s := range list {
				if s.DataCentre == n.DataCentre {
					of++
				}
			}
			if bound := int(loadFactor*float64(of)/float64(inCentre)) + 1; load[n.ID] > bound {
				t.Fatalf("%s owns %d servers, bound is %d", n.ID, load[n.ID], bound)
			}
		}
	})
}

func TestSameOwnersInAnyOrder(t *testing.T) {
	is := is.New(t)
	nodes, servers := fleet(12, 90, 3)
	want := Assign(nodes, servers)
	for i, j := 0, len(nodes)-1; i < j; i, j = i+1, j-1 {
		nodes[i], nodes[j] = nodes[j], nodes[i]
	}
	for i, j := 0, len(servers)-1; i < j; i, j = i+1, j-1 {
		servers[i], servers[j] = servers[j], servers[i]
	}
	is.Equal(Assign(nodes, servers), want)
}

func TestOwnerInOwnDataCentre(t *testing.T) {
	is := is.New(t)
	nodes, servers := fleet(7, 30, 3)
	centre := make(map[string]string)
	for _, n := range nodes {
		centre[n.ID] = n.DataCentre
	}
	owners := Assign(nodes, servers)
	is.Equal(len(owners), len(servers))
	for _, s := range servers {
		is.Equal(centre[owners[s.ID]], s.DataCentre)
	}
	owners = Assign(nodes[:1], servers)
	is.Equal(len(owners), len(servers)) // VMs of other data centres own the servers of one without VMs
}

// TestFewMovesAtLoss bounds the number of servers of other VMs that change owner when one VM leaves.
func TestFewMovesAtLoss(t *testing.T) {
	is := is.New(t)
	nodes, servers := fleet(100, 700, 1)
	before := Assign(nodes, servers)
	after := Assign(nodes[1:], servers)
	moved := 0
	for id, owner := range before {
		if owner != nodes[0].ID && after[id] != owner {
			moved++
		}
	}
	is.True(moved < len(servers)/10) // servers that the lost VM did not own
}

func BenchmarkAssign(b *testing.B) {
	nodes, servers := fleet(450, 2700, 4)
	for b.Loop() {
		Assign(nodes, servers)
	}
}
