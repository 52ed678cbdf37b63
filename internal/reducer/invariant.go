package reducer

import "fmt"

// checkLimit is the largest number of requests that are checked after every
// event. More are checked at every tick, so that the cost of an event does not
// grow with the number of requests.
const checkLimit = 64

// check asserts the invariants that hold after every event.
func (s *State) check(event Event) {
	s.checkConfiguration()
	s.checkGroups()
	if _, ticked := event.(Ticked); ticked || len(s.requests) <= checkLimit {
		s.checkRequests()
	}
}

func (s *State) checkRequests() {
	for id, f := range s.requests {
		if f.request.ID() != id {
			s.violate("request-identity", fmt.Sprintf("request %s is held as %s", f.request.ID(), id))
		}
		if f.offered && f.phase == forwarded {
			s.violate("single-forward", fmt.Sprintf("offered request %s was forwarded again", id))
		}
	}
}
