package acceptor

import (
	"context"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// memoryListener is a listener of connections in memory, which run in a synctest bubble.
type memoryListener struct {
	pending chan *memoryConn
	closed  chan struct{}
	once    sync.Once

	mutex    sync.Mutex
	deadline time.Time
	// deadlineChanged is closed and replaced when the deadline changes.
	deadlineChanged chan struct{}
	// accepted are the connections that the server has accepted, in order.
	accepted []*memoryConn
	// starved is true while an arriving connection does not wake an Accept that waits, as on
	// a host without processor time. An Accept that begins returns one that has arrived.
	starved bool
	// acceptErr is the error of the next Accept, nil for none.
	acceptErr error
}

func newMemoryListener() *memoryListener {
	return &memoryListener{pending: make(chan *memoryConn, 16), closed: make(chan struct{}), deadlineChanged: make(chan struct{})}
}

// dial connects to the listener. The connection waits until it is accepted, as in the
// queue of the kernel.
func (l *memoryListener) dial(context.Context, string, string) (net.Conn, error) {
	client, server := newMemoryPipe()
	select {
	case <-l.closed:
		return nil, net.ErrClosed
	default:
	}
	l.pending <- server
	return client, nil
}

// Accept implements net.Listener.
func (l *memoryListener) Accept() (net.Conn, error) {
	for began := true; ; began = false {
		l.mutex.Lock()
		deadline, deadlineChanged, err := l.deadline, l.deadlineChanged, l.acceptErr
		pending := l.pending
		if l.starved && !began {
			pending = nil
		}
		l.acceptErr = nil
		l.mutex.Unlock()
		if err != nil {
			return nil, err
		}
		var expired <-chan time.Time
		if !deadline.IsZero() {
			if !time.Now().Before(deadline) {
				return nil, os.ErrDeadlineExceeded
			}
			expired = time.After(time.Until(deadline))
		}
		select {
		case c := <-pending:
			l.mutex.Lock()
			defer l.mutex.Unlock()
			l.accepted = append(l.accepted, c)
			return c, nil
		case <-expired:
		case <-deadlineChanged:
		case <-l.closed:
			return nil, net.ErrClosed
		}
	}
}

// starve sets whether arriving connections do not wake Accept.
func (l *memoryListener) starve(starved bool) {
	l.mutex.Lock()
	l.starved = starved
	l.mutex.Unlock()
	l.wake()
}

// failNextAccept sets the error of the next Accept.
func (l *memoryListener) failNextAccept(err error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.acceptErr = err
}

// wake makes a waiting Accept look at the state again.
func (l *memoryListener) wake() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	close(l.deadlineChanged)
	l.deadlineChanged = make(chan struct{})
}

// SetDeadline sets the time from which Accept fails.
func (l *memoryListener) SetDeadline(t time.Time) error {
	l.mutex.Lock()
	l.deadline = t
	l.mutex.Unlock()
	l.wake()
	return nil
}

// Close implements net.Listener. Like the kernel, it resets connections that have not been
// accepted.
func (l *memoryListener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		for {
			select {
			case c := <-l.pending:
				c.Close()
			default:
				return
			}
		}
	})
	return nil
}

// Addr implements net.Listener.
func (l *memoryListener) Addr() net.Addr { return &net.TCPAddr{} }

// lastAccepted returns the server's end of the last accepted connection.
func (l *memoryListener) lastAccepted() *memoryConn {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.accepted[len(l.accepted)-1]
}

// memoryBuffer holds the bytes on their way in one direction.
type memoryBuffer struct {
	mutex  sync.Mutex
	change *sync.Cond
	data   []byte
	// deadline is when reads fail, the zero time for never.
	deadline time.Time
	timer    *time.Timer
	// starved is true while arriving data does not wake a reader that waits, as on a host
	// without processor time. A read that begins returns data that has arrived.
	starved bool
	// afterRead is called when a read has taken data, before it returns; nil for none.
	afterRead                  func()
	writerClosed, readerClosed bool
}

// memoryConn is one end of a connection in memory. Unlike net.Pipe it has buffers, so that
// data can arrive without being read.
type memoryConn struct {
	in, out *memoryBuffer
	// beforeEnd is called once before the sending side is closed, nil for nothing.
	beforeEnd atomic.Pointer[func()]
}

func newMemoryPipe() (client, server *memoryConn) {
	newBuffer := func() *memoryBuffer {
		b := &memoryBuffer{}
		b.change = sync.NewCond(&b.mutex)
		return b
	}
	up, down := newBuffer(), newBuffer()
	return &memoryConn{in: down, out: up}, &memoryConn{in: up, out: down}
}

// Read implements net.Conn.
func (c *memoryConn) Read(data []byte) (int, error) {
	b := c.in
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for began := true; ; began = false {
		switch {
		case b.readerClosed:
			return 0, net.ErrClosed
		case !b.deadline.IsZero() && !time.Now().Before(b.deadline):
			return 0, os.ErrDeadlineExceeded
		case len(b.data) > 0 && (began || !b.starved):
			n := copy(data, b.data)
			b.data = b.data[n:]
			if b.afterRead != nil {
				b.mutex.Unlock()
				b.afterRead()
				b.mutex.Lock()
			}
			return n, nil
		case b.writerClosed && len(b.data) == 0:
			return 0, io.EOF
		}
		b.change.Wait()
	}
}

// Write implements net.Conn.
func (c *memoryConn) Write(data []byte) (int, error) {
	b := c.out
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.writerClosed || b.readerClosed {
		return 0, net.ErrClosed
	}
	b.data = append(b.data, data...)
	b.change.Broadcast()
	return len(data), nil
}

// CloseWrite closes the sending side.
func (c *memoryConn) CloseWrite() error {
	if f := c.beforeEnd.Swap(nil); f != nil {
		(*f)()
	}
	c.out.mutex.Lock()
	defer c.out.mutex.Unlock()
	c.out.writerClosed = true
	c.out.change.Broadcast()
	return nil
}

// Close implements net.Conn. It discards the data that has not been read.
func (c *memoryConn) Close() error {
	if f := c.beforeEnd.Swap(nil); f != nil {
		(*f)()
	}
	c.in.mutex.Lock()
	c.in.readerClosed = true
	c.in.change.Broadcast()
	c.in.mutex.Unlock()
	c.out.mutex.Lock()
	c.out.writerClosed = true
	c.out.change.Broadcast()
	c.out.mutex.Unlock()
	return nil
}

// starve sets whether arriving data does not wake the reader.
func (c *memoryConn) starve(starved bool) {
	c.in.mutex.Lock()
	defer c.in.mutex.Unlock()
	c.in.starved = starved
	c.in.change.Broadcast()
}

// setAfterRead sets a function that is called when a read has taken data.
func (c *memoryConn) setAfterRead(f func()) {
	c.in.mutex.Lock()
	defer c.in.mutex.Unlock()
	c.in.afterRead = f
}

// SetReadDeadline implements net.Conn.
func (c *memoryConn) SetReadDeadline(t time.Time) error {
	b := c.in
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.timer != nil {
		b.timer.Stop()
	}
	b.deadline = t
	if !t.IsZero() {
		b.timer = time.AfterFunc(time.Until(t), func() {
			b.mutex.Lock()
			defer b.mutex.Unlock()
			b.change.Broadcast()
		})
	}
	b.change.Broadcast()
	return nil
}

// SetDeadline implements net.Conn.
func (c *memoryConn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

// SetWriteDeadline implements net.Conn.
func (c *memoryConn) SetWriteDeadline(time.Time) error { return nil }

// LocalAddr implements net.Conn.
func (c *memoryConn) LocalAddr() net.Addr { return &net.TCPAddr{} }

// RemoteAddr implements net.Conn.
func (c *memoryConn) RemoteAddr() net.Addr { return &net.TCPAddr{} }
