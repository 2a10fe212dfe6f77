// Package dispatcher sends work to the backend servers that this VM owns. Only the owner of a
// server opens connections to it, and it manages the server's slots, queue and cold-start ramp.
package dispatcher

import (
	"errors"
	"strconv"
	"time"

	"github.com/ebonylock/ebonylock/modules/executor"
	"github.com/ebonylock/ebonylock/modules/limiter"
	"github.com/ebonylock/ebonylock/modules/quarantiner"
)

var (
	// ErrNotOwner means that this VM does not own the server.
	ErrNotOwner = errors.New("not the owner of the backend server")
	// ErrNotOpen means that this VM owns the server but is currently not allowed to send work to it.
	ErrNotOpen = errors.New("ownership not yet settled")
	// ErrMoved means that the work was removed from the queue of a server with a stalled run
	// and may be sent to another replica.
	ErrMoved = errors.New("returned from the queue")
	// ErrQuarantined means that the request is not run because it has crashed servers.
	ErrQuarantined = errors.New("request quarantined after server crashes")
	// ErrSuspectRunning means that the request is suspected of crashing servers and is already
	// running; a suspect has one run at a time.
	ErrSuspectRunning = errors.New("request under suspicion is already running")
	// ErrLinkLost means that the owner could not be reached, or that the link to it was lost
	// before the work had its final event.
	ErrLinkLost = errors.New("link to the owner lost")
)

// Subrequest is one request to one backend server, as part of a batch.
type Subrequest struct {
	// Server is the ID of the backend server.
	Server string
	// ID is unique for each attempt.
	ID string
	// Service is the service that the server is expected to serve.
	Service string
	// Generation is the index generation to read, 0 for a request that reads none.
	Generation uint64
	// Body is the caller's request.
	Body []byte
	// Deadline is the time after which the reply is of no use to the caller.
	Deadline time.Time
	// Idempotent is true if it is safe to run the request more than once.
	Idempotent bool
	// MayMove allows the owner to return queued work with ErrMoved.
	MayMove bool
	// Urgent queues the work ahead of work that is not urgent. First attempts are not urgent.
	Urgent bool
	// SlowAfter is the run time after which the owner reports Slow; 0 for never.
	SlowAfter time.Duration
	// Describe requests only the generations that the server holds; nothing is run.
	Describe bool
	// Fingerprint identifies the request to the quarantine.
	Fingerprint quarantiner.Fingerprint
}

// Software returns what runs the request, as the quarantine distinguishes it. Servers don't state the version
// of their software, but what a request meets there changes with the index generation.
func (s *Subrequest) Software() quarantiner.Software {
	return SoftwareOf(s.Service, s.Generation)
}

// SoftwareOf returns the software that runs requests that read a generation of a service.
func SoftwareOf(service string, generation uint64) quarantiner.Software {
	return quarantiner.Software{Service: service, Version: strconv.FormatUint(generation, 10)}
}

// EventKind is the kind of an Event.
type EventKind int

// Kinds of events. Each Subrequest ends with one final event, Done or Failed; Slow may precede
// it.
const (
	// Done carries a complete reply.
	Done EventKind = iota + 1
	// Failed carries an error.
	Failed
	// Slow means that the work has been running for longer than SlowAfter.
	Slow
)

// Event reports the progress or the result of a Subrequest.
type Event struct {
	// Index is the index of the Subrequest in its batch.
	Index int
	Kind  EventKind
	Reply executor.Reply
	Err   error
	// Load is the number of runs and queued items per available slot at the server.
	Load float64
}

// codes are the stable names of the errors that are sent to other VMs.
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

// Code returns the stable name of err, or "unknown" if it has none.
func Code(err error) string {
	for _, c := range codes {
		if errors.Is(err, c.err) {
			return c.name
		}
	}
	return "unknown"
}

// FromCode returns the error with the stable name, joined with executor.ErrUnknownOutcome
// if the request may have run, else with executor.ErrNotRun.
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
