package configurer

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/ebonylock/ebonylock/modules/keeper"
	"github.com/ebonylock/ebonylock/modules/planner"
	"github.com/ebonylock/ebonylock/modules/recorder"
)

// store is a key-value store whose faults are set by a test.
type store struct {
	v      keeper.Value
	writes int
	// down fails reads and writes; lose makes that many writes lose their reply; refuse
	// makes that many writes fail before they take effect; race runs before a write, overtake
	// after a read.
	down     bool
	lose     int
	refuse   int
	race     func(s *store)
	overtake func(s *store)
}

func (s *store) Get(string, time.Time) (keeper.Value, error) {
	switch {
	case s.down:
		return keeper.Value{}, keeper.ErrUnavailable
	case s.v.Version == 0:
		return keeper.Value{}, keeper.ErrNotFound
	}
	v := s.v
	if s.overtake != nil {
		overtake := s.overtake
		s.overtake = nil
		overtake(s)
	}
	return v, nil
}

func (s *store) Watch(key string, _ uint64, _ time.Duration, deadline time.Time) (keeper.Value, error) {
	return s.Get(key, deadline)
}

func (s *store) Put(_ string, data []byte, ifVersion uint64, _ time.Time) (uint64, error) {
	if s.race != nil {
		race := s.race
		s.race = nil
		race(s)
	}
	switch {
	case s.down:
		return 0, keeper.ErrUnknownOutcome
	case s.refuse > 0:
		s.refuse--
		return 0, keeper.ErrUnknownOutcome
	case s.v.Version != ifVersion:
		return 0, keeper.ErrConflict
	}
	s.v = keeper.Value{Data: data, Version: ifVersion + 1}
	s.writes++
	if s.lose > 0 {
		s.lose--
		return 0, keeper.ErrUnknownOutcome
	}
	return s.v.Version, nil
}

func makePlan(t *testing.T, cfg planner.Config, out string) planner.Plan {
	t.Helper()
	p, err := planner.Make(cfg, planner.Intent{TakeOut: []string{out}}, nil, "tester", time.Unix(0, 0))
	if err != nil {
		t.Fatal(err)
	}
	return p
}

func (s *store) put(t *testing.T, cfg planner.Config) {
	t.Helper()
	raw, err := planner.EncodeConfig(cfg)
	if err != nil {
		t.Fatal(err)
	}
	s.v = keeper.Value{Data: raw, Version: s.v.Version + 1}
}

// TestConfirmFaults covers what can happen between a plan and its confirmation.
func TestConfirmFaults(t *testing.T) {
	for _, tc := range []struct {
		name    string
		prepare func(t *testing.T, s *store, c *Configurer, p planner.Plan)
		want    error
		// writes is the number of writes of the plan that took effect.
		writes   int
		revision uint64
	}{
		{"no fault", nil, nil, 1, 1},
		{"reply lost", func(_ *testing.T, s *store, _ *Configurer, _ planner.Plan) { s.lose = 1 }, nil, 1, 1},
		{"write lost, then done", func(_ *testing.T, s *store, _ *Configurer, _ planner.Plan) { s.refuse = 2 }, nil, 1, 1},
		{"confirmed before", func(t *testing.T, _ *store, c *Configurer, p planner.Plan) {
			if err := c.Confirm(p, time.Now().Add(time.Second)); err != nil {
				t.Fatal(err)
			}
		}, nil, 1, 1},
		{"changed since the plan", func(t *testing.T, s *store, _ *Configurer, _ planner.Plan) {
			s.put(t, planner.Config{Revision: 1, ChangedBy: "other"})
		}, planner.ErrConflict, 0, 0},
		{"changed between read and write", func(t *testing.T, s *store, _ *Configurer, _ planner.Plan) {
			s.race = func(s *store) { s.put(t, planner.Config{Revision: 1, ChangedBy: "other"}) }
		}, planner.ErrConflict, 0, 0},
		{"another change is heard of during the read", func(t *testing.T, s *store, c *Configurer, _ planner.Plan) {
			s.put(t, planner.Config{})
			s.overtake = func(s *store) {
				s.put(t, planner.Config{Revision: 1, ChangedBy: "other"})
				if err := c.Adopt(s.v.Data); err != nil {
					t.Fatal(err)
				}
			}
		}, planner.ErrConflict, 0, 1},
		{"store down", func(_ *testing.T, s *store, _ *Configurer, _ planner.Plan) { s.down = true }, ErrStoreDown, 0, 0},
		{"store down from the write on", func(_ *testing.T, s *store, _ *Configurer, _ planner.Plan) {
			s.race = func(s *store) { s.down = true }
		}, ErrUnknownOutcome, 0, 0},
		{"store with an older value", func(t *testing.T, _ *store, c *Configurer, _ planner.Plan) {
			raw, err := planner.EncodeConfig(planner.Config{Revision: 9})
			if err != nil || c.Adopt(raw) != nil {
				t.Fatal("no configuration")
			}
		}, ErrStoreBehind, 0, 9},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := &store{}
				c := New(s, &recorder.Ring{}, func(planner.Config) {})
				p := makePlan(t, planner.Config{}, "x")
				if tc.prepare != nil {
					tc.prepare(t, s, c, p)
				}
				err := c.Confirm(p, time.Now().Add(2*time.Second))
				is.True(errors.Is(err, tc.want))
				is.Equal(s.writes, tc.writes)
				cfg, _ := c.Current()
				is.Equal(cfg.Revision, tc.revision)
			})
		})
	}
}

// TestNeverBack offers older revisions in every way and checks that none is taken.
func TestNeverBack(t *testing.T) {
	is := is.New(t)
	var seen []uint64
	s := &store{}
	c := New(s, &recorder.Ring{}, func(cfg planner.Config) { seen = append(seen, cfg.Revision) })
	for _, n := range []uint64{3, 1, 3, 5, 4} {
		s.put(t, planner.Config{Revision: n})
		is.NoErr(c.read(false))
		is.NoErr(c.Adopt(s.v.Data))
	}
	is.Equal(seen, []uint64{3, 5})
	is.True(c.Adopt([]byte("{")) != nil) // damaged values are left alone
}
