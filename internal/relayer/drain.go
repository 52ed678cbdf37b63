package relayer

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/driver"
)

// drainRetryAfter is the retry delay in the response to a request that a stopping host
// refuses. Other hosts can serve it at once.
const drainRetryAfter = 10 * time.Millisecond

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

// isHostStopping reports whether a request ended because the host stops.
func isHostStopping(err error) bool {
	_, ok := errors.AsType[*HostStoppingError](err)
	return ok
}

// isFinalRefusal reports whether a request was refused a slot or ended because the host stops.
// The host has decided, so that it is not asked again.
func isFinalRefusal(err error) bool {
	return isHostStopping(err) || isError[*driver.AdmissionError](err)
}

// StartDraining makes the relayer abort the requests in flight after a time, and refuse
// from an earlier time on those whose time limit is later. Aborted requests get a response
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
	if !x.mayOutlastStop() {
		return false
	}
	x.relayer.meter.CountRequest(x.service, fuchsiapitch.RankName(x.route.Name), fuchsiapitch.OutcomeNotRun)
	x.writeError(http.StatusServiceUnavailable, drainRetryAfter, "not run: "+(&HostStoppingError{}).Error())
	return true
}

// mayOutlastStop reports whether the host stops and a request that it passes on now may end
// only after the host.
func (x *exchange) mayOutlastStop() bool {
	d := x.relayer.drain.Load()
	return d != nil && !time.Now().Before(d.refuseFrom) && !x.deadline.Before(d.end)
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
