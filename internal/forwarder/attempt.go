package forwarder

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/reducer"
)

// attempt sends the request to a replica and reports its end.
func (h *holder) attempt(ctx context.Context, d reducer.StartAttempt) {
	attemptContext, cancel := h.mailbox.AttemptContext(ctx, d.Attempt)
	defer cancel()
	attemptContext, span := h.span(attemptContext, "send", d.Replica.Server().Address())
	defer span.End()

	ended := reducer.AttemptEnded{Request: h.request.ID(), Attempt: d.Attempt, Outcome: fuchsiapitch.OutcomeSucceeded}
	progress := h.newProgress(d.Attempt)
	answer, err := h.send(attemptContext, d)
	if err == nil {
		err = h.copy(attemptContext, answer, progress)
	}
	ended.Tokens, ended.HeaderSent = h.tokens, h.started
	if err != nil {
		h.judgeAttempt(&ended, err)
		span.RecordError(err)
	}
	if ctx.Err() != nil {
		return
	}
	h.forwarder.runner.Submit(ctx, ended)
}

// send sends the request unless its deadline has passed on one of the clocks,
// since the process may have been paused.
func (h *holder) send(ctx context.Context, d reducer.StartAttempt) (fuchsiapitch.BackendResponse, error) {
	if h.forwarder.runner.HasReached(d.Deadline) {
		late := &fuchsiapitch.RefusedError{Request: h.request.ID(), Reason: fuchsiapitch.RefusedDeadline}
		return fuchsiapitch.BackendResponse{}, &fuchsiapitch.AttemptError{
			Request: h.request.ID(), Server: d.Replica.Server().ID(), Outcome: fuchsiapitch.OutcomeNotRun, Err: late,
		}
	}
	return h.forwarder.caller.Call(ctx, d.Replica.Server(), h.callAt(ctx, d.Priority, d.Deadline))
}

func (h *holder) judgeAttempt(ended *reducer.AttemptEnded, err error) {
	ended.Outcome = fuchsiapitch.OutcomeUnknown
	ended.Preempted = h.mailbox.Preempted()
	var attempt *fuchsiapitch.AttemptError
	if errors.As(err, &attempt) {
		ended.Outcome = attempt.Outcome
	}
	var unreachable *fuchsiapitch.UnreachableError
	ended.Unreachable = errors.As(err, &unreachable) && !ended.Preempted
}

// forward hands the request to a dispatcher on another host and reports its end.
func (h *holder) forward(ctx context.Context, d reducer.ForwardRequest) {
	forwardContext, span := h.span(ctx, "forward", d.Host.Address())
	defer span.End()

	ended := reducer.ForwardEnded{Request: h.request.ID(), Attempt: d.Attempt, Host: d.Host.ID(), Outcome: fuchsiapitch.OutcomeSucceeded}
	answer, err := h.handOver(forwardContext, d)
	if err == nil {
		err = h.copy(forwardContext, answer, nil)
	}
	ended.Tokens, ended.HeaderSent = h.tokens, h.started
	if err != nil {
		judgeForward(&ended, err)
		span.RecordError(err)
	}
	if ctx.Err() != nil {
		return
	}
	h.forwarder.runner.Submit(ctx, ended)
}

// handOver forwards the request unless its deadline has passed on one of the
// clocks.
func (h *holder) handOver(ctx context.Context, d reducer.ForwardRequest) (fuchsiapitch.BackendResponse, error) {
	if h.forwarder.runner.HasReached(d.Deadline) {
		return fuchsiapitch.BackendResponse{}, &fuchsiapitch.DispatchError{
			Request: h.request.ID(), Host: d.Host.ID(), Outcome: fuchsiapitch.OutcomeNotRun, Refusal: fuchsiapitch.RefusedDeadline,
		}
	}
	return h.forwarder.peer.Dispatch(ctx, d.Host, h.request, h.callAt(ctx, 0, d.Deadline))
}

func judgeForward(ended *reducer.ForwardEnded, err error) {
	ended.Outcome = fuchsiapitch.OutcomeUnknown
	var dispatch *fuchsiapitch.DispatchError
	if errors.As(err, &dispatch) {
		ended.Outcome, ended.Refusal = dispatch.Outcome, dispatch.Refusal
		ended.RetryAfter, ended.Unreachable = dispatch.RetryAfter, dispatch.Unreachable
	}
}

// copy moves an answer to the sink and closes it.
func (h *holder) copy(ctx context.Context, answer fuchsiapitch.BackendResponse, progress *progress) error {
	defer answer.Body().Close()
	if h.request.Streaming() && isStreamStatus(answer.Status()) {
		return h.copyStream(ctx, answer, progress)
	}
	return h.copyPlain(ctx, answer)
}

func (h *holder) copyStream(ctx context.Context, answer fuchsiapitch.BackendResponse, progress *progress) error {
	if err := h.start(answer.Status(), answer.Header()); err != nil {
		return err
	}
	for {
		chunk, err := answer.Body().Next()
		if err != nil {
			return wholeOr(err)
		}
		h.tokens += chunk.Tokens()
		if err := h.sink.Write(chunk); err != nil {
			return err
		}
		progress.add(ctx, chunk.Tokens())
	}
}

// copyPlain holds an answer back until it is whole, so that a truncated one
// can be replaced, unless it is larger than bufferLimit.
func (h *holder) copyPlain(ctx context.Context, answer fuchsiapitch.BackendResponse) error {
	if h.started {
		return &fuchsiapitch.TruncatedResponseError{Request: h.request.ID(), Tokens: h.tokens}
	}
	var held []byte
	for {
		chunk, err := answer.Body().Next()
		if err != nil {
			if err = wholeOr(err); err != nil {
				return err
			}
			h.store(ctx, answer, held)
			return h.conclude(h.flush(answer, held))
		}
		held = append(held, chunk.Data()...)
		if len(held) < bufferLimit {
			continue
		}
		if err := h.flush(answer, held); err != nil {
			return err
		}
		held = held[:0]
	}
}

// conclude judges the hand-over of a whole answer. A call that may not be
// repeated has run, also when its caller has gone.
func (h *holder) conclude(err error) error {
	if h.request.Idempotent() {
		return err
	}
	return nil
}

// store keeps the whole answer of a request with an idempotency key.
func (h *holder) store(ctx context.Context, answer fuchsiapitch.BackendResponse, body []byte) {
	if h.request.IdempotencyKey() == "" || h.request.Idempotent() || h.started {
		return
	}
	h.forwarder.runner.Submit(ctx, reducer.AnswerReceived{
		Request: h.request.ID(), Status: answer.Status(), Body: body,
		ContentType: http.Header(answer.Header()).Get("Content-Type"),
	})
}

func (h *holder) flush(answer fuchsiapitch.BackendResponse, held []byte) error {
	if err := h.start(answer.Status(), answer.Header()); err != nil {
		return err
	}
	return h.sink.Write(fuchsiapitch.NewChunk(held, 0))
}

// progressPeriod is the time between two reports on a stream.
const progressPeriod = 250 * time.Millisecond

// progress reports the tokens of one attempt from time to time.
type progress struct {
	holder  *holder
	attempt uint64
	started time.Time
	last    time.Time
	tokens  int
	first   bool
}

func (h *holder) newProgress(attempt uint64) *progress {
	now := time.Now()
	return &progress{holder: h, attempt: attempt, started: now, last: now}
}

// add counts tokens. It does nothing for a forwarded request, whose dispatcher
// reports.
func (p *progress) add(ctx context.Context, tokens int) {
	if p == nil {
		return
	}
	p.tokens += tokens
	now := time.Now()
	if !p.first {
		p.first = true
		p.holder.forwarder.runner.Submit(ctx, reducer.AttemptResponseStarted{
			Request: p.holder.request.ID(), Attempt: p.attempt, Latency: now.Sub(p.started),
		})
		// The wait for the first token is no time between tokens.
		p.last, p.tokens = now, 0
	}
	if now.Sub(p.last) < progressPeriod {
		return
	}
	p.holder.forwarder.runner.Submit(ctx, reducer.AttemptProgressed{
		Request: p.holder.request.ID(), Attempt: p.attempt, Tokens: p.tokens, Elapsed: now.Sub(p.last),
	})
	p.last, p.tokens = now, 0
}
