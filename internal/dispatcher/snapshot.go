package dispatcher

import (
	"context"

	"google.golang.org/grpc"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/configurer"
	"github.com/fuchsiapitch/fuchsiapitch/internal/encoder"
	"github.com/fuchsiapitch/fuchsiapitch/internal/encoder/wire"
	"github.com/fuchsiapitch/fuchsiapitch/internal/reducer"
)

// maxSnapshotBytes is the largest snapshot that is received, in bytes.
const maxSnapshotBytes = 64 << 20

// FetchSnapshot implements configurer.SnapshotFetcher.
func (c *Client) FetchSnapshot(ctx context.Context, host fuchsiapitch.Host, since fuchsiapitch.Offset) (configurer.Snapshot, error) {
	pc, err := c.liveConnection(ctx, connectionKey{address: host.Address(), trafficClass: snapshotClass})
	if err != nil {
		return configurer.Snapshot{}, &fuchsiapitch.UnreachableError{Address: host.Address(), Action: "snapshot", Err: err}
	}
	defer c.release(pc)
	response, err := wire.NewSnapshotsClient(pc.clientConn).Fetch(ctx, &wire.SnapshotRequest{Since: uint64(since)}, grpc.MaxCallRecvMsgSize(maxSnapshotBytes))
	if err != nil {
		return configurer.Snapshot{}, &fuchsiapitch.UnreachableError{Address: host.Address(), Action: "snapshot", Err: err}
	}
	pc.recordResponse()
	return encoder.DecodeConfigurationSnapshot(response), nil
}

// Fetch implements wire.SnapshotsServer.
func (s *Server) Fetch(ctx context.Context, message *wire.SnapshotRequest) (*wire.ConfigurationSnapshot, error) {
	var snapshot configurer.Snapshot
	err := s.runner.Inspect(ctx, func(state *reducer.State) {
		snapshot = state.ConfigurationSince(fuchsiapitch.Offset(message.GetSince()))
	})
	if err != nil {
		return nil, err
	}
	return encoder.EncodeConfigurationSnapshot(snapshot), nil
}
