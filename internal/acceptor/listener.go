package acceptor

import (
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// trackedListener accepts connections that are tracked by an acceptor.
type trackedListener struct {
	net.Listener
	acceptor *Acceptor
	stopping atomic.Bool
	// lastLook is true once Accept has timed out.
	lastLook atomic.Bool
	// done is closed once no more connections are accepted.
	done     chan struct{}
	doneOnce sync.Once
}

// deadlineSetter is a listener whose Accept can time out.
type deadlineSetter interface{ SetDeadline(t time.Time) error }

// stop makes Accept fail once the queue of the listener is empty.
func (l *trackedListener) stop() {
	l.stopping.Store(true)
	l.armDeadline()
}

// armDeadline makes Accept time out after lastAcceptTimeout.
func (l *trackedListener) armDeadline() {
	if d, ok := l.Listener.(deadlineSetter); ok && d.SetDeadline(time.Now().Add(lastAcceptTimeout)) == nil {
		return
	}
	l.Close()
}

// Accept implements net.Listener.
func (l *trackedListener) Accept() (net.Conn, error) {
	for {
		if l.stopping.Load() {
			l.armDeadline()
		}
		accepted, err := l.Listener.Accept()
		switch {
		case err == nil:
			return l.acceptor.track(accepted), nil
		case !l.stopping.Load():
			return nil, err
		case errors.Is(err, os.ErrDeadlineExceeded):
			// The deadline can wake Accept before a connection does, so that the queue is
			// not empty for certain.
			if !l.lastLook.Swap(true) {
				continue
			}
		case !errors.Is(err, net.ErrClosed):
			// The HTTP server tries again after a pause if the error is temporary.
			return nil, err
		}
		l.doneOnce.Do(func() { close(l.done) })
		return nil, net.ErrClosed
	}
}

// track returns a connection that is tracked until it is closed.
func (a *Acceptor) track(accepted net.Conn) *connection {
	c := &connection{Conn: accepted, acceptor: a, waitingSince: time.Now()}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.connections[c] = struct{}{}
	return c
}
