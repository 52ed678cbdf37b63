// Package relayer takes the requests of callers and passes them on to the servers
// that the conductor chooses. It moves the bytes of answers, whole or event by
// event, and knows at each moment whether a request may have run.
package relayer

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/conductor"
	"github.com/fuchsiapitch/fuchsiapitch/internal/driver"
	"github.com/fuchsiapitch/fuchsiapitch/internal/meter"
)

const (
	// defaultTimeLimit is the time limit of a caller that names none.
	defaultTimeLimit = 30 * time.Second
	// plainLimitBytes is the largest plain answer that is held until it is whole.
	plainLimitBytes = 16 << 20
	// startRetry is the time after which to come back to a host that has no
	// configuration yet.
	startRetry = 500 * time.Millisecond
	// returnedShare is the part of the usual time limit below which a caller has
	// used some of it on an earlier try.
	returnedShare = 0.97
	// safetyMargin is kept between the end of the work at a server and the end of
	// the caller's time.
	safetyMargin = 10 * time.Millisecond
)

// Places gives out places at servers.
type Places interface {
	// Acquire waits for a place. Its error is a driver.RefusedError or that of
	// the context.
	Acquire(ctx context.Context, e conductor.Arrived) (*driver.Place, error)
	// At returns an instant as the conductor counts time.
	At(t time.Time) time.Duration
}

// Sender sends one request at most once.
type Sender interface {
	Exchange(request *http.Request, deadline time.Time) (*http.Response, fuchsiapitch.Outcome, error)
}

// Dialect translates headers.
type Dialect interface {
	// Request returns what the header of a caller's request says.
	Request(h http.Header) fuchsiapitch.RequestFacts
	// Forward returns the header of a request to a server.
	Forward(h http.Header, f fuchsiapitch.ForwardFacts) http.Header
	// Answer returns what the header of a server's answer says.
	Answer(status int, h http.Header) fuchsiapitch.AnswerFacts
	// Backward returns the header of an answer to a caller.
	Backward(h http.Header) http.Header
	// Refusal fills in the header of an answer of the system's own.
	Refusal(h http.Header, request fuchsiapitch.RequestID, retryAfter time.Duration)
}

// Relayer serves the requests of callers. It implements http.Handler.
type Relayer struct {
	places  Places
	sender  Sender
	dialect Dialect
	log     zerolog.Logger
	meter   *meter.Meter
	table   atomic.Pointer[fuchsiapitch.RouteTable]
	stops   atomic.Bool
	active  atomic.Int64
}

// Option sets one optional property of a relayer.
type Option func(*Relayer)

// WithLogger sets the logger.
func WithLogger(log zerolog.Logger) Option { return func(r *Relayer) { r.log = log } }

// WithMeter sets the metrics.
func WithMeter(m *meter.Meter) Option { return func(r *Relayer) { r.meter = m } }

// New returns a relayer without a configuration.
func New(places Places, sender Sender, dialect Dialect, options ...Option) *Relayer {
	r := &Relayer{places: places, sender: sender, dialect: dialect, log: zerolog.Nop(), meter: meter.New()}
	for _, o := range options {
		o(r)
	}
	return r
}

// Configure puts a configuration into force unless a later one is.
func (r *Relayer) Configure(t *fuchsiapitch.RouteTable) bool {
	for {
		old := r.table.Load()
		if old != nil && old.Version() >= t.Version() {
			return false
		}
		if r.table.CompareAndSwap(old, t) {
			return true
		}
	}
}

// Table returns the configuration in force, nil for none.
func (r *Relayer) Table() *fuchsiapitch.RouteTable { return r.table.Load() }

// Stop has callers told to open a new connection for their next request.
func (r *Relayer) Stop() { r.stops.Store(true) }

// Active returns the number of requests in flight.
func (r *Relayer) Active() int64 { return r.active.Load() }

// ServeHTTP implements http.Handler.
func (r *Relayer) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	r.active.Add(1)
	defer r.active.Add(-1)
	if r.stops.Load() {
		w.Header().Set("Connection", "close")
	}
	x := &exchange{relayer: r, writer: w, request: request, arrived: time.Now(), facts: r.dialect.Request(request.Header)}
	if !x.route() {
		return
	}
	if !x.readBody() {
		return
	}
	ctx, cancel := context.WithDeadline(request.Context(), x.deadline)
	defer cancel()
	x.ctx = ctx
	if x.rule.Kind == fuchsiapitch.StreamRoute {
		x.stream()
	} else {
		x.plain()
	}
}

// exchange is one request of a caller.
type exchange struct {
	relayer  *Relayer
	writer   http.ResponseWriter
	request  *http.Request
	ctx      context.Context //nolint:containedctx // It lives as long as the request.
	arrived  time.Time
	deadline time.Time
	facts    fuchsiapitch.RequestFacts
	rule     fuchsiapitch.HostRoute
	customer fuchsiapitch.Tenancy
	service  fuchsiapitch.ServiceName
	body     []byte
	// sent is the number of servers that the request was sent to, tries that of
	// places that it had.
	sent, tries int
	// waited is the time until the last place was given.
	waited time.Duration
	// mayHaveRun states that a server may have run it.
	mayHaveRun bool
	avoid      []fuchsiapitch.ServerID
}

// route finds the rule and the customer of a request, or answers it.
func (x *exchange) route() bool {
	t := x.relayer.table.Load()
	if t == nil {
		x.answer(http.StatusServiceUnavailable, startRetry, "no configuration yet")
		return false
	}
	if limit := t.Limits().HeaderBytes; limit > 0 && headerBytes(x.request) > limit {
		x.writer.Header().Set("Connection", "close")
		x.answer(http.StatusRequestHeaderFieldsTooLarge, 0, (&HeaderError{Limit: limit}).Error())
		return false
	}
	path, _, _ := strings.Cut(x.request.RequestURI, "?")
	rule, ok := t.Match(x.request.Host, path)
	if !ok {
		x.answer(http.StatusNotFound, 0, "no route")
		return false
	}
	if t.Keyed() && !rule.Public {
		if x.customer, ok = t.Holder(x.facts.Key); !ok {
			x.answer(http.StatusUnauthorized, 0, "unknown key")
			return false
		}
	}
	x.rule = rule
	x.service = pick(rule.Services)
	limit := x.facts.TimeLimit
	if limit <= 0 {
		limit = defaultTimeLimit
	}
	if rule.Timeout > 0 {
		limit = min(limit, rule.Timeout)
	}
	x.deadline = x.arrived.Add(limit)
	return true
}

// headerBytes returns the size of the header of a request.
func headerBytes(r *http.Request) int64 {
	const separators = 4 // the colon, the space and the end of a line
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + separators
		}
	}
	return int64(n)
}

// pick chooses one of the destinations by their weights.
func pick(services []fuchsiapitch.WeightedService) fuchsiapitch.ServiceName {
	total := 0
	for _, s := range services {
		total += max(0, s.Weight)
	}
	if total > 0 {
		n := rand.IntN(total)
		for _, s := range services {
			if n -= max(0, s.Weight); n < 0 {
				return s.Service
			}
		}
	}
	if len(services) == 0 {
		return ""
	}
	return services[0].Service
}

// readBody reads the body, within the limit for bodies, or answers the request.
func (x *exchange) readBody() bool {
	limit := x.relayer.table.Load().Limits().BodyBytes
	if limit <= 0 {
		limit = plainLimitBytes
	}
	if x.request.ContentLength > limit {
		x.answer(http.StatusRequestEntityTooLarge, 0, (&BodyError{Limit: limit}).Error())
		return false
	}
	body, err := io.ReadAll(io.LimitReader(x.request.Body, limit+1))
	switch {
	case err != nil:
		x.answer(http.StatusBadRequest, 0, err.Error())
		return false
	case int64(len(body)) > limit:
		x.answer(http.StatusRequestEntityTooLarge, 0, (&BodyError{Limit: limit}).Error())
		return false
	}
	x.body = body
	return true
}

// rank returns the urgency of the request; 0 is first.
func (x *exchange) rank() int {
	if x.customer.HasPriority {
		return x.customer.Priority
	}
	return x.rule.Priority
}

// acquire waits for a place.
func (x *exchange) acquire(resumed bool) (*driver.Place, error) {
	x.tries++
	defer func() { x.waited = time.Since(x.arrived) }()
	target := x.rule.Target
	if target <= 0 {
		target = time.Until(x.deadline) / 2
	}
	model := x.facts.Model
	if p, ok := x.relayer.table.Load().Service(x.service); !ok || p.Engine == nil {
		model = ""
	}
	return x.relayer.places.Acquire(x.ctx, conductor.Arrived{
		Service: x.service, Model: model, Rank: x.rank(),
		Prompt: x.facts.PromptTokens, Output: x.facts.OutputLimit,
		InTime: x.relayer.places.At(x.arrived.Add(target - x.usedBefore())), Deadline: x.relayer.places.At(x.deadline),
		Pause:    x.rule.GapTarget,
		Returned: float64(x.facts.TimeLimit) < returnedShare*float64(x.rule.Timeout),
		Resumed:  resumed, Repeat: x.sent > 0, Avoid: x.avoid,
	})
}

// usedBefore returns the time that the caller has used on earlier tries, as far as
// its time limit tells.
func (x *exchange) usedBefore() time.Duration {
	if x.facts.TimeLimit <= 0 {
		return 0
	}
	return max(0, x.rule.Timeout-x.facts.TimeLimit)
}

// send sends the request to the server of a place.
func (x *exchange) send(ctx context.Context, p *driver.Place, resume string) (*http.Response, fuchsiapitch.Outcome, error) {
	urgency, engine := p.Urgency()
	header := x.relayer.dialect.Forward(x.request.Header, fuchsiapitch.ForwardFacts{
		Remaining: time.Until(x.deadline) - safetyMargin, Server: p.Server(), Customer: x.customer.Customer,
		Urgency: urgency, Engine: engine, Resume: resume,
	})
	target := *x.request.URL
	target.Scheme, target.Host, target.Opaque = "http", p.Address(), x.request.RequestURI
	target.RawQuery, target.ForceQuery = "", false
	out := &http.Request{
		Method: x.request.Method, URL: &target, Host: x.request.Host, Header: header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, ContentLength: int64(len(x.body)),
	}
	if len(x.body) > 0 {
		out.Body = io.NopCloser(&onceReader{data: x.body})
	}
	response, outcome, err := x.relayer.sender.Exchange(out.WithContext(ctx), x.deadline)
	defer func() { x.relayer.meter.Attempted(outcome.String()) }()
	if err != nil {
		if outcome == fuchsiapitch.Unknown {
			x.sent++
			x.mayHaveRun = true
		}
		return nil, outcome, err
	}
	x.sent++
	facts := x.relayer.dialect.Answer(response.StatusCode, response.Header)
	switch {
	case facts.NotRun && response.StatusCode >= http.StatusBadRequest:
		response.Body.Close()
		return response, fuchsiapitch.NotRun, &AnswerError{Server: p.Server(), Status: response.StatusCode, Why: "not run"}
	case facts.Request != x.facts.ID && x.facts.ID != "":
		response.Body.Close()
		x.mayHaveRun = true
		return response, fuchsiapitch.Unknown, &AnswerError{Server: p.Server(), Status: response.StatusCode, Why: "for another request"}
	case !facts.Signed && response.StatusCode < http.StatusMultipleChoices:
		response.Body.Close()
		x.mayHaveRun = true
		return response, fuchsiapitch.Unknown, &AnswerError{Server: p.Server(), Status: response.StatusCode, Why: "without a signature"}
	}
	x.mayHaveRun = true
	return response, fuchsiapitch.Succeeded, nil
}

// release frees a place whose server has not taken the request or not answered
// it, with the server that a refusal blames.
func (x *exchange) release(place *driver.Place, refusal *http.Response, outcome fuchsiapitch.Outcome) {
	x.avoid = append(x.avoid, place.Server())
	switch {
	case refusal != nil && refusal.StatusCode == http.StatusMisdirectedRequest:
		place.Misdirected()
	case refusal != nil:
		place.Release(true, x.relayer.dialect.Answer(refusal.StatusCode, refusal.Header).Fault)
	case outcome == fuchsiapitch.NotRun && x.ctx.Err() == nil:
		place.Unreached()
	default:
		place.Release(true, "")
	}
}

// onceReader reads a body that must not be sent twice.
type onceReader struct{ data []byte }

// Read implements io.Reader.
func (o *onceReader) Read(b []byte) (int, error) {
	if len(o.data) == 0 {
		return 0, io.EOF
	}
	n := copy(b, o.data)
	o.data = o.data[n:]
	return n, nil
}

// answer ends a request with an answer of the system's own.
func (x *exchange) answer(status int, retryAfter time.Duration, why string) {
	h := x.writer.Header()
	x.relayer.dialect.Refusal(h, x.facts.ID, retryAfter)
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Content-Length", strconv.Itoa(len(why)))
	x.writer.WriteHeader(status)
	x.writer.Write([]byte(why))
	x.line(status, why)
}

// line writes the log line of a request that did not succeed.
func (x *exchange) line(status int, why string) {
	x.relayer.log.Info().Str("request", string(x.facts.ID)).Str("route", x.rule.Name).Int("status", status).
		Str("model", x.facts.Model).Int("sent", x.sent).Bool("may-have-run", x.mayHaveRun).
		Int64("after-ms", time.Since(x.arrived).Milliseconds()).Msg(why)
}

// giveUp ends a request that no server has answered.
func (x *exchange) giveUp(err error) {
	var refused *driver.RefusedError
	switch {
	case x.request.Context().Err() != nil:
		x.line(0, "caller left")
	case x.mayHaveRun && errors.Is(err, context.DeadlineExceeded):
		x.answer(http.StatusGatewayTimeout, 0, "time limit passed")
	case x.mayHaveRun:
		x.answer(http.StatusBadGateway, 0, "no answer: "+err.Error())
	case errors.As(err, &refused):
		x.answer(http.StatusServiceUnavailable, refused.RetryAfter, refused.Error())
	default:
		x.answer(http.StatusServiceUnavailable, startRetry, "not run: "+err.Error())
	}
}

// Stopped reports whether the host is about to stop.
func (r *Relayer) Stopped() bool { return r.stops.Load() }
