// Package enroller keeps a record of the fleet in the platform's store. A VM that has just started
// knows few other VMs, and without the record it would take too large a share of the limits that
// all VMs share. The record gives it the size of the fleet and the VMs that gather.
package enroller

import (
	"cmp"
	"context"
	"math"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/encoding/protowire"

	"github.com/ebonylock/ebonylock/modules/encoder"
	"github.com/ebonylock/ebonylock/modules/prober"
	"github.com/ebonylock/ebonylock/services/recorder"
	"github.com/ebonylock/ebonylock/services/replicator"
)

const (
	// settleTime is the time for which the fleet must be unchanged before its record is written.
	settleTime = 3 * time.Second
	// writeInterval is the minimum time between two writes.
	writeInterval = 10 * time.Second
	// tolerance is the relative error in the number of VMs up to which the stored record is not
	// rewritten.
	tolerance = 0.1
	// maxPerDataCentre is the maximum number of VMs of each data centre in the record, and
	// maxMembers that of all data centres together.
	maxPerDataCentre = 4
	maxMembers       = 64
)

// Record is the record of the fleet in the store.
type Record struct {
	// VMs is the number of live VMs that are not draining, at least 1 in the store.
	VMs int
	// Fastest holds the VMs with the fastest network links of each data centre.
	Fastest []prober.Member
}

// Protobuf field numbers of a Record.
const (
	recordVMs    protowire.Number = 1
	recordMember protowire.Number = 2
)

func (r Record) append(b []byte) []byte {
	b = encoder.AppendVarint(b, recordVMs, uint64(r.VMs))
	for _, m := range r.Fastest {
		b = encoder.AppendBytes(b, recordMember, m.Append(nil))
	}
	return b
}

// Decode decodes a record, which may have another writer. Errors match encoder.ErrMalformed.
func Decode(b []byte) (r Record, err error) {
	err = encoder.Fields(b, func(num protowire.Number, v uint64, raw []byte) error {
		switch num {
		case recordVMs:
			r.VMs = int(min(v, math.MaxInt16))
		case recordMember:
			m, err := prober.DecodeMember(raw)
			if err == nil && !(usable(m.Gossip) && usable(m.Link)) {
				err = encoder.ErrMalformed
			}
			if r.Fastest = append(r.Fastest, m); len(r.Fastest) > maxMembers {
				return encoder.ErrMalformed
			}
			return err
		}
		return nil
	})
	if err == nil && r.VMs == 0 {
		err = encoder.ErrMalformed
	}
	return r, err
}

func usable(a netip.AddrPort) bool {
	return a.IsValid() && a.Port() > 0
}

// summarize returns the record of the live members that are not draining.
func summarize(members []prober.Member) Record {
	live := slices.DeleteFunc(slices.Clone(members), func(m prober.Member) bool { return m.State >= prober.Dead || m.Draining })
	out := Record{VMs: len(live)}
	slices.SortFunc(live, func(a, b prober.Member) int {
		return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(a.ID, b.ID))
	})
	count := make(map[string]int)
	for _, m := range live {
		if count[m.DataCentre]++; count[m.DataCentre] <= maxPerDataCentre && len(out.Fastest) < maxMembers {
			out.Fastest = append(out.Fastest, prober.Member{ID: m.ID, DataCentre: m.DataCentre, Gossip: m.Gossip, Link: m.Link, Capacity: m.Capacity})
		}
	}
	return out
}

// similar reports whether two records list the same members and their numbers of VMs differ by at
// most tolerance.
func (r Record) similar(o Record) bool {
	near := math.Abs(float64(r.VMs-o.VMs)) <= tolerance*float64(o.VMs)
	return near && slices.EqualFunc(r.Fastest, o.Fastest, func(a, b prober.Member) bool { return a.ID == b.ID && a.Link == b.Link })
}

// Enroller keeps the record up to date. It is ready for use once its exported fields are set.
type Enroller struct {
	// Recorder writes the record.
	Recorder *recorder.Recorder
	Log      *logrus.Logger

	mu sync.Mutex
	// stored is the last record that was read from the store.
	stored Record
	// spoiled is true if the key has no record that can be decoded.
	spoiled bool
	// pending is the record to be written. It has been the same since pendingSince.
	pending      Record
	pendingSince time.Time
	lastWrite    time.Time
}

// Observe processes the state of the record in the store. A state that is known, or older than what is known, is
// ignored. If the record was removed or can't be decoded, the previous one stays in use until the next write.
func (e *Enroller) Observe(it replicator.Item) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.Recorder.Observe(it) {
		return
	}
	log := e.Log.WithFields(logrus.Fields{"event": "fleet-record", "revision": it.Revision, "era": it.Era})
	if it.Removed {
		if e.spoiled = e.stored.VMs > 0; e.spoiled {
			log.Warn("fleet record was removed from the store; the previous record stays in use")
		}
		return
	}
	r, err := Decode(it.Value)
	if e.spoiled = err != nil; e.spoiled {
		log.WithError(err).Warn("fleet record could not be decoded; the previous record stays in use")
		return
	}
	e.stored = r
	log.WithField("vms", r.VMs).Info("fleet record read from the store")
}

// Record returns the last known record of the fleet.
func (e *Enroller) Record() Record {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stored
}

// WriteIfStale writes the record of the members if the stored one has been out of date for at least
// settleTime. One VM of the fleet should call it, about once a second. Two VMs that both call it
// don't overwrite each other, since a write names the expected revision.
func (e *Enroller) WriteIfStale(ctx context.Context, members []prober.Member, now time.Time) {
	r := summarize(members)
	if !e.needsWrite(r, now) {
		return
	}
	version, err := e.Recorder.Write(ctx, r.append(nil))
	log := e.Log.WithFields(logrus.Fields{"event": "fleet-record", "vms": r.VMs})
	if err != nil {
		log.WithError(err).Info("failed to write fleet record")
		return
	}
	e.mu.Lock()
	e.stored, e.spoiled = r, false
	e.mu.Unlock()
	log.WithFields(logrus.Fields{"revision": version.Revision, "era": version.Era}).Info("fleet record written")
}

// needsWrite reports whether r must be written now.
func (e *Enroller) needsWrite(r Record, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.VMs == 0 || (r.similar(e.stored) && !e.spoiled) {
		e.pending = Record{}
		return false
	}
	if !r.similar(e.pending) {
		e.pending, e.pendingSince = r, now
	}
	if now.Sub(e.pendingSince) < settleTime || now.Sub(e.lastWrite) < writeInterval {
		return false
	}
	e.lastWrite = now
	return true
}
