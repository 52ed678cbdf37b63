package faulter

import (
	"context"
	"net"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// acceptBacklog is the length of the queue of connections that are not accepted yet.
	// The kernel lowers it to its own limit.
	acceptBacklog = 4096
	// fillTimeout is how long a connection takes at most to a queue that has room.
	fillTimeout = 30 * time.Millisecond
	// maxFillConnections bounds the connections that fill the queue.
	maxFillConnections = 64
)

// FallSilent suspends the server for a time, after which it goes on with what has arrived. If
// it is not connectable meanwhile, new connections are neither accepted nor refused, like
// those to a machine that no packet reaches. It returns when the silence has begun.
func (s *Server) FallSilent(d time.Duration, connectable bool) error {
	s.Pause()
	if connectable {
		time.AfterFunc(d, s.Resume)
		return nil
	}
	s.mu.Lock()
	l := s.listener
	s.mu.Unlock()
	l.gate.shut()
	if err := l.setBacklog(0); err != nil {
		return err
	}
	queued := fillQueue(s.address)
	time.AfterFunc(d, func() {
		// The listener may have been closed meanwhile.
		_ = l.setBacklog(acceptBacklog)
		for _, c := range queued {
			_ = c.Close()
		}
		l.gate.open()
		s.Resume()
	})
	return nil
}

// fillQueue connects to an address until the kernel no longer responds, and returns the
// connections. The first of them may still be taken from the queue by an Accept that began
// before.
func fillQueue(address string) []net.Conn {
	var list []net.Conn
	for failures := 0; failures < 2 && len(list) < maxFillConnections; {
		ctx, cancel := context.WithTimeout(context.Background(), fillTimeout)
		c, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
		cancel()
		if err != nil {
			failures++
			continue
		}
		list, failures = append(list, c), 0
	}
	return list
}

// setBacklog changes the length of the queue of connections that are not accepted yet.
func (l *listener) setBacklog(n int) error {
	raw, err := l.tcp.SyscallConn()
	if err != nil {
		return err
	}
	var listenErr error
	if err := raw.Control(func(descriptor uintptr) { listenErr = unix.Listen(int(descriptor), n) }); err != nil {
		return err
	}
	return listenErr
}

// awaitGate blocks while no connections are accepted and the listener is open.
func (l *listener) awaitGate() {
	select {
	case <-l.gate.whenOpen():
	case <-l.closed:
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}
