package sender

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

const (
	// defaultSilence is the longest time without a byte on an active connection.
	defaultSilence = 2500 * time.Millisecond
	// defaultPrompt is the longest time without a byte before the first token.
	defaultPrompt = 15 * time.Second
	// defaultConnect is the longest time for a new connection.
	defaultConnect = 2 * time.Second
	// readBufferBytes is the size of the read buffer of a connection.
	readBufferBytes = 8 << 10
	// headerLimitBytes is the largest header of an answer.
	headerLimitBytes = 64 << 10
)

// Sender sends calls to backend servers. It implements fuchsiapitch.Caller.
type Sender struct {
	silence   time.Duration
	prompt    time.Duration
	connect   time.Duration
	transport *http.Transport
}

// Option sets one optional property of a sender.
type Option func(*Sender)

// WithSilence sets the longest time without a byte on an active stream.
func WithSilence(limit time.Duration) Option { return func(s *Sender) { s.silence = limit } }

// WithPromptLimit sets the longest time without a byte on a stream that has not
// begun.
func WithPromptLimit(limit time.Duration) Option { return func(s *Sender) { s.prompt = limit } }

// WithConnectTimeout sets the longest time for a new connection.
func WithConnectTimeout(limit time.Duration) Option { return func(s *Sender) { s.connect = limit } }

// New returns a sender and a function that closes what it holds.
//
// Each call gets a new connection. A kept one may have gone silent while it was
// idle, and a limit on the wait for its answer cannot tell that from an engine
// that takes long over a prompt. Nor does any call wait for a connection that
// another rank uses.
func New(options ...Option) (*Sender, func()) {
	s := &Sender{
		silence: defaultSilence, prompt: defaultPrompt, connect: defaultConnect,
	}
	for _, o := range options {
		o(s)
	}
	s.transport = &http.Transport{
		DialContext:            s.dial,
		DisableCompression:     true,
		DisableKeepAlives:      true,
		ReadBufferSize:         readBufferBytes,
		MaxResponseHeaderBytes: headerLimitBytes,
	}
	return s, s.transport.CloseIdleConnections
}

// dial connects to a server. The kernel's probes end a connection that the
// network has lost track of, whether it waits or has unanswered bytes.
func (s *Sender) dial(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := NewDialer(s.connect, s.silence)(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &connection{Conn: c}, nil
}

// Call implements fuchsiapitch.Caller.
func (s *Sender) Call(ctx context.Context, server fuchsiapitch.BackendServer, call fuchsiapitch.Call) (fuchsiapitch.BackendResponse, error) {
	x := newExchange(ctx, s, server, call)
	answer, err := x.run()
	if err != nil {
		x.end()
	}
	return answer, err
}

// exchange is one call under way.
type exchange struct {
	sender *Sender
	server fuchsiapitch.BackendServer
	call   fuchsiapitch.Call
	ctx    context.Context
	cancel context.CancelCauseFunc
	// release frees the timer of the deadline.
	release context.CancelFunc
	timer   *time.Timer
	// limit is the longest time without a byte in nanoseconds.
	limit atomic.Int64
	gate  gate
}

func newExchange(ctx context.Context, sender *Sender, server fuchsiapitch.BackendServer, call fuchsiapitch.Call) *exchange {
	x := &exchange{sender: sender, server: server, call: call, release: func() {}}
	if !call.Deadline().IsZero() {
		ctx, x.release = context.WithDeadline(ctx, call.Deadline())
	}
	x.ctx, x.cancel = context.WithCancelCause(ctx)
	x.gate.deadline = call.Deadline()
	x.timer = time.AfterFunc(time.Hour, func() { x.cancel(&SilentError{Limit: time.Duration(x.limit.Load())}) })
	x.timer.Stop()
	return x
}

// end releases the connection; it is closed unless the answer was read whole.
func (x *exchange) end() {
	x.timer.Stop()
	x.cancel(context.Canceled)
	x.release()
}

func (x *exchange) run() (fuchsiapitch.BackendResponse, error) {
	if isPast(x.call.Deadline(), time.Now()) {
		return fuchsiapitch.BackendResponse{}, x.fail(fuchsiapitch.OutcomeNotRun, &StaleError{Deadline: x.call.Deadline()})
	}
	request, err := x.request()
	if err != nil {
		return fuchsiapitch.BackendResponse{}, x.fail(fuchsiapitch.OutcomeNotRun, err)
	}
	response, err := x.sender.transport.RoundTrip(request)
	x.timer.Stop()
	if err != nil {
		return fuchsiapitch.BackendResponse{}, x.fail(x.outcome(), x.lost("sending", err))
	}
	return x.accept(response)
}

// outcome ends the sending and returns what is known of the call.
func (x *exchange) outcome() fuchsiapitch.Outcome {
	if x.gate.seal() {
		return fuchsiapitch.OutcomeUnknown
	}
	return fuchsiapitch.OutcomeNotRun
}

func (x *exchange) request() (*http.Request, error) {
	target, err := url.Parse("http://" + x.server.Address() + x.call.Path())
	if err != nil {
		return nil, err
	}
	trace := &httptrace.ClientTrace{GotConn: x.connected}
	ctx := httptrace.WithClientTrace(x.ctx, trace)
	request := &http.Request{
		Method: x.call.Method(), URL: target, Host: target.Host,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: outgoing(x.call, time.Now()),
		Body:   &onceBody{data: x.call.Body()}, ContentLength: int64(len(x.call.Body())),
	}
	return request.WithContext(ctx), nil
}

// connected opens the gate for the connection of the call.
func (x *exchange) connected(info httptrace.GotConnInfo) {
	if c, ok := info.Conn.(*connection); ok {
		x.gate.open(c)
	}
}

// accept checks the header of an answer.
func (x *exchange) accept(response *http.Response) (fuchsiapitch.BackendResponse, error) {
	if got := response.Header.Get(RequestIDHeader); got != string(x.call.Request()) {
		return fuchsiapitch.BackendResponse{}, x.refuse(response, &fuchsiapitch.MismatchedResponseError{Request: x.call.Request(), Got: got})
	}
	if response.StatusCode >= http.StatusBadRequest && response.Header.Get(OutcomeHeader) == fuchsiapitch.OutcomeNotRun.String() {
		response.Body.Close()
		refusal := &ServerRefusalError{Status: response.StatusCode, RetryAfter: retryAfter(response.Header)}
		return fuchsiapitch.BackendResponse{}, x.fail(fuchsiapitch.OutcomeNotRun, refusal)
	}
	header := PassOn(response.Header)
	if x.call.Streaming() && isEventStream(response) {
		return fuchsiapitch.NewBackendResponse(response.StatusCode, header, newStreamBody(x, response.Body)), nil
	}
	if isUnbounded(response) {
		return fuchsiapitch.BackendResponse{}, x.refuse(response, &UnboundedAnswerError{Status: response.StatusCode})
	}
	return fuchsiapitch.NewBackendResponse(response.StatusCode, header, newPlainBody(x, response.Body)), nil
}

// refuse ends the exchange with an answer that must not reach the caller.
func (x *exchange) refuse(response *http.Response, err error) error {
	x.end()
	response.Body.Close()
	return x.fail(fuchsiapitch.OutcomeUnknown, err)
}

func (x *exchange) fail(outcome fuchsiapitch.Outcome, err error) error {
	return &fuchsiapitch.AttemptError{Request: x.call.Request(), Server: x.server.ID(), Outcome: outcome, Err: err}
}

// lost returns the error of a broken connection, with the cause of a
// cancellation in place of the cancellation.
func (x *exchange) lost(action string, err error) error {
	if cause := context.Cause(x.ctx); cause != nil {
		err = cause
	}
	return &fuchsiapitch.UnreachableError{Address: x.server.Address(), Action: action, Err: err}
}
