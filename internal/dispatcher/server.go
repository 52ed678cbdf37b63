// Package dispatcher is the gRPC client and server for requests, heartbeats and
// configuration snapshots between entry hosts.
package dispatcher

import (
	"context"

	"google.golang.org/grpc"
	"google.golang.org/grpc/health"
	"google.golang.org/grpc/health/grpc_health_v1"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/encoder"
	"github.com/fuchsiapitch/fuchsiapitch/internal/encoder/wire"
	"github.com/fuchsiapitch/fuchsiapitch/internal/forwarder"
	"github.com/fuchsiapitch/fuchsiapitch/internal/gossiper"
	"github.com/fuchsiapitch/fuchsiapitch/internal/reducer"
	"github.com/fuchsiapitch/fuchsiapitch/internal/runner"
	"github.com/fuchsiapitch/fuchsiapitch/internal/tracer"
)

// Server serves requests, heartbeats and snapshot requests of other entry hosts.
type Server struct {
	wire.UnimplementedPeerServer
	wire.UnimplementedSnapshotsServer
	runner    *runner.Runner
	forwarder *forwarder.Forwarder
}

// NewServer returns a server that Register adds to a gRPC server.
func NewServer(r *runner.Runner, f *forwarder.Forwarder) *Server {
	return &Server{runner: r, forwarder: f}
}

// Register adds the server to a gRPC server.
func (s *Server) Register(g *grpc.Server) {
	wire.RegisterPeerServer(g, s)
	wire.RegisterSnapshotsServer(g, s)
	grpc_health_v1.RegisterHealthServer(g, health.NewServer())
}

// Beat implements wire.PeerServer.
func (s *Server) Beat(ctx context.Context, message *wire.Heartbeat) (*wire.Heartbeat, error) {
	s.runner.Submit(ctx, reducer.HeartbeatReceived{Heartbeat: encoder.DecodeHeartbeat(message)})
	var response gossiper.Heartbeat
	err := s.runner.Inspect(ctx, func(state *reducer.State) { response = state.ComposeHeartbeat() })
	if err != nil {
		return nil, err
	}
	return encoder.EncodeHeartbeat(response), nil
}

// Dispatch implements wire.PeerServer.
func (s *Server) Dispatch(message *wire.DispatchRequest, stream grpc.ServerStreamingServer[wire.DispatchFrame]) error {
	request, call := encoder.DecodeDispatchRequest(message)
	frames, stopKeepalive := newFrameStream(stream, keepaliveInterval)
	defer stopKeepalive()
	sink := &frameSink{frames: frames}
	result := s.forwarder.Dispatch(tracer.Extract(stream.Context(), call.Header()), originHost(message), request, call, sink)
	return frames.send(&wire.DispatchFrame{Frame: &wire.DispatchFrame_End{End: &wire.End{
		Outcome: int32(result.Outcome), Refusal: int32(result.Refusal), RetryAfterMs: result.RetryAfter.Milliseconds(),
	}}})
}

// originHost returns the host that forwarded a request. It has no address, since
// the message carries none.
func originHost(message *wire.DispatchRequest) fuchsiapitch.Host {
	return fuchsiapitch.NewHost(fuchsiapitch.HostID(message.GetFrom()), "", fuchsiapitch.DataCentreName(message.GetFromDataCentre()), 0)
}

// frameSink sends a response as frames. It reuses one frame for all chunks, since
// each is encoded before the send returns.
type frameSink struct {
	frames *frameStream
	data   wire.Data
	frame  wire.DispatchFrame
}

// Start implements forwarder.Sink.
func (s *frameSink) Start(status int, header map[string][]string) error {
	return s.frames.send(&wire.DispatchFrame{Frame: &wire.DispatchFrame_Start{Start: &wire.Start{
		Status: int32(status), Header: encoder.EncodeHeader(header),
	}}})
}

// Write implements forwarder.Sink.
func (s *frameSink) Write(chunk fuchsiapitch.Chunk) error {
	if s.frame.Frame == nil {
		s.frame.Frame = &wire.DispatchFrame_Data{Data: &s.data}
	}
	s.data.Data, s.data.Tokens = chunk.Data(), int32(chunk.Tokens())
	return s.frames.send(&s.frame)
}
