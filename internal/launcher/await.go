package launcher

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/reducer"
)

// pollPeriod is the time between two looks at a state that is waited for.
const pollPeriod = 20 * time.Millisecond

// Await polls a condition until it holds or the context ends.
func Await(ctx context.Context, condition func() bool) error {
	t := time.NewTicker(pollPeriod)
	defer t.Stop()
	for !condition() {
		select {
		case <-ctx.Done():
			return trace.Wrap(ctx.Err())
		case <-t.C:
		}
	}
	return nil
}

// AwaitReplicas waits until every entry host routes to a number of replicas of
// a service.
func (c *Cluster) AwaitReplicas(ctx context.Context, service fuchsiapitch.ServiceName, count int) error {
	return Await(ctx, func() bool {
		for _, h := range c.hosts {
			routable := 0
			err := h.entry.Runner().Inspect(ctx, func(s *reducer.State) { routable = s.RoutableReplicas(service) })
			if err != nil || routable < count {
				return false
			}
		}
		return true
	})
}
