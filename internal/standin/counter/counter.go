// Package counter counts the bytes that accepted connections transfer.
package counter

import (
	"net"
	"sync/atomic"
)

// segmentOverheadBytes is the size of the IP and TCP headers of one segment.
const segmentOverheadBytes = 52

// Counter counts the bytes that connections transfer in both directions. It is safe
// for concurrent use.
type Counter struct {
	payloadBytes atomic.Int64
	segmentCount atomic.Int64
}

// PayloadBytes returns the number of bytes read from and written to the connections.
func (c *Counter) PayloadBytes() int64 { return c.payloadBytes.Load() }

// WireBytes returns an estimate of the bytes on the network: the payload and the
// IP and TCP headers. Each read and each write counts as one segment.
func (c *Counter) WireBytes() int64 {
	return c.payloadBytes.Load() + segmentOverheadBytes*c.segmentCount.Load()
}

func (c *Counter) addSegment(n int) {
	if n > 0 {
		c.payloadBytes.Add(int64(n))
		c.segmentCount.Add(1)
	}
}

func (c *Counter) removeSegment(n int) {
	if n > 0 {
		c.payloadBytes.Add(-int64(n))
		c.segmentCount.Add(-1)
	}
}

// CountConnections wraps a listener so that the traffic of its connections is
// counted.
func (c *Counter) CountConnections(l net.Listener) net.Listener {
	return &listener{Listener: l, counter: c}
}

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
	c.counter.addSegment(n)
	return n, err
}

// Write implements net.Conn. It counts the bytes first, because the peer can have read
// them before the call returns.
func (c *connection) Write(data []byte) (int, error) {
	c.counter.addSegment(len(data))
	n, err := c.Conn.Write(data)
	if n != len(data) {
		c.counter.removeSegment(len(data))
		c.counter.addSegment(n)
	}
	return n, err
}
