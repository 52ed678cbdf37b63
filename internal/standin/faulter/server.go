// Package faulter serves HTTP on a loopback port and breaks on demand. Every
// stand-in of an outside system is served by it.
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
	// FaultsPath takes faults over HTTP.
	FaultsPath = "/faults"

	loopback          = "127.0.0.1:0"
	readHeaderTimeout = 10 * time.Second
)

// ListenError reports that a stand-in could not open its port.
type ListenError struct {
	// Address is the address that was asked for.
	Address string
	// Err is the underlying error.
	Err error
}

// Error implements error.
func (e *ListenError) Error() string { return "listen on " + e.Address + ": " + e.Err.Error() }

// Unwrap returns the underlying error.
func (e *ListenError) Unwrap() error { return e.Err }

// Server serves a handler on a loopback port, with faults.
type Server struct {
	handler http.Handler
	address string
	gate    *gate
	answers answerFaults
	traffic counter.Counter

	mu          sync.Mutex
	server      *http.Server
	done        chan struct{}
	connections map[*connection]struct{}
	dead        bool
	strikes     map[string]Strike
}

// Start serves a handler on a free loopback port. The clean-up function closes
// the port and every connection and waits for the end of the server.
func Start(handler http.Handler) (*Server, func(), error) {
	s := &Server{
		handler: handler, gate: newGate(), address: loopback,
		connections: make(map[*connection]struct{}),
	}
	if err := s.listen(); err != nil {
		return nil, nil, err
	}
	return s, s.Die, nil
}

// Address returns the IP number and port.
func (s *Server) Address() string { return s.address }

// Traffic returns the bytes that have travelled, with the overhead of IP and TCP.
func (s *Server) Traffic() int64 { return s.traffic.Wire() }

// Dead reports whether the server was made to die and not revived.
func (s *Server) Dead() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dead
}

// Connections returns the number of open connections.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.connections)
}

func (s *Server) listen() error {
	var config net.ListenConfig
	plain, err := config.Listen(context.Background(), "tcp", s.address)
	if err != nil {
		return &ListenError{Address: s.address, Err: err}
	}
	s.address = plain.Addr().String()
	server := &http.Server{Handler: http.HandlerFunc(s.serve), ReadHeaderTimeout: readHeaderTimeout}
	done := make(chan struct{})
	s.server, s.done, s.dead = server, done, false
	go func() {
		defer close(done)
		_ = server.Serve(&listener{Listener: s.traffic.Listen(plain), owner: s})
	}()
	return nil
}

// Die closes the port and every connection, as the end of the process does.
func (s *Server) Die() {
	s.mu.Lock()
	server, done, dead := s.server, s.done, s.dead
	s.dead = true
	s.mu.Unlock()
	if dead {
		return
	}
	_ = server.Close()
	<-done
	for _, c := range s.open() {
		_ = c.Close()
	}
	s.Resume()
}

// Revive opens the same port again after Die.
func (s *Server) Revive() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.dead {
		return nil
	}
	return s.listen()
}

func (s *Server) open() []*connection {
	s.mu.Lock()
	defer s.mu.Unlock()
	var open []*connection
	for c := range s.connections {
		open = append(open, c)
	}
	return open
}

// Pause freezes the server: its port still takes connections, but nothing is
// read, run or written until Resume.
func (s *Server) Pause() { s.gate.shut() }

// Resume ends a pause.
func (s *Server) Resume() { s.gate.open() }

// AwaitRunning waits while the server is paused. It returns false when the
// context ended first.
func (s *Server) AwaitRunning(ctx context.Context) bool {
	select {
	case <-s.gate.passage():
		return true
	case <-ctx.Done():
		return false
	}
}

// Silence makes the connections that are now open lose every byte in both
// directions for good. New connections work.
func (s *Server) Silence() {
	for _, c := range s.open() {
		c.silent.Store(true)
	}
}

func (s *Server) track(c *connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.connections[c] = struct{}{}
}

func (s *Server) forget(c *connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.connections, c)
}
