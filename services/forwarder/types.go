// Package forwarder serves callers' requests by sending them to replicas. A single request goes to
// one replica of a service. A gathered request goes to one replica of each shard, and the parts are
// merged.
package forwarder

import (
	"context"
	"errors"
	"time"

	"github.com/ebonylock/ebonylock/modules/merger"
	"github.com/ebonylock/ebonylock/modules/quarantiner"
	"github.com/ebonylock/ebonylock/modules/ranker"
	"github.com/ebonylock/ebonylock/modules/registrar"
	"github.com/ebonylock/ebonylock/modules/router"
)

var (
	// ErrNotSent means that nothing of the request reached the replica.
	ErrNotSent = errors.New("request not sent")
	// ErrNoFreeConn means that all connections allowed to the replica are in use. Nothing was
	// sent.
	ErrNoFreeConn = errors.New("no connection free")
	// ErrNotNeeded means that nothing was sent because the reply was no longer needed.
	ErrNotNeeded = errors.New("request no longer needed")
	// ErrConnLost means that the connection broke before a complete reply. The request may have
	// run.
	ErrConnLost = errors.New("connection lost")
	// ErrBadReply means that the data received is not a reply to this request. The request may
	// have run.
	ErrBadReply = errors.New("bad reply")
	// ErrReplyTimeout means that no reply arrived in time. The request may have run.
	ErrReplyTimeout = errors.New("no reply in time")
)

// HeaderField is one HTTP header field.
type HeaderField struct {
	Name, Value string
}

// Request is one attempt of a caller to get a response.
type Request struct {
	// ID is the caller's identifier of this attempt.
	ID     string
	Method string
	// Target is the path with the query, as the caller sent it.
	Target string
	// Path is Target without the query.
	Path string
	Host string
	// Fields are the end-to-end header fields, except those that have a field of their own in this
	// struct.
	Fields []HeaderField
	Body   []byte
	// Arrived is the time at which the header was complete.
	Arrived time.Time
	// CallerTimeout is how long the caller waits, counted from Arrived; 0 if it was not given.
	CallerTimeout time.Duration
	// FirstOnConn is true for the first request of a connection.
	FirstOnConn bool
}

// Response is the response to a Request.
type Response struct {
	Status int
	// Fields are the header fields of a replica's reply. They are empty for a response that this
	// VM generated.
	Fields []HeaderField
	Body   []byte
	// Stamps are the receipts of the replies merged into the body, for a gathered response.
	Stamps []string
	// MissingParts is the number of shards that a gathered response leaves out.
	MissingParts int
	// Gathered is true for a gathered response.
	Gathered bool
	// RetryAfter is the delay after which a retry may succeed; 0 if unknown.
	RetryAfter time.Duration
	// Release ends the accounting for the memory of Body as a reply. It must be called once, when Body is
	// accounted for as an answer or dropped; nil if there is none.
	Release func()
	// Record writes the log line and the metrics of the request. It is called after the response
	// was passed on for sending, so that it adds nothing to the latency seen by the caller.
	Record func()
}

// ReleaseBody calls Release if it is set.
func (r *Response) ReleaseBody() {
	if r.Release != nil {
		r.Release()
		r.Release = nil
	}
}

// ReplicaRequest is a request as it is sent to one replica.
type ReplicaRequest struct {
	*Request
	// Deadline is the time at which the replica should stop work on the request.
	Deadline time.Time
	// MaxConns is the number of connections that this VM may have to the replica.
	MaxConns int
	// BodyOnly is true when the header fields of the reply are not needed.
	BodyOnly bool
}

// SendHandler receives the callbacks of a Backend for one ReplicaRequest.
type SendHandler interface {
	// StillNeeded is called right before the request is written. If it returns false, nothing is
	// written.
	StillNeeded() bool
	// Noted is called with what the head of the reply says about further requests to the replica, as
	// soon as that head is complete. It must not block.
	Noted(n Notice)
	// Done receives the reply or an error. The error matches ErrNotSent, ErrNoFreeConn or
	// ErrNotNeeded if nothing was sent, otherwise ErrConnLost, ErrBadReply or ErrReplyTimeout.
	// Done is called exactly once and must not block.
	Done(r *Reply, err error)
}

// Exchange is a ReplicaRequest in progress.
type Exchange interface {
	// Cancel aborts the exchange. If Done has not been called yet, it is called soon after.
	Cancel()
}

// Notice is what a replica says about further requests in a reply to any request.
type Notice struct {
	// Leaving is true when the replica is shutting down and wants no more requests.
	Leaving bool
	// Pause is the time for which the replica wants no requests; 0 if it takes them.
	Pause time.Duration
}

// Reply is the reply of a replica.
type Reply struct {
	Notice
	Status int
	Fields []HeaderField
	Body   []byte
	// Stamp is the receipt that the replica returned; empty if it returned none.
	Stamp string
	// NotRun is true when the replica states that it did not run the request.
	NotRun bool
	// Misdirected is true when another server now has the replica's address.
	Misdirected bool
	// Load is the load that the replica reported; nil if it reported none.
	Load *ranker.Load
	// Release ends the accounting for the memory of Body. It must be called once, or Drop; nil if there is none.
	Release func()
}

// Success reports whether the reply has a 2xx status and a stamp and does not state that the
// request was not run.
func (r *Reply) Success() bool {
	return r.Status >= 200 && r.Status < 300 && r.Stamp != "" && !r.NotRun
}

// Drop drops what a reply holds for the caller. r may be nil.
func (r *Reply) Drop() {
	if r == nil {
		return
	}
	r.Fields, r.Body = nil, nil
	if r.Release != nil {
		r.Release()
		r.Release = nil
	}
}

// keepGreatest replaces a body that is accounted for by its n greatest records.
func (r *Reply) keepGreatest(n int) {
	if r.Release != nil && len(r.Body) > n*merger.RecordSize {
		body := merger.Top([][]byte{r.Body}, n)
		r.Drop()
		r.Body = body
	}
}

// response returns the reply as the response to its request. The response takes over its memory.
func (r *Reply) response() Response {
	resp := Response{Status: r.Status, Fields: r.Fields, Body: r.Body, Release: r.Release}
	r.Release = nil
	return resp
}

// Backend sends requests to replicas.
type Backend interface {
	// Send sends m to a replica and reports to s. It does not block.
	Send(c *registrar.Candidate, m ReplicaRequest, s SendHandler) Exchange
	// Withdraw ends the exchanges that wait for a connection to a replica. Nothing of them is sent.
	Withdraw(c *registrar.Candidate)
	// Warm opens a connection to a replica if there is none.
	Warm(ctx context.Context, c *registrar.Candidate) error
	// Probe returns nil if a replica accepts connections.
	Probe(ctx context.Context, c *registrar.Candidate) error
}

// Quarantine tracks the requests that have crashed replicas, over all VMs.
type Quarantine interface {
	// HasLosses returns whether any loss of one of these requests or groups is recorded.
	HasLosses(list ...quarantiner.Fingerprint) bool
	// Verdict returns whether, and how, a request may be run by the software.
	Verdict(f quarantiner.Fingerprint, t quarantiner.Software, now time.Time) quarantiner.Verdict
	// Proven reports whether the software has replied to a request recently enough that it is believed to be
	// harmless there.
	Proven(f quarantiner.Fingerprint, t quarantiner.Software, now time.Time) bool
	// MarkAnswered records a complete reply. It returns true if the other VMs should learn of it.
	MarkAnswered(a quarantiner.Answer) bool
	// LossesOf returns the losses of a request.
	LossesOf(f quarantiner.Fingerprint, now time.Time) []quarantiner.Loss
	// Report records the loss of a replica. It returns true if the loss was not known yet.
	Report(l quarantiner.Loss) bool
}

// State is an immutable snapshot of the configuration, the replicas and the number of VMs as this
// VM knows them.
type State struct {
	// Table is the routing table of the configuration in force.
	Table *router.Table
	// View lists the replicas by service.
	View *registrar.View
	// VMs is the number of VMs that share the limits, at least 1.
	VMs int
	// Rank is the place of this VM among them, from 0.
	Rank int
}

// StateSource provides the current State.
type StateSource interface {
	// State returns nil while no configuration is known.
	State() *State
	// SyncedAt is the last time at which the State was known to be up to date.
	SyncedAt() time.Time
}
