package fuchsiapitch

import (
	"context"
	"fmt"
	"time"
)

// Peer hands requests to the dispatchers on other entry hosts.
type Peer interface {
	// Dispatch runs one request at the dispatcher on a host and returns the
	// answer once its header has arrived. Its error, and the error of the
	// answer's body, is a DispatchError.
	Dispatch(ctx context.Context, host Host, request Request, call Call) (Answer, error)
}

// DispatchError reports that a dispatcher gave no whole answer.
type DispatchError struct {
	// Request is the request.
	Request RequestID
	// Host is the host of the dispatcher.
	Host HostID
	// Outcome states whether the request was run.
	Outcome Outcome
	// Refusal is the dispatcher's reason for not running it, 0 if none.
	Refusal RefusalReason
	// RetryAfter is the dispatcher's hint for a retry, 0 if none.
	RetryAfter time.Duration
	// Unreachable states that the dispatcher itself did not answer.
	Unreachable bool
	// Err is the underlying error, if any.
	Err error
}

// Error implements error.
func (e *DispatchError) Error() string {
	return fmt.Sprintf("request %s at dispatcher %s, outcome %s, refusal %s: %v",
		e.Request, e.Host, e.Outcome, e.Refusal, e.Err)
}

// Unwrap returns the underlying error.
func (e *DispatchError) Unwrap() error { return e.Err }
