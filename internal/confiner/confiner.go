// Package confiner decides which regions a request may use. The home of a request is the set of
// regions that its route and its customer allow; only servers there may get it. The package is
// pure.
package confiner

import (
	"slices"
	"strings"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// separator separates the regions of a home. No name of a region contains it.
const separator = "\x1f"

// Home is a set of regions in canonical form, so that homes can be compared and be keys of maps:
// the sorted names, with a separator before and after each. The zero value allows every region.
type Home string

const (
	// Anywhere allows every region, also unknown ones.
	Anywhere Home = ""
	// Nowhere allows no region.
	Nowhere Home = separator
)

// maxHomeBytes bounds a home that another host has sent.
const maxHomeBytes = 1 << 10

// Confine returns the home of a request from the regions that its route and its customer allow.
// An empty list allows all. If both are set, both bind.
func Confine(route, customer []fuchsiapitch.RegionName) Home {
	switch {
	case len(route) == 0:
		return newHome(customer)
	case len(customer) == 0:
		return newHome(route)
	}
	var both []fuchsiapitch.RegionName
	for _, r := range route {
		if slices.Contains(customer, r) {
			both = append(both, r)
		}
	}
	if len(both) == 0 {
		return Nowhere
	}
	return newHome(both)
}

// newHome returns the home of a list of regions, Anywhere for none.
func newHome(regions []fuchsiapitch.RegionName) Home {
	if len(regions) == 0 {
		return Anywhere
	}
	sorted := slices.Clone(regions)
	slices.Sort(sorted)
	home := separator
	for _, r := range slices.Compact(sorted) {
		if r != "" && !strings.Contains(string(r), separator) {
			home += string(r) + separator
		}
	}
	return Home(home)
}

// Parse returns a home that another host has sent, false if it has no valid form.
func Parse(text string) (Home, bool) {
	h := Home(text)
	return h, h == Anywhere || len(text) <= maxHomeBytes && h == newHome(h.Regions()) || h == Nowhere
}

// Regions returns the regions of a home in their order, nil for Anywhere and Nowhere.
func (h Home) Regions() []fuchsiapitch.RegionName {
	if h == Anywhere || h == Nowhere {
		return nil
	}
	var regions []fuchsiapitch.RegionName
	for name := range strings.SplitSeq(strings.Trim(string(h), separator), separator) {
		regions = append(regions, fuchsiapitch.RegionName(name))
	}
	return regions
}

// Allows reports whether a request with this home may use a region, which is "" if unknown.
func (h Home) Allows(region fuchsiapitch.RegionName) bool {
	return h == Anywhere || region != "" && strings.Contains(string(h), separator+string(region)+separator)
}

// Overlaps reports whether some region is allowed by both homes.
func (h Home) Overlaps(other Home) bool {
	if h == Anywhere {
		return other != Nowhere
	}
	return slices.ContainsFunc(h.Regions(), other.Allows)
}

// String returns the regions joined by commas, "anywhere" or "nowhere".
func (h Home) String() string {
	switch h {
	case Anywhere:
		return "anywhere"
	case Nowhere:
		return "nowhere"
	}
	return strings.ReplaceAll(strings.Trim(string(h), separator), separator, ",")
}

// Regions are the regions of the data centres.
type Regions map[fuchsiapitch.DataCentreName]fuchsiapitch.RegionName

// Narrow returns a home without the regions in which there is no data centre. The homes of all
// requests are thus no more than the sets of existing regions.
func (r Regions) Narrow(h Home) Home {
	if h == Anywhere {
		return h
	}
	var existing []fuchsiapitch.RegionName
	for _, region := range r {
		if h.Allows(region) {
			existing = append(existing, region)
		}
	}
	if len(existing) == 0 {
		return Nowhere
	}
	return newHome(existing)
}
