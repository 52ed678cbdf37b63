package gossiper

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fuchsiapitch/fuchsiapitch"
)

const (
	// bridgeCount is the number of bridges of a data centre.
	bridgeCount = 2
	// bridgeIntervalPeriods is the number of periods between two heartbeats of a
	// bridge to other data centres.
	bridgeIntervalPeriods = 2
	// maxRemoteLoads is the maximum number of remote loads in a heartbeat.
	maxRemoteLoads = 3
	// remoteLoadLifetime is the age at which a remote load expires.
	remoteLoadLifetime = 15 * time.Second
)

// DataCentreLoad is the load of one service in a whole data centre, as reported
// by one of its bridges.
type DataCentreLoad struct {
	// Bridge is the host that accepts requests for the data centre.
	Bridge fuchsiapitch.Host
	// Load is the sum of the loads at the dispatchers of the data centre.
	Load ServiceLoad
	// Age is the time since the bridge reported the load.
	Age time.Duration
}

// remoteLoadKey identifies a service in a data centre.
type remoteLoadKey struct {
	dataCentre fuchsiapitch.DataCentreName
	service    fuchsiapitch.ServiceName
}

func compareRemoteLoadKeys(a, b remoteLoadKey) int {
	return cmp.Or(cmp.Compare(a.dataCentre, b.dataCentre), cmp.Compare(a.service, b.service))
}

// remoteLoad is the load of another data centre with the local monotonic time at
// which its bridge reported it.
type remoteLoad struct {
	load       DataCentreLoad
	reportedAt time.Duration
}

// remoteLoadTable holds the latest load of each service in each other data
// centre, and on a bridge also those of its own. Loads are gossiped from bridge to
// bridge, and then from host to host within a data centre. Each heartbeat carries
// at most maxRemoteLoads of them, in round-robin order, so that its size does not
// grow with the number of data centres.
type remoteLoadTable struct {
	loads  map[remoteLoadKey]remoteLoad
	cursor int
}

func newRemoteLoadTable() *remoteLoadTable {
	return &remoteLoadTable{loads: make(map[remoteLoadKey]remoteLoad)}
}

// add stores a load unless it has expired or is not newer than the stored one.
func (r *remoteLoadTable) add(now time.Duration, load DataCentreLoad) {
	if load.Age >= remoteLoadLifetime {
		return
	}
	key := remoteLoadKey{dataCentre: load.Bridge.DataCentre(), service: load.Load.Service}
	reportedAt := now - load.Age
	if old, ok := r.loads[key]; ok && old.reportedAt >= reportedAt {
		return
	}
	r.loads[key] = remoteLoad{load: load, reportedAt: reportedAt}
}

// expire removes the loads that are older than remoteLoadLifetime.
func (r *remoteLoadTable) expire(now time.Duration) {
	maps.DeleteFunc(r.loads, func(_ remoteLoadKey, v remoteLoad) bool { return now-v.reportedAt >= remoteLoadLifetime })
}

// nextForHeartbeat returns the next loads to gossip, in round-robin order, with
// their current age.
func (r *remoteLoadTable) nextForHeartbeat(now time.Duration) []DataCentreLoad {
	keys := slices.SortedFunc(maps.Keys(r.loads), compareRemoteLoadKeys)
	count := min(maxRemoteLoads, len(keys))
	loads := make([]DataCentreLoad, 0, count)
	for range count {
		r.cursor = (r.cursor + 1) % len(keys)
		v := r.loads[keys[r.cursor]]
		v.load.Age = now - v.reportedAt
		loads = append(loads, v.load)
	}
	return loads
}

// RemoteLoads returns the loads of a service in the other data centres, ordered
// by the name of the data centre.
func (m *Membership) RemoteLoads(service fuchsiapitch.ServiceName) []DataCentreLoad {
	var loads []DataCentreLoad
	for _, k := range slices.SortedFunc(maps.Keys(m.remoteLoads.loads), compareRemoteLoadKeys) {
		if k.service == service && k.dataCentre != m.self.DataCentre() {
			loads = append(loads, m.remoteLoads.loads[k].load)
		}
	}
	return loads
}

// IsBridge reports whether this host is a bridge, which exchanges heartbeats with
// other data centres. The bridges are the bridgeCount live hosts with the highest
// hash of their identifier.
func (m *Membership) IsBridge() bool {
	live := m.LiveHosts()
	slices.SortFunc(live, func(a, b fuchsiapitch.Host) int {
		return cmp.Or(cmp.Compare(bridgePriority(b), bridgePriority(a)), cmp.Compare(a.ID(), b.ID()))
	})
	for _, h := range live[:min(bridgeCount, len(live))] {
		if h.ID() == m.self.ID() {
			return true
		}
	}
	return false
}

func bridgePriority(h fuchsiapitch.Host) uint64 {
	return xxhash.Sum64String("bridge/" + string(h.ID()))
}

// addOwnLoads adds the loads of this data centre to the loads to gossip. A bridge
// computes them as the sums over the dispatchers of the data centre.
func (m *Membership) addOwnLoads(now time.Duration, own []ServiceLoad) {
	sums := make(map[fuchsiapitch.ServiceName]ServiceLoad)
	sum := func(l ServiceLoad) {
		t := sums[l.Service]
		sums[l.Service] = ServiceLoad{
			Service: l.Service, Slots: t.Slots + l.Slots, InFlight: t.InFlight + l.InFlight, Queued: t.Queued + l.Queued,
		}
	}
	for _, l := range own {
		sum(l)
	}
	for _, p := range m.members {
		if p.host.DataCentre() != m.self.DataCentre() || p.state > Suspected {
			continue
		}
		for _, l := range p.loads {
			sum(l)
		}
	}
	for _, l := range sums {
		m.remoteLoads.add(now, DataCentreLoad{Bridge: m.self, Load: l})
	}
}

// remoteTarget returns one host of another data centre if this host is a bridge
// and a heartbeat to other data centres is due. The data centres are selected in
// round-robin order, and so are the hosts of each, so that the traffic of a
// bridge does not grow with the number of data centres.
func (m *Membership) remoteTarget() []fuchsiapitch.Host {
	turn := m.periodCount / bridgeIntervalPeriods
	if m.periodCount%bridgeIntervalPeriods != 0 || !m.IsBridge() {
		return nil
	}
	hostsByDataCentre := make(map[fuchsiapitch.DataCentreName][]fuchsiapitch.Host)
	for _, id := range m.sortedIDs() {
		if h := m.members[id].host; h.DataCentre() != m.self.DataCentre() {
			hostsByDataCentre[h.DataCentre()] = append(hostsByDataCentre[h.DataCentre()], h)
		}
	}
	names := slices.Sorted(maps.Keys(hostsByDataCentre))
	if len(names) == 0 {
		return nil
	}
	hosts := hostsByDataCentre[names[turn%len(names)]]
	return hosts[turn/len(names)%len(hosts):][:1]
}
