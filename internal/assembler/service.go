package assembler

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/gravitational/trace"
	"github.com/thejerf/suture/v4"

	"github.com/fuchsiapitch/fuchsiapitch/internal/acceptor"
)

// supervisedServer gives a server function a name for the supervisor.
type supervisedServer struct {
	name  string
	serve func(context.Context) error
}

func newSupervisedServer(name string, serve func(context.Context) error) suture.Service {
	return &supervisedServer{name: name, serve: serve}
}

// Serve implements suture.Service.
func (s *supervisedServer) Serve(ctx context.Context) error { return s.serve(ctx) }

// String implements fmt.Stringer. The supervisor logs the name.
func (s *supervisedServer) String() string { return s.name }

// httpServer serves HTTP on a listener.
type httpServer interface {
	Serve(listener net.Listener) error
	Close() error
}

// serveHTTP runs an HTTP server until the context ends or the server is shut down.
// After a shutdown the supervisor does not restart it.
func serveHTTP(ctx context.Context, server httpServer, listener net.Listener) error {
	serveResult := make(chan error, 1)
	go func() { serveResult <- server.Serve(listener) }()
	select {
	case err := <-serveResult:
		if errors.Is(err, http.ErrServerClosed) {
			return suture.ErrDoNotRestart
		}
		return trace.Wrap(err)
	case <-ctx.Done():
		_ = server.Close()
		return errors.Join(ctx.Err(), ignoreServerClosed(<-serveResult))
	}
}

// servePeers runs the gRPC server until the context ends or the server is stopped.
// After a stop the supervisor does not restart it.
func (e *EntryHost) servePeers(ctx context.Context) error {
	serveResult := make(chan error, 1)
	listener := acceptor.NewHandshakeListener(e.listeners.Peers, acceptor.MaxInternalConnections(maxDescriptors(e.assemblerLogger)), e.rootLogger.For("acceptor"), e.meter)
	go func() { serveResult <- e.peerServer.Serve(listener) }()
	select {
	case err := <-serveResult:
		if err == nil {
			return suture.ErrDoNotRestart
		}
		return trace.Wrap(err)
	case <-ctx.Done():
		e.peerServer.Stop()
		return errors.Join(ctx.Err(), ignoreServerClosed(<-serveResult))
	}
}

// sleep waits for a duration or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// ignoreServerClosed returns nil for the error that a closed HTTP server returns.
func ignoreServerClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
