package commander

import "fmt"

// UnknownExperimentError reports the name of an experiment that does not exist.
type UnknownExperimentError struct {
	// Name is the requested name.
	Name string
}

// Error implements error.
func (e *UnknownExperimentError) Error() string {
	return fmt.Sprintf("unknown experiment %q", e.Name)
}

// OperatorCallError reports that an entry host rejected an operator's call.
type OperatorCallError struct {
	// BaseURL is the base URL of the host's operator API.
	BaseURL string
	// HTTPStatus is the HTTP status of the response, with its text.
	HTTPStatus string
}

// Error implements error.
func (e *OperatorCallError) Error() string {
	return fmt.Sprintf("entry host at %s rejected the call with HTTP status %s", e.BaseURL, e.HTTPStatus)
}

// OverrideError reports a setting on the command line that does not have the form
// KEY=VALUE.
type OverrideError struct {
	// Argument is the command-line argument.
	Argument string
}

// Error implements error.
func (e *OverrideError) Error() string {
	return fmt.Sprintf("setting %q does not have the form KEY=VALUE", e.Argument)
}
