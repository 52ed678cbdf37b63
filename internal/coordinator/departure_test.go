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

// Guards against servers that lie idle after the last request of their retired group has ended,
// until the list shows it seconds later: the controller follows the close of the leader.
func TestRetiredGroupIsReplacedSoon(t *testing.T) {
	for _, closeTime := range []time.Duration{300 * time.Millisecond, 1500 * time.Millisecond, 3 * time.Second} {
		ss := newSilenceScenario(t, 12, false, LimitsChanged{StallTimeout: simulatedStallTimeout})
		leader, group := ss.leader, ss.leader.group
		leader.closeTime = closeTime
		member := ss.engines[leader.members[1]]
		member.unlisted, member.unhealthy = true, true
		for leader.state == fuchsiapitch.MemberOpen {
			ss.run(simulationStep)
		}
		begin := ss.now
		for isPlanned := true; isPlanned && ss.now < begin+10*time.Second; _, isPlanned = ss.coordinators[0].groups[group] {
			ss.run(simulationStep)
		}
		if got, want := ss.now-begin, closeTime+simulatedReportLag+memberProbeInterval+100*time.Millisecond; got > want || got < closeTime {
			t.Errorf("got the group taken apart %s after the close, want between %s and %s", got, closeTime, want)
		}
		assertNoViolations(t, ss.simulation)
	}
}
