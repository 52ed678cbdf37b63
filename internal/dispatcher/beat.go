package dispatcher

import (
	"fmt"
	"sync"
	"time"

	"google.golang.org/grpc"

	"github.com/fuchsiapitch/fuchsiapitch/internal/encoder/wire"
)

const (
	// framePeriod is the longest time without a frame on a live exchange.
	framePeriod = 800 * time.Millisecond
	// silenceLimit is the time without a frame after which an exchange is given
	// up. The keepalive of HTTP/2 cannot be had this fast: grpc-go raises its
	// period to 10 s.
	silenceLimit = 2500 * time.Millisecond
)

// SilentPeerError reports a dispatcher that sent no frame for too long.
type SilentPeerError struct {
	// Limit is the time without a frame.
	Limit time.Duration
}

// Error implements error.
func (e *SilentPeerError) Error() string { return fmt.Sprintf("no frame for %s", e.Limit) }

// frameStream sends frames, and an empty one whenever there was none for a
// period, so that the other end can tell a long wait from a lost connection.
type frameStream struct {
	stream grpc.ServerStreamingServer[wire.DispatchFrame]
	period time.Duration

	mutex sync.Mutex
	timer *time.Timer
	last  time.Time
	ended bool
}

// newFrameStream returns a stream and a function that ends its empty frames. No
// frame is sent after that function has returned.
func newFrameStream(stream grpc.ServerStreamingServer[wire.DispatchFrame], period time.Duration) (*frameStream, func()) {
	s := &frameStream{stream: stream, period: period, last: time.Now()}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.timer = time.AfterFunc(period, s.beat)
	return s, s.end
}

func (s *frameStream) end() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.ended = true
	s.timer.Stop()
}

func (s *frameStream) beat() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.ended {
		return
	}
	if wait := s.period - time.Since(s.last); wait > 0 {
		s.timer.Reset(wait)
		return
	}
	s.last = time.Now()
	if err := s.stream.Send(&wire.DispatchFrame{}); err == nil {
		s.timer.Reset(s.period)
	}
}

// send sends a frame.
func (s *frameStream) send(frame *wire.DispatchFrame) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.last = time.Now()
	return s.stream.Send(frame)
}
