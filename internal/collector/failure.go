package collector

import (
	"fmt"
	"time"
)

// TooLargeError reports a body over its limit.
type TooLargeError struct {
	// LimitBytes is the limit in bytes.
	LimitBytes int64
}

// Error implements error.
func (e *TooLargeError) Error() string { return fmt.Sprintf("the body exceeds %d bytes", e.LimitBytes) }

// NoRoomError reports that the host had no memory for a body.
type NoRoomError struct {
	// RetryAfter is the time after which there may be room.
	RetryAfter time.Duration
}

// Error implements error.
func (e *NoRoomError) Error() string { return "not run: the host holds too many bodies" }

// TooSlowError reports a body that was not complete in time.
type TooSlowError struct {
	// WhileOthersWaited is true if the body was given up since it made too little progress while
	// others waited, and false if its deadline has passed.
	WhileOthersWaited bool
}

// Error implements error.
func (e *TooSlowError) Error() string {
	if e.WhileOthersWaited {
		return "not run: the body came too slowly while others waited"
	}
	return "not run: the body was not complete in time"
}

// UnreadableError reports a body that ended early or is malformed.
type UnreadableError struct {
	// Err is the error of the connection.
	Err error
}

// Error implements error.
func (e *UnreadableError) Error() string { return "the body cannot be read: " + e.Err.Error() }

// Unwrap returns the error of the connection.
func (e *UnreadableError) Unwrap() error { return e.Err }

// reasonOf returns the name of an error of Collect in the metrics.
func reasonOf(err error) string {
	switch e := err.(type) { //nolint:errorlint // Collect wraps none of its errors.
	case *TooLargeError:
		return "too-large"
	case *NoRoomError:
		return "no-room"
	case *TooSlowError:
		if e.WhileOthersWaited {
			return "stalled"
		}
		return "too-slow"
	}
	return "unreadable"
}
