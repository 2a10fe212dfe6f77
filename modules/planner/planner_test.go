package planner

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

var epoch = time.Unix(1_700_000_000, 0).UTC()

func replicas() []Replica {
	return []Replica{{"a", "x", 2, false}, {"a", "y", 2, false}, {"b", "x", 4, false}, {"b", "y", 4, true}}
}

func TestPlans(t *testing.T) {
	search := map[string]Search{"s": {Services: []string{"b", "a", "a"}, MinCoverage: 0.5}}
	for _, tc := range []struct {
		name     string
		cfg      Config
		intent   Intent
		changes  int
		warnings []string
	}{
		{"nothing", Config{}, Intent{}, 0, nil},
		{"search", Config{}, Intent{SetSearches: search}, 1, nil},
		{"unknown service", Config{}, Intent{SetSearches: map[string]Search{"s": {Services: []string{"c"}}}}, 1, []string{"search s names service c, which has no backend server"}},
		{"take out", Config{}, Intent{TakeOut: []string{"x"}}, 1, []string{"service b loses its last data centre"}},
		{"take out twice", Config{Out: []string{"x"}}, Intent{TakeOut: []string{"x"}}, 0, []string{"service b loses its last data centre"}},
		{"bring in", Config{Out: []string{"x"}}, Intent{BringIn: []string{"x"}}, 1, nil},
		{"take out the last data centre", Config{Out: []string{"x"}}, Intent{TakeOut: []string{"y"}}, 1, []string{"service a loses its last data centre", "service b loses its last data centre"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			p, err := Make(tc.cfg, tc.intent, replicas(), "abebe", epoch)
			is.NoErr(err)
			is.Equal(len(p.Changes), tc.changes)
			is.Equal(p.Warnings, tc.warnings)
			is.Equal(p.Result.Revision, tc.cfg.Revision+1)
			is.Equal(p.Result.ChangedBy, "abebe")
		})
	}
}

func TestInvalidIntents(t *testing.T) {
	for name, i := range map[string]Intent{
		"no name":         {SetSearches: map[string]Search{"": {Services: []string{"a"}}}},
		"no service":      {SetSearches: map[string]Search{"s": {}}},
		"coverage":        {SetSearches: map[string]Search{"s": {Services: []string{"a"}, MinCoverage: 1.5}}},
		"both out and in": {TakeOut: []string{"x"}, BringIn: []string{"x"}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := Make(Config{}, i, nil, "", epoch)
			is.True(errors.Is(err, ErrInvalid))
		})
	}
}

func TestMakeDoesNotModifyBase(t *testing.T) {
	is := is.New(t)
	base := Config{Searches: map[string]Search{"s": {Services: []string{"a"}}}, Out: []string{"x"}}
	_, err := Make(base, Intent{SetSearches: map[string]Search{"t": {Services: []string{"b"}}}, BringIn: []string{"x"}}, nil, "", epoch)
	is.NoErr(err)
	is.Equal(len(base.Searches), 1)
	is.Equal(base.Out, []string{"x"})
}

func TestPlanIDLimit(t *testing.T) {
	is := is.New(t)
	var cfg Config
	for i := range 3 * maxPlanIDs {
		p, err := Make(cfg, Intent{TakeOut: []string{fmt.Sprint(i)}}, nil, "", epoch)
		is.NoErr(err)
		cfg = p.Result
		is.Equal(cfg.Plans[len(cfg.Plans)-1], p.ID)
	}
	is.Equal(len(cfg.Plans), maxPlanIDs)
}

func TestCodecs(t *testing.T) {
	is := is.New(t)
	intent := Intent{SetSearches: map[string]Search{"s": {Services: []string{"a"}, MinCoverage: 0.5, Fast: true}}, TakeOut: []string{"x"}, BringIn: []string{"y"}}
	p, err := Make(Config{Out: []string{"y"}}, intent, replicas(), "sara", epoch)
	is.NoErr(err)
	raw, err := EncodePlan(p)
	is.NoErr(err)
	got, err := DecodePlan(raw)
	is.NoErr(err)
	is.Equal(got, p)
	raw, err = EncodeIntent(intent)
	is.NoErr(err)
	gotIntent, err := DecodeIntent(raw)
	is.NoErr(err)
	is.Equal(gotIntent, intent)
}
