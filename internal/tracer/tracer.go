// Package tracer exports OpenTelemetry spans of requests, and propagates
// the W3C trace context between processes.
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

// instrumentationName is the name of the instrumentation scope of the spans.
const instrumentationName = "fuchsiapitch"

// flushTimeout bounds the export of the remaining spans on shutdown.
const flushTimeout = 3 * time.Second

// propagator transfers the trace context in the header fields traceparent and
// tracestate.
var propagator = propagation.TraceContext{}

// Option sets one optional property of a tracer.
type Option func(*config)

type config struct {
	filePath      string
	endpointURL   string
	samplingRatio float64
}

// WithFile exports the spans to a file as JSON, one span per line. It takes precedence
// over WithEndpoint.
func WithFile(path string) Option { return func(c *config) { c.filePath = path } }

// WithEndpoint exports the spans to a URL with OTLP over HTTP.
func WithEndpoint(url string) Option { return func(c *config) { c.endpointURL = url } }

// WithSamplingRatio sets the fraction of the traces started by this process that are
// exported, from 0 to 1. A trace that a client has sampled is always exported.
func WithSamplingRatio(ratio float64) Option { return func(c *config) { c.samplingRatio = ratio } }

// New returns a tracer, and a function that exports the remaining spans and shuts the
// tracer down. Without a file or an endpoint it returns a no-op tracer without overhead.
func New(ctx context.Context, options ...Option) (oteltrace.Tracer, func(), error) {
	c := config{samplingRatio: 1}
	for _, o := range options {
		o(&c)
	}
	exporter, closeFile, err := c.newExporter(ctx)
	if err != nil {
		return nil, nil, trace.Wrap(err)
	}
	if exporter == nil {
		return noop.NewTracerProvider().Tracer(instrumentationName), func() {}, nil
	}
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(c.samplingRatio))),
	)
	shutdown := func() {
		ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
		defer cancel()
		// Spans that cannot be exported on shutdown are lost.
		_ = provider.Shutdown(ctx)
		closeFile()
	}
	return provider.Tracer(instrumentationName), shutdown, nil
}

func (c config) newExporter(ctx context.Context) (sdktrace.SpanExporter, func(), error) {
	switch {
	case c.filePath != "":
		file, err := os.OpenFile(c.filePath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return nil, nil, trace.Wrap(err)
		}
		exporter, err := stdouttrace.New(stdouttrace.WithWriter(file))
		return exporter, func() { _ = file.Close() }, trace.Wrap(err)
	case c.endpointURL != "":
		exporter, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(c.endpointURL))
		return exporter, func() {}, trace.Wrap(err)
	}
	return nil, func() {}, nil
}

// Inject returns a copy of the header fields with the trace context added. Without a
// valid trace context it returns the header itself.
func Inject(ctx context.Context, header map[string][]string) map[string][]string {
	if !oteltrace.SpanContextFromContext(ctx).IsValid() {
		return header
	}
	carrier := http.Header(maps.Clone(header))
	if carrier == nil {
		carrier = make(http.Header)
	}
	propagator.Inject(ctx, propagation.HeaderCarrier(carrier))
	return carrier
}

// Extract returns a context with the trace context from the header fields.
func Extract(ctx context.Context, header map[string][]string) context.Context {
	return propagator.Extract(ctx, propagation.HeaderCarrier(header))
}
