package coordinator

import (
	"fmt"
	"testing"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// newDemandDigest returns a digest of a relay that reports the given requests per second for
// the models large and small.
func newDemandDigest(large, small float64, loads []ServerLoad) Digest {
	window := arrivalWindow.Seconds()
	return Digest{
		Sender: Heartbeat{From: Peer{ID: "relay", DataCentre: "dc"}, Incarnation: 1, HasReceivedRequests: true, ServerLoads: loads, Queues: []Queue{
			{Service: "llm", Model: "large", Arrivals: int(large * window)}, {Service: "llm", Model: "small", Arrivals: int(small * window)},
		}},
		HostCount: 20,
	}
}

// reportDemand runs a simulation for some seconds in which a relay reports the given
// requests per second for the models large and small, with all slots of the large one taken.
func reportDemand(sm *simulation, seconds int, large, small float64) {
	for range seconds * 10 {
		var loads []ServerLoad
		for id, r := range sm.coordinators[0].replicas {
			if r.model == "large" && r.open {
				loads = append(loads, ServerLoad{Server: id, InFlight: r.slots})
			}
		}
		sm.apply(0, DigestReceived{Digest: newDemandDigest(large, small, loads)})
		sm.run(100 * time.Millisecond)
	}
}

// reportLoad is like reportDemand, with requests in flight at every open group of the small
// model.
func reportLoad(sm *simulation, seconds int, large, small float64, smallInFlight int) {
	for range seconds * 10 {
		var loads []ServerLoad
		for id, r := range sm.coordinators[0].replicas {
			if r.model == "small" && r.open {
				loads = append(loads, ServerLoad{Server: id, InFlight: smallInFlight})
			}
		}
		sm.apply(0, DigestReceived{Digest: newDemandDigest(large, small, loads)})
		sm.run(100 * time.Millisecond)
	}
}

// newLargeSimulation returns a simulation of two domains of 35 servers with models of 16
// and 4 servers, whose controller uses relays. The shares favour the small model.
func newLargeSimulation() *simulation {
	routes := newRoutesOf(
		fuchsiapitch.Model{Name: "large", GroupSize: 16, InitialLoadShare: 0.5, TimeFactor: 1, ColdLoadTime: simulatedLoadTime, WarmLoadTime: simulatedWarmLoadTime},
		fuchsiapitch.Model{Name: "small", GroupSize: 4, InitialLoadShare: 0.5, TimeFactor: 0.6, ColdLoadTime: simulatedLoadTime, WarmLoadTime: simulatedWarmLoadTime},
	)
	sm := newSimulationOf(1, routes, 35)
	sm.startController()
	sm.coordinators[0].dataCentre = "dc"
	var peers []Peer
	for n := range maxDirectPeers + 1 {
		peers = append(peers, Peer{ID: fuchsiapitch.HostID(fmt.Sprintf("p%d", n)), DataCentre: "dc"})
	}
	sm.apply(0, PeersListed{Peers: peers})
	sm.run(12 * time.Second)
	return sm
}

// countOpen returns the number of open groups of each model.
func countOpen(sm *simulation) map[string]int {
	counts := make(map[string]int)
	for _, d := range []string{"d0", "d1"} {
		for m, n := range sm.countOpenGroupsByModel(d) {
			counts[m] += n
		}
	}
	return counts
}

// Pattern: requests for the model with the large groups exceed what its groups serve, while
// the many groups of the other model are nearly idle.
func TestGroupsFollowDemand(t *testing.T) {
	sm := newLargeSimulation()
	before := countOpen(sm)
	reportDemand(sm, 4, 10, 10)
	t.Run("no change while each model has groups for its demand", func(t *testing.T) {
		assertCounts(t, countOpen(sm), before)
	})
	reportDemand(sm, 14, 70, 10)
	t.Run("groups of the model in demand", func(t *testing.T) {
		assertNoViolations(t, sm)
		if got, want := countOpen(sm)["large"], before["large"]+1; got < want {
			t.Errorf("got %d groups of the model in demand, want at least %d", got, want)
		}
	})
	after := countOpen(sm)
	reportDemand(sm, 6, 70, 10)
	t.Run("no further change", func(t *testing.T) {
		assertCounts(t, countOpen(sm), after)
	})
}

func assertCounts(t *testing.T, got, want map[string]int) {
	t.Helper()
	for _, m := range []string{"large", "small"} {
		if got[m] != want[m] {
			t.Errorf("got %d open groups of %s, want %d", got[m], m, want[m])
		}
	}
}

// Pattern: requests for a small model are shorter than assumed before the first one has
// ended, so that its slots are half empty though many arrive. No group retires for it.
func TestGroupsStayWithFreeSlots(t *testing.T) {
	sm := newLargeSimulation()
	before := countOpen(sm)
	reportLoad(sm, 10, 5, 300, 13)
	assertCounts(t, countOpen(sm), before)
}
