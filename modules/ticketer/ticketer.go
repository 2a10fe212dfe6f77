// Package ticketer ensures that non-idempotent requests run at most once. A ticket names the
// only process incarnation that may run the request, so no shared store is needed.
package ticketer

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"errors"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/samber/oops"
)

var (
	// ErrMalformed is returned when a ticket can't be decoded or was not issued by this fleet.
	ErrMalformed = errors.New("malformed ticket")
	// ErrExpired is returned when a ticket expired before its first use.
	ErrExpired = errors.New("ticket expired")
	// ErrOutcomeDropped is returned when a ticket expired so long ago that its outcome is no
	// longer kept.
	ErrOutcomeDropped = errors.New("outcome of an expired ticket no longer kept")
	// ErrOtherIncarnation is returned when the ticket was issued by another incarnation.
	ErrOtherIncarnation = errors.New("ticket of another incarnation")
	// ErrMismatch is returned when the ticket was used before with another request.
	ErrMismatch = errors.New("ticket used with another request")
)

// Ticket authorises one run of one request.
type Ticket struct {
	// VM is the ID of the VM that issued the ticket.
	VM string
	// Incarnation is chosen at random at each start of the VM's process.
	Incarnation uint64
	// Seq is unique within the incarnation.
	Seq uint64
	// Expiry is the time from which the ticket no longer starts a run.
	Expiry time.Time
}

// macSize is the length of a ticket's message authentication code in bytes.
const macSize = 16

// Encode returns t in text form with a message authentication code made with key.
func (t Ticket) Encode(key []byte) string {
	body := t.body()
	return base64.RawURLEncoding.EncodeToString(append(body, mac(key, body)...))
}

func (t Ticket) body() []byte {
	b := binary.BigEndian.AppendUint64(nil, t.Incarnation)
	b = binary.BigEndian.AppendUint64(b, t.Seq)
	b = binary.BigEndian.AppendUint64(b, uint64(t.Expiry.UnixMilli()))
	return append(b, t.VM...)
}

func mac(key, body []byte) []byte {
	h := hmac.New(sha256.New, key)
	_, _ = h.Write([]byte("ebonylock-ticket"))
	_, _ = h.Write(body)
	return h.Sum(nil)[:macSize]
}

// Parse decodes a ticket and checks that it was authenticated with one of keys. Errors match
// ErrMalformed.
func Parse(s string, keys ...[]byte) (Ticket, error) {
	raw, err := base64.RawURLEncoding.DecodeString(strings.TrimSpace(s))
	if err != nil || len(raw) < 24+macSize {
		return Ticket{}, ErrMalformed
	}
	body, sum := raw[:len(raw)-macSize], raw[len(raw)-macSize:]
	for _, key := range keys {
		if hmac.Equal(sum, mac(key, body)) {
			return parseBody(body), nil
		}
	}
	return Ticket{}, oops.Wrapf(ErrMalformed, "authentication failed")
}

func parseBody(b []byte) Ticket {
	return Ticket{
		Incarnation: binary.BigEndian.Uint64(b),
		Seq:         binary.BigEndian.Uint64(b[8:]),
		Expiry:      time.UnixMilli(int64(binary.BigEndian.Uint64(b[16:]))),
		VM:          string(b[24:]),
	}
}

// String returns a short form for log messages.
func (t Ticket) String() string {
	return t.VM + "/" + strconv.FormatUint(t.Incarnation, 16) + "/" + strconv.FormatUint(t.Seq, 10)
}

// Outcome is the stored result of a run.
type Outcome struct {
	// Status is an HTTP status code.
	Status int
	// Body is the complete response body in JSON.
	Body []byte
}

// run is the state of a used ticket.
type run struct {
	digest [sha256.Size]byte
	expiry time.Time
	// done is closed once outcome is set.
	done    chan struct{}
	outcome Outcome
}

// Table holds the tickets used in one incarnation of the process. It is safe for concurrent use.
type Table struct {
	// VM and Incarnation identify this process.
	VM          string
	Incarnation uint64

	mu  sync.Mutex
	seq uint64
	// runs holds each used ticket by Seq until keepAfterExpiry after its expiry.
	runs map[uint64]*run
	// lastSweep is the time of the last removal of expired runs.
	lastSweep time.Time
}

const (
	// keepAfterExpiry is the time for which an outcome is kept after its ticket's expiry.
	keepAfterExpiry = time.Minute
	// sweepInterval is the minimum time between removals of expired runs.
	sweepInterval = 10 * time.Second
)

// Mint issues a new ticket that expires after ttl.
func (t *Table) Mint(now time.Time, ttl time.Duration) Ticket {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.seq++
	return Ticket{VM: t.VM, Incarnation: t.Incarnation, Seq: t.seq, Expiry: now.Add(ttl)}
}

// Do runs f at most once per ticket and returns its outcome. A later call with the same
// request waits for the outcome of the first. f is not called if err is ErrOtherIncarnation,
// ErrExpired, ErrOutcomeDropped or ErrMismatch. If cancel is closed before the outcome is
// known, ok is false; the run continues and its outcome is kept.
func (t *Table) Do(k Ticket, request []byte, now time.Time, cancel <-chan struct{}, f func() Outcome) (o Outcome, ok bool, err error) {
	r, first, err := t.claim(k, sha256.Sum256(request), now)
	if err != nil {
		return Outcome{}, false, err
	}
	if first {
		go func() {
			r.outcome = f()
			close(r.done)
		}()
	}
	select {
	case <-r.done:
		return r.outcome, true, nil
	case <-cancel:
		return Outcome{}, false, nil
	}
}

func (t *Table) claim(k Ticket, digest [sha256.Size]byte, now time.Time) (*run, bool, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if k.VM != t.VM || k.Incarnation != t.Incarnation {
		return nil, false, ErrOtherIncarnation
	}
	t.sweep(now)
	if r := t.runs[k.Seq]; r != nil {
		if r.digest != digest {
			return nil, false, ErrMismatch
		}
		return r, false, nil
	}
	switch age := now.Sub(k.Expiry); {
	case age >= keepAfterExpiry:
		return nil, false, ErrOutcomeDropped
	case age >= 0:
		return nil, false, ErrExpired
	}
	if t.runs == nil {
		t.runs = make(map[uint64]*run)
	}
	r := &run{digest: digest, expiry: k.Expiry, done: make(chan struct{})}
	t.runs[k.Seq] = r
	return r, true, nil
}

func (t *Table) sweep(now time.Time) {
	if now.Sub(t.lastSweep) < sweepInterval {
		return
	}
	t.lastSweep = now
	for seq, r := range t.runs {
		if now.Sub(r.expiry) > keepAfterExpiry {
			delete(t.runs, seq)
		}
	}
}

// Len returns the number of runs kept in the table.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.runs)
}
