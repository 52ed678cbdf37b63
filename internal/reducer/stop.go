package reducer

import (
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// UnfinishedRequest describes a request in flight at this host, for the operator
// who decides on the time limit of a shutdown.
type UnfinishedRequest struct {
	Request  fuchsiapitch.RequestID
	Service  fuchsiapitch.ServiceName
	Customer fuchsiapitch.CustomerName
	Rank     fuchsiapitch.RankName
	// MayHaveRun states that the outcome would be unknown if the request were cut
	// off now.
	MayHaveRun bool
	// Idempotent states that the request may run more than once.
	Idempotent bool
	// Remaining is the time until the deadline of the request.
	Remaining time.Duration
}

// stop begins a graceful shutdown. The host goes on accepting requests for as
// long as the load balancer sends them, hands its replicas over to the other
// hosts of the data centre, if any, and announces the shutdown to them at once.
// Running requests end at this host.
func (s *State) stop() {
	if s.stopping {
		return
	}
	s.stopping = true
	s.groups.Stop()
	s.members.Leave()
	for _, h := range s.members.LiveHosts() {
		if h.ID() == s.self {
			continue
		}
		s.emit(SendHeartbeat{To: h, Heartbeat: s.ComposeHeartbeat()})
	}
	s.rebuildRoutingTable()
}

// UnfinishedRequests returns the requests in flight at this host, in the order of
// their identifiers.
func (s *State) UnfinishedRequests() []UnfinishedRequest {
	unfinished := make([]UnfinishedRequest, 0, len(s.requests))
	for _, id := range sortedKeys(s.requests) {
		f := s.requests[id]
		unfinished = append(unfinished, UnfinishedRequest{
			Request: id, Service: f.request.Service(), Customer: f.request.Customer(), Rank: f.request.Rank(),
			MayHaveRun: f.mayHaveRun || f.attemptNumber != 0, Idempotent: f.request.Idempotent(),
			Remaining: f.deadline.Sub(s.now),
		})
	}
	return unfinished
}

// Drained reports whether the process can end: no request is in flight, and the
// outcomes of all requests with idempotency keys are in the log.
func (s *State) Drained() bool {
	return len(s.requests) == 0 && s.keys.outbox.PendingCount() == 0
}
