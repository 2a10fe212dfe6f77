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
	// storeWait is the time for which one watch of the store waits for a change. It bounds
	// the age of a reader's copy.
	storeWait = time.Second
	// relayWait is the same for another VM.
	relayWait = 500 * time.Millisecond
	// avoidFor is the time for which a VM that failed is not asked again while there is
	// another source.
	avoidFor = time.Second
	// firstRetry and lastRetry are the pauses while all sources fail; they double.
	firstRetry = 50 * time.Millisecond
	lastRetry  = 400 * time.Millisecond
	// firstTimeout limits the first reads of a VM that knows nothing.
	firstTimeout = 600 * time.Millisecond
	// settleTime is the time for which a VM that has just read a snapshot waits to hear of the
	// other VMs before it chooses whom to follow.
	settleTime = time.Second
	// gatherTime is the pause after a watch of the store that found changes, so that the next
	// one returns several at once.
	gatherTime = 200 * time.Millisecond
	// homesickAfter is the time after which a VM looks whether a preferred source is back.
	homesickAfter = 2 * time.Second
)

// errPreferred says that a source was left for a preferred one.
var errPreferred = errors.New("preferred source available")

// errStale says that a VM has not heard of the store for too long.
var errStale = errors.New("source has no fresh data")

// NamedSource is a source with its name.
type NamedSource struct {
	Name string
	// IsStore is true for the store itself, whose calls are paid for.
	IsStore bool
	// MinAge is the age of the copy above which the source may be asked.
	MinAge time.Duration
	// BootstrapOnly is true for a source that serves the first read alone.
	BootstrapOnly bool
	// BootstrapDelay is the time for which the first read leaves the source to others.
	BootstrapDelay time.Duration
	// Backoff is the time for which the source is not asked after a failure; 0 means a second.
	Backoff time.Duration
	Source  replicator.Source
}

// SourceProvider says whom to follow.
type SourceProvider interface {
	// Sources returns the sources for a lane, the preferred one first.
	Sources(lane int) []NamedSource
}

// lane follows one source at a time. Several lanes together survive the loss of a source
// without a pause.
type lane struct {
	f     *Follower
	index int
	guide SourceProvider
	// failed holds the time of the last failure of each source.
	failed map[string]time.Time
	pause  time.Duration
}

// Follow keeps the beliefs up to date over the given number of lanes until ctx ends.
func (f *Follower) Follow(ctx context.Context, lanes int, guide SourceProvider) {
	f.first(ctx, guide)
	pauser.Pause(ctx, settleTime)
	var wg sync.WaitGroup
	for i := range lanes {
		l := &lane{f: f, index: i, guide: guide, failed: make(map[string]time.Time), pause: firstRetry}
		wg.Go(func() { l.run(ctx) })
	}
	wg.Wait()
}

// first reads a snapshot from whichever source answers first, until one does.
func (f *Follower) first(ctx context.Context, guide SourceProvider) {
	pause, began := firstRetry, time.Now()
	for ctx.Err() == nil && f.Cache.Revision() == 0 {
		sources := slices.DeleteFunc(guide.Sources(0), func(s NamedSource) bool { return s.BootstrapDelay > time.Since(began) })
		done := make(chan bool, len(sources))
		try, stop := context.WithTimeout(ctx, firstTimeout)
		for _, s := range sources {
			go func() {
				_, err := f.snapshot(try, s)
				done <- err == nil
			}()
		}
		got := false
		for range sources {
			if got = <-done; got {
				break
			}
		}
		stop()
		if !got {
			pauser.Pause(ctx, pause)
			pause = min(2*pause, lastRetry)
		}
	}
}

// snapshot takes in all that a source knows and returns its mark.
func (f *Follower) snapshot(ctx context.Context, s NamedSource) (replicator.Cursor, error) {
	b, err := s.Source.Snapshot(ctx)
	f.count(s, "snapshot", err)
	if err != nil {
		return b.Cursor, err
	}
	if !s.IsStore && b.Age > replicator.StaleAfter && f.Cache.Revision() > 0 {
		return b.Cursor, errStale
	}
	f.Load(b, time.Now())
	f.log.WithFields(logrus.Fields{"event": "snapshot", "source": s.Name, "revision": b.Revision, "items": len(b.Items), "age": b.Age.String()}).Info("read a snapshot")
	return b.Cursor, nil
}

func (l *lane) run(ctx context.Context) {
	for ctx.Err() == nil {
		s, ok := l.pick(time.Now())
		if !ok {
			pauser.Pause(ctx, l.pause)
			l.pause = min(2*l.pause, lastRetry)
			continue
		}
		began := time.Now()
		err := l.follow(ctx, s)
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, errPreferred) {
			continue
		}
		now := time.Now()
		l.failed[s.Name] = now
		if now.Sub(began) > lastRetry {
			l.pause = firstRetry
		}
		l.f.log.WithFields(logrus.Fields{"event": "source-lost", "source": s.Name, "lane": l.index, "revision": l.f.Cache.Revision(), "after": now.Sub(began).String()}).WithError(err).Warn("lost a source")
	}
}

// pick returns the first source that has not failed of late.
func (l *lane) pick(now time.Time) (NamedSource, bool) {
	age := now.Sub(l.f.Cache.SyncedAt())
	for _, s := range l.guide.Sources(l.index) {
		if !s.BootstrapOnly && age >= s.MinAge && now.Sub(l.failed[s.Name]) >= cmp.Or(s.Backoff, avoidFor) {
			return s, true
		}
	}
	return NamedSource{}, false
}

// follow takes in the changes of one source until a read fails or another source is better.
func (l *lane) follow(ctx context.Context, s NamedSource) error {
	wait := relayWait
	if s.IsStore {
		wait = storeWait
	}
	// What changed since an earlier time at this source may be lost: a watch that was cut may
	// have been deaf before, and another VM may have started anew.
	after, err := l.f.snapshot(ctx, s)
	if err != nil {
		return err
	}
	began := time.Now()
	for {
		b, err := s.Source.Changes(ctx, after, wait)
		l.f.count(s, "changes", err)
		if errors.Is(err, replicator.ErrCompacted) {
			if after, err = l.f.snapshot(ctx, s); err != nil {
				return err
			}
			continue
		}
		if err != nil {
			return err
		}
		now := time.Now()
		l.f.Apply(b, now)
		after = b.Cursor
		if !s.IsStore && b.Age > replicator.StaleAfter {
			return errStale
		}
		if s.IsStore && len(b.Items) > 0 {
			pauser.Pause(ctx, gatherTime)
		}
		if better, ok := l.pick(now); ok && better.Name != s.Name && now.Sub(began) > homesickAfter {
			return errPreferred
		}
	}
}
