package stamper

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestCausalOrder sends messages between processes whose wall clocks differ and jump, and
// checks that an event always has a later timestamp than its causes.
func TestCausalOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var clocks [3]Clock
		var last [3]Stamp
		epoch := time.Unix(1_700_000_000, 0)
		for range rapid.IntRange(1, 100).Draw(t, "events") {
			i := rapid.IntRange(0, 2).Draw(t, "process")
			wall := epoch.Add(time.Duration(rapid.IntRange(-1000, 1000).Draw(t, "wall")) * time.Millisecond)
			sent := clocks[i].Now(wall)
			if sent.Compare(last[i]) <= 0 {
				t.Fatalf("timestamp %v follows %v in the same process", sent, last[i])
			}
			last[i] = sent
			j := rapid.IntRange(0, 2).Draw(t, "receiver")
			clocks[j].Observe(sent)
			got := clocks[j].Now(epoch)
			if got.Compare(sent) <= 0 {
				t.Fatalf("timestamp %v on receipt does not follow %v of the message", got, sent)
			}
			last[j] = got
		}
	})
}

func TestPhysicalTimeAdvances(t *testing.T) {
	is := is.New(t)
	var c Clock
	wall := time.Unix(1_700_000_000, 123_456_789)
	is.Equal(c.Now(wall).Wall, wall.Truncate(time.Microsecond))
	is.Equal(c.Now(wall).Logical, uint32(1))
	is.Equal(c.Now(wall.Add(time.Second)).Logical, uint32(0))
}
