// Package lister reads the platform's list of VMs and backend servers. The list lags behind the
// actual state, so an entry is only a hint and does not prove that a VM or server is alive.
package lister

import (
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
	// Slots is the number of requests that the server runs concurrently once warm, at least 1.
	Slots int
	// MaxConns is the number of connections that the server accepts, at least 1.
	MaxConns int
	// Leaving is true once the platform has announced the server's removal.
	Leaving bool
}

// List is the content of the platform's list at one time.
type List struct {
	VMs            []VM
	BackendServers []BackendServer
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
	VMs     []wireVM     `json:"vms"`
	Servers []wireServer `json:"backend-servers"`
}

// Read returns the current list. It returns an error if the list can't be read before deadline
// or if any entry is malformed.
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
	for _, s := range in.Servers {
		addr, err := netip.ParseAddrPort(s.Addr)
		if err != nil || s.ID == "" || s.Slots < 1 || s.MaxConns < 1 {
			return List{}, oops.Errorf("VM list: malformed backend server %q", s.ID)
		}
		out.BackendServers = append(out.BackendServers, BackendServer{
			ID:         s.ID,
			Service:    s.Service,
			DataCentre: s.DataCentre,
			Addr:       addr,
			Slots:      s.Slots,
			MaxConns:   s.MaxConns,
			Leaving:    s.Leaving,
		})
	}
	return out, nil
}
