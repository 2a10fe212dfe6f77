package loader

import (
	"net/netip"
	"time"
)

// Callers configures the HTTP listener for callers.
type Callers struct {
	Listen netip.AddrPort
	// MaxBody is the maximum size of a request body, in bytes.
	MaxBody int
	// DefaultDeadline is the time limit of a request that does not set one.
	DefaultDeadline time.Duration
	// MaxDeadline is the maximum time limit that a request may set.
	MaxDeadline time.Duration
	// MaxInFlight is the maximum number of concurrent requests. Further requests are rejected
	// without being run.
	MaxInFlight int
}

func defaultCallers() Callers {
	return Callers{
		MaxBody:         256 << 10,
		DefaultDeadline: 300 * time.Millisecond,
		MaxDeadline:     10 * time.Second,
		MaxInFlight:     1024,
	}
}

func (s *Callers) section() section {
	return section{
		"listen":           address(&s.Listen),
		"max-body-bytes":   number(&s.MaxBody, 1<<10, 16<<20),
		"default-deadline": duration(&s.DefaultDeadline, 10*time.Millisecond, time.Minute),
		"max-deadline":     duration(&s.MaxDeadline, 10*time.Millisecond, time.Minute),
		"max-in-flight":    number(&s.MaxInFlight, 1, 1<<20),
	}
}
