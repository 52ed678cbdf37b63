// Package acceptor accepts the connections of clients and serves HTTP requests on them.
// It closes connections that are idle for too long, and all connections when the host
// stops, but none on which a request has arrived that has no response.
//
// HTTP/1.1 gives the server no way to close a connection that cannot cross a request of the
// client. The acceptor therefore announces how long a connection stays open and keeps to
// it, whatever the configuration says later.
package acceptor

import (
	"context"
	"crypto/tls"
	"errors"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/fuchsiapitch/fuchsiapitch/internal/meter"
)

const (
	// checkInterval is the time between two checks for idle connections.
	checkInterval = time.Second
	// closeMargin is how much longer than announced a connection stays open, for requests
	// that the network delays.
	closeMargin = time.Second
	// defaultDrainIdlePeriod is how long a stopping host keeps idle connections open for one
	// more request of their clients.
	defaultDrainIdlePeriod = 5 * time.Second
	// drainMargin is the time kept for the last requests between the close of idle
	// connections and the end of a stop.
	drainMargin = 500 * time.Millisecond
	// firstRequestPeriod is how long a stopping host keeps a connection open for its first
	// request, also after it has begun to close idle connections.
	firstRequestPeriod = 200 * time.Millisecond
	// drainPollInterval is the time between two checks for open connections.
	drainPollInterval = 20 * time.Millisecond
	// lastAcceptTimeout is the time without a new connection after which a stopping host
	// accepts no more, maxLastAcceptPeriod the time after which it accepts only those in the
	// queue of the listener.
	lastAcceptTimeout   = 100 * time.Millisecond
	maxLastAcceptPeriod = 250 * time.Millisecond
	// lastReadTimeout bounds the read that looks for a request before a connection is
	// closed.
	lastReadTimeout = 10 * time.Millisecond
	// maxLastReads bounds these reads for one header, of which each brings up to 4 KiB.
	maxLastReads = 16
	// closeLinger is how long an idle connection is read after its end was announced, and
	// what arrives discarded. To close it earlier could reset it before the client has
	// received the announcement.
	closeLinger = 300 * time.Millisecond
	// maxDiscardedBytes bounds what is read in this time.
	maxDiscardedBytes = 1 << 20
	// defaultIdleTimeout is how long a connection stays open without a request if no
	// time-out is set, maxIdleTimeout how long in any case.
	defaultIdleTimeout = time.Minute
	maxIdleTimeout     = time.Hour
	// defaultHeaderTimeout is the time in which a client must send the header of a
	// request.
	defaultHeaderTimeout = 10 * time.Second
	// writeTimeout is the longest time without progress of a write to a client.
	writeTimeout = time.Minute
	// defaultMaxHeaderBytes is the largest request header, in bytes.
	defaultMaxHeaderBytes = 64 << 10
	// maxStreams is the number of requests that a connection with HTTP/2 may have at the same time,
	// maxUnreadBytes what the host holds of their bodies without reading it.
	maxStreams     = 100
	maxUnreadBytes = 64 << 10
)

// Acceptor serves HTTP requests of clients.
type Acceptor struct {
	httpServer *http.Server
	// encrypted is true if connections are encrypted. The HTTP server sets a TLS
	// configuration in any case.
	encrypted bool
	// idleTimeout returns how long a connection may be idle, 0 for defaultIdleTimeout. It is
	// nil if that always applies.
	idleTimeout        func() time.Duration
	defaultIdleTimeout time.Duration
	// drainIdlePeriod is how long Shutdown keeps idle connections open.
	drainIdlePeriod time.Duration
	log             zerolog.Logger
	meter           *meter.Meter

	// maxConnections bounds the connections that are open, 0 for no bound. stallTimeout is the time
	// without progress after which they end while others wait. endBodies ends requests whose bodies
	// are not complete.
	maxConnections int
	stallTimeout   time.Duration
	endBodies      func(wanted int) int
	// openCount is the number of connections that are open, endingCount the number of those whose
	// end was announced.
	openCount, endingCount atomic.Int64
	// roomMadeAt is the last time at which room was made. The goroutine that accepts owns it.
	roomMadeAt time.Time
	// headerLimit returns the largest size of a header, nil for defaultMaxHeaderBytes.
	// headerPoolBytes bounds what headers take together, and pooledHeaderBytes is what they take.
	headerLimit       func() int64
	headerPoolBytes   int64
	pooledHeaderBytes atomic.Int64
	// createdAt is the time from which the begin of writes is counted.
	createdAt time.Time

	draining atomic.Bool

	mutex sync.Mutex
	// connections are those with HTTP/1.1, multiplexed those with HTTP/2.
	connections, multiplexed map[*connection]struct{}
	// listener is that of Serve, nil before.
	listener *trackedListener
	// closed is closed when the acceptor no longer checks for idle connections.
	closed    chan struct{}
	closeOnce sync.Once
}

// Option sets one optional property of an acceptor.
type Option func(*Acceptor)

// WithIdleTimeout sets a function that returns how long a connection may be idle, 0 for the
// time of WithDefaultIdleTimeout.
func WithIdleTimeout(timeout func() time.Duration) Option {
	return func(a *Acceptor) { a.idleTimeout = timeout }
}

// WithDefaultIdleTimeout sets how long a connection may be idle if the function of
// WithIdleTimeout does not say.
func WithDefaultIdleTimeout(timeout time.Duration) Option {
	return func(a *Acceptor) { a.defaultIdleTimeout = timeout }
}

// WithDrainIdlePeriod sets how long Shutdown keeps idle connections open for one more request
// of their clients.
func WithDrainIdlePeriod(period time.Duration) Option {
	return func(a *Acceptor) { a.drainIdlePeriod = period }
}

// WithTLS sets the TLS configuration. Without one, connections are not encrypted.
func WithTLS(c *tls.Config) Option {
	return func(a *Acceptor) { a.httpServer.TLSConfig, a.encrypted = c, c != nil }
}

// WithBaseContext sets the context from which those of the requests are derived.
func WithBaseContext(ctx context.Context) Option {
	return func(a *Acceptor) { a.httpServer.BaseContext = func(net.Listener) context.Context { return ctx } }
}

// WithMaxConnections bounds the connections that are open. Beyond it further ones wait in the
// queue of the listener, while those that are idle and those without progress are closed.
func WithMaxConnections(connections int) Option {
	return func(a *Acceptor) { a.maxConnections = connections }
}

// WithStallTimeout sets the time after which a connection is closed while others wait for its place,
// if it has not sent a complete header or its client does not read.
func WithStallTimeout(timeout time.Duration) Option {
	return func(a *Acceptor) { a.stallTimeout = timeout }
}

// WithRoomHandler sets a function that ends requests whose bodies are not complete until a number
// of them end, and returns how many it has ended now. It is called while there are as many
// connections as there may be.
func WithRoomHandler(endBodies func(wanted int) int) Option {
	return func(a *Acceptor) { a.endBodies = endBodies }
}

// WithLogger sets the logger.
func WithLogger(log zerolog.Logger) Option { return func(a *Acceptor) { a.log = log } }

// WithMeter sets the metrics.
func WithMeter(m *meter.Meter) Option { return func(a *Acceptor) { a.meter = m } }

// New returns an acceptor that passes requests to a handler.
func New(handler http.Handler, options ...Option) *Acceptor {
	a := &Acceptor{
		httpServer: &http.Server{
			ReadHeaderTimeout: defaultHeaderTimeout, MaxHeaderBytes: defaultMaxHeaderBytes,
			HTTP2: &http.HTTP2Config{MaxConcurrentStreams: maxStreams, MaxReceiveBufferPerConnection: maxUnreadBytes, MaxReceiveBufferPerStream: maxUnreadBytes},
		},
		defaultIdleTimeout: defaultIdleTimeout, drainIdlePeriod: defaultDrainIdlePeriod, stallTimeout: defaultStallTimeout,
		log: zerolog.Nop(), meter: meter.New(), endBodies: func(int) int { return 0 }, createdAt: time.Now(), headerPoolBytes: defaultHeaderPoolBytes,
		connections: make(map[*connection]struct{}), multiplexed: make(map[*connection]struct{}), closed: make(chan struct{}),
	}
	for _, o := range options {
		o(a)
	}
	a.httpServer.Handler = a.wrapHandler(handler)
	a.httpServer.IdleTimeout = a.defaultIdleTimeout + closeMargin
	if a.idleTimeout != nil {
		a.httpServer.IdleTimeout = maxIdleTimeout + closeMargin
	}
	a.httpServer.ConnContext = withConnection
	a.httpServer.ConnState = a.trackState
	return a
}

// Serve serves the requests on the connections of a listener until the acceptor is shut
// down or closed. Its error is then http.ErrServerClosed.
func (a *Acceptor) Serve(listener net.Listener) error {
	checkerDone := make(chan struct{})
	go func() {
		defer close(checkerDone)
		a.closeIdleConnections()
	}()
	boundSocketBuffers(listener, a.log)
	tracked := &trackedListener{Listener: listener, acceptor: a, done: make(chan struct{})}
	a.mutex.Lock()
	a.listener = tracked
	a.mutex.Unlock()
	var err error
	if a.encrypted {
		err = a.httpServer.ServeTLS(tracked, "", "")
	} else {
		err = a.httpServer.Serve(tracked)
	}
	if tracked.stopping.Load() {
		err = http.ErrServerClosed
	} else if !errors.Is(err, http.ErrServerClosed) {
		a.stopChecks()
	}
	<-checkerDone
	return err
}

// StartDraining makes the acceptor send "Connection: close" with each response, so that
// clients open a new connection for their next request.
func (a *Acceptor) StartDraining() { a.draining.Store(true) }

// Shutdown waits until the clients have closed their connections, each after the response
// that announces its end. It accepts connections for the period of WithDrainIdlePeriod.
// After that it closes those that have been without a request for as long, and shortly before
// the deadline of the context all without one. If the context ends first, its error is
// returned, and the remaining connections stay open until Close.
func (a *Acceptor) Shutdown(ctx context.Context) error {
	defer a.stopChecks()
	a.StartDraining()
	end := time.Now().Add(a.drainIdlePeriod)
	lastEnd, bounded := ctx.Deadline()
	lastEnd = lastEnd.Add(-drainMargin)
	if bounded && end.After(lastEnd) {
		end = lastEnd
	}
	a.await(ctx, func() bool { return len(a.openConnections()) == 0 || !time.Now().Before(end) })
	a.stopAccepting(ctx)
	a.await(ctx, func() bool {
		now := time.Now()
		waitingSince := now.Add(-a.drainIdlePeriod)
		if bounded && !now.Before(lastEnd) {
			waitingSince = now
		}
		open := a.openConnections()
		for _, c := range open {
			c.expireIfWaiting(now, waitingSince)
		}
		if !bounded {
			a.closeUnread()
		}
		return len(open) == 0
	})
	// Connections with HTTP/2 end by its own protocol.
	return a.shutDownMultiplexed(ctx, bounded)
}

// shutDownMultiplexed waits until the connections with HTTP/2 have ended.
func (a *Acceptor) shutDownMultiplexed(ctx context.Context, bounded bool) error {
	result := make(chan error, 1)
	go func() { result <- a.httpServer.Shutdown(ctx) }()
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for {
		select {
		case err := <-result:
			return err
		case <-ticker.C:
			if !bounded {
				a.closeUnread()
			}
		}
	}
}

// closeUnread closes the connections whose clients have not read for the drain idle period. A stop
// without a limit would wait for them until they do.
func (a *Acceptor) closeUnread() {
	now := time.Now()
	for _, c := range a.allConnections() {
		if c.writingFor() > a.drainIdlePeriod || c.isStuck(now, a.drainIdlePeriod) {
			a.closeForGood(c, endedUnread)
		}
	}
}

// await waits until a condition holds or the context ends.
func (a *Acceptor) await(ctx context.Context, condition func() bool) {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// stopAccepting stops accepting connections once those in the queue of the listener have
// been accepted, or the context ends.
func (a *Acceptor) stopAccepting(ctx context.Context) {
	a.mutex.Lock()
	listener := a.listener
	a.mutex.Unlock()
	if listener == nil {
		return
	}
	listener.stop()
	select {
	case <-listener.done:
	case <-ctx.Done():
		listener.closeQuietly()
	}
}

// Close closes all connections.
func (a *Acceptor) Close() error {
	defer a.stopChecks()
	return a.httpServer.Close()
}

func (a *Acceptor) stopChecks() { a.closeOnce.Do(func() { close(a.closed) }) }

// currentIdleTimeout returns how long a connection may be idle now.
func (a *Acceptor) currentIdleTimeout() time.Duration {
	if a.idleTimeout == nil {
		return a.defaultIdleTimeout
	}
	if t := a.idleTimeout(); t > 0 {
		return min(t, maxIdleTimeout)
	}
	return a.defaultIdleTimeout
}

// closeIdleConnections closes overdue connections until the acceptor is closed.
func (a *Acceptor) closeIdleConnections() {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-a.closed:
			return
		case <-ticker.C:
			timeout := a.currentIdleTimeout()
			for _, c := range a.openConnections() {
				if c.expireIfIdle(time.Now(), timeout) {
					a.log.Debug().Str("caller", c.RemoteAddr().String()).Msg("idle connection closed")
				}
			}
			for _, c := range a.allConnections() {
				if c.writingFor() > writeTimeout {
					a.closeForGood(c, endedUnread)
				}
			}
		}
	}
}

// allConnections returns the connections that are open, those with HTTP/2 included.
func (a *Acceptor) allConnections() []*connection {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return slices.AppendSeq(slices.Collect(maps.Keys(a.connections)), maps.Keys(a.multiplexed))
}

// openConnections returns the connections with HTTP/1.1 that are open.
func (a *Acceptor) openConnections() []*connection {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return slices.Collect(maps.Keys(a.connections))
}
