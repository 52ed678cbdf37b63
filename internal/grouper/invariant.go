package grouper

import (
	"fmt"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// assertOneGroupPerServer asserts that no backend server is in two groups, in
// both the committed and the speculative state.
func (g *Grouper) assertOneGroupPerServer() {
	for _, sm := range []*StateMachine{g.committed, g.speculative} {
		seen := make(map[fuchsiapitch.ServerID]fuchsiapitch.GroupID)
		for _, group := range sm.Groups() {
			for _, m := range group.Members {
				if other, assigned := seen[m]; assigned {
					g.reportViolation("one-group-per-server", fmt.Sprintf("server %s is in groups %s and %s", m, other, group.ID))
				}
				seen[m] = group.ID
			}
		}
	}
}

// AssertReplicaWhole asserts that a replica to which this host sends a request
// is whole: it is an application server, or a group whose members all report the
// group's assignment and are ready, not leaving and not silent.
func (g *Grouper) AssertReplicaWhole(replica fuchsiapitch.ReplicaID) {
	group, ok := g.speculative.Group(fuchsiapitch.GroupID(replica))
	if !ok {
		if k, listed := g.servers[fuchsiapitch.ServerID(replica)]; !listed || k.server.Kind() != fuchsiapitch.ApplicationServer {
			g.reportViolation("whole-or-not-serving", fmt.Sprintf("a request was started on replica %s, which is neither a group nor a known application server", replica))
		}
		return
	}
	for _, m := range group.Members {
		status, reported := g.health.LastStatus(m)
		if !reported || !group.Matches(status) || !status.Ready() || g.isLeaving(m) || g.health.IsSilent(m) {
			g.reportViolation("whole-or-not-serving", fmt.Sprintf("a request was started on group %s, whose member %s is silent, leaving, not ready or does not report the assignment of the group", replica, m))
		}
	}
}
