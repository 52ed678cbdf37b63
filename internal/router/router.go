package router

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/fuchsiapitch/fuchsiapitch"
)

const (
	// affinityBound is the largest load of a dispatcher that is chosen for its
	// prompt cache, in requests per slot.
	affinityBound = 1.0
	// affinityPreference is how much the load per slot of the preferred
	// dispatcher may exceed that of the other one when both are above the bound.
	affinityPreference = 1.25
)

// Load is what a host knows of one service at one dispatcher or data centre.
type Load struct {
	// Slots is the number of requests that run at once, 0 if unknown.
	Slots int
	// Requests is the number of requests that wait or run.
	Requests int
}

// pressure returns the requests per slot.
func (l Load) pressure() float64 {
	if l.Slots == 0 {
		return math.Inf(1)
	}
	return float64(l.Requests) / float64(l.Slots)
}

// candidate is a dispatcher that could take a request of one service.
type candidate struct {
	host  fuchsiapitch.Host
	slots int
	hash  uint64
}

// Policy is the way in which dispatchers are chosen.
type Policy int

// The policies.
const (
	// BoundedAffinity prefers the dispatcher with the prompt cache within a bound
	// on its load. It is the policy of the product.
	BoundedAffinity Policy = iota
	// Random spreads requests by their identifiers.
	Random
	// LeastLoaded takes the dispatcher with the least load per slot.
	LeastLoaded
	// PlainHashing takes the dispatcher with the prompt cache whatever its load.
	PlainHashing
)

// Table holds the dispatchers of each service in this data centre.
type Table struct {
	policy      Policy
	dispatchers map[fuchsiapitch.ServiceName][]candidate
	owned       map[fuchsiapitch.HostID][]fuchsiapitch.Replica
}

// NewTable assigns each replica to its owner among the live hosts.
func NewTable(hosts []fuchsiapitch.Host, replicas []fuchsiapitch.Replica, policy Policy) *Table {
	t := &Table{
		policy:      policy,
		dispatchers: make(map[fuchsiapitch.ServiceName][]candidate),
		owned:       make(map[fuchsiapitch.HostID][]fuchsiapitch.Replica),
	}
	for _, r := range replicas {
		h, ok := Owner(hosts, r.ID())
		if !ok {
			continue
		}
		t.owned[h.ID()] = append(t.owned[h.ID()], r)
		t.addSlots(r.Service(), h, r.Slots())
	}
	return t
}

func (t *Table) addSlots(service fuchsiapitch.ServiceName, host fuchsiapitch.Host, slots int) {
	list := t.dispatchers[service]
	for i := range list {
		if list[i].host.ID() == host.ID() {
			list[i].slots += slots
			return
		}
	}
	hash := xxhash.Sum64String(string(host.ID()))
	t.dispatchers[service] = append(list, candidate{host: host, slots: slots, hash: hash})
}

// Owned returns the replicas that a host dispatches for.
func (t *Table) Owned(host fuchsiapitch.HostID) []fuchsiapitch.Replica { return t.owned[host] }

// Pressure returns the load of a service in the whole data centre.
func (t *Table) Pressure(service fuchsiapitch.ServiceName, load func(fuchsiapitch.HostID) Load) Load {
	var sum Load
	for _, c := range t.dispatchers[service] {
		l := c.loaded(load)
		sum.Slots += l.Slots
		sum.Requests += l.Requests
	}
	return sum
}

// Choose returns the dispatcher for a request.
//
// The two best dispatchers by weighted rendezvous hashing are the candidates.
// The key is the prompt prefix, so that equal prefixes meet in one cache, or
// else the request itself; the weights are the slots. The first candidate is
// taken while it has a free slot by what this host knows, and with a prefix
// also while its load per slot is not clearly above that of the second.
// Excluded dispatchers are not chosen.
func (t *Table) Choose(request fuchsiapitch.Request, excluded map[fuchsiapitch.HostID]bool, load func(fuchsiapitch.HostID) Load) (fuchsiapitch.Host, bool) {
	if t.policy == LeastLoaded {
		return t.leastLoaded(request.Service(), excluded, load)
	}
	first, second := t.best(request, excluded)
	if first == nil {
		return fuchsiapitch.Host{}, false
	}
	if second == nil || t.policy != BoundedAffinity {
		return first.host, true
	}
	own, other := first.loaded(load), second.loaded(load)
	if request.Prefix() == 0 {
		if other.pressure() < own.pressure() {
			return second.host, true
		}
		return first.host, true
	}
	if own.pressure() < affinityBound || own.pressure() <= affinityPreference*other.pressure() {
		return first.host, true
	}
	return second.host, true
}

// leastLoaded returns the dispatcher with the least load per slot.
func (t *Table) leastLoaded(service fuchsiapitch.ServiceName, excluded map[fuchsiapitch.HostID]bool, load func(fuchsiapitch.HostID) Load) (fuchsiapitch.Host, bool) {
	var best fuchsiapitch.Host
	least, found := 0.0, false
	for _, c := range t.dispatchers[service] {
		if excluded[c.host.ID()] {
			continue
		}
		if p := c.loaded(load).pressure(); !found || p < least {
			best, least, found = c.host, p, true
		}
	}
	return best, found
}

// best returns the two candidates with the highest scores, nil where there is
// none.
func (t *Table) best(request fuchsiapitch.Request, excluded map[fuchsiapitch.HostID]bool) (first, second *candidate) {
	key := request.Prefix()
	if key == 0 || t.policy == Random {
		key = xxhash.Sum64String(string(request.ID()))
	}
	list := t.dispatchers[request.Service()]
	var firstScore, secondScore float64
	for i := range list {
		c := &list[i]
		if excluded[c.host.ID()] {
			continue
		}
		score := c.score(key)
		switch {
		case first == nil || score > firstScore:
			second, secondScore = first, firstScore
			first, firstScore = c, score
		case second == nil || score > secondScore:
			second, secondScore = c, score
		}
	}
	return first, second
}

// score returns the weighted rendezvous score: -weight / ln(u) for a hash u that
// is uniform between 0 and 1. Each candidate has the highest score for a part of
// the keys in proportion to its weight.
func (c *candidate) score(key uint64) float64 {
	const mantissa = 53
	u := (float64(mix(c.hash^key)>>(64-mantissa)) + 0.5) / (1 << mantissa)
	return -float64(c.slots) / math.Log(u)
}

// loaded returns the load of the candidate. The slots count from the table
// where the dispatcher has not reported its own.
func (c *candidate) loaded(load func(fuchsiapitch.HostID) Load) Load {
	l := load(c.host.ID())
	if l.Slots == 0 {
		l.Slots = c.slots
	}
	return l
}

// mix is the finaliser of SplitMix64, which spreads every bit of its input.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
