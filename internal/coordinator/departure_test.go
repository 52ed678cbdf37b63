package coordinator

import (
	"testing"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// Guards against requests that are sent to a group until a member of it ends, although the
// member's entry was removed from the list two seconds before: such a member leaves if it says
// that it is not healthy. One that is merely off the list keeps its group.
func TestGroupRetiresWhenMemberLeavesWithoutDraining(t *testing.T) {
	limits := LimitsChanged{StallTimeout: simulatedStallTimeout, RetryRatio: 0.2, RetrySlack: 100, RetryWindow: 10 * time.Second}
	for _, unhealthy := range []bool{false, true} {
		for rank := range 2 {
			ss := newSilenceScenario(t, 12, false, limits)
			member := ss.engines[ss.leader.members[rank]]
			member.unlisted, member.unhealthy = true, unhealthy
			// The list is read within 0.8 s.
			ss.runStreams(time.Second)
			if got, want := ss.leader.state != fuchsiapitch.MemberOpen, unhealthy; got != want {
				t.Errorf("rank %d, unhealthy %v: got the group closed: %v, want %v", rank, unhealthy, got, want)
			}
			assertNoViolations(t, ss.simulation)
		}
	}
}

// Guards against a server that stays out of use after it has been off the list for a while and
// was not healthy: it is used again once it is listed.
func TestUnhealthyServerIsUsedOnceListed(t *testing.T) {
	ss := newSilenceScenario(t, 1, true, LimitsChanged{StallTimeout: simulatedStallTimeout})
	member := ss.engines[ss.leader.members[1]]
	member.unlisted, member.unhealthy = true, true
	ss.runStreams(time.Second)
	if !ss.coordinators[0].servers[member.id].isLeaving() {
		t.Error("got the server taken for sound, want it taken for leaving")
	}
	member.unlisted, member.unhealthy = false, false
	ss.runStreams(time.Second)
	if ss.coordinators[0].servers[member.id].isLeaving() {
		t.Error("got the server taken for leaving though it is listed, want it taken for sound")
	}
}
