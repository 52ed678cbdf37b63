package sender

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// gate decides whether the bytes of one call may leave and knows whether any
// did. A call uses one connection only: the gate is opened for the first one.
type gate struct {
	deadline time.Time

	mutex   sync.Mutex
	used    bool
	sealed  bool
	writing bool
	left    bool
}

// open ties the gate to a connection. A second connection stays closed.
func (g *gate) open(c *connection) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.used {
		c.gate.Store(nil)
		return
	}
	g.used = true
	c.gate.Store(g)
}

// enter asks for leave to write.
func (g *gate) enter() error {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.sealed {
		return &ClosedGateError{}
	}
	if !g.left && isPast(g.deadline, time.Now()) {
		g.sealed = true
		return &StaleError{Deadline: g.deadline}
	}
	g.writing = true
	return nil
}

// leave reports the end of a write of n bytes.
func (g *gate) leave(n int) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.writing = false
	g.left = g.left || n > 0
}

// seal ends all writing and reports whether a byte may have left.
func (g *gate) seal() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.sealed = true
	return g.left || g.writing
}

// isPast reports whether a deadline has passed on the monotonic or on the wall
// clock. The monotonic clock stands still while the machine is suspended.
func isPast(deadline, now time.Time) bool {
	if deadline.IsZero() {
		return false
	}
	return isOver(deadline.Sub(now), deadline.Round(0).Sub(now.Round(0)))
}

// isOver reports whether no time remains on one of the clocks.
func isOver(monotonic, wall time.Duration) bool { return monotonic <= 0 || wall <= 0 }

// connection is a TCP connection whose writes pass the gate of the current call.
type connection struct {
	net.Conn
	gate atomic.Pointer[gate]
}

// Write implements net.Conn.
func (c *connection) Write(data []byte) (int, error) {
	g := c.gate.Load()
	if g == nil {
		return 0, &ClosedGateError{}
	}
	if err := g.enter(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(data)
	g.leave(n)
	return n, err
}
