package reducer

import (
	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/limiter"
)

// maxHeartbeatDemands is the largest number of customer demands in a heartbeat.
const maxHeartbeatDemands = 8

// admit refuses a request that a client sent to this host if it exceeds a limit
// of its customer. It reports whether the request is admitted.
func (s *State) admit(f *inFlightRequest) bool {
	admitted, retryAfter := s.limiter.Admit(s.now, f.request)
	if !admitted {
		s.refuse(f, fuchsiapitch.RefusedCustomerLimit, retryAfter)
	}
	return admitted
}

// updateLimiterView passes the live hosts, which share the customer limits, and
// their customer demands to the limiter.
func (s *State) updateLimiterView() {
	live := s.members.LiveHosts()
	ids := make([]fuchsiapitch.HostID, 0, len(live))
	for _, h := range live {
		ids = append(ids, h.ID())
	}
	s.limiter.SetView(limiter.View{LiveHosts: ids, KnownHosts: s.members.KnownHosts(), Demand: s.members.Demand})
}

// updateRetrySlots sets the burst of each retry budget to the number of slots
// that this host's replicas of the service have.
func (s *State) updateRetrySlots() {
	for _, v := range s.configuration.Services() {
		slots, _, _ := s.scheduler.Load(v.Name())
		s.retryLimiter.SetSlots(v.Name(), slots)
	}
}
