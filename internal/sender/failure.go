package sender

import (
	"fmt"
	"time"
)

// SilentError reports a connection that gave no byte for too long.
type SilentError struct {
	// Limit is the time without a byte.
	Limit time.Duration
}

// Error implements error.
func (e *SilentError) Error() string { return fmt.Sprintf("no byte for %s", e.Limit) }

// StaleError reports a call whose deadline had passed on one of the clocks
// before its first byte was written.
type StaleError struct {
	// Deadline is the deadline of the call.
	Deadline time.Time
}

// Error implements error.
func (e *StaleError) Error() string {
	return fmt.Sprintf("the deadline %s has passed", e.Deadline.Format(time.RFC3339Nano))
}

// ClosedGateError reports a write to a connection after its call had ended.
type ClosedGateError struct{}

// Error implements error.
func (e *ClosedGateError) Error() string { return "the call has ended or was written elsewhere" }

// ServerRefusalError reports that the server states that it did not run the call.
type ServerRefusalError struct {
	// Status is the HTTP status of the refusal.
	Status int
	// RetryAfter is the server's hint for a retry, 0 if none.
	RetryAfter time.Duration
}

// Error implements error.
func (e *ServerRefusalError) Error() string {
	return fmt.Sprintf("the server did not run the call, status %d", e.Status)
}

// UnboundedAnswerError reports an answer without a length, whose end cannot be
// told from a broken connection.
type UnboundedAnswerError struct {
	// Status is the HTTP status of the answer.
	Status int
}

// Error implements error.
func (e *UnboundedAnswerError) Error() string {
	return fmt.Sprintf("the answer with status %d has no length", e.Status)
}
