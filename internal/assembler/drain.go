package assembler

import (
	"context"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch/internal/reducer"
)

// outcomeLimit bounds the wait for the log to take the outcomes of requests
// with idempotency keys, once every request has ended.
const outcomeLimit = 5 * time.Second

// waitDrained waits until the host holds no request and the outcomes of
// requests with idempotency keys stand in the log.
func (e *EntryHost) waitDrained(ctx context.Context) {
	for e.runner.InFlight() > 0 && ctx.Err() == nil {
		pause(ctx, drainPeriod)
	}
	ctx, cancel := context.WithTimeout(ctx, outcomeLimit)
	defer cancel()
	for ctx.Err() == nil {
		drained := false
		err := e.runner.Inspect(ctx, func(s *reducer.State) { drained = s.Drained() })
		if err == nil && drained {
			return
		}
		pause(ctx, drainPeriod)
	}
	e.subsystem.Error().Msg("the log does not take the outcomes of idempotency keys; other hosts will call them unknown")
}

// reportCuts logs every request that the operator's limit is about to cut.
func (e *EntryHost) reportCuts(ctx context.Context) {
	var unfinished []reducer.UnfinishedRequest
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), inspectTimeout)
	defer cancel()
	if err := e.runner.Inspect(ctx, func(s *reducer.State) { unfinished = s.UnfinishedRequests() }); err != nil {
		e.subsystem.Error().Err(err).Msg("the requests that the drain limit cuts are not known")
	}
	for _, u := range unfinished {
		e.subsystem.Error().Str("request", string(u.Request)).Str("service", string(u.Service)).
			Str("customer", string(u.Customer)).Str("rank", string(u.Rank)).
			Bool("may-have-run", u.MayHaveRun).Bool("idempotent", u.Idempotent).Dur("remaining", u.Remaining).
			Msg("the drain limit cuts a request in flight")
	}
}
