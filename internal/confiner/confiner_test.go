package confiner

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/fuchsiapitch/fuchsiapitch"
)

func TestBothListsBind(t *testing.T) {
	tests := []struct {
		name            string
		route, customer []fuchsiapitch.RegionName
		want            string
	}{
		{"none", nil, nil, "anywhere"},
		{"route alone", []fuchsiapitch.RegionName{"b", "a", "b"}, nil, "a,b"},
		{"customer alone", nil, []fuchsiapitch.RegionName{"a"}, "a"},
		{"both", []fuchsiapitch.RegionName{"a", "b"}, []fuchsiapitch.RegionName{"b", "c"}, "b"},
		{"both without a common one", []fuchsiapitch.RegionName{"a"}, []fuchsiapitch.RegionName{"b"}, "nowhere"},
		{"nameless", []fuchsiapitch.RegionName{""}, nil, "nowhere"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := Confine(test.route, test.customer).String(); got != test.want {
				t.Errorf("got %s, want %s", got, test.want)
			}
		})
	}
}

// A region is allowed if each of the lists that are set contains it, whatever their names.
func TestHomeAllowsWhatTheListsContain(t *testing.T) {
	names := rapid.SliceOf(rapid.SampledFrom([]fuchsiapitch.RegionName{"a", "b", "ab", "c", "a,b"}))
	rapid.Check(t, func(t *rapid.T) {
		route, customer, other := names.Draw(t, "route"), names.Draw(t, "customer"), names.Draw(t, "other")
		home := Confine(route, customer)
		allowed := func(r fuchsiapitch.RegionName) bool {
			return (len(route) == 0 || slices.Contains(route, r)) && (len(customer) == 0 || slices.Contains(customer, r))
		}
		for _, r := range []fuchsiapitch.RegionName{"a", "b", "ab", "c", "a,b"} {
			if got, want := home.Allows(r), allowed(r); got != want {
				t.Errorf("got %t for region %q, want %t", got, r, want)
			}
		}
		if parsed, ok := Parse(string(home)); !ok || parsed != home {
			t.Errorf("got %q from another host, want %q", parsed, home)
		}
		if got, want := home.Overlaps(Confine(other, nil)), Confine(other, nil).Overlaps(home); got != want {
			t.Errorf("got overlaps %t and %t, want them equal", got, want)
		}
	})
}

func TestNarrowDropsRegionsWithoutDataCentre(t *testing.T) {
	regions := Regions{"z1": "a", "z2": "a", "z3": "b"}
	for home, want := range map[Home]string{
		Anywhere: "anywhere", Confine([]fuchsiapitch.RegionName{"a", "x"}, nil): "a", Confine([]fuchsiapitch.RegionName{"x"}, nil): "nowhere", Nowhere: "nowhere",
	} {
		if got := regions.Narrow(home).String(); got != want {
			t.Errorf("got %s from %s, want %s", got, home, want)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add(string(Confine([]fuchsiapitch.RegionName{"a", "b"}, nil)))
	f.Fuzz(func(t *testing.T, text string) {
		if h, ok := Parse(text); ok && h.Allows("") != (h == Anywhere) {
			t.Errorf("got home %q that allows an unknown region", text)
		}
	})
}
