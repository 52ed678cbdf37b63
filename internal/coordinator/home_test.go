package coordinator

import (
	"fmt"
	"testing"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/confiner"
)

// homeIn returns the home with the given regions.
func homeIn(regions ...fuchsiapitch.RegionName) confiner.Home { return confiner.Confine(regions, nil) }

// newTwoRegionCoordinator returns a coordinator of region "here" that knows servers of a plain
// service with one slot each: "near" in region here, "far" in region there, and "lost" in a data
// centre of unknown region.
func newTwoRegionCoordinator(now time.Duration) *Coordinator {
	c := New(Peer{ID: "a"}, 1, WithDataCentre("z1"), WithRegions(confiner.Regions{"z1": "here", "z2": "there", "z4": "empty"}), WithRetryBudget(0.2, 100, 10*time.Second))
	c.Apply(0, ConfigurationChanged{Routes: plainRoutes()})
	var list []fuchsiapitch.ServerReport
	for zone, id := range map[fuchsiapitch.DataCentreName]fuchsiapitch.ServerID{"z1": "near", "z2": "far", "z3": "lost"} {
		list = append(list, fuchsiapitch.ServerReport{ID: id, Service: plainService, Address: string(id), DataCentre: zone, Slots: 1})
	}
	c.Apply(now, ServersListed{Servers: list})
	return c
}

func newHomeArrival(now time.Duration, ticket Ticket, home confiner.Home) RequestArrived {
	return RequestArrived{Ticket: ticket, Service: plainService, Home: home, FirstByteBy: now + time.Second, Deadline: now + 3*time.Second}
}

func TestRequestStaysInItsHome(t *testing.T) {
	const now = 5 * time.Second
	t.Run("only servers there", func(t *testing.T) {
		c := newTwoRegionCoordinator(now)
		for n := range Ticket(40) {
			e := newHomeArrival(now, n+1, homeIn("there", "elsewhere"))
			e.IsRetry, e.Resumed = n%3 == 1, n%5 == 1
			if n%4 == 1 {
				e.FailedServers, e.AvoidsFailedServers = []fuchsiapitch.ServerID{"far"}, true
			}
			if server, _ := decisionFor(c.Apply(now, e), e.Ticket); server != "" && server != "far" {
				t.Errorf("got server %s, want far", server)
			}
		}
	})
	t.Run("no server there", func(t *testing.T) {
		for _, home := range []confiner.Home{homeIn("empty"), homeIn("elsewhere"), confiner.Nowhere} {
			c := newTwoRegionCoordinator(now)
			if _, got := decisionFor(c.Apply(now, newHomeArrival(now, 1, home)), 1); got != NoHome {
				t.Errorf("got %s for home %s, want %s", got, home, NoHome)
			}
		}
	})
	t.Run("stream that has begun and has no home", func(t *testing.T) {
		c := newTwoRegionCoordinator(now)
		e := newHomeArrival(now, 1, confiner.Nowhere)
		e.Resumed, e.IsRetry = true, true
		if _, got := decisionFor(c.Apply(now, e), 1); got != NoHome {
			t.Errorf("got %s, want %s", got, NoHome)
		}
	})
	t.Run("regions change", func(t *testing.T) {
		c := newTwoRegionCoordinator(now)
		c.Apply(now, LimitsChanged{Regions: confiner.Regions{"z3": "there"}})
		if server, _ := decisionFor(c.Apply(now, newHomeArrival(now, 1, homeIn("there"))), 1); server != "lost" {
			t.Errorf("got server %q, want lost", server)
		}
	})
}

// fillServers sends requests to a coordinator until all servers and the queue beyond them are full.
func fillServers(c *Coordinator, now time.Duration, home confiner.Home, from Ticket, count int) (refused int) {
	for n := range Ticket(count) {
		if _, reason := decisionFor(c.Apply(now, newHomeArrival(now, from+n, home)), from+n); reason != 0 {
			refused++
		}
	}
	return refused
}

// A queue in one region neither delays nor refuses requests of the other.
func TestFullRegionDoesNotHoldUpTheOther(t *testing.T) {
	const now = 5 * time.Second
	t.Run("at the same host", func(t *testing.T) {
		c := newTwoRegionCoordinator(now)
		fillServers(c, now, homeIn("there"), 100, 60)
		if server, reason := decisionFor(c.Apply(now, newHomeArrival(now, 1, homeIn("here"))), 1); server != "near" {
			t.Errorf("got server %q and refusal %s, want near", server, reason)
		}
	})
	for _, home := range []confiner.Home{homeIn("there"), homeIn("here")} {
		t.Run(fmt.Sprintf("queue of %s at another host", home), func(t *testing.T) {
			c := newTwoRegionCoordinator(now)
			fillServers(c, now, homeIn("here"), 100, 4)
			c.Apply(now, HeartbeatReceived{Heartbeat: Heartbeat{From: Peer{ID: "b"}, Incarnation: 1, Sequence: 1, Queues: []Queue{{Service: plainService, Home: home, Length: 500}}}})
			_, got := decisionFor(c.Apply(now, newHomeArrival(now, 1, homeIn("here"))), 1)
			if want := home.Overlaps(homeIn("here")); (got == Overloaded) != want {
				t.Errorf("got refusal %s, want one for overload: %t", got, want)
			}
		})
	}
}

// An earlier request without a home comes before a confined one for the same servers.
func TestConfinedRequestWaitsItsTurn(t *testing.T) {
	const now = 5 * time.Second
	c := newTwoRegionCoordinator(now)
	fillServers(c, now, confiner.Anywhere, 100, 20)
	queued := len(c.queue)
	if queued == 0 {
		t.Fatal("got an empty queue, want requests in it")
	}
	c.Apply(now+time.Millisecond, newHomeArrival(now, 1, homeIn("here")))
	if got := c.queue[len(c.queue)-1].Ticket; got != 1 || len(c.queue) != queued+1 {
		t.Errorf("got request %d last of %d, want the confined one last of %d", got, len(c.queue), queued+1)
	}
	var lengths []int
	for _, q := range c.queueLengths(now) {
		lengths = append(lengths, q.Length)
	}
	if got, want := fmt.Sprint(lengths), fmt.Sprint([]int{queued, 1}); got != want {
		t.Errorf("got queue lengths %s told to other hosts, want %s", got, want)
	}
}

// The shares of an overloaded pool hold for confined requests if all its replicas are in their home.
func TestOnlyNarrowedRequestsEscapeShedding(t *testing.T) {
	const now = 5 * time.Second
	c := newTwoRegionCoordinator(now)
	c.Apply(now, LimitsChanged{Regions: confiner.Regions{"z1": "here", "z2": "there", "z3": "there"}})
	for home, want := range map[confiner.Home]bool{confiner.Anywhere: false, homeIn("here", "there"): false, homeIn("here"): true} {
		if got := c.isNarrowed(&queuedRequest{pool: poolKey{service: plainService}, home: home}); got != want {
			t.Errorf("got %t for home %s, want %t", got, home, want)
		}
	}
}
