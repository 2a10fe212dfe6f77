// Package forwarder serves callers' requests by sending them to replicas itself: a single
// request goes to one replica of a service, a gathered one to one replica of each shard.
package forwarder

import (
	"context"
	"errors"
	"time"

	"github.com/ebonylock/ebonylock/modules/quarantiner"
	"github.com/ebonylock/ebonylock/modules/ranker"
	"github.com/ebonylock/ebonylock/modules/registrar"
	"github.com/ebonylock/ebonylock/modules/router"
)

var (
	// ErrNotSent says that nothing of the request reached the replica.
	ErrNotSent = errors.New("request not sent")
	// ErrNoFreeConn says that every connection that may be held to the replica is in use.
	ErrNoFreeConn = errors.New("no connection free")
	// ErrNotNeeded says that nothing was sent, as the reply was no longer needed.
	ErrNotNeeded = errors.New("request no longer needed")
	// ErrConnLost says that the connection broke before a whole reply; the request may have run.
	ErrConnLost = errors.New("connection lost")
	// ErrBadReply says that what came back is not a reply to this request; it may have run.
	ErrBadReply = errors.New("bad reply")
	// ErrReplyTimeout says that no reply came in time; the request may have run.
	ErrReplyTimeout = errors.New("no reply in time")
)

// HeaderField is a header field.
type HeaderField struct {
	Name, Value string
}

// Request is one attempt of a caller.
type Request struct {
	// ID is the caller's name for this attempt.
	ID     string
	Method string
	// Target is the path with the query, as the caller sent it.
	Target string
	// Path is Target without the query.
	Path string
	Host string
	// Fields are the end-to-end header fields, without the ones named here.
	Fields []HeaderField
	Body   []byte
	// Arrived is the time at which the whole head had come.
	Arrived time.Time
	// CallerTimeout is the time for which the caller waits from Arrived on; 0 if it did not say.
	CallerTimeout time.Duration
	// FirstOnConn is true for the first request of a connection.
	FirstOnConn bool
}

// Response is the answer to a Request.
type Response struct {
	Status int
	// Fields are the header fields of a replica's reply; empty for an answer of the tier's own.
	Fields []HeaderField
	Body   []byte
	// Stamps are the receipts of the parts in the body, for a gathered answer.
	Stamps []string
	// MissingParts is the number of shards left out of a gathered answer.
	MissingParts int
	// Gathered is true for a gathered answer.
	Gathered bool
	// RetryAfter is the time after which another try is worth while; 0 if unknown.
	RetryAfter time.Duration
	// Record writes what became of the request to the log and the metrics. It is called once
	// the answer is on its way, so that the caller does not wait for it.
	Record func()
}

// ReplicaRequest is what one replica gets.
type ReplicaRequest struct {
	*Request
	// Deadline is the time at which the replica should stop work.
	Deadline time.Time
	// MaxConns is the number of connections that this VM may hold to the replica.
	MaxConns int
	// BodyOnly is true when the header fields of the reply are not needed.
	BodyOnly bool
}

// SendHandler is what a Backend reports to about one message.
type SendHandler interface {
	// StillNeeded is called when the request is about to be written; if it returns false, nothing is.
	StillNeeded() bool
	// Done takes in the reply, or an error that matches ErrUnsent, ErrBusy or ErrUnwanted
	// (nothing was sent), ErrLost, ErrBadReply or ErrSilent. It is called once and must not block.
	Done(r *Reply, err error)
}

// Exchange is one message on its way.
type Exchange interface {
	// Cancel ends it; Done is called soon after, if it was not called before.
	Cancel()
}

// Reply is what a replica answered.
type Reply struct {
	Status int
	Fields []HeaderField
	Body   []byte
	// Stamp is the replica's receipt; empty if it gave none.
	Stamp string
	// NotRun is true when the replica says that it did not run the request.
	NotRun bool
	// Misdirected is true when another server has the replica's address.
	Misdirected bool
	// Load is what the replica told of its load; nil if nothing.
	Load *ranker.Load
}

// Success reports whether the reply is a whole success.
func (r *Reply) Success() bool {
	return r.Status >= 200 && r.Status < 300 && r.Stamp != "" && !r.NotRun
}

// Backend sends to replicas.
type Backend interface {
	// Send sends m to a replica and reports to s. It does not wait.
	Send(c *registrar.Candidate, m ReplicaRequest, s SendHandler) Exchange
	// Warm opens a connection to a replica if there is none.
	Warm(ctx context.Context, c *registrar.Candidate) error
	// Reach returns nil if a replica takes connections.
	Reach(ctx context.Context, c *registrar.Candidate) error
}

// Quarantine are the replicas that requests have crashed, on all VMs.
type Quarantine interface {
	// Verdict returns how a request may be run.
	Verdict(f quarantiner.Fingerprint, now time.Time) quarantiner.Verdict
	// Prove takes in that a request had a whole reply.
	Prove(f quarantiner.Fingerprint)
	// Report takes in a loss; it returns true when it is new.
	Report(l quarantiner.Loss) bool
}

// State is what a VM believes at one moment. It never changes.
type State struct {
	// Table is that of the configuration in force.
	Table *router.Table
	// View holds the replicas.
	View *registrar.View
	// VMs is the number of VMs that share the limits, at least 1.
	VMs int
}

// StateSource gives the present State.
type StateSource interface {
	// State returns nil while no configuration is known.
	State() *State
	// SyncedAt is the time at which the beliefs were last known to be up to date.
	SyncedAt() time.Time
}
