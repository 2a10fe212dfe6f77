package lister_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/ebonylock/ebonylock/modules/lister"
	"github.com/ebonylock/ebonylock/tests/standin"
)

func testDeadline() time.Time {
	return time.Now().Add(5 * time.Second)
}

// TestContract checks behaviour that every client of the list must have.
func TestContract(t *testing.T) {
	is := is.New(t)
	l, err := standin.NewVMList()
	is.NoErr(err)
	c := lister.New(l.Addr())
	l.Set(standin.List{
		VMs:     []standin.VM{{ID: "vm-1", DataCentre: "dc", Gossip: "127.0.0.1:7300", Leaving: true}},
		Servers: []standin.ListedServer{{ID: "a", Service: "svc", DataCentre: "dc", Addr: "127.0.0.1:80", Slots: 2, MaxConns: 25, Leaving: true}},
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

// TestMalformedServerHidesNoOther guards against one malformed entry that stops a VM from following the
// list: it is left out, and the others are read.
func TestMalformedServerHidesNoOther(t *testing.T) {
	for name, entry := range map[string]string{
		"no ID":              `{"id":"","address":"127.0.0.1:80","slots":2,"max-connections":25}`,
		"no address":         `{"id":"x","slots":2,"max-connections":25}`,
		"host name":          `{"id":"x","address":"localhost:80","slots":2,"max-connections":25}`,
		"port out of range":  `{"id":"x","address":"127.0.0.1:65536","slots":2,"max-connections":25}`,
		"port 0":             `{"id":"x","address":"127.0.0.1:0","slots":2,"max-connections":25}`,
		"no slots":           `{"id":"x","address":"127.0.0.1:80","slots":0,"max-connections":25}`,
		"no connections":     `{"id":"x","address":"127.0.0.1:80","slots":2,"max-connections":-1}`,
		"number too large":   `{"id":"x","address":"127.0.0.1:80","slots":1e400,"max-connections":25}`,
		"too many slots":     `{"id":"x","address":"127.0.0.1:80","slots":4611686018427387904,"max-connections":25}`,
		"field of no number": `{"id":"x","address":"127.0.0.1:80","slots":"2","max-connections":25}`,
		"null":               `null`,
		"nested":             strings.Repeat("[", 5000) + strings.Repeat("]", 5000),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			const sound = `{"id":"a","service":"svc","data-centre":"dc","address":"127.0.0.1:80","slots":2,"max-connections":25}`
			got, err := read(t, fmt.Sprintf(`{"vms":[{"id":"vm-1","gossip":"127.0.0.1:1"}],"backend-servers":[%s,%s]}`, entry, sound))
			is.NoErr(err)
			is.Equal(len(got.VMs), 1)
			is.Equal(len(got.BackendServers), 1)
			is.Equal(got.BackendServers[0].ID, "a")
			is.Equal(got.Malformed, 1)
		})
	}
}

// TestMalformedVM checks that a list with a malformed VM is rejected entirely: without that VM, a side of
// a partition could count as the larger one.
func TestMalformedVM(t *testing.T) {
	for _, vm := range []string{`{"id":"","gossip":"127.0.0.1:1"}`, `{"id":"x"}`, `{"id":"x","gossip":"host:1"}`, `{"id":1}`, `[]`} {
		_, err := read(t, fmt.Sprintf(`{"vms":[{"id":"vm-1","gossip":"127.0.0.1:1"},%s],"backend-servers":[]}`, vm))
		if err == nil {
			t.Errorf("%s: no error", vm)
		}
	}
}

// read returns the list that a Client reads from a response.
func read(t *testing.T, response string) (lister.List, error) {
	t.Helper()
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, response) }))
	defer srv.Close()
	return lister.New(standin.MustAddr(srv.Listener.Addr().String())).Read(testDeadline())
}
