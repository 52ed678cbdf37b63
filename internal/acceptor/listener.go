package acceptor

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// trackedListener accepts connections that are tracked by an acceptor.
type trackedListener struct {
	net.Listener
	acceptor *Acceptor
	stopping atomic.Bool
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
	if l.stopping.Load() {
		l.armDeadline()
	}
	accepted, err := l.Listener.Accept()
	if err != nil && l.stopping.Load() {
		l.doneOnce.Do(func() { close(l.done) })
		return nil, net.ErrClosed
	}
	if err != nil {
		return nil, err
	}
	return l.acceptor.track(accepted), nil
}

// track returns a connection that is tracked until it is closed.
func (a *Acceptor) track(accepted net.Conn) *connection {
	c := &connection{Conn: accepted, acceptor: a, waitingSince: time.Now()}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.connections[c] = struct{}{}
	return c
}
