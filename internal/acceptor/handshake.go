package acceptor

import (
	"container/list"
	"net"
	"sync"
	"sync/atomic"

	"github.com/rs/zerolog"

	"github.com/fuchsiapitch/fuchsiapitch/internal/meter"
)

// endedInHandshake is the reason of an end before the client has completed its handshake.
const endedInHandshake = "handshake"

// HandshakeListener bounds the connections whose clients have not completed the handshake of their
// protocol, for servers that are not acceptors. Beyond the bound the oldest one is closed. A handshake
// counts as complete when the client has responded to what the server has answered it.
type HandshakeListener struct {
	net.Listener
	maxPending int
	log        zerolog.Logger
	meter      *meter.Meter

	mutex sync.Mutex
	// pending are the connections without a complete handshake, the oldest first.
	pending *list.List
}

// NewHandshakeListener returns a listener that accepts the connections of another one.
func NewHandshakeListener(listener net.Listener, maxPending int, log zerolog.Logger, m *meter.Meter) *HandshakeListener {
	return &HandshakeListener{Listener: listener, maxPending: maxPending, log: log, meter: m, pending: list.New()}
}

// Accept implements net.Listener.
func (l *HandshakeListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &handshakeConnection{Conn: accepted, listener: l}
	if oldest := l.add(c); oldest != nil {
		l.meter.CountEndedConnection(endedInHandshake)
		l.log.Info().Str("caller", oldest.RemoteAddr().String()).Str("reason", endedInHandshake).Msg("connection ended to make room")
		if err := oldest.Close(); err != nil {
			l.log.Debug().Err(err).Msg("failed to close a connection")
		}
	}
	return c, nil
}

// add records a connection. It returns the one to be closed for it, nil for none.
func (l *HandshakeListener) add(c *handshakeConnection) *handshakeConnection {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	c.element = l.pending.PushBack(c)
	if l.pending.Len() <= l.maxPending {
		return nil
	}
	oldest, _ := l.pending.Remove(l.pending.Front()).(*handshakeConnection)
	return oldest
}

// remove records that a handshake is complete or its connection closed.
func (l *HandshakeListener) remove(c *handshakeConnection) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	// This has no effect if the element has been removed.
	l.pending.Remove(c.element)
}

// handshakeConnection is a connection of a HandshakeListener.
type handshakeConnection struct {
	net.Conn
	listener *HandshakeListener
	// element is the place among those without a complete handshake.
	element *list.Element
	// hasRead is true once the client has sent something, hasAnswered once the server has after
	// that, and isComplete once the client has again.
	hasRead, hasAnswered, isComplete atomic.Bool
}

// Read implements net.Conn.
func (c *handshakeConnection) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if n > 0 && !c.isComplete.Load() {
		if c.hasAnswered.Load() && !c.isComplete.Swap(true) {
			c.listener.remove(c)
		}
		c.hasRead.Store(true)
	}
	return n, err
}

// Write implements net.Conn.
func (c *handshakeConnection) Write(data []byte) (int, error) {
	if c.hasRead.Load() {
		c.hasAnswered.Store(true)
	}
	return c.Conn.Write(data)
}

// Close implements net.Conn.
func (c *handshakeConnection) Close() error {
	c.listener.remove(c)
	return c.Conn.Close()
}
