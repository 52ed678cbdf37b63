package sender

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

// ReadTimeoutError reports that no byte arrived on a connection within the timeout.
type ReadTimeoutError struct {
	// Timeout is the longest time allowed without a byte.
	Timeout time.Duration
}

// Error implements error.
func (e *ReadTimeoutError) Error() string { return fmt.Sprintf("no byte received for %s", e.Timeout) }

// DeadlinePassedError reports that the deadline of a call passed on the monotonic
// or the wall clock before its first byte was written.
type DeadlinePassedError struct {
	// Deadline is the deadline of the call.
	Deadline time.Time
}

// Error implements error.
func (e *DeadlinePassedError) Error() string {
	return fmt.Sprintf("the deadline %s passed before the call was sent", e.Deadline.Format(time.RFC3339Nano))
}

// ConnectionBrokenError reports that the bytes read from a connection are not followed by its orderly end: it was
// reset, or ended for want of acknowledgements.
type ConnectionBrokenError struct{}

// Error implements error.
func (e *ConnectionBrokenError) Error() string { return "connection broken before its orderly end" }

// Unwrap returns syscall.ECONNRESET.
func (e *ConnectionBrokenError) Unwrap() error { return syscall.ECONNRESET }

// WriteRefusedError reports a write after the call has ended, or on a connection
// other than the first one of the call.
type WriteRefusedError struct{}

// Error implements error.
func (e *WriteRefusedError) Error() string {
	return "write refused: the call has ended or uses another connection"
}

// ServerRefusalError reports that the backend server has responded that it did not
// run the call.
type ServerRefusalError struct {
	// Status is the HTTP status of the response.
	Status int
	// RetryAfter is the value of the Retry-After header, 0 if none.
	RetryAfter time.Duration
}

// Error implements error.
func (e *ServerRefusalError) Error() string {
	return fmt.Sprintf("backend server did not run the call, status %d", e.Status)
}

// CloseDelimitedResponseError reports a response with neither a content length nor
// chunked encoding, whose end cannot be distinguished from a broken connection.
type CloseDelimitedResponseError struct {
	// Status is the HTTP status of that response.
	Status int
}

// Error implements error.
func (e *CloseDelimitedResponseError) Error() string {
	return fmt.Sprintf("response with status %d is delimited only by the end of the connection", e.Status)
}

// CheckStatus returns an InvalidStatusError unless a status is one of a final response: from 200 to
// 599. The HTTP library lets other ones pass, 000 and +20 among them. Their bytes are no answer:
// nothing that such a response states counts.
func CheckStatus(status int) error {
	if status < http.StatusOK || status > maxStatus {
		return &InvalidStatusError{Status: status}
	}
	return nil
}

// maxStatus is the highest status of a response.
const maxStatus = 599

// InvalidStatusError reports a response whose status is not one of a final response.
type InvalidStatusError struct {
	// Status is the HTTP status of that response.
	Status int
}

// Error implements error.
func (e *InvalidStatusError) Error() string {
	return fmt.Sprintf("status %d ends no request", e.Status)
}

// MergedHeadersError reports a response whose header contains the status line of another
// response: its server stopped within the header and began again.
type MergedHeadersError struct {
	// Status is the HTTP status of the first response.
	Status int
}

// Error implements error.
func (e *MergedHeadersError) Error() string {
	return fmt.Sprintf("the header of the response with status %d contains the status line of another response", e.Status)
}
