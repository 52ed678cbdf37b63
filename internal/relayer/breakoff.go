package relayer

import (
	"context"
	"errors"
	"net"
	"net/http"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/driver"
)

// breakOffCause says why a response that a client had begun to receive ended before it was
// complete.
type breakOffCause string

const (
	// causeClientLeft: the client has gone away.
	causeClientLeft breakOffCause = "client-left"
	// causeHostStopping: the host was about to end.
	causeHostStopping breakOffCause = "host-stopping"
	// causeTimeLimit: the time limit of the request has passed.
	causeTimeLimit breakOffCause = "time-limit"
	// causeNotRun: the last attempt was refused by its server as not run.
	causeNotRun breakOffCause = "not-run"
	// causeNoSlot: no slot was granted for another attempt.
	causeNoSlot breakOffCause = "no-slot"
	// causeGroupClosed: the slot was revoked, since the group is dissolved or silent.
	causeGroupClosed breakOffCause = "group-closed"
	// causeServerEnded: the server ended the connection.
	causeServerEnded breakOffCause = "server-ended"
	// causeInvalidResponse: the server sent a response that cannot be forwarded.
	causeInvalidResponse breakOffCause = "invalid-response"
	// causeOther is any other cause.
	causeOther breakOffCause = "other"
)

// breakOffCause returns the cause for a response whose last attempt has failed with an error.
func (x *exchange) breakOffCause(err error) breakOffCause {
	var response *ResponseError
	switch {
	case x.request.Context().Err() != nil:
		return causeClientLeft
	case isHostStopping(err), x.relayer.aborted.Err() != nil:
		return causeHostStopping
	case errors.Is(err, context.DeadlineExceeded), errors.Is(x.ctx.Err(), context.DeadlineExceeded):
		return causeTimeLimit
	case errors.As(err, &response) && response.Reason == reasonNotRun:
		return causeNotRun
	case isError[*driver.AdmissionError](err):
		return causeNoSlot
	case isError[*GroupClosedError](err):
		return causeGroupClosed
	case isConnectionEnd(err), errors.Is(err, net.ErrClosed):
		// The transport closes a connection whose server has ended it while the request is written.
		return causeServerEnded
	case response != nil, isError[*InvalidEventError](err), isError[*fuchsiapitch.ResponseTooLargeError](err):
		return causeInvalidResponse
	}
	return causeOther
}

// isError reports whether an error is, or wraps, one of a type.
func isError[E error](err error) bool {
	_, ok := errors.AsType[E](err)
	return ok
}

// breakOff ends a response that the client had begun to receive, so that the client does not
// take it for complete.
func (x *exchange) breakOff(err error) {
	cause := x.breakOffCause(err)
	x.relayer.meter.CountBrokenOffResponse(string(cause))
	if cause == causeClientLeft {
		x.logFailure(http.StatusOK, "caller left")
	} else {
		x.logFailure(http.StatusOK, "stream broken off: "+err.Error())
	}
	panic(http.ErrAbortHandler)
}

// logFailedAttempt logs a failed attempt of a stream that the client has begun to receive.
// Another attempt may succeed, after which nothing else is logged about this one. An attempt
// that got no slot has no server.
func (x *exchange) logFailedAttempt(p *streamProgress, outcome fuchsiapitch.Outcome, err error) {
	if !p.headerSent || x.request.Context().Err() != nil {
		return
	}
	server := fuchsiapitch.ServerID("")
	if n := len(x.failedServers); n > 0 && !isError[*driver.AdmissionError](err) {
		server = x.failedServers[n-1]
	}
	x.relayer.log.Info().Str("request", string(x.metadata.ID)).Str("route", x.route.Name).Str("server", string(server)).
		Stringer("outcome", outcome).Int("sent", x.sendCount).Int64("last-event", p.lastEventID).
		Int64("left-ms", x.remaining().Milliseconds()).Err(err).Msg("attempt of a stream failed")
}
