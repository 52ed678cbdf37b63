package grouper

import (
	"fmt"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// assertPlaces asserts that no backend server is in two groups, in the stream
// and in the controller's view alike.
func (g *Grouper) assertPlaces() {
	for _, f := range []*Fold{g.fold, g.view} {
		seen := make(map[fuchsiapitch.ServerID]fuchsiapitch.GroupID)
		for _, group := range f.Groups() {
			for _, m := range group.Members {
				if other, taken := seen[m]; taken {
					g.breach("one-group-per-server", fmt.Sprintf("%s is in %s and %s", m, other, group.ID))
				}
				seen[m] = group.ID
			}
		}
	}
}

// AssertWhole asserts that a replica that gets a request from this host is whole:
// an application server, or a group of which no member is known to be missing.
func (g *Grouper) AssertWhole(replica fuchsiapitch.ReplicaID) {
	group, ok := g.view.Group(fuchsiapitch.GroupID(replica))
	if !ok {
		if k, listed := g.servers[fuchsiapitch.ServerID(replica)]; !listed || k.server.Kind() != fuchsiapitch.ApplicationServer {
			g.breach("whole-or-not-serving", fmt.Sprintf("%s got a request and does not exist", replica))
		}
		return
	}
	for _, m := range group.Members {
		a, reported := g.health.Account(m)
		if !reported || !group.Matches(a) || !a.Ready() || g.isLeaving(m) || g.health.Silent(m) {
			g.breach("whole-or-not-serving", fmt.Sprintf("%s got a request while %s is missing", replica, m))
		}
	}
}
