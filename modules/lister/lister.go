// Package lister reads the platform's list of VMs and backend servers. The list lags behind the
// actual state, so an entry is only a hint and does not prove that a VM or server is alive.
package lister

import (
	"encoding/json"
	"net/netip"
	"time"

	"github.com/samber/oops"
	"github.com/valyala/fasthttp"

	"github.com/ebonylock/ebonylock/modules/fetcher"
)

// VM is an entry VM in the list.
type VM struct {
	// ID is unique in the fleet and not empty.
	ID string
	// DataCentre is the name of the VM's data centre.
	DataCentre string
	// Gossip is the UDP address of the membership protocol.
	Gossip netip.AddrPort
	// Leaving is true once the platform has announced the VM's removal.
	Leaving bool
}

// BackendServer is a replica of a service.
type BackendServer struct {
	// ID is unique in the fleet and not empty.
	ID string
	// Service is the name of the service.
	Service string
	// DataCentre is the name of the server's data centre.
	DataCentre string
	// Addr is the HTTP address of the server.
	Addr netip.AddrPort
	// Slots is the number of requests that the server runs concurrently once warm, from 1 to maxSlots.
	Slots int
	// MaxConns is the number of connections that the server accepts, from 1 to maxSlots.
	MaxConns int
	// Leaving is true once the platform has announced the server's removal.
	Leaving bool
}

// maxSlots is far above the number of requests and connections that one process handles.
const maxSlots = 1 << 16

// List is the content of the platform's list at one time.
type List struct {
	VMs            []VM
	BackendServers []BackendServer
	// Malformed is the number of backend servers that were left out because their entries can't be used.
	Malformed int
}

// Client reads the list over HTTP.
type Client struct {
	c *fetcher.Client
}

// New returns a Client for the list service at addr.
func New(addr netip.AddrPort) *Client {
	return &Client{c: fetcher.New(addr, 2)}
}

type wireVM struct {
	ID         string `json:"id"`
	DataCentre string `json:"data-centre"`
	Gossip     string `json:"gossip"`
	Leaving    bool   `json:"leaving"`
}

type wireServer struct {
	ID         string `json:"id"`
	Service    string `json:"service"`
	DataCentre string `json:"data-centre"`
	Addr       string `json:"address"`
	Slots      int    `json:"slots"`
	MaxConns   int    `json:"max-connections"`
	Leaving    bool   `json:"leaving"`
}

type wireList struct {
	VMs []wireVM `json:"vms"`
	// Servers holds a wireServer each. They are decoded one by one, as a malformed one must not hide
	// the others.
	Servers []json.RawMessage `json:"backend-servers"`
}

// Read returns the current list without the backend servers whose entries are malformed. It returns
// an error if the list can't be read before deadline or if any VM is malformed: the number of VMs
// decides which side of a partition may own servers.
func (c *Client) Read(deadline time.Time) (List, error) {
	var in wireList
	code, err := c.c.Do(fasthttp.MethodGet, "/v1/vms", nil, &in, deadline)
	if err != nil {
		return List{}, err
	}
	if code != fasthttp.StatusOK {
		return List{}, oops.Errorf("VM list answered with status %d", code)
	}
	return in.decode()
}

func (in wireList) decode() (List, error) {
	var out List
	for _, v := range in.VMs {
		addr, err := netip.ParseAddrPort(v.Gossip)
		if err != nil || v.ID == "" {
			return List{}, oops.Errorf("VM list: malformed VM %q", v.ID)
		}
		out.VMs = append(out.VMs, VM{ID: v.ID, DataCentre: v.DataCentre, Gossip: addr, Leaving: v.Leaving})
	}
	for _, raw := range in.Servers {
		if s, err := decodeServer(raw); err == nil {
			out.BackendServers = append(out.BackendServers, s)
		} else {
			out.Malformed++
		}
	}
	return out, nil
}

func decodeServer(raw json.RawMessage) (BackendServer, error) {
	var s wireServer
	if err := json.Unmarshal(raw, &s); err != nil {
		return BackendServer{}, oops.Wrapf(err, "decode backend server")
	}
	addr, err := netip.ParseAddrPort(s.Addr)
	if err != nil || addr.Port() == 0 || s.ID == "" || s.Slots < 1 || s.Slots > maxSlots || s.MaxConns < 1 || s.MaxConns > maxSlots {
		return BackendServer{}, oops.Errorf("malformed backend server")
	}
	return BackendServer{
		ID:         s.ID,
		Service:    s.Service,
		DataCentre: s.DataCentre,
		Addr:       addr,
		Slots:      s.Slots,
		MaxConns:   s.MaxConns,
		Leaving:    s.Leaving,
	}, nil
}
