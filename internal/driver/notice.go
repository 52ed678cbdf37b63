package driver

import (
	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/coordinator"
)

// RecordNotice records what a server stated about itself beside a response. The request is
// "" if the response was to a probe or an order.
func (d *Driver) RecordNotice(server fuchsiapitch.ServerID, request fuchsiapitch.RequestID, notice fuchsiapitch.ServerNotice) {
	if notice.IsZero() {
		return
	}
	d.Apply(coordinator.NoticeReceived{Server: server, Request: request, Notice: notice})
}

// RecordNotice records what the server of the slot stated about itself beside its response
// to a request. It must be called before the slot is released: a queued request may get the
// slot then.
func (s *Slot) RecordNotice(request fuchsiapitch.RequestID, notice fuchsiapitch.ServerNotice) {
	s.driver.RecordNotice(s.grant.Server, request, notice)
}

// reportSetAside counts and logs a server that gets no new requests.
func (d *Driver) reportSetAside(e coordinator.ServerSetAside) {
	d.meter.CountServerSetAside(e.Reason)
	line := d.log.Info().Str("server", string(e.Server)).Int64("started", e.StartedUnixMillis).Int64("list-offset", e.ListOffset)
	if e.Request != "" {
		line = line.Str("request", string(e.Request))
	}
	if e.Reason == coordinator.SetAsidePause {
		line.Int64("pause-ms", e.Pause.Milliseconds()).Msg("server pauses")
		return
	}
	line.Msg("server says that it leaves")
}
