package fuchsiapitch

import (
	"context"
	"fmt"
	"time"
)

// RemoteDispatcher sends requests to the dispatchers on other entry hosts.
type RemoteDispatcher interface {
	// Dispatch runs a request through the dispatcher on a host and returns when the
	// header of the response has arrived. Its error, and the error of the response
	// body, is a DispatchError.
	Dispatch(ctx context.Context, host Host, request Request, call Call) (BackendResponse, error)
}

// DispatchError reports that a dispatcher returned no complete response.
type DispatchError struct {
	// Request identifies the request.
	Request RequestID
	// Host is the host of the dispatcher.
	Host HostID
	// Outcome is what is known about the execution of the request.
	Outcome Outcome
	// Refusal is the dispatcher's reason for refusing the request, 0 if none.
	Refusal RefusalReason
	// RetryAfter is the delay before a retry that the dispatcher suggests, 0 if none.
	RetryAfter time.Duration
	// Unreachable is true if the dispatcher itself did not respond.
	Unreachable bool
	// Err is the underlying error, if any.
	Err error
}

// Error implements error.
func (e *DispatchError) Error() string {
	return fmt.Sprintf("request %s to dispatcher %s ended with outcome %s, refusal %s: %v",
		e.Request, e.Host, e.Outcome, e.Refusal, e.Err)
}

// Unwrap returns the underlying error.
func (e *DispatchError) Unwrap() error { return e.Err }
