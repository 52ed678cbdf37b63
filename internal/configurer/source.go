package configurer

import (
	"context"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// Source gives the configuration of other entry hosts.
type Source interface {
	// Snapshot returns what has changed in the configuration of a host after an
	// offset. It returns an UnreachableError when the host does not answer.
	Snapshot(ctx context.Context, host fuchsiapitch.Host, since fuchsiapitch.Offset) (Snapshot, error)
}
