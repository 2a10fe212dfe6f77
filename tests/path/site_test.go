package path

import (
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/ebonylock/ebonylock/tests/fleet"
)

// TestSite runs three VMs as separate processes on the stand-ins of the users' platform: all
// answer, two are stopped one after the other, and the last one goes on.
func TestSite(t *testing.T) {
	is := is.New(t)
	f, err := fleet.StartSite(bin, 3, 0, t.Output())
	is.NoErr(err)
	t.Cleanup(f.Kill)
	for _, vm := range f.VMs {
		is.NoErr(f.CheckComplete(vm))
	}
	is.NoErr(f.VMs[1].Stop())
	w, _, err := f.VMs[0].Get("w-1", "/write/x")
	is.NoErr(err)
	is.Equal(w.StatusCode, http.StatusOK)
	is.NoErr(f.CheckComplete(f.VMs[2]))
	is.NoErr(f.VMs[2].Stop())
	is.NoErr(f.CheckComplete(f.VMs[0]))
}

// TestSiteGathers is the same where replicas take fewer connections than there are VMs: two VMs gather
// for all. One of them stops, and the other one and the last VM go on.
func TestSiteGathers(t *testing.T) {
	is := is.New(t)
	f, err := fleet.StartSite(bin, 3, 2, t.Output())
	is.NoErr(err)
	t.Cleanup(f.Kill)
	for _, vm := range f.VMs {
		is.NoErr(f.CheckComplete(vm))
	}
	taken := 0
	for _, vm := range f.VMs {
		m, err := vm.Metrics()
		is.NoErr(err)
		if strings.Contains(m, `ebonylock_forward_calls_total{outcome="answered"}`) {
			taken++
		}
	}
	is.True(taken > 0) // calls went from one VM to another
	is.NoErr(f.VMs[1].Stop())
	is.NoErr(f.CheckComplete(f.VMs[0]))
	is.NoErr(f.CheckComplete(f.VMs[2]))
	f.VMs[2].Kill()
	is.NoErr(f.CheckComplete(f.VMs[0]))
}
