// Package tracer exports a span for each hop of a request and carries the
// trace context of W3C between processes.
package tracer

import (
	"context"
	"maps"
	"net/http"
	"os"
	"time"

	"github.com/gravitational/trace"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	oteltrace "go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
)

// instrumentation names the source of the spans.
const instrumentation = "fuchsiapitch"

// flushTimeout bounds the export of the last spans at the end of the process.
const flushTimeout = 3 * time.Second

// propagator carries the trace context in the header fields traceparent and
// tracestate.
var propagator = propagation.TraceContext{}

// Option sets one optional property of a tracer.
type Option func(*settings)

type settings struct {
	file     string
	endpoint string
	sampling float64
}

// WithFile exports the spans as JSON lines to a file.
func WithFile(path string) Option { return func(s *settings) { s.file = path } }

// WithEndpoint exports the spans by OTLP over HTTP to a URL.
func WithEndpoint(url string) Option { return func(s *settings) { s.endpoint = url } }

// WithSampling sets the fraction of traces that start here and are exported,
// from 0 to 1. A trace that a caller has sampled is always exported.
func WithSampling(fraction float64) Option { return func(s *settings) { s.sampling = fraction } }

// New returns a tracer and the function that exports what is left. Without a
// file or an endpoint the tracer does nothing and costs nothing.
func New(ctx context.Context, options ...Option) (oteltrace.Tracer, func(), error) {
	s := settings{sampling: 1}
	for _, o := range options {
		o(&s)
	}
	exporter, closeFile, err := s.exporter(ctx)
	if err != nil {
		return nil, nil, trace.Wrap(err)
	}
	if exporter == nil {
		return noop.NewTracerProvider().Tracer(instrumentation), func() {}, nil
	}
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(s.sampling))),
	)
	stop := func() {
		ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
		defer cancel()
		// Spans that cannot be exported are lost at the end of the process.
		_ = provider.Shutdown(ctx)
		closeFile()
	}
	return provider.Tracer(instrumentation), stop, nil
}

func (s settings) exporter(ctx context.Context) (sdktrace.SpanExporter, func(), error) {
	switch {
	case s.file != "":
		f, err := os.OpenFile(s.file, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return nil, nil, trace.Wrap(err)
		}
		e, err := stdouttrace.New(stdouttrace.WithWriter(f))
		return e, func() { _ = f.Close() }, trace.Wrap(err)
	case s.endpoint != "":
		e, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(s.endpoint))
		return e, func() {}, trace.Wrap(err)
	}
	return nil, func() {}, nil
}

// Inject returns a copy of the header fields with the trace context added. It
// returns the header itself when there is no trace.
func Inject(ctx context.Context, header map[string][]string) map[string][]string {
	if !oteltrace.SpanContextFromContext(ctx).IsValid() {
		return header
	}
	c := http.Header(maps.Clone(header))
	if c == nil {
		c = make(http.Header)
	}
	propagator.Inject(ctx, propagation.HeaderCarrier(c))
	return c
}

// Extract returns a context with the trace context of the header fields.
func Extract(ctx context.Context, header map[string][]string) context.Context {
	return propagator.Extract(ctx, propagation.HeaderCarrier(header))
}
