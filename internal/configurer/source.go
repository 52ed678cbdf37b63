package configurer

import (
	"context"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// SnapshotFetcher reads the configuration of other entry hosts.
type SnapshotFetcher interface {
	// FetchSnapshot returns the changes in the configuration of a host after an
	// offset. It returns an UnreachableError if the host does not respond.
	FetchSnapshot(ctx context.Context, host fuchsiapitch.Host, since fuchsiapitch.Offset) (Snapshot, error)
}
