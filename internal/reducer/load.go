package reducer

import (
	"cmp"
	"slices"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/gossiper"
	"github.com/fuchsiapitch/fuchsiapitch/internal/router"
)

// loadLimit is the largest number of loads in a heartbeat.
const loadLimit = 8

// reportAge is the age of a report that weighs as much as a change by all slots.
const reportAge = 10 * time.Second

// loadKey names a service at a host.
type loadKey struct {
	host    fuchsiapitch.HostID
	service fuchsiapitch.ServiceName
}

// sent counts the requests that this host has forwarded to another one.
type sent struct {
	// inFlight is the number of requests that the other host holds now.
	inFlight int
	// reported is what inFlight was when the other host last reported its load.
	reported int
}

// loads is what this host knows beyond the heartbeats of others.
type loads struct {
	sent     map[loadKey]sent
	reported map[fuchsiapitch.ServiceName]report
}

// report is the load of a service that was last told to others.
type report struct {
	load gossiper.ServiceLoad
	at   time.Duration
}

func newLoads() loads {
	return loads{
		sent:     make(map[loadKey]sent),
		reported: make(map[fuchsiapitch.ServiceName]report),
	}
}

// ownLoads returns the loads of the services that this host dispatches for. A
// service that has lost its last slot here is still named, so that the others
// learn of it.
func (s *State) ownLoads() []gossiper.ServiceLoad {
	var loads []gossiper.ServiceLoad
	for _, v := range s.configuration.Services() {
		slots, inFlight, queued := s.scheduler.Load(v.Name())
		if _, known := s.loads.reported[v.Name()]; slots == 0 && !known {
			continue
		}
		pace, _ := s.scheduler.Pace(s.now, v.Name())
		loads = append(loads, gossiper.ServiceLoad{
			Service: v.Name(), Slots: slots, InFlight: inFlight, Queued: queued, Pace: pace,
		})
	}
	return loads
}

// dueLoads returns the loads that a heartbeat carries, the most changed first.
func (s *State) dueLoads(loads []gossiper.ServiceLoad) []gossiper.ServiceLoad {
	slices.SortStableFunc(loads, func(a, b gossiper.ServiceLoad) int {
		return cmp.Compare(s.changeOf(b), s.changeOf(a))
	})
	due := loads[:min(loadLimit, len(loads))]
	for _, l := range due {
		s.loads.reported[l.Service] = report{load: l, at: s.now.Monotonic()}
	}
	return due
}

// changeOf returns how much a load differs from the one last reported, as a
// fraction of the slots. The age of the report counts too, so that a constant
// load has its turn.
func (s *State) changeOf(l gossiper.ServiceLoad) float64 {
	last, ok := s.loads.reported[l.Service]
	old := last.load
	if !ok || old.Slots != l.Slots {
		return float64(2 + l.Slots)
	}
	age := float64(s.now.Monotonic()-last.at) / float64(reportAge)
	change := max(l.InFlight+l.Queued-old.InFlight-old.Queued, old.InFlight+old.Queued-l.InFlight-l.Queued)
	return age + float64(change)/float64(max(1, l.Slots))
}

// followPaces tells the scheduler how fast the replicas of other dispatchers are,
// so that a straggler is found where this host has few replicas to compare.
func (s *State) followPaces() {
	live := s.members.Live()
	for _, l := range s.ownLoads() {
		var paces []time.Duration
		for _, h := range live {
			if pace := s.members.Load(h.ID(), l.Service).Pace; h.ID() != s.self && pace > 0 {
				paces = append(paces, pace)
			}
		}
		s.scheduler.SetPeerPaces(l.Service, paces)
	}
}

// noteLoads remembers what this host had forwarded when another host reported.
func (s *State) noteLoads(h gossiper.Heartbeat) {
	for _, l := range h.Loads {
		key := loadKey{host: h.From.ID(), service: l.Service}
		n, ok := s.loads.sent[key]
		switch {
		case ok && n.inFlight == 0:
			delete(s.loads.sent, key)
		case ok:
			n.reported = n.inFlight
			s.loads.sent[key] = n
		}
	}
}

// sentTo counts a request that goes to another host.
func (s *State) sentTo(f *flight) {
	key := loadKey{host: f.host, service: f.request.Service()}
	n := s.loads.sent[key]
	n.inFlight++
	s.loads.sent[key] = n
}

// returned counts a request that another host no longer holds.
func (s *State) returned(f *flight) {
	if f.phase != forwarded {
		return
	}
	f.phase = queued
	key := loadKey{host: f.host, service: f.request.Service()}
	n := s.loads.sent[key]
	n.inFlight--
	s.loads.sent[key] = n
}

// loadOf returns the load of a service at a dispatcher: what it last reported,
// and what this host has sent to it or got back from it since.
func (s *State) loadOf(host fuchsiapitch.HostID, service fuchsiapitch.ServiceName) router.Load {
	if host == s.self {
		slots, inFlight, queued := s.scheduler.Load(service)
		return router.Load{Slots: slots, Requests: inFlight + queued}
	}
	l := s.members.Load(host, service)
	n := s.loads.sent[loadKey{host: host, service: service}]
	return router.Load{Slots: l.Slots, Requests: max(0, l.InFlight+l.Queued+n.inFlight-n.reported)}
}

// remotes returns the other data centres that could take a request. What this
// host has sent there counts in full, since the reports of a whole data centre
// are old.
func (s *State) remotes(f *flight) []router.Remote {
	var remotes []router.Remote
	for _, c := range s.members.Remotes(f.request.Service()) {
		if f.excluded[c.Bridge.ID()] {
			continue
		}
		n := s.loads.sent[loadKey{host: c.Bridge.ID(), service: f.request.Service()}]
		load := router.Load{Slots: c.Load.Slots, Requests: c.Load.InFlight + c.Load.Queued + n.inFlight}
		remotes = append(remotes, router.Remote{Host: c.Bridge, Load: load})
	}
	return remotes
}

// leave returns the other data centre that takes a request instead of this one.
// Requests of the most urgent rank stay while a replica lives here, since they
// do not wait for the others.
func (s *State) leave(f *flight) (fuchsiapitch.Host, bool) {
	if f.bridged {
		return fuchsiapitch.Host{}, false
	}
	service := f.request.Service()
	local := s.table.Pressure(service, func(h fuchsiapitch.HostID) router.Load { return s.loadOf(h, service) })
	if local.Slots > 0 && s.isUrgent(f) {
		return fuchsiapitch.Host{}, false
	}
	return s.overflow.Choose(s.now, service, local, s.remotes(f))
}

// refuge sends a request that was refused here because of the load to another
// data centre with room, once. It reports whether there is one.
func (s *State) refuge(f *flight) bool {
	s.overflow.Refused(s.now, f.request.Service())
	if f.bridged || f.offered || f.refuged || f.ran {
		return false
	}
	h, ok := s.overflow.Refuge(s.remotes(f))
	if ok {
		f.refuged = true
		s.forward(f, h)
	}
	return ok
}

func (s *State) isUrgent(f *flight) bool {
	ranks := s.configuration.Ranks()
	return len(ranks) > 0 && ranks[0].Name() == f.request.Rank()
}

// Schedule is the state of one service at the dispatcher of this host.
type Schedule struct {
	// Service is the service.
	Service fuchsiapitch.ServiceName
	// Slots is the number of requests that may run at once.
	Slots int
	// InFlight is the number of requests that run.
	InFlight int
	// Queued is the number of requests that wait.
	Queued int
	// Stragglers is the number of replicas much slower than their peers.
	Stragglers int
}

// Schedules returns the state of each service that this host dispatches for or
// has lately dispatched for.
func (s *State) Schedules() []Schedule {
	stragglers := make(map[fuchsiapitch.ServiceName]int)
	for _, id := range s.scheduler.Stragglers() {
		stragglers[s.replicas[id].Service()]++
	}
	var schedules []Schedule
	for _, l := range s.ownLoads() {
		schedules = append(schedules, Schedule{
			Service: l.Service, Slots: l.Slots, InFlight: l.InFlight, Queued: l.Queued, Stragglers: stragglers[l.Service],
		})
	}
	return schedules
}
