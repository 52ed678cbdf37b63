package dispatcher

import (
	"context"
	"sync/atomic"

	"google.golang.org/grpc/stats"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// departure knows whether a call may have left this process. Package grpc-go
// reports the header of an attempt when it queues it for the connection, so
// that a call without that report has certainly not left. A transparent retry
// follows only when the server stated that it did not look at the attempt
// before, which takes that attempt's report back.
type departure struct {
	left atomic.Bool
}

type departureKey struct{}

// withDeparture returns a context for one call and its departure.
func withDeparture(ctx context.Context) (context.Context, *departure) {
	d := &departure{}
	return context.WithValue(ctx, departureKey{}, d), d
}

// outcome returns what is known of the call when it has no answer.
func (d *departure) outcome() fuchsiapitch.Outcome {
	if d.left.Load() {
		return fuchsiapitch.OutcomeUnknown
	}
	return fuchsiapitch.OutcomeNotRun
}

// departureHandler notes the departures of the calls of a client.
type departureHandler struct{}

// TagRPC implements stats.Handler.
func (departureHandler) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

// HandleRPC implements stats.Handler.
func (departureHandler) HandleRPC(ctx context.Context, event stats.RPCStats) {
	d, ok := ctx.Value(departureKey{}).(*departure)
	if !ok {
		return
	}
	switch e := event.(type) {
	case *stats.Begin:
		if e.IsTransparentRetryAttempt {
			d.left.Store(false)
		}
	case *stats.OutHeader:
		d.left.Store(true)
	}
}

// TagConn implements stats.Handler.
func (departureHandler) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context {
	return ctx
}

// HandleConn implements stats.Handler.
func (departureHandler) HandleConn(context.Context, stats.ConnStats) {}
