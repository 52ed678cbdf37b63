package faulter

import (
	"net"
	"sync"
	"sync/atomic"
)

// gate is open or shut. Passage through an open gate is free.
type gate struct {
	mu     sync.Mutex
	opened atomic.Pointer[chan struct{}]
}

func newGate() *gate {
	g := &gate{}
	free := make(chan struct{})
	close(free)
	g.opened.Store(&free)
	return g
}

// passage returns a channel that is closed while the gate is open.
func (g *gate) passage() <-chan struct{} { return *g.opened.Load() }

func (g *gate) shut() {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.passage():
		blocked := make(chan struct{})
		g.opened.Store(&blocked)
	default:
	}
}

func (g *gate) open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.passage():
	default:
		close(*g.opened.Load())
	}
}

type listener struct {
	net.Listener
	owner *Server
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	plain, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &connection{Conn: plain, owner: l.owner, closed: make(chan struct{})}
	l.owner.track(c)
	return c, nil
}

// connection is one accepted connection, which can go silent or stand still.
type connection struct {
	net.Conn
	owner  *Server
	silent atomic.Bool
	once   sync.Once
	closed chan struct{}
}

// Read implements net.Conn. A silent connection never returns data nor the end.
func (c *connection) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if c.silent.Load() {
		<-c.closed
		return 0, net.ErrClosed
	}
	c.pass()
	return n, err
}

// Write implements net.Conn. A silent connection drops what is written.
func (c *connection) Write(data []byte) (int, error) {
	c.pass()
	if c.silent.Load() {
		return len(data), nil
	}
	return c.Conn.Write(data)
}

// Close implements net.Conn.
func (c *connection) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.owner.forget(c)
	})
	return c.Conn.Close()
}

func (c *connection) pass() {
	select {
	case <-c.owner.gate.passage():
	case <-c.closed:
	}
}
