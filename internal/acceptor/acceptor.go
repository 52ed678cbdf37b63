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
	// lastReadTimeout bounds the read that looks for a request before a connection is
	// closed.
	lastReadTimeout = 10 * time.Millisecond
	// defaultMaxIdleTimeout is how long a connection stays open without a request if no
	// shorter time-out is set.
	defaultMaxIdleTimeout = time.Minute
	// defaultHeaderTimeout is the time in which a client must send the header of a
	// request.
	defaultHeaderTimeout = 10 * time.Second
	// defaultMaxHeaderBytes is the largest request header, in bytes.
	defaultMaxHeaderBytes = 64 << 10
)

// Acceptor serves HTTP requests of clients.
type Acceptor struct {
	httpServer *http.Server
	// idleTimeout returns how long a connection may be idle, 0 for maxIdleTimeout.
	idleTimeout    func() time.Duration
	maxIdleTimeout time.Duration
	log            zerolog.Logger
	meter          *meter.Meter

	draining atomic.Bool

	mutex       sync.Mutex
	connections map[*connection]struct{}
	// closed is closed when the acceptor no longer checks for idle connections.
	closed    chan struct{}
	closeOnce sync.Once
}

// Option sets one optional property of an acceptor.
type Option func(*Acceptor)

// WithIdleTimeout sets a function that returns how long a connection may be idle, 0 for
// no shorter time than the maximum.
func WithIdleTimeout(timeout func() time.Duration) Option {
	return func(a *Acceptor) { a.idleTimeout = timeout }
}

// WithMaxIdleTimeout sets how long a connection may be idle in any case.
func WithMaxIdleTimeout(timeout time.Duration) Option {
	return func(a *Acceptor) { a.maxIdleTimeout = timeout }
}

// WithTLS sets the TLS configuration. Without one, connections are not encrypted.
func WithTLS(c *tls.Config) Option { return func(a *Acceptor) { a.httpServer.TLSConfig = c } }

// WithBaseContext sets the context from which those of the requests are derived.
func WithBaseContext(ctx context.Context) Option {
	return func(a *Acceptor) { a.httpServer.BaseContext = func(net.Listener) context.Context { return ctx } }
}

// WithLogger sets the logger.
func WithLogger(log zerolog.Logger) Option { return func(a *Acceptor) { a.log = log } }

// WithMeter sets the metrics.
func WithMeter(m *meter.Meter) Option { return func(a *Acceptor) { a.meter = m } }

// New returns an acceptor that passes requests to a handler.
func New(handler http.Handler, options ...Option) *Acceptor {
	a := &Acceptor{
		httpServer:  &http.Server{ReadHeaderTimeout: defaultHeaderTimeout, MaxHeaderBytes: defaultMaxHeaderBytes},
		idleTimeout: func() time.Duration { return 0 }, maxIdleTimeout: defaultMaxIdleTimeout,
		log: zerolog.Nop(), meter: meter.New(),
		connections: make(map[*connection]struct{}), closed: make(chan struct{}),
	}
	for _, o := range options {
		o(a)
	}
	a.httpServer.Handler = a.wrapHandler(handler)
	a.httpServer.IdleTimeout = a.maxIdleTimeout + closeMargin
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
	listener = &trackedListener{Listener: listener, acceptor: a}
	var err error
	if a.httpServer.TLSConfig != nil {
		err = a.httpServer.ServeTLS(listener, "", "")
	} else {
		err = a.httpServer.Serve(listener)
	}
	if !errors.Is(err, http.ErrServerClosed) {
		a.stopChecks()
	}
	<-checkerDone
	return err
}

// StartDraining makes the acceptor send "Connection: close" with each response, so that
// clients open a new connection for their next request.
func (a *Acceptor) StartDraining() { a.draining.Store(true) }

// Shutdown stops accepting connections, and waits until the requests in flight have been
// served or the context ends.
func (a *Acceptor) Shutdown(ctx context.Context) error {
	defer a.stopChecks()
	return a.httpServer.Shutdown(ctx)
}

// Close closes all connections.
func (a *Acceptor) Close() error {
	defer a.stopChecks()
	return a.httpServer.Close()
}

func (a *Acceptor) stopChecks() { a.closeOnce.Do(func() { close(a.closed) }) }

// currentIdleTimeout returns how long a connection may be idle now.
func (a *Acceptor) currentIdleTimeout() time.Duration {
	if t := a.idleTimeout(); t > 0 {
		return min(t, a.maxIdleTimeout)
	}
	return a.maxIdleTimeout
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
		}
	}
}

// openConnections returns the connections that are open.
func (a *Acceptor) openConnections() []*connection {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return slices.Collect(maps.Keys(a.connections))
}
