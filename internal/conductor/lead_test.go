package conductor

import (
	"testing"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// lastBeat returns the heartbeat among effects, if any.
func lastBeat(effects []Effect) (Beat, bool) {
	for _, e := range effects {
		if b, ok := e.(SendBeat); ok {
			return b.Beat, true
		}
	}
	return Beat{}, false
}

func hasClaim(effects []Effect) bool {
	for _, e := range effects {
		if _, ok := e.(ClaimLead); ok {
			return true
		}
	}
	return false
}

// newPair returns a leader and another host that hear each other.
func newPair(now time.Duration) (leader, other *Conductor) {
	leader, other = New(Peer{ID: "a"}, 1), New(Peer{ID: "b"}, 1)
	for _, c := range []*Conductor{leader, other} {
		c.Apply(0, Configured{Table: worldTable()})
		c.Apply(now, ServersListed{})
		c.Apply(now, PeersListed{Peers: []Peer{{ID: "a"}, {ID: "b"}}})
	}
	claim := ClaimRead{Number: 7, Holder: "a", Started: 1}
	leader.Apply(now, claim)
	other.Apply(now, claim)
	exchange(now, other, leader)
	exchange(now, leader, other)
	return leader, other
}

// exchange has one host hear the heartbeat of another.
func exchange(now time.Duration, from, to *Conductor) {
	from.nextBeat = now
	if b, ok := lastBeat(from.Apply(now, Ticked{})); ok {
		to.Apply(now, BeatHeard{Beat: b})
	}
}

func TestStoppingLeaderHandsOver(t *testing.T) {
	now := 3 * time.Second
	leader, other := newPair(now)
	other.Apply(now, StoreFailed{})
	leader.Apply(now, Stopping{})
	exchange(now, leader, other)
	if got, want := other.leads(now), true; got != want {
		t.Errorf("got lead %v at the heir, want %v", got, want)
	}
	if got, want := leader.leads(now), false; got != want {
		t.Errorf("got lead %v at the host that stops, want %v", got, want)
	}
	if got, want := other.nextEpoch(), epochOf(7, handoverGap+1); got != want {
		t.Errorf("got epoch %d, want %d", got, want)
	}
}

func epochOf(claim, formation int64) int64 { return claim<<epochBits | formation }

func TestElection(t *testing.T) {
	now := 3 * time.Second
	_, other := newPair(now)
	t.Run("not while the leader is heard", func(t *testing.T) {
		if hasClaim(other.Apply(now+peerTimeout/2, Ticked{})) {
			t.Error("got a claim, want none")
		}
	})
	t.Run("after its silence", func(t *testing.T) {
		if !hasClaim(other.Apply(now+2*time.Second, Ticked{})) {
			t.Error("got no claim, want one")
		}
	})
	t.Run("not for the claim of the process before, while its heir leads", func(t *testing.T) {
		leader, heir := newPair(now)
		leader.Apply(now, Stopping{})
		exchange(now, leader, heir)
		again := New(Peer{ID: "a"}, 2)
		again.Apply(0, Configured{Table: worldTable()})
		again.Apply(now, ServersListed{})
		exchange(now, heir, again)
		again.Apply(now, ClaimRead{Number: 7, Holder: "a", Started: 1})
		if hasClaim(again.Apply(now, Ticked{})) {
			t.Error("got a claim, want none")
		}
	})
	t.Run("not at once after a cut", func(t *testing.T) {
		other.Apply(now+3*time.Second, StoreFailed{})
		other.Apply(now+4*time.Second, ServersListed{})
		if hasClaim(other.Apply(now+5*time.Second, Ticked{})) {
			t.Error("got a claim, want none")
		}
	})
	t.Run("never after a suspension before the claim is read again", func(t *testing.T) {
		leader, _ := newPair(now)
		leader.Apply(now, Ticked{Suspended: true})
		if leader.leads(now) {
			t.Error("got a lead, want none")
		}
		leader.Apply(now, ClaimRead{Number: 7, Holder: fuchsiapitch.HostID("a"), Started: 1})
		if !leader.leads(now) {
			t.Error("got no lead, want one")
		}
	})
}

// The list of a leader that is new in office is older than the last orders of the
// one before it.
func TestNewLeaderKeepsFreshGroups(t *testing.T) {
	w := newWorld(1)
	w.lead()
	w.run(12 * time.Second)
	for range 3 {
		w.frozen, w.frozenUntil = w.list(), w.now+2*time.Second
		for n := range w.frozen {
			w.frozen[n].Membership = fuchsiapitch.Membership{}
		}
		w.conductors[len(w.conductors)-1] = nil
		w.lead()
		before := make(map[fuchsiapitch.GroupRef]bool)
		for _, e := range w.engines {
			before[e.group] = true
		}
		w.run(4 * time.Second)
		assertNothingBroken(t, w)
		for _, e := range w.engines {
			if !before[e.group] {
				t.Fatalf("got %s in %s, want it in its group of before", e.id, e.group.Name)
			}
		}
	}
}

// A leader that is new in office has no groups of its own yet; the list tells which
// ones take requests.
func TestNewLeaderServesAtOnce(t *testing.T) {
	now := 5 * time.Second
	c := newStations(now, 2)
	c.Apply(now, ClaimRead{Number: 1, Holder: "a", Started: 1})
	c.Apply(now, Ticked{})
	if got, _ := answerTo(c.Apply(now, arrival(now, 1)), 1); got == "" {
		t.Error("got no place while the servers are asked, want one")
	}
}
