package driver

import (
	"fmt"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch/internal/conductor"
)

// BeatError reports bytes that are no heartbeat.
type BeatError struct{ Err error }

// Error implements error.
func (e *BeatError) Error() string { return fmt.Sprintf("no heartbeat: %v", e.Err) }

// Unwrap returns the underlying error.
func (e *BeatError) Unwrap() error { return e.Err }

// RefusedError reports that a request got no place. It was not sent.
type RefusedError struct {
	// Reason is why, RetryAfter the time after which a place is likely.
	Reason     conductor.Reason
	RetryAfter time.Duration
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("no place: %s, retry after %s", e.Reason, e.RetryAfter)
}
