package platformassembler

import (
	"errors"
	"net"
	"sync"
	"syscall"

	"github.com/rs/zerolog"

	"github.com/fuchsiapitch/fuchsiapitch/internal/meter"
)

// observedListener accepts connections that log and count when this host closes them
// although data has arrived that nobody has read.
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
}

// Close implements net.Conn.
func (c *observedConn) Close() error {
	c.once.Do(func() {
		unread := hasUnreadData(c.Conn)
		c.listener.meter.CountClosedConnection(unread)
		if unread {
			c.listener.log.Info().Str("caller", c.RemoteAddr().String()).Msg("connection closed with unread data")
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
