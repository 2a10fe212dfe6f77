package reporter

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
)

const (
	// announceTime is the time for which a replica that leaves is reported to other VMs. It covers many
	// reads of a VM.
	announceTime = 10 * time.Second
	// leaverTTL is the time for which such a replica is remembered. It is so much longer than
	// announceTime that two VMs do not report a replica to each other again and again.
	leaverTTL = 6 * announceTime
)

// Leavers holds the replicas that have said to this or another VM that they leave. The zero value is
// ready for use. It is safe for concurrent use.
type Leavers struct {
	// OnLeaver, if not nil, is called for each replica that another VM reports first. It must be set
	// before the first use.
	OnLeaver func(replica uint64)

	mu sync.Mutex
	// since holds, by the hash of a replica's key, when this VM first heard of it.
	since map[uint64]time.Time
}

// AddLeaver records that a replica has said to this VM that it leaves.
func (l *Leavers) AddLeaver(replica uint64, now time.Time) {
	l.add(replica, now)
}

// add returns true if the replica is new.
func (l *Leavers) add(replica uint64, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.since == nil {
		l.since = make(map[uint64]time.Time)
	}
	if _, known := l.since[replica]; known {
		return false
	}
	l.since[replica] = now
	return true
}

// RecentLeavers returns the replicas to report to other VMs, newest first and at most MaxEntries.
func (l *Leavers) RecentLeavers(now time.Time) []uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []uint64
	for replica, since := range l.since {
		switch age := now.Sub(since); {
		case age > leaverTTL:
			delete(l.since, replica)
		case age <= announceTime:
			out = append(out, replica)
		}
	}
	slices.SortFunc(out, func(a, b uint64) int {
		return cmp.Or(l.since[b].Compare(l.since[a]), cmp.Compare(a, b))
	})
	return out[:min(len(out), MaxEntries)]
}

// MergeLeavers records the replicas that another VM reports.
func (l *Leavers) MergeLeavers(list []uint64, now time.Time) {
	for _, replica := range list {
		if l.add(replica, now) && l.OnLeaver != nil {
			l.OnLeaver(replica)
		}
	}
}

// AppendLeavers appends the encoded hashes of replicas to b.
func AppendLeavers(b []byte, list []uint64) []byte {
	for _, replica := range list {
		b = protowire.AppendFixed64(b, replica)
	}
	return b
}

// DecodeLeavers decodes the output of AppendLeavers. Errors match ErrMalformed.
func DecodeLeavers(b []byte) (list []uint64, err error) {
	err = decode(b, 0, func(replica uint64, _ [3]float64) {
		list = append(list, replica)
	})
	return list, err
}
