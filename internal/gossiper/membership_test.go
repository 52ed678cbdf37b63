package gossiper

import (
	"fmt"
	"testing"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

func newHost(id string, dataCentre fuchsiapitch.DataCentreName) fuchsiapitch.Host {
	return fuchsiapitch.NewHost(fuchsiapitch.HostID(id), id+":1", dataCentre, 1)
}

func instantAt(d time.Duration) fuchsiapitch.Instant {
	return fuchsiapitch.NewInstant(d, time.Unix(0, 0).Add(d))
}

// testNetwork connects memberships in one process and can partition hosts.
// maxEntries is the largest number of views and remote loads in a heartbeat so
// far.
type testNetwork struct {
	members     map[fuchsiapitch.HostID]*Membership
	partitioned map[fuchsiapitch.HostID]bool
	now         time.Duration
	maxEntries  int
}

func newTestNetwork(hosts ...fuchsiapitch.Host) *testNetwork {
	n := &testNetwork{members: make(map[fuchsiapitch.HostID]*Membership), partitioned: make(map[fuchsiapitch.HostID]bool)}
	for _, h := range hosts {
		n.members[h.ID()] = New(h, hosts...)
	}
	return n
}

// runPeriods runs a number of heartbeat periods of one second.
func (n *testNetwork) runPeriods(periods int) {
	for range periods {
		n.now += time.Second
		for id, m := range n.members {
			for _, target := range m.Tick(instantAt(n.now)) {
				n.exchangeHeartbeats(id, m, target.ID())
			}
		}
	}
}

func (n *testNetwork) exchangeHeartbeats(from fuchsiapitch.HostID, m *Membership, to fuchsiapitch.HostID) {
	target, ok := n.members[to]
	if !ok || n.partitioned[from] || n.partitioned[to] {
		m.Suspect(instantAt(n.now), to)
		return
	}
	loads := []ServiceLoad{{Service: "vidrio-llm", Slots: 4, InFlight: 1}}
	sent := m.ComposeHeartbeat(instantAt(n.now), loads)
	n.maxEntries = max(n.maxEntries, len(sent.Views)+len(sent.RemoteLoads))
	target.ReceiveHeartbeat(instantAt(n.now), sent)
	m.ReceiveHeartbeat(instantAt(n.now), target.ComposeHeartbeat(instantAt(n.now), loads))
}

func requireLiveHosts(t *testing.T, m *Membership, want int) {
	t.Helper()
	if got := len(m.LiveHosts()); got != want {
		t.Fatalf("%s sees %d live hosts, want %d: %v", m.Self().ID(), got, want, m.LiveHosts())
	}
}

func newDataCentre(dataCentre fuchsiapitch.DataCentreName, size int) []fuchsiapitch.Host {
	hosts := make([]fuchsiapitch.Host, 0, size)
	for i := range size {
		hosts = append(hosts, newHost(fmt.Sprintf("%s-%02d", dataCentre, i), dataCentre))
	}
	return hosts
}

func TestMembership(t *testing.T) {
	t.Run("hosts find each other", func(t *testing.T) {
		n := newTestNetwork(newDataCentre("xela", 5)...)
		n.runPeriods(6)
		for _, m := range n.members {
			requireLiveHosts(t, m, 5)
		}
	})
	t.Run("a dead host is dropped everywhere and found again", func(t *testing.T) {
		n := newTestNetwork(newDataCentre("xela", 5)...)
		n.runPeriods(6)
		n.partitioned["xela-02"] = true
		n.runPeriods(10)
		requireLiveHosts(t, n.members["xela-00"], 4)
		requireLiveHosts(t, n.members["xela-04"], 4)
		n.partitioned["xela-02"] = false
		n.runPeriods(10)
		for _, m := range n.members {
			requireLiveHosts(t, m, 5)
		}
	})
	t.Run("a host that leaves is dropped at once by those it tells", func(t *testing.T) {
		n := newTestNetwork(newDataCentre("xela", 3)...)
		n.runPeriods(4)
		n.members["xela-01"].Leave()
		n.runPeriods(2)
		requireLiveHosts(t, n.members["xela-00"], 2)
		requireLiveHosts(t, n.members["xela-01"], 2)
	})
	t.Run("a restarted host overrides what was said of its earlier life", func(t *testing.T) {
		m := New(newHost("xela-00", "xela"), newHost("xela-01", "xela"))
		m.ReceiveHeartbeat(instantAt(0), Heartbeat{Sender: newHost("xela-01", "xela"), Leaving: true})
		requireLiveHosts(t, m, 1)
		restarted := fuchsiapitch.NewHost("xela-01", "xela-01:1", "xela", 2)
		m.ReceiveHeartbeat(instantAt(1), Heartbeat{Sender: restarted})
		requireLiveHosts(t, m, 2)
		m.ReceiveHeartbeat(instantAt(2), Heartbeat{Sender: newHost("xela-01", "xela"), Leaving: true})
		requireLiveHosts(t, m, 2)
	})
	t.Run("a restarted host soon knows a large data centre", func(t *testing.T) {
		hosts := newDataCentre("xela", 58)
		n := newTestNetwork(hosts...)
		n.runPeriods(30)
		n.members["xela-07"] = New(fuchsiapitch.NewHost("xela-07", "xela-07:1", "xela", 2), hosts...)
		n.runPeriods(8)
		requireLiveHosts(t, n.members["xela-07"], 58)
	})
	t.Run("stable hosts pass on no views", func(t *testing.T) {
		n := newTestNetwork(newDataCentre("xela", 5)...)
		n.runPeriods(60)
		if got := n.members["xela-00"].ComposeHeartbeat(instantAt(n.now), nil).Views; len(got) != 0 {
			t.Errorf("got %v, want none", got)
		}
	})
	t.Run("a false suspicion is refuted", func(t *testing.T) {
		m := New(newHost("xela-00", "xela"))
		views := []PeerView{{Host: m.Self(), State: Suspected}}
		m.ReceiveHeartbeat(instantAt(0), Heartbeat{Sender: newHost("xela-01", "xela"), Views: views})
		if got := m.Self().Incarnation(); got != 2 {
			t.Errorf("got incarnation %d, want 2", got)
		}
	})
}

func TestBridges(t *testing.T) {
	t.Run("every host learns the load of another data centre", func(t *testing.T) {
		n := newTestNetwork(append(newDataCentre("xela", 4), newDataCentre("antigua", 4)...)...)
		n.runPeriods(12)
		for _, m := range n.members {
			loads := m.RemoteLoads("vidrio-llm")
			if len(loads) != 1 || loads[0].Load.Slots != 16 {
				t.Fatalf("%s got remote loads %v, want one of 16 slots", m.Self().ID(), loads)
			}
		}
	})
	t.Run("the load of a lost data centre is forgotten", func(t *testing.T) {
		n := newTestNetwork(append(newDataCentre("xela", 2), newDataCentre("antigua", 2)...)...)
		n.runPeriods(10)
		n.partitioned["antigua-00"], n.partitioned["antigua-01"] = true, true
		n.runPeriods(20)
		if got := n.members["xela-00"].RemoteLoads("vidrio-llm"); len(got) != 0 {
			t.Errorf("got %v, want none", got)
		}
	})
	t.Run("the entries of a heartbeat do not grow with the number of hosts", func(t *testing.T) {
		n := newTestNetwork(append(newDataCentre("xela", 58), newDataCentre("antigua", 58)...)...)
		n.runPeriods(30)
		if want := maxViews + maxRemoteLoads; n.maxEntries > want {
			t.Errorf("got %d entries, want at most %d", n.maxEntries, want)
		}
	})
	t.Run("the remote loads of a heartbeat do not grow with the number of data centres", func(t *testing.T) {
		var hosts []fuchsiapitch.Host
		for _, c := range []fuchsiapitch.DataCentreName{"a", "b", "c", "d", "e", "f", "g"} {
			hosts = append(hosts, newDataCentre(c, 2)...)
		}
		n := newTestNetwork(hosts...)
		n.runPeriods(40)
		if got := len(n.members["a-00"].RemoteLoads("vidrio-llm")); got != 6 {
			t.Errorf("got the loads of %d other data centres, want 6", got)
		}
		if want := maxViews + maxRemoteLoads; n.maxEntries > want {
			t.Errorf("got %d entries, want at most %d", n.maxEntries, want)
		}
	})
	t.Run("a host passes on no loads of its own data centre", func(t *testing.T) {
		n := newTestNetwork(newDataCentre("xela", 5)...)
		n.runPeriods(20)
		for id, m := range n.members {
			if got := m.ComposeHeartbeat(instantAt(n.now), nil).RemoteLoads; !m.IsBridge() && len(got) != 0 {
				t.Errorf("%s gossips remote loads %v, want none", id, got)
			}
		}
	})
}
