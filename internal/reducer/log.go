package reducer

// applyLog folds the records of the followed streams.
func (s *State) applyLog(Event) {}
