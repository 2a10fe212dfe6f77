// Package scatterer answers searches: it spreads a query over one replica of each service,
// follows stragglers and failures, and merges the parts of one index generation.
package scatterer

import (
	"context"
	"errors"
	"time"

	"github.com/ebonylock/ebonylock/modules/locator"
	"github.com/ebonylock/ebonylock/modules/quarantiner"
	"github.com/ebonylock/ebonylock/services/dispatcher"
)

var (
	// ErrUnknownSearch says that no intent defines the search.
	ErrUnknownSearch = errors.New("unknown search")
	// ErrNotReady says that this VM knows no configuration or no backend server.
	ErrNotReady = errors.New("not ready")
	// ErrOverload says that the query was refused for load before any part was run.
	ErrOverload = errors.New("overload")
)

// Owner runs work at the backend servers that one VM owns.
type Owner interface {
	// Dispatch runs a batch as dispatcher.Dispatcher does.
	Dispatch(ctx context.Context, batch []dispatcher.Subrequest, cancels <-chan int, emit func(dispatcher.Event)) error
}

// Fleet gives the view of the fleet and the way to its VMs.
type Fleet interface {
	// View returns the present view, nil before the first.
	View() *locator.View
	// Owner returns the way to a VM of the view.
	Owner(vm string) Owner
}

// Proofs knows which requests are harmless to servers.
type Proofs interface {
	// Proven reports whether a request is known to have had a whole reply.
	Proven(f quarantiner.Fingerprint) bool
	// Prove takes in that a request had a whole reply.
	Prove(f quarantiner.Fingerprint)
	// Verdict returns how a request may be run.
	Verdict(f quarantiner.Fingerprint, now time.Time) quarantiner.Verdict
}

// Query is one search.
type Query struct {
	// Search is the name of the search.
	Search string
	// Body is the caller's request, as JSON.
	Body []byte
	// Deadline is the time at which the answer is due.
	Deadline time.Time
	// MinCoverage replaces the intent's when not nil; it is from 0 to 1.
	MinCoverage *float64
	// Fast replaces the intent's when not nil.
	Fast *bool
}

// PartitionRef names one partition of one service.
type PartitionRef struct {
	Service, Partition string
}

// UncoveredPartition is a part without a whole reply.
type UncoveredPartition struct {
	PartitionRef
	// Reason is a stable code.
	Reason string
}

// Answer is the answer to a Query.
type Answer struct {
	// Generation is the one that every part was read from.
	Generation uint64
	// Covered are exactly the parts whose whole reply is in Results, sorted.
	Covered []PartitionRef
	// Uncovered are all other parts, sorted.
	Uncovered []UncoveredPartition
	// Results are JSON documents.
	Results [][]byte
	// MinimumReached is true when the share of covered parts is at least the minimum asked for.
	MinimumReached bool
	// Hedges and Retries count the extra backend requests, Moves the changes of queue.
	Hedges, Retries, Moves int
}

// Complete reports whether nothing is missing.
func (a *Answer) Complete() bool {
	return len(a.Uncovered) == 0 && len(a.Covered) > 0
}

// Config sets up a Scatterer.
type Config struct {
	// ExtraRatio is the number of extra backend requests paid for by each first try.
	ExtraRatio float64
	// MaxHedges is the number of hedges for one part.
	MaxHedges int
	// NoMoves keeps work in the queue that it was first put into.
	NoMoves bool
	// NoCanary sends a query to all services at once although nothing is known of it.
	NoCanary bool
	// NoAdmission takes queries however many are under way.
	NoAdmission bool
}

// DefaultConfig returns the settings of a daemon.
func DefaultConfig() Config {
	return Config{ExtraRatio: 0.04, MaxHedges: 2}
}
