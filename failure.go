package fuchsiapitch

import (
	"fmt"
	"time"
)

// Outcome states what is known of a request that has no whole answer.
type Outcome int

// The outcomes of a request.
const (
	// NotRun states that no backend server has run any part of the request.
	NotRun Outcome = iota + 1
	// Unknown states that the request may or may not have run.
	Unknown
	// Failed states that the request ran and did not succeed.
	Failed
	// Succeeded states that the caller has the whole answer.
	Succeeded
)

// String returns the outcome in kebab case, as callers see it.
func (o Outcome) String() string {
	switch o {
	case NotRun:
		return "not-run"
	case Unknown:
		return "unknown"
	case Failed:
		return "failed"
	case Succeeded:
		return "succeeded"
	}
	return "invalid"
}

// UnavailableError reports that an outside system did not answer and that
// nothing took effect.
type UnavailableError struct {
	// System names the outside system.
	System string
	// Action names what was being done.
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

// UncertainError reports that the answer to an append was lost, so that the
// record may or may not be in the stream.
type UncertainError struct {
	// Stream is the stream of the append.
	Stream StreamName
	// Record identifies the record.
	Record RecordID
	// Err is the underlying error.
	Err error
}

// Error implements error.
func (e *UncertainError) Error() string {
	return fmt.Sprintf("append of record %s to stream %s may have taken effect: %v", e.Record, e.Stream, e.Err)
}

// Unwrap returns the underlying error.
func (e *UncertainError) Unwrap() error { return e.Err }

// TruncatedError reports a read from an offset that the log no longer keeps.
type TruncatedError struct {
	// Stream is the stream that was read.
	Stream StreamName
	// From is the offset that was asked for.
	From Offset
	// Oldest is the oldest offset that is still kept.
	Oldest Offset
}

// Error implements error.
func (e *TruncatedError) Error() string {
	return fmt.Sprintf("stream %s no longer keeps offset %d, its oldest is %d", e.Stream, e.From, e.Oldest)
}

// UnreachableError reports that a backend server or peer did not answer.
type UnreachableError struct {
	// Address is the address of the backend server or peer.
	Address string
	// Action names what was being done.
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

// FencedError reports that an engine refused an order with an old fencing number.
type FencedError struct {
	// Server is the backend server that refused.
	Server ServerID
	// Given is the fencing number of the order.
	Given Fence
	// Seen is the highest fencing number that the engine has seen.
	Seen Fence
}

// Error implements error.
func (e *FencedError) Error() string {
	return fmt.Sprintf("backend server %s refused fencing number %d.%d, it has seen %d.%d",
		e.Server, e.Given.term, e.Given.sequence, e.Seen.term, e.Seen.sequence)
}

// AttemptError reports that a call to a backend server has no answer.
type AttemptError struct {
	// Request is the request of the call.
	Request RequestID
	// Server is the backend server of the call.
	Server ServerID
	// Outcome states whether the call was run.
	Outcome Outcome
	// Err is the underlying error.
	Err error
}

// Error implements error.
func (e *AttemptError) Error() string {
	return fmt.Sprintf("request %s at backend server %s, outcome %s: %v", e.Request, e.Server, e.Outcome, e.Err)
}

// Unwrap returns the underlying error.
func (e *AttemptError) Unwrap() error { return e.Err }

// TruncatedAnswerError reports an answer that ended before it was whole.
type TruncatedAnswerError struct {
	// Request is the request of the answer.
	Request RequestID
	// Tokens is the number of whole tokens that arrived.
	Tokens int
}

// Error implements error.
func (e *TruncatedAnswerError) Error() string {
	return fmt.Sprintf("answer to request %s ended early after %d tokens", e.Request, e.Tokens)
}

// CrossedAnswerError reports an answer that belongs to another request.
type CrossedAnswerError struct {
	// Request is the request that was asked.
	Request RequestID
	// Got is the request that the answer names.
	Got string
}

// Error implements error.
func (e *CrossedAnswerError) Error() string {
	return fmt.Sprintf("answer to request %s belongs to %q", e.Request, e.Got)
}

// RefusalReason states why a request was refused before it ran.
type RefusalReason int

// The reasons for a refusal.
const (
	// RefusedUnknownService means that no such service is configured.
	RefusedUnknownService RefusalReason = iota + 1
	// RefusedOverload means that the queue is full or too slow for the rank.
	RefusedOverload
	// RefusedCustomerLimit means that the customer is over one of its limits.
	RefusedCustomerLimit
	// RefusedNoReplica means that no replica of the service can serve.
	RefusedNoReplica
	// RefusedDeadline means that the deadline passed in the queue.
	RefusedDeadline
	// RefusedLogAway means that a keyed request needs the log, which is away.
	RefusedLogAway
	// RefusedNotReady means that the host has no configuration yet or stops.
	RefusedNotReady
	// RefusedKeyReuse means that an idempotency key was used with another body.
	RefusedKeyReuse
	// RefusedKeyInProgress means that the request of the key still runs.
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
	// Request is the refused request.
	Request RequestID
	// Reason states why it was refused.
	Reason RefusalReason
	// RetryAfter is the time after which a retry may succeed, 0 if unknown.
	RetryAfter time.Duration
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("request %s was refused: %s", e.Request, e.Reason)
}

// InvariantError reports that a state which must never occur has occurred.
type InvariantError struct {
	// Invariant names the violated invariant in kebab case.
	Invariant string
	// Detail describes the state.
	Detail string
}

// Error implements error.
func (e *InvariantError) Error() string {
	return fmt.Sprintf("invariant %s violated: %s", e.Invariant, e.Detail)
}
