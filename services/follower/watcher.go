package follower

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/ebonylock/ebonylock/modules/pauser"
	"github.com/ebonylock/ebonylock/services/replicator"
)

const (
	// storeWatchWait is the time for which one watch of the store waits for a change. It bounds the
	// age of a reader's copy.
	storeWatchWait = time.Second
	// relayWatchWait is the time for which one watch of another VM waits for a change.
	relayWatchWait = 500 * time.Millisecond
	// defaultBackoff is the time for which a source is not read after a failure while there is
	// another source. A VM that does not answer is left aside longer, as each read of it takes up to a
	// second to fail.
	defaultBackoff = time.Second
	silentBackoff  = 3 * time.Second
	// takeoverBackoff is the backoff of a stale source while a standby reader may be about to take over.
	takeoverBackoff = 200 * time.Millisecond
	// takeoverTime is the age of the VM's own copy up to which takeoverBackoff applies.
	takeoverTime = 2 * replicator.StaleAfter
	// minRelayWait is the shortest wait of a watch of another VM.
	minRelayWait = 100 * time.Millisecond
	// minRetryDelay and maxRetryDelay are the first and the longest delay between retries while all
	// sources fail. The delay doubles with each retry.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 400 * time.Millisecond
	// bootstrapTimeout bounds the first attempt to read the first snapshot. Each further attempt may
	// take bootstrapGrowth times as long, as a store with large values needs many pages; each page has
	// a timeout of its own.
	bootstrapTimeout    = 600 * time.Millisecond
	bootstrapGrowth     = 4
	maxBootstrapTimeout = time.Minute
	// settleTime is the time for which a VM waits after its first snapshot before it chooses the
	// sources to follow. In this time it discovers the other VMs.
	settleTime = time.Second
	// storeBatchDelay is the delay after a watch of the store that found changes, so that the next
	// watch returns several changes at once.
	storeBatchDelay = 200 * time.Millisecond
	// minFollowTime is the time for which another VM is followed before the watcher may return to a
	// preferred VM.
	minFollowTime = 2 * time.Second
)

// leastFollowTime returns the time for which a source is followed before the watcher may change to a
// preferred one. There is none between the store and other VMs: a reader returns to the store before
// its copy is stale, as otherwise all VMs read the store, and a VM that is no reader leaves the
// store, whose calls are paid for, as soon as it may.
func leastFollowTime(s, preferred NamedSource) time.Duration {
	if s.IsStore != preferred.IsStore {
		return 0
	}
	return minFollowTime
}

// errPreferred is returned if a source was left for a preferred one.
var errPreferred = errors.New("preferred source available")

// errStale is returned if the copy of another VM is older than replicator.StaleAfter, or if a source is at an earlier
// era of the store than this VM's copy.
var errStale = errors.New("source has no fresh data")

// NamedSource is a source with its name and the rules for its use.
type NamedSource struct {
	Name string
	// IsStore is true for the store itself, whose calls are paid for.
	IsStore bool
	// MinAge is the age of the VM's own copy from which on the source may be followed. For the store it
	// also bounds the time for which this VM waits for others: reads of other VMs end at this age.
	MinAge time.Duration
	// IsReader is true for a VM that reads the store all the time.
	IsReader bool
	// IsStandby is true for the store of a standby reader: it may be followed regardless of MinAge while
	// no reader answers.
	IsStandby bool
	// BootstrapOnly is true for a source that is used for the first snapshot only.
	BootstrapOnly bool
	// BootstrapDelay is the time for which the first snapshot is read from other sources only.
	BootstrapDelay time.Duration
	// Backoff is the time for which the source is not followed after a failure; 0 means
	// defaultBackoff, or silentBackoff for a VM that does not answer.
	Backoff time.Duration
	Source  replicator.Source
}

// SourceProvider provides the sources to follow.
type SourceProvider interface {
	// Sources returns the sources for the watcher with the given index, the preferred one first.
	Sources(watcher int) []NamedSource
}

// watcher follows one source at a time. Several watchers with different sources run in parallel, so
// that the loss of one source causes no gap.
type watcher struct {
	follower   *Follower
	index      int
	provider   SourceProvider
	retryDelay time.Duration
}

// Follow reads a first snapshot and then keeps the view up to date with the given number of
// watchers until ctx is done.
func (f *Follower) Follow(ctx context.Context, watchers int, provider SourceProvider) {
	f.bootstrap(ctx, provider)
	pauser.Pause(ctx, settleTime)
	var wg sync.WaitGroup
	for i := range watchers {
		w := &watcher{follower: f, index: i, provider: provider, retryDelay: minRetryDelay}
		wg.Go(func() { w.run(ctx) })
	}
	wg.Wait()
}

// bootstrap reads the first snapshot. It asks all sources at once, takes the first answer, and
// retries until one source has answered or ctx is done.
func (f *Follower) bootstrap(ctx context.Context, provider SourceProvider) {
	delay, timeout, began := minRetryDelay, bootstrapTimeout, time.Now()
	for ctx.Err() == nil && f.Cache.Revision() == 0 {
		sources := slices.DeleteFunc(provider.Sources(0), func(s NamedSource) bool { return s.BootstrapDelay > time.Since(began) })
		done := make(chan bool, len(sources))
		attempt, cancel := context.WithTimeout(ctx, timeout)
		for _, s := range sources {
			go func() {
				_, err := f.loadSnapshot(attempt, s)
				done <- err == nil
			}()
		}
		got := false
		for range sources {
			if got = <-done; got {
				break
			}
		}
		cancel()
		if !got {
			pauser.Pause(ctx, delay)
			delay, timeout = min(2*delay, maxRetryDelay), min(bootstrapGrowth*timeout, maxBootstrapTimeout)
		}
	}
}

// loadSnapshot applies a snapshot of a source and returns its cursor.
func (f *Follower) loadSnapshot(ctx context.Context, s NamedSource) (replicator.Cursor, error) {
	b, err := s.Source.Snapshot(ctx)
	f.countRead(s, "snapshot", err)
	if err != nil {
		return b.Cursor, err
	}
	if !s.IsStore && b.Age > replicator.StaleAfter && f.Cache.Revision() > 0 {
		return b.Cursor, errStale
	}
	f.Load(f.noteStore(s, b), time.Now())
	if b.Era < f.Cache.Version().Era {
		return b.Cursor, errStale
	}
	f.log.WithFields(logrus.Fields{"event": "snapshot", "source": s.Name, "era": b.Era, "revision": b.Revision, "items": len(b.Items), "age": b.Age.String()}).Info("snapshot read")
	return b.Cursor, nil
}

// noteStore sets the StableFor of a batch of the store if the store has failed since the copy was fresh.
func (f *Follower) noteStore(s NamedSource, b replicator.Batch) replicator.Batch {
	if s.IsStore && f.sources.failedSince(s.Name, f.Cache.SyncedAt()) {
		b.StableFor = 1
	}
	return b
}

func (w *watcher) run(ctx context.Context) {
	for ctx.Err() == nil {
		s, ok := w.pickSource(time.Now())
		if !ok {
			pauser.Pause(ctx, w.retryDelay)
			w.retryDelay = min(2*w.retryDelay, maxRetryDelay)
			continue
		}
		began := time.Now()
		w.follower.sources.use(w.index, s.Name)
		err := w.follow(ctx, s)
		w.follower.sources.use(w.index, "")
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, errPreferred) {
			continue
		}
		now := time.Now()
		w.follower.sources.fail(s.Name, failure{at: now, stale: errors.Is(err, errStale)})
		if now.Sub(began) > maxRetryDelay {
			w.retryDelay = minRetryDelay
		}
		w.follower.log.WithFields(logrus.Fields{"event": "source-lost", "source": s.Name, "lane": w.index, "revision": w.follower.Cache.Revision(), "after": now.Sub(began).String()}).WithError(err).Warn("source failed")
	}
}

// pickSource returns the first source that may be followed and is not left aside after a failure. A source
// that another watcher follows is picked only if there is no other, so that no two watchers wait for one VM.
// The store comes first once the copy is so old that this VM may read it, if a source has failed since the
// copy was fresh: the next VM might not answer either.
func (w *watcher) pickSource(now time.Time) (NamedSource, bool) {
	st := &w.follower.sources
	synced := w.follower.Cache.SyncedAt()
	age := now.Sub(synced)
	sources := w.provider.Sources(w.index)
	st.mu.Lock()
	defer st.mu.Unlock()
	failed := slices.ContainsFunc(sources, func(s NamedSource) bool { return st.failures[s.Name].at.After(synced) })
	readersLost := st.readersLost(sources, now)
	var picked, shared []NamedSource
	for _, s := range sources {
		takesOver := s.IsStandby && readersLost
		switch {
		case s.BootstrapOnly, st.leftAside(s, now, age), age < s.MinAge && !takesOver:
		case s.MinAge > 0 && (failed || takesOver):
			return s, true
		case !s.IsStore && st.usedByOther(w.index, s.Name):
			shared = append(shared, s)
		default:
			picked = append(picked, s)
		}
	}
	if picked = append(picked, shared...); len(picked) == 0 {
		return NamedSource{}, false
	}
	return picked[0], true
}

// relayTime returns the time for which the next watch of another VM waits for a change, and the time at
// which its read ends. A watch does not wait until the copy is stale, so that this VM learns in time whether
// its source still has fresh data. A read ends when the copy reaches the age at which this VM may read the
// store; zero if it is older already.
func (w *watcher) relayTime(now time.Time) (wait time.Duration, end time.Time) {
	synced := w.follower.Cache.SyncedAt()
	wait = max(minRelayWait, min(relayWatchWait, synced.Add(replicator.StaleAfter).Sub(now)))
	for _, s := range w.provider.Sources(0) {
		if at := synced.Add(s.MinAge); s.MinAge > 0 && at.After(now) {
			return wait, at
		}
	}
	return wait, time.Time{}
}

// boundRead returns ctx with the end of a read of s, and the time for which a watch of s waits.
func (w *watcher) boundRead(ctx context.Context, s NamedSource) (context.Context, context.CancelFunc, time.Duration) {
	if s.IsStore {
		return ctx, func() {}, storeWatchWait
	}
	wait, end := w.relayTime(time.Now())
	if end.IsZero() {
		return ctx, func() {}, wait
	}
	bounded, cancel := context.WithDeadline(ctx, end)
	return bounded, cancel, wait
}

// loadSnapshot applies a snapshot of s within the time that this VM waits for others.
func (w *watcher) loadSnapshot(ctx context.Context, s NamedSource) (replicator.Cursor, error) {
	bounded, cancel, _ := w.boundRead(ctx, s)
	defer cancel()
	return w.follower.loadSnapshot(bounded, s)
}

// changes watches s within the time that this VM waits for others.
func (w *watcher) changes(ctx context.Context, s NamedSource, after replicator.Cursor) (replicator.Batch, error) {
	bounded, cancel, wait := w.boundRead(ctx, s)
	defer cancel()
	b, err := s.Source.Changes(bounded, after, wait)
	w.follower.countRead(s, "changes", err)
	return b, err
}

// follow applies the changes of one source until a read fails or a preferred source is available.
func (w *watcher) follow(ctx context.Context, s NamedSource) error {
	// Start from a snapshot instead of an earlier cursor, because changes at this source may have
	// been missed: an interrupted watch may have delivered nothing for some time before, and
	// another VM may have restarted.
	after, err := w.loadSnapshot(ctx, s)
	if err != nil {
		return err
	}
	began := time.Now()
	for {
		b, err := w.changes(ctx, s, after)
		if errors.Is(err, replicator.ErrCompacted) {
			if after, err = w.loadSnapshot(ctx, s); err != nil {
				return err
			}
			continue
		}
		if err != nil {
			return err
		}
		now := time.Now()
		w.follower.Apply(w.follower.noteStore(s, b), now)
		after = b.Cursor
		switch era := w.follower.Cache.Version().Era; {
		case b.Era < era, !s.IsStore && b.Age > replicator.StaleAfter:
			return errStale
		case b.Era > era:
			// The copy has gone back to a lower era, in which the changes don't count.
			if after, err = w.loadSnapshot(ctx, s); err != nil {
				return err
			}
		}
		if s.IsStore && len(b.Items) > 0 {
			pauser.Pause(ctx, storeBatchDelay)
		}
		if better, ok := w.pickSource(now); ok && better.Name != s.Name && now.Sub(began) > leastFollowTime(s, better) {
			return errPreferred
		}
	}
}
