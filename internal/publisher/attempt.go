package publisher

import (
	"context"
	"errors"

	"github.com/cenkalti/backoff/v5"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/configurer"
)

// publishAttempt appends one record to the stream and determines its outcome.
type publishAttempt struct {
	publisher *Publisher
	follower  *configurer.Follower
	record    fuchsiapitch.Record
	backOff   backoff.BackOff
	// mayBeAppended is true if at least one append may have taken effect.
	mayBeAppended bool
	lastError     error
}

// appendAndReadBack appends the record and reads the stream until the outcome is
// known or the context ends.
//
// An append that certainly failed is retried. After an append with a lost
// response the stream is read back first. The response to an append decides only
// whether to retry it, not the outcome: an appended publication can still be
// rejected because of an earlier one.
func (a *publishAttempt) appendAndReadBack(ctx context.Context) Result {
	acknowledged := false
	for ctx.Err() == nil {
		if !acknowledged {
			acknowledged = a.appendOnce(ctx)
		}
		if a.mayBeAppended {
			if result, known := a.readBack(ctx); known {
				return result
			}
		}
		if delay := a.backOff.NextBackOff(); delay != backoff.Stop {
			sleep(ctx, delay)
		}
	}
	if a.lastError == nil {
		a.lastError = ctx.Err()
	}
	status := NotPublished
	if a.mayBeAppended {
		status = Unknown
	}
	return Result{PublicationID: a.record.ID(), Status: status, Err: a.lastError}
}

// appendOnce appends the record once and reports whether the log acknowledged it.
func (a *publishAttempt) appendOnce(ctx context.Context) bool {
	_, err := a.publisher.log.Append(ctx, configurer.StreamName, a.record)
	if err == nil {
		a.mayBeAppended = true
		return true
	}
	a.lastError = err
	var unavailable *fuchsiapitch.UnavailableError
	if !errors.As(err, &unavailable) {
		a.mayBeAppended = true
	}
	return false
}

// readBack continues to read the stream. It returns the outcome of the record, or
// false if the outcome is not known yet.
func (a *publishAttempt) readBack(ctx context.Context) (Result, bool) {
	stateMachine := a.follower.StateMachine()
	var outcome configurer.PublicationOutcome
	known := false
	outcomeKnown := func() bool {
		outcome, known = stateMachine.Outcome(a.record.ID())
		return known
	}
	if err := a.publisher.readToEnd(ctx, a.follower, outcomeKnown); err != nil {
		a.lastError = err
	}
	if !known {
		return Result{}, false
	}
	result := Result{PublicationID: a.record.ID(), Status: Accepted, Offset: outcome.Offset}
	if !outcome.Accepted {
		result.Status, result.Conflict = Lost, outcome.Conflict
	}
	return result, true
}
