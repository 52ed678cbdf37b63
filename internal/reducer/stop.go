package reducer

import (
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// Unfinished describes a request that this host still holds, for the operator
// who decides on a limit of a stop.
type Unfinished struct {
	// Request is the request.
	Request fuchsiapitch.RequestID
	// Service is the service that is asked.
	Service fuchsiapitch.ServiceName
	// Customer is the customer that asks.
	Customer fuchsiapitch.CustomerName
	// Rank is the rank of the request.
	Rank fuchsiapitch.RankName
	// MayHaveRun states that a cut would leave the outcome unknown.
	MayHaveRun bool
	// Idempotent states that the caller may repeat the request.
	Idempotent bool
	// Remaining is the time until the deadline of the request.
	Remaining time.Duration
}

// stop begins a graceful stop. The host goes on taking requests for as long as
// the balancer sends them, hands its replicas over to the other hosts of the
// data centre, if there are any, and tells them at once; the requests that run
// end here.
func (s *State) stop() {
	if s.stopping {
		return
	}
	s.stopping = true
	s.groups.Stop()
	s.members.Leave()
	for _, h := range s.members.Live() {
		if h.ID() == s.self {
			continue
		}
		s.emit(SendHeartbeat{To: h, Heartbeat: s.ComposeHeartbeat()})
	}
	s.rebuildTable()
}

// Unfinished returns the requests that this host holds, in the order of their
// identifiers.
func (s *State) Unfinished() []Unfinished {
	unfinished := make([]Unfinished, 0, len(s.requests))
	for _, id := range sortedKeys(s.requests) {
		f := s.requests[id]
		unfinished = append(unfinished, Unfinished{
			Request: id, Service: f.request.Service(), Customer: f.request.Customer(), Rank: f.request.Rank(),
			MayHaveRun: f.ran || f.attempt != 0, Idempotent: f.request.Idempotent(),
			Remaining: f.deadline.Sub(s.now),
		})
	}
	return unfinished
}

// Drained reports whether a stopping host can end: it holds no request, and
// what became of requests with idempotency keys stands in the log.
func (s *State) Drained() bool {
	return len(s.requests) == 0 && s.keys.outbox.Pending() == 0
}
