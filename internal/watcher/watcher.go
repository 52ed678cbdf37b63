// Package watcher cancels a transfer that makes no progress. The duration of the whole transfer
// is bounded only by its size, because it depends on the load of the link: a transfer that is
// cancelled for its duration alone, and repeated, adds to the load that made it slow.
package watcher

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"
)

// minProgressBytes is the number of bytes that must arrive within each silence time-out. It
// bounds the duration of a transfer whose bytes drip.
const minProgressBytes = 16 << 10

// SilenceError reports a transfer that was cancelled because too few bytes arrived in time.
type SilenceError struct {
	// Source names where the bytes come from.
	Source string
	// ReceivedBytes is the number of bytes that had arrived.
	ReceivedBytes int64
}

// Error implements error.
func (e *SilenceError) Error() string {
	return fmt.Sprintf("transfer from %s made no progress after %d bytes", e.Source, e.ReceivedBytes)
}

// Is reports whether the target is context.DeadlineExceeded.
func (*SilenceError) Is(target error) bool { return target == context.DeadlineExceeded }

// Watcher watches one transfer. It is safe for concurrent use.
type Watcher struct {
	source         string
	silenceTimeout time.Duration
	cancel         context.CancelCauseFunc

	// mutex guards the fields below.
	mutex    sync.Mutex
	received int64
	// unaccounted is the number of bytes that have arrived since the deadline was set.
	unaccounted int
	timer       *time.Timer
	deadline    time.Time
}

// New returns a context for a transfer from a source, its watcher, and a function that ends
// both. The context is cancelled with a SilenceError if the first byte has not arrived within
// firstByteTimeout, or if fewer than minProgressBytes arrive within silenceTimeout.
func New(ctx context.Context, source string, firstByteTimeout, silenceTimeout time.Duration) (context.Context, *Watcher, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	w := &Watcher{source: source, silenceTimeout: silenceTimeout, cancel: cancel, deadline: time.Now().Add(firstByteTimeout)}
	w.mutex.Lock()
	w.timer = time.AfterFunc(firstByteTimeout, w.expire)
	w.mutex.Unlock()
	return ctx, w, func() {
		w.timer.Stop()
		cancel(nil)
	}
}

// RecordBytes records that bytes have arrived.
func (w *Watcher) RecordBytes(n int) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	isFirst := w.received == 0
	w.received += int64(n)
	w.unaccounted += n
	if isFirst || w.unaccounted >= minProgressBytes {
		w.setDeadline(w.silenceTimeout)
	}
}

// Watch returns a reader that reads from r and records the bytes.
func (w *Watcher) Watch(r io.Reader) io.Reader { return &watchedReader{reader: r, watcher: w} }

// watchedReader records the bytes that it reads.
type watchedReader struct {
	reader  io.Reader
	watcher *Watcher
}

// Read implements io.Reader.
func (r *watchedReader) Read(b []byte) (int, error) {
	n, err := r.reader.Read(b)
	if n > 0 {
		r.watcher.RecordBytes(n)
	}
	return n, err
}

// BeginPart starts the silence time-out anew for a part of the transfer that begins, such as
// the body after the header.
func (w *Watcher) BeginPart() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.setDeadline(w.silenceTimeout)
}

// ReceivedBytes returns the number of bytes that have arrived.
func (w *Watcher) ReceivedBytes() int64 {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.received
}

// ExpectWithin shortens the time until the first byte. It has no effect once a byte has
// arrived.
func (w *Watcher) ExpectWithin(timeout time.Duration) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.received == 0 && time.Now().Add(timeout).Before(w.deadline) {
		w.setDeadline(timeout)
	}
}

// setDeadline sets the time until the transfer is cancelled. The caller holds the mutex.
func (w *Watcher) setDeadline(timeout time.Duration) {
	w.unaccounted = 0
	w.deadline = time.Now().Add(timeout)
	w.timer.Reset(timeout)
}

// expire cancels the transfer unless its deadline has been moved since the timer was set.
func (w *Watcher) expire() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if !time.Now().Before(w.deadline) {
		w.cancel(&SilenceError{Source: w.source, ReceivedBytes: w.received})
	}
}
