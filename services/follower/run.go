package follower

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/ebonylock/ebonylock/services/replicator"
)

const (
	// watchWait is the time for which one watch waits for a change. Silence of the connection
	// is found sooner, by its keep-alive probes.
	watchWait = 10 * time.Second
	// firstRetry and lastRetry are the pauses after a failed read; they double.
	firstRetry = 50 * time.Millisecond
	lastRetry  = 800 * time.Millisecond
)

// Follow keeps the beliefs up to date from source until ctx ends.
func (f *Follower) Follow(ctx context.Context, source replicator.Source) {
	pause := firstRetry
	for ctx.Err() == nil {
		began := time.Now()
		err := f.followOnce(ctx, source)
		if ctx.Err() != nil {
			return
		}
		f.log.WithFields(logrus.Fields{"event": "store-lost", "revision": f.Copy.Revision(), "after": time.Since(began).String()}).WithError(err).Warn("lost the store")
		if time.Since(began) > lastRetry {
			pause = firstRetry
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		pause = min(2*pause, lastRetry)
	}
}

// followOnce reads a snapshot and then the changes until a read fails.
func (f *Follower) followOnce(ctx context.Context, source replicator.Source) error {
	b, err := source.Snapshot(ctx)
	if err != nil {
		return err
	}
	f.Load(b, time.Now())
	f.log.WithFields(logrus.Fields{"event": "store-read", "revision": b.Revision, "items": len(b.Items)}).Info("read the store")
	after := b.Revision
	for {
		b, err := source.Changes(ctx, after, watchWait)
		if err != nil {
			return err
		}
		f.Apply(b, time.Now())
		after = b.Revision
	}
}
