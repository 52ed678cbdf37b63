// Package forwarder handles a request from its receipt to its end: it executes the
// reducer's effects for the request and copies the response of a replica or of a
// remote dispatcher to a sink.
package forwarder

import (
	"context"
	"mime"
	"net/http"
	"time"

	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/allocator"
	"github.com/fuchsiapitch/fuchsiapitch/internal/meter"
	"github.com/fuchsiapitch/fuchsiapitch/internal/reducer"
	"github.com/fuchsiapitch/fuchsiapitch/internal/runner"
	"github.com/fuchsiapitch/fuchsiapitch/internal/tracer"
)

// maxBufferedBytes is the size in bytes from which a response other than a token stream
// is passed to the sink in parts, or refused if the request is for a token stream. A
// smaller response is buffered until it is complete.
const maxBufferedBytes = 1 << 20

// Sink receives the response to one request.
type Sink interface {
	// Start receives the status and the header. It is called at most once.
	Start(status int, header map[string][]string) error
	// Write receives the next chunk. The chunk is valid until Write returns.
	Write(chunk fuchsiapitch.Chunk) error
}

// Result is the end of a request.
type Result struct {
	// Outcome is the outcome of the request.
	Outcome fuchsiapitch.Outcome
	// Refusal is the reason why the request was refused, 0 if it was not.
	Refusal fuchsiapitch.RefusalReason
	// RetryAfter is the time after which a retry may succeed, 0 if unknown.
	RetryAfter time.Duration
	// HeaderSent is true if the response header was passed to the sink.
	HeaderSent bool
	// TokensDelivered is the number of tokens of the stream that the client has
	// received, including those from before a resumption.
	TokensDelivered int
}

// Forwarder handles the requests of one entry host.
type Forwarder struct {
	runner           *runner.Runner
	backendClient    fuchsiapitch.BackendClient
	remoteDispatcher fuchsiapitch.RemoteDispatcher
	tracer           trace.Tracer
	meter            *meter.Meter
	logger           zerolog.Logger
	// buffers bounds the memory of the responses that are being buffered.
	buffers *allocator.Allocator
	// aborted ends when Abort is called.
	aborted context.Context //nolint:containedctx // It lives as long as the forwarder.
	abort   context.CancelFunc
}

// Option sets one optional property of a forwarder.
type Option func(*Forwarder)

// WithTracer sets the tracer of the spans.
func WithTracer(t trace.Tracer) Option { return func(f *Forwarder) { f.tracer = t } }

// WithMeter sets the metrics.
func WithMeter(m *meter.Meter) Option { return func(f *Forwarder) { f.meter = m } }

// WithLogger sets the logger.
func WithLogger(logger zerolog.Logger) Option { return func(f *Forwarder) { f.logger = logger } }

// WithBuffers sets the memory for the responses that are being buffered.
func WithBuffers(a *allocator.Allocator) Option { return func(f *Forwarder) { f.buffers = a } }

// New returns a forwarder that sends requests to replicas with backendClient and to
// dispatchers on other hosts with remoteDispatcher.
func New(r *runner.Runner, backendClient fuchsiapitch.BackendClient, remoteDispatcher fuchsiapitch.RemoteDispatcher, options ...Option) *Forwarder {
	f := &Forwarder{
		runner: r, backendClient: backendClient, remoteDispatcher: remoteDispatcher,
		tracer: noop.NewTracerProvider().Tracer(""), meter: meter.New(), logger: zerolog.Nop(), buffers: allocator.New(),
	}
	f.aborted, f.abort = context.WithCancel(context.Background())
	for _, o := range options {
		o(f)
	}
	return f
}

// Abort ends all requests in flight, and refuses later ones.
func (f *Forwarder) Abort() { f.abort() }

// Receive handles a request that a client sent to this host.
func (f *Forwarder) Receive(ctx context.Context, request fuchsiapitch.Request, call fuchsiapitch.Call, sink Sink) Result {
	return f.serve(ctx, request, call, sink, reducer.RequestReceived{Request: request})
}

// Dispatch handles a request that another entry host forwarded to this one.
func (f *Forwarder) Dispatch(ctx context.Context, from fuchsiapitch.Host, request fuchsiapitch.Request, call fuchsiapitch.Call, sink Sink) Result {
	return f.serve(ctx, request, call, sink, reducer.ForwardedRequestReceived{Request: request, From: from, TokenOffset: call.TokenOffset()})
}

func (f *Forwarder) serve(ctx context.Context, request fuchsiapitch.Request, call fuchsiapitch.Call, sink Sink, event reducer.Event) Result {
	if f.aborted.Err() != nil {
		return abortedResult
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(f.aborted, cancel)()
	h := &requestHandler{
		forwarder: f, request: request, call: call, sink: sink,
		receivedAt: time.Now(), tokensDelivered: call.TokenOffset(),
	}
	h.mailbox = f.runner.OpenRequest(ctx, request.ID(), event)
	result := h.run(ctx)
	result.HeaderSent, result.TokensDelivered = h.headerSent, h.tokensDelivered
	return result
}

// abortedResult is the end of a request that is aborted before it was sent anywhere.
var abortedResult = Result{Outcome: fuchsiapitch.OutcomeNotRun, Refusal: fuchsiapitch.RefusedNotReady}

// requestHandler handles one request at this host.
type requestHandler struct {
	forwarder  *Forwarder
	request    fuchsiapitch.Request
	call       fuchsiapitch.Call
	sink       Sink
	mailbox    *runner.Mailbox
	receivedAt time.Time
	// headerSent is true once the response header was passed to the sink.
	headerSent bool
	// tokensDelivered is the number of tokens that the client has received, including
	// those from before a resumption.
	tokensDelivered int
	// sent is true once the request was to be sent to a replica or a dispatcher.
	sent bool
}

// run executes the reducer's effects for the request until one ends it.
func (h *requestHandler) run(ctx context.Context) Result {
	for {
		effect, err := h.nextEffect(ctx)
		if err != nil {
			return h.reportAbandoned(ctx)
		}
		switch e := effect.(type) {
		case reducer.RefuseRequest:
			return Result{Outcome: fuchsiapitch.OutcomeNotRun, Refusal: e.Reason, RetryAfter: e.RetryAfter}
		case reducer.FinishRequest:
			return Result{Outcome: e.Outcome}
		case reducer.ReplayResponse:
			return h.replayResponse(e)
		case reducer.StartAttempt:
			h.sent = true
			h.runAttempt(h.upstreamContext(ctx), e)
		case reducer.ForwardRequest:
			h.sent = true
			h.runForward(h.upstreamContext(ctx), e)
		}
	}
}

// upstreamContext returns the context for a call to a replica or dispatcher. If the
// request is not idempotent, the call continues after the client has disconnected,
// so that the outcome becomes known.
func (h *requestHandler) upstreamContext(ctx context.Context) context.Context {
	if h.request.Idempotent() {
		return ctx
	}
	return context.WithoutCancel(ctx)
}

func (h *requestHandler) nextEffect(ctx context.Context) (reducer.RequestEffect, error) {
	ctx, span := h.forwarder.tracer.Start(ctx, "queue")
	defer span.End()
	return h.mailbox.NextEffect(ctx)
}

// reportAbandoned reports to the reducer that the client has disconnected, or that the
// request is aborted.
func (h *requestHandler) reportAbandoned(ctx context.Context) Result {
	h.forwarder.runner.Submit(context.WithoutCancel(ctx), reducer.RequestAbandoned{Request: h.request.ID()})
	if h.forwarder.aborted.Err() != nil && !h.sent && h.call.TokenOffset() == 0 {
		return abortedResult
	}
	return Result{Outcome: fuchsiapitch.OutcomeUnknown}
}

func (h *requestHandler) replayResponse(e reducer.ReplayResponse) Result {
	header := map[string][]string{"Content-Type": {e.ContentType}}
	if err := h.sendHeader(e.Status, header); err != nil {
		return Result{Outcome: fuchsiapitch.OutcomeSucceeded}
	}
	_ = h.sink.Write(fuchsiapitch.NewChunk(e.Body, 0))
	return Result{Outcome: fuchsiapitch.OutcomeSucceeded}
}

// sendHeader passes the header to the sink on the first call and does nothing on
// later ones.
func (h *requestHandler) sendHeader(status int, header map[string][]string) error {
	if h.headerSent {
		return nil
	}
	h.headerSent = true
	return h.sink.Start(status, header)
}

// newCall returns a call for this request. A token stream resumes after the tokens
// that were already delivered.
func (h *requestHandler) newCall(ctx context.Context, priority int, deadline fuchsiapitch.Instant) fuchsiapitch.Call {
	callDeadline := h.receivedAt.Add(h.request.TimeLimit())
	if deadline.Wall().Before(callDeadline) {
		callDeadline = deadline.Wall()
	}
	options := []fuchsiapitch.CallOption{
		fuchsiapitch.WithHeader(tracer.Inject(ctx, h.call.Header())), fuchsiapitch.WithEnginePriority(priority),
		fuchsiapitch.WithDeadline(callDeadline),
	}
	if h.request.Streaming() {
		options = append(options, fuchsiapitch.WithStream(h.tokensDelivered))
	}
	if h.request.Idempotent() {
		options = append(options, fuchsiapitch.WithIdempotent())
	}
	return fuchsiapitch.NewCall(h.request.ID(), h.call.Method(), h.call.Path(), h.call.Body(), options...)
}

func (h *requestHandler) startSpan(ctx context.Context, name, address string) (context.Context, trace.Span) {
	return h.forwarder.tracer.Start(ctx, name, trace.WithAttributes(
		attribute.String("request", string(h.request.ID())),
		attribute.String("service", string(h.request.Service())),
		attribute.String("to", address),
	))
}

// isTokenStream reports whether a response to a request for a token stream carries one.
// A server may answer with an error or a document instead.
func isTokenStream(response fuchsiapitch.BackendResponse) bool {
	mediaType, _, err := mime.ParseMediaType(http.Header(response.Header()).Get("Content-Type"))
	return err == nil && mediaType == "text/event-stream" && response.Status() == http.StatusOK
}
