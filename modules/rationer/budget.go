package rationer

import (
	"errors"
	"sync/atomic"
)

// ErrNoMemory is returned for a message that may take no more memory of its Budget.
var ErrNoMemory = errors.New("memory for messages exhausted")

const (
	// defaultBudget is the limit of a Budget that states none.
	defaultBudget = 20 * MiB
	// freeRatio limits a message to that many times what is left of its Budget (dynamic queue thresholds:
	// Choudhury and Hahne, 1998). A message alone may take four fifths of it. When many messages have no end,
	// each of them is stopped early, and shorter ones still have room.
	freeRatio = 4
)

// Budget limits the memory of messages that are being received or held. The zero value has a limit of 20 MiB. It is
// safe for concurrent use.
type Budget struct {
	// Limit is the number of bytes that all messages may take beyond FreeBytes each; 0 stands for 20 MiB. It
	// must be set before use.
	Limit int64
	used  atomic.Int64
	// stopped counts the messages that got ErrNoMemory.
	stopped atomic.Uint64
}

func (b *Budget) limit() int64 {
	if b.Limit > 0 {
		return b.Limit
	}
	return defaultBudget
}

// Used returns the number of bytes that all messages take beyond FreeBytes each.
func (b *Budget) Used() int64 {
	return b.used.Load()
}

// Portion is what one message takes. It must not be used concurrently.
type Portion struct {
	// Budget is what the portion draws on; nil for no limit.
	Budget *Budget
	size   int64
}

// Add counts n more bytes of the message. It returns ErrNoMemory if the message may not take them; they count
// nevertheless, until Release.
func (p *Portion) Add(n int) error {
	if p.Budget == nil {
		return nil
	}
	before := max(p.size, FreeBytes)
	p.size += int64(n)
	if p.size <= FreeBytes {
		return nil
	}
	left := p.Budget.limit() - p.Budget.used.Add(p.size-before)
	if p.size-FreeBytes > freeRatio*left {
		p.Budget.stopped.Add(1)
		return ErrNoMemory
	}
	return nil
}

// Detach makes what the message has taken independent of the portion, which can then be used for another message.
// It returns a function that releases it and must be called once; nil if nothing counts.
func (p *Portion) Detach() (release func()) {
	b, n := p.Budget, p.size-FreeBytes
	p.size = 0
	if n <= 0 {
		return nil
	}
	return func() { b.used.Add(-n) }
}

// Release returns what the message has taken. The portion can then be used for another message.
func (p *Portion) Release() {
	if p.Budget != nil && p.size > FreeBytes {
		p.Budget.used.Add(FreeBytes - p.size)
	}
	p.size = 0
}
