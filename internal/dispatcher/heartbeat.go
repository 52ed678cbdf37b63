package dispatcher

import (
	"fmt"
	"sync"
	"time"

	"google.golang.org/grpc"

	"github.com/fuchsiapitch/fuchsiapitch/internal/encoder/wire"
)

const (
	// keepaliveInterval is the longest time between two frames of an open exchange.
	keepaliveInterval = 800 * time.Millisecond
	// defaultFrameTimeout is the time without a frame after which an exchange is
	// aborted. HTTP/2 keepalive pings cannot detect a lost peer this fast: grpc-go
	// raises their interval to at least 10 s.
	defaultFrameTimeout = 2500 * time.Millisecond
)

// FrameTimeoutError reports that a dispatcher sent no frame within the timeout.
type FrameTimeoutError struct {
	// Timeout is the longest time allowed between two frames.
	Timeout time.Duration
}

// Error implements error.
func (e *FrameTimeoutError) Error() string { return fmt.Sprintf("no frame received for %s", e.Timeout) }

// frameStream sends response frames, and an empty keepalive frame after each
// interval without one, so that the other host can distinguish a slow response from
// a lost connection.
type frameStream struct {
	stream   grpc.ServerStreamingServer[wire.DispatchFrame]
	interval time.Duration

	mutex            sync.Mutex
	keepaliveTimer   *time.Timer
	lastSentAt       time.Time
	keepaliveStopped bool
}

// newFrameStream returns a stream and a function that stops its keepalive frames.
// No keepalive frame is sent after that function has returned.
func newFrameStream(stream grpc.ServerStreamingServer[wire.DispatchFrame], interval time.Duration) (*frameStream, func()) {
	s := &frameStream{stream: stream, interval: interval, lastSentAt: time.Now()}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.keepaliveTimer = time.AfterFunc(interval, s.sendKeepalive)
	return s, s.stopKeepalive
}

func (s *frameStream) stopKeepalive() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.keepaliveStopped = true
	s.keepaliveTimer.Stop()
}

func (s *frameStream) sendKeepalive() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.keepaliveStopped {
		return
	}
	if remaining := s.interval - time.Since(s.lastSentAt); remaining > 0 {
		s.keepaliveTimer.Reset(remaining)
		return
	}
	s.lastSentAt = time.Now()
	if err := s.stream.Send(&wire.DispatchFrame{}); err == nil {
		s.keepaliveTimer.Reset(s.interval)
	}
}

func (s *frameStream) send(frame *wire.DispatchFrame) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.lastSentAt = time.Now()
	return s.stream.Send(frame)
}
