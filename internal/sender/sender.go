package sender

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/allocator"
)

const (
	// defaultSilenceTimeout is the longest time without a byte on a stream that has
	// begun, and without a TCP acknowledgement on any connection.
	defaultSilenceTimeout = 2500 * time.Millisecond
	// defaultFirstTokenTimeout is the longest time without a byte before the first
	// token.
	defaultFirstTokenTimeout = 15 * time.Second
	// defaultConnectTimeout is the longest time to open a connection.
	defaultConnectTimeout = 2 * time.Second
	// readBufferBytes is the size of the read buffer of a connection.
	readBufferBytes = 8 << 10
	// receiveBufferBytes is the size of the kernel's receive buffer of a connection. It bounds
	// the bytes that a server has sent and that were not read.
	receiveBufferBytes = 64 << 10
	// maxHeaderBytes is the largest size of a response header.
	maxHeaderBytes = 64 << 10
)

// Sender sends calls to backend servers. It implements fuchsiapitch.BackendClient.
type Sender struct {
	silenceTimeout    time.Duration
	firstTokenTimeout time.Duration
	connectTimeout    time.Duration
	transport         *http.Transport
	// buffers bounds the memory of the events that are being read.
	buffers *allocator.Allocator
}

// Option sets one optional property of a sender.
type Option func(*Sender)

// WithSilenceTimeout sets the longest time without a byte on a stream that has begun,
// and without a TCP acknowledgement on any connection.
func WithSilenceTimeout(timeout time.Duration) Option {
	return func(s *Sender) { s.silenceTimeout = timeout }
}

// WithFirstTokenTimeout sets the longest time without a byte on a stream before its
// first token.
func WithFirstTokenTimeout(timeout time.Duration) Option {
	return func(s *Sender) { s.firstTokenTimeout = timeout }
}

// WithBuffers sets the memory for the events that are being read.
func WithBuffers(a *allocator.Allocator) Option { return func(s *Sender) { s.buffers = a } }

// WithConnectTimeout sets the longest time to open a connection.
func WithConnectTimeout(timeout time.Duration) Option {
	return func(s *Sender) { s.connectTimeout = timeout }
}

// New returns a sender and a function that closes its idle connections.
//
// Each call opens a new connection. A pooled connection may have been lost while it
// was idle, and a response timeout cannot distinguish that from an engine that
// takes long to process a prompt. With a connection of its own, a call also never
// waits for one that a call of another rank uses.
func New(options ...Option) (*Sender, func()) {
	s := &Sender{
		silenceTimeout: defaultSilenceTimeout, firstTokenTimeout: defaultFirstTokenTimeout, connectTimeout: defaultConnectTimeout, buffers: allocator.New(),
	}
	for _, o := range options {
		o(s)
	}
	s.transport = &http.Transport{
		DialContext:            s.dial,
		DisableCompression:     true,
		DisableKeepAlives:      true,
		ReadBufferSize:         readBufferBytes,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
	return s, s.transport.CloseIdleConnections
}

// dial connects to a server. Keepalive probes and the TCP user timeout close a
// connection that the network has dropped, whether it is idle or has unacknowledged
// data.
func (s *Sender) dial(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := NewDialer(s.connectTimeout, s.silenceTimeout)(ctx, network, address)
	if err != nil {
		return nil, err
	}
	if v, ok := c.(*verifiedConn); ok {
		// The kernel would let the buffer of a fast server grow to mebibytes, which count as
		// memory of this process.
		if err := v.tcp.SetReadBuffer(receiveBufferBytes); err != nil {
			return nil, errors.Join(err, c.Close())
		}
	}
	return &guardedConn{Conn: c}, nil
}

// Call implements fuchsiapitch.BackendClient.
func (s *Sender) Call(ctx context.Context, server fuchsiapitch.BackendServer, call fuchsiapitch.Call) (fuchsiapitch.BackendResponse, error) {
	x := newExchange(ctx, s, server, call)
	backendResponse, err := x.run()
	if err != nil {
		x.cleanUp()
	}
	return backendResponse, err
}

// exchange is one call in flight.
type exchange struct {
	sender *Sender
	server fuchsiapitch.BackendServer
	call   fuchsiapitch.Call
	ctx    context.Context
	cancel context.CancelCauseFunc
	// cancelDeadline releases the timer of the deadline.
	cancelDeadline context.CancelFunc
	readTimer      *time.Timer
	// readTimeoutNanos is the longest time without a byte in the current read.
	readTimeoutNanos atomic.Int64
	guard            writeGuard
	// memory is that of the event that is being read.
	memory  *allocator.Response
	release func()
}

func newExchange(ctx context.Context, sender *Sender, server fuchsiapitch.BackendServer, call fuchsiapitch.Call) *exchange {
	x := &exchange{sender: sender, server: server, call: call, cancelDeadline: func() {}}
	if !call.Deadline().IsZero() {
		ctx, x.cancelDeadline = context.WithDeadline(ctx, call.Deadline())
	}
	x.ctx, x.cancel = context.WithCancelCause(ctx)
	x.guard.deadline = call.Deadline()
	x.memory, x.release = sender.buffers.Open(string(server.Service()))
	x.readTimer = time.AfterFunc(time.Hour, func() { x.cancel(&ReadTimeoutError{Timeout: time.Duration(x.readTimeoutNanos.Load())}) })
	x.readTimer.Stop()
	return x
}

// cleanUp stops the timers and cancels the context, which closes the connection
// unless the response was read to its end.
func (x *exchange) cleanUp() {
	x.release()
	x.readTimer.Stop()
	x.cancel(context.Canceled)
	x.cancelDeadline()
}

func (x *exchange) run() (fuchsiapitch.BackendResponse, error) {
	if hasPassed(x.call.Deadline(), time.Now()) {
		return fuchsiapitch.BackendResponse{}, x.attemptError(fuchsiapitch.OutcomeNotRun, &DeadlinePassedError{Deadline: x.call.Deadline()})
	}
	request, err := x.newRequest()
	if err != nil {
		return fuchsiapitch.BackendResponse{}, x.attemptError(fuchsiapitch.OutcomeNotRun, err)
	}
	response, err := x.sender.transport.RoundTrip(request)
	x.readTimer.Stop()
	if err != nil {
		err = x.guard.headerError(x.cancellationCause(err))
		return fuchsiapitch.BackendResponse{}, x.attemptError(x.stopSending(), x.unreachableError("sending", err))
	}
	x.guard.allowLateReading()
	return x.checkResponse(response)
}

// stopSending closes the write guard and returns the outcome of the failed call.
func (x *exchange) stopSending() fuchsiapitch.Outcome {
	if x.guard.closeWrites() {
		return fuchsiapitch.OutcomeUnknown
	}
	return fuchsiapitch.OutcomeNotRun
}

func (x *exchange) newRequest() (*http.Request, error) {
	target, err := url.Parse("http://" + x.server.Address() + x.call.Path())
	if err != nil {
		return nil, err
	}
	trace := &httptrace.ClientTrace{GotConn: x.bindGuard}
	ctx := httptrace.WithClientTrace(x.ctx, trace)
	request := &http.Request{
		Method: x.call.Method(), URL: target, Host: target.Host,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: requestHeader(x.call, time.Now()),
		Body:   &singleUseBody{data: x.call.Body()}, ContentLength: int64(len(x.call.Body())),
	}
	return request.WithContext(ctx), nil
}

// bindGuard ties the write guard of the call to its connection.
func (x *exchange) bindGuard(info httptrace.GotConnInfo) {
	if c, ok := info.Conn.(*guardedConn); ok {
		x.guard.bind(c)
	}
}

// checkResponse checks the header of a response. It returns the response if it
// belongs to the call and its end can be detected, and an AttemptError otherwise.
func (x *exchange) checkResponse(response *http.Response) (fuchsiapitch.BackendResponse, error) {
	if isMerged(response) {
		return fuchsiapitch.BackendResponse{}, x.rejectResponse(response, &MergedHeadersError{Status: response.StatusCode})
	}
	if err := CheckStatus(response.StatusCode); err != nil {
		return fuchsiapitch.BackendResponse{}, x.rejectResponse(response, err)
	}
	if got := response.Header.Get(RequestIDHeader); got != string(x.call.Request()) {
		return fuchsiapitch.BackendResponse{}, x.rejectResponse(response, &fuchsiapitch.MismatchedResponseError{Request: x.call.Request(), Got: got})
	}
	if response.StatusCode >= http.StatusBadRequest && response.Header.Get(OutcomeHeader) == fuchsiapitch.OutcomeNotRun.String() {
		response.Body.Close()
		refusal := &ServerRefusalError{Status: response.StatusCode, RetryAfter: parseRetryAfter(response.Header)}
		return fuchsiapitch.BackendResponse{}, x.attemptError(fuchsiapitch.OutcomeNotRun, refusal)
	}
	header := StripHopByHop(response.Header)
	if x.call.Streaming() && isEventStream(response) {
		return fuchsiapitch.NewBackendResponse(response.StatusCode, header, newStreamBody(x, response.Body)), nil
	}
	if IsCloseDelimited(response) {
		return fuchsiapitch.BackendResponse{}, x.rejectResponse(response, &CloseDelimitedResponseError{Status: response.StatusCode})
	}
	return fuchsiapitch.NewBackendResponse(response.StatusCode, header, newNonStreamBody(x, response.Body)), nil
}

// rejectResponse ends an exchange whose response must not reach the client.
func (x *exchange) rejectResponse(response *http.Response, err error) error {
	x.cleanUp()
	response.Body.Close()
	return x.attemptError(fuchsiapitch.OutcomeUnknown, err)
}

func (x *exchange) attemptError(outcome fuchsiapitch.Outcome, err error) error {
	return &fuchsiapitch.AttemptError{Request: x.call.Request(), Server: x.server.ID(), Outcome: outcome, Err: err}
}

// unreachableError returns the error of a failed connection.
func (x *exchange) unreachableError(action string, err error) error {
	return &fuchsiapitch.UnreachableError{Address: x.server.Address(), Action: action, Err: err}
}

// cancellationCause returns the cause of the cancellation if the context was cancelled,
// and err otherwise.
func (x *exchange) cancellationCause(err error) error {
	if cause := context.Cause(x.ctx); cause != nil {
		return cause
	}
	return err
}
