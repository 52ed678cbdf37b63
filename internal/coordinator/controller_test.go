package coordinator

import (
	"testing"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// sentHeartbeat returns the heartbeat among effects, if any.
func sentHeartbeat(effects []Effect) (Heartbeat, bool) {
	for _, e := range effects {
		if b, ok := e.(SendHeartbeat); ok {
			return b.Heartbeat, true
		}
	}
	return Heartbeat{}, false
}

func claimsControl(effects []Effect) bool {
	for _, e := range effects {
		if _, ok := e.(ClaimControl); ok {
			return true
		}
	}
	return false
}

// newPair returns a controller and another host that have received each other's
// heartbeats.
func newPair(now time.Duration) (controller, other *Coordinator) {
	controller, other = New(Peer{ID: "a"}, 1), New(Peer{ID: "b"}, 1)
	for _, c := range []*Coordinator{controller, other} {
		c.Apply(0, ConfigurationChanged{Routes: newDefaultRoutes()})
		c.Apply(now, ServersListed{})
		c.Apply(now, PeersListed{Peers: []Peer{{ID: "a"}, {ID: "b"}}})
	}
	claim := ClaimRead{Number: 7, Holder: "a", Incarnation: 1}
	controller.Apply(now, claim)
	other.Apply(now, claim)
	deliverHeartbeat(now, other, controller)
	deliverHeartbeat(now, controller, other)
	return controller, other
}

// deliverHeartbeat delivers a heartbeat of one host to another.
func deliverHeartbeat(now time.Duration, from, to *Coordinator) {
	from.nextHeartbeatAt = now
	if b, ok := sentHeartbeat(from.Apply(now, Ticked{})); ok {
		to.Apply(now, HeartbeatReceived{Heartbeat: b})
	}
}

func TestStoppingControllerHandsOver(t *testing.T) {
	now := 3 * time.Second
	controller, other := newPair(now)
	other.Apply(now, StoreReadFailed{})
	controller.Apply(now, HostStopping{})
	deliverHeartbeat(now, controller, other)
	if got, want := other.isController(now), true; got != want {
		t.Errorf("got isController %v at the successor, want %v", got, want)
	}
	if got, want := controller.isController(now), false; got != want {
		t.Errorf("got isController %v at the stopping host, want %v", got, want)
	}
	if got, want := other.nextEpoch(), newEpochOf(7, handoverEpochGap+1); got != want {
		t.Errorf("got epoch %d, want %d", got, want)
	}
}

// Hosts stop one after the other. The successor of a stopping controller stops too, and hands
// the claim on itself. The first one must not hand the same claim to a third host: both would
// give orders, and for the same epochs.
func TestClaimIsHandedToOneHost(t *testing.T) {
	now := 3 * time.Second
	controller, successor := newPair(now)
	third := New(Peer{ID: "c"}, 1)
	third.Apply(0, ConfigurationChanged{Routes: newDefaultRoutes()})
	third.Apply(now, ServersListed{})
	third.Apply(now, PeersListed{Peers: []Peer{{ID: "a"}, {ID: "b"}}})
	third.Apply(now, ClaimRead{Number: 7, Holder: "a", Incarnation: 1})
	deliverHeartbeat(now, third, controller)
	controller.Apply(now, HostStopping{})
	deliverHeartbeat(now, controller, successor)
	if !successor.isController(now) {
		t.Fatal("got isController false at the successor, want true")
	}
	now += 200 * time.Millisecond
	successor.Apply(now, HostStopping{})
	deliverHeartbeat(now, successor, controller)
	deliverHeartbeat(now, controller, third)
	if third.isController(now) {
		t.Error("got isController true at a host that the stopping controller did not name first, want false")
	}
}

func newEpochOf(claim, formation int64) int64 { return claim<<formationBits | formation }

func TestElection(t *testing.T) {
	now := 3 * time.Second
	_, other := newPair(now)
	t.Run("not while the controller's heartbeats are recent", func(t *testing.T) {
		if claimsControl(other.Apply(now+peerTimeout/2, Ticked{})) {
			t.Error("got a claim, want none")
		}
	})
	t.Run("after the controller's heartbeats time out", func(t *testing.T) {
		if !claimsControl(other.Apply(now+2*time.Second, Ticked{})) {
			t.Error("got no claim, want one")
		}
	})
	t.Run("not for the claim of the previous incarnation while its successor is controller", func(t *testing.T) {
		controller, successor := newPair(now)
		controller.Apply(now, HostStopping{})
		deliverHeartbeat(now, controller, successor)
		restarted := New(Peer{ID: "a"}, 2)
		restarted.Apply(0, ConfigurationChanged{Routes: newDefaultRoutes()})
		restarted.Apply(now, ServersListed{})
		deliverHeartbeat(now, successor, restarted)
		restarted.Apply(now, ClaimRead{Number: 7, Holder: "a", Incarnation: 1})
		if claimsControl(restarted.Apply(now, Ticked{})) {
			t.Error("got a claim, want none")
		}
	})
	t.Run("at once for the claim of the previous incarnation, also after another host has told its number", func(t *testing.T) {
		_, member := newPair(now)
		restarted := New(Peer{ID: "a"}, 2)
		restarted.Apply(0, ConfigurationChanged{Routes: newDefaultRoutes()})
		restarted.Apply(electionDelay, ServersListed{})
		deliverHeartbeat(now, member, restarted)
		restarted.Apply(electionDelay, ClaimRead{Number: 7, Holder: "a", Incarnation: 1})
		if !claimsControl(restarted.Apply(electionDelay, Ticked{})) {
			t.Error("got no claim, want one")
		}
	})
	t.Run("not at once after a store outage", func(t *testing.T) {
		other.Apply(now+3*time.Second, StoreReadFailed{})
		other.Apply(now+4*time.Second, ServersListed{})
		if claimsControl(other.Apply(now+5*time.Second, Ticked{})) {
			t.Error("got a claim, want none")
		}
	})
	t.Run("not controller after a suspension until the claim is read again", func(t *testing.T) {
		controller, _ := newPair(now)
		controller.Apply(now, Ticked{WasSuspended: true})
		if controller.isController(now) {
			t.Error("got isController true before the claim was read again, want false")
		}
		controller.Apply(now, ClaimRead{Number: 7, Holder: fuchsiapitch.HostID("a"), Incarnation: 1})
		if !controller.isController(now) {
			t.Error("got isController false after the claim was read again, want true")
		}
	})
}

// The list that a new controller reads may predate the last orders of the previous one.
// Groups that these orders formed must be kept.
func TestNewControllerKeepsRecentGroups(t *testing.T) {
	sm := newSimulation(1)
	sm.startController()
	sm.run(12 * time.Second)
	for range 3 {
		sm.frozenList, sm.listFrozenUntil = sm.serverList(), sm.now+2*time.Second
		for n := range sm.frozenList {
			sm.frozenList[n].Membership = fuchsiapitch.Membership{}
		}
		sm.coordinators[len(sm.coordinators)-1] = nil
		sm.startController()
		before := make(map[fuchsiapitch.GroupRef]bool)
		for _, e := range sm.engines {
			before[e.group] = true
		}
		sm.run(4 * time.Second)
		assertNoViolations(t, sm)
		for _, e := range sm.engines {
			if !before[e.group] {
				t.Fatalf("got %s in %s, want it in its group from before", e.id, e.group.Name)
			}
		}
	}
}

// Guards against requests that are refused, and streams that are taken from their groups, because
// a new controller announces a part of the groups only: those of one domain, until its next tick.
func TestNewControllerKnowsAllGroupsOnceItHasSurveyed(t *testing.T) {
	sm := newSimulation(1)
	sm.startController()
	sm.run(12 * time.Second)
	sm.coordinators[0] = nil
	sm.startController()
	c := sm.coordinators[1]
	for range 100 {
		sm.step()
		if !c.isSurveyed() {
			continue
		}
		got := 0
		for _, g := range c.groupStatuses() {
			if g.Open {
				got++
			}
		}
		if want := sm.countOpenGroups(); got != want {
			t.Fatalf("got %d open groups %s after the start of the controller, want %d", got, sm.now-c.controllerSince, want)
		}
	}
	if !c.isSurveyed() {
		t.Error("got no complete survey, want one")
	}
}

// A new controller has no groups of its own before its survey is complete. Until then
// it must serve requests from those on the list.
func TestNewControllerServesDuringSurvey(t *testing.T) {
	now := 5 * time.Second
	c := newCoordinatorWithReplicas(now, 2)
	c.Apply(now, ClaimRead{Number: 1, Holder: "a", Incarnation: 1})
	c.Apply(now, Ticked{})
	if got, _ := decisionFor(c.Apply(now, newArrival(now, 1)), 1); got == "" {
		t.Error("got no slot during the survey, want one")
	}
}
