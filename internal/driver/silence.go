package driver

import (
	"context"
	"errors"
	"net/http/httptrace"
	"sync/atomic"
)

// withSilenceDetection returns a context for a call to a server, and a function that
// reports whether the call got a connection and then no response in time. A process that
// stands still leaves it to the kernel to accept connections; one that has ended, or whose
// machine is cut off, accepts none.
func withSilenceDetection(ctx context.Context) (context.Context, func() bool) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }})
	return ctx, func() bool { return connected.Load() && errors.Is(ctx.Err(), context.DeadlineExceeded) }
}
