package dispatcher

import (
	"context"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/stats"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/encoder/wire"
)

// connectionEnds reports the end of each connection of a server.
type connectionEnds struct{ ended chan struct{} }

// TagRPC implements stats.Handler.
func (connectionEnds) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

// HandleRPC implements stats.Handler.
func (connectionEnds) HandleRPC(context.Context, stats.RPCStats) {}

// TagConn implements stats.Handler.
func (connectionEnds) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn implements stats.Handler.
func (e connectionEnds) HandleConn(_ context.Context, event stats.ConnStats) {
	if _, ok := event.(*stats.ConnEnd); ok {
		e.ended <- struct{}{}
	}
}

// startFrameServer starts a dispatcher that sends a start frame and then, until the
// exchange ends, a keepalive frame each millisecond.
func startFrameServer(t *testing.T) (fuchsiapitch.Host, <-chan struct{}) {
	t.Helper()
	ends := connectionEnds{make(chan struct{}, 1)}
	listener, grpcServer := listen(t), grpc.NewServer(grpc.StatsHandler(ends))
	wire.RegisterPeerServer(grpcServer, &scriptedDispatcher{handler: func(stream grpc.ServerStreamingServer[wire.DispatchFrame]) error {
		err := stream.Send(startFrame())
		for err == nil {
			time.Sleep(time.Millisecond)
			err = stream.Send(&wire.DispatchFrame{})
		}
		return err
	}})
	served := make(chan error)
	go func() { served <- grpcServer.Serve(listener) }()
	t.Cleanup(func() {
		grpcServer.Stop()
		if err := <-served; err != nil {
			t.Errorf("serve: got error %v, want none", err)
		}
	})
	return hostAt(listener.Addr()), ends.ended
}

func openExchange(t *testing.T, c *Client, host fuchsiapitch.Host) fuchsiapitch.BackendResponse {
	t.Helper()
	request := fuchsiapitch.NewRequest("r1", "taller-app", "customer", "chat")
	response, err := c.Dispatch(t.Context(), host, request, fuchsiapitch.NewCall("r1", "POST", "/", nil))
	if err != nil {
		t.Fatalf("dispatch: got error %v, want none", err)
	}
	return response
}

func retireAll(c *Client) {
	for key, pc := range c.connections {
		c.retire(key, pc)
	}
}

func assertRetiredCount(t *testing.T, c *Client, want int) {
	t.Helper()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if got := len(c.retired); got != want {
		t.Errorf("got %d retired connections, want %d", got, want)
	}
}

func TestRetiredConnectionIsClosed(t *testing.T) {
	t.Run("when its last exchange has ended", func(t *testing.T) {
		host, ended := startFrameServer(t)
		c := newTestClient(t)
		first, second := openExchange(t, c, host), openExchange(t, c, host)
		retireAll(c)
		first.Body().Close()
		first.Body().Close()
		assertRetiredCount(t, c, 1)
		second.Body().Close()
		<-ended
		assertRetiredCount(t, c, 0)
	})
	t.Run("at the end of its lifetime", func(t *testing.T) {
		host, ended := startFrameServer(t)
		c := newTestClient(t)
		c.retiredLifetime = 50 * time.Millisecond
		response := openExchange(t, c, host)
		retireAll(c)
		if _, err := response.Body().Next(); err == nil {
			t.Error("got no error from an exchange without end, want one")
		}
		<-ended
		assertRetiredCount(t, c, 0)
	})
	t.Run("with the client", func(t *testing.T) {
		host, ended := startFrameServer(t)
		c := newTestClient(t)
		response := openExchange(t, c, host)
		defer response.Body().Close()
		retireAll(c)
		c.close()
		<-ended
		assertRetiredCount(t, c, 0)
	})
}
