// Package spooler writes lines to a slow output without ever waiting for it. Lines over a
// budget of bytes, or over the room of the queue, are dropped and counted.
package spooler

import (
	"cmp"
	"io"
	"sync"
	"time"
)

const (
	defaultRate = 64 << 10
	defaultRoom = 512 << 10
	// reserve is the share of the budget and of the room that routine lines leave to
	// important ones.
	reserve = 0.5
)

// Spooler queues lines for one output. The zero value with Out is ready for use.
type Spooler struct {
	// Out is written by one goroutine, one line a call.
	Out io.Writer
	// Rate is the most bytes taken in a second; 0 means 64 KiB. Four seconds' worth may come
	// at once.
	Rate int
	// MaxQueued is the most bytes that wait for the output; 0 means 512 KiB.
	MaxQueued int

	mu    sync.Mutex
	queue [][]byte
	// waiting is the number of bytes in queue, never above Room.
	waiting int
	// tokens is the number of bytes that may be taken now, as of at.
	tokens  float64
	at      time.Time
	dropped uint64
	wake    chan struct{}
}

// burstSeconds is the number of seconds whose bytes may be taken at once.
const burstSeconds = 4

// put queues a copy of line. It returns false when the line was dropped.
func (s *Spooler) put(line []byte, important bool, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	rate, room := float64(cmp.Or(s.Rate, defaultRate)), cmp.Or(s.MaxQueued, defaultRoom)
	burst := rate * burstSeconds
	if s.wake == nil {
		s.wake = make(chan struct{}, 1)
		s.tokens, s.at = burst, now
		go s.drain()
	}
	s.tokens = min(burst, s.tokens+rate*max(now.Sub(s.at).Seconds(), 0))
	s.at = now
	keep, limit := 0.0, float64(room)
	if !important {
		keep, limit = reserve*burst, limit*(1-reserve)
	}
	if s.tokens-float64(len(line)) < keep || float64(s.waiting+len(line)) > limit {
		s.dropped++
		return false
	}
	s.tokens -= float64(len(line))
	s.queue = append(s.queue, append([]byte(nil), line...))
	s.waiting += len(line)
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return true
}

// drain is the one goroutine that writes.
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
			// A failed write has nowhere to be told; the line is lost.
			_, _ = s.Out.Write(line)
			s.mu.Lock()
			s.waiting -= len(line)
			s.mu.Unlock()
		}
	}
}

// Dropped is the number of lines dropped so far.
func (s *Spooler) Dropped() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dropped
}

// Flush waits until the queue is written or the timeout is over.
func (s *Spooler) Flush(timeout time.Duration) {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		s.mu.Lock()
		waiting := s.waiting
		s.mu.Unlock()
		if waiting == 0 {
			return
		}
	}
}

// Important is the writer for lines that are kept first.
func (s *Spooler) Important() io.Writer {
	return writer{s, true}
}

// Routine is the writer for lines that are dropped first.
func (s *Spooler) Routine() io.Writer {
	return writer{s, false}
}

type writer struct {
	s         *Spooler
	important bool
}

// Write queues one line. It never fails, as the caller can do nothing about it.
func (w writer) Write(line []byte) (int, error) {
	w.s.put(line, w.important, time.Now())
	return len(line), nil
}
