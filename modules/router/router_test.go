package router

import (
	"math"
	"testing"

	"github.com/matryer/is"
)

func TestMatch(t *testing.T) {
	table := New(Config{Version: 1, Routes: []Route{
		{Name: "short", Host: "a.example", Prefix: "/x/"},
		{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		{Name: "other", Host: "b.example", Prefix: "/"},
	}})
	for _, tc := range []struct{ name, host, path, want string }{
		{"longest prefix", "a.example", "/x/y/z", "long"},
		{"shorter prefix", "a.example", "/x/z", "short"},
		{"prefix ends with a slash", "a.example", "/x/yz", "short"},
		{"no matching prefix", "a.example", "/", ""},
		{"host in capitals with a port", "A.Example:80", "/x/", "short"},
		{"second host", "b.example", "/x/", "other"},
		{"unknown host", "c.example", "/x/", ""},
		{"address as host", "[::1]", "/x/", ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			m := table.Match(tc.host, tc.path)
			if m == nil {
				is.Equal(tc.want, "")
				return
			}
			is.Equal(m.Name, tc.want)
		})
	}
}

// TestSplitHoldsInShortSpans checks the shares over any 40 consecutive requests.
func TestSplitHoldsInShortSpans(t *testing.T) {
	is := is.New(t)
	m := New(Config{Routes: []Route{{
		Host: "h", Prefix: "/",
		Shares: []Share{{"a", 0.7}, {"b", 0.2}, {"c", 0.1}, {"none", 0}},
	}}}).Match("h", "/")
	var got []string
	for range 1000 {
		got = append(got, m.Service())
	}
	for i := 0; i+40 <= len(got); i++ {
		n := map[string]float64{}
		for _, s := range got[i : i+40] {
			n[s]++
		}
		is.Equal(n["none"], 0.0)
		for s, want := range map[string]float64{"a": 0.7, "b": 0.2, "c": 0.1} {
			is.True(math.Abs(n[s]/40-want) <= 0.1)
		}
	}
}

// TestSplitOfManyVMs checks that VMs which load a configuration at the same time do not all choose the
// same service first.
func TestSplitOfManyVMs(t *testing.T) {
	is := is.New(t)
	cfg := Config{Routes: []Route{{Host: "h", Prefix: "/", Shares: []Share{{"a", 0.5}, {"b", 0.5}}}}}
	n := 0
	for range 400 {
		if New(cfg).Match("h", "/").Service() == "a" {
			n++
		}
	}
	is.True(n > 100 && n < 300)
}

func TestRouteWithoutUsableService(t *testing.T) {
	is := is.New(t)
	m := New(Config{Routes: []Route{{Host: "h", Prefix: "/", Shares: []Share{{"a", 0}, {"b", 0}}}}}).Match("h", "/")
	is.Equal(m.Service(), "")
}
