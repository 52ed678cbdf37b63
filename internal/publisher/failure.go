package publisher

import (
	"fmt"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// StateError reports that the log has dropped records and keeps no checkpoint
// that makes up for them, so that the documents in force are not known.
type StateError struct {
	// Next is the offset up to which the log was read.
	Next fuchsiapitch.Offset
}

// Error implements error.
func (e *StateError) Error() string {
	return fmt.Sprintf("the log keeps no checkpoint of the configuration before offset %d", e.Next)
}

// StatusError reports an entry host that did not give its status.
type StatusError struct {
	// Address is the base URL of the host's operator API.
	Address string
	// Status is the HTTP status of its answer, 0 if there was none.
	Status int
	// Err is the underlying error, if any.
	Err error
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("entry host at %s gave no status (HTTP status %d): %v", e.Address, e.Status, e.Err)
}

// Unwrap returns the underlying error.
func (e *StatusError) Unwrap() error { return e.Err }
