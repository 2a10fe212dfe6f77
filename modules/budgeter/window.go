package budgeter

import (
	"sync"
	"time"
)

// windowBuckets is the number of time buckets that the span of a Window is divided into.
const windowBuckets = 20

// Window is a sliding window that allows extra tries up to a ratio of the first tries in any span of
// a given length, plus a fixed number. The zero value allows none. It is safe for concurrent use.
type Window struct {
	// Ratio is the number of extra tries allowed for each first try within the span.
	Ratio float64
	// Length is the length of the span; 0 means 10 s.
	Length time.Duration

	mu sync.Mutex
	// slack is the number of extra tries allowed in any span in addition to the ratio.
	slack float64
	// buckets is a ring of the buckets of the current span. current is the number of the last one,
	// counted from origin. It never decreases, even if the clock is set back.
	buckets [windowBuckets + 1]bucket
	origin  time.Time
	current int64
	// first and extra are the sums over buckets.
	first, extra float64
}

type bucket struct {
	first, extra float64
}

const defaultLength = 10 * time.Second

// advance drops the buckets that are older than the span and returns the current one. The caller must
// hold w.mu.
func (w *Window) advance(now time.Time) *bucket {
	length := w.Length
	if length == 0 {
		length = defaultLength
	}
	if w.origin.IsZero() {
		w.origin = now
	}
	at := int64(now.Sub(w.origin) / (length / windowBuckets))
	if at-w.current > windowBuckets {
		w.buckets, w.first, w.extra, w.current = [windowBuckets + 1]bucket{}, 0, 0, at
	}
	for w.current < at {
		w.current++
		s := &w.buckets[w.current%int64(len(w.buckets))]
		w.first -= s.first
		w.extra -= s.extra
		*s = bucket{}
	}
	return &w.buckets[w.current%int64(len(w.buckets))]
}

// SetSlack sets the number of extra tries allowed in any span in addition to the ratio.
func (w *Window) SetSlack(slack float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.slack = slack
}

// Spend counts n extra tries that another process may have made.
func (w *Window) Spend(n float64, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now).extra += n
	w.extra += n
}

// Refund takes back n extra tries that were counted but not made.
func (w *Window) Refund(n float64, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.advance(now)
	// Tries that were counted in an earlier bucket stay there.
	n = min(n, s.extra)
	s.extra -= n
	w.extra -= n
}

// Deposit counts n first tries.
func (w *Window) Deposit(n int, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now).first += float64(n)
	w.first += float64(n)
}

// Withdraw counts one extra try. It returns false, and counts none, if the allowance is used up.
func (w *Window) Withdraw(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.advance(now)
	if w.extra+1 > w.allowance() {
		return false
	}
	s.extra++
	w.extra++
	return true
}

// allowance returns the number of extra tries allowed in the current span. The caller must hold w.mu.
func (w *Window) allowance() float64 {
	return w.slack + w.Ratio*w.first
}

// Remaining returns the share of the allowance that is left, from 0 to 1.
func (w *Window) Remaining(now time.Time) float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	allowance := w.allowance()
	if allowance <= 0 {
		return 0
	}
	return max(1-w.extra/allowance, 0)
}
