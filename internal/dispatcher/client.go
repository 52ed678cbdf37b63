package dispatcher

import (
	"context"
	"io"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/encoder"
	"github.com/fuchsiapitch/fuchsiapitch/internal/encoder/wire"
	"github.com/fuchsiapitch/fuchsiapitch/internal/gossiper"
)

const (
	// streamWindow is the flow-control window of one request in bytes.
	streamWindow = 1 << 20
	// connectionWindow is the flow-control window of one connection in bytes.
	connectionWindow = 16 << 20
	// heartbeatLane is the connection that carries heartbeats alone.
	heartbeatLane = "heartbeats"
)

// lane names one connection to a host. Each rank has its own, so that the
// streams of one rank never wait for the flow control of another.
type lane struct {
	address string
	name    string
}

// Client reaches the other entry hosts.
type Client struct {
	self        fuchsiapitch.Host
	credentials credentials.TransportCredentials

	mutex       sync.Mutex
	connections map[lane]*grpc.ClientConn
}

// ClientOption sets one optional property of a client.
type ClientOption func(*Client)

// WithCredentials sets the transport security towards other hosts.
func WithCredentials(c credentials.TransportCredentials) ClientOption {
	return func(k *Client) { k.credentials = c }
}

// NewClient returns a client and the function that closes its connections.
func NewClient(self fuchsiapitch.Host, options ...ClientOption) (*Client, func()) {
	c := &Client{self: self, credentials: insecure.NewCredentials(), connections: make(map[lane]*grpc.ClientConn)}
	for _, o := range options {
		o(c)
	}
	return c, c.close
}

func (c *Client) close() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for l, k := range c.connections {
		_ = k.Close()
		delete(c.connections, l)
	}
}

func (c *Client) connection(l lane) (*grpc.ClientConn, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if k, ok := c.connections[l]; ok {
		return k, nil
	}
	k, err := grpc.NewClient("passthrough:///"+l.address,
		grpc.WithTransportCredentials(c.credentials),
		grpc.WithInitialWindowSize(streamWindow),
		grpc.WithInitialConnWindowSize(connectionWindow),
		grpc.WithDisableServiceConfig(),
		grpc.WithDisableRetry(),
	)
	if err != nil {
		return nil, err
	}
	c.connections[l] = k
	return k, nil
}

// Beat implements gossiper.Transport.
func (c *Client) Beat(ctx context.Context, to fuchsiapitch.Host, heartbeat gossiper.Heartbeat) (gossiper.Heartbeat, error) {
	k, err := c.connection(lane{address: to.Address(), name: heartbeatLane})
	if err != nil {
		return gossiper.Heartbeat{}, &fuchsiapitch.UnreachableError{Address: to.Address(), Action: "heartbeat", Err: err}
	}
	answer, err := wire.NewPeerClient(k).Beat(ctx, encoder.EncodeHeartbeat(heartbeat))
	if err != nil {
		return gossiper.Heartbeat{}, &fuchsiapitch.UnreachableError{Address: to.Address(), Action: "heartbeat", Err: err}
	}
	return encoder.DecodeHeartbeat(answer), nil
}

// Dispatch implements fuchsiapitch.Peer.
func (c *Client) Dispatch(ctx context.Context, host fuchsiapitch.Host, request fuchsiapitch.Request, call fuchsiapitch.Call) (fuchsiapitch.Answer, error) {
	lost := &fuchsiapitch.DispatchError{
		Request: request.ID(), Host: host.ID(), Outcome: fuchsiapitch.NotRun, Unreachable: true,
	}
	k, err := c.connection(lane{address: host.Address(), name: string(request.Rank())})
	if err != nil {
		lost.Err = err
		return fuchsiapitch.Answer{}, lost
	}
	lost.Outcome = fuchsiapitch.Unknown
	ctx, cancel := context.WithCancel(ctx)
	message := encoder.EncodeDispatch(c.self, request, call)
	message.RemainingMs = remaining(call, request)
	stream, err := wire.NewPeerClient(k).Dispatch(ctx, message)
	if err != nil {
		cancel()
		lost.Err = err
		return fuchsiapitch.Answer{}, lost
	}
	body := &frameBody{stream: stream, cancel: cancel, lost: lost}
	frame, err := body.receive()
	if err != nil {
		cancel()
		return fuchsiapitch.Answer{}, err
	}
	start := frame.GetStart()
	return fuchsiapitch.NewAnswer(int(start.GetStatus()), encoder.DecodeHeader(start.GetHeader()), body), nil
}

func remaining(call fuchsiapitch.Call, request fuchsiapitch.Request) int64 {
	if call.Deadline().IsZero() {
		return request.TimeLimit().Milliseconds()
	}
	return max(time.Until(call.Deadline()).Milliseconds(), 1)
}

// frameBody reads the frames of one answer.
type frameBody struct {
	stream grpc.ServerStreamingClient[wire.DispatchFrame]
	cancel context.CancelFunc
	lost   *fuchsiapitch.DispatchError
}

// receive returns the next frame that is not the last one.
func (b *frameBody) receive() (*wire.DispatchFrame, error) {
	frame, err := b.stream.Recv()
	if err != nil {
		b.lost.Err = err
		return nil, b.lost
	}
	end := frame.GetEnd()
	if end == nil {
		return frame, nil
	}
	if fuchsiapitch.Outcome(end.GetOutcome()) == fuchsiapitch.Succeeded {
		return nil, io.EOF
	}
	return nil, &fuchsiapitch.DispatchError{
		Request: b.lost.Request, Host: b.lost.Host, Outcome: fuchsiapitch.Outcome(end.GetOutcome()),
		Refusal:    fuchsiapitch.RefusalReason(end.GetRefusal()),
		RetryAfter: time.Duration(end.GetRetryAfterMs()) * time.Millisecond,
	}
}

// Next implements fuchsiapitch.AnswerBody.
func (b *frameBody) Next() (fuchsiapitch.Chunk, error) {
	frame, err := b.receive()
	if err != nil {
		return fuchsiapitch.Chunk{}, err
	}
	data := frame.GetData()
	return fuchsiapitch.NewChunk(data.GetData(), int(data.GetTokens())), nil
}

// Close implements io.Closer.
func (b *frameBody) Close() error {
	b.cancel()
	return nil
}
