package reducer

import (
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/gossiper"
)

// HeartbeatPeriod is the time between two rounds of heartbeats.
const HeartbeatPeriod = time.Second

// loadLimit is the largest number of loads in a heartbeat.
const loadLimit = 8

func (s *State) applyMembership(event Event) {
	switch e := event.(type) {
	case HeartbeatReceived:
		s.members.Receive(s.now, e.Heartbeat)
		s.compareConfiguration(e.Heartbeat)
	case HeartbeatFailed:
		s.members.Fail(s.now, e.Host)
	}
	s.followMembership()
}

func (s *State) tickMembership() {
	if s.now.Monotonic() < s.heartbeatDue {
		return
	}
	s.heartbeatDue = s.now.Monotonic() + HeartbeatPeriod
	for _, h := range s.members.Tick(s.now) {
		s.emit(SendHeartbeat{To: h, Heartbeat: s.ComposeHeartbeat()})
	}
	s.followMembership()
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
	h := s.members.Compose(s.now, s.ownLoads())
	h.Configuration, h.ConfigurationHash = s.configuration.Offset(), s.configuration.Hash()
	return h
}

// ownLoads returns the loads of the services that this host dispatches for.
func (s *State) ownLoads() []gossiper.ServiceLoad {
	var loads []gossiper.ServiceLoad
	for _, v := range s.configuration.Services() {
		slots, inFlight, queued := s.scheduler.Load(v.Name())
		if slots == 0 || len(loads) == loadLimit {
			continue
		}
		loads = append(loads, gossiper.ServiceLoad{Service: v.Name(), Slots: slots, InFlight: inFlight, Queued: queued})
	}
	return loads
}

// loadOf returns the number of requests of a service at a dispatcher.
func (s *State) loadOf(host fuchsiapitch.HostID, service fuchsiapitch.ServiceName) int {
	if host == s.self {
		_, inFlight, queued := s.scheduler.Load(service)
		return inFlight + queued
	}
	l := s.members.Load(host, service)
	return l.InFlight + l.Queued
}
