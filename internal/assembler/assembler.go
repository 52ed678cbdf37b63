// Package assembler builds an entry host from its components: the reducer with
// its runner, and the servers for clients, other entry hosts and operators, all
// under one supervisor.
package assembler

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"time"

	"github.com/gravitational/trace"
	"github.com/rs/zerolog"
	"github.com/thejerf/suture/v4"
	oteltrace "go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/acceptor"
	"github.com/fuchsiapitch/fuchsiapitch/internal/collector"
	"github.com/fuchsiapitch/fuchsiapitch/internal/dispatcher"
	"github.com/fuchsiapitch/fuchsiapitch/internal/forwarder"
	"github.com/fuchsiapitch/fuchsiapitch/internal/logger"
	"github.com/fuchsiapitch/fuchsiapitch/internal/meter"
	"github.com/fuchsiapitch/fuchsiapitch/internal/receiver"
	"github.com/fuchsiapitch/fuchsiapitch/internal/reducer"
	"github.com/fuchsiapitch/fuchsiapitch/internal/runner"
)

const (
	// idleTimeout is the time after which an idle connection of a client is closed.
	idleTimeout = 2 * time.Minute
	// peerHandshakeTimeout is the time in which another entry host must set up its connection.
	peerHandshakeTimeout = 10 * time.Second
	// maxMessageBytes is the largest message from another entry host, in bytes.
	maxMessageBytes = 16 << 20
	// defaultLinger is the time for which a stopping host still accepts new
	// connections. The load balancer needs it to notice that the host is no longer
	// ready.
	defaultLinger = 3 * time.Second
	// abortTimeout is the time for the responses to the requests that are aborted at the
	// drain limit.
	abortTimeout = time.Second
	// drainPollInterval is the time between two checks for remaining requests.
	drainPollInterval = 20 * time.Millisecond
)

// Dependencies are the clients for the external systems of an entry host.
type Dependencies struct {
	// Log is the platform's append-only log.
	Log fuchsiapitch.Log
	// HostList is the platform's list of hosts.
	HostList fuchsiapitch.HostList
	// WeightStore is the platform's store of model weights.
	WeightStore fuchsiapitch.WeightStore
	// EngineControl probes engines and sends them orders.
	EngineControl fuchsiapitch.EngineControl
	// BackendClient sends requests to backend servers.
	BackendClient fuchsiapitch.BackendClient
}

// Listeners are the sockets on which an entry host accepts connections.
type Listeners struct {
	// Clients accepts requests of clients over HTTP.
	Clients net.Listener
	// Peers accepts calls of other entry hosts over gRPC.
	Peers net.Listener
	// Operators accepts requests of operators over HTTP.
	Operators net.Listener
}

// EntryHost is one entry host. Create it with New and run it with Serve.
type EntryHost struct {
	self            fuchsiapitch.Host
	listeners       Listeners
	candidates      []fuchsiapitch.Host
	reducerOptions  []reducer.Option
	rootLogger      *logger.Logger
	assemblerLogger zerolog.Logger
	tracer          oteltrace.Tracer
	meter           *meter.Meter
	linger          time.Duration
	drainLimit      time.Duration
	operatorToken   string
	serverTLS       *tls.Config
	peerTLS         *tls.Config
	onViolation     func(*fuchsiapitch.InvariantError)

	runner           *runner.Runner
	forwarder        *forwarder.Forwarder
	clientServer     *acceptor.Acceptor
	peerServer       *grpc.Server
	operatorServer   *acceptor.Acceptor
	supervisor       *suture.Supervisor
	stopRequested    chan struct{}
	cleanUpFunctions []func()
}

// Option sets one optional property of an entry host.
type Option func(*EntryHost)

// WithCandidates sets the entry hosts that this host knows from its settings. They
// count as dead until a heartbeat arrives from them.
func WithCandidates(hosts ...fuchsiapitch.Host) Option {
	return func(e *EntryHost) { e.candidates = hosts }
}

// WithLogger sets the logger. The default discards all messages.
func WithLogger(l *logger.Logger) Option { return func(e *EntryHost) { e.rootLogger = l } }

// WithTracer sets the tracer. The default records no spans.
func WithTracer(t oteltrace.Tracer) Option { return func(e *EntryHost) { e.tracer = t } }

// WithReducerOptions adds options of the reducer, for example to disable
// mechanisms in an experiment.
func WithReducerOptions(options ...reducer.Option) Option {
	return func(e *EntryHost) { e.reducerOptions = append(e.reducerOptions, options...) }
}

// WithLinger sets the time for which a stopping host still accepts new
// connections.
func WithLinger(linger time.Duration) Option { return func(e *EntryHost) { e.linger = linger } }

// WithDrainLimit sets the longest time for which a stopping host waits for
// requests in flight before it aborts them. 0 means no limit.
func WithDrainLimit(limit time.Duration) Option { return func(e *EntryHost) { e.drainLimit = limit } }

// WithOperatorToken sets the bearer token for /status and /drain. Without a token
// neither requires authentication.
func WithOperatorToken(token string) Option { return func(e *EntryHost) { e.operatorToken = token } }

// WithServerTLS sets the TLS configuration of the servers for clients and operators.
func WithServerTLS(c *tls.Config) Option { return func(e *EntryHost) { e.serverTLS = c } }

// WithPeerTLS sets the mutual TLS configuration between entry hosts.
func WithPeerTLS(c *tls.Config) Option { return func(e *EntryHost) { e.peerTLS = c } }

// WithViolationHandler sets a function that is called for each violated invariant.
func WithViolationHandler(handle func(*fuchsiapitch.InvariantError)) Option {
	return func(e *EntryHost) { e.onViolation = handle }
}

// New builds an entry host. The returned function releases its resources and must
// be called after Serve has returned.
func New(self fuchsiapitch.Host, listeners Listeners, dependencies Dependencies, options ...Option) (*EntryHost, func()) {
	e := &EntryHost{
		self: self, listeners: listeners, rootLogger: logger.New(discardWriter{}),
		tracer: noop.NewTracerProvider().Tracer(""), meter: meter.New(), linger: defaultLinger,
		onViolation: func(*fuchsiapitch.InvariantError) {}, stopRequested: make(chan struct{}, 1),
	}
	for _, o := range options {
		o(e)
	}
	e.assemblerLogger = e.rootLogger.For("assembler")
	e.build(dependencies)
	return e, e.cleanUp
}

func (e *EntryHost) cleanUp() {
	for _, c := range e.cleanUpFunctions {
		c()
	}
}

// build creates the runner, the forwarder, the servers and the supervisor.
func (e *EntryHost) build(dependencies Dependencies) {
	var options []dispatcher.ClientOption
	if e.peerTLS != nil {
		options = append(options, dispatcher.WithCredentials(credentials.NewTLS(e.peerTLS)))
	}
	client, closeClient := dispatcher.NewClient(e.self, options...)
	e.cleanUpFunctions = append(e.cleanUpFunctions, closeClient)
	stateOptions := append([]reducer.Option{reducer.WithCandidates(e.candidates...)}, e.reducerOptions...)
	state := reducer.New(e.self, stateOptions...)
	e.runner = runner.New(state,
		runner.Dependencies{Log: dependencies.Log, HostList: dependencies.HostList, EngineControl: dependencies.EngineControl, Transport: client, SnapshotFetcher: client},
		runner.WithLogger(e.rootLogger.For("runner")), runner.WithMeter(e.meter), runner.WithViolationHandler(e.onViolation),
	)
	e.forwarder = forwarder.New(
		e.runner, dependencies.BackendClient, client,
		forwarder.WithLogger(e.rootLogger.For("forwarder")), forwarder.WithTracer(e.tracer), forwarder.WithMeter(e.meter),
	)
	e.buildServers()
	e.buildSupervisor()
}

func (e *EntryHost) buildServers() {
	bodyBytes := bodyMemory()
	connections := maxConnections(e.assemblerLogger)
	bodies := collector.New(collector.WithPool(int(bodyBytes)), collector.WithMaxBodies(connections), collector.WithMeter(e.meter), collector.WithLogger(e.rootLogger.For("collector")))
	e.meter.RegisterBodyGauge(func() float64 { return float64(bodies.UsedBytes()) })
	handler := receiver.New(e.runner, e.forwarder, receiver.WithTracer(e.tracer), receiver.WithMeter(e.meter), receiver.WithBodies(bodies, bodyBytes))
	e.clientServer = acceptor.New(handler, acceptor.WithTLS(e.serverTLS), acceptor.WithDefaultIdleTimeout(idleTimeout),
		acceptor.WithLogger(e.rootLogger.For("acceptor")), acceptor.WithMeter(e.meter),
		acceptor.WithMaxConnections(connections), acceptor.WithRoomHandler(bodies.MakeRoom), acceptor.WithHeaderPool(headerMemory()))
	e.operatorServer = acceptor.New(collector.DismissBodies(e.operatorHandler()), acceptor.WithTLS(e.serverTLS),
		acceptor.WithLogger(e.rootLogger.For("acceptor")), acceptor.WithMeter(e.meter),
		acceptor.WithMaxConnections(acceptor.MaxInternalConnections(maxDescriptors(e.assemblerLogger))), acceptor.WithStallTimeout(acceptor.InternalStallTimeout))
	options := []grpc.ServerOption{grpc.MaxRecvMsgSize(maxMessageBytes), grpc.ConnectionTimeout(peerHandshakeTimeout)}
	if e.peerTLS != nil {
		options = append(options, grpc.Creds(credentials.NewTLS(e.peerTLS)))
	}
	e.peerServer = grpc.NewServer(options...)
	dispatcher.NewServer(e.runner, e.forwarder).Register(e.peerServer)
}

// buildSupervisor adds the runner and the servers to one supervisor. Panics are
// not recovered.
func (e *EntryHost) buildSupervisor() {
	e.supervisor = suture.New("entry-host", suture.Spec{
		EventHook:         func(event suture.Event) { e.assemblerLogger.Warn().Msg(event.String()) },
		PassThroughPanics: true,
	})
	e.supervisor.Add(e.runner)
	e.supervisor.Add(newSupervisedServer("callers", func(ctx context.Context) error { return serveHTTP(ctx, e.clientServer, e.listeners.Clients) }))
	e.supervisor.Add(newSupervisedServer("operators", func(ctx context.Context) error {
		return serveHTTP(ctx, e.operatorServer, e.listeners.Operators)
	}))
	e.supervisor.Add(newSupervisedServer("peers", e.servePeers))
}

// Serve runs the entry host until the context ends or a graceful shutdown, which
// Stop requests, is complete. When the context ends, the host stops immediately.
func (e *EntryHost) Serve(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	supervisorResult := e.supervisor.ServeBackground(ctx)
	select {
	case err := <-supervisorResult:
		return ignoreCancellation(err)
	case <-e.stopRequested:
	}
	e.drain(ctx)
	cancel()
	return ignoreCancellation(<-supervisorResult)
}

// ignoreCancellation returns nil for the error of a cancelled context, which is how
// Serve ends normally.
func ignoreCancellation(err error) error {
	if err == nil || errors.Is(err, context.Canceled) {
		return nil
	}
	return trace.Wrap(err)
}

// Stop requests a graceful shutdown, which waits for the requests in flight up to
// the drain limit. It returns immediately.
func (e *EntryHost) Stop() {
	select {
	case e.stopRequested <- struct{}{}:
	default:
	}
}

// drain performs the graceful shutdown: it announces the shutdown to the other
// hosts, keeps accepting connections for the linger time, and waits for the
// requests in flight. Those that are left at the drain limit are aborted with a response.
func (e *EntryHost) drain(ctx context.Context) {
	e.runner.Submit(ctx, reducer.StopRequested{})
	e.clientServer.StartDraining()
	e.assemblerLogger.Info().Dur("linger", e.linger).Msg("graceful shutdown of the entry host started")
	sleep(ctx, e.linger)
	if e.drainLimit > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, e.drainLimit+abortTimeout)
		defer cancel()
		abortTimer := time.AfterFunc(e.drainLimit, func() {
			e.logAbortedRequests(ctx)
			e.forwarder.Abort()
		})
		defer abortTimer.Stop()
	}
	if err := e.clientServer.Shutdown(ctx); err != nil {
		e.logAbortedRequests(ctx)
	}
	e.waitUntilDrained(ctx)
	e.stopPeerServer(ctx)
	e.assemblerLogger.Info().Msg("graceful shutdown of the entry host ended")
}

// stopPeerServer refuses new calls of other entry hosts and waits for the calls in
// progress. It aborts them when the context ends.
func (e *EntryHost) stopPeerServer(ctx context.Context) {
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		e.peerServer.GracefulStop()
	}()
	select {
	case <-stopped:
	case <-ctx.Done():
		e.peerServer.Stop()
		<-stopped
	}
}

// Runner returns the runner of the entry host.
func (e *EntryHost) Runner() *runner.Runner { return e.runner }

// Meter returns the metrics of the entry host.
func (e *EntryHost) Meter() *meter.Meter { return e.meter }

// Self returns the identity under which other entry hosts know this host.
func (e *EntryHost) Self() fuchsiapitch.Host { return e.self }

// ClientURL returns the base URL for clients.
func (e *EntryHost) ClientURL() string { return baseURL(e.serverTLS, e.listeners.Clients) }

// OperatorURL returns the base URL for operators.
func (e *EntryHost) OperatorURL() string { return baseURL(e.serverTLS, e.listeners.Operators) }

func baseURL(tlsConfig *tls.Config, listener net.Listener) string {
	if tlsConfig != nil {
		return "https://" + listener.Addr().String()
	}
	return "http://" + listener.Addr().String()
}

// discardWriter is the output of the default logger.
type discardWriter struct{}

// Write implements io.Writer.
func (discardWriter) Write(p []byte) (int, error) { return len(p), nil }
