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
	// bridgeCount is the number of hosts that speak for a data centre.
	bridgeCount = 2
	// bridgePeriod is the number of periods between two heartbeats of a bridge to
	// other data centres.
	bridgePeriod = 2
	// remoteLimit is the largest number of remote loads in a heartbeat.
	remoteLimit = 3
	// remoteAge is the age at which a remote load is forgotten.
	remoteAge = 15 * time.Second
)

// CentreLoad is the load of one service in a whole data centre, as one of its
// bridges reports it.
type CentreLoad struct {
	// Bridge is the host that takes requests for the data centre.
	Bridge fuchsiapitch.Host
	// Load is the sum over the dispatchers of the data centre.
	Load ServiceLoad
	// Age is the time since the bridge made the report.
	Age time.Duration
}

// remoteKey names a service in a data centre.
type remoteKey struct {
	dataCentre fuchsiapitch.DataCentreName
	service    fuchsiapitch.ServiceName
}

func compareRemoteKeys(a, b remoteKey) int {
	return cmp.Or(cmp.Compare(a.dataCentre, b.dataCentre), cmp.Compare(a.service, b.service))
}

// remote is a remote load with the local time at which it was made.
type remote struct {
	load CentreLoad
	made time.Duration
}

// remotes holds the newest load of each service in each other data centre.
// Reports travel from bridge to bridge and then from host to host, in turns of
// remoteLimit, so that the size of a heartbeat does not grow.
type remotes struct {
	loads  map[remoteKey]remote
	cursor int
}

func newRemotes() *remotes { return &remotes{loads: make(map[remoteKey]remote)} }

// add takes in a report unless a newer one is known or it is too old.
func (r *remotes) add(now time.Duration, load CentreLoad) {
	if load.Age >= remoteAge {
		return
	}
	key := remoteKey{dataCentre: load.Bridge.DataCentre(), service: load.Load.Service}
	made := now - load.Age
	if old, ok := r.loads[key]; ok && old.made >= made {
		return
	}
	r.loads[key] = remote{load: load, made: made}
}

// forget removes the reports that are too old.
func (r *remotes) forget(now time.Duration) {
	maps.DeleteFunc(r.loads, func(_ remoteKey, v remote) bool { return now-v.made >= remoteAge })
}

// next returns the reports whose turn it is to be passed on.
func (r *remotes) next(now time.Duration) []CentreLoad {
	keys := slices.SortedFunc(maps.Keys(r.loads), compareRemoteKeys)
	count := min(remoteLimit, len(keys))
	loads := make([]CentreLoad, 0, count)
	for range count {
		r.cursor = (r.cursor + 1) % len(keys)
		v := r.loads[keys[r.cursor]]
		v.load.Age = now - v.made
		loads = append(loads, v.load)
	}
	return loads
}

// Remotes returns the loads of a service in the other data centres, in the
// order of their names.
func (m *Membership) Remotes(service fuchsiapitch.ServiceName) []CentreLoad {
	var loads []CentreLoad
	for _, k := range slices.SortedFunc(maps.Keys(m.remotes.loads), compareRemoteKeys) {
		if k.service == service && k.dataCentre != m.self.DataCentre() {
			loads = append(loads, m.remotes.loads[k].load)
		}
	}
	return loads
}

// IsBridge reports whether this host speaks for its data centre: it is one of
// the bridgeCount live hosts with the highest hash.
func (m *Membership) IsBridge() bool {
	live := m.Live()
	slices.SortFunc(live, func(a, b fuchsiapitch.Host) int {
		return cmp.Or(cmp.Compare(bridgeRank(b), bridgeRank(a)), cmp.Compare(a.ID(), b.ID()))
	})
	for _, h := range live[:min(bridgeCount, len(live))] {
		if h.ID() == m.self.ID() {
			return true
		}
	}
	return false
}

func bridgeRank(h fuchsiapitch.Host) uint64 { return xxhash.Sum64String("bridge/" + string(h.ID())) }

// report adds this data centre's own loads, which a bridge sums over the
// dispatchers of the data centre, to those that are passed on.
func (m *Membership) report(now time.Duration, own []ServiceLoad) {
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
		if p.host.DataCentre() != m.self.DataCentre() || p.standing > Suspected {
			continue
		}
		for _, l := range p.loads {
			sum(l)
		}
	}
	for _, l := range sums {
		m.remotes.add(now, CentreLoad{Bridge: m.self, Load: l})
	}
}

// bridgeTarget returns one host of another data centre when this host is a
// bridge. The data centres take turns, and so do the hosts of each, so that the
// traffic of a bridge does not grow with the number of data centres.
func (m *Membership) bridgeTarget() []fuchsiapitch.Host {
	turn := m.rounds / bridgePeriod
	if m.rounds%bridgePeriod != 0 || !m.IsBridge() {
		return nil
	}
	centres := make(map[fuchsiapitch.DataCentreName][]fuchsiapitch.Host)
	for _, id := range m.order() {
		if h := m.members[id].host; h.DataCentre() != m.self.DataCentre() {
			centres[h.DataCentre()] = append(centres[h.DataCentre()], h)
		}
	}
	names := slices.Sorted(maps.Keys(centres))
	if len(names) == 0 {
		return nil
	}
	hosts := centres[names[turn%len(names)]]
	return hosts[turn/len(names)%len(hosts):][:1]
}
