// Package enroller keeps a record of the fleet in the platform's store. A VM that starts knows few
// others at first and would take a larger share of common limits than it has; the record tells it
// the size of the fleet and the VMs that gather.
package enroller

import (
	"cmp"
	"context"
	"errors"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/encoding/protowire"

	"github.com/ebonylock/ebonylock/modules/encoder"
	"github.com/ebonylock/ebonylock/modules/prober"
)

// ErrConflict says that another VM has written the record since it was last heard of.
var ErrConflict = errors.New("record was written by another VM")

const (
	// settle is the time for which the fleet has to stay the same before it is written down.
	settle = 3 * time.Second
	// pause is the time between two writes.
	pause = 10 * time.Second
	// tolerance is the share by which the number of VMs may be off in the record.
	tolerance = 0.1
	// perDataCentre is the number of VMs of each data centre in the record, and most that of all.
	perDataCentre = 4
	most          = 64
)

// Record is what the store holds of the fleet.
type Record struct {
	// VMs is the number of live VMs.
	VMs int
	// Fastest are those with the fastest links of each data centre.
	Fastest []prober.Member
}

// Field numbers of a Record.
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

// Decode reads a record. Errors match encoder.ErrMalformed.
func Decode(b []byte) (r Record, err error) {
	err = encoder.Fields(b, func(num protowire.Number, v uint64, raw []byte) error {
		switch num {
		case recordVMs:
			r.VMs = int(min(v, math.MaxInt16))
		case recordMember:
			m, err := prober.DecodeMember(raw)
			if r.Fastest = append(r.Fastest, m); len(r.Fastest) > most {
				return encoder.ErrMalformed
			}
			return err
		}
		return nil
	})
	return r, err
}

// summarize returns the record of the live members.
func summarize(members []prober.Member) Record {
	live := slices.DeleteFunc(slices.Clone(members), func(m prober.Member) bool { return m.State >= prober.Dead || m.Draining })
	out := Record{VMs: len(live)}
	slices.SortFunc(live, func(a, b prober.Member) int {
		return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(a.ID, b.ID))
	})
	count := make(map[string]int)
	for _, m := range live {
		if count[m.DataCentre]++; count[m.DataCentre] <= perDataCentre && len(out.Fastest) < most {
			out.Fastest = append(out.Fastest, prober.Member{ID: m.ID, DataCentre: m.DataCentre, Gossip: m.Gossip, Link: m.Link, Capacity: m.Capacity})
		}
	}
	return out
}

// like reports whether two records say about the same.
func (r Record) like(o Record) bool {
	near := math.Abs(float64(r.VMs-o.VMs)) <= tolerance*float64(o.VMs)
	return near && slices.EqualFunc(r.Fastest, o.Fastest, func(a, b prober.Member) bool { return a.ID == b.ID && a.Link == b.Link })
}

// Writer writes to the store.
type Writer interface {
	// Put writes a key if its revision is the expected one, 0 for a key that does not exist, and
	// returns its new revision. Errors match ErrConflict if it is another one.
	Put(ctx context.Context, key string, value []byte, expect uint64) (uint64, error)
}

// Enroller keeps the record. The zero value with its exported fields is ready for use.
type Enroller struct {
	Store Writer
	Key   string
	Log   *logrus.Logger

	mu sync.Mutex
	// known is the record in the store, written at revision; 0 if there is none.
	known    Record
	revision uint64
	// pending is the record to be written, the same since a time.
	pending Record
	since   time.Time
	wrote   time.Time
}

// ObserveRecord takes in the record that the store holds at a revision.
func (e *Enroller) ObserveRecord(value []byte, revision uint64) {
	r, err := Decode(value)
	e.mu.Lock()
	defer e.mu.Unlock()
	if revision < e.revision {
		return
	}
	e.revision = revision
	if err != nil {
		e.Log.WithField("event", "fleet-record").WithError(err).Warn("record of the fleet not readable")
		return
	}
	e.known = r
	e.Log.WithFields(logrus.Fields{"event": "fleet-record", "vms": r.VMs, "revision": revision}).Info("record of the fleet read")
}

// Record returns the last known record.
func (e *Enroller) Record() Record {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.known
}

// WriteIfStale writes the record of the members if the store's one is out of date for long enough. One VM
// of the fleet should offer, about once a second.
func (e *Enroller) WriteIfStale(ctx context.Context, members []prober.Member, now time.Time) {
	r := summarize(members)
	expect, due := e.due(r, now)
	if !due {
		return
	}
	revision, err := e.Store.Put(ctx, e.Key, r.append(nil), expect)
	fields := logrus.Fields{"event": "fleet-record", "vms": r.VMs, "expected-revision": expect}
	if err != nil {
		e.Log.WithFields(fields).WithError(err).Info("record of the fleet not written")
		return
	}
	e.mu.Lock()
	if revision > e.revision {
		e.known, e.revision = r, revision
	}
	e.mu.Unlock()
	e.Log.WithFields(fields).WithField("revision", revision).Info("record of the fleet written")
}

// due reports whether r is to be written now, and which revision to expect.
func (e *Enroller) due(r Record, now time.Time) (expect uint64, due bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.like(e.known) {
		e.pending = Record{}
		return 0, false
	}
	if !r.like(e.pending) {
		e.pending, e.since = r, now
	}
	if now.Sub(e.since) < settle || now.Sub(e.wrote) < pause {
		return 0, false
	}
	e.wrote = now
	return e.revision, true
}
