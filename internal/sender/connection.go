package sender

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// writeGuard decides whether bytes of a call may be written and records whether any
// were written. It allows writes only on the first connection of the call, so that
// the call cannot be sent twice.
type writeGuard struct {
	deadline time.Time

	mutex sync.Mutex
	// conn is the connection of the call, nil until it has one.
	conn *guardedConn
	// writesClosed is true once all further writes are refused.
	writesClosed    bool
	writeInProgress bool
	// wroteBytes is true once a byte of the call was written.
	wroteBytes bool
}

// bind binds the guard to the first connection of the call. Any later connection
// refuses all writes.
func (g *writeGuard) bind(c *guardedConn) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.conn != nil {
		c.guard.Store(nil)
		return
	}
	g.conn = c
	c.guard.Store(g)
}

// beginWrite starts a write, unless writes are closed or the deadline passed before
// the first byte was written.
func (g *writeGuard) beginWrite() error {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.writesClosed {
		return &WriteRefusedError{}
	}
	if !g.wroteBytes && hasPassed(g.deadline, time.Now()) {
		g.writesClosed = true
		return &DeadlinePassedError{Deadline: g.deadline}
	}
	g.writeInProgress = true
	return nil
}

// endWrite records the end of a write of n bytes.
func (g *writeGuard) endWrite(n int) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.writeInProgress = false
	g.wroteBytes = g.wroteBytes || n > 0
}

// closeWrites makes the guard refuse all later writes and reports whether a byte of
// the call may have been written.
func (g *writeGuard) closeWrites() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.writesClosed = true
	return g.wroteBytes || g.writeInProgress
}

// headerError returns the error of a call that failed before the end of the response
// header: a ResponseTooLargeError if the header exceeds maxHeaderBytes, and err
// otherwise.
func (g *writeGuard) headerError(err error) error {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.conn != nil && g.conn.receivedBytes.Load() >= maxHeaderBytes {
		return &fuchsiapitch.ResponseTooLargeError{Part: "header", LimitBytes: maxHeaderBytes}
	}
	return err
}

// allowLateReading lets a server that has begun to answer read the rest of the request until the deadline. The
// kernel would give up a connection on which there is no room for the request, though the server lives.
func (g *writeGuard) allowLateReading() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.conn == nil || g.deadline.IsZero() {
		return
	}
	if c, ok := g.conn.Conn.(*verifiedConn); ok && !c.hasWholeRequest() {
		clearUserTimeout(c.tcp)
	}
}

// hasPassed reports whether a deadline has passed on the monotonic or the wall clock.
// The monotonic clock stops while the machine is suspended.
func hasPassed(deadline, now time.Time) bool {
	if deadline.IsZero() {
		return false
	}
	return eitherExpired(deadline.Sub(now), deadline.Round(0).Sub(now.Round(0)))
}

// eitherExpired reports whether no time remains on at least one clock.
func eitherExpired(monotonic, wall time.Duration) bool { return monotonic <= 0 || wall <= 0 }

// guardedConn is a TCP connection that writes only what the guard of its call allows,
// and counts the bytes received.
type guardedConn struct {
	net.Conn
	guard         atomic.Pointer[writeGuard]
	receivedBytes atomic.Int64
}

// Read implements net.Conn.
func (c *guardedConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.receivedBytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *guardedConn) Write(data []byte) (int, error) {
	g := c.guard.Load()
	if g == nil {
		return 0, &WriteRefusedError{}
	}
	if err := g.beginWrite(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(data)
	g.endWrite(n)
	return n, err
}
