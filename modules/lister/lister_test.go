package lister_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/ebonylock/ebonylock/modules/lister"
	"github.com/ebonylock/ebonylock/tests/standin"
)

func testDeadline() time.Time {
	return time.Now().Add(5 * time.Second)
}

func server(change func(s *standin.ListedServer)) standin.ListedServer {
	s := standin.ListedServer{ID: "a", Service: "svc", DataCentre: "dc", Addr: "127.0.0.1:80", Slots: 2, MaxConns: 25, Leaving: true}
	change(&s)
	return s
}

// TestContract checks behaviour that every client of the list must have.
func TestContract(t *testing.T) {
	is := is.New(t)
	l, err := standin.NewVMList()
	is.NoErr(err)
	c := lister.New(l.Addr())
	l.Set(standin.List{
		VMs:     []standin.VM{{ID: "vm-1", DataCentre: "dc", Gossip: "127.0.0.1:7300", Leaving: true}},
		Servers: []standin.ListedServer{server(func(*standin.ListedServer) {})},
	})
	got, err := c.Read(testDeadline())
	is.NoErr(err)
	is.Equal(len(got.VMs), 1)
	is.Equal(got.VMs[0].Gossip.Port(), uint16(7300))
	is.True(got.VMs[0].Leaving)
	is.Equal(got.BackendServers, []lister.BackendServer{{
		ID: "a", Service: "svc", DataCentre: "dc", Addr: standin.MustAddr("127.0.0.1:80"), Slots: 2, MaxConns: 25, Leaving: true,
	}})
	l.Close()
	_, err = c.Read(testDeadline())
	is.True(err != nil)
}

// TestMalformedEntries checks that a list with a malformed entry is rejected entirely.
func TestMalformedEntries(t *testing.T) {
	for name, change := range map[string]func(s *standin.ListedServer){
		"no ID":          func(s *standin.ListedServer) { s.ID = "" },
		"no address":     func(s *standin.ListedServer) { s.Addr = "" },
		"host name":      func(s *standin.ListedServer) { s.Addr = "localhost:80" },
		"no slots":       func(s *standin.ListedServer) { s.Slots = 0 },
		"no connections": func(s *standin.ListedServer) { s.MaxConns = -1 },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l, err := standin.NewVMList()
			is.NoErr(err)
			defer l.Close()
			l.Set(standin.List{VMs: []standin.VM{{ID: "vm-1", Gossip: "127.0.0.1:1"}}, Servers: []standin.ListedServer{server(change)}})
			_, err = lister.New(l.Addr()).Read(testDeadline())
			is.True(err != nil)
		})
	}
}
