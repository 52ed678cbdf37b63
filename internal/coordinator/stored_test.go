package coordinator

import (
	"fmt"
	"testing"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/quarantiner"
)

// newStartingHost returns a host that awaits the stored quarantines and has just read the server list.
func newStartingHost(t *testing.T) *promptHost {
	t.Helper()
	ph := newPromptHost(t, 3)
	WithStoredQuarantines()(ph.Coordinator)
	ph.apply(PeersListed{})
	return ph
}

// Guards against a host that sends lethal requests before it knows what the hosts before it have learned.
func TestStartingHostHoldsPromptsBack(t *testing.T) {
	ph := newStartingHost(t)
	lethalTicket, decision := ph.request(lethalPart)
	if decision != nil {
		t.Fatalf("got decision %v before the quarantines were read, want none", decision)
	}
	soundTicket, _ := ph.request(popularPart)
	if _, decision := ph.request(); !isGrant(decision) {
		t.Errorf("got decision %v for a request without parts, want a grant", decision)
	}
	effects := ph.apply(QuarantinesRead{Quarantines: []quarantiner.Quarantine{{Part: lethalPart}}})
	assertRefusal(t, effects, lethalTicket)
	granted := false
	for _, e := range effects {
		g, ok := e.(Grant)
		granted = granted || ok && g.Ticket == soundTicket
	}
	if !granted {
		t.Errorf("got effects %v, want a grant of the sound request", effects)
	}
	if _, decision := ph.request(popularPart); !isGrant(decision) {
		t.Errorf("got decision %v after the quarantines were read, want a grant", decision)
	}
}

// Guards against a host that waits for a store that is away.
func TestStartingHostDoesNotWaitForAbsentStore(t *testing.T) {
	ph := newStartingHost(t)
	ticket, _ := ph.request(popularPart)
	for waited := time.Duration(0); waited < storedPartsTimeout+100*time.Millisecond; waited += 50 * time.Millisecond {
		ph.now += 50 * time.Millisecond
		for _, e := range ph.apply(Ticked{}) {
			if g, ok := e.(Grant); ok && g.Ticket == ticket {
				return
			}
		}
	}
	t.Errorf("got no grant within %s, want one", storedPartsTimeout)
}

// Guards against a request that is sent though its client has left while it was held back.
func TestAbandonedRequestIsNotHeldBack(t *testing.T) {
	ph := newStartingHost(t)
	ticket, _ := ph.request(popularPart)
	ph.apply(TicketReleased{Ticket: ticket})
	for _, e := range ph.apply(QuarantinesRead{}) {
		if _, ok := e.(Grant); ok {
			t.Errorf("got effect %v, want none", e)
		}
	}
}

// Guards against a cluster in which each host, or none, pays for the writes of quarantines.
func TestFewHostsKeepQuarantines(t *testing.T) {
	for id, want := range map[fuchsiapitch.HostID]bool{"h0": true, "h2": true, "h3": false, "h5": false} {
		c := New(Peer{ID: id}, 1)
		if c.KeepsQuarantines(time.Millisecond) {
			t.Errorf("%s: got a keeper before it knows the other hosts, want none", id)
		}
		var peers []Peer
		for _, other := range []fuchsiapitch.HostID{"h0", "h1", "h2", "h3", "h4", "h5"} {
			peers = append(peers, Peer{ID: other})
		}
		c.Apply(time.Second, PeersListed{Peers: peers})
		for _, p := range peers {
			if p.ID != id {
				c.Apply(time.Second, HeartbeatReceived{Heartbeat: Heartbeat{From: p, Incarnation: 1, Sequence: 1}})
			}
		}
		if got := c.KeepsQuarantines(time.Second); got != want {
			t.Errorf("%s: got a keeper %v, want %v", id, got, want)
		}
	}
}

// Guards against a large cluster whose hosts all read the store at their start, as each counts as a relay until it has
// heard of others, and against requests that wait there.
func TestLargeClusterHoldsNothingBack(t *testing.T) {
	ph := newStartingHost(t)
	var peers []Peer
	for n := range 2 * maxDirectPeers {
		peers = append(peers, Peer{ID: fuchsiapitch.HostID(fmt.Sprintf("p%02d", n))})
	}
	ph.apply(PeersListed{Peers: peers})
	if _, decision := ph.request(popularPart); !isGrant(decision) {
		t.Errorf("got decision %v, want a grant", decision)
	}
	if ph.ReadsQuarantines(relaySettleTime - time.Millisecond) {
		t.Error("got a host that reads the quarantines at its start, want none")
	}
	if !ph.ReadsQuarantines(relaySettleTime) {
		t.Error("got a host without other relays that does not read the quarantines, want it to")
	}
}
