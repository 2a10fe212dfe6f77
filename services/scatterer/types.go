// Package scatterer answers searches. It sends a query to one replica of each service, hedges
// slow subqueries, retries failed ones, and merges the replies, which all come from the same
// index generation.
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
	// ErrUnknownSearch means that the configuration does not define the search.
	ErrUnknownSearch = errors.New("unknown search")
	// ErrNotReady means that this VM has no view yet, or that its view contains no backend servers.
	ErrNotReady = errors.New("not ready")
	// ErrOverload means that the query was refused because of overload. No part of it was run.
	ErrOverload = errors.New("overload")
)

// Owner runs subrequests on the backend servers that one VM owns.
type Owner interface {
	// Dispatch runs a batch in the same way as dispatcher.Dispatcher.Dispatch.
	Dispatch(ctx context.Context, batch []dispatcher.Subrequest, cancels <-chan int, emit func(dispatcher.Event)) error
}

// Fleet provides the current view of the fleet and access to its VMs.
type Fleet interface {
	// View returns the current view, or nil if there is none yet.
	View() *locator.View
	// Owner returns the Owner for a VM of the view.
	Owner(vm string) Owner
}

// Quarantine tracks which requests are safe for backend servers and which may crash them.
type Quarantine interface {
	// Proven reports whether the software has replied to a request recently enough that it is believed to be
	// harmless there.
	Proven(f quarantiner.Fingerprint, t quarantiner.Software, now time.Time) bool
	// MarkAnswered records a complete reply. It returns true if the reply clears a suspect.
	MarkAnswered(a quarantiner.Answer) bool
	// Verdict returns how a request may be run by the software.
	Verdict(f quarantiner.Fingerprint, t quarantiner.Software, now time.Time) quarantiner.Verdict
}

// Query is one search request.
type Query struct {
	// Search is the name of the search.
	Search string
	// Body is the caller's request, as JSON.
	Body []byte
	// Deadline is the time at which the answer is due.
	Deadline time.Time
	// MinCoverage overrides the minimum coverage of the configured search if it is not nil. It is
	// from 0 to 1.
	MinCoverage *float64
	// Fast overrides the mode of the configured search if it is not nil. A fast search returns as
	// soon as it reaches its minimum coverage.
	Fast *bool
}

// PartitionRef names one partition of one service.
type PartitionRef struct {
	Service, Partition string
}

// UncoveredPartition is a partition that the results of an answer do not cover.
type UncoveredPartition struct {
	PartitionRef
	// Reason is a stable code that says why the partition is not covered.
	Reason string
}

// Answer is the answer to a Query.
type Answer struct {
	// Generation is the index generation that all results were read from.
	Generation uint64
	// Covered are exactly the partitions whose complete reply is in Results, sorted.
	Covered []PartitionRef
	// Uncovered are all other partitions, sorted.
	Uncovered []UncoveredPartition
	// Results are JSON documents.
	Results [][]byte
	// MinimumReached is true if the share of covered partitions is at least the minimum coverage.
	MinimumReached bool
	// Hedges and Retries count the additional backend requests. Moves counts the subqueries that
	// were moved from one queue to another.
	Hedges, Retries, Moves int
}

// Complete reports whether the answer covers at least one partition and none is uncovered.
func (a *Answer) Complete() bool {
	return len(a.Uncovered) == 0 && len(a.Covered) > 0
}

// Config configures a Scatterer.
type Config struct {
	// ExtraRatio is the number of additional backend requests (hedges and retries) allowed for
	// each first attempt.
	ExtraRatio float64
	// MaxHedges is the maximum number of hedges for one subquery.
	MaxHedges int
	// NoMoves keeps each subquery in the queue to which it was first added.
	NoMoves bool
	// NoCanary sends a query to all services at once, even if it is not known to be safe.
	NoCanary bool
	// NoAdmission disables the limit on concurrent queries.
	NoAdmission bool
}

// DefaultConfig returns the settings that the daemon uses by default.
func DefaultConfig() Config {
	return Config{ExtraRatio: 0.04, MaxHedges: 2}
}
