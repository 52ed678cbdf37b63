// Package counter counts what travels over accepted connections.
package counter

import (
	"net"
	"sync/atomic"
)

// segmentOverhead is the number of bytes that IP and TCP add to a segment.
const segmentOverhead = 52

// Counter counts bytes in both directions. It is safe for concurrent use.
type Counter struct {
	payload  atomic.Int64
	segments atomic.Int64
}

// Payload returns the bytes that the application sent and received.
func (c *Counter) Payload() int64 { return c.payload.Load() }

// Wire returns the payload with the overhead of IP and TCP, where each read and
// each write counts as one segment.
func (c *Counter) Wire() int64 { return c.payload.Load() + segmentOverhead*c.segments.Load() }

func (c *Counter) add(n int) {
	if n > 0 {
		c.payload.Add(int64(n))
		c.segments.Add(1)
	}
}

// Listen returns a listener whose connections are counted.
func (c *Counter) Listen(l net.Listener) net.Listener { return &listener{Listener: l, counter: c} }

type listener struct {
	net.Listener
	counter *Counter
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &connection{Conn: c, counter: l.counter}, nil
}

type connection struct {
	net.Conn
	counter *Counter
}

// Read implements net.Conn.
func (c *connection) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.counter.add(n)
	return n, err
}

// Write implements net.Conn.
func (c *connection) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.counter.add(n)
	return n, err
}
