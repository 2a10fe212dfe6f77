package budgeter

import (
	"sync"
	"time"
)

// windowSteps is the number of steps that a Window is divided into.
const windowSteps = 20

// Window allows extra tries up to a ratio of the first tries in any span of a given length,
// and a number besides. The zero value allows none.
type Window struct {
	// Ratio is the number of extra tries for each first try within the span.
	Ratio float64
	// Length is the span; 0 means 10 s.
	Length time.Duration

	mu sync.Mutex
	// slack is the number of extra tries in any span besides those of the ratio.
	slack float64
	// steps are those of the present span; at is the number of the last one, counted from began. It
	// never falls, also when the time of day does.
	steps [windowSteps + 1]step
	began time.Time
	at    int64
	// first and extra are the sums over steps.
	first, extra float64
}

type step struct {
	first, extra float64
}

const defaultLength = 10 * time.Second

// advance drops what is older than the span; it needs the lock.
func (w *Window) advance(now time.Time) *step {
	length := w.Length
	if length == 0 {
		length = defaultLength
	}
	if w.began.IsZero() {
		w.began = now
	}
	at := int64(now.Sub(w.began) / (length / windowSteps))
	if at-w.at > windowSteps {
		w.steps, w.first, w.extra, w.at = [windowSteps + 1]step{}, 0, 0, at
	}
	for w.at < at {
		w.at++
		s := &w.steps[w.at%int64(len(w.steps))]
		w.first -= s.first
		w.extra -= s.extra
		*s = step{}
	}
	return &w.steps[w.at%int64(len(w.steps))]
}

// SetSlack sets the number of extra tries in any span besides those of the ratio.
func (w *Window) SetSlack(slack float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.slack = slack
}

// Spend accounts for n extra tries that another process may have made.
func (w *Window) Spend(n float64, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now).extra += n
	w.extra += n
}

// Refund takes back n extra tries that were accounted for and not made.
func (w *Window) Refund(n float64, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.advance(now)
	// What was accounted for in an earlier step stays there.
	n = min(n, s.extra)
	s.extra -= n
	w.extra -= n
}

// Deposit accounts for n first tries.
func (w *Window) Deposit(n int, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now).first += float64(n)
	w.first += float64(n)
}

// Withdraw accounts for one extra try; it returns false when there is no room for it.
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

// allowance needs the lock.
func (w *Window) allowance() float64 {
	return w.slack + w.Ratio*w.first
}

// Remaining is the share of the allowance that is left, from 0 to 1.
func (w *Window) Remaining(now time.Time) float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	most := w.allowance()
	if most <= 0 {
		return 0
	}
	return max(1-w.extra/most, 0)
}
