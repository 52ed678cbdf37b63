// Package relayer is the HTTP proxy between clients and backend servers. It sends
// each request to a server that the coordinator chooses, forwards the response either
// complete or event by event, and tracks whether the request may have run.
package relayer

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/allocator"
	"github.com/fuchsiapitch/fuchsiapitch/internal/collector"
	"github.com/fuchsiapitch/fuchsiapitch/internal/confiner"
	"github.com/fuchsiapitch/fuchsiapitch/internal/coordinator"
	"github.com/fuchsiapitch/fuchsiapitch/internal/driver"
	"github.com/fuchsiapitch/fuchsiapitch/internal/meter"
	"github.com/fuchsiapitch/fuchsiapitch/internal/quarantiner"
	"github.com/fuchsiapitch/fuchsiapitch/internal/sender"
)

const (
	// defaultTimeout applies to requests whose client sets no time limit.
	defaultTimeout = 30 * time.Second
	// maxBufferedBytes is the size of the largest response that is buffered, and of
	// the largest request body if the configuration sets no limit.
	maxBufferedBytes = 16 << 20
	// defaultRetryAfter is the retry delay in the response if the host has no
	// configuration yet, or if no server ran the request.
	defaultRetryAfter = 500 * time.Millisecond
	// retriedTimeoutRatio identifies retries by clients: a time limit below this
	// fraction of the route's timeout means that the client has spent part of the
	// timeout on an earlier attempt. Clients choose time limits that differ by some
	// fifteen percent.
	retriedTimeoutRatio = 0.8
	// deadlineMargin is how long before the client's deadline the deadline that a server
	// is given lies.
	deadlineMargin = 10 * time.Millisecond
)

// Admitter admits requests to slots of servers.
type Admitter interface {
	// Acquire waits for a slot. Its error is a driver.AdmissionError or the error
	// of the context.
	Acquire(ctx context.Context, e coordinator.RequestArrived) (*driver.Slot, error)
	// SinceStart returns the time from the creation of the driver to an instant,
	// which is the time base of the coordinator.
	SinceStart(t time.Time) time.Duration
}

// Sender sends requests to servers.
type Sender interface {
	// Exchange sends a request at most once and returns the response. If it fails,
	// the outcome says whether the server may have received the request.
	Exchange(request *http.Request, deadline time.Time) (*http.Response, fuchsiapitch.Outcome, error)
}

// HeaderCodec translates between header fields and the domain types.
type HeaderCodec interface {
	// ParseRequest parses the header of a client's request.
	ParseRequest(h http.Header) fuchsiapitch.RequestMetadata
	// ForwardHeader returns the header of the request to a server for the header of
	// a client's request.
	ForwardHeader(h http.Header, metadata fuchsiapitch.ForwardMetadata) http.Header
	// ParseResponse parses the status and the header of a server's response.
	ParseResponse(status int, h http.Header) fuchsiapitch.ResponseMetadata
	// ResponseHeader returns the header of the response to a client for the header of
	// a server's response.
	ResponseHeader(h http.Header) http.Header
	// IsEventMetadata reports whether the first line of an event carries metadata of the
	// server instead of a field of the event.
	IsEventMetadata(line []byte) bool
	// SetErrorHeader sets the header fields of a response that the system itself
	// generates.
	SetErrorHeader(h http.Header, request fuchsiapitch.RequestID, retryAfter time.Duration)
}

// Relayer forwards the requests of clients to servers. It implements http.Handler.
type Relayer struct {
	admitter Admitter
	sender   Sender
	codec    HeaderCodec
	log      zerolog.Logger
	meter    *meter.Meter
	routes   atomic.Pointer[fuchsiapitch.RouteTable]
	// buffers bounds the memory of the response bodies and events that are being read.
	buffers *allocator.Allocator
	// slowReaders looks after the streams whose clients do not read.
	slowReaders slowReaders
	// bodies reads the bodies of requests.
	bodies *collector.Collector
	// drain is the schedule of the stop, nil before.
	drain atomic.Pointer[drain]
	// aborted ends when abort is called.
	aborted          context.Context //nolint:containedctx // It lives as long as the relayer.
	abort            context.CancelCauseFunc
	inFlightRequests atomic.Int64
}

// Option sets one optional property of a relayer.
type Option func(*Relayer)

// WithLogger sets the logger.
func WithLogger(log zerolog.Logger) Option { return func(r *Relayer) { r.log = log } }

// WithMeter sets the metrics.
func WithMeter(m *meter.Meter) Option { return func(r *Relayer) { r.meter = m } }

// WithBuffers sets the memory for the responses that are being read.
func WithBuffers(a *allocator.Allocator) Option { return func(r *Relayer) { r.buffers = a } }

// WithBodies sets what reads the bodies of requests.
func WithBodies(c *collector.Collector) Option { return func(r *Relayer) { r.bodies = c } }

// New returns a relayer without a configuration. It refuses requests until Configure
// is called.
func New(admitter Admitter, sender Sender, codec HeaderCodec, options ...Option) *Relayer {
	r := &Relayer{
		admitter: admitter, sender: sender, codec: codec, log: zerolog.Nop(), meter: meter.New(),
		buffers: allocator.New(), bodies: collector.New(),
	}
	r.aborted, r.abort = context.WithCancelCause(context.Background())
	for _, o := range options {
		o(r)
	}
	r.slowReaders.meter = r.meter
	return r
}

// Configure applies a configuration unless one with the same or a later version is in
// force. It reports whether the configuration was applied.
func (r *Relayer) Configure(t *fuchsiapitch.RouteTable) bool {
	for {
		current := r.routes.Load()
		if current != nil && current.Version() >= t.Version() {
			return false
		}
		if r.routes.CompareAndSwap(current, t) {
			return true
		}
	}
}

// Routes returns the configuration in force, nil for none.
func (r *Relayer) Routes() *fuchsiapitch.RouteTable { return r.routes.Load() }

// InFlightRequests returns the number of requests in flight.
func (r *Relayer) InFlightRequests() int64 { return r.inFlightRequests.Load() }

// ServeHTTP implements http.Handler.
func (r *Relayer) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	r.inFlightRequests.Add(1)
	defer r.inFlightRequests.Add(-1)
	x := &exchange{relayer: r, writer: w, request: request, receivedAt: time.Now(), metadata: r.codec.ParseRequest(request.Header)}
	if !x.matchRoute() {
		return
	}
	if !x.readBody() {
		return
	}
	defer x.body.Release()
	if x.refuseIfDraining() || x.refuseIfUnread() {
		return
	}
	ctx, cancel := x.newContext()
	defer cancel()
	x.ctx = ctx
	defer x.boundWrites()()
	if x.route.Kind == fuchsiapitch.StreamRoute {
		x.serveStream()
	} else {
		x.serveBuffered()
	}
}

// exchange is one request of a client and its response.
type exchange struct {
	relayer    *Relayer
	writer     http.ResponseWriter
	request    *http.Request
	ctx        context.Context //nolint:containedctx // It lives as long as the request.
	receivedAt time.Time
	deadline   time.Time
	metadata   fuchsiapitch.RequestMetadata
	// routes is the configuration in force when the request arrived.
	routes    *fuchsiapitch.RouteTable
	route     fuchsiapitch.HostRoute
	principal fuchsiapitch.Principal
	// caller is the name under which the request shares memory with others.
	caller  string
	service fuchsiapitch.ServiceName
	body    *collector.Body
	// sendCount is the number of attempts in which the request may have reached a
	// server, acquisitions the number of times that a slot was requested for it.
	sendCount, acquisitions int
	// lastTicket is that of the last slot, 0 for none.
	lastTicket coordinator.Ticket
	// admissionWait is the time from the receipt of the request until the end of the
	// last wait for a slot.
	admissionWait time.Duration
	// runCount is the number of attempts in which a server may have run the request.
	// failedServers are the servers at which an attempt has failed.
	runCount      int
	failedServers []fuchsiapitch.ServerID
	// parts are the shared parts of the prompt, nil until they are needed.
	parts []quarantiner.Part
}

// matchRoute determines the route, the customer, the service and the deadline of the
// request. If it returns false, it has responded with an error.
func (x *exchange) matchRoute() bool {
	t := x.relayer.routes.Load()
	x.routes = t
	if t == nil {
		x.refuseUnread(http.StatusServiceUnavailable, defaultRetryAfter, "no configuration yet")
		return false
	}
	if limit := t.Limits().HeaderBytes; limit > 0 && headerBytes(x.request) > limit {
		x.writer.Header().Set("Connection", "close")
		x.refuseUnread(http.StatusRequestHeaderFieldsTooLarge, 0, (&HeaderTooLargeError{LimitBytes: limit}).Error())
		return false
	}
	path, _, _ := strings.Cut(x.request.RequestURI, "?")
	route, ok := t.Match(x.request.Host, path)
	if !ok {
		x.refuseUnread(http.StatusNotFound, 0, "no route")
		return false
	}
	if t.KeyRequired() && !route.Public {
		if x.principal, ok = t.PrincipalByKey(x.metadata.APIKey); !ok {
			x.refuseUnread(http.StatusUnauthorized, 0, "unknown key")
			return false
		}
	}
	x.route, x.caller = route, x.callerName()
	x.service = pickService(route.Services)
	timeout := x.metadata.TimeLimit
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if route.Timeout > 0 {
		timeout = min(timeout, route.Timeout)
	}
	x.deadline = x.receivedAt.Add(timeout)
	return true
}

// refuseUnread responds with an error to a request whose body has not been read.
func (x *exchange) refuseUnread(status int, retryAfter time.Duration, message string) {
	collector.Dismiss(x.writer, x.request)
	x.writeError(status, retryAfter, message)
}

// headerBytes returns the size of the header of a request.
func headerBytes(r *http.Request) int64 {
	const separatorBytes = 4 // the colon, the space and CRLF of a field
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + separatorBytes
		}
	}
	return int64(n)
}

// pickService chooses a service at random according to the weights.
func pickService(services []fuchsiapitch.WeightedService) fuchsiapitch.ServiceName {
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

// readBody reads the request body up to the size limit. If it returns false, it has
// responded with an error.
func (x *exchange) readBody() bool {
	limit := x.routes.Limits().BodyBytes
	if limit <= 0 {
		limit = maxBufferedBytes
	}
	body, err := x.relayer.bodies.Collect(x.writer, x.request, collector.Terms{Caller: x.caller, LimitBytes: limit, Deadline: x.deadline})
	if err == nil {
		x.body = body
		return true
	}
	var noRoom *collector.NoRoomError
	switch {
	case isError[*collector.TooLargeError](err):
		x.writeError(http.StatusRequestEntityTooLarge, 0, (&BodyTooLargeError{LimitBytes: limit}).Error())
	case errors.As(err, &noRoom):
		x.writeError(http.StatusServiceUnavailable, noRoom.RetryAfter, err.Error())
	case isError[*collector.TooSlowError](err):
		x.writeError(http.StatusRequestTimeout, 0, err.Error())
	default:
		x.writeError(http.StatusBadRequest, 0, err.Error())
	}
	return false
}

// callerName returns the name under which the request shares memory with others: the customer, or
// the address of the client if none is known.
func (x *exchange) callerName() string {
	if x.principal.Customer != "" {
		return string(x.principal.Customer)
	}
	address, _, _ := net.SplitHostPort(x.request.RemoteAddr)
	return address
}

// rank returns the rank of the request; 0 is the most urgent.
func (x *exchange) rank() int {
	if x.principal.HasPriority {
		return x.principal.Priority
	}
	return x.route.Priority
}

// acquireSlot waits for a slot. resumed is true if the client has received part of the
// response.
func (x *exchange) acquireSlot(resumed bool) (*driver.Slot, error) {
	if x.isTooLateToSend(resumed) {
		return nil, &HostStoppingError{}
	}
	x.acquisitions++
	defer func() { x.admissionWait = time.Since(x.receivedAt) }()
	latencyTarget := x.route.LatencyTarget
	if latencyTarget <= 0 {
		latencyTarget = time.Until(x.deadline) / 2
	}
	model := x.metadata.Model
	if profile, ok := x.routes.Service(x.service); !ok || profile.Engine == nil {
		model = ""
	}
	slot, err := x.relayer.admitter.Acquire(x.ctx, coordinator.RequestArrived{
		Service: x.service, Model: model, Rank: x.rank(), Customer: x.principal.Customer,
		Home:        confiner.Confine(x.route.AllowedRegions, x.routes.CustomerRegions(x.principal.Customer)),
		InputTokens: x.metadata.PromptTokens, OutputTokens: x.metadata.MaxOutputTokens,
		FirstByteBy: x.relayer.admitter.SinceStart(x.receivedAt.Add(latencyTarget - x.priorElapsed())), Deadline: x.relayer.admitter.SinceStart(x.deadline),
		MaxPause:             x.route.InterEventTarget,
		ReturnedAfterRefusal: x.hasReturned(),
		Resumed:              resumed, IsRetry: x.sendCount > 0, HasAskedBefore: x.acquisitions > 1, FailedServers: x.failedServers,
		AvoidsFailedServers: resumed || x.mayHaveRun() && x.sendCount > x.runCount,
		MayMove:             x.mayMove(), PreviousTicket: x.lastTicket, Parts: x.sharedParts(),
	})
	if err != nil {
		return nil, err
	}
	if x.relayer.aborted.Err() != nil {
		// The slot of an aborted request has become free. This one must not run any more.
		slot.Release(false, "")
		return nil, context.Cause(x.relayer.aborted)
	}
	if x.isTooLateToSend(resumed) {
		slot.Release(false, "")
		return nil, &HostStoppingError{}
	}
	x.lastTicket = slot.Ticket()
	return slot, nil
}

// isTooLateToSend reports whether a stopping host must not pass the request on any more. A stream
// that the client has begun to receive goes on, since it would end otherwise, and so does a
// request that gets a response in any case.
func (x *exchange) isTooLateToSend(resumed bool) bool {
	isAnswered := x.sendCount > 0 && x.route.Kind == fuchsiapitch.IdempotentRoute
	return !resumed && !isAnswered && x.mayOutlastStop()
}

// sharedParts returns the parts of the prompt that other requests may have as well: all but the
// last one, which belongs to the request or its session.
func (x *exchange) sharedParts() []quarantiner.Part {
	if x.parts == nil && len(x.metadata.PromptParts) > 1 {
		for _, p := range x.metadata.PromptParts[:len(x.metadata.PromptParts)-1] {
			x.parts = append(x.parts, quarantiner.NewPart(p.ID))
		}
	}
	return x.parts
}

// mayMove reports whether the request may be taken from the server that it is about to be
// sent to, since its response can be resumed and another attempt is left.
func (x *exchange) mayMove() bool {
	return x.route.Kind == fuchsiapitch.StreamRoute && x.route.Resumable &&
		x.runCount+1 < x.route.AttemptLimit && x.acquisitions < x.route.AttemptLimit+maxNotRunAttempts
}

// mayHaveRun reports whether a server may have run the request.
func (x *exchange) mayHaveRun() bool { return x.runCount > 0 }

// hasAttemptLeft reports whether the request may be sent once more. As long as no server may have
// run it, its client can be told so, and every attempt counts. Afterwards only those count that may
// have run, since the client would lose the response to an attempt that ran nowhere.
func (x *exchange) hasAttemptLeft() bool {
	counted := x.sendCount
	if x.mayHaveRun() {
		counted = x.runCount
	}
	return counted < x.route.AttemptLimit && x.acquisitions < x.route.AttemptLimit+maxNotRunAttempts
}

// remaining returns the time until the deadline of the request.
func (x *exchange) remaining() time.Duration { return time.Until(x.deadline) }

// hasReturned reports whether the client has spent part of its time on an earlier attempt.
func (x *exchange) hasReturned() bool {
	return x.metadata.TimeLimit > 0 && float64(x.metadata.TimeLimit) < retriedTimeoutRatio*float64(x.route.Timeout)
}

// priorElapsed returns the time that the client has spent on earlier attempts: the part
// of the route's timeout that is missing from the client's time limit.
func (x *exchange) priorElapsed() time.Duration {
	if !x.hasReturned() {
		return 0
	}
	return x.route.Timeout - x.metadata.TimeLimit
}

// send sends the request to the server of a slot and validates the response header.
// If the response is not usable, send closes its body and returns an error, together with
// the response if it is a refusal of the request. Streams resume after lastEventID, "" for
// the beginning.
func (x *exchange) send(ctx context.Context, slot *driver.Slot, lastEventID string) (*http.Response, fuchsiapitch.Outcome, error) {
	enginePriority, toEngine := slot.Urgency()
	header := x.relayer.codec.ForwardHeader(x.request.Header, fuchsiapitch.ForwardMetadata{
		Remaining: time.Until(x.deadline) - deadlineMargin, Server: slot.Server(), Customer: x.principal.Customer,
		EnginePriority: enginePriority, ToEngine: toEngine, LastEventID: lastEventID,
	})
	targetURL := *x.request.URL
	targetURL.Scheme, targetURL.Host, targetURL.Opaque = "http", slot.Address(), x.request.RequestURI
	targetURL.RawQuery, targetURL.ForceQuery = "", false
	outRequest := &http.Request{
		Method: x.request.Method, URL: &targetURL, Host: x.request.Host, Header: header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, ContentLength: int64(x.body.Length()),
	}
	if x.body.Length() > 0 {
		outRequest.Body = io.NopCloser(x.body.NewReader())
	}
	response, outcome, err := x.relayer.sender.Exchange(outRequest.WithContext(ctx), x.deadline)
	defer func() { x.relayer.meter.CountAttempt(outcome.String()) }()
	if err != nil {
		if outcome == fuchsiapitch.OutcomeUnknown {
			x.sendCount++
			x.runCount++
		}
		return nil, outcome, err
	}
	x.sendCount++
	responseMetadata := x.relayer.codec.ParseResponse(response.StatusCode, response.Header)
	x.recordNotice(slot, response.StatusCode, responseMetadata)
	problem := ""
	switch {
	case sender.CheckStatus(response.StatusCode) != nil:
		problem = "not a final status"
	case responseMetadata.Request != x.metadata.ID:
		problem = "for another request"
	case responseMetadata.NotRun && response.StatusCode >= http.StatusBadRequest:
		response.Body.Close()
		return response, fuchsiapitch.OutcomeNotRun, &ResponseError{Server: slot.Server(), Status: response.StatusCode, Reason: reasonNotRun}
	case !responseMetadata.Signed && response.StatusCode < http.StatusMultipleChoices:
		problem = "without a signature"
	}
	x.runCount++
	if problem != "" {
		response.Body.Close()
		return nil, fuchsiapitch.OutcomeUnknown, &ResponseError{Server: slot.Server(), Status: response.StatusCode, Reason: problem}
	}
	return response, fuchsiapitch.OutcomeSucceeded, nil
}

// recordNotice records what the server of a slot states about itself beside its response to
// the request. A misdirected request was answered by another server.
func (x *exchange) recordNotice(slot *driver.Slot, status int, metadata fuchsiapitch.ResponseMetadata) {
	if metadata.Notice.IsZero() || metadata.Request != x.metadata.ID || sender.CheckStatus(status) != nil || status == http.StatusMisdirectedRequest {
		return
	}
	slot.RecordNotice(metadata.Request, metadata.Notice)
}

// releaseFailed releases the slot of a server that did not accept the request or did
// not respond. If the server rejected the request, the rejection may name another
// server as the cause.
func (x *exchange) releaseFailed(slot *driver.Slot, rejection *http.Response, outcome fuchsiapitch.Outcome, err error) {
	x.failedServers = append(x.failedServers, slot.Server())
	switch {
	case rejection != nil && rejection.StatusCode == http.StatusMisdirectedRequest:
		slot.ReleaseMisdirected()
	case rejection != nil:
		slot.Release(true, x.relayer.codec.ParseResponse(rejection.StatusCode, rejection.Header).FaultyServer)
	case outcome == fuchsiapitch.OutcomeNotRun && x.ctx.Err() == nil:
		slot.ReleaseUnreachable()
	case isConnectionEnd(err):
		slot.ReleaseEnded(true)
	default:
		slot.Release(true, "")
	}
}

// writeError responds with an error of the system itself and logs it.
func (x *exchange) writeError(status int, retryAfter time.Duration, message string) {
	h := x.writer.Header()
	x.relayer.codec.SetErrorHeader(h, x.metadata.ID, retryAfter)
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Content-Length", strconv.Itoa(len(message)))
	x.writer.WriteHeader(status)
	x.writer.Write([]byte(message))
	x.logFailure(status, message)
}

// logFailure logs a request that did not succeed.
func (x *exchange) logFailure(status int, message string) {
	x.relayer.log.Info().Str("request", string(x.metadata.ID)).Str("route", x.route.Name).Int("status", status).
		Str("model", x.metadata.Model).Int("sent", x.sendCount).Bool("may-have-run", x.mayHaveRun()).
		Int64("after-ms", time.Since(x.receivedAt).Milliseconds()).Msg(message)
}

// logIfTooLarge logs a failed attempt whose response exceeded a size limit. Another
// attempt may succeed, after which nothing else is logged about this one.
func (x *exchange) logIfTooLarge(err error) {
	tooLarge, ok := errors.AsType[*fuchsiapitch.ResponseTooLargeError](err)
	if !ok {
		return
	}
	x.relayer.log.Warn().Str("request", string(x.metadata.ID)).Str("route", x.route.Name).
		Str("server", string(x.failedServers[len(x.failedServers)-1])).Msg("answer cut off: " + tooLarge.Error())
}

// fail responds to a request for which no server returned a usable response.
func (x *exchange) fail(err error) {
	var rejected *driver.AdmissionError
	switch {
	case x.request.Context().Err() != nil && x.mayHaveRun():
		// A client that has closed only its sending side receives this.
		x.writeError(http.StatusBadGateway, 0, "caller left")
	case x.request.Context().Err() != nil:
		x.writeError(http.StatusServiceUnavailable, defaultRetryAfter, "caller left")
	case x.mayHaveRun() && errors.Is(err, context.DeadlineExceeded):
		x.writeError(http.StatusGatewayTimeout, 0, "time limit passed")
	case x.mayHaveRun():
		x.writeError(http.StatusBadGateway, 0, "no answer: "+err.Error())
	case isHostStopping(err):
		x.writeError(http.StatusServiceUnavailable, drainRetryAfter, "not run: "+err.Error())
	case errors.As(err, &rejected):
		x.writeError(http.StatusServiceUnavailable, rejected.RetryAfter, rejected.Error())
	default:
		x.writeError(http.StatusServiceUnavailable, defaultRetryAfter, "not run: "+err.Error())
	}
}
