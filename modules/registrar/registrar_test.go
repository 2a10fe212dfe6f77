package registrar

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func replica(id, addr string, born int) Replica {
	return Replica{
		ID: id, Service: "s", DataCentre: "dc-1", Slots: 2,
		Addr: netip.MustParseAddrPort(addr), StartedAt: start.Add(time.Duration(born) * time.Second),
	}
}

func ids(v *View) string {
	out := ""
	for _, c := range v.Services["s"] {
		out += c.ID
		if c.Missing {
			out += "?"
		}
		out += " "
	}
	return out
}

// TestLapsedEntryComesBack is the pattern of a store outage during which entries run out: they
// are back within two seconds of its return.
func TestLapsedEntryComesBack(t *testing.T) {
	is := is.New(t)
	var r Registry
	r.Put(replica("a", "10.0.0.1:1", 0))
	r.Put(replica("b", "10.0.0.2:1", 0))
	r.MarkMissing("a", start)
	is.Equal(ids(r.View()), "a? b ")
	is.Equal(len(r.Sweep(start.Add(1900*time.Millisecond))), 0)
	r.Put(replica("a", "10.0.0.1:1", 0))
	is.Equal(len(r.Sweep(start.Add(5*time.Second))), 0)
	is.Equal(ids(r.View()), "a b ")
}

func TestMissingEntryIsGone(t *testing.T) {
	is := is.New(t)
	var r Registry
	r.Put(replica("a", "10.0.0.1:1", 0))
	r.MarkMissing("a", start)
	r.MarkMissing("a", start.Add(time.Second)) // a second word does not start the time anew
	is.Equal(r.Sweep(start.Add(2200*time.Millisecond)), []string{"a"})
	is.Equal(ids(r.View()), "")
	r.MarkMissing("unknown", start)
	is.Equal(len(r.Sweep(start.Add(time.Hour))), 0)
}

func TestNoWorkForLeavingAndEvacuated(t *testing.T) {
	is := is.New(t)
	var r Registry
	a, b := replica("a", "10.0.0.1:1", 0), replica("b", "10.0.0.2:1", 0)
	b.DataCentre = "dc-2"
	r.Put(a)
	r.Put(b)
	a.Draining = true
	r.Put(a)
	is.Equal(ids(r.View()), "b ")
	r.SetEvacuated(map[string]bool{"dc-2": true})
	is.Equal(ids(r.View()), "")
	r.SetEvacuated(nil)
	is.Equal(ids(r.View()), "b ")
}

// TestAddressUsedAgain is the pattern of a replica that ended and whose address went to
// another one while its entry still stands.
func TestAddressUsedAgain(t *testing.T) {
	is := is.New(t)
	var r Registry
	r.Put(replica("old", "10.0.0.1:1", 0))
	r.Put(replica("new", "10.0.0.1:1", 9))
	is.Equal(ids(r.View()), "new ")
	is.True(replica("a", "10.0.0.1:1", 0).key() != replica("a", "10.0.0.1:1", 1).key())
}
