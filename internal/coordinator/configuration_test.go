package coordinator

import (
	"testing"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// newPlainRoutes returns a configuration with plain services.
func newPlainRoutes(version int64, services ...fuchsiapitch.ServiceName) *fuchsiapitch.RouteTable {
	var profiles []fuchsiapitch.ServiceProfile
	for _, s := range services {
		profiles = append(profiles, fuchsiapitch.ServiceProfile{Name: s})
	}
	return fuchsiapitch.NewRouteTable(version, nil, profiles, nil, false, fuchsiapitch.ClientLimits{})
}

// newPlainCoordinator returns a coordinator that knows one server of the plain service,
// with one slot.
func newPlainCoordinator(now time.Duration) *Coordinator {
	c := New(Peer{ID: "a"}, 1, WithRetryBudget(0.2, 100, 10*time.Second))
	c.Apply(0, ConfigurationChanged{Routes: newPlainRoutes(1, plainService)})
	c.Apply(now, ServersListed{Servers: []fuchsiapitch.ServerReport{{ID: "app0", Service: plainService, Slots: 1}}})
	return c
}

func newPlainArrival(now time.Duration, ticket Ticket) RequestArrived {
	return RequestArrived{Ticket: ticket, Service: plainService, FirstByteBy: now + 2*time.Second, Deadline: now + 4*time.Second}
}

// Guards against a request that waits for a service until it is refused, or a stream that
// cannot be resumed there, because a newer configuration than that of the request no longer
// has the service. Its servers still serve.
func TestRequestsOutliveTheirService(t *testing.T) {
	now := 5 * time.Second
	t.Run("a waiting request", func(t *testing.T) {
		c := newPlainCoordinator(now)
		c.Apply(now, newPlainArrival(now, 1))
		c.Apply(now, newPlainArrival(now, 2))
		c.Apply(now, ConfigurationChanged{Routes: newPlainRoutes(2)})
		now := now + 60*time.Millisecond
		c.Apply(now, Ticked{})
		if got, reason := decisionFor(c.Apply(now, TicketReleased{Ticket: 1}), 2); got != "app0" {
			t.Errorf("got %q and %s, want app0", got, reason)
		}
	})
	t.Run("a request that is sent again", func(t *testing.T) {
		c := newPlainCoordinator(now)
		c.Apply(now, newPlainArrival(now, 1))
		c.Apply(now, ConfigurationChanged{Routes: newPlainRoutes(2)})
		later := now + 60*time.Millisecond
		c.Apply(later, Ticked{})
		c.Apply(later, TicketReleased{Ticket: 1, Failed: true})
		again := newPlainArrival(now, 2)
		again.IsRetry = true
		if got, reason := decisionFor(c.Apply(later, again), 2); got != "app0" {
			t.Errorf("got %q and %s, want app0", got, reason)
		}
	})
	t.Run("none after the last deadline", func(t *testing.T) {
		c := newPlainCoordinator(now)
		c.Apply(now, newPlainArrival(now, 1))
		c.Apply(now, ConfigurationChanged{Routes: newPlainRoutes(2)})
		later := now + 5*time.Second
		c.Apply(later, Ticked{})
		if got, reason := decisionFor(c.Apply(later, newPlainArrival(later, 2)), 2); reason != NoReplica {
			t.Errorf("got %q and %s, want a refusal for %s", got, reason, NoReplica)
		}
		if got, want := len(c.services), 0; got != want {
			t.Errorf("got %d services kept, want %d", got, want)
		}
	})
}

// Guards against requests that are refused although the configuration in force has their
// service: its servers were used from the next tick on.
func TestServiceServesAtOnce(t *testing.T) {
	now := 5 * time.Second
	c := New(Peer{ID: "a"}, 1)
	c.Apply(0, ConfigurationChanged{Routes: newPlainRoutes(1)})
	c.Apply(now, ServersListed{Servers: []fuchsiapitch.ServerReport{{ID: "app0", Service: plainService, Slots: 1}}})
	c.Apply(now, ConfigurationChanged{Routes: newPlainRoutes(2, plainService)})
	if got, reason := decisionFor(c.Apply(now, newPlainArrival(now, 1)), 1); got != "app0" {
		t.Errorf("got %q and %s, want app0", got, reason)
	}
}

// Guards against turns that are kept for hosts that are gone, in which no host renews its long poll.
func TestTurnCountsLiveHosts(t *testing.T) {
	now := time.Second
	c := New(Peer{ID: "h2"}, 1)
	for _, id := range []fuchsiapitch.HostID{"h1", "h3", "h4"} {
		c.Apply(now, HeartbeatReceived{Heartbeat: Heartbeat{From: Peer{ID: id}, Incarnation: 1, Sequence: 1}})
	}
	now += peerTimeout
	c.Apply(now, HeartbeatReceived{Heartbeat: Heartbeat{From: Peer{ID: "h3"}, Incarnation: 1, Sequence: 2}})
	if rank, hosts := c.Turn(now); rank != 0 || hosts != 2 {
		t.Errorf("got rank %d of %d hosts, want 0 of 2", rank, hosts)
	}
}
