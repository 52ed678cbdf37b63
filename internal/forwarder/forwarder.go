// Package forwarder holds a request from its receipt to its end: it follows the
// reducer's directives and moves the pieces of the answer from a replica or a
// dispatcher to a sink.
package forwarder

import (
	"context"
	"net/http"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/meter"
	"github.com/fuchsiapitch/fuchsiapitch/internal/reducer"
	"github.com/fuchsiapitch/fuchsiapitch/internal/runner"
	"github.com/fuchsiapitch/fuchsiapitch/internal/tracer"
)

// bufferLimit is the largest plain answer, in bytes, that is held back until it
// is whole. A larger one is passed on piece by piece.
const bufferLimit = 1 << 20

// Sink takes the answer of one request.
type Sink interface {
	// Start takes the status and the header. It is called at most once.
	Start(status int, header map[string][]string) error
	// Write takes the next piece. The piece is valid until Write returns.
	Write(chunk fuchsiapitch.Chunk) error
}

// Result states how a request ended.
type Result struct {
	// Outcome states what is known of the request.
	Outcome fuchsiapitch.Outcome
	// Refusal is the reason why it was not run, 0 if none.
	Refusal fuchsiapitch.RefusalReason
	// RetryAfter is the time after which a retry may succeed, 0 if unknown.
	RetryAfter time.Duration
	// Started states that the sink has taken the header.
	Started bool
	// Tokens is the number of tokens that the sink has taken.
	Tokens int
}

// Forwarder serves the requests of one entry host.
type Forwarder struct {
	runner *runner.Runner
	caller fuchsiapitch.BackendClient
	peer   fuchsiapitch.RemoteDispatcher
	tracer trace.Tracer
	meter  *meter.Meter
}

// Option sets one optional property of a forwarder.
type Option func(*Forwarder)

// WithTracer sets the tracer of the spans.
func WithTracer(t trace.Tracer) Option { return func(f *Forwarder) { f.tracer = t } }

// WithMeter sets the metrics.
func WithMeter(m *meter.Meter) Option { return func(f *Forwarder) { f.meter = m } }

// New returns a forwarder that sends to replicas by a caller and to dispatchers
// by a peer.
func New(r *runner.Runner, caller fuchsiapitch.BackendClient, peer fuchsiapitch.RemoteDispatcher, options ...Option) *Forwarder {
	f := &Forwarder{runner: r, caller: caller, peer: peer, tracer: noop.NewTracerProvider().Tracer(""), meter: meter.New()}
	for _, o := range options {
		o(f)
	}
	return f
}

// Receive serves a request that a caller sent to this host.
func (f *Forwarder) Receive(ctx context.Context, request fuchsiapitch.Request, call fuchsiapitch.Call, sink Sink) Result {
	return f.serve(ctx, request, call, sink, reducer.RequestReceived{Request: request})
}

// Dispatch serves a request that another entry host hands to this one.
func (f *Forwarder) Dispatch(ctx context.Context, from fuchsiapitch.Host, request fuchsiapitch.Request, call fuchsiapitch.Call, sink Sink) Result {
	return f.serve(ctx, request, call, sink, reducer.ForwardedRequestReceived{Request: request, From: from, Offset: call.TokenOffset()})
}

func (f *Forwarder) serve(ctx context.Context, request fuchsiapitch.Request, call fuchsiapitch.Call, sink Sink, event reducer.Event) Result {
	h := &holder{
		forwarder: f, request: request, call: call, sink: sink,
		received: time.Now(), tokens: call.TokenOffset(),
	}
	h.mailbox = f.runner.OpenRequest(ctx, request.ID(), event)
	result := h.follow(ctx)
	result.Started, result.Tokens = h.started, h.tokens
	return result
}

// holder is the life of one request at this host.
type holder struct {
	forwarder *Forwarder
	request   fuchsiapitch.Request
	call      fuchsiapitch.Call
	sink      Sink
	mailbox   *runner.Mailbox
	received  time.Time
	started   bool
	tokens    int
}

// follow carries out the directives until one ends the request.
func (h *holder) follow(ctx context.Context) Result {
	for {
		directive, err := h.wait(ctx)
		if err != nil {
			return h.abandon(ctx)
		}
		switch d := directive.(type) {
		case reducer.RefuseRequest:
			return Result{Outcome: fuchsiapitch.OutcomeNotRun, Refusal: d.Reason, RetryAfter: d.RetryAfter}
		case reducer.FinishRequest:
			return Result{Outcome: d.Outcome}
		case reducer.ReplayAnswer:
			return h.replay(d)
		case reducer.StartAttempt:
			h.attempt(h.lifetime(ctx), d)
		case reducer.ForwardRequest:
			h.forward(h.lifetime(ctx), d)
		}
	}
}

// lifetime returns the context of an attempt. A call that may not be repeated
// is finished also when its caller has gone, so that its outcome is known.
func (h *holder) lifetime(ctx context.Context) context.Context {
	if h.request.Idempotent() {
		return ctx
	}
	return context.WithoutCancel(ctx)
}

func (h *holder) wait(ctx context.Context) (reducer.RequestEffect, error) {
	ctx, span := h.forwarder.tracer.Start(ctx, "queue")
	defer span.End()
	return h.mailbox.Next(ctx)
}

// abandon tells the reducer that the caller has gone.
func (h *holder) abandon(ctx context.Context) Result {
	h.forwarder.runner.Submit(context.WithoutCancel(ctx), reducer.RequestAbandoned{Request: h.request.ID()})
	return Result{Outcome: fuchsiapitch.OutcomeUnknown}
}

func (h *holder) replay(d reducer.ReplayAnswer) Result {
	header := map[string][]string{"Content-Type": {d.ContentType}}
	if err := h.start(d.Status, header); err != nil {
		return Result{Outcome: fuchsiapitch.OutcomeSucceeded}
	}
	_ = h.sink.Write(fuchsiapitch.NewChunk(d.Body, 0))
	return Result{Outcome: fuchsiapitch.OutcomeSucceeded}
}

// start gives the header to the sink, the first time it is called.
func (h *holder) start(status int, header map[string][]string) error {
	if h.started {
		return nil
	}
	h.started = true
	return h.sink.Start(status, header)
}

// callAt returns the call of this request with a stream that starts after the
// tokens that the sink has taken.
func (h *holder) callAt(ctx context.Context, priority int, deadline fuchsiapitch.Instant) fuchsiapitch.Call {
	limit := h.received.Add(h.request.TimeLimit())
	if deadline.Wall().Before(limit) {
		limit = deadline.Wall()
	}
	options := []fuchsiapitch.CallOption{
		fuchsiapitch.WithHeader(tracer.Inject(ctx, h.call.Header())), fuchsiapitch.WithEnginePriority(priority),
		fuchsiapitch.WithDeadline(limit),
	}
	if h.request.Streaming() {
		options = append(options, fuchsiapitch.WithStream(h.tokens))
	}
	if h.request.Idempotent() {
		options = append(options, fuchsiapitch.WithIdempotent())
	}
	return fuchsiapitch.NewCall(h.request.ID(), h.call.Method(), h.call.Path(), h.call.Body(), options...)
}

func (h *holder) span(ctx context.Context, name, to string) (context.Context, trace.Span) {
	return h.forwarder.tracer.Start(ctx, name, trace.WithAttributes(
		attribute.String("request", string(h.request.ID())),
		attribute.String("service", string(h.request.Service())),
		attribute.String("to", to),
	))
}

// isStreamStatus reports whether a stream of tokens can go on with an answer.
func isStreamStatus(status int) bool { return status == http.StatusOK }
