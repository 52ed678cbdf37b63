package gossiper

import (
	"context"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// Transport carries heartbeats between entry hosts.
type Transport interface {
	// Beat sends a heartbeat and returns the heartbeat of the receiver. It
	// returns an UnreachableError when the host does not answer.
	Beat(ctx context.Context, to fuchsiapitch.Host, heartbeat Heartbeat) (Heartbeat, error)
}
