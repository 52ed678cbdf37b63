package acceptor

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// trackedListener accepts connections that are tracked by an acceptor.
type trackedListener struct {
	net.Listener
	acceptor *Acceptor
}

// Accept implements net.Listener.
func (l *trackedListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &connection{Conn: accepted, acceptor: l.acceptor}
	l.acceptor.mutex.Lock()
	defer l.acceptor.mutex.Unlock()
	l.acceptor.connections[c] = struct{}{}
	return c, nil
}

// connection is the connection of a client.
type connection struct {
	net.Conn
	acceptor *Acceptor

	mutex sync.Mutex
	// idle is true from the end of a request until the header of the next one has been
	// read, idleSince the time at which it became true.
	idle      bool
	idleSince time.Time
	// unserved is true from the first byte of a request until a handler serves it.
	unserved bool
}

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
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.idle = state == http.StateIdle
	if c.idle {
		c.idleSince = time.Now()
	}
}

// wrapHandler returns a handler that records which requests reach next, and announces the
// end of their connections once the acceptor drains.
func (a *Acceptor) wrapHandler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connectionKey{}).(*connection); ok && c != nil {
			c.setUnserved(false)
			// Reading the body of the request sets it again.
			defer c.setUnserved(false)
		}
		if a.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

func (c *connection) setUnserved(unserved bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.unserved = unserved
}

// idleFor returns for how long the connection has been idle, 0 if it is not.
func (c *connection) idleFor(now time.Time) time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.idle {
		return 0
	}
	return now.Sub(c.idleSince)
}

// Read implements net.Conn.
func (c *connection) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if n > 0 {
		c.setUnserved(true)
	}
	return n, err
}

// Close implements net.Conn.
func (c *connection) Close() error {
	c.recordClose()
	return c.Conn.Close()
}

// recordClose removes the connection from the acceptor. It logs if a request has arrived
// that no handler has seen.
func (c *connection) recordClose() {
	a := c.acceptor
	a.mutex.Lock()
	_, open := a.connections[c]
	delete(a.connections, c)
	a.mutex.Unlock()
	if !open {
		return
	}
	c.mutex.Lock()
	unserved := c.unserved
	c.mutex.Unlock()
	unread := hasUnreadData(c.Conn)
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
