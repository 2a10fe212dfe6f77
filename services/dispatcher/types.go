// Package dispatcher is the owner's side of backend servers: it alone opens connections
// to the servers that this VM owns, and holds their slots, queues and ramps.
package dispatcher

import (
	"errors"
	"time"

	"github.com/ebonylock/ebonylock/modules/executor"
	"github.com/ebonylock/ebonylock/modules/limiter"
	"github.com/ebonylock/ebonylock/modules/quarantiner"
)

var (
	// ErrNotOwner says that this VM does not own the server.
	ErrNotOwner = errors.New("not the owner of the backend server")
	// ErrNotOpen says that this VM owns the server but may not use it yet.
	ErrNotOpen = errors.New("ownership not yet settled")
	// ErrMoved says that the work waited too long and may be sent to another replica.
	ErrMoved = errors.New("returned from the queue")
	// ErrQuarantined says that the request has crashed servers and is not run.
	ErrQuarantined = errors.New("request quarantined after server crashes")
	// ErrSuspectRunning says that the request is under suspicion and already running.
	ErrSuspectRunning = errors.New("request under suspicion is already running")
	// ErrLinkLost says that the owner could not be reached, or was lost with the work.
	ErrLinkLost = errors.New("link to the owner lost")
)

// Subrequest is one piece of work for one backend server.
type Subrequest struct {
	// Server is the ID of the backend server.
	Server string
	// ID is unique for each try.
	ID string
	// Service is the service that the server should answer for.
	Service string
	// Generation is the index generation to read, 0 for a request that reads none.
	Generation uint64
	// Body is the caller's request.
	Body []byte
	// Deadline is the time after which the answer is useless.
	Deadline time.Time
	// Idempotent is true when a second run does no harm.
	Idempotent bool
	// MayMove allows the owner to give the work back from its queue.
	MayMove bool
	// Urgent puts the work before first tries in the queue.
	Urgent bool
	// SlowAfter is the time of running after which the owner reports Slow; 0 for never.
	SlowAfter time.Duration
	// Describe asks only for the generations that the server holds; nothing is run.
	Describe bool
	// Fingerprint identifies the request to the crash register.
	Fingerprint quarantiner.Fingerprint
}

// EventKind is the kind of an Event.
type EventKind int

// Kinds of events. Slow may come before the one final event of the others.
const (
	// Done carries a whole reply.
	Done EventKind = iota + 1
	// Failed carries an error.
	Failed
	// Slow says that the work has been running for longer than SlowAfter.
	Slow
)

// Event is what becomes of a Sub.
type Event struct {
	// Index is the place of the Sub in its batch.
	Index int
	Kind  EventKind
	Reply executor.Reply
	Err   error
	// Load is the number of runs and queued items per slot at the server.
	Load float64
}

// codes are the stable names of the errors that cross the link.
var codes = []struct {
	name string
	err  error
}{
	{"not-owner", ErrNotOwner},
	{"not-open", ErrNotOpen},
	{"moved", ErrMoved},
	{"quarantined", ErrQuarantined},
	{"suspect-running", ErrSuspectRunning},
	{"link-lost", ErrLinkLost},
	{"queue-full", limiter.ErrQueueFull},
	{"too-late", limiter.ErrTooLate},
	{"connection-refused", executor.ErrRefused},
	{"shed", executor.ErrShed},
	{"draining", executor.ErrDraining},
	{"no-generation", executor.ErrNoGeneration},
	{"expired", executor.ErrExpired},
	{"too-many-connections", executor.ErrTooManyConns},
	{"connection-lost", executor.ErrLost},
	{"timeout", executor.ErrTimeout},
	{"corrupt-reply", executor.ErrCorrupt},
	{"failed", executor.ErrFailed},
}

// Code returns the stable name of err, "unknown" for an error without one.
func Code(err error) string {
	for _, c := range codes {
		if errors.Is(err, c.err) {
			return c.name
		}
	}
	return "unknown"
}

// FromCode returns the error with the stable name, joined with what is known of the run.
func FromCode(name string, ran bool) error {
	known := executor.ErrNotRun
	if ran {
		known = executor.ErrUnknownOutcome
	}
	for _, c := range codes {
		if c.name == name {
			return errors.Join(known, c.err)
		}
	}
	return known
}

// notRun joins err with executor.ErrNotRun.
func notRun(err error) error {
	return errors.Join(executor.ErrNotRun, err)
}
