package logger

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// blockedWriter blocks until release is closed, like a pipe whose reader has
// stopped.
type blockedWriter struct{ release chan struct{} }

func (s blockedWriter) Write(data []byte) (int, error) {
	<-s.release
	return len(data), nil
}

// A reader that has stopped must not block the goroutines that log.
func TestNonBlockingWriterDoesNotBlock(t *testing.T) {
	release := make(chan struct{})
	w, flush := NewNonBlockingWriter(blockedWriter{release: release})
	allWritten := make(chan struct{})
	go func() {
		defer close(allWritten)
		// The logger has no limit by class, which would suppress most of the lines.
		l := zerolog.New(w)
		for range 3 * maxBufferedLines {
			l.Info().Msg("line")
		}
	}()
	select {
	case <-allWritten:
	case <-time.After(time.Minute):
		t.Fatal("got a writer that blocks, want one that does not")
	}
	close(release)
	flush()
}
