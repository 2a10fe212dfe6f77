package path

import (
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/ebonylock/ebonylock/tests/fleet"
)

// TestSite runs three VMs as separate processes on the stand-ins of the users' platform: all
// answer, two are stopped one after the other, and the last one goes on.
func TestSite(t *testing.T) {
	is := is.New(t)
	f, err := fleet.StartSite(bin, 3, t.Output())
	is.NoErr(err)
	t.Cleanup(f.Kill)
	for _, vm := range f.VMs {
		is.NoErr(f.Whole(vm))
	}
	is.NoErr(f.VMs[1].Stop())
	w, _, err := f.VMs[0].Ask("w-1", "/write/x")
	is.NoErr(err)
	is.Equal(w.StatusCode, http.StatusOK)
	is.NoErr(f.Whole(f.VMs[2]))
	is.NoErr(f.VMs[2].Stop())
	is.NoErr(f.Whole(f.VMs[0]))
}
