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
)

// fakeStore holds one key.
type fakeStore struct {
	value    []byte
	revision uint64
	writes   int
}

func (s *fakeStore) Put(_ context.Context, _ string, value []byte, expect uint64) (uint64, error) {
	if expect != s.revision {
		return 0, ErrConflict
	}
	s.value, s.revision = value, s.revision+3
	s.writes++
	return s.revision, nil
}

func fleet(n int) []prober.Member {
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

func enroller(s *fakeStore) *Enroller {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return &Enroller{Store: s, Key: "k", Log: log}
}

// TestRecordOutlivesTheFleet is the pattern of all VMs that start again at once: what one of them
// wrote down tells them how many they are.
func TestRecordOutlivesTheFleet(t *testing.T) {
	is := is.New(t)
	s := &fakeStore{}
	e, now := enroller(s), time.Now()
	for range 10 {
		e.WriteIfStale(context.Background(), fleet(60), now)
		now = now.Add(time.Second)
	}
	is.Equal(s.writes, 1)
	after := enroller(s)
	after.ObserveRecord(s.value, s.revision)
	r := after.Record()
	is.Equal(r.VMs, 60)
	is.Equal(len(r.Fastest), 3*perDataCentre)
	is.Equal(r.Fastest[0].Link, fleet(1)[0].Link)
}

// TestFewWrites is the pattern of a fleet that changes all the time: the store is not written for
// each VM that comes or goes.
func TestFewWrites(t *testing.T) {
	is := is.New(t)
	s := &fakeStore{}
	e, now := enroller(s), time.Now()
	for i := range 100 {
		e.WriteIfStale(context.Background(), fleet(60+i%3), now)
		now = now.Add(time.Second)
	}
	is.Equal(s.writes, 1)
	for i := range 60 {
		e.WriteIfStale(context.Background(), fleet(60+60*(i%2)), now) // never settles
		now = now.Add(time.Second)
	}
	is.Equal(s.writes, 1)
	for range 5 {
		e.WriteIfStale(context.Background(), fleet(30), now)
		now = now.Add(time.Second)
	}
	is.Equal(s.writes, 2)
}

// TestTwoWriters is the pattern of two VMs that both hold themselves for the one that writes.
func TestTwoWriters(t *testing.T) {
	is := is.New(t)
	s := &fakeStore{}
	a, b, now := enroller(s), enroller(s), time.Now()
	for range 8 {
		a.WriteIfStale(context.Background(), fleet(60), now)
		b.WriteIfStale(context.Background(), fleet(20), now)
		now = now.Add(time.Second)
	}
	is.Equal(s.writes, 1)
	b.ObserveRecord(s.value, s.revision)
	is.Equal(b.Record().VMs, 60)
	b.ObserveRecord([]byte{0xff}, s.revision+1) // not readable; the last one stays
	is.Equal(b.Record().VMs, 60)
	b.ObserveRecord(nil, 1) // older
	is.Equal(b.Record().VMs, 60)
}

func FuzzDecode(f *testing.F) {
	f.Add(summarize(fleet(20)).append(nil))
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
