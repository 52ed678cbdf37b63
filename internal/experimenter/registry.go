package experimenter

// All returns every experiment in the order in which the command line lists
// them.
func All() []Experiment {
	return []Experiment{
		pathExperiment{},
		outcomesExperiment{},
		restartExperiment{},
		floodExperiment{},
		fairnessExperiment{},
		balanceExperiment{},
		groupsExperiment{},
		configurationExperiment{},
		soakExperiment{},
		capacityExperiment{},
	}
}

// Find returns an experiment by name.
func Find(name string) (Experiment, bool) {
	for _, e := range All() {
		if e.Name() == name {
			return e, true
		}
	}
	return nil, false
}
