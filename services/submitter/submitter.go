// Package submitter runs non-idempotent requests at most once. Each request carries a ticket, and only the VM
// incarnation that issued the ticket runs the request.
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
	// ticketTTL is the time after its issue during which a ticket can start a run.
	ticketTTL = 2 * time.Minute
	// maxTries limits the number of times that a request is sent to a server.
	maxTries = 6
)

// Remote runs a request on the VM that issued its ticket.
type Remote interface {
	Execute(ctx context.Context, x linker.Execute) (linker.Executed, error)
}

// Peers gives access to the other VMs.
type Peers interface {
	scatterer.Fleet
	// Remote returns the client for a member.
	Remote(m prober.Member) Remote
}

// Submitter runs non-idempotent requests.
type Submitter struct {
	table   *ticketer.Table
	keys    [][]byte
	peers   Peers
	results *prometheus.CounterVec
}

// New returns a Submitter for this incarnation of the VM. The first of keys signs tickets; tickets signed with
// any of keys are accepted.
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

// Mint issues a ticket and returns it in text form.
func (s *Submitter) Mint() string {
	return s.table.Mint(time.Now(), ticketTTL).Encode(s.keys[0])
}

// Outcomes of a request.
const (
	// OutcomeDone means that the request ran once.
	OutcomeDone = "done"
	// OutcomeNotRun means that the request did not run and never will with its ticket.
	OutcomeNotRun = "not-run"
	// OutcomeUnknown means that the request ran once or not at all.
	OutcomeUnknown = "unknown"
)

// Answer is the answer to a request.
type Answer struct {
	// Outcome is one of OutcomeDone, OutcomeNotRun and OutcomeUnknown.
	Outcome string
	// Code is a stable code for the reason; it is empty if the outcome is OutcomeDone.
	Code string
	// Results are JSON documents.
	Results [][]byte
	// Ticket is a new ticket for another try. It is set if the outcome is OutcomeNotRun.
	Ticket string
}

// wireAnswer is the JSON form of an Answer.
type wireAnswer struct {
	Outcome string            `json:"outcome"`
	Code    string            `json:"code,omitempty"`
	Results []json.RawMessage `json:"results,omitempty"`
	Ticket  string            `json:"ticket,omitempty"`
}

// Encode returns the HTTP status and the JSON body for the answer.
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

// refuse counts and encodes an answer for a request that was not run.
func (s *Submitter) refuse(code string) (int, []byte) {
	s.results.WithLabelValues(OutcomeNotRun).Inc()
	return Answer{Outcome: OutcomeNotRun, Code: code, Ticket: s.Mint()}.Encode()
}

// unknown counts and encodes an answer for a request that may have run.
func (s *Submitter) unknown(code string) (int, []byte) {
	s.results.WithLabelValues(OutcomeUnknown).Inc()
	return Answer{Outcome: OutcomeUnknown, Code: code}.Encode()
}

// Submit runs a caller's request here or on the VM that issued its ticket. It returns the HTTP status and the
// JSON body of the answer.
func (s *Submitter) Submit(ctx context.Context, x linker.Execute) (int, []byte) {
	if x.Ticket == "" {
		return s.refuse("missing-ticket")
	}
	ticket, err := ticketer.Parse(x.Ticket, s.keys...)
	if err != nil {
		return s.refuse("malformed-ticket")
	}
	if ticket.VM == s.table.VM && ticket.Incarnation == s.table.Incarnation {
		out := s.Execute(ctx, x)
		return out.Status, out.Body
	}
	view := s.peers.View()
	if view == nil {
		return s.unknown("not-ready")
	}
	m, ok := view.VMs[ticket.VM]
	if !ok || m.Incarnation != ticket.Incarnation {
		return s.unknown("ticket-holder-gone")
	}
	out, err := s.peers.Remote(m).Execute(ctx, x)
	if err != nil {
		return s.unknown("ticket-holder-unreachable")
	}
	return out.Status, out.Body
}

// Execute runs a request whose ticket this incarnation of the VM issued.
func (s *Submitter) Execute(ctx context.Context, x linker.Execute) linker.Executed {
	status, body := s.execute(ctx, x)
	return linker.Executed{Status: status, Body: body}
}

func (s *Submitter) execute(ctx context.Context, x linker.Execute) (int, []byte) {
	ticket, err := ticketer.Parse(x.Ticket, s.keys...)
	if err != nil {
		return s.refuse("malformed-ticket")
	}
	request := append([]byte(x.Service+"\x00"), x.Body...)
	out, ok, err := s.table.Do(ticket, request, time.Now(), ctx.Done(), func() ticketer.Outcome { return s.run(x) })
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

// run dispatches the request, counts the outcome and encodes the answer. An answer with OutcomeNotRun gets a
// new ticket.
func (s *Submitter) run(x linker.Execute) ticketer.Outcome {
	answer := s.dispatch(x)
	s.results.WithLabelValues(answer.Outcome).Inc()
	if answer.Outcome == OutcomeNotRun {
		answer.Ticket = s.Mint()
	}
	status, body := answer.Encode()
	return ticketer.Outcome{Status: status, Body: body}
}

// dispatch sends the request to one server after another until one of them may have run it, the request is
// quarantined, or its deadline passes. It makes at most maxTries tries, and at most two on each server.
func (s *Submitter) dispatch(x linker.Execute) Answer {
	ctx, cancel := context.WithDeadline(context.Background(), x.Deadline)
	defer cancel()
	view := s.peers.View()
	if view == nil {
		return Answer{Outcome: OutcomeNotRun, Code: "not-ready"}
	}
	servers := ownedServers(view, x.Service)
	if len(servers) == 0 {
		return Answer{Outcome: OutcomeNotRun, Code: "no-backend-server"}
	}
	fingerprint := quarantiner.FingerprintOf(x.Service, x.Body)
	// A resent request goes to the same owner first, as that owner has recorded which servers it lost while
	// they ran this request.
	start := int(uint64(fingerprint) % uint64(len(servers)))
	last := Answer{Outcome: OutcomeNotRun, Code: "timeout"}
	for i := range min(maxTries, 2*len(servers)) {
		if ctx.Err() != nil {
			break
		}
		server := servers[(start+i)%len(servers)]
		event := s.trySubmit(ctx, view, server, fingerprint, x)
		if event.Err == nil {
			return Answer{Outcome: OutcomeDone, Results: event.Reply.Results}
		}
		last = Answer{Outcome: OutcomeNotRun, Code: dispatcher.Code(event.Err)}
		if !errors.Is(event.Err, executor.ErrNotRun) {
			last.Outcome = OutcomeUnknown
			return last
		}
		if errors.Is(event.Err, dispatcher.ErrQuarantined) {
			return last
		}
	}
	return last
}

// ownedServers returns the usable servers of the service that have an owner.
func ownedServers(view *locator.View, service string) []string {
	var out []string
	for _, id := range view.Usable[service] {
		if _, owned := view.Owners[id]; owned {
			out = append(out, id)
		}
	}
	return out
}

// trySubmit sends the request to one server once. The outcome is unknown if ctx ends before the server has
// answered.
func (s *Submitter) trySubmit(ctx context.Context, view *locator.View, server string, fingerprint quarantiner.Fingerprint, x linker.Execute) dispatcher.Event {
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
