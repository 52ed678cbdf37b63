package platformassembler

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"

	"github.com/rs/zerolog"

	"github.com/fuchsiapitch/fuchsiapitch/internal/meter"
)

// observedListener accepts connections that log and count when this host closes them
// although data has arrived that nobody has read, or whose request no handler has seen.
type observedListener struct {
	net.Listener
	log   zerolog.Logger
	meter *meter.Meter
}

// Accept implements net.Listener.
func (l *observedListener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &observedConn{Conn: connection, listener: l}, nil
}

type observedConn struct {
	net.Conn
	listener *observedListener
	once     sync.Once
	// unserved is true from the first byte of a request until a handler serves it.
	unserved atomic.Bool
}

// connectionKey is the context key of the observedConn of a request.
type connectionKey struct{}

// withConnection is a callback for http.Server.ConnContext.
func withConnection(ctx context.Context, connection net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, connection)
}

// observeRequests returns a handler that records which requests reach next.
func observeRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connectionKey{}).(*observedConn); ok {
			// Reading the body of the request has set it again at the end.
			defer c.unserved.Store(false)
			c.unserved.Store(false)
		}
		next.ServeHTTP(w, r)
	})
}

// Read implements net.Conn.
func (c *observedConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if n > 0 {
		c.unserved.Store(true)
	}
	return n, err
}

// Close implements net.Conn.
func (c *observedConn) Close() error {
	c.once.Do(func() {
		unread, unserved := hasUnreadData(c.Conn), c.unserved.Load()
		c.listener.meter.CountClosedConnection(unread, unserved)
		if unread || unserved {
			c.listener.log.Info().Str("caller", c.RemoteAddr().String()).Bool("unread", unread).Bool("unserved", unserved).Msg("connection closed with a request")
		}
	})
	return c.Conn.Close()
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
	if err := raw.Control(peek); err != nil && !errors.Is(err, net.ErrClosed) {
		return false
	}
	return unread
}
