package reducer

// applyGroups takes in reports on backend servers.
func (s *State) applyGroups(Event) {}

// applyGroupLog folds the group stream of this data centre.
func (s *State) applyGroupLog(Event) {}

// tickGroups probes backend servers and acts as controller where this host is.
func (s *State) tickGroups() {}
