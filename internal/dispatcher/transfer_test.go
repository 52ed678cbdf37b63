package dispatcher

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"google.golang.org/grpc"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/encoder/wire"
	"github.com/fuchsiapitch/fuchsiapitch/internal/gossiper"
)

// snapshotServer responds to fetches with a handler, and refuses heartbeats.
type snapshotServer struct {
	wire.UnimplementedPeerServer
	wire.UnimplementedSnapshotsServer
	fetch func(context.Context) (*wire.ConfigurationSnapshot, error)
}

// Fetch implements wire.SnapshotsServer.
func (s *snapshotServer) Fetch(ctx context.Context, _ *wire.SnapshotRequest) (*wire.ConfigurationSnapshot, error) {
	return s.fetch(ctx)
}

func startSnapshotServer(t *testing.T, fetch func(context.Context) (*wire.ConfigurationSnapshot, error)) fuchsiapitch.Host {
	t.Helper()
	listener, grpcServer, s := listen(t), grpc.NewServer(), &snapshotServer{fetch: fetch}
	wire.RegisterPeerServer(grpcServer, s)
	wire.RegisterSnapshotsServer(grpcServer, s)
	go grpcServer.Serve(listener)
	t.Cleanup(grpcServer.Stop)
	return hostAt(listener.Addr())
}

// A snapshot of the size that the host list and the log may have is fetched.
func TestLargeSnapshotIsFetched(t *testing.T) {
	const documents, contentBytes = 6000, 1500
	host := startSnapshotServer(t, func(context.Context) (*wire.ConfigurationSnapshot, error) {
		snapshot := &wire.ConfigurationSnapshot{Offset: 7}
		for range documents {
			snapshot.Documents = append(snapshot.Documents, &wire.DocumentState{Content: make([]byte, contentBytes)})
		}
		return snapshot, nil
	})
	snapshot, err := newTestClient(t).FetchSnapshot(t.Context(), host, 0)
	if err != nil || len(snapshot.Entries) != documents {
		t.Errorf("got %d entries and error %v, want %d and none", len(snapshot.Entries), err, documents)
	}
}

// A heartbeat that fails does not cut off a snapshot that is being transferred: a
// transfer that fills the link is what delays the heartbeat.
func TestFailedHeartbeatDoesNotAbortSnapshot(t *testing.T) {
	const timeout = 50 * time.Millisecond
	fetching := make(chan struct{})
	host := startSnapshotServer(t, func(ctx context.Context) (*wire.ConfigurationSnapshot, error) {
		close(fetching)
		select {
		case <-time.After(10 * timeout):
			return &wire.ConfigurationSnapshot{Offset: 7}, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	})
	c := newTestClient(t, WithFrameTimeout(timeout))
	fetched := make(chan error)
	go func() {
		_, err := c.FetchSnapshot(t.Context(), host, 0)
		fetched <- err
	}()
	<-fetching
	if _, err := c.SendHeartbeat(t.Context(), host, gossiper.Heartbeat{}); err == nil {
		t.Error("heartbeat: got no error, want one")
	}
	if err := <-fetched; err != nil {
		t.Errorf("fetch: got error %v, want none", err)
	}
}

// A request without frames does not cut off the others of its rank whose frames arrive.
func TestSilentRequestDoesNotAbortOthers(t *testing.T) {
	const timeout = 300 * time.Millisecond
	streaming := make(chan struct{}, 1)
	streaming <- struct{}{}
	started := make(chan struct{})
	_, _, host := startScriptedDispatcher(t, func(stream grpc.ServerStreamingServer[wire.DispatchFrame]) error {
		select {
		case <-streaming:
		default:
			<-stream.Context().Done()
			return nil
		}
		close(started)
		for range 40 {
			time.Sleep(timeout / 10)
			if err := stream.Send(&wire.DispatchFrame{}); err != nil {
				return err
			}
		}
		return sendSuccess(stream)
	})
	c := newTestClient(t, WithFrameTimeout(timeout))
	streamed := make(chan error)
	go func() { streamed <- dispatch(t, c, host) }()
	<-started
	if _, ok := errors.AsType[*FrameTimeoutError](dispatch(t, c, host)); !ok {
		t.Error("silent request: got no frame time-out, want one")
	}
	if err := <-streamed; err != nil {
		t.Errorf("request with frames: got error %v, want none", err)
	}
}

// slowLink passes connections on to an address. It passes 0.8 MB/s towards the server.
func slowLink(t *testing.T, address string) net.Listener {
	t.Helper()
	listener := listen(t)
	go func() {
		for {
			clientConn, err := listener.Accept()
			if err != nil {
				return
			}
			serverConn, err := net.Dial("tcp", address)
			if err != nil {
				clientConn.Close()
				return
			}
			go func() { io.Copy(clientConn, serverConn); clientConn.Close() }()
			go func() {
				defer serverConn.Close()
				for {
					if _, err := io.CopyN(serverConn, clientConn, 16<<10); err != nil {
						return
					}
					time.Sleep(20 * time.Millisecond)
				}
			}()
		}
	}()
	return listener
}

// A request whose body is being sent is not silent, however slow the link is. The
// dispatcher sends no frame before it has the whole request.
func TestSlowRequestBodyIsNotSilence(t *testing.T) {
	const bodyBytes = 1 << 20
	s, _, host := startScriptedDispatcher(t, sendSuccess)
	link := slowLink(t, host.Address())
	c := newTestClient(t, WithFrameTimeout(500*time.Millisecond))
	request := fuchsiapitch.NewRequest("r1", "taller-app", "customer", "chat")
	call := fuchsiapitch.NewCall("r1", "POST", "/", bytes.Repeat([]byte("x"), bodyBytes))
	if _, err := c.Dispatch(t.Context(), hostAt(link.Addr()), request, call); err != nil {
		t.Errorf("got error %v, want none", err)
	}
	assertRequestCount(t, s, 1)
}
