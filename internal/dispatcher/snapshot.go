package dispatcher

import (
	"context"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/configurer"
	"github.com/fuchsiapitch/fuchsiapitch/internal/encoder"
	"github.com/fuchsiapitch/fuchsiapitch/internal/encoder/wire"
	"github.com/fuchsiapitch/fuchsiapitch/internal/reducer"
)

// FetchSnapshot implements configurer.Source.
func (c *Client) FetchSnapshot(ctx context.Context, host fuchsiapitch.Host, since fuchsiapitch.Offset) (configurer.Snapshot, error) {
	l, err := c.link(lane{address: host.Address(), name: heartbeatLane})
	if err != nil {
		return configurer.Snapshot{}, &fuchsiapitch.UnreachableError{Address: host.Address(), Action: "snapshot", Err: err}
	}
	answer, err := wire.NewSnapshotsClient(l.connection).Fetch(ctx, &wire.SnapshotRequest{Since: uint64(since)})
	if err != nil {
		return configurer.Snapshot{}, &fuchsiapitch.UnreachableError{Address: host.Address(), Action: "snapshot", Err: err}
	}
	return encoder.DecodeSnapshot(answer), nil
}

// Fetch implements wire.SnapshotsServer.
func (s *Server) Fetch(ctx context.Context, w *wire.SnapshotRequest) (*wire.ConfigurationSnapshot, error) {
	var snapshot configurer.Snapshot
	err := s.runner.Inspect(ctx, func(state *reducer.State) {
		snapshot = state.ConfigurationSince(fuchsiapitch.Offset(w.GetSince()))
	})
	if err != nil {
		return nil, err
	}
	return encoder.EncodeSnapshot(snapshot), nil
}
