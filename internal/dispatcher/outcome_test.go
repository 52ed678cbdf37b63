package dispatcher

import (
	"context"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/net/http2"
	"google.golang.org/grpc"
	"google.golang.org/grpc/health"
	"google.golang.org/grpc/health/grpc_health_v1"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/encoder/wire"
)

// scriptedDispatcher counts its requests and responds to each with a handler.
type scriptedDispatcher struct {
	wire.UnimplementedPeerServer
	requestCount atomic.Int64
	handler      func(stream grpc.ServerStreamingServer[wire.DispatchFrame]) error
}

// Dispatch implements wire.PeerServer.
func (s *scriptedDispatcher) Dispatch(_ *wire.DispatchRequest, stream grpc.ServerStreamingServer[wire.DispatchFrame]) error {
	s.requestCount.Add(1)
	return s.handler(stream)
}

func startFrame() *wire.DispatchFrame {
	return &wire.DispatchFrame{Frame: &wire.DispatchFrame_Start{Start: &wire.Start{Status: 200}}}
}

func endFrame(outcome fuchsiapitch.Outcome) *wire.DispatchFrame {
	return &wire.DispatchFrame{Frame: &wire.DispatchFrame_End{End: &wire.End{Outcome: int32(outcome)}}}
}

func sendSuccess(stream grpc.ServerStreamingServer[wire.DispatchFrame]) error {
	return errors.Join(stream.Send(startFrame()), stream.Send(endFrame(fuchsiapitch.OutcomeSucceeded)))
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listen: got error %v", err)
	}
	t.Cleanup(func() { listener.Close() })
	return listener
}

func startScriptedDispatcher(t *testing.T, handler func(grpc.ServerStreamingServer[wire.DispatchFrame]) error) (*scriptedDispatcher, *grpc.Server, fuchsiapitch.Host) {
	t.Helper()
	listener, grpcServer, s := listen(t), grpc.NewServer(), &scriptedDispatcher{handler: handler}
	wire.RegisterPeerServer(grpcServer, s)
	grpc_health_v1.RegisterHealthServer(grpcServer, health.NewServer())
	go grpcServer.Serve(listener)
	t.Cleanup(grpcServer.Stop)
	return s, grpcServer, hostAt(listener.Addr())
}

func hostAt(address net.Addr) fuchsiapitch.Host {
	return fuchsiapitch.NewHost("host-b", address.String(), "gt-xela", 1)
}

func newTestClient(t *testing.T, options ...ClientOption) *Client {
	t.Helper()
	c, closeClient := NewClient(fuchsiapitch.NewHost("host-a", "127.0.0.1:1", "gt-xela", 1), options...)
	t.Cleanup(closeClient)
	return c
}

// dispatch forwards one request that is not idempotent and reads its response to
// the end.
func dispatch(t *testing.T, c *Client, host fuchsiapitch.Host) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	request := fuchsiapitch.NewRequest("r1", "taller-app", "customer", "chat")
	got, err := c.Dispatch(ctx, host, request, fuchsiapitch.NewCall("r1", "POST", "/", nil))
	for err == nil {
		_, err = got.Body().Next()
	}
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

func assertOutcome(t *testing.T, err error, want fuchsiapitch.Outcome) {
	t.Helper()
	dispatchErr, ok := errors.AsType[*fuchsiapitch.DispatchError](err)
	if !ok || dispatchErr.Outcome != want {
		t.Fatalf("got error %v, want a dispatch error with outcome %s", err, want)
	}
}

func assertRequestCount(t *testing.T, s *scriptedDispatcher, want int64) {
	t.Helper()
	if got := s.requestCount.Load(); got != want {
		t.Errorf("got %d requests at the dispatcher, want %d", got, want)
	}
}

func TestOutcome(t *testing.T) {
	t.Run("nothing listens", func(t *testing.T) {
		listener := listen(t)
		listener.Close()
		assertOutcome(t, dispatch(t, newTestClient(t), hostAt(listener.Addr())), fuchsiapitch.OutcomeNotRun)
	})
	t.Run("a listener that speaks no protocol", func(t *testing.T) {
		listener := listen(t)
		assertOutcome(t, dispatch(t, newTestClient(t), hostAt(listener.Addr())), fuchsiapitch.OutcomeNotRun)
	})
	t.Run("the connection is lost while the request runs", func(t *testing.T) {
		var grpcServer *grpc.Server
		s, startedServer, host := startScriptedDispatcher(t, func(stream grpc.ServerStreamingServer[wire.DispatchFrame]) error {
			go grpcServer.Stop()
			<-stream.Context().Done()
			return stream.Context().Err()
		})
		grpcServer = startedServer
		assertOutcome(t, dispatch(t, newTestClient(t), host), fuchsiapitch.OutcomeUnknown)
		assertRequestCount(t, s, 1)
	})
	t.Run("the connection is lost within the response", func(t *testing.T) {
		var grpcServer *grpc.Server
		s, startedServer, host := startScriptedDispatcher(t, func(stream grpc.ServerStreamingServer[wire.DispatchFrame]) error {
			err := stream.Send(startFrame())
			go grpcServer.Stop()
			<-stream.Context().Done()
			return err
		})
		grpcServer = startedServer
		assertOutcome(t, dispatch(t, newTestClient(t), host), fuchsiapitch.OutcomeUnknown)
		assertRequestCount(t, s, 1)
	})
	t.Run("an answer without its end is not whole", func(t *testing.T) {
		_, _, host := startScriptedDispatcher(t, func(stream grpc.ServerStreamingServer[wire.DispatchFrame]) error { return stream.Send(startFrame()) })
		assertOutcome(t, dispatch(t, newTestClient(t), host), fuchsiapitch.OutcomeUnknown)
	})
	t.Run("the dispatcher says that it did not run the request", func(t *testing.T) {
		_, _, host := startScriptedDispatcher(t, func(stream grpc.ServerStreamingServer[wire.DispatchFrame]) error {
			return stream.Send(endFrame(fuchsiapitch.OutcomeNotRun))
		})
		assertOutcome(t, dispatch(t, newTestClient(t), host), fuchsiapitch.OutcomeNotRun)
	})
	t.Run("a stopped dispatcher", func(t *testing.T) {
		s, grpcServer, host := startScriptedDispatcher(t, sendSuccess)
		c := newTestClient(t)
		if err := dispatch(t, c, host); err != nil {
			t.Fatalf("got error %v from a running dispatcher", err)
		}
		grpcServer.GracefulStop()
		assertOutcome(t, dispatch(t, c, host), fuchsiapitch.OutcomeNotRun)
		assertRequestCount(t, s, 1)
	})
}

// refuseHTTP2Streams accepts HTTP/2 connections and processes no stream. For each
// stream it sends a GOAWAY frame that says that no stream was processed or, without
// sendGoAway, closes the connection.
func refuseHTTP2Streams(listener net.Listener, headerCount *atomic.Int64, sendGoAway bool) {
	for {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			io.ReadFull(c, make([]byte, len(http2.ClientPreface)))
			framer := http2.NewFramer(c, c)
			framer.WriteSettings()
			for {
				f, err := framer.ReadFrame()
				if err != nil {
					return
				}
				if _, ok := f.(*http2.HeadersFrame); ok {
					headerCount.Add(1)
					if sendGoAway {
						framer.WriteGoAway(0, http2.ErrCodeNo, nil)
						continue
					}
					return
				}
			}
		}()
	}
}

// TestTransparentRetry shows which attempts grpc-go repeats transparently although
// its retries are disabled.
func TestTransparentRetry(t *testing.T) {
	t.Run("a stream that the server reports as not processed is sent again", func(t *testing.T) {
		listener, headerCount := listen(t), new(atomic.Int64)
		go refuseHTTP2Streams(listener, headerCount, true)
		err := dispatch(t, newTestClient(t), hostAt(listener.Addr()))
		if err == nil || headerCount.Load() != 2 {
			t.Errorf("got error %v and %d attempts, want 2", err, headerCount.Load())
		}
	})
	t.Run("a stream whose connection closes without GOAWAY is not sent again", func(t *testing.T) {
		listener, headerCount := listen(t), new(atomic.Int64)
		go refuseHTTP2Streams(listener, headerCount, false)
		assertOutcome(t, dispatch(t, newTestClient(t), hostAt(listener.Addr())), fuchsiapitch.OutcomeUnknown)
		if got := headerCount.Load(); got != 1 {
			t.Errorf("got %d attempts, want 1", got)
		}
	})
}

func TestSilence(t *testing.T) {
	const timeout = 500 * time.Millisecond
	t.Run("a silent exchange is given up and its connection replaced", func(t *testing.T) {
		s, _, host := startScriptedDispatcher(t, func(stream grpc.ServerStreamingServer[wire.DispatchFrame]) error {
			<-stream.Context().Done()
			return nil
		})
		c := newTestClient(t, WithFrameTimeout(timeout))
		err := dispatch(t, c, host)
		assertOutcome(t, err, fuchsiapitch.OutcomeUnknown)
		if _, ok := errors.AsType[*FrameTimeoutError](err); !ok {
			t.Errorf("got error %v, want a frame timeout", err)
		}
		if len(c.connections) != 0 {
			t.Error("connection that timed out is still in use")
		}
		assertRequestCount(t, s, 1)
	})
	t.Run("a long wait with empty frames is no silence", func(t *testing.T) {
		_, _, host := startScriptedDispatcher(t, func(stream grpc.ServerStreamingServer[wire.DispatchFrame]) error {
			frames, stopKeepalive := newFrameStream(stream, timeout/10)
			defer stopKeepalive()
			time.Sleep(2 * timeout)
			return errors.Join(frames.send(startFrame()), frames.send(endFrame(fuchsiapitch.OutcomeSucceeded)))
		})
		if err := dispatch(t, newTestClient(t, WithFrameTimeout(timeout)), host); err != nil {
			t.Errorf("got error %v, want a complete response", err)
		}
	})
	t.Run("an idle connection is proved before it is used", func(t *testing.T) {
		s, _, host := startScriptedDispatcher(t, sendSuccess)
		c := newTestClient(t)
		if err := dispatch(t, c, host); err != nil {
			t.Fatalf("got error %v", err)
		}
		key := connectionKey{address: host.Address(), trafficClass: "chat"}
		silentListener := listen(t)
		silentConn, err := grpc.NewClient("passthrough:///"+silentListener.Addr().String(), grpc.WithTransportCredentials(c.credentials))
		if err != nil {
			t.Fatalf("got error %v", err)
		}
		c.connections[key] = &peerConnection{clientConn: silentConn}
		if err := dispatch(t, c, host); err != nil {
			t.Errorf("got error %v, want the response on a new connection", err)
		}
		assertRequestCount(t, s, 2)
	})
}
