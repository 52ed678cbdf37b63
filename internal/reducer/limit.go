package reducer

import (
	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/limiter"
)

// demandLimit is the largest number of demands in a heartbeat.
const demandLimit = 8

// admit checks the limits of the customer of a request that a caller sent to
// this host, and refuses it when one is exceeded.
func (s *State) admit(f *flight) bool {
	admitted, retryAfter := s.limiter.Admit(s.now, f.request)
	if !admitted {
		s.refuse(f, fuchsiapitch.RefusedCustomerLimit, retryAfter)
	}
	return admitted
}

// followDemands takes over which hosts share the limits and their demands.
func (s *State) followDemands() {
	live := s.members.Live()
	ids := make([]fuchsiapitch.HostID, 0, len(live))
	for _, h := range live {
		ids = append(ids, h.ID())
	}
	s.limiter.SetView(limiter.View{Live: ids, Known: s.members.Known(), Demand: s.members.Demand})
}

// coverRetries sets the bursts of the retry budgets to what this host's
// replicas run at once.
func (s *State) coverRetries() {
	for _, v := range s.configuration.Services() {
		slots, _, _ := s.scheduler.Load(v.Name())
		s.retries.SetSlots(v.Name(), slots)
	}
}
