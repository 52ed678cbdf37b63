// Package hasty is a stand-in for a server that responds to requests before it has read them, and
// ends their connections in different ways.
package hasty

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// Framing is what shows the end of a response.
type Framing string

// Framings of a response.
const (
	Length   Framing = "length"
	Chunked  Framing = "chunks"
	Unframed Framing = "neither"
)

// Framings are all framings.
func Framings() []Framing { return []Framing{Length, Chunked, Unframed} }

// Frame returns a response with a header, whose lines end with CRLF, up to a number of bytes of its body. The
// end of a response that has the whole body is shown.
func Frame(f Framing, header, body string, sentBytes int) string {
	sent := body[:sentBytes]
	switch f {
	case Length:
		return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", header, len(body), sent)
	case Chunked:
		text := fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", header, sentBytes, sent)
		if sentBytes == len(body) {
			text += "0\r\n\r\n"
		}
		return text
	default:
		return header + "\r\n" + sent
	}
}

// End is what a server does with a connection after its response.
type End string

// Ends of a connection.
const (
	// Reset resets the connection.
	Reset End = "reset"
	// Close closes the connection. The kernel resets it instead if a part of the request has not been read.
	Close End = "close"
	// HalfCloseAndReset closes the sending side and then resets the connection, as a server does that closes
	// a connection on which more of the request arrives.
	HalfCloseAndReset End = "half-close and reset"
	// HalfClose closes the sending side alone.
	HalfClose End = "half-close"
	// Keep leaves the connection open.
	Keep End = "keep"
)

// Reading is what a server reads of the body of a request.
type Reading string

// Readings of a body.
const (
	// ReadsNothing is to leave the body on the connection.
	ReadsNothing Reading = "not read"
	// ReadsSlowly is to read pieces of the body between the response and the end of the connection.
	ReadsSlowly Reading = "read slowly"
	// ReadsArrived is to read all that arrives between the response and the end of the connection, so that
	// a close ends the connection before the kernel resets it.
	ReadsArrived Reading = "read as it arrives"
	// ReadsFirst is to read the whole body before the response.
	ReadsFirst Reading = "read before"
)

// pieceBytes is the size of the pieces that are read slowly.
const pieceBytes = 32 << 10

// endDelay is the time between the response and the end of its connection, and between the two parts of that
// end: the header of the response is read before.
const endDelay = 3 * time.Millisecond

// Server responds to each request with the same bytes.
type Server struct {
	// Response is sent in response to each request.
	Response string
	// Reads is what is read of the body of the request.
	Reads Reading
	// Rest is sent after Pause, when the rest of the request has been read, and replaces End.
	Rest  string
	Pause time.Duration
	// End follows the response.
	End End
	// Next is sent in response to later requests, which are read, and the connection is kept. If it is empty, they are
	// treated as the first one.
	Next string
}

// Start starts a server on a loopback address. The returned function stops it and closes its connections.
func Start(ctx context.Context, s Server) (address string, stop func() error, err error) {
	var c net.ListenConfig
	l, err := c.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	served := make(chan error, 1)
	go func() { served <- s.accept(ctx, l) }()
	return l.Addr().String(), func() error {
		cancel()
		l.Close()
		return <-served
	}, nil
}

// accept serves connections until the listener is closed, and waits for their ends.
func (s Server) accept(ctx context.Context, l net.Listener) error {
	ended, started := make(chan struct{}), 0
	for {
		c, err := l.Accept()
		if err != nil {
			for range started {
				<-ended
			}
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			return err
		}
		started++
		go func(s Server) {
			s.serve(ctx, c)
			ended <- struct{}{}
		}(s)
		if s.Next != "" {
			s = Server{Response: s.Next, Reads: ReadsFirst, End: Keep}
		}
	}
}

// serve responds to one request. A connection that its client has ended shows in the client.
func (s Server) serve(ctx context.Context, c net.Conn) {
	defer func() { _ = c.Close() }()
	defer context.AfterFunc(ctx, func() { _ = c.Close() })()
	request, err := http.ReadRequest(bufio.NewReaderSize(c, len(s.Response)))
	if err != nil {
		return
	}
	if s.Reads == ReadsFirst {
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
	}
	if _, err := io.Copy(c, strings.NewReader(s.Response)); err != nil {
		return
	}
	if s.Rest != "" {
		s.finish(ctx, c, request)
		return
	}
	s.readUntilEnd(c, request)
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return
	}
	if s.End == HalfClose || s.End == HalfCloseAndReset {
		_ = tcp.CloseWrite()
		time.Sleep(endDelay)
	}
	switch s.End {
	case Reset, HalfCloseAndReset:
		_ = tcp.SetLinger(0)
	case HalfClose, Keep:
		if s.Reads == ReadsArrived {
			_, _ = io.Copy(io.Discard, request.Body)
		}
		<-ctx.Done()
	case Close:
	}
}

// readUntilEnd reads of a request what the server reads between its response and the end of the connection.
func (s Server) readUntilEnd(c net.Conn, request *http.Request) {
	if s.Reads == ReadsArrived {
		_ = c.SetReadDeadline(time.Now().Add(endDelay))
		_, _ = io.Copy(io.Discard, request.Body)
		_ = c.SetReadDeadline(time.Time{})
		return
	}
	for range endDelay / time.Millisecond {
		if s.Reads == ReadsSlowly {
			_, _ = io.CopyN(io.Discard, request.Body, pieceBytes)
		}
		time.Sleep(time.Millisecond)
	}
}

// finish reads the rest of a request after the pause, and sends the rest of the response.
func (s Server) finish(ctx context.Context, c net.Conn, request *http.Request) {
	select {
	case <-time.After(s.Pause):
	case <-ctx.Done():
		return
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return
	}
	_, _ = io.Copy(c, strings.NewReader(s.Rest))
}
