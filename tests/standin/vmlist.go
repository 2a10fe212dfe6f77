package standin

import (
	"encoding/json"
	"net/netip"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/ebonylock/ebonylock/modules/replier"
)

// VM is the list entry of an entry VM.
type VM struct {
	ID         string `json:"id"`
	DataCentre string `json:"data-centre"`
	Gossip     string `json:"gossip"`
	Leaving    bool   `json:"leaving"`
}

// ListedServer is the list entry of a backend server.
type ListedServer struct {
	ID         string `json:"id"`
	Service    string `json:"service"`
	DataCentre string `json:"data-centre"`
	Addr       string `json:"address"`
	Slots      int    `json:"slots"`
	MaxConns   int    `json:"max-connections"`
	Leaving    bool   `json:"leaving"`
}

// List is the content of the platform's list.
type List struct {
	VMs     []VM           `json:"vms"`
	Servers []ListedServer `json:"backend-servers"`
}

// VMList is a stand-in for the service of the platform that lists VMs and backend servers.
type VMList struct {
	// Lag is the time after which a change becomes visible.
	Lag time.Duration
	ln  *listener
	srv *fasthttp.Server

	mu   sync.Mutex
	list List
}

// NewVMList starts an empty list on a free port of the loopback address.
func NewVMList() (*VMList, error) {
	ln, err := listen(0, 0)
	if err != nil {
		return nil, err
	}
	l := &VMList{ln: ln}
	l.srv = &fasthttp.Server{Handler: l.handle, MaxRequestBodySize: 4 << 20}
	go func() { _ = l.srv.Serve(ln) }()
	return l, nil
}

// Addr returns the list's address.
func (l *VMList) Addr() netip.AddrPort {
	return netip.MustParseAddrPort(l.ln.Addr().String())
}

// Close closes the listener and all connections.
func (l *VMList) Close() {
	_ = l.ln.Close()
	l.ln.closeConns()
}

// Set replaces the content after Lag, or at once if the present list has no VMs.
func (l *VMList) Set(list List) {
	l.mu.Lock()
	empty := len(l.list.VMs) == 0
	l.mu.Unlock()
	put := func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.list = list
	}
	if empty || l.Lag == 0 {
		put()
		return
	}
	time.AfterFunc(l.Lag, put)
}

func (l *VMList) handle(ctx *fasthttp.RequestCtx) {
	if ctx.IsPut() {
		var in List
		if err := json.Unmarshal(ctx.PostBody(), &in); err != nil {
			ctx.SetStatusCode(fasthttp.StatusBadRequest)
			return
		}
		l.Set(in)
		return
	}
	l.mu.Lock()
	list := l.list
	l.mu.Unlock()
	replier.JSON(ctx, fasthttp.StatusOK, list)
}
