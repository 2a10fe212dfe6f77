// Package stamper implements a hybrid logical clock (Kulkarni et al., 2014), whose timestamps
// order causally related events of several processes.
package stamper

import (
	"fmt"
	"sync"
	"time"
)

// Stamp is a timestamp of the clock.
type Stamp struct {
	// Wall is the physical component, truncated to microseconds.
	Wall time.Time
	// Logical orders timestamps with the same physical component.
	Logical uint32
}

// Compare returns -1 if s is before t, 0 if they are equal, and 1 if s is after t.
func (s Stamp) Compare(t Stamp) int {
	if c := s.Wall.Compare(t.Wall); c != 0 {
		return c
	}
	switch {
	case s.Logical < t.Logical:
		return -1
	case s.Logical > t.Logical:
		return 1
	}
	return 0
}

// String returns the physical component in RFC 3339 format with microseconds, a plus sign and
// the logical component.
func (s Stamp) String() string {
	return fmt.Sprintf("%s+%d", s.Wall.UTC().Format("2006-01-02T15:04:05.000000Z"), s.Logical)
}

// Clock is a hybrid logical clock. The zero value is ready to use.
type Clock struct {
	mu sync.Mutex
	// last is the latest timestamp issued or observed. All later ones are after it.
	last Stamp
}

// Now returns a timestamp that is after all timestamps issued or observed so far; wall is the
// current wall clock time.
func (c *Clock) Now(wall time.Time) Stamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	wall = wall.Truncate(time.Microsecond)
	if wall.After(c.last.Wall) {
		c.last = Stamp{Wall: wall}
	} else {
		c.last.Logical++
	}
	return c.last
}

// Observe advances the clock to a timestamp of another process.
func (c *Clock) Observe(s Stamp) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.Compare(c.last) > 0 {
		c.last = s
	}
}
