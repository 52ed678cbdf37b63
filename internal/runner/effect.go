package runner

import (
	"context"
	"errors"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/grouper"
	"github.com/fuchsiapitch/fuchsiapitch/internal/reducer"
)

const (
	// heartbeatTimeout limits the wait for the reply to a heartbeat.
	heartbeatTimeout = 800 * time.Millisecond
	// probeTimeout limits the wait for a backend server's status report.
	probeTimeout = 800 * time.Millisecond
	// orderTimeout limits the time for which an order can be in flight.
	orderTimeout = grouper.MaxOrderDelay
)

// execute starts an effect. It never blocks: slow work runs on its own
// goroutine, which submits an event with the result.
func (r *Runner) execute(ctx context.Context, effect reducer.Effect) {
	switch e := effect.(type) {
	case reducer.RequestEffect:
		r.deliver(e)
	case reducer.ReportViolation:
		r.reportViolation(e.Violation)
	case reducer.FollowStream:
		r.followStream(ctx, e)
	case reducer.SendHeartbeat:
		r.workers.start(ctx, func(ctx context.Context) { r.sendHeartbeat(ctx, e) })
	case reducer.AppendRecord:
		r.workers.start(ctx, func(ctx context.Context) { r.appendRecord(ctx, e) })
	case reducer.FetchConfiguration:
		r.workers.start(ctx, func(ctx context.Context) { r.fetchConfiguration(ctx, e) })
	case reducer.ProbeServer:
		r.workers.start(ctx, func(ctx context.Context) { r.probeServer(ctx, e) })
	case reducer.SendOrder:
		r.workers.start(ctx, func(ctx context.Context) { r.sendOrder(ctx, e) })
	}
}

// deliver puts an effect into the mailbox of its request and removes the
// mailbox after the effect that ends the request. It drops the effect if the
// request has no mailbox any more, and reports a violation of the invariant
// mailbox-bound if the mailbox is full.
func (r *Runner) deliver(requestEffect reducer.RequestEffect) {
	m, ok := r.mailboxes[requestEffect.RequestID()]
	if !ok {
		return
	}
	if !m.deliver(requestEffect) {
		r.reportViolation(&fuchsiapitch.InvariantError{Invariant: "mailbox-bound", Detail: "mailbox of request " + string(requestEffect.RequestID()) + " is full"})
	}
	switch e := requestEffect.(type) {
	case reducer.PreemptAttempt:
		r.meter.CountPreemption()
	case reducer.RefuseRequest:
		r.meter.CountRefusal(e.Reason)
	}
	switch requestEffect.(type) {
	case reducer.RefuseRequest, reducer.FinishRequest, reducer.ReplayResponse:
		delete(r.mailboxes, requestEffect.RequestID())
	}
}

func (r *Runner) reportViolation(violation *fuchsiapitch.InvariantError) {
	r.violationCount.Add(1)
	r.meter.CountInvariantViolation(violation.Invariant)
	r.logger.Error().Str("invariant", violation.Invariant).Str("detail", violation.Detail).Msg("invariant violated")
	r.onViolation(violation)
}

// sendHeartbeat sends a heartbeat and submits the peer's reply as an event, or
// HeartbeatFailed after an error.
func (r *Runner) sendHeartbeat(ctx context.Context, e reducer.SendHeartbeat) {
	timeoutContext, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	reply, err := r.dependencies.Transport.SendHeartbeat(timeoutContext, e.To, e.Heartbeat)
	if err != nil {
		r.Submit(ctx, reducer.HeartbeatFailed{Host: e.To.ID()})
		return
	}
	r.Submit(ctx, reducer.HeartbeatReceived{Heartbeat: reply})
}

// appendRecord appends a record to the log. Only an UnavailableError proves that
// the record was not appended; after any other error it may have been.
func (r *Runner) appendRecord(ctx context.Context, e reducer.AppendRecord) {
	offset, err := r.dependencies.Log.Append(ctx, e.Stream, e.Record)
	appendEnded := reducer.AppendEnded{Stream: e.Stream, Record: e.Record.ID(), Offset: offset, Result: reducer.Appended}
	var unavailable *fuchsiapitch.UnavailableError
	switch {
	case err == nil:
	case errors.As(err, &unavailable):
		appendEnded.Result = reducer.NotAppended
	default:
		appendEnded.Result = reducer.MaybeAppended
	}
	r.Submit(ctx, appendEnded)
}

// probeServer requests the status of a backend server and submits it as an
// event, or ProbeFailed after an error.
func (r *Runner) probeServer(ctx context.Context, e reducer.ProbeServer) {
	timeoutContext, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	engineStatus, err := r.dependencies.EngineControl.EngineStatus(timeoutContext, e.Server)
	if err != nil {
		r.Submit(ctx, reducer.ProbeFailed{Server: e.Server.ID()})
		return
	}
	r.Submit(ctx, reducer.EngineStatusReceived{Status: engineStatus})
}

// sendOrder sends an order unless the lease that allows it has expired on
// either clock. It reads both clocks immediately before it sends, since the
// process may have been paused. The outcome is failed if the backend server
// refuses the fencing token as stale, and unknown after any other error.
func (r *Runner) sendOrder(ctx context.Context, e reducer.SendOrder) {
	orderEnded := reducer.OrderEnded{Server: e.Server.ID(), FencingToken: e.Order.FencingToken(), Outcome: fuchsiapitch.OutcomeUnknown}
	now := r.clock.Now()
	if now.Monotonic() >= e.LeaseExpiry.Monotonic() || !now.Wall().Before(e.LeaseExpiry.Wall()) {
		orderEnded.Outcome = fuchsiapitch.OutcomeNotRun
		r.Submit(ctx, orderEnded)
		return
	}
	timeoutContext, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	engineStatus, err := r.dependencies.EngineControl.Order(timeoutContext, e.Server, e.Order)
	var staleToken *fuchsiapitch.StaleFencingTokenError
	switch {
	case err == nil:
		orderEnded.Outcome, orderEnded.EngineStatus = fuchsiapitch.OutcomeSucceeded, engineStatus
	case errors.As(err, &staleToken):
		orderEnded.Outcome = fuchsiapitch.OutcomeFailed
	}
	r.Submit(ctx, orderEnded)
}
