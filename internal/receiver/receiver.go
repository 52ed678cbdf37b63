// Package receiver is the HTTP handler for clients: it authenticates them, checks
// and forwards their requests and writes the responses. Model services use the
// OpenAI API; application services are selected by path or host name.
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
	"github.com/fuchsiapitch/fuchsiapitch/internal/collector"
	"github.com/fuchsiapitch/fuchsiapitch/internal/forwarder"
	"github.com/fuchsiapitch/fuchsiapitch/internal/meter"
	"github.com/fuchsiapitch/fuchsiapitch/internal/tracer"
)

// Names of the HTTP header fields in requests and responses.
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
	// servicePrefix precedes the name of an application service in a URL path.
	servicePrefix = "/services/"
	bearerPrefix  = "Bearer "
)

// ConfigurationProvider provides the configuration in force.
type ConfigurationProvider interface {
	// Configuration returns the configuration in force.
	Configuration() fuchsiapitch.Configuration
}

// Receiver is the HTTP handler for client requests.
type Receiver struct {
	configurationProvider ConfigurationProvider
	forwarder             *forwarder.Forwarder
	tracer                trace.Tracer
	meter                 *meter.Meter
	bodyLimiter           bodyLimiter
	mux                   *http.ServeMux
}

// Option sets one optional property of a receiver.
type Option func(*Receiver)

// WithTracer sets the tracer. The default records no spans.
func WithTracer(t trace.Tracer) Option { return func(r *Receiver) { r.tracer = t } }

// WithMeter sets the metrics that the receiver updates.
func WithMeter(m *meter.Meter) Option { return func(r *Receiver) { r.meter = m } }

// WithBodyTimeout limits the time in which a client must send a request body.
func WithBodyTimeout(timeout time.Duration) Option {
	return func(r *Receiver) { r.bodyLimiter.readTimeout = timeout }
}

// WithMaxReservedBytes limits the total size of the request bodies that the host
// holds at the same time, in bytes.
func WithMaxReservedBytes(limit int64) Option {
	return func(r *Receiver) {
		r.bodyLimiter.maxReservedBytes = limit
		r.bodyLimiter.collector = collector.New(collector.WithPool(int(limit)))
	}
}

// WithBodies sets what reads the bodies of requests, and the number of bytes that it may hold.
func WithBodies(c *collector.Collector, limit int64) Option {
	return func(r *Receiver) { r.bodyLimiter.collector, r.bodyLimiter.maxReservedBytes = c, limit }
}

// New returns a handler that passes checked requests to a forwarder.
func New(configurationProvider ConfigurationProvider, f *forwarder.Forwarder, options ...Option) *Receiver {
	r := &Receiver{
		configurationProvider: configurationProvider,
		forwarder:             f,
		tracer:                noop.NewTracerProvider().Tracer(""),
		meter:                 meter.New(),
		bodyLimiter:           bodyLimiter{maxBodyBytes: defaultMaxBodyBytes, readTimeout: defaultBodyTimeout, maxReservedBytes: defaultMaxReservedBytes, collector: collector.New(collector.WithPool(defaultMaxReservedBytes))},
		mux:                   http.NewServeMux(),
	}
	for _, o := range options {
		o(r)
	}
	for _, path := range []string{"/v1/chat/completions", "/v1/completions", "/v1/embeddings"} {
		r.mux.HandleFunc("POST "+path, r.serveModelRequest)
	}
	r.mux.HandleFunc("GET /v1/models", r.serveModelList)
	r.mux.HandleFunc("/", r.serveApplicationRequest)
	return r
}

// ServeHTTP implements http.Handler.
func (r *Receiver) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	ctx, span := r.tracer.Start(tracer.Extract(q.Context(), q.Header), "receive", trace.WithSpanKind(trace.SpanKindServer))
	defer span.End()
	r.mux.ServeHTTP(w, q.WithContext(ctx))
}

// authenticate returns the customer to whom the bearer key of a request belongs.
func authenticate(configuration fuchsiapitch.Configuration, q *http.Request) (fuchsiapitch.Customer, bool) {
	key, ok := strings.CutPrefix(q.Header.Get("Authorization"), bearerPrefix)
	if !ok || key == "" {
		return fuchsiapitch.Customer{}, false
	}
	hash := sha256.Sum256([]byte(key))
	return configuration.CustomerByKeyHash(hex.EncodeToString(hash[:]))
}

// requestParameters are the scheduling parameters that a request can set by its
// header.
type requestParameters struct {
	rank      fuchsiapitch.RankName
	timeLimit time.Duration
}

// requestParametersOf returns the parameters that a request sets, checked against
// the service and the customer, with the service's defaults for the others.
func requestParametersOf(q *http.Request, service fuchsiapitch.Service, customer fuchsiapitch.Customer) (requestParameters, error) {
	rank, err := rankOf(q, service, customer)
	if err != nil {
		return requestParameters{}, err
	}
	timeLimit, err := timeLimitOf(q, service)
	return requestParameters{rank: rank, timeLimit: timeLimit}, err
}

// rankOf returns the requested rank if the customer may use it, and the default
// rank of the service if none is requested.
func rankOf(q *http.Request, service fuchsiapitch.Service, customer fuchsiapitch.Customer) (fuchsiapitch.RankName, error) {
	requested := fuchsiapitch.RankName(q.Header.Get(headerRank))
	if requested == "" || requested == service.Rank() {
		return service.Rank(), nil
	}
	if !slices.Contains(customer.AllowedRanks(), requested) {
		return "", &RequestError{Status: http.StatusForbidden, Code: "rank-not-allowed", Detail: "customer " + string(customer.Name()) + " may not ask for rank " + string(requested)}
	}
	return requested, nil
}

// timeLimitOf returns the time limit of a request: the requested one or the
// service's, whichever is shorter.
func timeLimitOf(q *http.Request, service fuchsiapitch.Service) (time.Duration, error) {
	requested := q.Header.Get(headerTimeout)
	if requested == "" {
		return service.Timeout(), nil
	}
	ms, err := strconv.ParseInt(requested, 10, 64)
	if err != nil || ms <= 0 {
		return 0, &RequestError{Status: http.StatusBadRequest, Code: "bad-timeout", Detail: headerTimeout + " is not a positive number of milliseconds"}
	}
	timeLimit := service.Timeout()
	if ms < timeLimit.Milliseconds() {
		timeLimit = time.Duration(ms) * time.Millisecond
	}
	return timeLimit, nil
}

// newRequestID returns a unique identifier.
func newRequestID() fuchsiapitch.RequestID {
	return fuchsiapitch.RequestID("req-" + uuid.NewString())
}

// firstHostLabel returns the first label of the host name in a request, "" if the
// host is an IP address.
func firstHostLabel(q *http.Request) string {
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
