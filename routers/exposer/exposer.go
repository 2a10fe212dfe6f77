// Package exposer serves the Prometheus metrics of a process over HTTP.
package exposer

import (
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/samber/oops"

	"github.com/ebonylock/ebonylock/modules/accepter"
)

// metricsPath is the URL path of the metrics.
const metricsPath = "/metrics"

// readHeaderTimeout limits the time to read the header of a request.
const readHeaderTimeout = 5 * time.Second

// Server serves the metrics of a registry.
type Server struct {
	// OnAcceptError is called with errors of accept, at most once a second; the server then tries again.
	// It must be set before Serve; nil to ignore the errors.
	OnAcceptError func(err error)
	ln            net.Listener
	srv           *http.Server
}

// Listen binds addr. Requests are served once Serve runs.
func Listen(addr netip.AddrPort, reg *prometheus.Registry) (*Server, error) {
	ln, err := net.Listen("tcp4", addr.String())
	if err != nil {
		return nil, oops.Wrapf(err, "listen for metrics on %s", addr)
	}
	mux := http.NewServeMux()
	mux.Handle("GET "+metricsPath, promhttp.HandlerFor(reg, promhttp.HandlerOpts{}))
	return &Server{ln: ln, srv: &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout}}, nil
}

// Addr returns the bound address.
func (s *Server) Addr() netip.AddrPort {
	return s.ln.Addr().(*net.TCPAddr).AddrPort()
}

// Serve serves requests until Close is called.
func (s *Server) Serve() error {
	return oops.Wrap(s.srv.Serve(&accepter.Listener{Listener: s.ln, OnError: s.OnAcceptError}))
}

// Close closes the listener and all connections, which makes Serve return.
func (s *Server) Close() {
	_ = s.srv.Close()
}
