package assembler

import (
	"context"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch/internal/reducer"
)

// outcomeAppendTimeout limits the wait until the outcomes of requests with
// idempotency keys are appended to the log, after the last request has ended.
const outcomeAppendTimeout = 5 * time.Second

// waitUntilDrained waits until the host has no request in flight and the outcomes
// of requests with idempotency keys are appended to the log.
func (e *EntryHost) waitUntilDrained(ctx context.Context) {
	for e.runner.InFlight() > 0 && ctx.Err() == nil {
		sleep(ctx, drainPollInterval)
	}
	ctx, cancel := context.WithTimeout(ctx, outcomeAppendTimeout)
	defer cancel()
	for ctx.Err() == nil {
		drained := false
		err := e.runner.Inspect(ctx, func(s *reducer.State) { drained = s.Drained() })
		if err == nil && drained {
			return
		}
		sleep(ctx, drainPollInterval)
	}
	e.assemblerLogger.Error().Msg("outcomes of requests with idempotency keys were not appended to the log before the shutdown; other hosts will report them as unknown")
}

// logAbortedRequests logs every request that is still in flight and about to be
// aborted, because the operator's drain limit is reached or the context of Serve has
// ended.
func (e *EntryHost) logAbortedRequests(ctx context.Context) {
	var unfinished []reducer.UnfinishedRequest
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), inspectTimeout)
	defer cancel()
	if err := e.runner.Inspect(ctx, func(s *reducer.State) { unfinished = s.UnfinishedRequests() }); err != nil {
		e.assemblerLogger.Error().Err(err).Msg("cannot list the requests that are aborted at the drain limit")
	}
	for _, u := range unfinished {
		e.assemblerLogger.Error().Str("request", string(u.Request)).Str("service", string(u.Service)).
			Str("customer", string(u.Customer)).Str("rank", string(u.Rank)).
			Bool("may-have-run", u.MayHaveRun).Bool("idempotent", u.Idempotent).Dur("remaining", u.Remaining).
			Msg("request in flight is aborted at the drain limit")
	}
}
