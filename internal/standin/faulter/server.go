// Package faulter serves HTTP on a loopback port with fault injection. It serves
// every stand-in for an outside system.
package faulter

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch/internal/standin/counter"
)

const (
	// FaultsPath is the path of the endpoint that injects faults.
	FaultsPath = "/faults"

	loopbackAddress   = "127.0.0.1:0"
	readHeaderTimeout = 10 * time.Second
)

// ListenError reports that a stand-in could not listen on its address.
type ListenError struct {
	// Address is the requested address.
	Address string
	// Err is the underlying error.
	Err error
}

// Error implements error.
func (e *ListenError) Error() string { return "listen on " + e.Address + ": " + e.Err.Error() }

// Unwrap returns the underlying error.
func (e *ListenError) Unwrap() error { return e.Err }

// Server serves a handler on a loopback port and injects faults.
type Server struct {
	handler       http.Handler
	address       string
	pauseGate     *gate
	pendingFaults responseFaults
	wireCounter   counter.Counter

	mu           sync.Mutex
	httpServer   *http.Server
	listener     *listener
	serveDone    chan struct{}
	connections  map[*connection]struct{}
	isDead       bool
	customFaults map[string]FaultFunc
}

// Start serves a handler on a free loopback port. The returned function closes the
// port and all connections and waits until the server has stopped.
func Start(handler http.Handler) (*Server, func(), error) {
	s := &Server{
		handler: handler, pauseGate: newGate(), address: loopbackAddress,
		connections: make(map[*connection]struct{}),
	}
	if err := s.listen(); err != nil {
		return nil, nil, err
	}
	return s, s.Kill, nil
}

// Address returns the IP address and port.
func (s *Server) Address() string { return s.address }

// WireBytes returns the number of bytes received and sent, with the IP and TCP
// headers.
func (s *Server) WireBytes() int64 { return s.wireCounter.WireBytes() }

// Dead reports whether Kill was called and Restart was not called since.
func (s *Server) Dead() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isDead
}

// ConnectionCount returns the number of open connections.
func (s *Server) ConnectionCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.connections)
}

func (s *Server) listen() error {
	var config net.ListenConfig
	tcpListener, err := config.Listen(context.Background(), "tcp", s.address)
	if err != nil {
		return &ListenError{Address: s.address, Err: err}
	}
	s.address = tcpListener.Addr().String()
	server := &http.Server{Handler: http.HandlerFunc(s.serve), ReadHeaderTimeout: readHeaderTimeout}
	serveDone := make(chan struct{})
	l := &listener{
		Listener: s.wireCounter.CountConnections(tcpListener), faultServer: s, tcp: tcpListener.(*net.TCPListener),
		gate: newGate(), closed: make(chan struct{}),
	}
	s.httpServer, s.listener, s.serveDone, s.isDead = server, l, serveDone, false
	go func() {
		defer close(serveDone)
		_ = server.Serve(l)
	}()
	return nil
}

// Kill closes the port and all connections, as a crash of the process does.
func (s *Server) Kill() {
	s.mu.Lock()
	server, serveDone, wasDead := s.httpServer, s.serveDone, s.isDead
	s.isDead = true
	s.mu.Unlock()
	if wasDead {
		return
	}
	_ = server.Close()
	<-serveDone
	for _, c := range s.openConnections() {
		_ = c.Close()
	}
	s.Resume()
}

// Restart listens on the same port again after Kill.
func (s *Server) Restart() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.isDead {
		return nil
	}
	return s.listen()
}

func (s *Server) openConnections() []*connection {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []*connection
	for c := range s.connections {
		list = append(list, c)
	}
	return list
}

// Pause suspends the server: the port still accepts connections, but nothing is read,
// processed or written until Resume.
func (s *Server) Pause() { s.pauseGate.shut() }

// Resume ends a pause.
func (s *Server) Resume() { s.pauseGate.open() }

// AwaitUnpaused blocks while the server is paused. It returns false if the context ends
// first.
func (s *Server) AwaitUnpaused(ctx context.Context) bool {
	select {
	case <-s.pauseGate.whenOpen():
		return true
	case <-ctx.Done():
		return false
	}
}

// SilenceConnections makes the connections that are open now drop all data in both
// directions. They stay open and silent. New connections are not affected.
func (s *Server) SilenceConnections() {
	for _, c := range s.openConnections() {
		c.isSilent.Store(true)
	}
}

func (s *Server) addConnection(c *connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.connections[c] = struct{}{}
}

func (s *Server) removeConnection(c *connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.connections, c)
}
