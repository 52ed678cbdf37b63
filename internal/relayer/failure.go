package relayer

import (
	"fmt"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// AnswerError reports an answer that must not reach the caller.
type AnswerError struct {
	// Server gave the answer.
	Server fuchsiapitch.ServerID
	// Status is its HTTP status.
	Status int
	// Why is what is wrong with it.
	Why string
}

// Error implements error.
func (e *AnswerError) Error() string {
	return fmt.Sprintf("answer of %s with status %d: %s", e.Server, e.Status, e.Why)
}

// WithdrawnError reports that the group which answered is no more.
type WithdrawnError struct{ Server fuchsiapitch.ServerID }

// Error implements error.
func (e *WithdrawnError) Error() string { return fmt.Sprintf("the group of %s is no more", e.Server) }

// HeaderError reports a request header that is too large.
type HeaderError struct{ Limit int64 }

// Error implements error.
func (e *HeaderError) Error() string { return fmt.Sprintf("header of more than %d bytes", e.Limit) }

// BodyError reports a request body that is too large.
type BodyError struct{ Limit int64 }

// Error implements error.
func (e *BodyError) Error() string { return fmt.Sprintf("body of more than %d bytes", e.Limit) }
