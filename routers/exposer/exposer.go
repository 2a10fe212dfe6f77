// Package exposer serves a process's metrics.
package exposer

import (
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/samber/oops"
)

// path is that of the metrics.
const path = "/metrics"

// headTimeout limits the reading of a request's head.
const headTimeout = 5 * time.Second

// Server serves the metrics of a registry.
type Server struct {
	ln  net.Listener
	srv *http.Server
}

// Listen binds addr.
func Listen(addr netip.AddrPort, reg *prometheus.Registry) (*Server, error) {
	ln, err := net.Listen("tcp4", addr.String())
	if err != nil {
		return nil, oops.Wrapf(err, "listen for metrics on %s", addr)
	}
	mux := http.NewServeMux()
	mux.Handle("GET "+path, promhttp.HandlerFor(reg, promhttp.HandlerOpts{}))
	return &Server{ln: ln, srv: &http.Server{Handler: mux, ReadHeaderTimeout: headTimeout}}, nil
}

// Addr is the address that was bound.
func (s *Server) Addr() netip.AddrPort {
	return s.ln.Addr().(*net.TCPAddr).AddrPort()
}

// Serve serves until Close.
func (s *Server) Serve() error {
	return oops.Wrap(s.srv.Serve(s.ln))
}

// Close ends Serve.
func (s *Server) Close() {
	_ = s.srv.Close()
}
