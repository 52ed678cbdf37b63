package driver

import (
	"context"
	"errors"
	"net"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/coordinator"
)

// verifyServer asks a server that has broken off a response for its report. The server has
// ended if nobody listens at its address any more, or a later incarnation responds there. One
// that does not respond in time may be cut off.
func (d *Driver) verifyServer(e coordinator.VerifyServer) coordinator.ServerVerified {
	ctx, cancel := context.WithTimeout(d.ctx, probeTimeout)
	defer cancel()
	r, err := d.servers.Report(ctx, e.Server, e.Address)
	result := coordinator.ServerVerified{Server: e.Server, StartedUnixMillis: e.StartedUnixMillis}
	unreachable, isUnreachable := errors.AsType[*fuchsiapitch.UnreachableError](err)
	switch {
	case err == nil:
		result.Ended = r.StartedUnixMillis != e.StartedUnixMillis
	case isUnreachable:
		result.Ended = ctx.Err() == nil && !isTimeout(unreachable)
	}
	if err != nil {
		d.log.Info().Str("server", string(e.Server)).Err(err).Msg("server that broke off a response does not report")
	}
	d.meter.CountReportRequest(err == nil)
	return result
}

// isTimeout reports whether a call failed because nothing came in time.
func isTimeout(err error) bool {
	timeout, ok := errors.AsType[net.Error](err)
	return ok && timeout.Timeout()
}

// reportServerEnd counts and logs a server that has ended while it answered requests.
func (d *Driver) reportServerEnd(e coordinator.ServerEnded) {
	d.meter.CountServerEnd()
	d.log.Info().Str("server", string(e.Server)).Int64("started", e.StartedUnixMillis).Int("parts", e.Parts).Msg("server has ended while it answered")
}

// reportQuarantine counts and logs a changed quarantine.
func (d *Driver) reportQuarantine(e coordinator.QuarantineChanged) {
	d.meter.CountQuarantineChange(e.Quarantined)
	message := "part of prompts is free again"
	if e.Quarantined {
		message = "part of prompts is quarantined"
	}
	d.log.Warn().Stringer("part", e.Part).Msg(message)
}
