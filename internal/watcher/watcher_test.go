package watcher

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"
)

// newWatcher returns a watched context with time-outs of 2 s until the first byte and of
// 1 s between bytes.
func newWatcher(t *testing.T) (context.Context, *Watcher) {
	t.Helper()
	ctx, w, stop := New(t.Context(), "store", 2*time.Second, time.Second)
	t.Cleanup(stop)
	return ctx, w
}

func assertCancelledAfter(ctx context.Context, t *testing.T, want time.Duration, wantBytes int64) {
	t.Helper()
	startedAt := time.Now()
	<-ctx.Done()
	if got := time.Since(startedAt); got != want {
		t.Errorf("got cancelled after %s, want %s", got, want)
	}
	var silence *SilenceError
	if !errors.As(context.Cause(ctx), &silence) || silence.ReceivedBytes != wantBytes {
		t.Errorf("got cause %v, want a SilenceError after %d bytes", context.Cause(ctx), wantBytes)
	}
}

func TestWatcher(t *testing.T) {
	t.Run("no byte", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			ctx, _ := newWatcher(t)
			assertCancelledAfter(ctx, t, 2*time.Second, 0)
		})
	})
	t.Run("bytes that stop", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			ctx, w := newWatcher(t)
			for range 100 {
				time.Sleep(900 * time.Millisecond)
				w.RecordBytes(minProgressBytes)
			}
			if err := ctx.Err(); err != nil {
				t.Errorf("got error %v while bytes arrive, want none", err)
			}
			assertCancelledAfter(ctx, t, time.Second, 100*minProgressBytes)
		})
	})
	t.Run("bytes that drip", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			ctx, w := newWatcher(t)
			startedAt := time.Now()
			for ctx.Err() == nil && time.Since(startedAt) < time.Minute {
				time.Sleep(300 * time.Millisecond)
				w.RecordBytes(1)
			}
			if got, limit := time.Since(startedAt), 2*time.Second; got > limit {
				t.Errorf("got a transfer of a byte each 300ms cancelled after %s, want within %s", got, limit)
			}
		})
	})
	t.Run("a part that begins", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			ctx, w := newWatcher(t)
			w.RecordBytes(1)
			time.Sleep(900 * time.Millisecond)
			w.BeginPart()
			assertCancelledAfter(ctx, t, time.Second, 1)
			if err := context.Cause(ctx); !errors.Is(err, context.DeadlineExceeded) {
				t.Errorf("got cause %v, want %v", err, context.DeadlineExceeded)
			}
		})
	})
	t.Run("first byte expected earlier", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			ctx, w := newWatcher(t)
			w.ExpectWithin(500 * time.Millisecond)
			time.Sleep(300 * time.Millisecond)
			w.ExpectWithin(500 * time.Millisecond)
			assertCancelledAfter(ctx, t, 200*time.Millisecond, 0)
		})
	})
	t.Run("expected earlier while bytes arrive", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			ctx, w := newWatcher(t)
			w.RecordBytes(1)
			w.ExpectWithin(100 * time.Millisecond)
			assertCancelledAfter(ctx, t, time.Second, 1)
		})
	})
}
