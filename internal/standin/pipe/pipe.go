// Package pipe is a stand-in for a network: HTTP servers and clients in one process, connected
// without sockets, so that tests with synthetic time can use them.
package pipe

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

// Listener is a net.Listener for connections within the process.
type Listener struct {
	connections chan net.Conn
	closed      chan struct{}
	closeOnce   sync.Once
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.connections:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *Listener) Addr() net.Addr { return &net.UnixAddr{Name: "pipe"} }

// Dial connects to the listener, whatever the address.
func (l *Listener) Dial(ctx context.Context, _, _ string) (net.Conn, error) {
	client, server := net.Pipe()
	select {
	case l.connections <- server:
		return client, nil
	case <-l.closed:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Serve serves a handler and returns a transport whose connections lead to it, and a function
// that waits for the requests in progress and ends both.
func Serve(handler http.Handler) (*http.Transport, func() error) {
	l := &Listener{connections: make(chan net.Conn), closed: make(chan struct{})}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	serveResult := make(chan error, 1)
	go func() { serveResult <- server.Serve(l) }()
	transport := &http.Transport{DialContext: l.Dial}
	return transport, func() error {
		transport.CloseIdleConnections()
		err := server.Shutdown(context.Background())
		if serveErr := <-serveResult; !errors.Is(serveErr, http.ErrServerClosed) {
			return serveErr
		}
		return err
	}
}

// WriteSlowly writes a body in a number of chunks, one after each interval. It stops when the
// client has left.
func WriteSlowly(w http.ResponseWriter, body []byte, chunks int, interval time.Duration) {
	size := len(body)/chunks + 1
	for ; len(body) > 0; body = body[min(size, len(body)):] {
		time.Sleep(interval)
		if _, err := w.Write(body[:min(size, len(body))]); err != nil {
			return
		}
		if err := http.NewResponseController(w).Flush(); err != nil {
			return
		}
	}
}
