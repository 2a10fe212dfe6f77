package enroller

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/ebonylock/ebonylock/modules/prober"
	"github.com/ebonylock/ebonylock/services/recorder"
	"github.com/ebonylock/ebonylock/services/replicator"
)

// fakeStore is a Writer that holds one key.
type fakeStore struct {
	value []byte
	// revision is 0 while the key does not exist. last is the highest one of a write.
	revision, last uint64
	// era is that of the writes.
	era    uint64
	writes int
}

func (s *fakeStore) Put(_ context.Context, _ string, value []byte, expect uint64) (replicator.Version, error) {
	if expect != s.revision {
		return replicator.Version{}, recorder.ErrConflict
	}
	s.last = max(s.last, s.revision) + 3
	s.value, s.revision = value, s.last
	s.writes++
	return replicator.Version{Era: s.era, Revision: s.revision}, nil
}

// record returns the state of a record at a revision.
func record(value []byte, revision uint64) replicator.Item {
	return replicator.Item{Value: value, Version: replicator.Version{Revision: revision}}
}

func newMembers(n int) []prober.Member {
	var out []prober.Member
	for i := range n {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 1)
		m := prober.Member{ID: fmt.Sprintf("vm-%03d", i), DataCentre: fmt.Sprintf("dc-%d", i%3), Gossip: addr, Link: addr, Capacity: 45}
		if i < 6 {
			m.Capacity = 200
		}
		out = append(out, m)
	}
	return out
}

func newEnroller(s *fakeStore) *Enroller {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return &Enroller{Recorder: &recorder.Recorder{Store: s, Key: "k"}, Log: log}
}

// writeFor15s lets a VM of a fleet of 60 check the record each second, for longer than a write may be delayed. It returns
// the time after that.
func writeFor15s(e *Enroller, now time.Time) time.Time {
	for range 15 {
		e.WriteIfStale(context.Background(), newMembers(60), now)
		now = now.Add(time.Second)
	}
	return now
}

// TestRecordOutlivesTheFleet guards against VMs that don't know the size of the fleet after all of
// them have restarted at once. The record that one of them wrote before must tell them.
func TestRecordOutlivesTheFleet(t *testing.T) {
	is := is.New(t)
	s := &fakeStore{}
	e, now := newEnroller(s), time.Now()
	for range 10 {
		e.WriteIfStale(context.Background(), newMembers(60), now)
		now = now.Add(time.Second)
	}
	is.Equal(s.writes, 1)
	after := newEnroller(s)
	after.Observe(record(s.value, s.revision))
	r := after.Record()
	is.Equal(r.VMs, 60)
	is.Equal(len(r.Fastest), 3*maxPerDataCentre)
	is.Equal(r.Fastest[0].Link, newMembers(1)[0].Link)
}

// TestFewWrites guards against too many writes to the store while the fleet changes all the time.
// It must not be written for each VM that joins or leaves.
func TestFewWrites(t *testing.T) {
	is := is.New(t)
	s := &fakeStore{}
	e, now := newEnroller(s), time.Now()
	for i := range 100 {
		e.WriteIfStale(context.Background(), newMembers(60+i%3), now)
		now = now.Add(time.Second)
	}
	is.Equal(s.writes, 1)
	for i := range 60 {
		e.WriteIfStale(context.Background(), newMembers(60+60*(i%2)), now) // never unchanged for settleTime
		now = now.Add(time.Second)
	}
	is.Equal(s.writes, 1)
	for range 5 {
		e.WriteIfStale(context.Background(), newMembers(30), now)
		now = now.Add(time.Second)
	}
	is.Equal(s.writes, 2)
}

// TestTwoWriters guards against two VMs that both act as the writer and overwrite each other's
// record.
func TestTwoWriters(t *testing.T) {
	is := is.New(t)
	s := &fakeStore{}
	a, b, now := newEnroller(s), newEnroller(s), time.Now()
	for range 8 {
		a.WriteIfStale(context.Background(), newMembers(60), now)
		b.WriteIfStale(context.Background(), newMembers(20), now)
		now = now.Add(time.Second)
	}
	is.Equal(s.writes, 1)
	b.Observe(record(s.value, s.revision))
	is.Equal(b.Record().VMs, 60)
	b.Observe(record([]byte{0xff}, s.revision+1)) // malformed; the last one stays
	is.Equal(b.Record().VMs, 60)
	b.Observe(record(nil, 1)) // older revision
	is.Equal(b.Record().VMs, 60)
}

// TestOddRecordIsReplaced guards against a record of another writer, or one that was removed, that stays
// in the store: VMs that start later would not know the size of the fleet.
func TestOddRecordIsReplaced(t *testing.T) {
	noAddr := Record{VMs: 60, Fastest: []prober.Member{{ID: "vm-1"}}}
	noPort := newMembers(1)[0]
	noPort.Link = netip.AddrPortFrom(noPort.Link.Addr(), 0)
	for name, value := range map[string][]byte{
		"no protobuf":            {0xff},
		"JSON":                   []byte(`{"service":"s"}`),
		"empty":                  {},
		"no VMs":                 {0x08, 0x00},
		"member without address": noAddr.append(nil),
		"member without a port":  Record{VMs: 60, Fastest: []prober.Member{noPort}}.append(nil),
		"removed":                nil,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := &fakeStore{}
			e, now := newEnroller(s), time.Now()
			write := func() { now = writeFor15s(e, now) }
			write()
			is.Equal(s.writes, 1)
			s.value, s.revision = value, s.revision+1
			if value == nil {
				removed := record(nil, s.revision)
				removed.Removed = true
				e.Observe(removed)
				s.revision = 0
			} else {
				e.Observe(record(value, s.revision))
			}
			is.Equal(e.Record().VMs, 60)
			is.Equal(len(e.Record().Fastest), 3*maxPerDataCentre)
			write()
			is.Equal(s.writes, 2)
			is.Equal(s.value, e.Record().append(nil))
		})
	}
}

// TestRecordIsWrittenInNewEra guards against a fleet record that is never written again: the store came back from a
// copy that lacks it, at a lower revision, and each write named the revision of the era before.
func TestRecordIsWrittenInNewEra(t *testing.T) {
	is := is.New(t)
	s := &fakeStore{era: 1, last: 60}
	e, now := newEnroller(s), time.Now()
	write := func() { now = writeFor15s(e, now) }
	write()
	is.Equal(s.writes, 1)
	s.era, s.last, s.revision = 2, 40, 0
	e.Observe(replicator.Item{Removed: true, Version: replicator.Version{Era: 2, Revision: 40}})
	is.Equal(e.Record().VMs, 60) // in use until the next write
	write()
	is.Equal(s.writes, 2)
	e.Observe(record(nil, 70)) // of the era before
	is.Equal(s.value, e.Record().append(nil))
}

func FuzzDecode(f *testing.F) {
	f.Add(summarize(newMembers(20)).append(nil))
	f.Fuzz(func(t *testing.T, b []byte) {
		r, err := Decode(b)
		if err != nil {
			return
		}
		again, err := Decode(r.append(nil))
		if err != nil || again.VMs != r.VMs || len(again.Fastest) != len(r.Fastest) {
			t.Fatal(r, again, err)
		}
	})
}
