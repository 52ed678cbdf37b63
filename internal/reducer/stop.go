package reducer

import (
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// UnfinishedRequest describes a request in flight at this host. Operators use
// it to decide how long a shutdown may take.
type UnfinishedRequest struct {
	Request  fuchsiapitch.RequestID
	Service  fuchsiapitch.ServiceName
	Customer fuchsiapitch.CustomerName
	Rank     fuchsiapitch.RankName
	// MayHaveRun is true if the outcome would be unknown if the request were
	// aborted now.
	MayHaveRun bool
	// Idempotent is true if the request may run more than once.
	Idempotent bool
	// Remaining is the time until the deadline of the request.
	Remaining time.Duration
}

// stop begins a graceful shutdown. It announces the shutdown to the other live
// hosts of the data centre at once and hands over this host's replicas to them,
// if there are any. The host still accepts the requests that the load balancer
// sends it. Requests whose attempts are running at this host end here.
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

// Drained reports whether the process can exit: no request is in flight, and
// the outcomes of all requests that held an idempotency key are in the log.
func (s *State) Drained() bool {
	return len(s.requests) == 0 && s.keys.outbox.PendingCount() == 0
}
