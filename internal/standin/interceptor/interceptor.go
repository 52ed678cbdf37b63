// Package interceptor is a stand-in for the network between one client and an HTTP server: a
// loopback proxy that silences single connections or refuses requests.
package interceptor

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Refusal is how requests are refused.
type Refusal int

const (
	// NoRefusal forwards requests.
	NoRefusal Refusal = iota
	// Unavailable answers 503.
	Unavailable
	// TooManyRequests answers 429.
	TooManyRequests
	// Reset closes the connection without an answer.
	Reset
	// Unanswered reads the request and sends nothing.
	Unanswered
)

// Interceptor forwards the connections of its listener to a server.
type Interceptor struct {
	listener net.Listener
	upstream string

	// mutex guards the fields below.
	mutex       sync.Mutex
	connections map[*connection]struct{}
	refusal     Refusal
	requests    int
}

// closeAll closes connections and listeners. That one of them is closed already is no error here.
func closeAll(closers ...io.Closer) {
	for _, c := range closers {
		_ = c.Close()
	}
}

// connection is one forwarded connection.
type connection struct {
	client, server net.Conn
	// pending is the request that has not been answered yet, nil for none. It is guarded by the
	// mutex of the interceptor, as is isSilent.
	pending  *http.Request
	isSilent bool
}

// Start starts an interceptor before the server at an address. The returned function closes the
// listener and all connections, and waits for their goroutines.
func Start(ctx context.Context, upstream string) (*Interceptor, func(), error) {
	var listen net.ListenConfig
	listener, err := listen.Listen(ctx, "tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, nil, err
	}
	i := &Interceptor{listener: listener, upstream: upstream, connections: make(map[*connection]struct{})}
	ctx, cancel := context.WithCancel(ctx)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		i.accept(ctx)
	}()
	return i, func() {
		cancel()
		closeAll(listener)
		<-ended
	}, nil
}

// Address returns the address of the listener.
func (i *Interceptor) Address() string { return i.listener.Addr().String() }

// Silence makes the open connections whose unanswered request matches drop all data from now on.
// They stay open. Connections without an unanswered request match as well if matches accepts nil.
// It returns their number.
func (i *Interceptor) Silence(matches func(pending *http.Request) bool) int {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	silenced := 0
	for c := range i.connections {
		if !c.isSilent && matches(c.pending) {
			c.isSilent = true
			silenced++
		}
	}
	return silenced
}

// Refuse makes the interceptor refuse all requests that arrive from now on. If the refusal is not
// NoRefusal, it also ends the connections with an unanswered request as if each was refused.
func (i *Interceptor) Refuse(refusal Refusal) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.refusal = refusal
	if refusal == NoRefusal {
		return
	}
	for c := range i.connections {
		switch {
		case refusal == Unanswered:
			c.isSilent = true
		case c.pending != nil:
			closeAll(c.client)
		}
	}
}

// Requests returns the number of requests that have arrived.
func (i *Interceptor) Requests() int {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return i.requests
}

// accept serves connections until the listener is closed, and returns when all have ended.
func (i *Interceptor) accept(ctx context.Context) {
	var serving sync.WaitGroup
	defer serving.Wait()
	for {
		client, err := i.listener.Accept()
		if err != nil {
			return
		}
		serving.Go(func() {
			stop := context.AfterFunc(ctx, func() { closeAll(client) })
			defer stop()
			defer closeAll(client)
			i.serve(ctx, client)
		})
	}
}

// serve forwards one connection until either side closes it.
func (i *Interceptor) serve(ctx context.Context, client net.Conn) {
	dialer := net.Dialer{Timeout: time.Second}
	server, err := dialer.DialContext(ctx, "tcp4", i.upstream)
	if err != nil {
		return
	}
	c := &connection{client: client, server: server}
	i.mutex.Lock()
	i.connections[c] = struct{}{}
	i.mutex.Unlock()
	responsesEnded := make(chan struct{})
	go func() {
		defer close(responsesEnded)
		i.forwardResponses(c)
	}()
	i.forwardRequests(c)
	closeAll(server, client)
	<-responsesEnded
	i.mutex.Lock()
	delete(i.connections, c)
	i.mutex.Unlock()
}

// forwardRequests forwards or refuses the requests of a connection until the client closes it.
func (i *Interceptor) forwardRequests(c *connection) {
	requests := bufio.NewReader(c.client)
	for {
		r, err := http.ReadRequest(requests)
		if err != nil {
			return
		}
		i.mutex.Lock()
		i.requests++
		c.pending = r
		refusal, isSilent := i.refusal, c.isSilent
		if refusal == Unanswered {
			c.isSilent, isSilent = true, true
		}
		i.mutex.Unlock()
		switch {
		case isSilent:
			_, err = io.Copy(io.Discard, requests)
		case refusal == Unavailable:
			err = answer(c.client, "503 Service Unavailable")
		case refusal == TooManyRequests:
			err = answer(c.client, "429 Too Many Requests")
		case refusal == Reset:
			err = net.ErrClosed
		default:
			err = r.Write(c.server)
		}
		if err != nil || isSilent || refusal != NoRefusal {
			return
		}
	}
}

// answer writes a response without a body, after which the connection ends.
func answer(w io.Writer, status string) error {
	_, err := io.WriteString(w, "HTTP/1.1 "+status+"\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
	return err
}

// forwardResponses forwards what the server sends until it closes the connection. It closes that of
// the client then, unless that is silent.
func (i *Interceptor) forwardResponses(c *connection) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := c.server.Read(buffer)
		i.mutex.Lock()
		isSilent := c.isSilent
		if n > 0 && !isSilent {
			c.pending = nil
		}
		i.mutex.Unlock()
		if !isSilent && n > 0 {
			if _, writeErr := c.client.Write(buffer[:n]); writeErr != nil {
				err = errors.Join(err, writeErr)
			}
		}
		if err != nil {
			if !isSilent {
				closeAll(c.client)
			}
			return
		}
	}
}
