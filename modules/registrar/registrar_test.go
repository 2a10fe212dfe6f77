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

// configured is a configuration that names all services but "unknown".
func configured(service string) bool { return service != "unknown" }

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

// TestLapsedEntryComesBack covers a store outage during which entries expire: they are back within
// two seconds after it.
func TestLapsedEntryComesBack(t *testing.T) {
	is := is.New(t)
	var r Registry
	r.Put(replica("a", "10.0.0.1:1", 0))
	r.Put(replica("b", "10.0.0.2:1", 0))
	r.MarkMissing("a", start)
	is.Equal(ids(r.View(start, configured)), "a? b ")
	is.Equal(len(r.Sweep(start.Add(1900*time.Millisecond))), 0)
	r.Put(replica("a", "10.0.0.1:1", 0))
	is.Equal(len(r.Sweep(start.Add(5*time.Second))), 0)
	is.Equal(ids(r.View(start, configured)), "a b ")
}

func TestMissingEntryExpires(t *testing.T) {
	is := is.New(t)
	var r Registry
	r.Put(replica("a", "10.0.0.1:1", 0))
	r.MarkMissing("a", start)
	r.MarkMissing("a", start.Add(time.Second)) // a second report does not restart the grace period
	is.Equal(r.Sweep(start.Add(2200*time.Millisecond)), []string{"a"})
	is.Equal(ids(r.View(start, configured)), "")
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
	is.Equal(ids(r.View(start, configured)), "b ")
	r.SetEvacuated(map[string]bool{"dc-2": true})
	is.Equal(ids(r.View(start, configured)), "")
	r.SetEvacuated(nil)
	is.Equal(ids(r.View(start, configured)), "b ")
}

// TestAddressUsedAgain covers a replica that has ended and whose address was taken over by another one
// while its entry still exists.
func TestAddressUsedAgain(t *testing.T) {
	is := is.New(t)
	var r Registry
	r.Put(replica("old", "10.0.0.1:1", 0))
	r.Put(replica("new", "10.0.0.1:1", 9))
	is.Equal(ids(r.View(start, configured)), "new ")
	is.True(replica("a", "10.0.0.1:1", 0).key() != replica("a", "10.0.0.1:1", 1).key())
}

// TestOddEntryDisplacesNoReplica guards against an entry of another writer that repeats the address of
// a sound replica, which then gets no requests any more.
func TestOddEntryDisplacesNoReplica(t *testing.T) {
	for name, change := range map[string]func(odd *Replica){
		"a service that is not configured": func(odd *Replica) { odd.Service = "unknown" },
		"a start in the future":            func(odd *Replica) { odd.StartedAt = start.Add(24 * time.Hour) },
		"the last possible start":          func(odd *Replica) { odd.StartedAt = time.UnixMilli(253402300799999) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var r Registry
			r.Put(replica("a", "10.0.0.1:1", 0))
			odd := replica("odd", "10.0.0.1:1", 9)
			change(&odd)
			r.Put(odd)
			found := false
			for _, c := range r.View(start.Add(10*time.Second), configured).Services["s"] {
				found = found || c.ID == "a"
			}
			is.True(found)
		})
	}
}

func TestDroppedEntryHasNoGracePeriod(t *testing.T) {
	is := is.New(t)
	var r Registry
	r.Put(replica("a", "10.0.0.1:1", 0))
	r.Put(replica("b", "10.0.0.2:1", 0))
	r.Drop("a")
	r.Drop("unknown")
	is.Equal(ids(r.View(start, configured)), "b ")
	r.Put(replica("a", "10.0.0.1:1", 0))
	is.Equal(ids(r.View(start, configured)), "a b ")
}
