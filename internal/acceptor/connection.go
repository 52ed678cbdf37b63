package acceptor

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// trackedListener accepts connections that are tracked by an acceptor.
type trackedListener struct {
	net.Listener
	acceptor *Acceptor
	stopping atomic.Bool
	// lastAcceptEnd is the time from which a stopping listener accepts only what is in its
	// queue. It is set before stopping.
	lastAcceptEnd time.Time
	// done is closed once no more connections are accepted.
	done      chan struct{}
	doneOnce  sync.Once
	closeOnce sync.Once
	closeErr  error
}

// Close implements net.Listener. It can be called again, as the listener closes itself while
// it stops.
func (l *trackedListener) Close() error {
	l.closeOnce.Do(func() { l.closeErr = l.Listener.Close() })
	return l.closeErr
}

// closeQuietly closes the listener. Its error is also that of later calls of Close.
func (l *trackedListener) closeQuietly() {
	if err := l.Close(); err != nil {
		l.acceptor.log.Debug().Err(err).Msg("failed to close the listener")
	}
}

// deadlineSetter is a listener whose Accept can time out.
type deadlineSetter interface{ SetDeadline(t time.Time) error }

// stop makes Accept fail once no connection has arrived for lastAcceptTimeout, or the queue
// of the listener is empty after maxLastAcceptPeriod.
func (l *trackedListener) stop() {
	l.lastAcceptEnd = time.Now().Add(maxLastAcceptPeriod)
	l.stopping.Store(true)
	l.armDeadline()
}

// armDeadline makes Accept time out after lastAcceptTimeout.
func (l *trackedListener) armDeadline() {
	if d, ok := l.Listener.(deadlineSetter); ok && d.SetDeadline(time.Now().Add(lastAcceptTimeout)) == nil {
		return
	}
	l.closeQuietly()
}

// Accept implements net.Listener.
func (l *trackedListener) Accept() (net.Conn, error) {
	accepted, err := l.acceptNext()
	if err != nil && l.stopping.Load() {
		// Connections that arrive from now on are refused.
		l.closeQuietly()
		l.doneOnce.Do(func() { close(l.done) })
		return nil, net.ErrClosed
	}
	if err != nil {
		return nil, err
	}
	c := &connection{Conn: accepted, acceptor: l.acceptor, waiting: true, waitingSince: time.Now()}
	l.acceptor.mutex.Lock()
	defer l.acceptor.mutex.Unlock()
	l.acceptor.connections[c] = struct{}{}
	return c, nil
}

// acceptNext returns the next connection. While the listener stops, it fails if there is
// none in the queue and time is up.
func (l *trackedListener) acceptNext() (net.Conn, error) {
	for {
		if l.stopping.Load() {
			if !time.Now().Before(l.lastAcceptEnd) && !hasQueuedConnection(l.Listener) {
				return nil, net.ErrClosed
			}
			l.armDeadline()
		}
		accepted, err := l.Listener.Accept()
		if l.stopping.Load() && errors.Is(err, os.ErrDeadlineExceeded) && hasQueuedConnection(l.Listener) {
			continue
		}
		return accepted, err
	}
}

// hasQueuedConnection reports whether a connection waits to be accepted.
func hasQueuedConnection(listener net.Listener) bool {
	socket, ok := listener.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	isQueued := false
	poll := func(descriptor uintptr) {
		events := []unix.PollFd{{Fd: int32(descriptor), Events: unix.POLLIN}}
		n, err := unix.Poll(events, 0)
		isQueued = err == nil && n > 0 && events[0].Revents&unix.POLLIN != 0
	}
	if err := raw.Control(poll); err != nil {
		return false
	}
	return isQueued
}

// connection is the connection of a client.
type connection struct {
	net.Conn
	acceptor *Acceptor

	mutex sync.Mutex
	// waiting is true while the host waits for the first byte of a request, waitingSince the
	// time at which it became true.
	waiting      bool
	waitingSince time.Time
	// expired is true from the time at which the connection was to be closed until the read
	// that waits has noticed.
	expired bool
	// served is true once a request has been served.
	served bool
	// idleTimeout is the longest idle time-out on which the client may rely: those that
	// were announced since its last request, or in force while the connection was idle.
	idleTimeout time.Duration
	// unserved is true from the first byte of a request until a handler serves it.
	unserved bool
}

// http2Protocol is the name of HTTP/2 in the negotiation of TLS.
const http2Protocol = "h2"

// connectionKey is the context key of the connection of a request.
type connectionKey struct{}

// withConnection is a callback for http.Server.ConnContext.
func withConnection(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, trackedConnection(c))
}

// trackedConnection returns the connection below the one that the HTTP server uses, nil if
// it is not tracked.
func trackedConnection(c net.Conn) *connection {
	if encrypted, ok := c.(*tls.Conn); ok {
		c = encrypted.NetConn()
	}
	tracked, _ := c.(*connection)
	return tracked
}

// trackState is a callback for http.Server.ConnState.
func (a *Acceptor) trackState(served net.Conn, state http.ConnState) {
	c := trackedConnection(served)
	if c == nil {
		return
	}
	if encrypted, ok := served.(*tls.Conn); ok && encrypted.ConnectionState().NegotiatedProtocol == http2Protocol {
		a.forget(c)
		return
	}
	if state == http.StateIdle {
		c.startWaiting()
	}
}

// wrapHandler returns a handler that records which requests reach next, and announces how
// long their connections stay open.
func (a *Acceptor) wrapHandler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		timeout := a.currentIdleTimeout()
		if c, ok := r.Context().Value(connectionKey{}).(*connection); ok && c != nil {
			c.startServing(timeout)
		}
		if a.draining.Load() {
			w.Header().Set("Connection", "close")
		} else if timeout >= time.Second {
			w.Header().Set("Keep-Alive", "timeout="+strconv.FormatInt(int64(timeout/time.Second), 10))
		}
		next.ServeHTTP(w, r)
	})
}

// startServing records that a handler serves a request, which may have arrived together with
// the one before it. Its response announces an idle time-out.
func (c *connection) startServing(announced time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.waiting, c.expired, c.unserved, c.served, c.idleTimeout = false, false, false, true, announced
}

// startWaiting records that the host waits for the next request.
func (c *connection) startWaiting() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.waiting, c.waitingSince = true, time.Now()
}

// expireIfIdle makes the HTTP server close the connection if it has been idle for longer
// than the client was told or could know. It reports whether it has.
func (c *connection) expireIfIdle(now time.Time, currentTimeout time.Duration) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.idleTimeout = max(c.idleTimeout, currentTimeout)
	if !c.waiting || !c.served || now.Sub(c.waitingSince) <= c.idleTimeout+closeMargin {
		return false
	}
	return c.expire(now)
}

// expireIfWaiting makes the HTTP server close the connection if it has been without a
// request since a time or longer.
func (c *connection) expireIfWaiting(now, since time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.waiting && !c.waitingSince.After(since) {
		c.expire(now)
	}
}

// expire makes the HTTP server close the connection unless a request has arrived. It does
// not close the connection itself, because only the goroutine that reads knows whether it
// has received a request. The caller holds the mutex.
func (c *connection) expire(now time.Time) bool {
	if err := c.SetReadDeadline(now); err != nil {
		c.acceptor.log.Debug().Err(err).Msg("failed to close an idle connection")
		return false
	}
	c.expired = true
	return true
}

// Read implements net.Conn. When the connection has expired, or its deadline has passed
// before the first byte of a request, Read returns data that has arrived nevertheless: the
// deadline can wake the reader before the data does.
func (c *connection) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		if timeout, again := c.lastReadTimeout(); again {
			n, err = c.readAgain(data, timeout)
		}
	}
	if n > 0 {
		c.startReceiving()
	}
	return n, err
}

// lastReadTimeout returns how long a read that timed out is to wait once more. It is false if
// the timeout stands.
func (c *connection) lastReadTimeout() (time.Duration, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	expired := c.expired
	c.expired = false
	switch {
	case c.waiting:
		return lastReadTimeout, true
	case expired:
		// The start of a request has arrived after all. The rest has the usual time.
		return defaultHeaderTimeout, true
	}
	return 0, false
}

// readAgain reads with a new deadline.
func (c *connection) readAgain(data []byte, timeout time.Duration) (int, error) {
	n := 0
	for n == 0 {
		if err := c.SetReadDeadline(time.Now().Add(timeout)); err != nil {
			return 0, err
		}
		var err error
		if n, err = c.Conn.Read(data); n == 0 && (!errors.Is(err, os.ErrDeadlineExceeded) || !hasUnreadData(c.Conn)) {
			c.closeIfIdle(err)
			return 0, err
		}
	}
	c.acceptor.meter.CountRescuedRequest()
	c.acceptor.log.Info().Str("caller", c.RemoteAddr().String()).Msg("request arrived on a connection that was to be closed")
	// The HTTP server sets its own deadline once it has the start of a request.
	if err := c.SetReadDeadline(time.Now().Add(defaultHeaderTimeout)); err != nil {
		return n, err
	}
	return n, nil
}

// closeIfIdle closes the connection if the last read for a request timed out. It does not
// leave that to the HTTP server, so that as little time as possible passes between the last
// look for a request and the close. An encrypted connection ends with a message of the
// server.
func (c *connection) closeIfIdle(err error) {
	c.mutex.Lock()
	waiting := c.waiting
	c.mutex.Unlock()
	if waiting && errors.Is(err, os.ErrDeadlineExceeded) && c.acceptor.httpServer.TLSConfig == nil {
		if err := c.Close(); err != nil {
			c.acceptor.log.Debug().Err(err).Msg("failed to close an idle connection")
		}
	}
}

// startReceiving records that bytes have arrived: the start of a request if the host waits for
// one.
func (c *connection) startReceiving() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.waiting {
		c.waiting, c.unserved = false, true
	}
}

// CloseWrite closes the sending half of the connection. The HTTP server uses it so that a
// client receives a response although the rest of its request is not read.
func (c *connection) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *connection) Close() error {
	c.recordClose()
	return c.Conn.Close()
}

// forget stops tracking a connection. It reports whether the connection was tracked.
func (a *Acceptor) forget(c *connection) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	_, tracked := a.connections[c]
	delete(a.connections, c)
	return tracked
}

// recordClose removes the connection from the acceptor. It logs if a request has arrived
// that no handler has seen.
func (c *connection) recordClose() {
	a := c.acceptor
	if !a.forget(c) {
		return
	}
	c.mutex.Lock()
	waiting, unserved := c.waiting, c.unserved
	c.mutex.Unlock()
	// What is unread behind a request that a handler has seen belongs to its body.
	unread := (waiting || unserved) && hasUnreadData(c.Conn)
	a.meter.CountClosedConnection(unread, unserved)
	if unread || unserved {
		a.log.Info().Str("caller", c.RemoteAddr().String()).Bool("unread", unread).Bool("unserved", unserved).Msg("connection closed with a request")
	}
}

// hasUnreadData reports whether data has arrived on a connection that has not been read.
func hasUnreadData(connection net.Conn) bool {
	socket, ok := connection.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	unread := false
	peek := func(descriptor uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(descriptor), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		unread = err == nil && n > 0
	}
	if err := raw.Control(peek); err != nil {
		return false
	}
	return unread
}
