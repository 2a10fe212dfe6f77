package rationer

import (
	"testing"

	"github.com/matryer/is"
)

// TestSharesFit checks that the shares of a VM's memory fit into it together, with room for the rest of the
// process, and that the smallest VM of the users' sites has room for ordinary callers.
func TestSharesFit(t *testing.T) {
	is := is.New(t)
	for _, memory := range []int64{64 * MiB, 184 * MiB, 284 * MiB, 536 * MiB} {
		s := Divide(memory)
		is.True(s.Clients+s.Connections+s.Replies+s.Backlog <= memory*5/8)
		is.True(s.Clients+s.Replies < s.Heap)
		is.True(s.Heap < memory*3/4)
	}
	smallest := Divide(184 * MiB)
	is.True(smallest.LimitConnections(4100, 0.75).Callers > 1500)
	is.Equal(Divide(536*MiB).LimitConnections(200, 0.75), ConnectionLimits{Callers: 150, Peers: 25, Others: 6})
	is.True(smallest.Clients > 16*MiB)           // the largest reply of a replica
	is.Equal(Divide(0), Divide(machineMemory())) // without a setting, the memory of the machine
}
