package runner

import (
	"context"
	"testing"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/reducer"
)

// fixedClock stands at one instant.
type fixedClock struct{ now fuchsiapitch.Instant }

func (c fixedClock) Now() fuchsiapitch.Instant { return c.now }

// countingControls counts the orders that are sent.
type countingControls struct {
	fuchsiapitch.EngineControl
	orders int
}

func (c *countingControls) Order(_ context.Context, server fuchsiapitch.BackendServer, order fuchsiapitch.Order) (fuchsiapitch.EngineStatus, error) {
	c.orders++
	return fuchsiapitch.NewEngineStatus(server.ID(), 1, order.FencingToken(), order.Assignment()), nil
}

func TestGiveOrder(t *testing.T) {
	at := func(monotonic, wall time.Duration) fuchsiapitch.Instant {
		return fuchsiapitch.NewInstant(monotonic, time.Unix(1000, 0).Add(wall))
	}
	cases := map[string]struct {
		now    fuchsiapitch.Instant
		orders int
	}{
		"an order is sent before its expiry":                 {at(time.Second, time.Second), 1},
		"an order is dropped when the monotonic clock is on": {at(3*time.Second, time.Second), 0},
		"an order is dropped when the wall clock is on":      {at(time.Second, 3*time.Second), 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			controls := &countingControls{}
			r := New(nil, Outside{Controls: controls}, WithClock(fixedClock{c.now}))
			r.giveOrder(t.Context(), reducer.SendOrder{LeaseExpiry: at(2*time.Second, 2*time.Second)})
			if controls.orders != c.orders {
				t.Errorf("got %d orders sent, want %d", controls.orders, c.orders)
			}
			ended := (<-r.queue).event.(reducer.OrderEnded)
			if got := ended.Outcome == fuchsiapitch.OutcomeNotRun; got == (c.orders == 1) {
				t.Errorf("got outcome %s with %d orders", ended.Outcome, c.orders)
			}
		})
	}
}
