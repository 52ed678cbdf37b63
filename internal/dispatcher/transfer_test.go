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
	"google.golang.org/grpc/health"
	"google.golang.org/grpc/health/grpc_health_v1"

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

// stallingLink passes connections on to an address. Each passes a number of bytes
// towards the client, and the rest only when the test has ended.
func stallingLink(t *testing.T, address string, passedBytes int64) net.Listener {
	t.Helper()
	listener := listen(t)
	ctx := t.Context()
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
			go func() { io.Copy(serverConn, clientConn); serverConn.Close() }()
			go func() {
				defer clientConn.Close()
				if _, err := io.CopyN(clientConn, serverConn, passedBytes); err == nil {
					<-ctx.Done()
				}
			}()
		}
	}()
	return listener
}

// A heartbeat does not wait behind the bytes of a snapshot.
func TestHeartbeatPassesSnapshot(t *testing.T) {
	const passedBytes = 64 << 10
	fetching := make(chan struct{})
	listener, grpcServer := listen(t), grpc.NewServer()
	s := &beatingServer{snapshotServer{fetch: func(context.Context) (*wire.ConfigurationSnapshot, error) {
		defer close(fetching)
		return &wire.ConfigurationSnapshot{Documents: []*wire.DocumentState{{Content: make([]byte, 4*passedBytes)}}}, nil
	}}}
	wire.RegisterPeerServer(grpcServer, s)
	wire.RegisterSnapshotsServer(grpcServer, s)
	go grpcServer.Serve(listener)
	t.Cleanup(grpcServer.Stop)
	host := hostAt(stallingLink(t, listener.Addr().String(), passedBytes).Addr())
	c := newTestClient(t)
	ctx, cancel := context.WithCancel(t.Context())
	fetched := make(chan error)
	go func() {
		_, err := c.FetchSnapshot(ctx, host, 0)
		fetched <- err
	}()
	<-fetching
	time.Sleep(100 * time.Millisecond)
	heartbeatContext, cancelHeartbeat := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancelHeartbeat()
	if _, err := c.SendHeartbeat(heartbeatContext, host, gossiper.Heartbeat{}); err != nil {
		t.Errorf("heartbeat: got error %v, want none", err)
	}
	cancel()
	if err := <-fetched; err == nil {
		t.Error("fetch: got no error, want one: the snapshot was to stall")
	}
}

// beatingServer is a snapshotServer that accepts heartbeats.
type beatingServer struct{ snapshotServer }

// Beat implements wire.PeerServer.
func (*beatingServer) Beat(context.Context, *wire.Heartbeat) (*wire.Heartbeat, error) {
	return &wire.Heartbeat{}, nil
}

// A connection for snapshots that has stopped to pass bytes is replaced.
func TestSnapshotConnectionIsReplaced(t *testing.T) {
	const contentBytes = 40 << 10
	listener, grpcServer := listen(t), grpc.NewServer()
	s := &beatingServer{snapshotServer{fetch: func(context.Context) (*wire.ConfigurationSnapshot, error) {
		return &wire.ConfigurationSnapshot{Documents: []*wire.DocumentState{{Content: make([]byte, contentBytes)}}}, nil
	}}}
	wire.RegisterSnapshotsServer(grpcServer, s)
	grpc_health_v1.RegisterHealthServer(grpcServer, health.NewServer())
	go grpcServer.Serve(listener)
	t.Cleanup(grpcServer.Stop)
	host := hostAt(stallingLink(t, listener.Addr().String(), contentBytes*3/2).Addr())
	c := newTestClient(t)
	if _, err := c.FetchSnapshot(t.Context(), host, 0); err != nil {
		t.Fatalf("first fetch: got error %v, want none", err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	if _, err := c.FetchSnapshot(ctx, host, 0); err == nil {
		t.Fatal("second fetch: got no error, want one: the link was to stall")
	}
	for _, pc := range c.connections {
		pc.lastResponseUnixNano.Store(0)
	}
	ctx, cancel = context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	if _, err := c.FetchSnapshot(ctx, host, 0); err != nil {
		t.Errorf("third fetch: got error %v, want none", err)
	}
	assertRetiredCount(t, c, 0)
}

// A request without a frame is given up although others have frames, and a large one
// after the time in which it may have been sent.
func TestSilentRequestTimesOut(t *testing.T) {
	const timeout = 100 * time.Millisecond
	for name, bodyBytes := range map[string]int{"small": minUploadBytes - 1, "large": 4 * minUploadBytes} {
		t.Run(name, func(t *testing.T) {
			first := make(chan struct{}, 1)
			first <- struct{}{}
			_, _, host := startScriptedDispatcher(t, func(stream grpc.ServerStreamingServer[wire.DispatchFrame]) error {
				select {
				case <-first:
				default:
					<-stream.Context().Done()
					return nil
				}
				err := stream.Send(startFrame())
				for err == nil {
					time.Sleep(timeout / 20)
					err = stream.Send(&wire.DispatchFrame{})
				}
				return err
			})
			c := newTestClient(t, WithFrameTimeout(timeout))
			defer openExchange(t, c, host).Body().Close()
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			request := fuchsiapitch.NewRequest("r2", "taller-app", "customer", "chat")
			_, err := c.Dispatch(ctx, host, request, fuchsiapitch.NewCall("r2", "POST", "/", make([]byte, bodyBytes)))
			if _, ok := errors.AsType[*FrameTimeoutError](err); !ok {
				t.Errorf("got error %v, want a frame time-out", err)
			}
		})
	}
}
