package forwarder

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/allocator"
	"github.com/fuchsiapitch/fuchsiapitch/internal/reducer"
)

// runAttempt sends the request to a replica, copies the response to the sink and
// reports the result to the reducer.
func (h *requestHandler) runAttempt(ctx context.Context, e reducer.StartAttempt) {
	attemptCtx, cancel := h.mailbox.AttemptContext(ctx, e.Attempt)
	defer cancel()
	defer context.AfterFunc(h.forwarder.aborted, cancel)()
	attemptCtx, span := h.startSpan(attemptCtx, "send", e.Replica.Server().Address())
	defer span.End()

	attemptEnded := reducer.AttemptEnded{Request: h.request.ID(), Attempt: e.Attempt, Outcome: fuchsiapitch.OutcomeSucceeded}
	reporter := h.newProgressReporter(e.Attempt)
	response, err := h.callReplica(attemptCtx, e)
	if err == nil {
		err = h.copyResponse(attemptCtx, response, reporter)
	}
	attemptEnded.TokensDelivered, attemptEnded.HeaderSent = h.tokensDelivered, h.headerSent
	if err != nil {
		h.classifyAttemptError(&attemptEnded, err)
		span.RecordError(err)
		h.logIfTooLarge(e.Replica.Server().ID(), err)
	}
	if ctx.Err() != nil {
		return
	}
	h.forwarder.runner.Submit(ctx, attemptEnded)
}

// callReplica sends the request to a replica unless the deadline has passed on the
// monotonic or the wall clock. It checks the deadline again because the process may
// have been paused after the reducer started the attempt.
func (h *requestHandler) callReplica(ctx context.Context, e reducer.StartAttempt) (fuchsiapitch.BackendResponse, error) {
	if h.forwarder.runner.HasReached(e.Deadline) {
		refusal := &fuchsiapitch.RefusedError{Request: h.request.ID(), Reason: fuchsiapitch.RefusedDeadline}
		return fuchsiapitch.BackendResponse{}, &fuchsiapitch.AttemptError{
			Request: h.request.ID(), Server: e.Replica.Server().ID(), Outcome: fuchsiapitch.OutcomeNotRun, Err: refusal,
		}
	}
	return h.forwarder.backendClient.Call(ctx, e.Replica.Server(), h.newCall(ctx, e.Priority, e.Deadline))
}

func (h *requestHandler) classifyAttemptError(attemptEnded *reducer.AttemptEnded, err error) {
	attemptEnded.Outcome = fuchsiapitch.OutcomeUnknown
	attemptEnded.Preempted = h.mailbox.Preempted()
	var attemptErr *fuchsiapitch.AttemptError
	if errors.As(err, &attemptErr) {
		attemptEnded.Outcome = attemptErr.Outcome
	}
	var unreachableErr *fuchsiapitch.UnreachableError
	attemptEnded.ReplicaUnreachable = errors.As(err, &unreachableErr) && !attemptEnded.Preempted
}

// logIfTooLarge logs a failed attempt whose response exceeded a size limit. Another
// attempt may succeed, after which nothing else is logged about this one.
func (h *requestHandler) logIfTooLarge(server fuchsiapitch.ServerID, err error) {
	tooLarge, ok := errors.AsType[*fuchsiapitch.ResponseTooLargeError](err)
	if !ok {
		return
	}
	h.forwarder.logger.Warn().Str("request", string(h.request.ID())).Str("service", string(h.request.Service())).
		Str("server", string(server)).Msg("answer cut off: " + tooLarge.Error())
}

// runForward sends the request to a dispatcher on another host, copies the response
// to the sink and reports the result to the reducer.
func (h *requestHandler) runForward(ctx context.Context, e reducer.ForwardRequest) {
	forwardCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(h.forwarder.aborted, cancel)()
	forwardCtx, span := h.startSpan(forwardCtx, "forward", e.Host.Address())
	defer span.End()

	forwardEnded := reducer.ForwardEnded{Request: h.request.ID(), Attempt: e.Attempt, Host: e.Host.ID(), Outcome: fuchsiapitch.OutcomeSucceeded}
	response, err := h.callDispatcher(forwardCtx, e)
	if err == nil {
		err = h.copyResponse(forwardCtx, response, nil)
	}
	forwardEnded.TokensDelivered, forwardEnded.HeaderSent = h.tokensDelivered, h.headerSent
	if err != nil {
		classifyForwardError(&forwardEnded, err)
		span.RecordError(err)
	}
	if ctx.Err() != nil {
		return
	}
	h.forwarder.runner.Submit(ctx, forwardEnded)
}

// callDispatcher sends the request to a dispatcher on another host unless the
// deadline has passed on the monotonic or the wall clock.
func (h *requestHandler) callDispatcher(ctx context.Context, e reducer.ForwardRequest) (fuchsiapitch.BackendResponse, error) {
	if h.forwarder.runner.HasReached(e.Deadline) {
		return fuchsiapitch.BackendResponse{}, &fuchsiapitch.DispatchError{
			Request: h.request.ID(), Host: e.Host.ID(), Outcome: fuchsiapitch.OutcomeNotRun, Refusal: fuchsiapitch.RefusedDeadline,
		}
	}
	return h.forwarder.remoteDispatcher.Dispatch(ctx, e.Host, h.request, h.newCall(ctx, 0, e.Deadline))
}

func classifyForwardError(forwardEnded *reducer.ForwardEnded, err error) {
	forwardEnded.Outcome = fuchsiapitch.OutcomeUnknown
	var dispatchErr *fuchsiapitch.DispatchError
	if errors.As(err, &dispatchErr) {
		forwardEnded.Outcome, forwardEnded.Refusal = dispatchErr.Outcome, dispatchErr.Refusal
		forwardEnded.RetryAfter, forwardEnded.HostUnreachable = dispatchErr.RetryAfter, dispatchErr.Unreachable
	}
}

// copyResponse copies a response to the sink and closes its body.
func (h *requestHandler) copyResponse(ctx context.Context, response fuchsiapitch.BackendResponse, reporter *progressReporter) error {
	defer response.Body().Close()
	if h.request.Streaming() && isTokenStream(response) {
		return h.copyTokenStream(ctx, response, reporter)
	}
	return h.copyBuffered(ctx, response)
}

func (h *requestHandler) copyTokenStream(ctx context.Context, response fuchsiapitch.BackendResponse, reporter *progressReporter) error {
	if err := h.sendHeader(response.Status(), response.Header()); err != nil {
		return err
	}
	for {
		chunk, err := response.Body().Next()
		if err != nil {
			return ignoreEOF(err)
		}
		h.tokensDelivered += chunk.Tokens()
		if err := h.sink.Write(chunk); err != nil {
			return err
		}
		reporter.recordTokens(ctx, chunk.Tokens())
	}
}

// copyBuffered buffers a response until it is complete, so that another attempt can
// replace a truncated one. A response of maxBufferedBytes or more is passed to the
// sink in parts, unless the request is for a token stream: the sink then could not
// show the client that the response is not complete. It waits while the responses that this host
// buffers have used up the memory for them.
func (h *requestHandler) copyBuffered(ctx context.Context, response fuchsiapitch.BackendResponse) error {
	if h.headerSent {
		return &fuchsiapitch.TruncatedResponseError{Request: h.request.ID(), Tokens: h.tokensDelivered}
	}
	memory, release := h.forwarder.buffers.Open(string(h.request.Service()))
	defer release()
	var buffered []byte
	for {
		chunk, err := response.Body().Next()
		if err != nil {
			if err = ignoreEOF(err); err != nil {
				return err
			}
			h.storeResponse(ctx, response, buffered)
			return h.deliveryError(h.flush(response, buffered))
		}
		if buffered, err = growFor(ctx, memory, buffered, len(chunk.Data())); err != nil {
			return err
		}
		buffered = append(buffered, chunk.Data()...)
		if len(buffered) < maxBufferedBytes {
			continue
		}
		if h.request.Streaming() {
			return &fuchsiapitch.ResponseTooLargeError{Part: "body", LimitBytes: maxBufferedBytes}
		}
		if err := h.flush(response, buffered); err != nil {
			return err
		}
		buffered = buffered[:0]
	}
}

// growFor returns a buffer with the same contents that has the capacity for further bytes. It takes
// the memory for them.
func growFor(ctx context.Context, memory *allocator.Response, buffer []byte, further int) ([]byte, error) {
	if len(buffer)+further <= cap(buffer) {
		return buffer, nil
	}
	size := max(2*cap(buffer), len(buffer)+further)
	if err := memory.Grow(ctx, size-cap(buffer)); err != nil {
		return nil, err
	}
	return append(make([]byte, 0, size), buffer...), nil
}

// deliveryError returns the error to report if a complete response could not be
// passed to the sink. It returns nil for a request that is not idempotent: that
// request has run and succeeded, even if its client has disconnected.
func (h *requestHandler) deliveryError(err error) error {
	if h.request.Idempotent() {
		return err
	}
	return nil
}

// storeResponse submits the complete response to a request with an idempotency key
// to the reducer, which stores it for replay.
func (h *requestHandler) storeResponse(ctx context.Context, response fuchsiapitch.BackendResponse, body []byte) {
	if h.request.IdempotencyKey() == "" || h.request.Idempotent() || h.headerSent {
		return
	}
	h.forwarder.runner.Submit(ctx, reducer.ResponseReceived{
		Request: h.request.ID(), Status: response.Status(), Body: body,
		ContentType: http.Header(response.Header()).Get("Content-Type"),
	})
}

func (h *requestHandler) flush(response fuchsiapitch.BackendResponse, buffered []byte) error {
	if err := h.sendHeader(response.Status(), response.Header()); err != nil {
		return err
	}
	return h.sink.Write(fuchsiapitch.NewChunk(buffered, 0))
}

// progressInterval is the shortest time between two progress reports on a stream.
const progressInterval = 250 * time.Millisecond

// progressReporter reports the tokens of one attempt to the reducer, at most once
// per progressInterval.
type progressReporter struct {
	handler          *requestHandler
	attemptNumber    uint64
	startedAt        time.Time
	lastReportAt     time.Time
	unreportedTokens int
	// responseStarted is true once AttemptResponseStarted was reported.
	responseStarted bool
}

func (h *requestHandler) newProgressReporter(attemptNumber uint64) *progressReporter {
	now := time.Now()
	return &progressReporter{handler: h, attemptNumber: attemptNumber, startedAt: now, lastReportAt: now}
}

// recordTokens counts tokens and reports them when a report is due. It does nothing
// on a nil reporter. A forwarded request has a nil reporter, since the dispatcher
// on the other host reports its progress.
func (p *progressReporter) recordTokens(ctx context.Context, tokens int) {
	if p == nil {
		return
	}
	p.unreportedTokens += tokens
	now := time.Now()
	if !p.responseStarted {
		p.responseStarted = true
		p.handler.forwarder.runner.Submit(ctx, reducer.AttemptResponseStarted{
			Request: p.handler.request.ID(), Attempt: p.attemptNumber, Latency: now.Sub(p.startedAt),
		})
		// Excludes the time to the first token from the inter-token time.
		p.lastReportAt, p.unreportedTokens = now, 0
	}
	if now.Sub(p.lastReportAt) < progressInterval {
		return
	}
	p.handler.forwarder.runner.Submit(ctx, reducer.AttemptProgressed{
		Request: p.handler.request.ID(), Attempt: p.attemptNumber, NewTokens: p.unreportedTokens, Elapsed: now.Sub(p.lastReportAt),
	})
	p.lastReportAt, p.unreportedTokens = now, 0
}
