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
	// describeTimeout limits the question for the generations that servers hold.
	describeTimeout = 100 * time.Millisecond
	// maxGenerations is the number of generations that a query tries to read.
	maxGenerations = 3
	// describePause is the time between two questions.
	describePause = 20 * time.Millisecond
	// returnMargin is the time before the deadline at which the answer is put together.
	returnMargin = 3 * time.Millisecond
)

// Scatterer answers searches.
type Scatterer struct {
	cfg     Config
	fleet   Fleet
	book    pinner.Registry
	budget  budgeter.Budget
	choose  chooser
	pace    pacer
	gate    admitter.Limiter
	proofs  Proofs
	metrics *metrics
	// seq makes the IDs of tries unique within the process.
	seq atomic.Uint64
	// prefix makes the IDs of tries unique in the fleet.
	prefix string
}

// New returns a Scatterer.
func New(cfg Config, fleet Fleet, proofs Proofs) *Scatterer {
	return &Scatterer{
		cfg:     cfg,
		fleet:   fleet,
		proofs:  proofs,
		budget:  budgeter.Budget{Ratio: cfg.ExtraRatio},
		metrics: newMetrics(),
		prefix:  uuid.NewString(),
	}
}

// Search answers q. Errors (ErrUnknownSearch, ErrNotReady, ErrOverload) mean that nothing was run.
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
	if !s.cfg.NoAdmission && !s.gate.Acquire() {
		return Answer{}, ErrOverload
	}
	ctx, stop := context.WithDeadline(ctx, q.Deadline.Add(-returnMargin))
	defer stop()
	started := time.Now()
	answer := s.answer(ctx, view, q, search.Services, search.MinCoverage, search.Fast)
	s.metrics.observe(&answer, time.Since(started))
	if !s.cfg.NoAdmission {
		s.gate.Release(time.Now(), overloaded(&answer))
	}
	if s.refused(&answer) {
		return answer, ErrOverload
	}
	return answer, nil
}

// answer reads the newest common generation, and the next older one when parts of the
// first are gone and there is time for it.
func (s *Scatterer) answer(ctx context.Context, view *locator.View, q Query, services []string, minimum float64, fast bool) Answer {
	servers := make(map[string][]string, len(services))
	for _, svc := range services {
		servers[svc] = view.Usable[svc]
	}
	if !s.describe(ctx, view, servers) {
		return s.unread(services, minimum)
	}
	var best Answer
	var below uint64
	for range maxGenerations {
		generation := s.book.Pin(servers, below)
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
		s.refresh(ctx, view, servers)
		if s.book.Pin(servers, 0) > generation {
			below = 0
		} else {
			below = generation
		}
	}
	return best
}

// overloaded reports whether any part was left out for load.
func overloaded(a *Answer) bool {
	return slices.ContainsFunc(a.Uncovered, func(m UncoveredPartition) bool { return loadReasons[m.Reason] })
}

// loadReasons are the reasons that stand for too much load.
var loadReasons = map[string]bool{"queue-full": true, "too-late": true, "shed": true, "timeout": true}

// refused reports whether no part ran because every owner refused it for load.
func (s *Scatterer) refused(a *Answer) bool {
	if len(a.Covered) > 0 || len(a.Uncovered) == 0 {
		return false
	}
	for _, m := range a.Uncovered {
		if m.Reason != "queue-full" && m.Reason != "too-late" && m.Reason != "shed" {
			return false
		}
	}
	return true
}

// describe asks for the generations of services that nothing is known of, until one is
// known that a query can read. It returns false when the time is over first.
func (s *Scatterer) describe(ctx context.Context, view *locator.View, servers map[string][]string) bool {
	unknown := make(map[string][]string)
	for svc, ids := range servers {
		if !slices.ContainsFunc(ids, s.book.Known) {
			unknown[svc] = ids
		}
	}
	if len(unknown) > 0 {
		s.refresh(ctx, view, unknown)
	}
	for s.book.Pin(servers, 0) == 0 {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(describePause):
			s.refresh(ctx, view, servers)
		}
	}
	return true
}

// unread is the answer when no generation is known of.
func (s *Scatterer) unread(services []string, minimum float64) Answer {
	a := Answer{MinimumReached: minimum == 0}
	for _, svc := range services {
		a.Uncovered = append(a.Uncovered, UncoveredPartition{PartitionRef{svc, "*"}, "no-generation"})
	}
	return a
}

// refresh asks the owners of all the servers for the generations that they hold.
func (s *Scatterer) refresh(ctx context.Context, view *locator.View, servers map[string][]string) {
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
					s.learn(batch[e.Index].Server, batch[e.Index].Service, e.Reply)
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

func (s *Scatterer) learn(server, service string, r executor.Reply) {
	if len(r.Held) == 0 {
		return
	}
	held := make([]pinner.Generation, len(r.Held))
	for i, g := range r.Held {
		held[i] = pinner.Generation(g)
	}
	s.book.Update(server, service, held, time.Now())
}

func (s *Scatterer) nextID() string {
	return s.prefix + "-" + formatSeq(s.seq.Add(1))
}

func (s *Scatterer) fingerprint(q Query) quarantiner.Fingerprint {
	return quarantiner.FingerprintOf(q.Search, q.Body)
}
