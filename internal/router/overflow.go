package router

import (
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

const (
	// overflowEnter is the load per slot of the data centre from which requests
	// may leave it.
	overflowEnter = 1.5
	// overflowLeave is the load per slot below which they stay again.
	overflowLeave = 1.0
	// overflowEnterTime is the time for which the load must be above the first.
	overflowEnterTime = 2 * time.Second
	// overflowLeaveTime is the time for which it must be below the second.
	overflowLeaveTime = 5 * time.Second
	// remoteLimit is the load per slot of another data centre up to which it is
	// sent requests.
	remoteLimit = 0.8
	// remotePenalty is the load per slot by which another data centre must be
	// less loaded, for the way there and for its cold prompt caches.
	remotePenalty = 0.25
	// refusalMemory is the time for which a refusal for overload counts as a
	// load above overflowEnter.
	refusalMemory = 2 * time.Second
)

// Remote is another data centre that could take requests of a service.
type Remote struct {
	// Host takes the requests for the data centre.
	Host fuchsiapitch.Host
	// Load is the load of the service in the whole data centre.
	Load Load
}

// Overflow decides when requests leave the data centre. Hysteresis in load and
// in time keeps a service from switching on every small change of the load.
type Overflow struct {
	services map[fuchsiapitch.ServiceName]*overflowState
}

type overflowState struct {
	active  bool
	since   time.Duration
	pending bool
	refused time.Duration
	known   bool
}

// NewOverflow returns an overflow that keeps every service at home.
func NewOverflow() *Overflow {
	return &Overflow{services: make(map[fuchsiapitch.ServiceName]*overflowState)}
}

func (o *Overflow) service(name fuchsiapitch.ServiceName) *overflowState {
	s, ok := o.services[name]
	if !ok {
		s = &overflowState{}
		o.services[name] = s
	}
	return s
}

// Refused reports that a dispatcher of this data centre has refused a request
// because the wait is past the target of its rank.
func (o *Overflow) Refused(now fuchsiapitch.Instant, service fuchsiapitch.ServiceName) {
	s := o.service(service)
	s.refused, s.known = now.Monotonic(), true
}

// Choose returns the data centre that takes a request instead of this one. It
// returns false when the request stays: while the local load is bearable, or
// when no other data centre is clearly less loaded. Without local slots the
// least loaded data centre takes it at once.
func (o *Overflow) Choose(now fuchsiapitch.Instant, service fuchsiapitch.ServiceName, local Load, remotes []Remote) (fuchsiapitch.Host, bool) {
	s := o.service(service)
	if local.Slots == 0 {
		best, ok := leastLoaded(remotes)
		return best.Host, ok
	}
	s.follow(now.Monotonic(), local.pressure())
	if !s.active {
		return fuchsiapitch.Host{}, false
	}
	best, ok := leastLoaded(remotes)
	if !ok || best.Load.pressure() >= remoteLimit {
		return fuchsiapitch.Host{}, false
	}
	return best.Host, best.Load.pressure()+remotePenalty < local.pressure()
}

// Refuge returns the data centre for one request that was refused here because
// of the load. It returns false when no other data centre has room.
func (o *Overflow) Refuge(remotes []Remote) (fuchsiapitch.Host, bool) {
	best, ok := leastLoaded(remotes)
	return best.Host, ok && best.Load.pressure() < remoteLimit
}

// Active reports whether requests of a service may leave the data centre.
func (o *Overflow) Active(service fuchsiapitch.ServiceName) bool {
	s, ok := o.services[service]
	return ok && s.active
}

func (s *overflowState) isRefusing(now time.Duration) bool {
	return s.known && now-s.refused < refusalMemory
}

// follow switches the state once the load has been beyond its limit for the
// time that the direction asks for. A refusal switches at once.
func (s *overflowState) follow(now time.Duration, pressure float64) {
	if s.isRefusing(now) {
		s.active, s.pending = true, false
		return
	}
	beyond, hold := pressure >= overflowEnter, overflowEnterTime
	if s.active {
		beyond, hold = pressure < overflowLeave, overflowLeaveTime
	}
	switch {
	case !beyond:
		s.pending = false
	case !s.pending:
		s.pending, s.since = true, now
	case now-s.since >= hold:
		s.active, s.pending = !s.active, false
	}
}

// leastLoaded returns the remote with the least load per slot; among equals the
// first.
func leastLoaded(remotes []Remote) (Remote, bool) {
	var best Remote
	found := false
	for _, r := range remotes {
		if r.Load.Slots > 0 && (!found || r.Load.pressure() < best.Load.pressure()) {
			best, found = r, true
		}
	}
	return best, found
}
