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
	// heartbeatTimeout bounds the wait for the answer to a heartbeat.
	heartbeatTimeout = 800 * time.Millisecond
	// probeTimeout bounds the wait for a backend server's account.
	probeTimeout = 800 * time.Millisecond
	// orderTimeout bounds the time that an order can be on its way.
	orderTimeout = grouper.MaxOrderDelay
	// appendTimeout bounds the wait for the answer to an append.
	appendTimeout = 3 * time.Second
)

// carryOut does what an effect asks for. It never waits: whatever takes time
// runs on a goroutine and reports an event.
func (r *Runner) carryOut(ctx context.Context, effect reducer.Effect) {
	switch e := effect.(type) {
	case reducer.RequestEffect:
		r.deliver(e)
	case reducer.ReportViolation:
		r.report(e.Violation)
	case reducer.FollowStream:
		r.follow(ctx, e)
	case reducer.SendHeartbeat:
		r.workers.start(ctx, func(ctx context.Context) { r.sendHeartbeat(ctx, e) })
	case reducer.AppendRecord:
		r.workers.start(ctx, func(ctx context.Context) { r.appendRecord(ctx, e) })
	case reducer.FetchConfiguration:
		r.workers.start(ctx, func(ctx context.Context) { r.fetchState(ctx, e) })
	case reducer.ProbeServer:
		r.workers.start(ctx, func(ctx context.Context) { r.probe(ctx, e) })
	case reducer.SendOrder:
		r.workers.start(ctx, func(ctx context.Context) { r.giveOrder(ctx, e) })
	}
}

func (r *Runner) deliver(directive reducer.RequestEffect) {
	m, ok := r.mailboxes[directive.RequestID()]
	if !ok {
		return
	}
	if !m.deliver(directive) {
		r.report(&fuchsiapitch.InvariantError{Invariant: "mailbox-bound", Detail: string(directive.RequestID())})
	}
	switch e := directive.(type) {
	case reducer.PreemptAttempt:
		r.meter.Preempted()
	case reducer.RefuseRequest:
		r.meter.Refused(e.Reason)
	}
	switch directive.(type) {
	case reducer.RefuseRequest, reducer.FinishRequest, reducer.ReplayAnswer:
		delete(r.mailboxes, directive.RequestID())
	}
}

func (r *Runner) report(violation *fuchsiapitch.InvariantError) {
	r.violations.Add(1)
	r.meter.Violated(violation.Invariant)
	r.log.Error().Str("invariant", violation.Invariant).Str("detail", violation.Detail).Msg("invariant violated")
	r.onViolation(violation)
}

func (r *Runner) sendHeartbeat(ctx context.Context, e reducer.SendHeartbeat) {
	call, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	answer, err := r.outside.Transport.SendHeartbeat(call, e.To, e.Heartbeat)
	if err != nil {
		r.Submit(ctx, reducer.HeartbeatFailed{Host: e.To.ID()})
		return
	}
	r.Submit(ctx, reducer.HeartbeatReceived{Heartbeat: answer})
}

func (r *Runner) appendRecord(ctx context.Context, e reducer.AppendRecord) {
	call, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	offset, err := r.outside.Log.Append(call, e.Stream, e.Record)
	ended := reducer.AppendEnded{Stream: e.Stream, Record: e.Record.ID(), Offset: offset, Result: reducer.Appended}
	var unavailable *fuchsiapitch.UnavailableError
	switch {
	case err == nil:
	case errors.As(err, &unavailable):
		ended.Result = reducer.NotAppended
	default:
		ended.Result = reducer.MaybeAppended
	}
	r.Submit(ctx, ended)
}

func (r *Runner) probe(ctx context.Context, e reducer.ProbeServer) {
	call, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	account, err := r.outside.Controls.EngineStatus(call, e.Server)
	if err != nil {
		r.Submit(ctx, reducer.ProbeFailed{Server: e.Server.ID()})
		return
	}
	r.Submit(ctx, reducer.ServerAccountReceived{Account: account})
}

// giveOrder sends an order unless the lease that allows it has lapsed. Both
// clocks are read right before, since the process may have been paused.
func (r *Runner) giveOrder(ctx context.Context, e reducer.SendOrder) {
	ended := reducer.OrderEnded{Server: e.Server.ID(), Fence: e.Order.FencingToken(), Outcome: fuchsiapitch.OutcomeUnknown}
	now := r.clock.Now()
	if now.Monotonic() >= e.LeaseExpiry.Monotonic() || !now.Wall().Before(e.LeaseExpiry.Wall()) {
		ended.Outcome = fuchsiapitch.OutcomeNotRun
		r.Submit(ctx, ended)
		return
	}
	call, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	account, err := r.outside.Controls.Order(call, e.Server, e.Order)
	var fenced *fuchsiapitch.StaleFencingTokenError
	switch {
	case err == nil:
		ended.Outcome, ended.Account = fuchsiapitch.OutcomeSucceeded, account
	case errors.As(err, &fenced):
		ended.Outcome = fuchsiapitch.OutcomeFailed
	}
	r.Submit(ctx, ended)
}
