package reducer

import (
	"cmp"
	"slices"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/gossiper"
	"github.com/fuchsiapitch/fuchsiapitch/internal/router"
)

// maxHeartbeatLoads is the largest number of service loads in a heartbeat.
const maxHeartbeatLoads = 8

// reportAgeScale is the age of a report that adds as much to the priority of a
// load as a change by all slots of the service.
const reportAgeScale = 10 * time.Second

// loadKey identifies a service at a host.
type loadKey struct {
	host    fuchsiapitch.HostID
	service fuchsiapitch.ServiceName
}

// forwardCount counts the requests of a service that this host has forwarded to
// another host.
type forwardCount struct {
	// inFlight is the number of forwarded requests that have not ended.
	inFlight int
	// inFlightAtReport is the value of inFlight when the other host last reported
	// its load.
	inFlightAtReport int
}

// loadTracker tracks what the loads in the heartbeats of other hosts do not
// show yet: the requests that this host has forwarded. It also holds the loads
// that this host last reported.
type loadTracker struct {
	forwards map[loadKey]forwardCount
	// lastReports are the loads of this host that it last sent in a heartbeat.
	lastReports map[fuchsiapitch.ServiceName]loadReport
}

// loadReport is the load of a service in a heartbeat of this host.
type loadReport struct {
	load       gossiper.ServiceLoad
	reportedAt time.Duration
}

func newLoadTracker() loadTracker {
	return loadTracker{
		forwards:    make(map[loadKey]forwardCount),
		lastReports: make(map[fuchsiapitch.ServiceName]loadReport),
	}
}

// ownLoads returns the loads of the services that this host dispatches for. A
// service that was reported before and has lost its last slot here is included,
// so that the other hosts see its load with no slots.
func (s *State) ownLoads() []gossiper.ServiceLoad {
	var loads []gossiper.ServiceLoad
	for _, v := range s.configuration.Services() {
		slots, inFlight, queued := s.scheduler.Load(v.Name())
		if _, reportedBefore := s.loadTracker.lastReports[v.Name()]; slots == 0 && !reportedBefore {
			continue
		}
		interTokenTime, _ := s.scheduler.MedianInterTokenTime(s.now, v.Name())
		loads = append(loads, gossiper.ServiceLoad{
			Service: v.Name(), Slots: slots, InFlight: inFlight, Queued: queued, MedianInterTokenTime: interTokenTime,
		})
	}
	return loads
}

// selectLoads returns the loads of the highest priority for a heartbeat and records
// them as reported.
func (s *State) selectLoads(loads []gossiper.ServiceLoad) []gossiper.ServiceLoad {
	slices.SortStableFunc(loads, func(a, b gossiper.ServiceLoad) int {
		return cmp.Compare(s.loadPriority(b), s.loadPriority(a))
	})
	selected := loads[:min(maxHeartbeatLoads, len(loads))]
	for _, l := range selected {
		s.loadTracker.lastReports[l.Service] = loadReport{load: l, reportedAt: s.now.Monotonic()}
	}
	return selected
}

// loadPriority returns the priority of a load for the next heartbeat: its difference
// from the load last reported, as a fraction of the slots, plus the age of that
// report, so that a constant load is reported from time to time. A service that was
// not reported before, or whose number of slots has changed, has a priority of at
// least 2.
func (s *State) loadPriority(l gossiper.ServiceLoad) float64 {
	lastReport, ok := s.loadTracker.lastReports[l.Service]
	lastLoad := lastReport.load
	if !ok || lastLoad.Slots != l.Slots {
		return float64(2 + l.Slots)
	}
	age := float64(s.now.Monotonic()-lastReport.reportedAt) / float64(reportAgeScale)
	change := max(l.InFlight+l.Queued-lastLoad.InFlight-lastLoad.Queued, lastLoad.InFlight+lastLoad.Queued-l.InFlight-l.Queued)
	return age + float64(change)/float64(max(1, l.Slots))
}

// updatePeerInterTokenTimes passes the median inter-token times of other
// dispatchers to the scheduler, so that it detects stragglers even if this host
// has few replicas to compare.
func (s *State) updatePeerInterTokenTimes() {
	live := s.members.LiveHosts()
	for _, l := range s.ownLoads() {
		var interTokenTimes []time.Duration
		for _, h := range live {
			if interTokenTime := s.members.Load(h.ID(), l.Service).MedianInterTokenTime; h.ID() != s.self && interTokenTime > 0 {
				interTokenTimes = append(interTokenTimes, interTokenTime)
			}
		}
		s.scheduler.SetPeerInterTokenTimes(l.Service, interTokenTimes)
	}
}

// recordForwardsAtReport records how many requests this host had forwarded to
// another host when that host reported its load.
func (s *State) recordForwardsAtReport(h gossiper.Heartbeat) {
	for _, l := range h.Loads {
		key := loadKey{host: h.Sender.ID(), service: l.Service}
		n, ok := s.loadTracker.forwards[key]
		switch {
		case ok && n.inFlight == 0:
			delete(s.loadTracker.forwards, key)
		case ok:
			n.inFlightAtReport = n.inFlight
			s.loadTracker.forwards[key] = n
		}
	}
}

// countForward counts a request that is forwarded to another host.
func (s *State) countForward(f *inFlightRequest) {
	key := loadKey{host: f.forwardedTo, service: f.request.Service()}
	n := s.loadTracker.forwards[key]
	n.inFlight++
	s.loadTracker.forwards[key] = n
}

// countForwardEnd counts the end of a forwarded request. It does nothing for a
// request that is not forwarded.
func (s *State) countForwardEnd(f *inFlightRequest) {
	if f.phase != forwarded {
		return
	}
	// The phase changes so that remove does not count the end again.
	f.phase = queued
	key := loadKey{host: f.forwardedTo, service: f.request.Service()}
	n := s.loadTracker.forwards[key]
	n.inFlight--
	s.loadTracker.forwards[key] = n
}

// dispatcherLoad returns the load of a service at a dispatcher. For another
// host it is the last reported load, corrected by the forwards from this host
// that have started or ended since.
func (s *State) dispatcherLoad(host fuchsiapitch.HostID, service fuchsiapitch.ServiceName) router.Load {
	if host == s.self {
		slots, inFlight, queued := s.scheduler.Load(service)
		return router.Load{Slots: slots, Requests: inFlight + queued}
	}
	l := s.members.Load(host, service)
	n := s.loadTracker.forwards[loadKey{host: host, service: service}]
	return router.Load{Slots: l.Slots, Requests: max(0, l.InFlight+l.Queued+n.inFlight-n.inFlightAtReport)}
}

// remoteLoads returns the other data centres that may run a request, with their
// loads. All requests that this host has forwarded there are added to a load,
// since the reported load of a whole data centre may be outdated.
func (s *State) remoteLoads(f *inFlightRequest) []router.RemoteDataCentre {
	var remotes []router.RemoteDataCentre
	for _, c := range s.members.RemoteLoads(f.request.Service()) {
		if f.excludedHosts[c.Bridge.ID()] {
			continue
		}
		n := s.loadTracker.forwards[loadKey{host: c.Bridge.ID(), service: f.request.Service()}]
		load := router.Load{Slots: c.Load.Slots, Requests: c.Load.InFlight + c.Load.Queued + n.inFlight}
		remotes = append(remotes, router.RemoteDataCentre{Host: c.Bridge, Load: load})
	}
	return remotes
}

// chooseRemoteDataCentre returns the host in another data centre to forward a
// request to, if the request is to leave this data centre. Requests of the most
// urgent rank stay while this data centre has a slot for the service, since
// they do not queue behind the others.
func (s *State) chooseRemoteDataCentre(f *inFlightRequest) (fuchsiapitch.Host, bool) {
	if f.fromRemoteDataCentre {
		return fuchsiapitch.Host{}, false
	}
	service := f.request.Service()
	local := s.routingTable.TotalLoad(service, func(h fuchsiapitch.HostID) router.Load { return s.dispatcherLoad(h, service) })
	if local.Slots > 0 && s.hasMostUrgentRank(f) {
		return fuchsiapitch.Host{}, false
	}
	return s.overflow.ChooseRemote(s.now, service, local, s.remoteLoads(f))
}

// overflowAfterRefusal forwards a request that was refused because of overload
// to another data centre with free capacity. It does so at most once for a
// request, and reports whether it did.
func (s *State) overflowAfterRefusal(f *inFlightRequest) bool {
	s.overflow.RecordRefusal(s.now, f.request.Service())
	if f.fromRemoteDataCentre || f.fromPeer || f.overflowTried || f.mayHaveRun {
		return false
	}
	h, ok := s.overflow.ChooseAfterRefusal(s.remoteLoads(f))
	if ok {
		f.overflowTried = true
		s.forward(f, h)
	}
	return ok
}

func (s *State) hasMostUrgentRank(f *inFlightRequest) bool {
	ranks := s.configuration.Ranks()
	return len(ranks) > 0 && ranks[0].Name() == f.request.Rank()
}

// ServiceStatus is the state of one service at the dispatcher of this host.
type ServiceStatus struct {
	Service fuchsiapitch.ServiceName
	// Slots is the number of requests that may run at the same time.
	Slots int
	// InFlight is the number of running requests.
	InFlight int
	// Queued is the number of waiting requests.
	Queued int
	// Stragglers is the number of replicas that are much slower than the others of
	// the service.
	Stragglers int
}

// ServiceStatuses returns the status of each service that this host dispatches
// for or has dispatched for.
func (s *State) ServiceStatuses() []ServiceStatus {
	stragglers := make(map[fuchsiapitch.ServiceName]int)
	for _, id := range s.scheduler.Stragglers() {
		stragglers[s.replicas[id].Service()]++
	}
	var statuses []ServiceStatus
	for _, l := range s.ownLoads() {
		statuses = append(statuses, ServiceStatus{
			Service: l.Service, Slots: l.Slots, InFlight: l.InFlight, Queued: l.Queued, Stragglers: stragglers[l.Service],
		})
	}
	return statuses
}
