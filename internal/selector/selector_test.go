package selector

import (
	"slices"
	"testing"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// Load: groups are formed again after a quarter of the servers has lost the store, or after some
// have ended.
func TestSelect(t *testing.T) {
	const rejoin, warm, cold = 200 * time.Millisecond, 1600 * time.Millisecond, 16 * time.Second
	for name, c := range map[string]struct {
		candidates []Candidate
		want       []fuchsiapitch.ServerID
	}{
		"those that join soonest":             {[]Candidate{{"a", cold, true, false}, {"b", rejoin, true, false}, {"c", warm, true, false}}, []fuchsiapitch.ServerID{"b", "c"}},
		"in the given order among equals":     {[]Candidate{{"b", warm, true, false}, {"a", warm, true, false}, {"c", warm, true, false}}, []fuchsiapitch.ServerID{"b", "a"}},
		"the former leader leads":             {[]Candidate{{"a", rejoin, true, false}, {"b", rejoin, true, true}}, []fuchsiapitch.ServerID{"b", "a"}},
		"a listed one leads":                  {[]Candidate{{"a", rejoin, false, true}, {"b", rejoin, true, false}}, []fuchsiapitch.ServerID{"b", "a"}},
		"a listed one before an unlisted one": {[]Candidate{{"a", rejoin, false, false}, {"b", rejoin, true, false}, {"c", rejoin, true, false}}, []fuchsiapitch.ServerID{"b", "c"}},
		"an unlisted one that is much faster": {[]Candidate{{"a", rejoin, false, false}, {"b", rejoin, true, false}, {"c", warm, true, false}}, []fuchsiapitch.ServerID{"b", "a"}},
		"one listed one though it joins late": {[]Candidate{{"a", rejoin, false, false}, {"b", rejoin, false, false}, {"c", cold, true, false}}, []fuchsiapitch.ServerID{"c", "a"}},
		"none without a listed one":           {[]Candidate{{"a", rejoin, false, false}, {"b", rejoin, false, false}}, nil},
		"none of too few":                     {[]Candidate{{"a", rejoin, true, false}}, nil},
		"none of none":                        {nil, nil},
	} {
		t.Run(name, func(t *testing.T) {
			before := slices.Clone(c.candidates)
			if got, want := Select(c.candidates, 2), c.want; !slices.Equal(got, want) {
				t.Errorf("got members %q, want %q", got, want)
			}
			if !slices.Equal(c.candidates, before) {
				t.Errorf("got candidates %v changed, want %v", c.candidates, before)
			}
		})
	}
}
