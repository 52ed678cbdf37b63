package coordinator

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/evacuator"
)

const (
	// evacuationDelay is the time after which nothing more may be sent to an evacuated data
	// centre by a host that reads the store or hears another host.
	evacuationDelay = time.Second
	// simulatedRequestInterval is the time between two requests at each host.
	simulatedRequestInterval = 25 * time.Millisecond
	// simulatedColdTime is how long a server is cold, simulatedColdRate what it bears meanwhile.
	simulatedColdTime = 3 * time.Second
	simulatedColdRate = 14
)

// evacuation is a hostCluster whose hosts send requests to servers in every data centre.
type evacuation struct {
	*hostCluster
	// withoutStore are the hosts that do not read the store.
	withoutStore map[*simulatedHost]bool
	offset       int64
	evacuated    []evacuator.News
	tickets      Ticket
	// sent are the servers of the grants since the last reset, refused is the number of
	// refusals because of evacuations, and arrivals are the times of the grants by server.
	sent     map[fuchsiapitch.ServerID]int
	refused  int
	arrivals map[fuchsiapitch.ServerID][]time.Duration
}

// newEvacuation returns hosts in three data centres with two servers in each, of which each may be
// cold.
func newEvacuation(hosts int) *evacuation {
	ev := &evacuation{hostCluster: newHostCluster(7, hosts, 3), withoutStore: make(map[*simulatedHost]bool), arrivals: make(map[fuchsiapitch.ServerID][]time.Duration)}
	for n := range ev.servers {
		ev.servers[n].DataCentre, ev.servers[n].Slots = fuchsiapitch.DataCentreName(fmt.Sprintf("dc%d", n%3)), 500
	}
	ev.onGrant = func(h *simulatedHost, g Grant) {
		ev.sent[g.Server]++
		ev.arrivals[g.Server] = append(ev.arrivals[g.Server], ev.now)
		ev.at(ev.now+20*time.Millisecond, func() { ev.apply(h, TicketReleased{Ticket: g.Ticket, Complete: true}) })
	}
	ev.onRefuse = func(_ *simulatedHost, r Refuse) {
		if r.Reason == Evacuated {
			ev.refused++
		}
	}
	ev.reset()
	for _, h := range ev.hosts {
		ev.at(h.startedAt+time.Second, func() { ev.request(h) })
	}
	return ev
}

func (ev *evacuation) reset() { ev.sent, ev.refused = make(map[fuchsiapitch.ServerID]int), 0 }

func (ev *evacuation) request(h *simulatedHost) {
	if h.stopped {
		return
	}
	ev.tickets++
	now := ev.now - h.startedAt
	ev.apply(h, RequestArrived{Ticket: ev.tickets, Service: plainService, FirstByteBy: now + time.Second, Deadline: now + 2*time.Second})
	ev.at(ev.now+simulatedRequestInterval, func() { ev.request(h) })
}

// publish appends a record and delivers it to the hosts that read the store.
func (ev *evacuation) publish(name string, evacuated bool) {
	ev.offset++
	n := evacuator.News{DataCentre: fuchsiapitch.DataCentreName(name), Evacuated: evacuated, Version: evacuator.Version{Offset: ev.offset}}
	ev.evacuated = slices.DeleteFunc(ev.evacuated, func(o evacuator.News) bool { return o.DataCentre == n.DataCentre })
	if evacuated {
		ev.evacuated = append(ev.evacuated, n)
	}
	for _, h := range ev.hosts {
		if !ev.withoutStore[h] && !h.stopped {
			ev.apply(h, EvacuationsRead{News: []evacuator.News{n}, End: n.Version})
		}
	}
}

// readSnapshot delivers the newest records to a host.
func (ev *evacuation) readSnapshot(h *simulatedHost) {
	ev.apply(h, EvacuationsRead{News: ev.evacuated, IsSnapshot: true, End: evacuator.Version{Offset: ev.offset}})
}

// restart replaces a host by a new process of it.
func (ev *evacuation) restart(h *simulatedHost) *simulatedHost {
	h.stopped = true
	fresh := &simulatedHost{self: h.self, startedAt: ev.now, incarnation: h.incarnation + 1}
	fresh.coordinator = New(fresh.self, fresh.incarnation, WithDataCentre(fresh.self.DataCentre))
	ev.hosts = append(slices.DeleteFunc(ev.hosts, func(o *simulatedHost) bool { return o == h }), fresh)
	ev.byAddress[h.self.Address] = fresh
	ev.start(fresh)
	return fresh
}

// assertUse checks in which data centres requests are sent to servers within the next second.
func (ev *evacuation) assertUse(t *testing.T, want ...string) {
	t.Helper()
	ev.runUntil(ev.now + evacuationDelay)
	ev.reset()
	ev.runUntil(ev.now + time.Second)
	used := make(map[string]bool)
	for id := range ev.sent {
		for _, s := range ev.servers {
			if s.ID == id {
				used[string(s.DataCentre)] = true
			}
		}
	}
	if got := sortedKeys(used); !slices.Equal(got, want) {
		t.Errorf("got requests sent to servers in %v, want %v", got, want)
	}
}

// Failure: an operator evacuates data centres while hosts are without the store, cut off,
// frozen or starting.
func TestEvacuationReachesEveryHost(t *testing.T) {
	for _, hosts := range []int{6, 30} {
		t.Run(fmt.Sprintf("%d hosts", hosts), func(t *testing.T) {
			ev := newEvacuation(hosts)
			ev.runUntil(6 * time.Second)
			ev.assertUse(t, "dc0", "dc1", "dc2")
			t.Run("store away for most hosts", func(t *testing.T) {
				for _, h := range ev.hosts[1:] {
					ev.withoutStore[h] = true
				}
				ev.publish("dc0", true)
				ev.assertUse(t, "dc1", "dc2")
			})
			t.Run("host starts without the store", func(t *testing.T) {
				fresh := ev.restart(ev.hosts[2])
				ev.withoutStore[fresh] = true
				ev.at(ev.now+time.Second, func() { ev.request(fresh) })
				ev.assertUse(t, "dc1", "dc2")
			})
			t.Run("second data centre while a host is cut off", func(t *testing.T) {
				cut := ev.hosts[len(ev.hosts)-1]
				ev.isCut = func(h *simulatedHost) bool { return h == cut }
				ev.publish("dc1", true)
				ev.runUntil(ev.now + 2*time.Second)
				ev.isCut = nil
				ev.runUntil(ev.now + 2*time.Second)
				ev.assertUse(t, "dc2")
			})
			t.Run("all", func(t *testing.T) {
				ev.publish("dc2", true)
				ev.assertUse(t)
				if ev.refused == 0 {
					t.Error("got no refusals while all data centres are evacuated, want some")
				}
			})
			t.Run("host with old news joins after data centres were taken back", func(t *testing.T) {
				cut := ev.hosts[len(ev.hosts)-1]
				ev.isCut = func(h *simulatedHost) bool { return h == cut }
				for _, name := range []string{"dc0", "dc1", "dc2"} {
					ev.publish(name, false)
				}
				ev.runUntil(ev.now + 2*time.Second)
				ev.isCut = nil
				ev.runUntil(ev.now + 2*time.Second)
				ev.assertUse(t, "dc0", "dc1", "dc2")
			})
			t.Run("dropped from a compacted history", func(t *testing.T) {
				ev.publish("dc0", true)
				ev.assertUse(t, "dc1", "dc2")
				ev.offset++
				ev.evacuated = nil
				ev.readSnapshot(ev.hosts[0])
				ev.runUntil(ev.now + time.Second)
				ev.assertUse(t, "dc0", "dc1", "dc2")
			})
		})
	}
}

// Load: a data centre is taken back, and its servers are cold. All hosts have more requests than the
// others bear. Some hosts hear of it late, and one is cut off from the others.
func TestServersOfReturnedDataCentreAreColdForAllHosts(t *testing.T) {
	const over, slack = 1.5, 5
	ev := newEvacuation(40)
	routes := fuchsiapitch.NewRouteTable(2, nil, []fuchsiapitch.ServiceProfile{{Name: plainService, ColdTime: simulatedColdTime, ColdRequestsPerSecond: simulatedColdRate}}, nil, false, fuchsiapitch.ClientLimits{})
	ev.runUntil(time.Second)
	for _, h := range ev.hosts {
		ev.apply(h, ConfigurationChanged{Routes: routes})
		ev.apply(h, LimitsChanged{ColdOver: over, ColdSlack: slack})
	}
	ev.runUntil(6 * time.Second)
	ev.publish("dc0", true)
	ev.runUntil(9 * time.Second)
	cut := ev.hosts[5]
	ev.isCut = func(h *simulatedHost) bool { return h == cut }
	for _, h := range ev.hosts[20:] {
		ev.withoutStore[h] = true
	}
	clear(ev.arrivals)
	ev.publish("dc0", false)
	takenBackAt := ev.now
	ev.runUntil(takenBackAt + 6*time.Second)
	for _, s := range ev.servers {
		if s.DataCentre != "dc0" {
			continue
		}
		arrivals := ev.arrivals[s.ID]
		most, first := 0, 0
		for n, at := range arrivals {
			if at > takenBackAt+simulatedColdTime {
				break
			}
			for at-arrivals[first] >= time.Second {
				first++
			}
			most = max(most, n-first+1)
		}
		if limit := int(over*simulatedColdRate + slack); most == 0 || most > limit {
			t.Errorf("got at most %d requests a second to cold server %s, want some and at most %d", most, s.ID, limit)
		}
		if last := arrivals[len(arrivals)-1]; last < takenBackAt+simulatedColdTime || len(arrivals) < 100 {
			t.Errorf("got %d requests to server %s, the last at %v, want it used as any other once it is no longer cold", len(arrivals), s.ID, last)
		}
	}
}
