package reporter

import (
	"errors"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestLeaversReachOtherVMs checks that a replica that leaves is reported over a VM between, and once.
func TestLeaversReachOtherVMs(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	var told []uint64
	var a, between, b Leavers
	b.OnLeaver = func(replica uint64) { told = append(told, replica) }
	a.AddLeaver(7, now)
	a.AddLeaver(8, now.Add(time.Second))
	is.Equal(a.RecentLeavers(now.Add(time.Second)), []uint64{8, 7})
	for range 3 {
		between.MergeLeavers(a.RecentLeavers(now), now)
		b.MergeLeavers(between.RecentLeavers(now), now)
	}
	slices.Sort(told)
	is.Equal(told, []uint64{7, 8})
}

// TestLeaversAreNotReportedForEver guards against two VMs that report a replica to each other for ever, and against a
// list that grows without bound.
func TestLeaversAreNotReportedForEver(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	var a, b Leavers
	a.AddLeaver(7, now)
	for end := now.Add(2 * announceTime); now.Before(end); now = now.Add(time.Second) {
		b.MergeLeavers(a.RecentLeavers(now), now)
		a.MergeLeavers(b.RecentLeavers(now), now)
	}
	for end := now.Add(2 * leaverTTL); now.Before(end); now = now.Add(time.Second) {
		b.MergeLeavers(a.RecentLeavers(now), now)
		a.MergeLeavers(b.RecentLeavers(now), now)
		is.Equal(len(a.RecentLeavers(now))+len(b.RecentLeavers(now)), 0)
	}
	is.Equal(len(a.since)+len(b.since), 0)
	for i := range uint64(2 * MaxEntries) {
		a.AddLeaver(i, now)
	}
	is.Equal(len(a.RecentLeavers(now)), MaxEntries)
}

func TestLeaversCodec(t *testing.T) {
	is := is.New(t)
	list := []uint64{1, 1 << 63, 0}
	got, err := DecodeLeavers(AppendLeavers(nil, list))
	is.NoErr(err)
	is.Equal(got, list)
	_, err = DecodeLeavers([]byte{1, 2, 3})
	is.True(errors.Is(err, ErrMalformed))
	_, err = DecodeLeavers(make([]byte, 8*(MaxEntries+1)))
	is.True(errors.Is(err, ErrMalformed))
}
