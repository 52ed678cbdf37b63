package publisher

import (
	"fmt"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// MissingCheckpointError reports that the log has truncated records and holds no
// checkpoint that covers them, so that the documents in force are unknown.
type MissingCheckpointError struct {
	// NextOffset is the offset up to which the log was searched for a checkpoint.
	NextOffset fuchsiapitch.Offset
}

// Error implements error.
func (e *MissingCheckpointError) Error() string {
	return fmt.Sprintf("configuration in force is unknown: the log has truncated records and holds no checkpoint before offset %d", e.NextOffset)
}

// StatusError reports that the status of an entry host could not be read.
type StatusError struct {
	// BaseURL is the base URL of the host's operator API.
	BaseURL string
	// HTTPStatus is the HTTP status of the response, 0 without a response.
	HTTPStatus int
	// Err is the underlying error, if any.
	Err error
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("cannot read the status of the entry host at %s (HTTP status %d): %v", e.BaseURL, e.HTTPStatus, e.Err)
}

// Unwrap returns the underlying error.
func (e *StatusError) Unwrap() error { return e.Err }
