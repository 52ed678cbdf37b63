package fuchsiapitch

import (
	"fmt"
	"time"
)

// Outcome is what is known about the execution of a request.
type Outcome int

// The outcomes of a request.
const (
	// OutcomeNotRun means that no backend server has run any part of the request.
	OutcomeNotRun Outcome = iota + 1
	// OutcomeUnknown means that the request may or may not have run.
	OutcomeUnknown
	// OutcomeFailed means that the request ran and did not succeed.
	OutcomeFailed
	// OutcomeSucceeded means that the client has received the complete response.
	OutcomeSucceeded
)

// String returns the outcome in kebab case, as sent to clients.
func (o Outcome) String() string {
	switch o {
	case OutcomeNotRun:
		return "not-run"
	case OutcomeUnknown:
		return "unknown"
	case OutcomeFailed:
		return "failed"
	case OutcomeSucceeded:
		return "succeeded"
	}
	return "invalid"
}

// UnavailableError reports that an external system did not respond and that the
// action had no effect.
type UnavailableError struct {
	// System is the name of the external system.
	System string
	// Action describes the attempted action.
	Action string
	// Err is the underlying error, if any.
	Err error
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("%s is unavailable for %s: %v", e.System, e.Action, e.Err)
}

// Unwrap returns the underlying error.
func (e *UnavailableError) Unwrap() error { return e.Err }

// UncertainAppendError reports that the response to an append was lost, so that the
// record may or may not be in the stream.
type UncertainAppendError struct {
	// Stream is the stream that the record was appended to.
	Stream StreamName
	// Record identifies the record.
	Record RecordID
	// Err is the underlying error.
	Err error
}

// Error implements error.
func (e *UncertainAppendError) Error() string {
	return fmt.Sprintf("append of record %s to stream %s may have taken effect: %v", e.Record, e.Stream, e.Err)
}

// Unwrap returns the underlying error.
func (e *UncertainAppendError) Unwrap() error { return e.Err }

// LogTruncatedError reports a read from an offset that the log no longer retains.
type LogTruncatedError struct {
	// Stream is the stream that was read.
	Stream StreamName
	// From is the requested offset.
	From Offset
	// Oldest is the oldest retained offset.
	Oldest Offset
}

// Error implements error.
func (e *LogTruncatedError) Error() string {
	return fmt.Sprintf("stream %s no longer retains offset %d, the oldest retained offset is %d", e.Stream, e.From, e.Oldest)
}

// UnreachableError reports that a backend server or entry host did not respond.
type UnreachableError struct {
	// Address is the address of the backend server or entry host.
	Address string
	// Action describes the attempted action.
	Action string
	// Err is the underlying error.
	Err error
}

// Error implements error.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("%s did not answer during %s: %v", e.Address, e.Action, e.Err)
}

// Unwrap returns the underlying error.
func (e *UnreachableError) Unwrap() error { return e.Err }

// StaleFencingTokenError reports that an engine refused an order because it had seen
// a higher fencing token.
type StaleFencingTokenError struct {
	// Server is the backend server that refused the order.
	Server ServerID
	// OrderToken is the fencing token of the order.
	OrderToken FencingToken
	// HighestToken is the highest fencing token that the engine has seen.
	HighestToken FencingToken
}

// Error implements error.
func (e *StaleFencingTokenError) Error() string {
	return fmt.Sprintf("backend server %s refused fencing token %d.%d, the highest it has seen is %d.%d",
		e.Server, e.OrderToken.term, e.OrderToken.sequence, e.HighestToken.term, e.HighestToken.sequence)
}

// AttemptError reports that a call to a backend server received no complete response.
type AttemptError struct {
	// Request identifies the request.
	Request RequestID
	// Server is the backend server that was called.
	Server ServerID
	// Outcome is what is known about the execution of the call.
	Outcome Outcome
	// Err is the underlying error.
	Err error
}

// Error implements error.
func (e *AttemptError) Error() string {
	return fmt.Sprintf("request %s to backend server %s ended with outcome %s: %v", e.Request, e.Server, e.Outcome, e.Err)
}

// Unwrap returns the underlying error.
func (e *AttemptError) Unwrap() error { return e.Err }

// TruncatedResponseError reports a response that ended before it was complete.
type TruncatedResponseError struct {
	// Request identifies the request.
	Request RequestID
	// Tokens is the number of complete tokens received.
	Tokens int
}

// Error implements error.
func (e *TruncatedResponseError) Error() string {
	return fmt.Sprintf("response to request %s was truncated after %d tokens", e.Request, e.Tokens)
}

// MismatchedResponseError reports a response that belongs to another request.
type MismatchedResponseError struct {
	// Request identifies the request that was sent.
	Request RequestID
	// Got is the request identifier in the response.
	Got string
}

// Error implements error.
func (e *MismatchedResponseError) Error() string {
	return fmt.Sprintf("response to request %s carries the identifier of request %q", e.Request, e.Got)
}

// RefusalReason is the reason why a request was refused before it ran.
type RefusalReason int

// The reasons for a refusal.
const (
	// RefusedUnknownService means that no such service is configured.
	RefusedUnknownService RefusalReason = iota + 1
	// RefusedOverload means that the queue is full, or that the expected wait exceeds
	// the target of the rank.
	RefusedOverload
	// RefusedCustomerLimit means that the customer has exceeded one of its limits.
	RefusedCustomerLimit
	// RefusedNoReplica means that no replica of the service can serve.
	RefusedNoReplica
	// RefusedDeadline means that the deadline passed before the request ran.
	RefusedDeadline
	// RefusedLogUnavailable means that a request with an idempotency key needs the log
	// and the log is unavailable.
	RefusedLogUnavailable
	// RefusedNotReady means that the host has no configuration yet or is shutting down.
	RefusedNotReady
	// RefusedKeyReuse means that the idempotency key was used before with another body.
	RefusedKeyReuse
	// RefusedKeyInProgress means that another request with the same idempotency key is
	// still running.
	RefusedKeyInProgress
)

// String returns the reason in kebab case.
func (r RefusalReason) String() string {
	names := [...]string{
		"", "unknown-service", "overload", "customer-limit", "no-replica", "deadline",
		"log-away", "not-ready", "key-reuse", "key-in-progress",
	}
	if r <= 0 || int(r) >= len(names) {
		return "invalid"
	}
	return names[r]
}

// RefusedError reports a request that was refused and not run.
type RefusedError struct {
	// Request identifies the refused request.
	Request RequestID
	// Reason is the reason for the refusal.
	Reason RefusalReason
	// RetryAfter is the delay after which a retry may succeed, 0 if unknown.
	RetryAfter time.Duration
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("request %s was refused before it ran: %s", e.Request, e.Reason)
}

// ResponseTooLargeError reports a response of which one part exceeds its size limit. The
// rest of the response was not read.
type ResponseTooLargeError struct {
	// Part is the part of the response: its header, its body, or one event of a stream.
	Part string
	// LimitBytes is the size limit in bytes.
	LimitBytes int64
	// Err says what was received before, nil if that is nothing.
	Err error
}

// Error implements error.
func (e *ResponseTooLargeError) Error() string {
	text := fmt.Sprintf("response %s exceeds %d bytes", e.Part, e.LimitBytes)
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

// Unwrap returns the underlying error.
func (e *ResponseTooLargeError) Unwrap() error { return e.Err }

// InvariantError reports the violation of an invariant.
type InvariantError struct {
	// Invariant names the violated invariant in kebab case.
	Invariant string
	// Detail describes the state that violates it.
	Detail string
}

// Error implements error.
func (e *InvariantError) Error() string {
	return fmt.Sprintf("invariant %s violated: %s", e.Invariant, e.Detail)
}
