package logger

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// stuck is a writer whose reader has stopped.
type stuck struct{ release chan struct{} }

func (s stuck) Write(data []byte) (int, error) {
	<-s.release
	return len(data), nil
}

// A reader that stops holds nobody up.
func TestBoundedNeverWaits(t *testing.T) {
	release := make(chan struct{})
	w, flush := NewBounded(stuck{release: release})
	written := make(chan struct{})
	go func() {
		defer close(written)
		// Without the bounds of classes, which would leave most of the lines out.
		l := zerolog.New(w)
		for range 3 * boundedLines {
			l.Info().Msg("line")
		}
	}()
	select {
	case <-written:
	case <-time.After(time.Minute):
		t.Fatal("got a writer that waits, want none")
	}
	close(release)
	flush()
}
