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
	// sent to the server are not acknowledged. A server that has closed it resets it when they arrive.
	resetWait = 250 * time.Millisecond
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
// response without a length.
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
}

// Read implements net.Conn.
func (c *verifiedConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if errors.Is(err, io.EOF) && !c.hasOrderlyEnd() {
		return n, &ConnectionBrokenError{}
	}
	return n, err
}

// hasOrderlyEnd reports whether the server has ended the connection and not reset it, at a read that
// has found its end.
func (c *verifiedConn) hasOrderlyEnd() bool {
	for end := time.Now().Add(resetWait); ; time.Sleep(resetCheckInterval) {
		isReset, isAcknowledged := readState(c.tcp)
		if isReset || isAcknowledged || time.Now().After(end) {
			return !isReset
		}
	}
}
