package requester

import (
	"context"
	"fmt"
	"io"
	"time"
)

// SilenceError reports that no byte was sent or received for the time-out of a request.
// It is a context.DeadlineExceeded.
type SilenceError struct {
	// Timeout is the time-out of the request.
	Timeout time.Duration
}

// Error implements error.
func (e *SilenceError) Error() string {
	return fmt.Sprintf("no byte sent or received for %s", e.Timeout)
}

// Is reports whether the target is context.DeadlineExceeded.
func (*SilenceError) Is(target error) bool { return target == context.DeadlineExceeded }

// silenceTimer cancels a request with a SilenceError after a time-out without a reset.
type silenceTimer struct {
	timeout time.Duration
	timer   *time.Timer
}

func newSilenceTimer(timeout time.Duration, cancel context.CancelCauseFunc) *silenceTimer {
	return &silenceTimer{timeout: timeout, timer: time.AfterFunc(timeout, func() { cancel(&SilenceError{Timeout: timeout}) })}
}

func (t *silenceTimer) reset() { t.timer.Reset(t.timeout) }

func (t *silenceTimer) stop() { t.timer.Stop() }

// progressReader resets a timer whenever it delivers bytes.
type progressReader struct {
	reader io.Reader
	timer  *silenceTimer
}

// Read implements io.Reader.
func (p *progressReader) Read(buffer []byte) (int, error) {
	n, err := p.reader.Read(buffer)
	if n > 0 {
		p.timer.reset()
	}
	return n, err
}
