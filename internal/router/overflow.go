package router

import (
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

const (
	// overflowEnterLoad is the load per slot of the data centre at which overflow to
	// other data centres starts.
	overflowEnterLoad = 1.5
	// overflowLeaveLoad is the load per slot below which overflow ends.
	overflowLeaveLoad = 1.0
	// overflowEnterDelay is the time for which the load must stay at or above
	// overflowEnterLoad before overflow starts.
	overflowEnterDelay = 2 * time.Second
	// overflowLeaveDelay is the time for which the load must stay below
	// overflowLeaveLoad before overflow ends.
	overflowLeaveDelay = 5 * time.Second
	// remoteLoadLimit is the load per slot from which another data centre receives no
	// more requests.
	remoteLoadLimit = 0.8
	// remoteLoadPenalty is the load per slot by which another data centre must be less
	// loaded. It accounts for the network latency and for cold prompt caches.
	remoteLoadPenalty = 0.25
	// refusalWindow is the time for which a refusal for overload keeps overflow
	// active, whatever the load.
	refusalWindow = 2 * time.Second
)

// RemoteDataCentre is another data centre that could receive requests of a service.
type RemoteDataCentre struct {
	// Host is the entry host that receives the requests.
	Host fuchsiapitch.Host
	// Load is the load of the service in the whole data centre.
	Load Load
}

// Overflow decides when requests are sent to another data centre. Hysteresis in load
// and time prevents a service from flapping on small changes in load.
type Overflow struct {
	services map[fuchsiapitch.ServiceName]*overflowState
}

// overflowState is the overflow state of one service.
type overflowState struct {
	active bool
	// thresholdCrossedAt is the time since which the load has been beyond the threshold
	// for switching the state. It is valid if switchPending is true.
	thresholdCrossedAt time.Duration
	switchPending      bool
	// lastRefusalAt is the time of the last refusal for overload. It is valid if
	// hasRefusal is true.
	lastRefusalAt time.Duration
	hasRefusal    bool
}

// NewOverflow returns an Overflow that is inactive for every service.
func NewOverflow() *Overflow {
	return &Overflow{services: make(map[fuchsiapitch.ServiceName]*overflowState)}
}

func (o *Overflow) stateOf(name fuchsiapitch.ServiceName) *overflowState {
	s, ok := o.services[name]
	if !ok {
		s = &overflowState{}
		o.services[name] = s
	}
	return s
}

// RecordRefusal records that a dispatcher of this data centre refused a request because
// the expected wait exceeds the target of its rank.
func (o *Overflow) RecordRefusal(now fuchsiapitch.Instant, service fuchsiapitch.ServiceName) {
	s := o.stateOf(service)
	s.lastRefusalAt, s.hasRefusal = now.Monotonic(), true
}

// ChooseRemote returns the entry host of the data centre to which a request is sent. It
// returns false if the request is handled locally, because overflow is inactive or no
// other data centre is sufficiently less loaded. If there are no local slots, it returns
// the host of the least loaded data centre, whether overflow is active or not.
func (o *Overflow) ChooseRemote(now fuchsiapitch.Instant, service fuchsiapitch.ServiceName, local Load, remotes []RemoteDataCentre) (fuchsiapitch.Host, bool) {
	s := o.stateOf(service)
	if local.Slots == 0 {
		best, ok := leastLoadedRemote(remotes)
		return best.Host, ok
	}
	s.updateActive(now.Monotonic(), local.loadPerSlot())
	if !s.active {
		return fuchsiapitch.Host{}, false
	}
	best, ok := leastLoadedRemote(remotes)
	if !ok || best.Load.loadPerSlot() >= remoteLoadLimit {
		return fuchsiapitch.Host{}, false
	}
	return best.Host, best.Load.loadPerSlot()+remoteLoadPenalty < local.loadPerSlot()
}

// ChooseAfterRefusal returns the entry host of the data centre to which a request is
// sent that this data centre refused for overload. It returns false if no other data
// centre has capacity.
func (o *Overflow) ChooseAfterRefusal(remotes []RemoteDataCentre) (fuchsiapitch.Host, bool) {
	best, ok := leastLoadedRemote(remotes)
	return best.Host, ok && best.Load.loadPerSlot() < remoteLoadLimit
}

// IsActive reports whether requests of a service may be sent to other data centres.
func (o *Overflow) IsActive(service fuchsiapitch.ServiceName) bool {
	s, ok := o.services[service]
	return ok && s.active
}

func (s *overflowState) hasRecentRefusal(now time.Duration) bool {
	return s.hasRefusal && now-s.lastRefusalAt < refusalWindow
}

// updateActive starts or ends overflow when the load has been beyond the respective
// threshold for the respective delay. A recent refusal starts overflow immediately.
func (s *overflowState) updateActive(now time.Duration, loadPerSlot float64) {
	if s.hasRecentRefusal(now) {
		s.active, s.switchPending = true, false
		return
	}
	thresholdCrossed, switchDelay := loadPerSlot >= overflowEnterLoad, overflowEnterDelay
	if s.active {
		thresholdCrossed, switchDelay = loadPerSlot < overflowLeaveLoad, overflowLeaveDelay
	}
	switch {
	case !thresholdCrossed:
		s.switchPending = false
	case !s.switchPending:
		s.switchPending, s.thresholdCrossedAt = true, now
	case now-s.thresholdCrossedAt >= switchDelay:
		s.active, s.switchPending = !s.active, false
	}
}

// leastLoadedRemote returns the data centre with the lowest load per slot, the first in
// case of a tie.
func leastLoadedRemote(remotes []RemoteDataCentre) (RemoteDataCentre, bool) {
	var best RemoteDataCentre
	found := false
	for _, r := range remotes {
		if r.Load.Slots > 0 && (!found || r.Load.loadPerSlot() < best.Load.loadPerSlot()) {
			best, found = r, true
		}
	}
	return best, found
}
