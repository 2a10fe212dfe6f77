// Package controller serves the HTTP API for operators: health, metrics, status, the timeline and
// intents.
package controller

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"errors"
	"net"
	"net/netip"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/samber/oops"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"

	"github.com/ebonylock/ebonylock/modules/bouncer"
	"github.com/ebonylock/ebonylock/modules/loader"
	"github.com/ebonylock/ebonylock/modules/locator"
	"github.com/ebonylock/ebonylock/modules/planner"
	"github.com/ebonylock/ebonylock/modules/recorder"
	"github.com/ebonylock/ebonylock/modules/replier"
	"github.com/ebonylock/ebonylock/services/configurer"
	"github.com/ebonylock/ebonylock/services/dispatcher"
)

// Fleet gives access to the state of the fleet and of this VM.
type Fleet interface {
	// View returns the current view of the fleet, or nil before the first one.
	View() *locator.View
	// Ready reports whether this VM can answer callers.
	Ready() bool
	// Revisions asks every live VM for the configuration revision in force there, and returns
	// them by VM ID. VMs that did not answer are left out.
	Revisions(ctx context.Context) map[string]uint64
	// Statuses returns the status of each backend server that this VM owns.
	Statuses() []dispatcher.Status
	// Stop starts the graceful shutdown of this VM.
	Stop()
}

// Configs reads and changes the configuration of the fleet.
type Configs interface {
	// Current returns the configuration in force, and false if none is known.
	Current() (planner.Config, bool)
	// Confirm writes the configuration that results from p to the store, by deadline. Errors
	// match planner.ErrConflict, configurer.ErrStoreBehind, configurer.ErrStoreDown (nothing was
	// changed in these cases) or configurer.ErrUnknownOutcome.
	Confirm(p planner.Plan, deadline time.Time) error
}

// Config is the configuration of a Server.
type Config struct {
	// Listen is the address to bind; port 0 selects a free port.
	Listen netip.AddrPort
	// Tokens are the operators' names and the hashes of their tokens.
	Tokens []loader.Token
	// VM is the ID of this VM.
	VM string
	// Limits limits what the connections make the process hold.
	Limits bouncer.Limits
}

const (
	// maxBody is the largest accepted request body, in bytes.
	maxBody = 2 << 20
	// readTimeout limits the time to read one request, including its body.
	readTimeout = 10 * time.Second
	// confirmTimeout limits the time to write a confirmed plan to the store.
	confirmTimeout = 8 * time.Second
	// inForceTimeout limits the wait for a confirmed revision to be in force at every VM.
	inForceTimeout = 5 * time.Second
	// inForcePollInterval is the time between two checks during that wait.
	inForcePollInterval = 100 * time.Millisecond
)

// Server is the HTTP server for operators.
type Server struct {
	// OnAcceptError is called with errors of accept, at most once a second; the server then tries again.
	// It must be set before Serve; nil to ignore the errors.
	OnAcceptError func(err error)
	cfg           Config
	fleet         Fleet
	configs       Configs
	ring          *recorder.Ring
	srv           *fasthttp.Server
	ln            net.Listener
	metrics       fasthttp.RequestHandler
}

// Listen binds cfg.Listen. Requests are served once Serve runs.
func Listen(cfg Config, fleet Fleet, configs Configs, ring *recorder.Ring, reg *prometheus.Registry) (*Server, error) {
	ln, err := cfg.Limits.Bind(cfg.Listen)
	if err != nil {
		return nil, oops.Wrapf(err, "listen for operators")
	}
	s := &Server{
		cfg:     cfg,
		fleet:   fleet,
		configs: configs,
		ring:    ring,
		ln:      ln,
		metrics: fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(reg, promhttp.HandlerOpts{})),
	}
	s.srv = &fasthttp.Server{
		Handler:               s.handle,
		ReadTimeout:           readTimeout,
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
	return oops.Wrapf(s.srv.Serve(s.cfg.Limits.Listener(s.ln, s.OnAcceptError)), "serve operators")
}

// Shutdown stops accepting connections and waits for the requests in progress, until ctx is done.
func (s *Server) Shutdown(ctx context.Context) error {
	return oops.Wrapf(s.srv.ShutdownWithContext(ctx), "stop serving operators")
}

// handle serves the health checks and the metrics without authentication, and all other paths only
// with an operator's token.
func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/livez":
		ctx.SetBodyString("alive\n")
		return
	case "/readyz":
		s.serveReady(ctx)
		return
	case "/metrics":
		s.metrics(ctx)
		return
	}
	name, ok := s.authenticate(ctx)
	if !ok {
		writeError(ctx, fasthttp.StatusUnauthorized, "unauthorized", "an operator's token is needed")
		return
	}
	s.route(ctx, name)
}

func (s *Server) route(ctx *fasthttp.RequestCtx, operator string) {
	switch string(ctx.Method()) + " " + string(ctx.Path()) {
	case "GET /v1/status":
		s.status(ctx)
	case "GET /v1/timeline":
		s.timeline(ctx)
	case "POST /v1/intent/plan":
		s.plan(ctx, operator)
	case "POST /v1/intent/confirm":
		s.confirm(ctx)
	case "GET /v1/intent/status":
		s.intentStatus(ctx)
	case "POST /v1/vm/stop":
		s.fleet.Stop()
		replier.JSON(ctx, fasthttp.StatusAccepted, map[string]string{"vm": s.cfg.VM, "state": "stopping"})
	default:
		writeError(ctx, fasthttp.StatusNotFound, "unknown-path", "no such path or method")
	}
}

// authenticate returns the name of the operator whose bearer token the request has, and false if the
// token is missing or unknown.
func (s *Server) authenticate(ctx *fasthttp.RequestCtx) (string, bool) {
	token, ok := strings.CutPrefix(string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization)), "Bearer ")
	if !ok {
		return "", false
	}
	sum := sha256.Sum256([]byte(token))
	for _, t := range s.cfg.Tokens {
		if subtle.ConstantTimeCompare(sum[:], t.Hash[:]) == 1 {
			return t.Name, true
		}
	}
	return "", false
}

func (s *Server) serveReady(ctx *fasthttp.RequestCtx) {
	if !s.fleet.Ready() {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		ctx.SetBodyString("not ready\n")
		return
	}
	ctx.SetBodyString("ready\n")
}

type wireError struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

type wireErrorBody struct {
	Error wireError `json:"error"`
}

func writeError(ctx *fasthttp.RequestCtx, status int, code, message string) {
	replier.JSON(ctx, status, wireErrorBody{wireError{code, message}})
}

// readBody returns the body of a request. If it can't be read, it answers the request and returns false.
func readBody(ctx *fasthttp.RequestCtx) ([]byte, bool) {
	body, err := bouncer.ReadBody(ctx, maxBody)
	switch {
	case errors.Is(err, bouncer.ErrTooLarge):
		writeError(ctx, fasthttp.StatusRequestEntityTooLarge, "body-too-large", err.Error())
	case err != nil:
		writeError(ctx, fasthttp.StatusBadRequest, "malformed-request", "request body can't be read")
	}
	if err != nil {
		ctx.SetConnectionClose()
	}
	return body, err == nil
}

func (s *Server) plan(ctx *fasthttp.RequestCtx, operator string) {
	cfg, known := s.configs.Current()
	view := s.fleet.View()
	if !known || view == nil {
		writeError(ctx, fasthttp.StatusServiceUnavailable, "not-ready", "this VM knows no configuration or no VM list")
		return
	}
	body, ok := readBody(ctx)
	if !ok {
		return
	}
	intent, err := planner.DecodeIntent(body)
	if err != nil {
		writeError(ctx, fasthttp.StatusBadRequest, "invalid-intent", err.Error())
		return
	}
	var replicas []planner.Replica
	for _, b := range view.Servers {
		replicas = append(replicas, planner.Replica{Service: b.Service, DataCentre: b.DataCentre, Slots: b.Slots, Leaving: b.Leaving})
	}
	p, err := planner.Make(cfg, intent, replicas, operator, time.Now())
	if err != nil {
		writeError(ctx, fasthttp.StatusBadRequest, "invalid-intent", err.Error())
		return
	}
	s.writePlan(ctx, p)
}

func (s *Server) writePlan(ctx *fasthttp.RequestCtx, p planner.Plan) {
	raw, err := planner.EncodePlan(p)
	if err != nil {
		writeError(ctx, fasthttp.StatusInternalServerError, "internal", err.Error())
		return
	}
	replier.Raw(ctx, fasthttp.StatusOK, raw)
}

func (s *Server) confirm(ctx *fasthttp.RequestCtx) {
	body, ok := readBody(ctx)
	if !ok {
		return
	}
	p, err := planner.DecodePlan(body)
	if err != nil || p.ID == "" {
		writeError(ctx, fasthttp.StatusBadRequest, "invalid-plan", "body is not a plan")
		return
	}
	err = s.configs.Confirm(p, time.Now().Add(confirmTimeout))
	switch {
	case errors.Is(err, planner.ErrConflict):
		writeError(ctx, fasthttp.StatusConflict, "conflict", err.Error())
	case errors.Is(err, configurer.ErrStoreBehind):
		writeError(ctx, fasthttp.StatusConflict, "store-behind", err.Error())
	case errors.Is(err, configurer.ErrStoreDown):
		writeError(ctx, fasthttp.StatusServiceUnavailable, "store-down", err.Error())
	case err != nil:
		writeError(ctx, fasthttp.StatusGatewayTimeout, "unknown-outcome", err.Error())
	default:
		s.waitInForce(ctx, p.Result.Revision)
	}
}

// waitInForce responds once the revision is in force at every VM. After inForceTimeout it responds
// with the status at that time.
func (s *Server) waitInForce(ctx *fasthttp.RequestCtx, revision uint64) {
	deadline := time.Now().Add(inForceTimeout)
	for {
		w := s.revisionStatus(revision)
		if len(w.Behind)+len(w.Unheard) == 0 || time.Now().After(deadline) {
			replier.JSON(ctx, fasthttp.StatusOK, w)
			return
		}
		time.Sleep(inForcePollInterval)
	}
}
