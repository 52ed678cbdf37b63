package driver

import (
	"fmt"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch/internal/coordinator"
)

// MissingSenderError reports a message between hosts that names no sender.
type MissingSenderError struct{}

// Error implements error.
func (*MissingSenderError) Error() string { return "message names no sender" }

// HeartbeatError reports a datagram that cannot be decoded as a heartbeat or digest.
type HeartbeatError struct{ Err error }

// Error implements error.
func (e *HeartbeatError) Error() string { return fmt.Sprintf("malformed heartbeat: %v", e.Err) }

// Unwrap returns the underlying error.
func (e *HeartbeatError) Unwrap() error { return e.Err }

// AdmissionError reports that a request was refused a slot. It was not sent.
type AdmissionError struct {
	// Reason is the reason for the refusal, RetryAfter the time after which a slot is
	// likely to be free.
	Reason     coordinator.RefusalReason
	RetryAfter time.Duration
}

// Error implements error.
func (e *AdmissionError) Error() string {
	return fmt.Sprintf("no place: %s, retry after %s", e.Reason, e.RetryAfter)
}
