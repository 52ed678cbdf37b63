package launcher

import (
	"context"
	"net/http"
	"slices"
	"testing"
	"time"

	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"github.com/fuchsiapitch/fuchsiapitch/internal/assembler"
)

const (
	testTrace       = "0af7651916cd43dd8448eb211c80319c"
	testTraceParent = "00-" + testTrace + "-b7ad6b7169203331-01"
)

func TestSpans(t *testing.T) {
	spans := tracetest.NewSpanRecorder()
	provider := sdktrace.NewTracerProvider(sdktrace.WithSpanProcessor(spans))
	c, _ := startPath(t, WithHostOptions(assembler.WithTracer(provider.Tracer("test"))))
	for _, h := range c.Hosts() {
		status, _, body := send(t, "POST", h.URL()+"/v1/completions", testKey,
			`{"model":"vidrio-llm","max_tokens":2,"prompt":"hi"}`, "Traceparent", testTraceParent)
		assertStatus(t, status, http.StatusOK, body)
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	for _, want := range []string{"receive", "queue", "forward", "send"} {
		err := Await(ctx, func() bool {
			return slices.ContainsFunc(spans.Ended(), func(s sdktrace.ReadOnlySpan) bool {
				return s.Name() == want && s.SpanContext().TraceID().String() == testTrace
			})
		})
		if err != nil {
			t.Errorf("got no span %q in the caller's trace", want)
		}
	}
}
