// Package submitter runs non-idempotent requests at most once, by tickets.
package submitter

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/ebonylock/ebonylock/modules/executor"
	"github.com/ebonylock/ebonylock/modules/locator"
	"github.com/ebonylock/ebonylock/modules/prober"
	"github.com/ebonylock/ebonylock/modules/quarantiner"
	"github.com/ebonylock/ebonylock/modules/ticketer"
	"github.com/ebonylock/ebonylock/services/dispatcher"
	"github.com/ebonylock/ebonylock/services/linker"
	"github.com/ebonylock/ebonylock/services/scatterer"
)

const (
	// ticketLife is the time for which a ticket starts a run.
	ticketLife = 2 * time.Minute
	// maxTries limits the servers that a request is offered to.
	maxTries = 6
)

// Remote runs a request at the VM that made its ticket.
type Remote interface {
	Execute(ctx context.Context, x linker.Execute) (linker.Executed, error)
}

// Peers gives the way to other VMs.
type Peers interface {
	scatterer.Fleet
	// Remote returns the way to a member.
	Remote(m prober.Member) Remote
}

// Submitter runs non-idempotent requests.
type Submitter struct {
	table   *ticketer.Table
	keys    [][]byte
	peers   Peers
	results *prometheus.CounterVec
}

// New returns a Submitter for this incarnation; the first of keys signs tickets.
func New(vm string, incarnation uint64, keys [][]byte, peers Peers) *Submitter {
	return &Submitter{
		table: &ticketer.Table{VM: vm, Incarnation: incarnation},
		keys:  keys,
		peers: peers,
		results: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "ebonylock_requests_total",
			Help: "Answers to non-idempotent requests, by outcome.",
		}, []string{"outcome"}),
	}
}

// Register adds the submitter's metrics to r.
func (s *Submitter) Register(r prometheus.Registerer) {
	r.MustRegister(s.results)
}

// Mint returns a fresh ticket in text form.
func (s *Submitter) Mint() string {
	return s.table.Mint(time.Now(), ticketLife).Encode(s.keys[0])
}

// Outcomes of a request.
const (
	// OutcomeDone says that the request ran once.
	OutcomeDone = "done"
	// OutcomeNotRun says that the request did not run and never will under its ticket.
	OutcomeNotRun = "not-run"
	// OutcomeUnknown says that the request ran once or not at all.
	OutcomeUnknown = "unknown"
)

// Answer is the answer to a request.
type Answer struct {
	// Outcome is one of OutcomeDone, OutcomeNotRun and OutcomeUnknown.
	Outcome string
	// Code is a stable code of the reason unless the outcome is OutcomeDone.
	Code string
	// Results are JSON documents.
	Results [][]byte
	// Ticket is a fresh ticket for another try, given with OutcomeNotRun.
	Ticket string
}

type wireAnswer struct {
	Outcome string            `json:"outcome"`
	Code    string            `json:"code,omitempty"`
	Results []json.RawMessage `json:"results,omitempty"`
	Ticket  string            `json:"ticket,omitempty"`
}

// Encode returns the HTTP status and the JSON form of a.
func (a Answer) Encode() (int, []byte) {
	w := wireAnswer{Outcome: a.Outcome, Code: a.Code, Ticket: a.Ticket}
	for _, r := range a.Results {
		w.Results = append(w.Results, r)
	}
	body, err := json.Marshal(w)
	if err != nil {
		return http.StatusInternalServerError, []byte(`{"outcome":"unknown","code":"corrupt-reply"}`)
	}
	return a.status(), body
}

func (a Answer) status() int {
	switch {
	case a.Outcome == OutcomeDone:
		return http.StatusOK
	case a.Outcome == OutcomeUnknown:
		return http.StatusGatewayTimeout
	case a.Code == "missing-ticket":
		return http.StatusPreconditionRequired
	case a.Code == "malformed-ticket", a.Code == "ticket-mismatch", a.Code == "unknown-service":
		return http.StatusBadRequest
	}
	return http.StatusServiceUnavailable
}

func (s *Submitter) refuse(code string) (int, []byte) {
	s.results.WithLabelValues(OutcomeNotRun).Inc()
	return Answer{Outcome: OutcomeNotRun, Code: code, Ticket: s.Mint()}.Encode()
}

func (s *Submitter) unknown(code string) (int, []byte) {
	s.results.WithLabelValues(OutcomeUnknown).Inc()
	return Answer{Outcome: OutcomeUnknown, Code: code}.Encode()
}

// Submit answers a caller's request and returns the HTTP status and the JSON body.
func (s *Submitter) Submit(ctx context.Context, x linker.Execute) (int, []byte) {
	if x.Ticket == "" {
		return s.refuse("missing-ticket")
	}
	k, err := ticketer.Parse(x.Ticket, s.keys...)
	if err != nil {
		return s.refuse("malformed-ticket")
	}
	if k.VM == s.table.VM && k.Incarnation == s.table.Incarnation {
		out := s.Execute(ctx, x)
		return out.Status, out.Body
	}
	view := s.peers.View()
	if view == nil {
		return s.unknown("not-ready")
	}
	m, ok := view.VMs[k.VM]
	if !ok || m.Incarnation != k.Incarnation {
		return s.unknown("ticket-holder-gone")
	}
	out, err := s.peers.Remote(m).Execute(ctx, x)
	if err != nil {
		return s.unknown("ticket-holder-unreachable")
	}
	return out.Status, out.Body
}

// Execute runs a request whose ticket this incarnation made.
func (s *Submitter) Execute(ctx context.Context, x linker.Execute) linker.Executed {
	status, body := s.execute(ctx, x)
	return linker.Executed{Status: status, Body: body}
}

func (s *Submitter) execute(ctx context.Context, x linker.Execute) (int, []byte) {
	k, err := ticketer.Parse(x.Ticket, s.keys...)
	if err != nil {
		return s.refuse("malformed-ticket")
	}
	request := append([]byte(x.Service+"\x00"), x.Body...)
	out, ok, err := s.table.Do(k, request, time.Now(), ctx.Done(), func() ticketer.Outcome { return s.run(x) })
	switch {
	case errors.Is(err, ticketer.ErrExpired):
		return s.refuse("ticket-expired")
	case errors.Is(err, ticketer.ErrMismatch):
		return s.refuse("ticket-mismatch")
	case err != nil:
		return s.unknown("ticket-holder-gone")
	case !ok:
		return s.unknown("timeout")
	}
	return out.Status, out.Body
}

// run offers the request to one server after the other until one may have run it.
func (s *Submitter) run(x linker.Execute) ticketer.Outcome {
	answer := s.dispatch(x)
	s.results.WithLabelValues(answer.Outcome).Inc()
	if answer.Outcome == OutcomeNotRun {
		answer.Ticket = s.Mint()
	}
	status, body := answer.Encode()
	return ticketer.Outcome{Status: status, Body: body}
}

func (s *Submitter) dispatch(x linker.Execute) Answer {
	ctx, stop := context.WithDeadline(context.Background(), x.Deadline)
	defer stop()
	view := s.peers.View()
	if view == nil {
		return Answer{Outcome: OutcomeNotRun, Code: "not-ready"}
	}
	servers := usable(view, x.Service)
	if len(servers) == 0 {
		return Answer{Outcome: OutcomeNotRun, Code: "no-backend-server"}
	}
	fingerprint := quarantiner.FingerprintOf(x.Service, x.Body)
	// A request sent again meets the same owner first, which knows of servers that it lost.
	start := int(uint64(fingerprint) % uint64(len(servers)))
	last := Answer{Outcome: OutcomeNotRun, Code: "timeout"}
	for i := range min(maxTries, 2*len(servers)) {
		if ctx.Err() != nil {
			break
		}
		server := servers[(start+i)%len(servers)]
		e := s.offer(ctx, view, server, fingerprint, x)
		if e.Err == nil {
			return Answer{Outcome: OutcomeDone, Results: e.Reply.Results}
		}
		last = Answer{Outcome: OutcomeNotRun, Code: dispatcher.Code(e.Err)}
		if !errors.Is(e.Err, executor.ErrNotRun) {
			last.Outcome = OutcomeUnknown
			return last
		}
		if errors.Is(e.Err, dispatcher.ErrQuarantined) {
			return last
		}
	}
	return last
}

func usable(view *locator.View, service string) []string {
	var out []string
	for _, id := range view.Usable[service] {
		if _, owned := view.Owners[id]; owned {
			out = append(out, id)
		}
	}
	return out
}

// offer makes one try at one server. The try's outcome is unknown when ctx ends first.
func (s *Submitter) offer(ctx context.Context, view *locator.View, server string, fingerprint quarantiner.Fingerprint, x linker.Execute) dispatcher.Event {
	sub := dispatcher.Subrequest{
		Server:      server,
		ID:          uuid.NewString(),
		Service:     x.Service,
		Body:        x.Body,
		Deadline:    x.Deadline,
		Fingerprint: fingerprint,
	}
	out := dispatcher.Event{Err: errors.Join(executor.ErrUnknownOutcome, executor.ErrTimeout)}
	got := make(chan dispatcher.Event, 2)
	owner := s.peers.Owner(view.Owners[server])
	go func() {
		_ = owner.Dispatch(ctx, []dispatcher.Subrequest{sub}, nil, func(e dispatcher.Event) { got <- e })
	}()
	select {
	case out = <-got:
	case <-ctx.Done():
	}
	return out
}
