package reducer

// applyConfigurationLog folds the configuration stream.
func (s *State) applyConfigurationLog(Event) {}

// tickConfiguration starts to follow the configuration stream.
func (s *State) tickConfiguration() {}
