package budgeter

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestWindowGivesSlackInEachSpan(t *testing.T) {
	is := is.New(t)
	w := Window{Ratio: 0.2}
	w.SetSlack(2)
	now := start
	is.True(w.Withdraw(now))
	is.True(w.Withdraw(now))
	is.True(!w.Withdraw(now)) // the slack is spent
	w.Deposit(5, now)
	is.True(w.Withdraw(now)) // 5 first tries pay for one
	is.True(!w.Withdraw(now))
	now = now.Add(9 * time.Second)
	is.True(!w.Withdraw(now)) // still the same span
	now = now.Add(2 * time.Second)
	is.True(w.Withdraw(now)) // the span is over, the slack is there again
}

func TestWindowAfterRestart(t *testing.T) {
	is := is.New(t)
	w := Window{Ratio: 0.2}
	w.SetSlack(3)
	w.Spend(3, start)
	is.Equal(w.Remaining(start), 0.0)
	is.True(!w.Withdraw(start))
	is.True(w.Withdraw(start.Add(11 * time.Second)))
}

// TestWindowHoldsInAnySpan draws first and extra tries over a minute and checks the bound in
// every span of the window's length.
func TestWindowHoldsInAnySpan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const ratio, slack, length = 0.2, 4.0, 10 * time.Second
		w := Window{Ratio: ratio, Length: length}
		w.SetSlack(slack)
		type event struct {
			at           time.Time
			first, extra float64
		}
		var events []event
		now := start
		for range rapid.IntRange(1, 300).Draw(t, "n") {
			now = now.Add(time.Duration(rapid.IntRange(0, 600).Draw(t, "gap")) * time.Millisecond)
			if rapid.Bool().Draw(t, "first") {
				w.Deposit(1, now)
				events = append(events, event{at: now, first: 1})
			} else if w.Withdraw(now) {
				events = append(events, event{at: now, extra: 1})
			}
		}
		for i, from := range events {
			first, extra := 0.0, 0.0
			for _, e := range events[i:] {
				if e.at.Sub(from.at) >= length {
					break
				}
				first += e.first
				extra += e.extra
			}
			// First tries just before the span also count for the rule.
			for _, e := range events[:i] {
				if from.at.Sub(e.at) <= length/2 {
					first += e.first
				}
			}
			if extra > ratio*first+slack {
				t.Fatalf("%v extra tries for %v first ones", extra, first)
			}
		}
	})
}
