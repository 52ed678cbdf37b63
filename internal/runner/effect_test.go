package runner

import (
	"context"
	"testing"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/reducer"
)

// fixedClock always returns the same instant.
type fixedClock struct{ now fuchsiapitch.Instant }

func (c fixedClock) Now() fuchsiapitch.Instant { return c.now }

// countingEngineControl counts the orders that are sent and accepts them all.
type countingEngineControl struct {
	fuchsiapitch.EngineControl
	orderCount int
}

func (c *countingEngineControl) Order(_ context.Context, server fuchsiapitch.BackendServer, order fuchsiapitch.Order) (fuchsiapitch.EngineStatus, error) {
	c.orderCount++
	return fuchsiapitch.NewEngineStatus(server.ID(), 1, order.FencingToken(), order.Assignment()), nil
}

// TestGiveOrder guards against orders that are sent after the controller's
// lease has expired, for example by a process that was paused.
func TestGiveOrder(t *testing.T) {
	newInstant := func(monotonic, wall time.Duration) fuchsiapitch.Instant {
		return fuchsiapitch.NewInstant(monotonic, time.Unix(1000, 0).Add(wall))
	}
	cases := map[string]struct {
		now    fuchsiapitch.Instant
		orders int
	}{
		"an order is sent before its expiry":                 {newInstant(time.Second, time.Second), 1},
		"an order is dropped when the monotonic clock is on": {newInstant(3*time.Second, time.Second), 0},
		"an order is dropped when the wall clock is on":      {newInstant(time.Second, 3*time.Second), 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			engineControl := &countingEngineControl{}
			r := New(nil, Dependencies{EngineControl: engineControl}, WithClock(fixedClock{c.now}))
			r.sendOrder(t.Context(), reducer.SendOrder{LeaseExpiry: newInstant(2*time.Second, 2*time.Second)})
			if engineControl.orderCount != c.orders {
				t.Errorf("got %d orders sent, want %d", engineControl.orderCount, c.orders)
			}
			orderEnded := (<-r.queue).event.(reducer.OrderEnded)
			if got := orderEnded.Outcome == fuchsiapitch.OutcomeNotRun; got == (c.orders == 1) {
				t.Errorf("got outcome %s with %d orders", orderEnded.Outcome, c.orders)
			}
		})
	}
}
