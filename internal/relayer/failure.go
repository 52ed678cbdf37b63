package relayer

import (
	"fmt"
	"io"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// reasonNotRun is the reason of a ResponseError for a response that says that the request was
// not run and will not be.
const reasonNotRun = "not run"

// ResponseError reports a response of a server that must not be forwarded to the
// client.
type ResponseError struct {
	// Server sent the response.
	Server fuchsiapitch.ServerID
	// Status is its HTTP status.
	Status int
	// Reason says why the response is not usable.
	Reason string
}

// Error implements error.
func (e *ResponseError) Error() string {
	return fmt.Sprintf("answer of %s with status %d: %s", e.Server, e.Status, e.Reason)
}

// InvalidEventError reports bytes in the stream of a server that are no event of it.
type InvalidEventError struct {
	// Server sent the stream.
	Server fuchsiapitch.ServerID
	// LastID is the identifier of the event before, -1 for none.
	LastID int64
	// Problem says what is wrong with the event.
	Problem string
}

// Error implements error.
func (e *InvalidEventError) Error() string {
	return fmt.Sprintf("invalid event of %s after event %d: %s", e.Server, e.LastID, e.Problem)
}

// GroupClosedError reports that the group of a server was dissolved before the response
// of the server was complete.
type GroupClosedError struct{ Server fuchsiapitch.ServerID }

// Error implements error.
func (e *GroupClosedError) Error() string { return fmt.Sprintf("the group of %s is no more", e.Server) }

// ServerEndedError reports that a server has ended with the connection of a response that states neither
// a length nor chunks, so that the response may be cut off.
type ServerEndedError struct{ Server fuchsiapitch.ServerID }

// Error implements error.
func (e *ServerEndedError) Error() string {
	return fmt.Sprintf("%s has ended with its response, which states no length", e.Server)
}

// Unwrap returns io.ErrUnexpectedEOF.
func (e *ServerEndedError) Unwrap() error { return io.ErrUnexpectedEOF }

// QuarantinedError reports that a request was taken from a server that had not begun to answer
// it, because requests with the same part in their prompts end servers.
type QuarantinedError struct{ Server fuchsiapitch.ServerID }

// Error implements error.
func (e *QuarantinedError) Error() string {
	return fmt.Sprintf("taken from %s, since a part of the prompt is quarantined", e.Server)
}

// HeaderTooLargeError reports a request header above the size limit.
type HeaderTooLargeError struct{ LimitBytes int64 }

// Error implements error.
func (e *HeaderTooLargeError) Error() string {
	return fmt.Sprintf("header of more than %d bytes", e.LimitBytes)
}

// BodyTooLargeError reports a request body above the size limit.
type BodyTooLargeError struct{ LimitBytes int64 }

// Error implements error.
func (e *BodyTooLargeError) Error() string {
	return fmt.Sprintf("body of more than %d bytes", e.LimitBytes)
}
