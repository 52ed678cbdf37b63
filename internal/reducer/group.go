package reducer

// applyGroups takes in reports on backend servers.
func (s *State) applyGroups(Event) {}
