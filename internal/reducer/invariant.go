package reducer

import "fmt"

// check asserts the invariants that hold after every event.
func (s *State) check() {
	s.checkConfiguration()
	s.checkGroups()
	for id, f := range s.requests {
		if f.request.ID() != id {
			s.violate("request-identity", fmt.Sprintf("request %s is held as %s", f.request.ID(), id))
		}
		if f.offered && f.phase == forwarded {
			s.violate("single-forward", fmt.Sprintf("offered request %s was forwarded again", id))
		}
	}
}
