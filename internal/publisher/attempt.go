package publisher

import (
	"context"
	"errors"

	"github.com/cenkalti/backoff/v5"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/configurer"
)

// attempt brings one record into the stream and finds out what became of it.
type attempt struct {
	publisher *Publisher
	follower  *configurer.Follower
	record    fuchsiapitch.Record
	waits     backoff.BackOff
	// sent states that some append may have taken effect.
	sent bool
	err  error
}

// run appends and reads back until the outcome is known or the context ends.
//
// An append that certainly failed is repeated. After one whose answer was lost
// the stream is read back first. The outcome never follows from the answer to
// an append, which only tells where to read.
func (a *attempt) run(ctx context.Context) Result {
	appended := false
	for ctx.Err() == nil {
		if !appended {
			appended = a.append(ctx)
		}
		if a.sent {
			if result, known := a.readBack(ctx); known {
				return result
			}
		}
		if wait := a.waits.NextBackOff(); wait != backoff.Stop {
			pause(ctx, wait)
		}
	}
	if a.err == nil {
		a.err = ctx.Err()
	}
	status := NotPublished
	if a.sent {
		status = Unknown
	}
	return Result{Publication: a.record.ID(), Status: status, Err: a.err}
}

// append appends the record once and reports whether it is certainly there.
func (a *attempt) append(ctx context.Context) bool {
	call, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err := a.publisher.log.Append(call, configurer.StreamName, a.record)
	if err == nil {
		a.sent = true
		return true
	}
	a.err = err
	var unavailable *fuchsiapitch.UnavailableError
	if !errors.As(err, &unavailable) {
		a.sent = true
	}
	return false
}

// readBack reads on and reports what became of the record, if it is known.
func (a *attempt) readBack(ctx context.Context) (Result, bool) {
	fold := a.follower.StateMachine()
	var outcome configurer.PublicationOutcome
	known := false
	look := func() bool {
		outcome, known = fold.Outcome(a.record.ID())
		return known
	}
	if err := a.publisher.readToEnd(ctx, a.follower, look); err != nil {
		a.err = err
	}
	if !known {
		return Result{}, false
	}
	result := Result{Publication: a.record.ID(), Status: Accepted, Offset: outcome.Offset}
	if !outcome.Accepted {
		result.Status, result.Loss = Lost, outcome.Conflict
	}
	return result, true
}
