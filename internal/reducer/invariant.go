package reducer

import "fmt"

// maxRequestsCheckedPerEvent is the largest number of requests in flight at
// which all of them are checked after every event. Above it, they are checked
// only at ticks, so that the cost of an event does not grow with the number of
// requests.
const maxRequestsCheckedPerEvent = 64

// checkInvariants asserts the invariants that must hold after every event.
func (s *State) checkInvariants(event Event) {
	s.checkConfiguration()
	s.checkGroups()
	if _, ticked := event.(Ticked); ticked || len(s.requests) <= maxRequestsCheckedPerEvent {
		s.checkRequests()
	}
}

func (s *State) checkRequests() {
	for id, f := range s.requests {
		if f.request.ID() != id {
			s.reportViolation("request-identity", fmt.Sprintf("request %s is stored under the ID %s", f.request.ID(), id))
		}
		if f.fromPeer && f.phase == forwarded {
			s.reportViolation("single-forward", fmt.Sprintf("request %s came from a host of this data centre and was forwarded again", id))
		}
	}
}
