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

// scripted is a dispatcher that counts its requests and follows a script.
type scripted struct {
	wire.UnimplementedPeerServer
	requests atomic.Int64
	run      func(stream grpc.ServerStreamingServer[wire.DispatchFrame]) error
}

// Dispatch implements wire.PeerServer.
func (s *scripted) Dispatch(_ *wire.DispatchRequest, stream grpc.ServerStreamingServer[wire.DispatchFrame]) error {
	s.requests.Add(1)
	return s.run(stream)
}

func startFrame() *wire.DispatchFrame {
	return &wire.DispatchFrame{Frame: &wire.DispatchFrame_Start{Start: &wire.Start{Status: 200}}}
}

func endFrame(outcome fuchsiapitch.Outcome) *wire.DispatchFrame {
	return &wire.DispatchFrame{Frame: &wire.DispatchFrame_End{End: &wire.End{Outcome: int32(outcome)}}}
}

func answer(stream grpc.ServerStreamingServer[wire.DispatchFrame]) error {
	return errors.Join(stream.Send(startFrame()), stream.Send(endFrame(fuchsiapitch.OutcomeSucceeded)))
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listen: got error %v", err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

func serveScript(t *testing.T, run func(grpc.ServerStreamingServer[wire.DispatchFrame]) error) (*scripted, *grpc.Server, fuchsiapitch.Host) {
	t.Helper()
	l, g, s := listen(t), grpc.NewServer(), &scripted{run: run}
	wire.RegisterPeerServer(g, s)
	grpc_health_v1.RegisterHealthServer(g, health.NewServer())
	go g.Serve(l)
	t.Cleanup(g.Stop)
	return s, g, hostAt(l.Addr())
}

func hostAt(address net.Addr) fuchsiapitch.Host {
	return fuchsiapitch.NewHost("host-b", address.String(), "gt-xela", 1)
}

func newTestClient(t *testing.T, options ...ClientOption) *Client {
	t.Helper()
	c, clean := NewClient(fuchsiapitch.NewHost("host-a", "127.0.0.1:1", "gt-xela", 1), options...)
	t.Cleanup(clean)
	return c
}

// dispatch hands over one booking and reads its answer to the end.
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
	lost, ok := errors.AsType[*fuchsiapitch.DispatchError](err)
	if !ok || lost.Outcome != want {
		t.Fatalf("got error %v, want a dispatch error with outcome %s", err, want)
	}
}

func assertRequests(t *testing.T, s *scripted, want int64) {
	t.Helper()
	if got := s.requests.Load(); got != want {
		t.Errorf("got %d requests at the dispatcher, want %d", got, want)
	}
}

func TestOutcome(t *testing.T) {
	t.Run("nothing listens", func(t *testing.T) {
		l := listen(t)
		l.Close()
		assertOutcome(t, dispatch(t, newTestClient(t), hostAt(l.Addr())), fuchsiapitch.OutcomeNotRun)
	})
	t.Run("a listener that speaks no protocol", func(t *testing.T) {
		l := listen(t)
		assertOutcome(t, dispatch(t, newTestClient(t), hostAt(l.Addr())), fuchsiapitch.OutcomeNotRun)
	})
	t.Run("the connection is lost while the request runs", func(t *testing.T) {
		var g *grpc.Server
		s, server, host := serveScript(t, func(stream grpc.ServerStreamingServer[wire.DispatchFrame]) error {
			go g.Stop()
			<-stream.Context().Done()
			return stream.Context().Err()
		})
		g = server
		assertOutcome(t, dispatch(t, newTestClient(t), host), fuchsiapitch.OutcomeUnknown)
		assertRequests(t, s, 1)
	})
	t.Run("the connection is lost within the answer", func(t *testing.T) {
		var g *grpc.Server
		s, server, host := serveScript(t, func(stream grpc.ServerStreamingServer[wire.DispatchFrame]) error {
			err := stream.Send(startFrame())
			go g.Stop()
			<-stream.Context().Done()
			return err
		})
		g = server
		assertOutcome(t, dispatch(t, newTestClient(t), host), fuchsiapitch.OutcomeUnknown)
		assertRequests(t, s, 1)
	})
	t.Run("an answer without its end is not whole", func(t *testing.T) {
		_, _, host := serveScript(t, func(stream grpc.ServerStreamingServer[wire.DispatchFrame]) error { return stream.Send(startFrame()) })
		assertOutcome(t, dispatch(t, newTestClient(t), host), fuchsiapitch.OutcomeUnknown)
	})
	t.Run("the dispatcher says that it did not run the request", func(t *testing.T) {
		_, _, host := serveScript(t, func(stream grpc.ServerStreamingServer[wire.DispatchFrame]) error {
			return stream.Send(endFrame(fuchsiapitch.OutcomeNotRun))
		})
		assertOutcome(t, dispatch(t, newTestClient(t), host), fuchsiapitch.OutcomeNotRun)
	})
	t.Run("a stopped dispatcher", func(t *testing.T) {
		s, g, host := serveScript(t, answer)
		c := newTestClient(t)
		if err := dispatch(t, c, host); err != nil {
			t.Fatalf("got error %v from a live dispatcher", err)
		}
		g.GracefulStop()
		assertOutcome(t, dispatch(t, c, host), fuchsiapitch.OutcomeNotRun)
		assertRequests(t, s, 1)
	})
}

// refuseStreams speaks HTTP/2 and states for each stream that it was not looked
// at, by a GOAWAY or, when silent, by a bare loss of the connection.
func refuseStreams(l net.Listener, headers *atomic.Int64, goAway bool) {
	for {
		c, err := l.Accept()
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
					headers.Add(1)
					if goAway {
						framer.WriteGoAway(0, http2.ErrCodeNo, nil)
						continue
					}
					return
				}
			}
		}()
	}
}

// TestTransparentRetry shows which attempts grpc-go repeats by itself, with its
// retries switched off.
func TestTransparentRetry(t *testing.T) {
	t.Run("a stream that the server did not look at is sent again", func(t *testing.T) {
		l, headers := listen(t), new(atomic.Int64)
		go refuseStreams(l, headers, true)
		err := dispatch(t, newTestClient(t), hostAt(l.Addr()))
		if err == nil || headers.Load() != 2 {
			t.Errorf("got error %v and %d attempts, want 2", err, headers.Load())
		}
	})
	t.Run("a stream that was lost without a word is not", func(t *testing.T) {
		l, headers := listen(t), new(atomic.Int64)
		go refuseStreams(l, headers, false)
		assertOutcome(t, dispatch(t, newTestClient(t), hostAt(l.Addr())), fuchsiapitch.OutcomeUnknown)
		if got := headers.Load(); got != 1 {
			t.Errorf("got %d attempts, want 1", got)
		}
	})
}

func TestSilence(t *testing.T) {
	const limit = 500 * time.Millisecond
	t.Run("a silent exchange is given up and its connection replaced", func(t *testing.T) {
		s, _, host := serveScript(t, func(stream grpc.ServerStreamingServer[wire.DispatchFrame]) error {
			<-stream.Context().Done()
			return nil
		})
		c := newTestClient(t, WithSilence(limit))
		err := dispatch(t, c, host)
		assertOutcome(t, err, fuchsiapitch.OutcomeUnknown)
		if _, ok := errors.AsType[*SilentPeerError](err); !ok {
			t.Errorf("got error %v, want a silent peer", err)
		}
		if len(c.links) != 0 {
			t.Error("got a silent connection still in use")
		}
		assertRequests(t, s, 1)
	})
	t.Run("a long wait with empty frames is no silence", func(t *testing.T) {
		_, _, host := serveScript(t, func(stream grpc.ServerStreamingServer[wire.DispatchFrame]) error {
			frames, end := newFrameStream(stream, limit/10)
			defer end()
			time.Sleep(2 * limit)
			return errors.Join(frames.send(startFrame()), frames.send(endFrame(fuchsiapitch.OutcomeSucceeded)))
		})
		if err := dispatch(t, newTestClient(t, WithSilence(limit)), host); err != nil {
			t.Errorf("got error %v, want a whole answer", err)
		}
	})
	t.Run("an idle connection is proved before it is used", func(t *testing.T) {
		s, _, host := serveScript(t, answer)
		c := newTestClient(t)
		if err := dispatch(t, c, host); err != nil {
			t.Fatalf("got error %v", err)
		}
		name := lane{address: host.Address(), name: "chat"}
		silent := listen(t)
		lost, err := grpc.NewClient("passthrough:///"+silent.Addr().String(), grpc.WithTransportCredentials(c.credentials))
		if err != nil {
			t.Fatalf("got error %v", err)
		}
		c.links[name] = &link{connection: lost}
		if err := dispatch(t, c, host); err != nil {
			t.Errorf("got error %v, want the answer on a new connection", err)
		}
		assertRequests(t, s, 2)
	})
}
