// Package receiver answers the callers: it authenticates them, reads their
// requests and gives them their answers over HTTP. Model services speak the
// protocol of OpenAI; application services are reached by path or host name.
package receiver

import (
	"crypto/sha256"
	"encoding/hex"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/forwarder"
	"github.com/fuchsiapitch/fuchsiapitch/internal/meter"
	"github.com/fuchsiapitch/fuchsiapitch/internal/tracer"
)

// The header fields that callers use.
const (
	headerRequestID      = "X-Request-Id"
	headerOutcome        = "X-Request-Outcome"
	headerRank           = "X-Rank"
	headerTimeout        = "X-Timeout-Ms"
	headerIdempotencyKey = "Idempotency-Key"
	headerContentType    = "Content-Type"
	headerRetryAfter     = "Retry-After"
)

const (
	// servicePrefix precedes the name of an application service in a path.
	servicePrefix = "/services/"
	bearerPrefix  = "Bearer "
)

// Configurations gives the configuration in force.
type Configurations interface {
	// Configuration returns the configuration in force.
	Configuration() fuchsiapitch.Configuration
}

// Receiver is the HTTP handler for callers.
type Receiver struct {
	configurations Configurations
	forwarder      *forwarder.Forwarder
	tracer         trace.Tracer
	meter          *meter.Meter
	bodies         bodies
	mux            *http.ServeMux
}

// Option sets one optional property of a receiver.
type Option func(*Receiver)

// WithTracer sets the tracer of the spans.
func WithTracer(t trace.Tracer) Option { return func(r *Receiver) { r.tracer = t } }

// WithMeter sets the metrics.
func WithMeter(m *meter.Meter) Option { return func(r *Receiver) { r.meter = m } }

// WithBodyTime sets the longest time that a caller may take for a body.
func WithBodyTime(limit time.Duration) Option { return func(r *Receiver) { r.bodies.time = limit } }

// WithHeldLimit bounds the bodies that the host holds at once, in bytes.
func WithHeldLimit(limit int64) Option { return func(r *Receiver) { r.bodies.heldLimit = limit } }

// New returns a handler that serves by a forwarder.
func New(configurations Configurations, f *forwarder.Forwarder, options ...Option) *Receiver {
	r := &Receiver{
		configurations: configurations,
		forwarder:      f,
		tracer:         noop.NewTracerProvider().Tracer(""),
		meter:          meter.New(),
		bodies:         bodies{limit: defaultBodyLimit, time: defaultBodyTime, heldLimit: defaultHeldLimit},
		mux:            http.NewServeMux(),
	}
	for _, o := range options {
		o(r)
	}
	for _, path := range []string{"/v1/chat/completions", "/v1/completions", "/v1/embeddings"} {
		r.mux.HandleFunc("POST "+path, r.serveModel)
	}
	r.mux.HandleFunc("GET /v1/models", r.serveModels)
	r.mux.HandleFunc("/", r.serveApplication)
	return r
}

// ServeHTTP implements http.Handler.
func (r *Receiver) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	ctx, span := r.tracer.Start(tracer.Extract(q.Context(), q.Header), "receive", trace.WithSpanKind(trace.SpanKindServer))
	defer span.End()
	r.mux.ServeHTTP(w, q.WithContext(ctx))
}

// authenticate returns the customer that owns the bearer key of a request.
func (r *Receiver) authenticate(q *http.Request) (fuchsiapitch.Customer, bool) {
	key, ok := strings.CutPrefix(q.Header.Get("Authorization"), bearerPrefix)
	if !ok || key == "" {
		return fuchsiapitch.Customer{}, false
	}
	hash := sha256.Sum256([]byte(key))
	return r.configurations.Configuration().CustomerByKeyHash(hex.EncodeToString(hash[:]))
}

// terms are what a request may ask for.
type terms struct {
	rank  fuchsiapitch.RankName
	limit time.Duration
}

// termsOf returns the terms that a caller asks for, as far as the service and
// the customer allow them.
func termsOf(q *http.Request, service fuchsiapitch.Service, customer fuchsiapitch.Customer) (terms, error) {
	rank, err := rankOf(q, service, customer)
	if err != nil {
		return terms{}, err
	}
	limit, err := timeLimitOf(q, service)
	return terms{rank: rank, limit: limit}, err
}

// rankOf returns the rank that a caller asks for, if the customer may, or the
// default rank of the service.
func rankOf(q *http.Request, service fuchsiapitch.Service, customer fuchsiapitch.Customer) (fuchsiapitch.RankName, error) {
	asked := fuchsiapitch.RankName(q.Header.Get(headerRank))
	if asked == "" || asked == service.Rank() {
		return service.Rank(), nil
	}
	if !slices.Contains(customer.AllowedRanks(), asked) {
		return "", &RequestError{Status: http.StatusForbidden, Code: "rank-not-allowed", Detail: "customer " + string(customer.Name()) + " may not ask for rank " + string(asked)}
	}
	return asked, nil
}

// timeLimitOf returns the time limit of a request: the service's, or the
// caller's if it is shorter.
func timeLimitOf(q *http.Request, service fuchsiapitch.Service) (time.Duration, error) {
	asked := q.Header.Get(headerTimeout)
	if asked == "" {
		return service.Timeout(), nil
	}
	ms, err := strconv.ParseInt(asked, 10, 64)
	if err != nil || ms <= 0 {
		return 0, &RequestError{Status: http.StatusBadRequest, Code: "bad-timeout", Detail: headerTimeout + " is not a positive number of milliseconds"}
	}
	limit := service.Timeout()
	if ms < limit.Milliseconds() {
		limit = time.Duration(ms) * time.Millisecond
	}
	return limit, nil
}

// newRequestID returns an identifier that no other request has.
func newRequestID() fuchsiapitch.RequestID {
	return fuchsiapitch.RequestID("req-" + uuid.NewString())
}

// hostLabel returns the first label of the host name that a caller used, "" for
// an IP number.
func hostLabel(q *http.Request) string {
	name := q.Host
	if h, _, err := net.SplitHostPort(name); err == nil {
		name = h
	}
	if net.ParseIP(name) != nil {
		return ""
	}
	label, _, _ := strings.Cut(name, ".")
	return label
}
