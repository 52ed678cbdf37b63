package launcher

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/reducer"
)

// pollInterval is the time between two checks of an awaited condition.
const pollInterval = 20 * time.Millisecond

// Await polls a condition until it is true or the context ends.
func Await(ctx context.Context, condition func() bool) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-ctx.Done():
			return trace.Wrap(ctx.Err())
		case <-ticker.C:
		}
	}
	return nil
}

// AwaitReplicas waits until every entry host routes to at least the given number
// of replicas of a service.
func (c *Cluster) AwaitReplicas(ctx context.Context, service fuchsiapitch.ServiceName, minimum int) error {
	return Await(ctx, func() bool {
		for _, h := range c.hosts {
			routable := 0
			err := h.entryHost.Runner().Inspect(ctx, func(s *reducer.State) { routable = s.RoutableReplicas(service) })
			if err != nil || routable < minimum {
				return false
			}
		}
		return true
	})
}
