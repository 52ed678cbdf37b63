package commander

import "fmt"

// UnknownExperimentError reports the name of an experiment that does not exist.
type UnknownExperimentError struct {
	// Name is the name that was asked for.
	Name string
}

// Error implements error.
func (e *UnknownExperimentError) Error() string {
	return fmt.Sprintf("no experiment is named %q", e.Name)
}

// OperatorError reports an entry host that did not do what an operator asked.
type OperatorError struct {
	// Address is the address of the entry host.
	Address string
	// Status is the HTTP status of its answer.
	Status string
}

// Error implements error.
func (e *OperatorError) Error() string {
	return fmt.Sprintf("entry host %s answered %s", e.Address, e.Status)
}

// OverrideError reports a setting of the command line that is not KEY=VALUE.
type OverrideError struct {
	// Text is the argument.
	Text string
}

// Error implements error.
func (e *OverrideError) Error() string { return fmt.Sprintf("%q is not KEY=VALUE", e.Text) }
