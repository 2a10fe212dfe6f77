// Package planner defines the operators' configuration, the intents that request a change of
// it, and the plans that an operator confirms. It does no I/O.
package planner

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/google/uuid"
	"github.com/samber/oops"
)

var (
	// ErrConflict is returned when the configuration has changed since the plan was made.
	ErrConflict = errors.New("configuration changed since the plan was made")
	// ErrInvalid is returned when an intent or a plan is malformed.
	ErrInvalid = errors.New("invalid intent")
)

// maxPlanIDs is the number of confirmed plan IDs kept in a configuration.
const maxPlanIDs = 64

// Search defines the services that a search queries and the coverage that an answer requires.
type Search struct {
	// Services are the names of the services, sorted and without duplicates.
	Services []string
	// MinCoverage is the smallest acceptable fraction of covered partitions, from 0 to 1.
	MinCoverage float64
	// Fast makes the search answer once MinCoverage is reached. Otherwise it waits for all
	// partitions until the deadline.
	Fast bool
}

// Config is one revision of the operators' configuration.
type Config struct {
	// Revision is incremented by each confirmed plan; 0 is the empty configuration.
	Revision uint64
	// Searches are the search definitions by name.
	Searches map[string]Search
	// Out lists the data centres out of service, sorted.
	Out []string
	// Plans are the IDs of the most recently confirmed plans, oldest first.
	Plans []string
	// ChangedBy is the operator who confirmed this revision.
	ChangedBy string
	// ChangedAt is the time of the confirmation.
	ChangedAt time.Time
}

// IsOut reports whether data centre dc is out of service.
func (c Config) IsOut(dc string) bool {
	return slices.Contains(c.Out, dc)
}

// Intent is a configuration change requested by an operator. Empty fields change nothing.
type Intent struct {
	// SetSearches are the searches to add or replace, by name.
	SetSearches map[string]Search
	// TakeOut lists the data centres to take out of service.
	TakeOut []string
	// BringIn lists the data centres to bring back into service.
	BringIn []string
}

// Replica holds the properties of a backend server that a plan depends on.
type Replica struct {
	Service    string
	DataCentre string
	Slots      int
	Leaving    bool
}

// Capacity is the number of slots that a service has before and after a plan.
type Capacity struct {
	Service             string
	SlotsNow, SlotsThen int
}

// Plan is the outcome of an intent. Nothing changes until the plan is confirmed.
type Plan struct {
	// ID is unique. The stored configuration lists it once the plan is confirmed.
	ID string
	// Base is the configuration revision that the plan is based on.
	Base uint64
	// Result is the configuration to be written when the plan is confirmed.
	Result Config
	// Changes describes each change in one line.
	Changes []string
	// Capacities are sorted by service.
	Capacities []Capacity
	// Warnings describes each risk of the plan in one line.
	Warnings []string
}

// Make returns a plan that applies intent to cfg on behalf of the operator by. cfg is not
// modified. The error matches ErrInvalid if the intent is malformed.
func Make(cfg Config, intent Intent, replicas []Replica, by string, now time.Time) (Plan, error) {
	if err := intent.check(); err != nil {
		return Plan{}, err
	}
	p := Plan{ID: uuid.NewString(), Base: cfg.Revision}
	p.Result = Config{
		Revision:  cfg.Revision + 1,
		Searches:  maps.Clone(cfg.Searches),
		Out:       slices.Clone(cfg.Out),
		Plans:     append(slices.Clone(cfg.Plans), p.ID),
		ChangedBy: by,
		ChangedAt: now,
	}
	if len(p.Result.Plans) > maxPlanIDs {
		p.Result.Plans = p.Result.Plans[len(p.Result.Plans)-maxPlanIDs:]
	}
	if p.Result.Searches == nil {
		p.Result.Searches = make(map[string]Search)
	}
	p.apply(intent)
	p.assess(cfg, replicas)
	return p, nil
}

func (i Intent) check() error {
	for name, s := range i.SetSearches {
		switch {
		case name == "":
			return oops.Wrapf(ErrInvalid, "a search has no name")
		case len(s.Services) == 0:
			return oops.Wrapf(ErrInvalid, "search %q names no service", name)
		case s.MinCoverage < 0 || s.MinCoverage > 1:
			return oops.Wrapf(ErrInvalid, "search %q: coverage %v is not within 0 and 1", name, s.MinCoverage)
		}
	}
	for _, dc := range i.TakeOut {
		if slices.Contains(i.BringIn, dc) {
			return oops.Wrapf(ErrInvalid, "data centre %q is both taken out and brought in", dc)
		}
	}
	return nil
}

func (p *Plan) apply(i Intent) {
	for _, name := range slices.Sorted(maps.Keys(i.SetSearches)) {
		s := i.SetSearches[name]
		s.Services = slices.Compact(slices.Sorted(slices.Values(s.Services)))
		p.Result.Searches[name] = s
		p.Changes = append(p.Changes, fmt.Sprintf("search %s: %d services, coverage at least %.2f", name, len(s.Services), s.MinCoverage))
	}
	for _, dc := range i.TakeOut {
		if p.Result.IsOut(dc) {
			continue
		}
		p.Result.Out = append(p.Result.Out, dc)
		p.Changes = append(p.Changes, "data centre "+dc+" goes out of service")
	}
	for _, dc := range i.BringIn {
		if !p.Result.IsOut(dc) {
			continue
		}
		p.Result.Out = slices.DeleteFunc(p.Result.Out, func(o string) bool { return o == dc })
		p.Changes = append(p.Changes, "data centre "+dc+" comes back into service, cold")
	}
	slices.Sort(p.Result.Out)
}

func (p *Plan) assess(before Config, replicas []Replica) {
	slots := make(map[string]*Capacity)
	for _, r := range replicas {
		c := slots[r.Service]
		if c == nil {
			c = &Capacity{Service: r.Service}
			slots[r.Service] = c
		}
		if r.Leaving {
			continue
		}
		if !before.IsOut(r.DataCentre) {
			c.SlotsNow += r.Slots
		}
		if !p.Result.IsOut(r.DataCentre) {
			c.SlotsThen += r.Slots
		}
	}
	for _, name := range slices.Sorted(maps.Keys(slots)) {
		c := *slots[name]
		p.Capacities = append(p.Capacities, c)
		if c.SlotsThen == 0 {
			p.Warnings = append(p.Warnings, "service "+name+" loses its last data centre")
		} else if c.SlotsThen*2 < c.SlotsNow {
			p.Warnings = append(p.Warnings, "service "+name+" keeps less than half of its slots")
		}
	}
	for name, s := range p.Result.Searches {
		for _, svc := range s.Services {
			if slots[svc] == nil {
				p.Warnings = append(p.Warnings, "search "+name+" names service "+svc+", which has no backend server")
			}
		}
	}
	slices.Sort(p.Warnings)
}
