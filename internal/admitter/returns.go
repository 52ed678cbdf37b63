package admitter

import (
	"math"
	"time"
)

// returnSchedule spaces the requests that a host tells to come back. Each refused request
// gets the next free place in the room kept for returning requests, so that its Retry-After
// is the time at which there is room for it, and a refused crowd does not return at once.
type returnSchedule struct {
	nextAt time.Duration
	// spread is where in the last part of the longest delay the next request without a place
	// comes back, from 0 to 1.
	spread float64
}

const (
	// lastPart is the part of the longest delay over which requests without a place spread.
	lastPart = 0.5
	// spreadStep places each of them far from the ones before.
	spreadStep = 0.618034
)

// reserve takes the next place. perSecond is the rate of places of this host. If the place
// comes later than longest, none is taken: the request then comes back without a place of its
// own, in the last part of that time.
func (r *returnSchedule) reserve(now time.Duration, perSecond float64, shortest, longest time.Duration) time.Duration {
	at := max(r.nextAt, now+shortest)
	if perSecond <= 0 || at > now+longest {
		_, r.spread = math.Modf(r.spread + spreadStep)
		return longest - time.Duration(lastPart*r.spread*float64(longest-shortest))
	}
	r.nextAt = at + time.Duration(float64(time.Second)/perSecond)
	return at - now
}

// RetryAfter returns the time after which there is room for a refused request, from shortest
// to longest. hosts is the number of hosts that share the room.
func (p *Pool) RetryAfter(now time.Duration, hosts int, shortest, longest time.Duration) time.Duration {
	room := returnedPart * p.rate / float64(max(hosts, 1))
	return p.returns.reserve(now, room, shortest, longest)
}
