package dispatcher

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
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

// connectLimit bounds one attempt to connect.
const connectLimit = time.Second

// reconnect keeps the waits between attempts to connect short, since hosts are
// replaced at any time.
var reconnect = backoff.Config{BaseDelay: 50 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: time.Second}

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
	silence     time.Duration

	mutex sync.Mutex
	links map[lane]*link
}

// ClientOption sets one optional property of a client.
type ClientOption func(*Client)

// WithCredentials sets the transport security towards other hosts.
func WithCredentials(c credentials.TransportCredentials) ClientOption {
	return func(k *Client) { k.credentials = c }
}

// WithSilence sets the time without a frame after which an exchange is given up.
func WithSilence(limit time.Duration) ClientOption { return func(k *Client) { k.silence = limit } }

// NewClient returns a client and the function that closes its connections.
func NewClient(self fuchsiapitch.Host, options ...ClientOption) (*Client, func()) {
	c := &Client{self: self, credentials: insecure.NewCredentials(), silence: silenceLimit, links: make(map[lane]*link)}
	for _, o := range options {
		o(c)
	}
	return c, c.close
}

func (c *Client) close() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for name, l := range c.links {
		_ = l.connection.Close()
		delete(c.links, name)
	}
}

func (c *Client) link(name lane) (*link, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if l, ok := c.links[name]; ok {
		return l, nil
	}
	k, err := grpc.NewClient("passthrough:///"+name.address,
		grpc.WithTransportCredentials(c.credentials),
		grpc.WithInitialWindowSize(streamWindow),
		grpc.WithInitialConnWindowSize(connectionWindow),
		grpc.WithDisableServiceConfig(),
		grpc.WithDisableRetry(),
		grpc.WithStatsHandler(departureHandler{}),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: reconnect, MinConnectTimeout: connectLimit}),
	)
	if err != nil {
		return nil, err
	}
	l := newLink(k)
	c.links[name] = l
	return l, nil
}

// SendHeartbeat implements gossiper.Transport.
func (c *Client) SendHeartbeat(ctx context.Context, to fuchsiapitch.Host, heartbeat gossiper.Heartbeat) (gossiper.Heartbeat, error) {
	name := lane{address: to.Address(), name: heartbeatLane}
	l, err := c.link(name)
	if err != nil {
		return gossiper.Heartbeat{}, &fuchsiapitch.UnreachableError{Address: to.Address(), Action: "heartbeat", Err: err}
	}
	answer, err := wire.NewPeerClient(l.connection).Beat(ctx, encoder.EncodeHeartbeat(heartbeat))
	if err != nil {
		// The connection may be lost while the host is alive.
		c.replace(name, l)
		return gossiper.Heartbeat{}, &fuchsiapitch.UnreachableError{Address: to.Address(), Action: "heartbeat", Err: err}
	}
	return encoder.DecodeHeartbeat(answer), nil
}

// Dispatch implements fuchsiapitch.Peer.
func (c *Client) Dispatch(ctx context.Context, host fuchsiapitch.Host, request fuchsiapitch.Request, call fuchsiapitch.Call) (fuchsiapitch.BackendResponse, error) {
	lost := &fuchsiapitch.DispatchError{
		Request: request.ID(), Host: host.ID(), Outcome: fuchsiapitch.OutcomeNotRun, Unreachable: true,
	}
	name := lane{address: host.Address(), name: string(request.Rank())}
	l, err := c.proved(ctx, name)
	if err != nil {
		lost.Err = err
		return fuchsiapitch.BackendResponse{}, lost
	}
	ctx, departure := withDeparture(ctx)
	ctx, cancel := context.WithCancelCause(ctx)
	message := encoder.EncodeDispatch(c.self, request, call)
	message.RemainingMs = remaining(call, request)
	stream, err := wire.NewPeerClient(l.connection).Dispatch(ctx, message)
	if err != nil {
		cancel(nil)
		lost.Err, lost.Outcome = err, departure.outcome()
		return fuchsiapitch.BackendResponse{}, lost
	}
	body := newFrameBody(stream, cancel, departure, lost, c.silence)
	body.proved, body.silent = l.prove, func() { c.replace(name, l) }
	frame, err := body.receive()
	if err != nil {
		cancel(nil)
		return fuchsiapitch.BackendResponse{}, err
	}
	start := frame.GetStart()
	return fuchsiapitch.NewBackendResponse(int(start.GetStatus()), encoder.DecodeHeader(start.GetHeader()), body), nil
}

func remaining(call fuchsiapitch.Call, request fuchsiapitch.Request) int64 {
	if call.Deadline().IsZero() {
		return request.TimeLimit().Milliseconds()
	}
	return max(time.Until(call.Deadline()).Milliseconds(), 1)
}

// frameBody reads the frames of one answer.
type frameBody struct {
	stream    grpc.ServerStreamingClient[wire.DispatchFrame]
	cancel    context.CancelCauseFunc
	departure *departure
	lost      *fuchsiapitch.DispatchError
	silence   time.Duration
	timer     *time.Timer
	frame     wire.DispatchFrame
	// proved is called for each frame, and silent when none comes.
	proved, silent func()
}

func newFrameBody(stream grpc.ServerStreamingClient[wire.DispatchFrame], cancel context.CancelCauseFunc, d *departure, lost *fuchsiapitch.DispatchError, silence time.Duration) *frameBody {
	timer := time.AfterFunc(silence, func() { cancel(&SilentPeerError{Limit: silence}) })
	timer.Stop()
	return &frameBody{stream: stream, cancel: cancel, departure: d, lost: lost, silence: silence, timer: timer}
}

// next returns the next frame that has content. It is valid until the next call.
func (b *frameBody) next() (*wire.DispatchFrame, error) {
	for {
		b.timer.Reset(b.silence)
		err := b.stream.RecvMsg(&b.frame)
		b.timer.Stop()
		if err != nil {
			return nil, err
		}
		b.proved()
		if b.frame.GetFrame() != nil {
			return &b.frame, nil
		}
	}
}

// receive returns the next frame that is not the last one.
func (b *frameBody) receive() (*wire.DispatchFrame, error) {
	frame, err := b.next()
	if err != nil {
		b.lost.Err, b.lost.Outcome = b.lostBy(err), b.departure.outcome()
		return nil, b.lost
	}
	end := frame.GetEnd()
	if end == nil {
		return frame, nil
	}
	if fuchsiapitch.Outcome(end.GetOutcome()) == fuchsiapitch.OutcomeSucceeded {
		return nil, io.EOF
	}
	return nil, &fuchsiapitch.DispatchError{
		Request: b.lost.Request, Host: b.lost.Host, Outcome: fuchsiapitch.Outcome(end.GetOutcome()),
		Refusal:    fuchsiapitch.RefusalReason(end.GetRefusal()),
		RetryAfter: time.Duration(end.GetRetryAfterMs()) * time.Millisecond,
	}
}

// lostBy returns the cause of a lost exchange. The end of the stream without a
// last frame is no end of a whole answer.
func (b *frameBody) lostBy(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	cause := context.Cause(b.stream.Context())
	if _, silent := errors.AsType[*SilentPeerError](cause); silent {
		b.silent()
	}
	if cause != nil {
		return cause
	}
	return err
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
	b.timer.Stop()
	b.cancel(nil)
	return nil
}
