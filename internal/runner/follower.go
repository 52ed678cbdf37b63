package runner

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/reducer"
)

const (
	// maxReadBackoff is the longest back-off before a failed log read is retried.
	maxReadBackoff = 2 * time.Second
	// hostListInterval is the time from a read of the host list to the next one.
	hostListInterval = 2 * time.Second
)

// followStream starts a follower that reads a stream from an offset on. It
// replaces an earlier follower of the same stream.
func (r *Runner) followStream(ctx context.Context, e reducer.FollowStream) {
	if r.dependencies.Log == nil {
		return
	}
	if cancelPrevious, ok := r.cancelFollowers[e.Stream]; ok {
		cancelPrevious()
	}
	ctx, cancel := context.WithCancel(ctx)
	r.cancelFollowers[e.Stream] = cancel
	r.workers.start(ctx, func(ctx context.Context) {
		defer cancel()
		r.readStream(ctx, e.Stream, e.From)
	})
}

// readStream reads a stream and submits each batch as an event, until the
// context ends or the log no longer holds the next offset. Failed reads are
// submitted as events and retried with exponential back-off. It counts from the
// beginning of the read: one that was silent has waited for long enough.
func (r *Runner) readStream(ctx context.Context, stream fuchsiapitch.StreamName, nextOffset fuchsiapitch.Offset) {
	backOff := backoff.NewExponentialBackOff()
	backOff.MaxInterval = maxReadBackoff
	for ctx.Err() == nil {
		start := time.Now()
		batch, err := r.dependencies.Log.Read(ctx, stream, nextOffset, reducer.MaxReadBatch)
		var truncated *fuchsiapitch.LogTruncatedError
		switch {
		case err == nil:
			backOff.Reset()
			r.Submit(ctx, reducer.RecordsRead{Stream: stream, From: nextOffset, Batch: batch})
			nextOffset = batch.NextOffset()
		case errors.As(err, &truncated):
			r.Submit(ctx, reducer.StreamTruncated{Stream: stream, Oldest: truncated.Oldest})
			return
		default:
			r.Submit(ctx, reducer.ReadFailed{Stream: stream})
			sleep(ctx, backOff.NextBackOff()-time.Since(start))
		}
	}
}

// startHostListPolling starts a goroutine that reads the host list periodically
// and submits its backend servers as an event. A failed read is skipped; the time
// that it took counts towards the interval.
func (r *Runner) startHostListPolling(ctx context.Context) {
	if r.dependencies.HostList == nil {
		return
	}
	r.workers.start(ctx, func(ctx context.Context) {
		for ctx.Err() == nil {
			start, pause := time.Now(), hostListInterval
			servers, err := r.dependencies.HostList.BackendServers(ctx)
			if err == nil {
				r.Submit(ctx, reducer.ServersListed{Servers: servers})
			} else {
				pause -= time.Since(start)
			}
			sleep(ctx, pause)
		}
	})
}

// sleep waits for a duration or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
