package driver

import (
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/coordinator"
	"github.com/fuchsiapitch/fuchsiapitch/internal/encoder/wire"
	"github.com/fuchsiapitch/fuchsiapitch/internal/evacuator"
	"github.com/fuchsiapitch/fuchsiapitch/internal/ramper"
)

// encodeOperation encodes the evacuations and the cold servers of a heartbeat.
func encodeOperation(b coordinator.Heartbeat, w *wire.HostStatus) {
	for _, n := range b.Evacuations {
		w.Evacuations = append(w.Evacuations, &wire.Evacuation{DataCentre: string(n.DataCentre), Evacuated: n.Evacuated, Era: n.Version.Era, Offset: n.Version.Offset})
	}
	for _, n := range b.ColdServers {
		w.ColdServers = append(w.ColdServers, &wire.ColdServer{Server: string(n.Server), LeftMs: toUint32(int(n.Left.Milliseconds()))})
	}
}

// decodeOperation sets the evacuations and the cold servers of a heartbeat.
func decodeOperation(w *wire.HostStatus, b *coordinator.Heartbeat) {
	for _, n := range w.GetEvacuations() {
		b.Evacuations = append(b.Evacuations, evacuator.News{
			DataCentre: fuchsiapitch.DataCentreName(n.GetDataCentre()), Evacuated: n.GetEvacuated(), Version: evacuator.Version{Era: n.GetEra(), Offset: n.GetOffset()},
		})
	}
	for _, n := range w.GetColdServers() {
		b.ColdServers = append(b.ColdServers, ramper.News{Server: fuchsiapitch.ServerID(n.GetServer()), Left: time.Duration(n.GetLeftMs()) * time.Millisecond})
	}
}

// reportEvacuation counts and logs a data centre that is evacuated or taken back.
func (d *Driver) reportEvacuation(e coordinator.EvacuationChanged) {
	d.meter.CountEvacuationChange(e.News.Evacuated)
	message := "data centre is evacuated"
	if !e.News.Evacuated {
		message = "data centre is taken back"
	}
	d.log.Info().Str("data-centre", string(e.News.DataCentre)).Int64("offset", e.News.Version.Offset).Int64("era", e.News.Version.Era).Msg(message)
}
