package acceptor

import (
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// trackedListener accepts connections that are tracked by an acceptor.
type trackedListener struct {
	net.Listener
	acceptor *Acceptor
	stopping atomic.Bool
	// lastAcceptEnd is the time from which a stopping listener accepts only what is in its
	// queue. It is set before stopping.
	lastAcceptEnd time.Time
	// lastLook is true once Accept has timed out.
	lastLook atomic.Bool
	// done is closed once no more connections are accepted.
	done      chan struct{}
	doneOnce  sync.Once
	closeOnce sync.Once
	closeErr  error
}

// Close implements net.Listener. It can be called again, as the listener closes itself while
// it stops.
func (l *trackedListener) Close() error {
	l.closeOnce.Do(func() { l.closeErr = l.Listener.Close() })
	return l.closeErr
}

// closeQuietly closes the listener. Its error is also that of later calls of Close.
func (l *trackedListener) closeQuietly() {
	if err := l.Close(); err != nil {
		l.acceptor.log.Debug().Err(err).Msg("failed to close the listener")
	}
}

// deadlineSetter is a listener whose Accept can time out.
type deadlineSetter interface{ SetDeadline(t time.Time) error }

// stop makes Accept fail once no connection has arrived for lastAcceptTimeout, or the queue
// of the listener is empty after maxLastAcceptPeriod.
func (l *trackedListener) stop() {
	l.lastAcceptEnd = time.Now().Add(maxLastAcceptPeriod)
	l.stopping.Store(true)
	l.armDeadline()
}

// armDeadline makes Accept time out after lastAcceptTimeout.
func (l *trackedListener) armDeadline() {
	if d, ok := l.Listener.(deadlineSetter); ok && d.SetDeadline(time.Now().Add(lastAcceptTimeout)) == nil {
		return
	}
	l.closeQuietly()
}

// Accept implements net.Listener.
func (l *trackedListener) Accept() (net.Conn, error) {
	accepted, err := l.acceptNext()
	if err == nil {
		return l.acceptor.track(accepted), nil
	}
	if l.stopping.Load() && errors.Is(err, net.ErrClosed) {
		// Connections that arrive from now on are refused.
		l.closeQuietly()
		l.doneOnce.Do(func() { close(l.done) })
	}
	// The HTTP server tries again after a pause if the error is temporary.
	return nil, err
}

// acceptNext returns the next connection. While the listener stops, it returns net.ErrClosed
// if there is none in the queue and time is up.
func (l *trackedListener) acceptNext() (net.Conn, error) {
	for {
		if l.stopping.Load() {
			if !time.Now().Before(l.lastAcceptEnd) && !hasQueuedConnection(l.Listener) {
				return nil, net.ErrClosed
			}
			l.armDeadline()
		}
		l.awaitRoom()
		accepted, err := l.Listener.Accept()
		if err == nil || !l.stopping.Load() || !errors.Is(err, os.ErrDeadlineExceeded) {
			return accepted, err
		}
		// The deadline can wake Accept before a connection does.
		if !hasQueuedConnection(l.Listener) && l.lastLook.Swap(true) {
			return nil, net.ErrClosed
		}
	}
}

// hasQueuedConnection reports whether a connection waits to be accepted.
func hasQueuedConnection(listener net.Listener) bool { return queuedConnections(listener) > 0 }

// queuedConnections returns how many connections wait to be accepted, 1 for any number if the kernel
// does not tell.
func queuedConnections(listener net.Listener) int {
	socket, ok := listener.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0
	}
	queued := 0
	look := func(descriptor uintptr) {
		events := []unix.PollFd{{Fd: int32(descriptor), Events: unix.POLLIN}}
		if n, err := unix.Poll(events, 0); err != nil || n == 0 || events[0].Revents&unix.POLLIN == 0 {
			return
		}
		queued = 1
		// Of a listener, the unacknowledged segments are the connections in its queue.
		if info, err := unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			queued = max(queued, int(info.Unacked))
		}
	}
	if err := raw.Control(look); err != nil {
		return 0
	}
	return queued
}

// track returns a connection that is tracked until it is closed.
func (a *Acceptor) track(accepted net.Conn) *connection {
	c := &connection{Conn: accepted, acceptor: a, waitingSince: time.Now()}
	a.openCount.Add(1)
	c.growReceiveBuffer()
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.connections[c] = struct{}{}
	return c
}
