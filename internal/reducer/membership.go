package reducer

import (
	"time"

	"github.com/fuchsiapitch/fuchsiapitch/internal/gossiper"
)

// HeartbeatPeriod is the time between two rounds of heartbeats.
const HeartbeatPeriod = time.Second

func (s *State) applyMembershipEvent(event Event) {
	switch e := event.(type) {
	case HeartbeatReceived:
		s.members.ReceiveHeartbeat(s.now, e.Heartbeat)
		s.applyGroupHeartbeat(e.Heartbeat)
		s.recordForwardsAtReport(e.Heartbeat)
		s.compareConfiguration(e.Heartbeat)
	case HeartbeatFailed:
		s.members.Suspect(s.now, e.Host)
	}
	s.reassignAfterMembershipChange()
	s.updateLimiterView()
	// After a membership change, this host may dispatch for groups whose members
	// it has not probed yet.
	s.updateGroups()
}

func (s *State) tickMembership() {
	if s.now.Monotonic() < s.nextHeartbeatAt {
		return
	}
	s.nextHeartbeatAt = s.now.Monotonic() + HeartbeatPeriod
	s.demands = s.limiter.TakeDemandReports(s.now, maxHeartbeatDemands)
	for _, h := range s.members.Tick(s.now) {
		s.emit(SendHeartbeat{To: h, Heartbeat: s.ComposeHeartbeat()})
	}
	s.reassignAfterMembershipChange()
	s.updateLimiterView()
	s.updatePeerInterTokenTimes()
	s.redispatchOrphans()
}

// reassignAfterMembershipChange reassigns the replicas to the live hosts if the
// membership has changed since the last reassignment.
func (s *State) reassignAfterMembershipChange() {
	if c := s.members.ChangeCount(); c != s.seenMemberChanges {
		s.seenMemberChanges = c
		s.rebuildRoutingTable()
	}
}

// ComposeHeartbeat returns a heartbeat of this host, to send to a peer or to
// reply with to a peer's heartbeat.
func (s *State) ComposeHeartbeat() gossiper.Heartbeat {
	loads := s.ownLoads()
	h := s.members.ComposeHeartbeat(s.now, loads)
	h.Loads = s.selectLoads(loads)
	h.Demands = s.demands
	h.ConfigurationOffset, h.ConfigurationHash = s.configuration.Offset(), s.configuration.Hash()
	s.addGroupsToHeartbeat(&h)
	return h
}
