package sender

import (
	"context"
	"errors"
	"io"
	"net"
	"time"
)

const (
	// resetWait is how long a connection that its server has ended may still be reset, while bytes that were
	// sent to the server are not acknowledged.
	resetWait = time.Second
	// resetCheckInterval is the time between two looks for that reset.
	resetCheckInterval = 5 * time.Millisecond
)

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// VerifyEnds returns a dial function whose TCP connections report io.EOF only if the server has ended them
// in an orderly way, and a ConnectionBrokenError otherwise.
//
// The kernel reports the error of a connection once, to the goroutine that reads or to the one that writes.
// If the writer of a request gets it, the reader of the response gets io.EOF, which looks like the end of a
// response without a length. The reset may also come after the end: a server that has closed a connection resets it
// when more of the request arrives. A read that finds the end waits for the rest of the request therefore.
func VerifyEnds(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		if tcp, ok := c.(*net.TCPConn); ok {
			return &verifiedConn{Conn: c, tcp: tcp}, nil
		}
		return c, nil
	}
}

// verifiedConn is a connection of VerifyEnds. It hides the methods of a TCP connection that do not use Read.
type verifiedConn struct {
	net.Conn
	tcp *net.TCPConn
	// request is how far the request on the connection has been written.
	request requestWriting
}

// Read implements net.Conn.
func (c *verifiedConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if errors.Is(err, io.EOF) && !c.hasOrderlyEnd() {
		return n, &ConnectionBrokenError{}
	}
	return n, err
}

// Write implements net.Conn.
func (c *verifiedConn) Write(data []byte) (int, error) {
	c.request.begin()
	n, err := c.Conn.Write(data)
	c.request.end(data[:n], err)
	return n, err
}

// hasWholeRequest reports whether the request has been written to its end and the server has acknowledged it.
func (c *verifiedConn) hasWholeRequest() bool {
	isWritten, _ := c.request.state()
	_, isAcknowledged := readState(c.tcp)
	return isWritten && isAcknowledged
}

// hasOrderlyEnd reports whether the server has ended the connection and not reset it, at a read that
// has found its end. A server that has closed the connection resets it as soon as more of the request arrives. That
// is known when the request has been written and acknowledged, or when the server has left bytes unacknowledged for
// resetWait without a reset. A time in which the writer of the request has not written on tells nothing.
func (c *verifiedConn) hasOrderlyEnd() bool {
	for waited := time.Duration(0); waited < resetWait; time.Sleep(resetCheckInterval) {
		// Bytes that are written between the two looks are not missed in this order.
		isWritten, hasFailed := c.request.state()
		isReset, isAcknowledged := readState(c.tcp)
		switch {
		case isReset || hasFailed:
			return false
		case isAcknowledged && isWritten:
			return true
		case !isAcknowledged:
			waited += resetCheckInterval
		}
	}
	return true
}
