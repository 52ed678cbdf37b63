package assembler

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/gravitational/trace"
	"github.com/thejerf/suture/v4"
)

// service names a function for the supervisor.
type service struct {
	name  string
	serve func(context.Context) error
}

func newService(name string, serve func(context.Context) error) suture.Service {
	return &service{name: name, serve: serve}
}

// Serve implements suture.Service.
func (s *service) Serve(ctx context.Context) error { return s.serve(ctx) }

// String implements fmt.Stringer for the supervisor's log.
func (s *service) String() string { return s.name }

// serveHTTP runs an HTTP server until the context ends or the server is shut
// down.
func serveHTTP(ctx context.Context, server *http.Server, listener net.Listener) error {
	ended := make(chan error, 1)
	go func() {
		if server.TLSConfig != nil {
			ended <- server.ServeTLS(listener, "", "")
			return
		}
		ended <- server.Serve(listener)
	}()
	select {
	case err := <-ended:
		if errors.Is(err, http.ErrServerClosed) {
			return suture.ErrDoNotRestart
		}
		return trace.Wrap(err)
	case <-ctx.Done():
		_ = server.Close()
		return errors.Join(ctx.Err(), ignoreClosed(<-ended))
	}
}

// servePeers runs the gRPC server until the context ends.
func (e *EntryHost) servePeers(ctx context.Context) error {
	ended := make(chan error, 1)
	go func() { ended <- e.peers.Serve(e.listeners.Peers) }()
	select {
	case err := <-ended:
		if err == nil {
			return suture.ErrDoNotRestart
		}
		return trace.Wrap(err)
	case <-ctx.Done():
		e.peers.Stop()
		return errors.Join(ctx.Err(), ignoreClosed(<-ended))
	}
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// ignoreClosed returns nil for the report of a server that it was closed.
func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
