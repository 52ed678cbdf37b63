// Package adopter tells a new controller which formations of groups exist, from what their
// members say. It keeps no state and reads no clock.
//
// The server list does not name every member: a server that cannot reach the store is off the
// list though it works, and a controller that has just started knows nothing of it. A formation
// serves on without such a member's entry, as long as its leader does.
package adopter

import (
	"cmp"
	"slices"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// Report is what one server says of its formation. It is a plain record.
type Report struct {
	Server     fuchsiapitch.ServerID
	Membership fuchsiapitch.Membership
	// Model is the model that the server has loaded, "" if unknown.
	Model string
}

// Formation is what several reports say of one formation. It is a plain record.
type Formation struct {
	Ref   fuchsiapitch.GroupRef
	Model string
	// Size is the group size of the model, 0 if the model is unknown.
	Size int
	// Members are the servers in rank order, "" for each that no report names.
	Members []fuchsiapitch.ServerID
	// Serves is true if the leader accepts requests by its report.
	Serves bool
}

// Adopt returns the formations of all reports, the lowest epoch first. sizeOf returns the group size
// of a model, 0 for an unknown one.
func Adopt(reports []Report, sizeOf func(model string) int) []Formation {
	found := make(map[fuchsiapitch.GroupRef]*Formation)
	var order []*Formation
	for _, r := range reports {
		m := r.Membership
		if m.Group.Name == "" || m.Rank < 0 {
			continue
		}
		f, ok := found[m.Group]
		if !ok {
			f = &Formation{Ref: m.Group}
			found[m.Group], order = f, append(order, f)
		}
		if r.Model != "" {
			f.Model, f.Size = r.Model, sizeOf(r.Model)
		}
		f.fill(m.Rank + 1)
		f.Members[m.Rank] = r.Server
		f.Serves = f.Serves || m.Rank == 0 && m.State == fuchsiapitch.MemberOpen
	}
	formations := make([]Formation, 0, len(order))
	for _, f := range order {
		f.fill(f.Size)
		if len(f.Members) > 0 && f.Model != "" {
			formations = append(formations, *f)
		}
	}
	slices.SortFunc(formations, func(a, b Formation) int { return cmp.Compare(a.Ref.Epoch, b.Ref.Epoch) })
	return formations
}

// fill adds unknown members up to a number of ranks.
func (f *Formation) fill(ranks int) {
	for len(f.Members) < ranks {
		f.Members = append(f.Members, "")
	}
}

// MayServe reports whether a formation is to be kept: it is whole, or its leader serves and was known
// to serve with all members, so that some are missing only from the reports.
func (f Formation) MayServe(wasWhole bool) bool {
	return f.Size == len(f.Members) && (f.Serves && wasWhole || !slices.Contains(f.Members, ""))
}
