package budgeter

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/ebonylock/ebonylock/tests/stepper"
)

// TestTimeOfDayJumps covers a wall clock that is set while the budget is in use: a try counts for the
// length of the span, no less and no longer.
func TestTimeOfDayJumps(t *testing.T) {
	for _, d := range []time.Duration{time.Hour, -time.Hour} {
		is := is.New(t)
		w := &Window{Length: 10 * time.Second}
		w.SetSlack(2)
		now := time.Now()
		is.True(w.Withdraw(now))
		is.True(w.Withdraw(now))
		is.True(!w.Withdraw(stepper.Step(now.Add(time.Second), d)))
		is.True(w.Withdraw(stepper.Step(now.Add(11*time.Second), d)))
	}
}
