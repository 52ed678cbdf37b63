package acceptor

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// connection is the connection of a client.
type connection struct {
	net.Conn
	acceptor *Acceptor

	// ended is true once the connection is no longer open.
	ended atomic.Bool
	// writingSince is the time since createdAt of the acceptor at which the current write began or
	// made its last progress, in nanoseconds, 0 if there is none.
	writingSince atomic.Int64

	mutex sync.Mutex
	phase phase
	// isMultiplexed is true if the connection uses HTTP/2. active is the number of its requests that
	// handlers serve.
	isMultiplexed bool
	active        int
	// waitingSince is the time at which the connection began to wait for a request.
	waitingSince time.Time
	// receivingSince is the time at which the first byte of the current header arrived.
	receivingSince time.Time
	// served is true once a request has been served.
	served bool
	// idleTimeout is the longest idle time-out on which the client may rely: those that
	// were announced since its last request, or in force while the connection was idle.
	idleTimeout time.Duration
	// hasWholeBuffer is true once the receive buffer has its whole size.
	hasWholeBuffer bool
	// readDeadline is the deadline that the HTTP server has set, the zero time for none.
	readDeadline time.Time
	// deadlineReplaced is true while the connection has another deadline.
	deadlineReplaced bool
	// isGivenUp is true if the header that is being received has come too slowly.
	isGivenUp bool
	// lastReads is the number of reads after a deadline in the current phase.
	lastReads int
	// headerBytes is the size of what has been read of the current header, pooledHeaderBytes the part
	// of it that is taken from the pool of the acceptor.
	headerBytes, pooledHeaderBytes int64
}

// phase is what the host does with a connection.
type phase int

const (
	// waiting for the first byte of a request.
	waiting phase = iota
	// receiving the header of a request, of which bytes have arrived.
	receiving
	// serving a request by a handler.
	serving
	// ending, after the end was announced to a client that has sent no request.
	ending
)

// timeoutResponse is the response to a request that crosses the end of its connection. It is sent
// whether there is one or not. Its status says that the request was not run.
const timeoutResponse = "HTTP/1.1 408 Request Timeout\r\nDate: %s\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// http2Protocol is the name of HTTP/2 in the negotiation of TLS.
const http2Protocol = "h2"

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
	if encrypted, ok := served.(*tls.Conn); ok && encrypted.ConnectionState().NegotiatedProtocol == http2Protocol {
		a.startMultiplexing(c)
		return
	}
	if state == http.StateIdle {
		c.startWaiting()
	}
}

// wrapHandler returns a handler that records which requests reach next, and announces how
// long their connections stay open.
func (a *Acceptor) wrapHandler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		timeout := a.currentIdleTimeout()
		if c, ok := r.Context().Value(connectionKey{}).(*connection); ok && c != nil {
			c.startServing(timeout)
			defer c.stopServing()
		}
		if a.draining.Load() {
			w.Header().Set("Connection", "close")
		} else if timeout >= time.Second {
			w.Header().Set("Keep-Alive", "timeout="+strconv.FormatInt(int64(timeout/time.Second), 10))
		}
		defer a.answerPanic(w, r)
		next.ServeHTTP(w, r)
	})
}

// answerPanic responds with status 500 if the handler of a request panics, unless a response has
// begun. It then panics on, so that the HTTP server closes the connection: a response that has
// begun must not look complete.
func (a *Acceptor) answerPanic(w http.ResponseWriter, r *http.Request) {
	v := recover()
	if v == nil {
		return
	}
	err, ok := v.(error)
	if ok && errors.Is(err, http.ErrAbortHandler) {
		panic(v)
	}
	a.log.Error().Str("caller", r.RemoteAddr).Interface("panic", v).Bytes("stack", debug.Stack()).Msg("handler panicked")
	// This has no effect once a response has begun.
	clear(w.Header())
	w.Header().Set("Content-Length", "0")
	w.Header().Set("Connection", "close")
	w.WriteHeader(http.StatusInternalServerError)
	if err := http.NewResponseController(w).Flush(); err != nil {
		a.log.Debug().Err(err).Msg("failed to respond after a panic")
	}
	panic(http.ErrAbortHandler)
}

// startServing records that a handler serves a request, whose response announces an idle
// time-out.
func (c *connection) startServing(announced time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.phase, c.served, c.idleTimeout = serving, true, announced
	c.growReceiveBuffer()
	c.active++
}

// stopServing records that a handler has ended. With HTTP/1.1 the connection waits for the next
// request only when the HTTP server has sent the response and read the rest of the request.
func (c *connection) stopServing() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.active--; c.isMultiplexed && c.active == 0 {
		c.phase, c.waitingSince = waiting, time.Now()
	}
}

// startMultiplexing records that a connection uses HTTP/2.
func (a *Acceptor) startMultiplexing(c *connection) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.isMultiplexed {
		return
	}
	c.isMultiplexed = true
	c.freeHeader()
	if c.active == 0 {
		c.phase, c.waitingSince = waiting, time.Now()
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	delete(a.connections, c)
	if !c.ended.Load() {
		a.multiplexed[c] = struct{}{}
	}
}

// isStuck reports whether a connection with HTTP/2 has been without a request in a handler for longer
// than a period. If it is still open at a stop, its client does not receive a response.
func (c *connection) isStuck(now time.Time, period time.Duration) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.isMultiplexed && c.active == 0 && now.Sub(c.waitingSince) > period
}

// startWaiting records that the host waits for the next request.
func (c *connection) startWaiting() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.phase, c.waitingSince, c.lastReads = waiting, time.Now(), 0
	c.freeHeader()
}

// expireIfIdle makes the HTTP server close the connection if it has been idle for longer
// than the client was told or could know. It reports whether it has.
func (c *connection) expireIfIdle(now time.Time, currentTimeout time.Duration) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.idleTimeout = max(c.idleTimeout, currentTimeout)
	if !c.served || now.Sub(c.waitingSince) <= c.idleTimeout+closeMargin {
		return false
	}
	return c.expire(now)
}

// expireIfWaiting makes the HTTP server close the connection if it has been without a
// request since a time or longer, unless it is new.
func (c *connection) expireIfWaiting(now, since time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.waitingSince.After(since) && (c.served || now.Sub(c.waitingSince) >= firstRequestPeriod) {
		c.expire(now)
	}
}

// expire makes the HTTP server close the connection unless a request has arrived. It does
// not close the connection itself, because only the goroutine that reads knows whether it
// has received a request. The caller holds the mutex.
//
// The HTTP server sets a deadline before it waits for a request, and removes it when it has
// read the header, possibly from its buffer.
func (c *connection) expire(now time.Time) bool {
	if c.phase != waiting || c.readDeadline.IsZero() {
		return false
	}
	return c.replaceDeadline(now) == nil
}

// replaceDeadline replaces the deadline of the HTTP server until that sets its next one. The
// caller holds the mutex.
func (c *connection) replaceDeadline(t time.Time) error {
	c.deadlineReplaced = true
	err := c.Conn.SetReadDeadline(t)
	if err != nil {
		c.acceptor.log.Debug().Err(err).Msg("failed to set the deadline of a connection")
	}
	return err
}

// SetReadDeadline implements net.Conn.
func (c *connection) SetReadDeadline(t time.Time) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	// The HTTP server also calls this when the header is complete.
	c.readDeadline, c.deadlineReplaced, c.isGivenUp = t, false, false
	return c.Conn.SetReadDeadline(t)
}

// Read implements net.Conn. When the deadline of a read for the header of a request has
// passed, it returns data that has arrived nevertheless: the deadline can wake the reader
// before the data does.
func (c *connection) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	for n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.startLastRead() {
		n, err = c.Conn.Read(data)
		if n > 0 {
			c.acceptor.meter.CountRescuedRequest()
			c.acceptor.log.Info().Str("caller", c.RemoteAddr().String()).Msg("request arrived on a connection that was to be closed")
		} else if !hasUnreadData(c.Conn) {
			c.closeIfExpired(err)
			break
		}
	}
	if n > 0 {
		if refusal := c.startReceiving(n); refusal != nil {
			c.refuseHeader(refusal)
			return 0, refusal
		}
	}
	return n, err
}

// closeIfExpired closes the connection if the last read for a request or the rest of its header
// timed out. It does not leave that to the HTTP server, which would close it without a word: a
// request that crosses the close would get neither a response nor a refusal. An encrypted connection
// ends with a message of the server.
func (c *connection) closeIfExpired(err error) {
	if !errors.Is(err, os.ErrDeadlineExceeded) || c.acceptor.encrypted || !c.startEnding() {
		return
	}
	c.endWith(timeoutResponse)
}

// endWith sends a response that ends the connection, and closes it.
func (c *connection) endWith(response string) {
	if err := c.announceEnd(response); err != nil {
		c.acceptor.log.Debug().Err(err).Msg("failed to announce the end of a connection")
	}
	if err := c.Close(); err != nil {
		c.acceptor.log.Debug().Err(err).Msg("failed to close a connection")
	}
}

// startEnding records that the connection ends. It is false if it does not wait for a request or the
// rest of its header.
func (c *connection) startEnding() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.phase != waiting && c.phase != receiving {
		return false
	}
	c.recordEnding()
	return true
}

// recordEnding records that the end of the connection was announced. The caller holds the mutex.
func (c *connection) recordEnding() {
	if c.phase != ending && !c.ended.Load() {
		c.phase = ending
		c.acceptor.endingCount.Add(1)
	}
}

// announceEnd sends a response, closes the sending side, and reads until the client closes its side or
// closeLinger has passed. It discards what arrives.
func (c *connection) announceEnd(response string) error {
	end := time.Now().Add(closeLinger)
	if err := c.SetDeadline(end); err != nil {
		return err
	}
	if _, err := fmt.Fprintf(c.Conn, response, time.Now().UTC().Format(http.TimeFormat)); err != nil {
		return err
	}
	if err := c.CloseWrite(); err != nil {
		return err
	}
	n, err := io.Copy(io.Discard, io.LimitReader(c.Conn, maxDiscardedBytes))
	if n > 0 {
		c.acceptor.meter.CountCrossedRequest()
		c.acceptor.log.Info().Str("caller", c.RemoteAddr().String()).Int64("bytes", n).Msg("refused a request that crossed the end of its connection")
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil
	}
	return err
}

// startLastRead sets the deadline for one more read after the deadline has passed. It is
// false if the read is not for the header of a request.
func (c *connection) startLastRead() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.phase == serving || c.phase == ending || c.lastReads >= maxLastReads {
		return false
	}
	c.lastReads++
	return c.replaceDeadline(time.Now().Add(lastReadTimeout)) == nil
}

// startReceiving records that bytes of a request have arrived. Its error says why the request is
// refused before its header is complete.
func (c *connection) startReceiving(bytes int) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.isGivenUp && c.phase == receiving {
		return &HeaderTooSlowError{}
	}
	deadline := c.readDeadline
	if c.phase == waiting {
		now := time.Now()
		c.phase, c.lastReads, c.receivingSince = receiving, 0, now
		if deadline.Before(now.Add(defaultHeaderTimeout)) {
			deadline = now.Add(defaultHeaderTimeout)
		}
	}
	if c.deadlineReplaced && c.replaceDeadline(deadline) == nil {
		c.readDeadline, c.deadlineReplaced = deadline, false
	}
	if c.phase == receiving && !c.isMultiplexed {
		return c.growHeader(int64(bytes))
	}
	return nil
}

// maxWriteBytes is the largest part of a write whose progress is recorded.
const maxWriteBytes = 16 << 10

// Write implements net.Conn. It records since when the client has not read.
func (c *connection) Write(data []byte) (int, error) {
	defer c.writingSince.Store(0)
	for written := 0; ; {
		c.writingSince.Store(max(1, int64(time.Since(c.acceptor.createdAt))))
		n, err := c.Conn.Write(data[written:min(len(data), written+maxWriteBytes)])
		if written += n; err != nil || written == len(data) {
			return written, err
		}
	}
}

// writingFor returns for how long the current write has made no progress, 0 if there is none.
func (c *connection) writingFor() time.Duration {
	since := c.writingSince.Load()
	if since == 0 {
		return 0
	}
	return time.Since(c.acceptor.createdAt) - time.Duration(since)
}

// CloseWrite closes the sending half of the connection. The HTTP server uses it so that a
// client receives a response although the rest of its request is not read.
func (c *connection) CloseWrite() error {
	c.mutex.Lock()
	c.recordEnding()
	c.mutex.Unlock()
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *connection) Close() error {
	c.recordEnd()
	c.recordClose()
	return c.Conn.Close()
}

// recordEnd records that the connection is no longer open.
func (c *connection) recordEnd() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.ended.Swap(true) {
		return
	}
	c.acceptor.openCount.Add(-1)
	c.freeHeader()
	if c.phase == ending {
		c.acceptor.endingCount.Add(-1)
	}
}

// forget stops tracking a connection. It reports whether it was tracked as one with HTTP/1.1.
func (a *Acceptor) forget(c *connection) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	_, tracked := a.connections[c]
	delete(a.connections, c)
	delete(a.multiplexed, c)
	return tracked
}

// recordClose removes the connection from the acceptor. It logs if a request has arrived
// that no handler has seen.
func (c *connection) recordClose() {
	a := c.acceptor
	if !a.forget(c) {
		return
	}
	c.mutex.Lock()
	phase := c.phase
	c.mutex.Unlock()
	// The rest of a request that has a response may stay unread.
	unread, unserved := phase != serving && phase != ending && hasUnreadData(c.Conn), phase == receiving
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
