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

	"github.com/ebonylock/ebonylock/modules/bouncer"
)

// metricsPath is the URL path of the metrics.
const metricsPath = "/metrics"

const (
	// timeout limits the time to read a request and to write the answer.
	timeout = 5 * time.Second
	// idleTimeout is the time without requests after which a connection is closed.
	idleTimeout = time.Minute
	// maxHeader limits the header of a request, in bytes.
	maxHeader = 8 << 10
	// maxInFlight limits the requests for which the metrics are collected at once.
	maxInFlight = 4
)

// Server serves the metrics of a registry.
type Server struct {
	// OnAcceptError is called with errors of accept, at most once a second; the server then tries again.
	// It must be set before Serve; nil to ignore the errors.
	OnAcceptError func(err error)
	limits        bouncer.Limits
	ln            net.Listener
	srv           *http.Server
}

// Listen binds addr. Requests are served once Serve runs.
func Listen(addr netip.AddrPort, reg *prometheus.Registry, limits bouncer.Limits) (*Server, error) {
	ln, err := limits.Bind(addr)
	if err != nil {
		return nil, oops.Wrapf(err, "listen for metrics on %s", addr)
	}
	mux := http.NewServeMux()
	mux.Handle("GET "+metricsPath, promhttp.HandlerFor(reg, promhttp.HandlerOpts{MaxRequestsInFlight: maxInFlight}))
	srv := &http.Server{Handler: mux, ReadTimeout: timeout, WriteTimeout: timeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeader}
	return &Server{ln: ln, limits: limits, srv: srv}, nil
}

// Addr returns the bound address.
func (s *Server) Addr() netip.AddrPort {
	return s.ln.Addr().(*net.TCPAddr).AddrPort()
}

// Serve serves requests until Close is called.
func (s *Server) Serve() error {
	return oops.Wrap(s.srv.Serve(s.limits.Listener(s.ln, s.OnAcceptError)))
}

// Close closes the listener and all connections, which makes Serve return.
func (s *Server) Close() {
	_ = s.srv.Close()
}
