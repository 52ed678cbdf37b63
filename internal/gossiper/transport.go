package gossiper

import (
	"context"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// Transport sends heartbeats to other entry hosts.
type Transport interface {
	// SendHeartbeat sends a heartbeat and returns the heartbeat with which the
	// receiver answers. It returns an UnreachableError if the host does not answer.
	SendHeartbeat(ctx context.Context, to fuchsiapitch.Host, heartbeat Heartbeat) (Heartbeat, error)
}
