package standin

import (
	"encoding/json"
	"net/netip"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/ebonylock/ebonylock/modules/replier"
)

// Command is a control command to a Group. If several actions are set, only the first of Records,
// Crash, Drain and Hold is carried out.
type Command struct {
	// Records requests the records of all servers.
	Records bool `json:"records,omitempty"`
	// Servers holds the IDs of the servers to act on. If it is empty, the command applies to all.
	Servers []string `json:"servers,omitempty"`
	// Crash crashes the servers, which restart after the given time.
	Crash time.Duration `json:"crash,omitempty"`
	// Drain sets whether the servers refuse new work.
	Drain *bool `json:"drain,omitempty"`
	// Hold replaces the generations that the servers hold.
	Hold []Generation `json:"hold,omitempty"`
}

// Group runs several backend servers in one process and has a listener for control commands.
type Group struct {
	ln *listener

	mu      sync.Mutex
	servers map[string]*Backend
}

// NewGroup starts a server for each configuration, and the listener for control commands.
func NewGroup(cfgs []BackendConfig) (*Group, error) {
	ln, err := listen(0, 0)
	if err != nil {
		return nil, err
	}
	g := &Group{ln: ln, servers: make(map[string]*Backend)}
	for _, cfg := range cfgs {
		b, err := NewBackend(cfg)
		if err != nil {
			return nil, err
		}
		g.servers[cfg.ID] = b
	}
	srv := &fasthttp.Server{Handler: g.handle}
	go func() { _ = srv.Serve(ln) }()
	return g, nil
}

// Addr returns the address for control commands.
func (g *Group) Addr() netip.AddrPort {
	return netip.MustParseAddrPort(g.ln.Addr().String())
}

// ListEntries returns the servers' entries for the platform's list.
func (g *Group) ListEntries() []ListedServer {
	var out []ListedServer
	for _, b := range g.servers {
		out = append(out, b.ListEntry())
	}
	return out
}

// Close closes the listener for control commands and all servers.
func (g *Group) Close() {
	_ = g.ln.Close()
	for _, b := range g.servers {
		b.Close()
	}
}

func (g *Group) handle(ctx *fasthttp.RequestCtx) {
	var c Command
	if err := json.Unmarshal(ctx.PostBody(), &c); err != nil {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	if c.Records {
		out := make(map[string]Record)
		for id, b := range g.servers {
			out[id] = b.Record()
		}
		replier.JSON(ctx, fasthttp.StatusOK, out)
		return
	}
	g.apply(c)
}

func (g *Group) apply(c Command) {
	ids := c.Servers
	if len(ids) == 0 {
		for id := range g.servers {
			ids = append(ids, id)
		}
	}
	for _, id := range ids {
		b := g.servers[id]
		switch {
		case b == nil:
		case c.Crash > 0:
			b.Crash(c.Crash)
		case c.Drain != nil:
			b.Drain(*c.Drain)
		case c.Hold != nil:
			b.Hold(c.Hold)
		}
	}
}
