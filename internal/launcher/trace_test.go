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
	testTraceID     = "0af7651916cd43dd8448eb211c80319c"
	testTraceParent = "00-" + testTraceID + "-b7ad6b7169203331-01"
)

// TestSpans checks that requests record a span of every stage in the client's
// trace.
func TestSpans(t *testing.T) {
	spanRecorder := tracetest.NewSpanRecorder()
	provider := sdktrace.NewTracerProvider(sdktrace.WithSpanProcessor(spanRecorder))
	cluster, _ := startCluster(t, WithHostOptions(assembler.WithTracer(provider.Tracer("test"))))
	for _, h := range cluster.Hosts() {
		status, _, body := send(t, "POST", h.URL()+"/v1/completions", testAPIKey,
			`{"model":"vidrio-llm","max_tokens":2,"prompt":"hi"}`, "Traceparent", testTraceParent)
		assertStatus(t, status, http.StatusOK, body)
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	for _, want := range []string{"receive", "queue", "forward", "send"} {
		err := Await(ctx, func() bool {
			return slices.ContainsFunc(spanRecorder.Ended(), func(s sdktrace.ReadOnlySpan) bool {
				return s.Name() == want && s.SpanContext().TraceID().String() == testTraceID
			})
		})
		if err != nil {
			t.Errorf("got no span %q in the client's trace", want)
		}
	}
}
