// Package answerer serves the HTTP API for callers: searches, requests and tickets.
package answerer

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"strings"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/samber/oops"
	"github.com/valyala/fasthttp"

	"github.com/ebonylock/ebonylock/modules/bouncer"
	"github.com/ebonylock/ebonylock/modules/replier"
	"github.com/ebonylock/ebonylock/services/linker"
	"github.com/ebonylock/ebonylock/services/scatterer"
)

// Searcher runs searches.
type Searcher interface {
	Search(ctx context.Context, q scatterer.Query) (scatterer.Answer, error)
}

// Submitter runs non-idempotent requests at most once.
type Submitter interface {
	// Submit runs x and returns the HTTP status and the JSON body of the response.
	Submit(ctx context.Context, x linker.Execute) (int, []byte)
	// Mint returns a new ticket, encoded as text.
	Mint() string
}

// Services looks up services.
type Services interface {
	// HasService reports whether at least one backend server serves the named service.
	HasService(name string) bool
}

// Config is the configuration of a Server.
type Config struct {
	// Listen is the address to bind; port 0 selects a free port.
	Listen netip.AddrPort
	// MaxBody is the largest accepted request body, in bytes.
	MaxBody int
	// DefaultDeadline applies to requests without a deadline of their own.
	DefaultDeadline time.Duration
	// MaxDeadline is the longest deadline that a request may ask for.
	MaxDeadline time.Duration
	// MaxInFlight limits the concurrent requests; those above it are refused.
	MaxInFlight int
	// Limits limits what the connections make the process hold.
	Limits bouncer.Limits
}

// ReadTimeout limits the time to read one request, including its body.
const ReadTimeout = 10 * time.Second

// retryAfterMs is the delay before a retry, in milliseconds, that each refusal with status 503 asks for.
const retryAfterMs = 100

// Server is the HTTP server for callers.
type Server struct {
	// OnAcceptError is called with errors of accept, at most once a second; the server then tries again.
	// It must be set before Serve; nil to ignore the errors.
	OnAcceptError func(err error)
	cfg           Config
	search        Searcher
	submit        Submitter
	services      Services
	srv           *fasthttp.Server
	ln            net.Listener
	// draining is true once the connection is closed after each answer.
	draining atomic.Bool
	inFlight atomic.Int64
	refusals *prometheus.CounterVec
}

// Listen binds cfg.Listen. Requests are served once Serve runs.
func Listen(cfg Config, search Searcher, submit Submitter, services Services) (*Server, error) {
	ln, err := cfg.Limits.Bind(cfg.Listen)
	if err != nil {
		return nil, oops.Wrapf(err, "listen for callers")
	}
	s := &Server{
		cfg:      cfg,
		search:   search,
		submit:   submit,
		services: services,
		ln:       ln,
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "ebonylock_refusals_total",
			Help: "Callers' requests refused by this VM, by code.",
		}, []string{"code"}),
	}
	s.srv = &fasthttp.Server{
		Handler:               s.handle,
		ErrorHandler:          s.badRequest,
		ReadTimeout:           ReadTimeout,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
	}
	bouncer.Configure(s.srv)
	return s, nil
}

// Addr returns the bound address.
func (s *Server) Addr() netip.AddrPort {
	return netip.MustParseAddrPort(s.ln.Addr().String())
}

// Serve serves requests until Shutdown is called.
func (s *Server) Serve() error {
	return oops.Wrapf(s.srv.Serve(s.cfg.Limits.Listener(s.ln, s.OnAcceptError)), "serve callers")
}

// Drain closes each connection after its next answer, and tells callers so. Shutdown then finds few connections on
// which a request may just be arriving.
func (s *Server) Drain() {
	s.draining.Store(true)
}

// Shutdown stops accepting connections and waits for the requests in progress, until ctx is done.
func (s *Server) Shutdown(ctx context.Context) error {
	return oops.Wrapf(s.srv.ShutdownWithContext(ctx), "stop serving callers")
}

// Register registers the server's metrics with r.
func (s *Server) Register(r prometheus.Registerer) {
	r.MustRegister(s.refusals, prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "ebonylock_requests_in_flight",
		Help: "Callers' requests under way.",
	}, func() float64 { return float64(s.inFlight.Load()) }))
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	search, isSearch := strings.CutPrefix(path, "/v1/search/")
	service, isRequest := strings.CutPrefix(path, "/v1/request/")
	if s.draining.Load() {
		ctx.SetConnectionClose()
	}
	var body []byte
	if ctx.IsPost() && (isSearch || isRequest) {
		// A request that is still arriving is not in flight, as it may never be complete.
		var err error
		if body, err = bouncer.ReadBody(ctx, s.cfg.MaxBody); err != nil {
			s.badRequest(ctx, err)
			return
		}
	}
	defer bouncer.Serve(ctx)()
	defer s.inFlight.Add(-1)
	if s.inFlight.Add(1) > int64(s.cfg.MaxInFlight) {
		outcome := outcomeNotRun
		if isRequest {
			// The body may hold a ticket that was used before.
			outcome = outcomeUnknown
		}
		s.refuseWith(ctx, outcome, fasthttp.StatusServiceUnavailable, "overload", "too many requests under way at this VM")
		return
	}
	switch {
	case isSearch && ctx.IsPost():
		s.serveSearch(ctx, search, body)
	case isRequest && ctx.IsPost():
		s.serveRequest(ctx, service, body)
	case path == "/v1/ticket" && ctx.IsPost():
		replier.JSON(ctx, fasthttp.StatusOK, wireTicket{s.submit.Mint()})
	case isSearch, isRequest, path == "/v1/ticket":
		s.refuse(ctx, fasthttp.StatusMethodNotAllowed, "method-not-allowed", "use POST")
	default:
		s.refuse(ctx, fasthttp.StatusNotFound, "unknown-path", "no such path")
	}
}

// badRequest answers a request that could not be read or whose body is too large, and ends its connection.
func (s *Server) badRequest(ctx *fasthttp.RequestCtx, err error) {
	ctx.SetConnectionClose()
	if errors.Is(err, bouncer.ErrTooLarge) {
		s.refuse(ctx, fasthttp.StatusRequestEntityTooLarge, "body-too-large", "request body is above the limit")
		return
	}
	s.refuse(ctx, fasthttp.StatusBadRequest, "malformed-request", "request is not valid HTTP")
}

// Outcomes of refused requests. A request with a ticket may have run when it was sent before, which
// only the VM that issued the ticket knows.
const (
	outcomeNotRun  = "not-run"
	outcomeUnknown = "unknown"
)

// refuse answers a request that was not run, and counts it by code.
func (s *Server) refuse(ctx *fasthttp.RequestCtx, status int, code, message string) {
	s.refuseWith(ctx, outcomeNotRun, status, code, message)
}

// refuseWith is like refuse with the given outcome. A refusal with status 503 also has the delay
// before a retry.
func (s *Server) refuseWith(ctx *fasthttp.RequestCtx, outcome string, status int, code, message string) {
	s.refusals.WithLabelValues(code).Inc()
	w := wireRefusal{Outcome: outcome, Error: wireError{Code: code, Message: message}}
	if status == fasthttp.StatusServiceUnavailable {
		w.RetryAfter = retryAfterMs
	}
	replier.JSON(ctx, status, w)
}

// deadline returns the deadline of a request that arrived at now and asks for ms milliseconds; nil
// stands for the default. It returns false if ms is out of range.
func (s *Server) deadline(now time.Time, ms *int64) (time.Time, bool) {
	if ms == nil {
		return now.Add(s.cfg.DefaultDeadline), true
	}
	if *ms < 1 || *ms > s.cfg.MaxDeadline.Milliseconds() {
		return time.Time{}, false
	}
	return now.Add(time.Duration(*ms) * time.Millisecond), true
}

func (s *Server) serveSearch(ctx *fasthttp.RequestCtx, name string, body []byte) {
	now := time.Now()
	var in wireSearch
	if err := decode(body, &in); err != nil {
		s.refuse(ctx, fasthttp.StatusBadRequest, "malformed-body", err.Error())
		return
	}
	deadline, ok := s.deadline(now, in.Deadline)
	switch {
	case !ok:
		s.refuse(ctx, fasthttp.StatusBadRequest, "bad-deadline", "deadline-ms is out of range")
		return
	case in.MinCoverage != nil && !(*in.MinCoverage >= 0 && *in.MinCoverage <= 1):
		s.refuse(ctx, fasthttp.StatusBadRequest, "bad-coverage", "min-coverage is not within 0 and 1")
		return
	case in.Mode != "" && in.Mode != "fast" && in.Mode != "full":
		s.refuse(ctx, fasthttp.StatusBadRequest, "bad-mode", "mode is neither fast nor full")
		return
	}
	q := scatterer.Query{Search: name, Body: in.Query, Deadline: deadline, MinCoverage: in.MinCoverage}
	if in.Mode != "" {
		fast := in.Mode == "fast"
		q.Fast = &fast
	}
	answer, err := s.search.Search(context.Background(), q)
	switch {
	case errors.Is(err, scatterer.ErrUnknownSearch):
		s.refuse(ctx, fasthttp.StatusNotFound, "unknown-search", "no intent defines this search")
	case errors.Is(err, scatterer.ErrNotReady):
		s.refuse(ctx, fasthttp.StatusServiceUnavailable, "not-ready", "this VM is not ready")
	case err != nil:
		s.refuse(ctx, fasthttp.StatusServiceUnavailable, "overload", "backend servers are overloaded")
	default:
		replier.JSON(ctx, fasthttp.StatusOK, toWireAnswer(&answer))
	}
}

func (s *Server) serveRequest(ctx *fasthttp.RequestCtx, service string, body []byte) {
	now := time.Now()
	var in wireRequest
	if err := decode(body, &in); err != nil {
		s.refuse(ctx, fasthttp.StatusBadRequest, "malformed-body", err.Error())
		return
	}
	outcome := outcomeNotRun
	if in.Ticket != "" {
		outcome = outcomeUnknown
	}
	deadline, ok := s.deadline(now, in.Deadline)
	if !ok {
		s.refuseWith(ctx, outcome, fasthttp.StatusBadRequest, "bad-deadline", "deadline-ms is out of range")
		return
	}
	// This VM may have just started and not know the service yet. With a ticket, the VM that issued
	// it decides.
	if in.Ticket == "" && !s.services.HasService(service) {
		s.refuse(ctx, fasthttp.StatusNotFound, "unknown-service", "no backend server serves this service")
		return
	}
	x := linker.Execute{Ticket: in.Ticket, Service: service, Body: in.Request, Deadline: deadline}
	run, stop := context.WithDeadline(context.Background(), deadline)
	defer stop()
	status, answer := s.submit.Submit(run, x)
	replier.Raw(ctx, status, answer)
}
