package gossiper

import (
	"fmt"
	"testing"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

func newHost(id string, centre fuchsiapitch.DataCentreName) fuchsiapitch.Host {
	return fuchsiapitch.NewHost(fuchsiapitch.HostID(id), id+":1", centre, 1)
}

func at(d time.Duration) fuchsiapitch.Instant {
	return fuchsiapitch.NewInstant(d, time.Unix(0, 0).Add(d))
}

// network joins memberships in one process and can cut hosts off.
type network struct {
	members map[fuchsiapitch.HostID]*Membership
	cut     map[fuchsiapitch.HostID]bool
	now     time.Duration
	largest int
}

func newNetwork(hosts ...fuchsiapitch.Host) *network {
	n := &network{members: make(map[fuchsiapitch.HostID]*Membership), cut: make(map[fuchsiapitch.HostID]bool)}
	for _, h := range hosts {
		n.members[h.ID()] = New(h, hosts...)
	}
	return n
}

// run lets periods pass.
func (n *network) run(periods int) {
	for range periods {
		n.now += time.Second
		for id, m := range n.members {
			for _, target := range m.Tick(at(n.now)) {
				n.beat(id, m, target.ID())
			}
		}
	}
}

func (n *network) beat(from fuchsiapitch.HostID, m *Membership, to fuchsiapitch.HostID) {
	target, ok := n.members[to]
	if !ok || n.cut[from] || n.cut[to] {
		m.Fail(at(n.now), to)
		return
	}
	loads := []ServiceLoad{{Service: "vidrio-llm", Slots: 4, InFlight: 1}}
	sent := m.Compose(at(n.now), loads)
	n.largest = max(n.largest, len(sent.Views)+len(sent.Remotes))
	target.Receive(at(n.now), sent)
	m.Receive(at(n.now), target.Compose(at(n.now), loads))
}

func assertLive(t *testing.T, m *Membership, want int) {
	t.Helper()
	if got := len(m.Live()); got != want {
		t.Fatalf("%s sees %d live hosts, want %d: %v", m.Self().ID(), got, want, m.Live())
	}
}

func newCentre(centre fuchsiapitch.DataCentreName, size int) []fuchsiapitch.Host {
	hosts := make([]fuchsiapitch.Host, 0, size)
	for i := range size {
		hosts = append(hosts, newHost(fmt.Sprintf("%s-%02d", centre, i), centre))
	}
	return hosts
}

func TestMembership(t *testing.T) {
	t.Run("hosts find each other", func(t *testing.T) {
		n := newNetwork(newCentre("xela", 5)...)
		n.run(6)
		for _, m := range n.members {
			assertLive(t, m, 5)
		}
	})
	t.Run("a dead host is dropped everywhere and found again", func(t *testing.T) {
		n := newNetwork(newCentre("xela", 5)...)
		n.run(6)
		n.cut["xela-02"] = true
		n.run(10)
		assertLive(t, n.members["xela-00"], 4)
		assertLive(t, n.members["xela-04"], 4)
		n.cut["xela-02"] = false
		n.run(10)
		for _, m := range n.members {
			assertLive(t, m, 5)
		}
	})
	t.Run("a host that leaves is dropped at once by those it tells", func(t *testing.T) {
		n := newNetwork(newCentre("xela", 3)...)
		n.run(4)
		n.members["xela-01"].Leave()
		n.run(2)
		assertLive(t, n.members["xela-00"], 2)
		assertLive(t, n.members["xela-01"], 2)
	})
	t.Run("a restarted host overrides what was said of its earlier life", func(t *testing.T) {
		m := New(newHost("xela-00", "xela"), newHost("xela-01", "xela"))
		m.Receive(at(0), Heartbeat{From: newHost("xela-01", "xela"), Leaving: true})
		assertLive(t, m, 1)
		restarted := fuchsiapitch.NewHost("xela-01", "xela-01:1", "xela", 2)
		m.Receive(at(1), Heartbeat{From: restarted})
		assertLive(t, m, 2)
		m.Receive(at(2), Heartbeat{From: newHost("xela-01", "xela"), Leaving: true})
		assertLive(t, m, 2)
	})
	t.Run("a restarted host soon knows a large data centre", func(t *testing.T) {
		hosts := newCentre("xela", 58)
		n := newNetwork(hosts...)
		n.run(30)
		n.members["xela-07"] = New(fuchsiapitch.NewHost("xela-07", "xela-07:1", "xela", 2), hosts...)
		n.run(8)
		assertLive(t, n.members["xela-07"], 58)
	})
	t.Run("stable hosts pass on no views", func(t *testing.T) {
		n := newNetwork(newCentre("xela", 5)...)
		n.run(60)
		if got := n.members["xela-00"].Compose(at(n.now), nil).Views; len(got) != 0 {
			t.Errorf("got %v, want none", got)
		}
	})
	t.Run("a false suspicion is refuted", func(t *testing.T) {
		m := New(newHost("xela-00", "xela"))
		views := []PeerView{{Host: m.Self(), Standing: Suspected}}
		m.Receive(at(0), Heartbeat{From: newHost("xela-01", "xela"), Views: views})
		if got := m.Self().Incarnation(); got != 2 {
			t.Errorf("got incarnation %d, want 2", got)
		}
	})
}

func TestBridges(t *testing.T) {
	t.Run("every host learns the load of another data centre", func(t *testing.T) {
		n := newNetwork(append(newCentre("xela", 4), newCentre("antigua", 4)...)...)
		n.run(12)
		for _, m := range n.members {
			loads := m.Remotes("vidrio-llm")
			if len(loads) != 1 || loads[0].Load.Slots != 16 {
				t.Fatalf("%s got remote loads %v, want one of 16 slots", m.Self().ID(), loads)
			}
		}
	})
	t.Run("the load of a lost data centre is forgotten", func(t *testing.T) {
		n := newNetwork(append(newCentre("xela", 2), newCentre("antigua", 2)...)...)
		n.run(10)
		n.cut["antigua-00"], n.cut["antigua-01"] = true, true
		n.run(20)
		if got := n.members["xela-00"].Remotes("vidrio-llm"); len(got) != 0 {
			t.Errorf("got %v, want none", got)
		}
	})
	t.Run("the entries of a heartbeat do not grow with the number of hosts", func(t *testing.T) {
		n := newNetwork(append(newCentre("xela", 58), newCentre("antigua", 58)...)...)
		n.run(30)
		if want := viewLimit + remoteLimit; n.largest > want {
			t.Errorf("got %d entries, want at most %d", n.largest, want)
		}
	})
	t.Run("the remote loads of a heartbeat do not grow with the number of data centres", func(t *testing.T) {
		var hosts []fuchsiapitch.Host
		for _, c := range []fuchsiapitch.DataCentreName{"a", "b", "c", "d", "e", "f", "g"} {
			hosts = append(hosts, newCentre(c, 2)...)
		}
		n := newNetwork(hosts...)
		n.run(40)
		if got := len(n.members["a-00"].Remotes("vidrio-llm")); got != 6 {
			t.Errorf("got the loads of %d other data centres, want 6", got)
		}
		if want := viewLimit + remoteLimit; n.largest > want {
			t.Errorf("got %d entries, want at most %d", n.largest, want)
		}
	})
	t.Run("a host passes on no loads of its own data centre", func(t *testing.T) {
		n := newNetwork(newCentre("xela", 5)...)
		n.run(20)
		for id, m := range n.members {
			if got := m.Compose(at(n.now), nil).Remotes; !m.IsBridge() && len(got) != 0 {
				t.Errorf("%s passes on %v, want none", id, got)
			}
		}
	})
}
