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
	// streamWindowBytes is the HTTP/2 flow-control window of one request.
	streamWindowBytes = 1 << 20
	// connectionWindowBytes is the HTTP/2 flow-control window of one connection.
	connectionWindowBytes = 16 << 20
	// minUploadBytes is the number of bytes of a request that must be sent within
	// each frame timeout. It limits the time in which a request may be sent.
	minUploadBytes = 16 << 10
	// heartbeatClass is the traffic class of the connection for heartbeats.
	heartbeatClass = "heartbeats"
	// snapshotClass is the traffic class of the connection for configuration
	// snapshots, whose bytes would delay heartbeats.
	snapshotClass = "snapshots"
)

// connectTimeout limits one connection attempt.
const connectTimeout = time.Second

// reconnectBackoff keeps the delays between connection attempts short, since
// hosts are replaced at any time.
var reconnectBackoff = backoff.Config{BaseDelay: 50 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: time.Second}

// connectionKey identifies one connection to a host. Each rank has its own
// connection, so that the streams of one rank are never blocked by the flow control
// of another.
type connectionKey struct {
	address string
	// trafficClass is the name of a rank, heartbeatClass or snapshotClass.
	trafficClass string
}

// Client sends requests, heartbeats and snapshot requests to other entry hosts.
type Client struct {
	localHost    fuchsiapitch.Host
	credentials  credentials.TransportCredentials
	frameTimeout time.Duration
	// retiredLifetime limits the time for which a retired connection stays open.
	retiredLifetime time.Duration

	mutex       sync.Mutex
	connections map[connectionKey]*peerConnection
	// retired holds the retired connections that are still open, and the timers
	// that close them.
	retired map[*peerConnection]*time.Timer
}

// ClientOption sets one optional property of a client.
type ClientOption func(*Client)

// WithCredentials sets the transport security of connections to other hosts.
func WithCredentials(transportCredentials credentials.TransportCredentials) ClientOption {
	return func(c *Client) { c.credentials = transportCredentials }
}

// WithFrameTimeout sets the time without a frame after which the client aborts an
// exchange.
func WithFrameTimeout(timeout time.Duration) ClientOption {
	return func(c *Client) { c.frameTimeout = timeout }
}

// NewClient returns a client and the function that closes its connections.
func NewClient(localHost fuchsiapitch.Host, options ...ClientOption) (*Client, func()) {
	c := &Client{
		localHost: localHost, credentials: insecure.NewCredentials(), frameTimeout: defaultFrameTimeout, retiredLifetime: defaultRetiredLifetime,
		connections: make(map[connectionKey]*peerConnection), retired: make(map[*peerConnection]*time.Timer),
	}
	for _, o := range options {
		o(c)
	}
	return c, c.close
}

func (c *Client) close() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for key, pc := range c.connections {
		_ = pc.clientConn.Close()
		delete(c.connections, key)
	}
	for pc, timer := range c.retired {
		timer.Stop()
		_ = pc.clientConn.Close()
		delete(c.retired, pc)
	}
}

// acquire returns the connection for a key and begins an exchange on it, which
// release ends.
func (c *Client) acquire(key connectionKey) (*peerConnection, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if pc, ok := c.connections[key]; ok {
		pc.exchanges++
		return pc, nil
	}
	pc := newPeerConnection()
	conn, err := grpc.NewClient("passthrough:///"+key.address,
		grpc.WithTransportCredentials(c.credentials),
		grpc.WithInitialWindowSize(streamWindowBytes),
		grpc.WithInitialConnWindowSize(connectionWindowBytes),
		grpc.WithDisableServiceConfig(),
		grpc.WithDisableRetry(),
		grpc.WithStatsHandler(sendStatsHandler{}),
		grpc.WithContextDialer(pc.dial),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: reconnectBackoff, MinConnectTimeout: connectTimeout}),
	)
	if err != nil {
		return nil, err
	}
	pc.clientConn = conn
	pc.exchanges++
	c.connections[key] = pc
	return pc, nil
}

// SendHeartbeat implements gossiper.Transport.
func (c *Client) SendHeartbeat(ctx context.Context, to fuchsiapitch.Host, heartbeat gossiper.Heartbeat) (gossiper.Heartbeat, error) {
	key := connectionKey{address: to.Address(), trafficClass: heartbeatClass}
	pc, err := c.acquire(key)
	if err != nil {
		return gossiper.Heartbeat{}, &fuchsiapitch.UnreachableError{Address: to.Address(), Action: "heartbeat", Err: err}
	}
	defer c.release(pc)
	response, err := wire.NewPeerClient(pc.clientConn).Beat(ctx, encoder.EncodeHeartbeat(heartbeat))
	if err != nil {
		// The connection may be broken although the host is alive.
		c.retire(key, pc)
		return gossiper.Heartbeat{}, &fuchsiapitch.UnreachableError{Address: to.Address(), Action: "heartbeat", Err: err}
	}
	return encoder.DecodeHeartbeat(response), nil
}

// Dispatch implements fuchsiapitch.RemoteDispatcher.
func (c *Client) Dispatch(ctx context.Context, host fuchsiapitch.Host, request fuchsiapitch.Request, call fuchsiapitch.Call) (fuchsiapitch.BackendResponse, error) {
	dispatchError := &fuchsiapitch.DispatchError{
		Request: request.ID(), Host: host.ID(), Outcome: fuchsiapitch.OutcomeNotRun, Unreachable: true,
	}
	key := connectionKey{address: host.Address(), trafficClass: string(request.Rank())}
	pc, err := c.liveConnection(ctx, key)
	if err != nil {
		dispatchError.Err = err
		return fuchsiapitch.BackendResponse{}, dispatchError
	}
	ctx, tracker := withSendTracker(ctx)
	ctx, cancel := context.WithCancelCause(ctx)
	message := encoder.EncodeDispatchRequest(c.localHost, request, call)
	message.RemainingMs = remainingMillis(call, request)
	stream, err := wire.NewPeerClient(pc.clientConn).Dispatch(ctx, message)
	if err != nil {
		cancel(nil)
		c.release(pc)
		dispatchError.Err, dispatchError.Outcome = err, tracker.outcome()
		return fuchsiapitch.BackendResponse{}, dispatchError
	}
	body := newFrameBody(stream, cancel, tracker, dispatchError, c.frameTimeout)
	body.uploadDeadline = time.Now().Add(time.Duration(len(call.Body())/minUploadBytes) * c.frameTimeout)
	body.timeSinceBytes = pc.timeSinceBytes
	body.onFrame, body.onTimeout = pc.recordResponse, func() { c.retire(key, pc) }
	body.onEnd = sync.OnceFunc(func() {
		cancel(nil)
		c.release(pc)
	})
	frame, err := body.receiveContent()
	if err != nil {
		return fuchsiapitch.BackendResponse{}, err
	}
	start := frame.GetStart()
	return fuchsiapitch.NewBackendResponse(int(start.GetStatus()), encoder.DecodeHeader(start.GetHeader()), body), nil
}

func remainingMillis(call fuchsiapitch.Call, request fuchsiapitch.Request) int64 {
	if call.Deadline().IsZero() {
		return request.TimeLimit().Milliseconds()
	}
	return max(time.Until(call.Deadline()).Milliseconds(), 1)
}

// frameBody reads a response body from the frames of one exchange.
type frameBody struct {
	stream        grpc.ServerStreamingClient[wire.DispatchFrame]
	cancel        context.CancelCauseFunc
	tracker       *sendTracker
	dispatchError *fuchsiapitch.DispatchError
	frameTimeout  time.Duration
	frame         wire.DispatchFrame
	// timeSinceBytes returns the time since the last bytes on the connection.
	timeSinceBytes func() time.Duration
	// onFrame is called for each frame, and onTimeout after the frame timeout has
	// ended the exchange.
	onFrame, onTimeout func()
	// onEnd is called when the exchange has ended, possibly several times.
	onEnd func()

	// mutex guards the fields below.
	mutex      sync.Mutex
	frameTimer *time.Timer
	// deadline is the time at which the awaited frame is late, zero if none is
	// awaited.
	deadline time.Time
	// uploadDeadline is the time until which the request may still be being sent.
	// It is zero after the first frame, which shows that the request has arrived.
	uploadDeadline time.Time
}

func newFrameBody(stream grpc.ServerStreamingClient[wire.DispatchFrame], cancel context.CancelCauseFunc, tracker *sendTracker, dispatchError *fuchsiapitch.DispatchError, frameTimeout time.Duration) *frameBody {
	b := &frameBody{stream: stream, cancel: cancel, tracker: tracker, dispatchError: dispatchError, frameTimeout: frameTimeout}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.frameTimer = time.AfterFunc(frameTimeout, b.expire)
	b.frameTimer.Stop()
	return b
}

// setTimeout sets the time until the awaited frame is late. The caller holds the
// mutex.
func (b *frameBody) setTimeout(timeout time.Duration) {
	b.deadline = time.Now().Add(timeout)
	b.frameTimer.Reset(timeout)
}

// expire cancels the exchange if the awaited frame is late. There is no frame while
// the request is being sent, but bytes arrive on the connection, which acknowledge it.
func (b *frameBody) expire() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.deadline.IsZero() || time.Now().Before(b.deadline) {
		return
	}
	if remaining := min(b.frameTimeout-b.timeSinceBytes(), time.Until(b.uploadDeadline)); remaining > 0 {
		b.setTimeout(remaining)
		return
	}
	b.cancel(&FrameTimeoutError{Timeout: b.frameTimeout})
}

// startTimer starts the timer for the next frame.
func (b *frameBody) startTimer() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.setTimeout(b.frameTimeout)
}

// stopTimer stops the timer. The exchange is not cancelled after that.
func (b *frameBody) stopTimer() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.deadline = time.Time{}
	b.frameTimer.Stop()
}

// recordFrame records that a frame has arrived.
func (b *frameBody) recordFrame() {
	b.mutex.Lock()
	b.uploadDeadline = time.Time{}
	b.mutex.Unlock()
	b.onFrame()
}

// receiveFrame returns the next frame, skipping empty keepalive frames. The frame
// is valid until the next call.
func (b *frameBody) receiveFrame() (*wire.DispatchFrame, error) {
	for {
		b.startTimer()
		err := b.stream.RecvMsg(&b.frame)
		b.stopTimer()
		if err != nil {
			return nil, err
		}
		b.recordFrame()
		if b.frame.GetFrame() != nil {
			return &b.frame, nil
		}
	}
}

// receiveContent returns the next start or data frame. For the end frame, it
// returns io.EOF if the outcome is succeeded, and a DispatchError otherwise.
func (b *frameBody) receiveContent() (*wire.DispatchFrame, error) {
	frame, err := b.receiveFrame()
	if err != nil {
		b.dispatchError.Err, b.dispatchError.Outcome = b.failureCause(err), b.tracker.outcome()
		b.onEnd()
		return nil, b.dispatchError
	}
	end := frame.GetEnd()
	if end == nil {
		return frame, nil
	}
	b.onEnd()
	if fuchsiapitch.Outcome(end.GetOutcome()) == fuchsiapitch.OutcomeSucceeded {
		return nil, io.EOF
	}
	return nil, &fuchsiapitch.DispatchError{
		Request: b.dispatchError.Request, Host: b.dispatchError.Host, Outcome: fuchsiapitch.Outcome(end.GetOutcome()),
		Refusal:    fuchsiapitch.RefusalReason(end.GetRefusal()),
		RetryAfter: time.Duration(end.GetRetryAfterMs()) * time.Millisecond,
	}
}

// failureCause returns the cause of a failed exchange. A stream that ends without
// an end frame is a truncated response, which gives io.ErrUnexpectedEOF.
func (b *frameBody) failureCause(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	cause := context.Cause(b.stream.Context())
	if _, timedOut := errors.AsType[*FrameTimeoutError](cause); timedOut {
		b.onTimeout()
	}
	if cause != nil {
		return cause
	}
	return err
}

// Next returns the next chunk of the response body.
func (b *frameBody) Next() (fuchsiapitch.Chunk, error) {
	frame, err := b.receiveContent()
	if err != nil {
		return fuchsiapitch.Chunk{}, err
	}
	data := frame.GetData()
	return fuchsiapitch.NewChunk(data.GetData(), int(data.GetTokens())), nil
}

// Close implements io.Closer.
func (b *frameBody) Close() error {
	b.stopTimer()
	b.onEnd()
	return nil
}
