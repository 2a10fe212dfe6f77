package loader

import "time"

// Limits configures the load on backend servers and the assumptions about them.
type Limits struct {
	// RunLimit is the maximum duration of a run at a backend server.
	RunLimit time.Duration
	// ExtraRatio is the number of extra backend requests (retries and hedges) allowed per
	// first try.
	ExtraRatio float64
	// MaxHedges is the maximum number of hedged requests for one part of a query.
	MaxHedges int
	// RepliesPerSlot is the number of replies after which a server that is warming up gets
	// another slot.
	RepliesPerSlot int
	// ClockSlack is the maximum difference between the clocks of a VM and a backend server.
	ClockSlack time.Duration
	// RestartTime is the minimum time that a backend server needs to restart.
	RestartTime time.Duration
}

func defaultLimits() Limits {
	return Limits{
		RunLimit:       450 * time.Millisecond,
		ExtraRatio:     0.04,
		MaxHedges:      2,
		RepliesPerSlot: 16,
		ClockSlack:     20 * time.Millisecond,
		RestartTime:    250 * time.Millisecond,
	}
}

func (s *Limits) section() section {
	return section{
		"run-limit":        duration(&s.RunLimit, 10*time.Millisecond, 10*time.Second),
		"extra-ratio":      number(&s.ExtraRatio, 0, 1),
		"max-hedges":       number(&s.MaxHedges, 0, 4),
		"replies-per-slot": number(&s.RepliesPerSlot, 1, 1<<20),
		"restart-time":     duration(&s.RestartTime, 10*time.Millisecond, time.Minute),
		"clock-slack":      duration(&s.ClockSlack, time.Millisecond, time.Second),
	}
}
