// Package archiver keeps the losses of replicas in a record of the platform's store, from which VMs learn which requests
// crash replicas if all others have ended.
package archiver

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/encoding/protowire"

	"github.com/ebonylock/ebonylock/modules/encoder"
	"github.com/ebonylock/ebonylock/modules/quarantiner"
	"github.com/ebonylock/ebonylock/services/linker"
	"github.com/ebonylock/ebonylock/services/recorder"
	"github.com/ebonylock/ebonylock/services/replicator"
)

const (
	// writeInterval is the minimum time between two writes of the first VM. Each VM after it in their order waits
	// longer by rankDelay, so that usually one VM writes, and few calls fail while the store is away.
	writeInterval = time.Second
	rankDelay     = 1200 * time.Millisecond
	// clearDelay is the time for which a loss that no longer counts stays in the record.
	clearDelay = 2 * time.Second
	// renewInterval is the time after which the ages in the record are renewed. A VM that starts takes the losses for
	// younger by that time at most, and by the time for which no VM ran.
	renewInterval = time.Minute
	// maxLosses and maxBytes limit a record.
	maxLosses = 256
	maxBytes  = 48 << 10
	// maxKnown limits the losses that are remembered as known, or as recorded before.
	maxKnown = 8192
)

// recordLoss is the protobuf field number of a loss in a record.
const recordLoss protowire.Number = 1

// encode returns the record of the first losses of a list.
func encode(list []quarantiner.Loss, now time.Time) []byte {
	// Not nil, which is not the same as empty in the store.
	b, item := []byte{}, []byte(nil)
	for _, l := range list[:min(len(list), maxLosses)] {
		item = linker.AppendAgedLoss(item[:0], l, now)
		if len(b)+len(item) > maxBytes {
			break
		}
		b = encoder.AppendBytes(b, recordLoss, item)
	}
	return b
}

// decode decodes a record that was read at now, in the order of the times of the losses. Errors match
// encoder.ErrMalformed.
func decode(b []byte, now time.Time) ([]quarantiner.Loss, error) {
	var list []quarantiner.Loss
	err := encoder.Fields(b, func(num protowire.Number, _ uint64, raw []byte) error {
		if num != recordLoss {
			return nil
		}
		l, err := linker.DecodeAgedLoss(raw, now)
		if err != nil || l.Fingerprint == 0 || l.Server == "" || len(list) == maxLosses {
			return encoder.ErrMalformed
		}
		// The time since the record was written is not known.
		l.Inexact = true
		list = append(list, l)
		return nil
	})
	if err != nil {
		return nil, err
	}
	slices.SortStableFunc(list, func(a, b quarantiner.Loss) int { return a.At.Compare(b.At) })
	return list, nil
}

// LossTracker stores the losses of replicas.
type LossTracker interface {
	// Losses returns the losses that count at now, those that matter most first.
	Losses(all bool, now time.Time) []quarantiner.Loss
	// Merge records losses that are read from the record.
	Merge(list []quarantiner.Loss, now time.Time)
}

// lossID identifies a loss.
type lossID struct {
	fingerprint quarantiner.Fingerprint
	server      string
}

func idOf(l quarantiner.Loss) lossID {
	return lossID{l.Fingerprint, l.Server}
}

// idSet is a set of at most maxKnown losses. The zero value is empty.
type idSet map[lossID]bool

// add adds losses. It forgets all others if there are too many.
func (s *idSet) add(list []quarantiner.Loss) {
	if *s == nil || len(*s)+len(list) > maxKnown {
		*s = make(idSet)
	}
	for _, l := range list {
		(*s)[idOf(l)] = true
	}
}

// Archiver keeps the record up to date. It is ready for use once its exported fields are set.
type Archiver struct {
	Recorder *recorder.Recorder
	Losses   LossTracker
	Log      *logrus.Logger

	mu sync.Mutex
	// stored holds the losses of the record, with times by this VM's clock, and era is that of the store.
	stored []quarantiner.Loss
	era    uint64
	// recorded holds the losses that the record has had in this era. One that is gone from it has been cleared.
	recorded idSet
	// known holds the losses that this VM has known. It leaves all others in the record.
	known idSet
	// unreadable is true if the record in the store can't be decoded.
	unreadable bool
	// staleSince is the time since which the record has to be written; zero if it is up to date.
	staleSince time.Time
	// tried is the time of the last write, and renewed that at which the ages in the record were those of its losses.
	tried, renewed time.Time
}

// Observe processes the state of the record in the store. A VM that starts takes over its losses; the others know them
// from each other, with better ages.
func (a *Archiver) Observe(it replicator.Item, starting bool, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.Recorder.Observe(it) {
		return
	}
	if it.Era != a.era || it.Removed {
		// What the store had before it came back from a copy has to be written again.
		a.era, a.recorded = it.Era, nil
	}
	a.stored, a.unreadable, a.renewed = nil, false, now
	if it.Removed {
		return
	}
	log := a.Log.WithFields(logrus.Fields{"event": "loss-record", "revision": it.Revision, "era": it.Era})
	list, err := decode(it.Value, now)
	if err != nil {
		a.unreadable, a.recorded = true, nil
		log.WithError(err).Warn("record of losses could not be decoded; it is written again with the losses that are known")
		return
	}
	a.stored = list
	a.recorded.add(list)
	if starting {
		a.Losses.Merge(list, now)
		log.WithField("losses", len(list)).Info("losses read from the store")
	}
}

// WriteIfStale writes the record if it lacks a loss that this VM knows, or has one that it has cleared. All VMs should
// call it, about once a second, with their ranks among each other, from 0: the first one writes, the others only
// losses that it doesn't.
func (a *Archiver) WriteIfStale(ctx context.Context, rank int, now time.Time) {
	list, due := a.nextRecord(rank, now)
	if !due {
		return
	}
	version, err := a.Recorder.Write(ctx, encode(list, now))
	log := a.Log.WithFields(logrus.Fields{"event": "loss-record", "losses": len(list)})
	if err != nil {
		log.WithError(err).Info("failed to write record of losses")
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stored, a.era, a.unreadable, a.renewed, a.staleSince = list, version.Era, false, now, time.Time{}
	a.recorded.add(list)
	log.WithFields(logrus.Fields{"revision": version.Revision, "era": version.Era}).Info("record of losses written")
}

// nextRecord returns the losses for the record, and whether it must be written now.
func (a *Archiver) nextRecord(rank int, now time.Time) (list []quarantiner.Loss, due bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	list = a.Losses.Losses(true, now)
	a.known.add(list)
	missing := slices.ContainsFunc(list, func(l quarantiner.Loss) bool { return !a.recorded[idOf(l)] })
	counts := make(idSet)
	counts.add(list)
	cleared := false
	for _, l := range a.stored {
		switch id := idOf(l); {
		case counts[id]:
		case a.known[id], now.Sub(l.At) > quarantiner.DefaultRetention:
			cleared = true
		default:
			list = append(list, l)
		}
	}
	delay := time.Duration(rank) * rankDelay
	renew := len(list) > 0 && now.Sub(a.renewed) >= renewInterval
	switch {
	case missing:
	case rank == 0 && (cleared || renew):
		delay = clearDelay
	default:
		a.staleSince = time.Time{}
		return nil, false
	}
	if a.staleSince.IsZero() {
		a.staleSince = now
	}
	interval := writeInterval + delay
	if a.unreadable {
		// Another writer that goes on must not make the VMs write as often.
		interval = renewInterval
	}
	if now.Sub(a.staleSince) < delay || now.Sub(a.tried) < interval {
		return nil, false
	}
	a.tried = now
	return list, true
}
