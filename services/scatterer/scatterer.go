package scatterer

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/samber/oops"

	"github.com/ebonylock/ebonylock/modules/admitter"
	"github.com/ebonylock/ebonylock/modules/budgeter"
	"github.com/ebonylock/ebonylock/modules/executor"
	"github.com/ebonylock/ebonylock/modules/locator"
	"github.com/ebonylock/ebonylock/modules/pinner"
	"github.com/ebonylock/ebonylock/modules/quarantiner"
	"github.com/ebonylock/ebonylock/services/dispatcher"
)

const (
	// describeTimeout is the timeout of one request for the generations that servers hold.
	describeTimeout = 100 * time.Millisecond
	// maxGenerations is the maximum number of generations that one query tries to read.
	maxGenerations = 3
	// describeInterval is the wait between two requests for generations.
	describeInterval = 20 * time.Millisecond
	// returnMargin is how long before the deadline the query stops, to leave time for building
	// and returning the answer.
	returnMargin = 3 * time.Millisecond
)

// Scatterer answers searches. It is safe for concurrent use.
type Scatterer struct {
	cfg         Config
	fleet       Fleet
	generations pinner.Registry
	budget      budgeter.Budget
	loads       loadTracker
	hedgeDelays delayTuner
	admission   admitter.Limiter
	quarantine  Quarantine
	metrics     *metrics
	// attemptSeq makes attempt IDs unique within the process.
	attemptSeq atomic.Uint64
	// idPrefix makes attempt IDs unique in the fleet.
	idPrefix string
}

// New returns a Scatterer that runs its subqueries at the VMs of the fleet.
func New(cfg Config, fleet Fleet, quarantine Quarantine) *Scatterer {
	return &Scatterer{
		cfg:        cfg,
		fleet:      fleet,
		quarantine: quarantine,
		budget:     budgeter.Budget{Ratio: cfg.ExtraRatio},
		metrics:    newMetrics(),
		idPrefix:   uuid.NewString(),
	}
}

// Search answers q. An error matches ErrUnknownSearch, ErrNotReady or ErrOverload and means that
// nothing was run.
func (s *Scatterer) Search(ctx context.Context, q Query) (Answer, error) {
	view := s.fleet.View()
	if view == nil || len(view.Servers) == 0 {
		return Answer{}, ErrNotReady
	}
	search, ok := view.Config.Searches[q.Search]
	if !ok {
		return Answer{}, oops.Wrapf(ErrUnknownSearch, "%q", q.Search)
	}
	if q.MinCoverage != nil {
		search.MinCoverage = *q.MinCoverage
	}
	if q.Fast != nil {
		search.Fast = *q.Fast
	}
	if !s.cfg.NoAdmission && !s.admission.Acquire() {
		return Answer{}, ErrOverload
	}
	ctx, stop := context.WithDeadline(ctx, q.Deadline.Add(-returnMargin))
	defer stop()
	started := time.Now()
	answer := s.answer(ctx, view, q, search.Services, search.MinCoverage, search.Fast)
	s.metrics.observe(&answer, time.Since(started))
	if !s.cfg.NoAdmission {
		s.admission.Release(time.Now(), overloaded(&answer))
	}
	if s.refusedForOverload(&answer) {
		return answer, ErrOverload
	}
	return answer, nil
}

// answer reads the newest generation that all services have in common. If a server no longer
// holds that generation, it tries another one while there is time, newer if there is one by then,
// else older. The answer from an older generation is used only if it covers more.
func (s *Scatterer) answer(ctx context.Context, view *locator.View, q Query, services []string, minimum float64, fast bool) Answer {
	servers := make(map[string][]string, len(services))
	for _, svc := range services {
		servers[svc] = view.Usable[svc]
	}
	if !s.awaitGeneration(ctx, view, servers) {
		return s.answerWithoutGeneration(services, minimum)
	}
	var best Answer
	var below uint64
	for range maxGenerations {
		generation := s.generations.Pin(servers, below)
		if generation == 0 {
			break
		}
		g := newGather(ctx, s, view, q, services, generation)
		g.minimum, g.fast = minimum, fast
		answer := g.run()
		if below == 0 || len(answer.Covered) > len(best.Covered) {
			answer.Hedges += best.Hedges
			answer.Retries += best.Retries
			answer.Moves += best.Moves
			best = answer
		}
		if !g.generationGone() || ctx.Err() != nil {
			break
		}
		s.refreshGenerations(ctx, view, servers)
		if s.generations.Pin(servers, 0) > generation {
			below = 0
		} else {
			below = generation
		}
	}
	return best
}

// overloaded reports whether any partition is uncovered because of overload.
func overloaded(a *Answer) bool {
	return slices.ContainsFunc(a.Uncovered, func(u UncoveredPartition) bool { return overloadReasons[u.Reason] })
}

// overloadReasons are the reasons that indicate overload.
var overloadReasons = map[string]bool{"queue-full": true, "too-late": true, "shed": true, "timeout": true}

// refusedForOverload reports whether nothing was run because every owner refused its work for
// overload. A timeout does not count, since the work may have run.
func (s *Scatterer) refusedForOverload(a *Answer) bool {
	if len(a.Covered) > 0 || len(a.Uncovered) == 0 {
		return false
	}
	for _, u := range a.Uncovered {
		if u.Reason != "queue-full" && u.Reason != "too-late" && u.Reason != "shed" {
			return false
		}
	}
	return true
}

// awaitGeneration requests the generations of the services for which none is known, and repeats
// the request until there is a generation that a query can read. It returns false if ctx ends
// before that.
func (s *Scatterer) awaitGeneration(ctx context.Context, view *locator.View, servers map[string][]string) bool {
	unknown := make(map[string][]string)
	for svc, ids := range servers {
		if !slices.ContainsFunc(ids, s.generations.Known) {
			unknown[svc] = ids
		}
	}
	if len(unknown) > 0 {
		s.refreshGenerations(ctx, view, unknown)
	}
	for s.generations.Pin(servers, 0) == 0 {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(describeInterval):
			s.refreshGenerations(ctx, view, servers)
		}
	}
	return true
}

// answerWithoutGeneration returns the empty answer for the case that no common generation is
// known.
func (s *Scatterer) answerWithoutGeneration(services []string, minimum float64) Answer {
	a := Answer{MinimumReached: minimum == 0}
	for _, svc := range services {
		a.Uncovered = append(a.Uncovered, UncoveredPartition{PartitionRef{svc, "*"}, "no-generation"})
	}
	return a
}

// refreshGenerations requests the held generations of all these servers from their owners, and
// waits for the replies until describeTimeout.
func (s *Scatterer) refreshGenerations(ctx context.Context, view *locator.View, servers map[string][]string) {
	ctx, stop := context.WithTimeout(ctx, describeTimeout)
	defer stop()
	batches := make(map[string][]dispatcher.Subrequest)
	total := 0
	deadline, _ := ctx.Deadline()
	for svc, ids := range servers {
		for _, id := range ids {
			owner, ok := view.Owners[id]
			if !ok {
				continue
			}
			sub := dispatcher.Subrequest{Server: id, Service: svc, Describe: true, Deadline: deadline}
			batches[owner] = append(batches[owner], sub)
			total++
		}
	}
	done := make(chan struct{}, total)
	for owner, batch := range batches {
		go func() {
			_ = s.fleet.Owner(owner).Dispatch(ctx, batch, nil, func(e dispatcher.Event) {
				if e.Kind == dispatcher.Done {
					s.recordGenerations(batch[e.Index].Server, batch[e.Index].Service, e.Reply)
				}
				done <- struct{}{}
			})
		}()
	}
	for range total {
		select {
		case <-done:
		case <-ctx.Done():
			return
		}
	}
}

// recordGenerations records the generations that a server holds according to r, if r has any.
func (s *Scatterer) recordGenerations(server, service string, r executor.Reply) {
	if len(r.Held) == 0 {
		return
	}
	held := make([]pinner.Generation, len(r.Held))
	for i, g := range r.Held {
		held[i] = pinner.Generation(g)
	}
	s.generations.Update(server, service, held, time.Now())
}

func (s *Scatterer) nextAttemptID() string {
	return s.idPrefix + "-" + formatSeq(s.attemptSeq.Add(1))
}

func (s *Scatterer) fingerprint(q Query) quarantiner.Fingerprint {
	return quarantiner.FingerprintOf(q.Search, q.Body)
}
