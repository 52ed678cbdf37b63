package relayer

import (
	"context"
	"net/http"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// drainRetryAfter is the retry delay in the response to a request that a stopping host
// refuses. Other hosts can serve it at once.
const drainRetryAfter = 10 * time.Millisecond

// streamDurationFactor is by how much more than the estimate a stream may last for which a
// stopping host has time. One that is aborted gets no response instead, unlike other requests.
const streamDurationFactor = 2

// drain is the schedule of a stop.
type drain struct {
	// refuseFrom is when the host begins to refuse requests that may not end in time.
	refuseFrom time.Time
	// end is when the requests in flight are aborted.
	end time.Time
}

// HostStoppingError reports that a host stops before a request ends.
type HostStoppingError struct{}

// Error implements error.
func (e *HostStoppingError) Error() string { return "host stops" }

// StartDraining makes the relayer abort the requests in flight after a time, and refuse
// from an earlier time on those that are likely to last longer. Aborted requests get a response
// unless theirs has begun.
func (r *Relayer) StartDraining(refuseAfter, abortAfter time.Duration) {
	now := time.Now()
	if r.drain.CompareAndSwap(nil, &drain{refuseFrom: now.Add(refuseAfter), end: now.Add(abortAfter)}) {
		time.AfterFunc(abortAfter, func() { r.abort(&HostStoppingError{}) })
	}
}

// Draining reports whether StartDraining was called.
func (r *Relayer) Draining() bool { return r.drain.Load() != nil }

// refuseIfDraining refuses a request that may not end before the host has stopped. It
// reports whether it has.
func (x *exchange) refuseIfDraining() bool {
	d := x.relayer.drain.Load()
	if d == nil || x.receivedAt.Before(d.refuseFrom) {
		return false
	}
	end := x.deadline
	if estimate, ok := x.relayer.durations.estimate(x.route.Name); ok {
		if x.route.Kind == fuchsiapitch.StreamRoute {
			estimate *= streamDurationFactor
		}
		if estimatedEnd := x.receivedAt.Add(estimate); estimatedEnd.Before(end) {
			end = estimatedEnd
		}
	}
	if end.Before(d.end) {
		return false
	}
	x.relayer.meter.CountRequest(x.service, fuchsiapitch.RankName(x.route.Name), fuchsiapitch.OutcomeNotRun)
	x.writeError(http.StatusServiceUnavailable, drainRetryAfter, "not run: "+(&HostStoppingError{}).Error())
	return true
}

// newContext returns the context of the request. It ends at the deadline of the request, when the
// client leaves, and when the relayer aborts the requests in flight.
func (x *exchange) newContext() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithDeadline(x.request.Context(), x.deadline)
	stopWaiting := context.AfterFunc(x.relayer.aborted, cancel)
	return ctx, func() {
		stopWaiting()
		cancel()
	}
}
