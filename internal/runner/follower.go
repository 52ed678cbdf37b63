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
	// readTimeout bounds the wait for one read of the log.
	readTimeout = 10 * time.Second
	// readRetryLimit is the longest wait before a failed read is repeated.
	readRetryLimit = 2 * time.Second
	// listPeriod is the time between two reads of the host list.
	listPeriod = 2 * time.Second
)

// follow reads a stream from an offset on, in place of an earlier follower of
// the same stream.
func (r *Runner) follow(ctx context.Context, e reducer.FollowStream) {
	if r.outside.Log == nil {
		return
	}
	if stop, ok := r.followers[e.Stream]; ok {
		stop()
	}
	ctx, cancel := context.WithCancel(ctx)
	r.followers[e.Stream] = cancel
	r.workers.start(ctx, func(ctx context.Context) {
		defer cancel()
		r.read(ctx, e.Stream, e.From)
	})
}

func (r *Runner) read(ctx context.Context, stream fuchsiapitch.StreamName, from fuchsiapitch.Offset) {
	wait := backoff.NewExponentialBackOff()
	wait.MaxInterval = readRetryLimit
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, readTimeout)
		batch, err := r.outside.Log.Read(call, stream, from, reducer.ReadBatchLimit)
		cancel()
		var truncated *fuchsiapitch.LogTruncatedError
		switch {
		case err == nil:
			wait.Reset()
			r.Submit(ctx, reducer.RecordsRead{Stream: stream, From: from, Batch: batch})
			from = batch.NextOffset()
		case errors.As(err, &truncated):
			r.Submit(ctx, reducer.StreamTruncated{Stream: stream, Oldest: truncated.Oldest})
			return
		default:
			r.Submit(ctx, reducer.ReadFailed{Stream: stream})
			pause(ctx, wait.NextBackOff())
		}
	}
}

// startListing reads the host list again and again.
func (r *Runner) startListing(ctx context.Context) {
	if r.outside.Hosts == nil {
		return
	}
	r.workers.start(ctx, func(ctx context.Context) {
		for ctx.Err() == nil {
			call, cancel := context.WithTimeout(ctx, readTimeout)
			servers, err := r.outside.Hosts.BackendServers(call)
			cancel()
			if err == nil {
				r.Submit(ctx, reducer.ServersListed{Servers: servers})
			}
			pause(ctx, listPeriod)
		}
	})
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
