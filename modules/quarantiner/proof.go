package quarantiner

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxProofs is the number of entries of a proofTable, a power of two. It takes 8 bytes for each.
	maxProofs = 1 << 16
	// proofTime is the time for which a reply proves that a request is harmless. It is limited, as what
	// a request meets at a server may change without a new version, such as its data.
	proofTime = 10 * time.Minute
)

// proofTable holds the last reply of each software to each request. Each entry has one place, where it replaces
// another one, so that the table takes the same memory and time whatever the number of requests. A
// request whose entry was replaced counts as never replied to. The zero value is ready for use.
type proofTable struct {
	// entries has maxProofs elements, or none before the first reply.
	entries []proof
	// base is the time that the times of entries count from.
	base time.Time
}

type proof struct {
	// tag holds the bits of the hash that the place of the entry doesn't show.
	tag uint32
	// seconds is the time of the reply after base, in seconds rounded down, plus one; 0 if the entry is
	// not in use.
	seconds uint32
}

// place returns the index and the tag of an entry.
func place(f Fingerprint, t Software) (int, uint32) {
	var buf [128]byte
	b := binary.LittleEndian.AppendUint64(buf[:0], uint64(f))
	b = append(b, t.Service...)
	b = append(b, 0)
	b = append(b, t.Version...)
	h := xxhash.Sum64(b)
	return int(h % maxProofs), uint32(h >> 32)
}

// set records a reply. One that is older than the recorded one changes nothing.
func (p *proofTable) set(f Fingerprint, t Software, at time.Time) {
	if p.entries == nil {
		p.entries = make([]proof, maxProofs)
		// Replies that other VMs report may be older than the first one here.
		p.base = at.Add(-2 * proofTime)
	}
	if at.Before(p.base) {
		return
	}
	i, tag := place(f, t)
	seconds := uint32(at.Sub(p.base)/time.Second) + 1
	if e := &p.entries[i]; e.tag != tag || e.seconds < seconds {
		*e = proof{tag: tag, seconds: seconds}
	}
}

// last returns the time of the last reply, rounded down to a second; zero if there is none.
func (p *proofTable) last(f Fingerprint, t Software) time.Time {
	if p.entries == nil {
		return time.Time{}
	}
	i, tag := place(f, t)
	e := p.entries[i]
	if e.tag != tag || e.seconds == 0 {
		return time.Time{}
	}
	return p.base.Add(time.Duration(e.seconds-1) * time.Second)
}

// upTo is like last, but returns no time after the given one.
func (p *proofTable) upTo(f Fingerprint, t Software, latest time.Time) time.Time {
	if last := p.last(f, t); last.Before(latest) {
		return last
	}
	return latest
}

// holds reports whether the last reply is recent enough to prove that a request is harmless.
func (p *proofTable) holds(f Fingerprint, t Software, now time.Time) bool {
	last := p.last(f, t)
	return !last.IsZero() && now.Sub(last) <= proofTime
}
