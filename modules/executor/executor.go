// Package executor runs requests at backend servers. It classifies errors by whether the request may
// have run.
package executor

import (
	"errors"
	"time"
)

var (
	// ErrNotRun is matched by every error after which the request is known not to have run.
	ErrNotRun = errors.New("not run")
	// ErrRefused means that the connection was refused before a byte was written.
	ErrRefused = errors.New("connection refused")
	// ErrShed means that the server rejected the request because of overload.
	ErrShed = errors.New("shed by the backend server")
	// ErrDraining means that the server is shutting down and accepts no new requests.
	ErrDraining = errors.New("backend server is draining")
	// ErrNoGeneration means that the server does not hold the requested generation.
	ErrNoGeneration = errors.New("generation not held")
	// ErrExpired means that the server received the request after its deadline.
	ErrExpired = errors.New("deadline passed before the run")
	// ErrTooManyConns means that no further connection to the server could be opened.
	ErrTooManyConns = errors.New("too many connections")

	// ErrUnknownOutcome is matched by every error after which the request may have run.
	ErrUnknownOutcome = errors.New("outcome unknown")
	// ErrLost means that the connection ended before a complete reply arrived.
	ErrLost = errors.New("connection lost")
	// ErrTimeout means that no reply arrived before the deadline.
	ErrTimeout = errors.New("timeout")
	// ErrCorrupt means that the reply was malformed or belonged to another request.
	ErrCorrupt = errors.New("corrupt reply")
	// ErrFailed means that the server ran the request and reported a failure.
	ErrFailed = errors.New("request failed at the backend server")
)

// Request is one run at one backend server.
type Request struct {
	// ID is unique for each attempt, so that a reply can be matched with it.
	ID string
	// Service is the name of the service that must answer.
	Service string
	// Generation is the index generation to read; 0 for a request that reads none.
	Generation uint64
	// Body is the caller's request in JSON.
	Body []byte
	// Deadline is the time after which the server neither starts nor continues the run.
	Deadline time.Time
	// Idempotent is true if the request may run more than once.
	Idempotent bool
}

// Generation is one index generation that a server holds.
type Generation struct {
	// Number is at least 1 and increases with each new generation.
	Number uint64
	// Partitions are the names of the key ranges that the service holds in this generation.
	Partitions []string
}

// Reply is a complete reply.
type Reply struct {
	// BootID changes with each start of the server.
	BootID string
	// Generation is the index generation that was read.
	Generation uint64
	// Partitions are the partitions that the reply covers.
	Partitions []string
	// Results are JSON documents.
	Results [][]byte
	// Held are the generations that the server held when it replied.
	Held []Generation
}

// State is what a server reports about itself. It may be outdated or wrong.
type State struct {
	BootID   string
	Draining bool
	Held     []Generation
}

// notRun joins err with ErrNotRun.
func notRun(err error) error {
	return errors.Join(ErrNotRun, err)
}

// unknownOutcome joins err with ErrUnknownOutcome.
func unknownOutcome(err error) error {
	return errors.Join(ErrUnknownOutcome, err)
}
