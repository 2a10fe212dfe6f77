// Package spooler writes log lines to a slow output asynchronously, so that callers never
// block. Lines that exceed the byte rate or the queue size are dropped and counted.
package spooler

import (
	"cmp"
	"io"
	"sync"
	"time"
)

const (
	defaultRate      = 64 << 10
	defaultMaxQueued = 512 << 10
	// reservedShare is the fraction of the burst and of the queue that only important lines
	// may use.
	reservedShare = 0.5
)

// Spooler queues lines for one output. The zero value with Out set is ready to use.
type Spooler struct {
	// Out is the output. A single goroutine writes to it, one line per call.
	Out io.Writer
	// Rate is the maximum number of bytes accepted per second, with bursts of up to
	// burstSeconds times as many bytes; 0 means 64 KiB.
	Rate int
	// MaxQueued is the maximum number of bytes waiting for the output; 0 means 512 KiB.
	MaxQueued int

	mu    sync.Mutex
	queue [][]byte
	// queuedBytes counts the bytes in queue and in the write under way. It never exceeds
	// MaxQueued.
	queuedBytes int
	// tokens is the number of bytes that could be accepted at the time refilled.
	tokens   float64
	refilled time.Time
	dropped  uint64
	wake     chan struct{}
}

// burstSeconds is the size of the token bucket, in seconds at the full rate.
const burstSeconds = 4

// enqueue queues a copy of line. It returns false if the line is dropped.
func (s *Spooler) enqueue(line []byte, important bool, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	rate, maxQueued := float64(cmp.Or(s.Rate, defaultRate)), cmp.Or(s.MaxQueued, defaultMaxQueued)
	burst := rate * burstSeconds
	if s.wake == nil {
		s.wake = make(chan struct{}, 1)
		s.tokens, s.refilled = burst, now
		go s.drain()
	}
	s.tokens = min(burst, s.tokens+rate*max(now.Sub(s.refilled).Seconds(), 0))
	s.refilled = now
	minTokens, limit := 0.0, float64(maxQueued)
	if !important {
		minTokens, limit = reservedShare*burst, limit*(1-reservedShare)
	}
	if s.tokens-float64(len(line)) < minTokens || float64(s.queuedBytes+len(line)) > limit {
		s.dropped++
		return false
	}
	s.tokens -= float64(len(line))
	s.queue = append(s.queue, append([]byte(nil), line...))
	s.queuedBytes += len(line)
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return true
}

// drain writes queued lines to Out. It runs in a goroutine of its own.
func (s *Spooler) drain() {
	for range s.wake {
		for {
			s.mu.Lock()
			if len(s.queue) == 0 {
				s.queue = nil
				s.mu.Unlock()
				break
			}
			line := s.queue[0]
			s.queue = s.queue[1:]
			s.mu.Unlock()
			// The line is lost if the write fails: there is nowhere to report the error.
			_, _ = s.Out.Write(line)
			s.mu.Lock()
			s.queuedBytes -= len(line)
			s.mu.Unlock()
		}
	}
}

// Dropped returns the number of lines dropped so far.
func (s *Spooler) Dropped() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dropped
}

// Flush waits until all queued lines are written or the timeout expires.
func (s *Spooler) Flush(timeout time.Duration) {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		s.mu.Lock()
		queued := s.queuedBytes
		s.mu.Unlock()
		if queued == 0 {
			return
		}
	}
}

// Important returns the writer for lines that may use the full rate and queue.
func (s *Spooler) Important() io.Writer {
	return writer{s, true}
}

// Routine returns the writer for lines that are dropped first under load.
func (s *Spooler) Routine() io.Writer {
	return writer{s, false}
}

type writer struct {
	spooler   *Spooler
	important bool
}

// Write queues one line. It never returns an error, even if the line is dropped, because the
// caller cannot handle it.
func (w writer) Write(line []byte) (int, error) {
	w.spooler.enqueue(line, w.important, time.Now())
	return len(line), nil
}
