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

// SilenceTimer cancels a transfer with a SilenceError after a time-out in which no byte
// moves.
type SilenceTimer struct {
	timeout time.Duration
	timer   *time.Timer
}

// NewSilenceTimer starts a timer that cancels a transfer.
func NewSilenceTimer(timeout time.Duration, cancel context.CancelCauseFunc) *SilenceTimer {
	return &SilenceTimer{timeout: timeout, timer: time.AfterFunc(timeout, func() { cancel(&SilenceError{Timeout: timeout}) })}
}

// Reset starts the time-out anew.
func (t *SilenceTimer) Reset() { t.timer.Reset(t.timeout) }

// Stop stops the timer.
func (t *SilenceTimer) Stop() { t.timer.Stop() }

// Reader returns a reader that resets the timer whenever it delivers bytes.
func (t *SilenceTimer) Reader(reader io.Reader) io.Reader {
	return &progressReader{reader: reader, timer: t}
}

type progressReader struct {
	reader io.Reader
	timer  *SilenceTimer
}

// Read implements io.Reader.
func (p *progressReader) Read(buffer []byte) (int, error) {
	n, err := p.reader.Read(buffer)
	if n > 0 {
		p.timer.Reset()
	}
	return n, err
}
