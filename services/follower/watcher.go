package follower

import (
	"cmp"
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
	// another source.
	defaultBackoff = time.Second
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

// errStale is returned if the copy of another VM is older than replicator.StaleAfter.
var errStale = errors.New("source has no fresh data")

// NamedSource is a source with its name and the rules for its use.
type NamedSource struct {
	Name string
	// IsStore is true for the store itself, whose calls are paid for.
	IsStore bool
	// MinAge is the age of the VM's own copy from which on the source may be followed.
	MinAge time.Duration
	// BootstrapOnly is true for a source that is used for the first snapshot only.
	BootstrapOnly bool
	// BootstrapDelay is the time for which the first snapshot is read from other sources only.
	BootstrapDelay time.Duration
	// Backoff is the time for which the source is not followed after a failure; 0 means
	// defaultBackoff.
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
	follower *Follower
	index    int
	provider SourceProvider
	// lastFailure holds the time of the last failure of each source by its name.
	lastFailure map[string]time.Time
	retryDelay  time.Duration
}

// Follow reads a first snapshot and then keeps the view up to date with the given number of
// watchers until ctx is done.
func (f *Follower) Follow(ctx context.Context, watchers int, provider SourceProvider) {
	f.bootstrap(ctx, provider)
	pauser.Pause(ctx, settleTime)
	var wg sync.WaitGroup
	for i := range watchers {
		w := &watcher{follower: f, index: i, provider: provider, lastFailure: make(map[string]time.Time), retryDelay: minRetryDelay}
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
	f.Load(b, time.Now())
	f.log.WithFields(logrus.Fields{"event": "snapshot", "source": s.Name, "revision": b.Revision, "items": len(b.Items), "age": b.Age.String()}).Info("snapshot read")
	return b.Cursor, nil
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
		err := w.follow(ctx, s)
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, errPreferred) {
			continue
		}
		now := time.Now()
		w.lastFailure[s.Name] = now
		if now.Sub(began) > maxRetryDelay {
			w.retryDelay = minRetryDelay
		}
		w.follower.log.WithFields(logrus.Fields{"event": "source-lost", "source": s.Name, "lane": w.index, "revision": w.follower.Cache.Revision(), "after": now.Sub(began).String()}).WithError(err).Warn("source failed")
	}
}

// pickSource returns the first source that may be followed and has not failed within its backoff.
func (w *watcher) pickSource(now time.Time) (NamedSource, bool) {
	age := now.Sub(w.follower.Cache.SyncedAt())
	for _, s := range w.provider.Sources(w.index) {
		if !s.BootstrapOnly && age >= s.MinAge && now.Sub(w.lastFailure[s.Name]) >= cmp.Or(s.Backoff, defaultBackoff) {
			return s, true
		}
	}
	return NamedSource{}, false
}

// follow applies the changes of one source until a read fails or a preferred source is available.
func (w *watcher) follow(ctx context.Context, s NamedSource) error {
	wait := relayWatchWait
	if s.IsStore {
		wait = storeWatchWait
	}
	// Start from a snapshot instead of an earlier cursor, because changes at this source may have
	// been missed: an interrupted watch may have delivered nothing for some time before, and
	// another VM may have restarted.
	after, err := w.follower.loadSnapshot(ctx, s)
	if err != nil {
		return err
	}
	began := time.Now()
	for {
		b, err := s.Source.Changes(ctx, after, wait)
		w.follower.countRead(s, "changes", err)
		if errors.Is(err, replicator.ErrCompacted) {
			if after, err = w.follower.loadSnapshot(ctx, s); err != nil {
				return err
			}
			continue
		}
		if err != nil {
			return err
		}
		now := time.Now()
		w.follower.Apply(b, now)
		after = b.Cursor
		if !s.IsStore && b.Age > replicator.StaleAfter {
			return errStale
		}
		if s.IsStore && len(b.Items) > 0 {
			pauser.Pause(ctx, storeBatchDelay)
		}
		if better, ok := w.pickSource(now); ok && better.Name != s.Name && now.Sub(began) > leastFollowTime(s, better) {
			return errPreferred
		}
	}
}
