package dispatcher

import (
	"context"
	"sync/atomic"

	"google.golang.org/grpc/stats"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// sendTracker records whether a call may have been sent. grpc-go reports the header
// of an attempt when it queues the header for the connection, so a call without
// that report has not been sent. grpc-go retries transparently only when the server
// stated that it did not process the previous attempt, so a transparent retry
// resets the record.
type sendTracker struct {
	headerQueued atomic.Bool
}

type sendTrackerKey struct{}

// withSendTracker returns a context for one call and the tracker of that call.
func withSendTracker(ctx context.Context) (context.Context, *sendTracker) {
	st := &sendTracker{}
	return context.WithValue(ctx, sendTrackerKey{}, st), st
}

// outcome returns the outcome of a call that got no response.
func (st *sendTracker) outcome() fuchsiapitch.Outcome {
	if st.headerQueued.Load() {
		return fuchsiapitch.OutcomeUnknown
	}
	return fuchsiapitch.OutcomeNotRun
}

// sendStatsHandler updates the send trackers of a client's calls.
type sendStatsHandler struct{}

// TagRPC implements stats.Handler.
func (sendStatsHandler) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

// HandleRPC implements stats.Handler.
func (sendStatsHandler) HandleRPC(ctx context.Context, event stats.RPCStats) {
	st, ok := ctx.Value(sendTrackerKey{}).(*sendTracker)
	if !ok {
		return
	}
	switch e := event.(type) {
	case *stats.Begin:
		if e.IsTransparentRetryAttempt {
			st.headerQueued.Store(false)
		}
	case *stats.OutHeader:
		st.headerQueued.Store(true)
	}
}

// TagConn implements stats.Handler.
func (sendStatsHandler) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context {
	return ctx
}

// HandleConn implements stats.Handler.
func (sendStatsHandler) HandleConn(context.Context, stats.ConnStats) {}
