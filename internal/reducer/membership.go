package reducer

import (
	"time"

	"github.com/fuchsiapitch/fuchsiapitch/internal/gossiper"
)

// HeartbeatPeriod is the time between two rounds of heartbeats.
const HeartbeatPeriod = time.Second

func (s *State) applyMembership(event Event) {
	switch e := event.(type) {
	case HeartbeatReceived:
		s.members.Receive(s.now, e.Heartbeat)
		s.hearGroups(e.Heartbeat)
		s.noteLoads(e.Heartbeat)
		s.compareConfiguration(e.Heartbeat)
	case HeartbeatFailed:
		s.members.Fail(s.now, e.Host)
	}
	s.followMembership()
	s.followDemands()
	// A group that this host dispatches for from now on is not proved whole yet.
	s.stepGroups()
}

func (s *State) tickMembership() {
	if s.now.Monotonic() < s.heartbeatDue {
		return
	}
	s.heartbeatDue = s.now.Monotonic() + HeartbeatPeriod
	s.demands = s.limiter.Demands(s.now, demandLimit)
	for _, h := range s.members.Tick(s.now) {
		s.emit(SendHeartbeat{To: h, Heartbeat: s.ComposeHeartbeat()})
	}
	s.followMembership()
	s.followDemands()
	s.followPaces()
	s.adoptOrphans()
}

// followMembership reassigns the replicas after a change of the live hosts.
func (s *State) followMembership() {
	if c := s.members.Changes(); c != s.memberChanges {
		s.memberChanges = c
		s.rebuildTable()
	}
}

// ComposeHeartbeat returns the heartbeat that this host sends or answers with.
func (s *State) ComposeHeartbeat() gossiper.Heartbeat {
	loads := s.ownLoads()
	h := s.members.Compose(s.now, loads)
	h.Loads = s.dueLoads(loads)
	h.Demands = s.demands
	h.Configuration, h.ConfigurationHash = s.configuration.Offset(), s.configuration.Hash()
	s.stateGroups(&h)
	return h
}
