package faulter

import (
	"net"
	"sync"
	"sync/atomic"
)

// gate blocks goroutines while it is shut. It starts open.
type gate struct {
	mu         sync.Mutex
	openSignal atomic.Pointer[chan struct{}]
}

func newGate() *gate {
	g := &gate{}
	closedSignal := make(chan struct{})
	close(closedSignal)
	g.openSignal.Store(&closedSignal)
	return g
}

// whenOpen returns a channel that is closed when the gate opens, or already closed if
// the gate is open.
func (g *gate) whenOpen() <-chan struct{} { return *g.openSignal.Load() }

func (g *gate) shut() {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.whenOpen():
		pendingSignal := make(chan struct{})
		g.openSignal.Store(&pendingSignal)
	default:
	}
}

func (g *gate) open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.whenOpen():
	default:
		close(*g.openSignal.Load())
	}
}

type listener struct {
	net.Listener
	faultServer *Server
	tcp         *net.TCPListener
	// gate is shut while no connections are accepted.
	gate      *gate
	closeOnce sync.Once
	closed    chan struct{}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	l.awaitGate()
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &connection{Conn: accepted, faultServer: l.faultServer, closed: make(chan struct{})}
	l.faultServer.addConnection(c)
	return c, nil
}

// connection is one accepted connection. It stalls while the server is paused. Once
// silent, it drops all data until it is closed.
type connection struct {
	net.Conn
	faultServer *Server
	isSilent    atomic.Bool
	closeOnce   sync.Once
	closed      chan struct{}
}

// Read implements net.Conn. On a silent connection it returns neither data nor the end
// of the stream, and blocks until the connection is closed.
func (c *connection) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if c.isSilent.Load() {
		<-c.closed
		return 0, net.ErrClosed
	}
	c.awaitGate()
	return n, err
}

// Write implements net.Conn. A silent connection discards the data.
func (c *connection) Write(data []byte) (int, error) {
	c.awaitGate()
	if c.isSilent.Load() {
		return len(data), nil
	}
	return c.Conn.Write(data)
}

// Close implements net.Conn.
func (c *connection) Close() error {
	c.closeOnce.Do(func() {
		close(c.closed)
		c.faultServer.removeConnection(c)
	})
	return c.Conn.Close()
}

// awaitGate blocks while the server is paused and the connection is open.
func (c *connection) awaitGate() {
	select {
	case <-c.faultServer.pauseGate.whenOpen():
	case <-c.closed:
	}
}
