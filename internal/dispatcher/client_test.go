package dispatcher

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"
)

func TestFrameTimeout(t *testing.T) {
	const timeout = 2 * time.Second
	cases := map[string]struct {
		// bytesAt is the time of the last bytes on the connection, -1 if they never end.
		bytesAt time.Duration
		// uploadTime is the time in which the request may still be being sent.
		uploadTime time.Duration
		hasFrame   bool
		want       time.Duration
	}{
		"a small request":                       {bytesAt: -1, want: timeout},
		"a large request, nothing arrives":      {uploadTime: 4 * timeout, want: timeout},
		"a large request, bytes stop":           {bytesAt: timeout / 2, uploadTime: 4 * timeout, want: timeout * 3 / 2},
		"a large request, bytes do not end":     {bytesAt: -1, uploadTime: 4 * timeout, want: 4 * timeout},
		"a large request after its first frame": {bytesAt: -1, uploadTime: 4 * timeout, hasFrame: true, want: timeout},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancelCause(t.Context())
				startedAt := time.Now()
				b := newFrameBody(nil, cancel, nil, nil, timeout)
				b.onFrame = func() {}
				b.uploadDeadline = startedAt.Add(c.uploadTime)
				b.timeSinceBytes = func() time.Duration {
					if c.bytesAt < 0 {
						return 0
					}
					return time.Since(startedAt.Add(c.bytesAt))
				}
				if c.hasFrame {
					b.recordFrame()
				}
				b.startTimer()
				<-ctx.Done()
				if _, ok := errors.AsType[*FrameTimeoutError](context.Cause(ctx)); !ok {
					t.Errorf("got cause %v, want a frame time-out", context.Cause(ctx))
				}
				if got := time.Since(startedAt); got != c.want {
					t.Errorf("got cancelled after %s, want %s", got, c.want)
				}
			})
		})
	}
	t.Run("no frame awaited", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancelCause(t.Context())
			b := newFrameBody(nil, cancel, nil, nil, timeout)
			b.startTimer()
			b.stopTimer()
			time.Sleep(10 * timeout)
			if err := context.Cause(ctx); err != nil {
				t.Errorf("got cause %v, want none", err)
			}
		})
	})
}
