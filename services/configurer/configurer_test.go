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

// fakeStore is a key-value store with injected faults.
type fakeStore struct {
	v      keeper.Value
	writes int
	// down makes reads and writes fail. loseReplies is the number of writes that take effect without a reply,
	// failWrites the number of writes that fail before they take effect. beforePut runs once before a write,
	// afterGet once after a read.
	down        bool
	loseReplies int
	failWrites  int
	beforePut   func(s *fakeStore)
	afterGet    func(s *fakeStore)
}

func (s *fakeStore) Get(string, time.Time) (keeper.Value, error) {
	switch {
	case s.down:
		return keeper.Value{}, keeper.ErrUnavailable
	case s.v.Version == 0:
		return keeper.Value{}, keeper.ErrNotFound
	}
	v := s.v
	if s.afterGet != nil {
		hook := s.afterGet
		s.afterGet = nil
		hook(s)
	}
	return v, nil
}

func (s *fakeStore) Watch(key string, _ uint64, _ time.Duration, deadline time.Time) (keeper.Value, error) {
	return s.Get(key, deadline)
}

func (s *fakeStore) Put(_ string, data []byte, ifVersion uint64, _ time.Time) (uint64, error) {
	if s.beforePut != nil {
		hook := s.beforePut
		s.beforePut = nil
		hook(s)
	}
	switch {
	case s.down:
		return 0, keeper.ErrUnknownOutcome
	case s.failWrites > 0:
		s.failWrites--
		return 0, keeper.ErrUnknownOutcome
	case s.v.Version != ifVersion:
		return 0, keeper.ErrConflict
	}
	s.v = keeper.Value{Data: data, Version: ifVersion + 1}
	s.writes++
	if s.loseReplies > 0 {
		s.loseReplies--
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

func (s *fakeStore) put(t *testing.T, cfg planner.Config) {
	t.Helper()
	raw, err := planner.EncodeConfig(cfg)
	if err != nil {
		t.Fatal(err)
	}
	s.v = keeper.Value{Data: raw, Version: s.v.Version + 1}
}

// TestConfirmFaults checks Confirm with each fault that can happen between a plan and its confirmation: a plan
// takes effect at most once, and the error tells whether it did.
func TestConfirmFaults(t *testing.T) {
	for _, tc := range []struct {
		name    string
		prepare func(t *testing.T, s *fakeStore, c *Configurer, p planner.Plan)
		want    error
		// writes is the number of writes of the plan that took effect in the store.
		writes   int
		revision uint64
	}{
		{"no fault", nil, nil, 1, 1},
		{"reply lost", func(_ *testing.T, s *fakeStore, _ *Configurer, _ planner.Plan) { s.loseReplies = 1 }, nil, 1, 1},
		{"two writes lost before they take effect", func(_ *testing.T, s *fakeStore, _ *Configurer, _ planner.Plan) { s.failWrites = 2 }, nil, 1, 1},
		{"already confirmed", func(t *testing.T, _ *fakeStore, c *Configurer, p planner.Plan) {
			if err := c.Confirm(p, time.Now().Add(time.Second)); err != nil {
				t.Fatal(err)
			}
		}, nil, 1, 1},
		{"changed since the plan", func(t *testing.T, s *fakeStore, _ *Configurer, _ planner.Plan) {
			s.put(t, planner.Config{Revision: 1, ChangedBy: "other"})
		}, planner.ErrConflict, 0, 0},
		{"changed between read and write", func(t *testing.T, s *fakeStore, _ *Configurer, _ planner.Plan) {
			s.beforePut = func(s *fakeStore) { s.put(t, planner.Config{Revision: 1, ChangedBy: "other"}) }
		}, planner.ErrConflict, 0, 0},
		{"newer revision received during the read", func(t *testing.T, s *fakeStore, c *Configurer, _ planner.Plan) {
			s.put(t, planner.Config{})
			s.afterGet = func(s *fakeStore) {
				s.put(t, planner.Config{Revision: 1, ChangedBy: "other"})
				if err := c.Adopt(s.v.Data); err != nil {
					t.Fatal(err)
				}
			}
		}, planner.ErrConflict, 0, 1},
		{"store down", func(_ *testing.T, s *fakeStore, _ *Configurer, _ planner.Plan) { s.down = true }, ErrStoreDown, 0, 0},
		{"store down since the write", func(_ *testing.T, s *fakeStore, _ *Configurer, _ planner.Plan) {
			s.beforePut = func(s *fakeStore) { s.down = true }
		}, ErrUnknownOutcome, 0, 0},
		{"store with an older revision", func(t *testing.T, _ *fakeStore, c *Configurer, _ planner.Plan) {
			raw, err := planner.EncodeConfig(planner.Config{Revision: 9})
			if err != nil || c.Adopt(raw) != nil {
				t.Fatal("no configuration")
			}
		}, ErrStoreBehind, 0, 9},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := &fakeStore{}
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

// TestOlderRevisionIsIgnored checks that neither a read of the store nor Adopt replaces the configuration by an
// older revision.
func TestOlderRevisionIsIgnored(t *testing.T) {
	is := is.New(t)
	var seen []uint64
	s := &fakeStore{}
	c := New(s, &recorder.Ring{}, func(cfg planner.Config) { seen = append(seen, cfg.Revision) })
	for _, n := range []uint64{3, 1, 3, 5, 4} {
		s.put(t, planner.Config{Revision: n})
		is.NoErr(c.read(false))
		is.NoErr(c.Adopt(s.v.Data))
	}
	is.Equal(seen, []uint64{3, 5})
	is.True(c.Adopt([]byte("{")) != nil) // a corrupt value is rejected
}
