// Package assembler puts an entry host together: the reducer and its runner,
// the handlers for callers, other entry hosts and operators, under one
// supervisor.
package assembler

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/gravitational/trace"
	"github.com/rs/zerolog"
	"github.com/thejerf/suture/v4"
	oteltrace "go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/dispatcher"
	"github.com/fuchsiapitch/fuchsiapitch/internal/forwarder"
	"github.com/fuchsiapitch/fuchsiapitch/internal/logger"
	"github.com/fuchsiapitch/fuchsiapitch/internal/meter"
	"github.com/fuchsiapitch/fuchsiapitch/internal/receiver"
	"github.com/fuchsiapitch/fuchsiapitch/internal/reducer"
	"github.com/fuchsiapitch/fuchsiapitch/internal/runner"
)

const (
	// readHeaderTimeout bounds the time that a caller takes for its header.
	readHeaderTimeout = 10 * time.Second
	// idleTimeout is the time for which an idle connection of a caller is kept.
	idleTimeout = 2 * time.Minute
	// headerLimit is the largest header of a caller in bytes.
	headerLimit = 64 << 10
	// messageLimit is the largest message between entry hosts in bytes.
	messageLimit = 16 << 20
	// defaultLinger is the time for which a stopping host goes on taking new
	// connections, until the balancer has seen that it is not ready.
	defaultLinger = 3 * time.Second
	// drainPeriod is the time between two looks at the requests left.
	drainPeriod = 20 * time.Millisecond
)

// Outside gathers the outside systems of an entry host.
type Outside struct {
	// Log is the platform's log.
	Log fuchsiapitch.Log
	// Hosts is the platform's list of hosts.
	Hosts fuchsiapitch.HostList
	// Weights is the platform's store of model weights.
	Weights fuchsiapitch.WeightStore
	// Controls gives orders to engines.
	Controls fuchsiapitch.EngineControl
	// Caller sends calls to backend servers.
	Caller fuchsiapitch.BackendClient
}

// Listeners are the sockets that an entry host answers on.
type Listeners struct {
	// Callers takes requests of callers over HTTP.
	Callers net.Listener
	// Peers takes calls of other entry hosts over gRPC.
	Peers net.Listener
	// Operators takes calls of operators over HTTP.
	Operators net.Listener
}

// EntryHost is one entry host, put together and ready to serve.
type EntryHost struct {
	self       fuchsiapitch.Host
	listeners  Listeners
	candidates []fuchsiapitch.Host
	decisions  []reducer.Option
	log        *logger.Logger
	subsystem  zerolog.Logger
	tracer     oteltrace.Tracer
	meter      *meter.Meter
	linger     time.Duration
	drainLimit time.Duration
	token      string
	callersTLS *tls.Config
	peersTLS   *tls.Config
	violation  func(*fuchsiapitch.InvariantError)

	runner     *runner.Runner
	forwarder  *forwarder.Forwarder
	callers    *http.Server
	peers      *grpc.Server
	operators  *http.Server
	supervisor *suture.Supervisor
	stopping   chan struct{}
	cleanUps   []func()
}

// Option sets one optional property of an entry host.
type Option func(*EntryHost)

// WithCandidates names the entry hosts to look for.
func WithCandidates(hosts ...fuchsiapitch.Host) Option {
	return func(e *EntryHost) { e.candidates = hosts }
}

// WithLogger sets the logger.
func WithLogger(l *logger.Logger) Option { return func(e *EntryHost) { e.log = l } }

// WithTracer sets the tracer of the spans.
func WithTracer(t oteltrace.Tracer) Option { return func(e *EntryHost) { e.tracer = t } }

// WithDecisions sets options of the reducer, to switch mechanisms off.
func WithDecisions(options ...reducer.Option) Option {
	return func(e *EntryHost) { e.decisions = append(e.decisions, options...) }
}

// WithLinger sets the time for which a stopping host goes on taking new
// connections.
func WithLinger(linger time.Duration) Option { return func(e *EntryHost) { e.linger = linger } }

// WithDrainLimit sets the longest time that a stopping host waits for the
// requests in flight, 0 for no limit.
func WithDrainLimit(limit time.Duration) Option { return func(e *EntryHost) { e.drainLimit = limit } }

// WithOperatorToken sets the bearer token that operators need.
func WithOperatorToken(token string) Option { return func(e *EntryHost) { e.token = token } }

// WithCallersTLS sets the transport security towards callers and operators.
func WithCallersTLS(c *tls.Config) Option { return func(e *EntryHost) { e.callersTLS = c } }

// WithPeersTLS sets the mutual transport security between entry hosts.
func WithPeersTLS(c *tls.Config) Option { return func(e *EntryHost) { e.peersTLS = c } }

// WithViolationHandler sets a function that is told of each violated invariant.
func WithViolationHandler(handle func(*fuchsiapitch.InvariantError)) Option {
	return func(e *EntryHost) { e.violation = handle }
}

// New puts an entry host together. The function it returns frees what New took,
// after Serve has returned.
func New(self fuchsiapitch.Host, listeners Listeners, outside Outside, options ...Option) (*EntryHost, func()) {
	e := &EntryHost{
		self: self, listeners: listeners, log: logger.New(nopWriter{}),
		tracer: noop.NewTracerProvider().Tracer(""), meter: meter.New(), linger: defaultLinger,
		violation: func(*fuchsiapitch.InvariantError) {}, stopping: make(chan struct{}, 1),
	}
	for _, o := range options {
		o(e)
	}
	e.subsystem = e.log.For("assembler")
	e.build(outside)
	return e, e.cleanUp
}

func (e *EntryHost) cleanUp() {
	for _, c := range e.cleanUps {
		c()
	}
}

func (e *EntryHost) build(outside Outside) {
	var options []dispatcher.ClientOption
	if e.peersTLS != nil {
		options = append(options, dispatcher.WithCredentials(credentials.NewTLS(e.peersTLS)))
	}
	client, closeClient := dispatcher.NewClient(e.self, options...)
	e.cleanUps = append(e.cleanUps, closeClient)
	decisions := append([]reducer.Option{reducer.WithCandidates(e.candidates...)}, e.decisions...)
	state := reducer.New(e.self, decisions...)
	e.runner = runner.New(state,
		runner.Outside{Log: outside.Log, Hosts: outside.Hosts, Controls: outside.Controls, Transport: client, Snapshots: client},
		runner.WithLogger(e.log.For("runner")), runner.WithMeter(e.meter), runner.WithViolationHandler(e.violation),
	)
	e.forwarder = forwarder.New(e.runner, outside.Caller, client, forwarder.WithTracer(e.tracer), forwarder.WithMeter(e.meter))
	e.buildServers()
	e.buildSupervisor()
}

func (e *EntryHost) buildServers() {
	handler := receiver.New(e.runner, e.forwarder, receiver.WithTracer(e.tracer), receiver.WithMeter(e.meter))
	e.callers = &http.Server{
		Handler: handler, TLSConfig: e.callersTLS, ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout: idleTimeout, MaxHeaderBytes: headerLimit,
	}
	e.operators = &http.Server{Handler: e.operatorHandler(), TLSConfig: e.callersTLS, ReadHeaderTimeout: readHeaderTimeout}
	options := []grpc.ServerOption{grpc.MaxRecvMsgSize(messageLimit)}
	if e.peersTLS != nil {
		options = append(options, grpc.Creds(credentials.NewTLS(e.peersTLS)))
	}
	e.peers = grpc.NewServer(options...)
	dispatcher.NewServer(e.runner, e.forwarder).Register(e.peers)
}

func (e *EntryHost) buildSupervisor() {
	e.supervisor = suture.New("entry-host", suture.Spec{
		EventHook:         func(event suture.Event) { e.subsystem.Warn().Msg(event.String()) },
		PassThroughPanics: true,
	})
	e.supervisor.Add(e.runner)
	e.supervisor.Add(newService("callers", func(ctx context.Context) error { return serveHTTP(ctx, e.callers, e.listeners.Callers) }))
	e.supervisor.Add(newService("operators", func(ctx context.Context) error { return serveHTTP(ctx, e.operators, e.listeners.Operators) }))
	e.supervisor.Add(newService("peers", e.servePeers))
}

// Serve runs the entry host until the context ends. When the context ends it
// stops at once; Stop before that stops it gracefully.
func (e *EntryHost) Serve(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ended := e.supervisor.ServeBackground(ctx)
	select {
	case err := <-ended:
		return ignoreEnd(err)
	case <-e.stopping:
	}
	e.drain(ctx)
	cancel()
	return ignoreEnd(<-ended)
}

func ignoreEnd(err error) error {
	if err == nil || errors.Is(err, context.Canceled) {
		return nil
	}
	return trace.Wrap(err)
}

// Stop begins a graceful stop: no request in flight is cut.
func (e *EntryHost) Stop() {
	select {
	case e.stopping <- struct{}{}:
	default:
	}
}

// drain announces the stop, waits for the balancer and lets every request end.
func (e *EntryHost) drain(ctx context.Context) {
	e.runner.Submit(ctx, reducer.StopRequested{})
	e.subsystem.Info().Dur("linger", e.linger).Msg("stopping")
	pause(ctx, e.linger)
	if e.drainLimit > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, e.drainLimit)
		defer cancel()
	}
	if err := e.callers.Shutdown(ctx); err != nil {
		e.reportCuts(ctx)
	}
	e.waitDrained(ctx)
	e.stopPeers(ctx)
	e.subsystem.Info().Msg("stopped")
}

// stopPeers refuses new requests of other entry hosts and lets the last end.
func (e *EntryHost) stopPeers(ctx context.Context) {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		e.peers.GracefulStop()
	}()
	select {
	case <-ended:
	case <-ctx.Done():
		e.peers.Stop()
		<-ended
	}
}

// Runner returns the runner of the entry host.
func (e *EntryHost) Runner() *runner.Runner { return e.runner }

// Meter returns the metrics of the entry host.
func (e *EntryHost) Meter() *meter.Meter { return e.meter }

// Self returns the host as other entry hosts know it.
func (e *EntryHost) Self() fuchsiapitch.Host { return e.self }

// CallerURL returns the base URL for callers.
func (e *EntryHost) CallerURL() string { return baseURL(e.callersTLS, e.listeners.Callers) }

// OperatorURL returns the base URL for operators.
func (e *EntryHost) OperatorURL() string { return baseURL(e.callersTLS, e.listeners.Operators) }

func baseURL(c *tls.Config, l net.Listener) string {
	if c != nil {
		return "https://" + l.Addr().String()
	}
	return "http://" + l.Addr().String()
}

type nopWriter struct{}

// Write implements io.Writer.
func (nopWriter) Write(p []byte) (int, error) { return len(p), nil }
