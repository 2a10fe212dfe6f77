package spooler

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// output collects lines. If stalled is set, writes block until it is closed.
type output struct {
	mu      sync.Mutex
	buf     bytes.Buffer
	stalled chan struct{}
}

func (o *output) Write(p []byte) (int, error) {
	if o.stalled != nil {
		<-o.stalled
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buf.Write(p)
}

func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buf.String()
}

func TestLinesKeepTheirOrder(t *testing.T) {
	is := is.New(t)
	var o output
	s := Spooler{Out: &o}
	want := ""
	for i := range 100 {
		w := s.Important()
		if i%2 == 0 {
			w = s.Routine()
		}
		_, err := fmt.Fprintf(w, "line %d\n", i)
		is.NoErr(err)
		want += fmt.Sprintf("line %d\n", i)
	}
	s.Flush(10 * time.Second)
	is.Equal(o.String(), want)
	is.Equal(s.Dropped(), uint64(0))
}

// TestRateLimitKeepsImportantLines checks that the output stays within the byte rate, and that
// excess routine lines do not displace important ones.
func TestRateLimitKeepsImportantLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var o output
		s := Spooler{Out: &o, Rate: 1000, MaxQueued: 1 << 20}
		routine, important := s.Routine(), s.Important()
		for i := range 10_000 { // 100 s of routine lines at 1,100 bytes per second
			_, _ = routine.Write([]byte(strings.Repeat("r", 10) + "\n"))
			if i%100 == 0 {
				_, _ = important.Write([]byte("important\n"))
			}
			time.Sleep(10 * time.Millisecond)
		}
		synctest.Wait()
		out := o.String()
		is.Equal(strings.Count(out, "important"), 100)
		is.True(len(out) <= 1000*(100+burstSeconds))
		is.True(s.Dropped() > 0)
		close(s.wake)
	})
}

// TestStalledOutputDoesNotBlock covers a reader of standard output that stops reading: writers
// must not block, and the queue must stay within MaxQueued.
func TestStalledOutputDoesNotBlock(t *testing.T) {
	is := is.New(t)
	o := output{stalled: make(chan struct{})}
	s := Spooler{Out: &o, Rate: 1 << 30, MaxQueued: 1000}
	for range 10_000 {
		_, err := s.Important().Write([]byte("a line\n"))
		is.NoErr(err)
	}
	is.True(s.Dropped() > 9000)
	close(o.stalled)
	s.Flush(10 * time.Second)
	is.True(len(o.String()) <= 1000+len("a line\n"))
}
