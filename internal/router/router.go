package router

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/fuchsiapitch/fuchsiapitch"
)

const (
	// affinityLoadBound is the load, in requests per slot, below which a dispatcher is
	// chosen for its prompt cache regardless of the alternative.
	affinityLoadBound = 1.0
	// affinityLoadRatio is the factor by which the load per slot of the preferred
	// dispatcher may exceed that of the alternative if it has reached the bound.
	affinityLoadRatio = 1.25
)

// Load is the known load of one service at a dispatcher or in a data centre.
type Load struct {
	// Slots is the number of requests that can run concurrently, 0 if unknown.
	Slots int
	// Requests is the number of queued and running requests.
	Requests int
}

// loadPerSlot returns the number of requests per slot, infinite if no slots are known.
func (l Load) loadPerSlot() float64 {
	if l.Slots == 0 {
		return math.Inf(1)
	}
	return float64(l.Requests) / float64(l.Slots)
}

// dispatcher is the dispatcher of one service on one host.
type dispatcher struct {
	host     fuchsiapitch.Host
	slots    int
	hostHash uint64
}

// Policy determines how dispatchers are chosen.
type Policy int

// The policies.
const (
	// BoundedAffinity prefers the dispatcher with the prompt cache while its load is
	// within a bound. It is the policy in production; experiments compare the others
	// with it.
	BoundedAffinity Policy = iota
	// Random distributes requests by a hash of their identifiers.
	Random
	// LeastLoaded chooses the dispatcher with the lowest load per slot.
	LeastLoaded
	// UnboundedAffinity chooses the dispatcher with the prompt cache regardless of its
	// load.
	UnboundedAffinity
)

// RoutingTable holds the dispatchers of each service in this data centre.
type RoutingTable struct {
	policy        Policy
	dispatchers   map[fuchsiapitch.ServiceName][]dispatcher
	ownedReplicas map[fuchsiapitch.HostID][]fuchsiapitch.Replica
}

// NewRoutingTable assigns each replica to its owner among the live hosts.
func NewRoutingTable(hosts []fuchsiapitch.Host, replicas []fuchsiapitch.Replica, policy Policy) *RoutingTable {
	t := &RoutingTable{
		policy:        policy,
		dispatchers:   make(map[fuchsiapitch.ServiceName][]dispatcher),
		ownedReplicas: make(map[fuchsiapitch.HostID][]fuchsiapitch.Replica),
	}
	for _, r := range replicas {
		h, ok := Owner(hosts, r.ID())
		if !ok {
			continue
		}
		t.ownedReplicas[h.ID()] = append(t.ownedReplicas[h.ID()], r)
		t.addSlots(r.Service(), h, r.Slots())
	}
	return t
}

func (t *RoutingTable) addSlots(service fuchsiapitch.ServiceName, host fuchsiapitch.Host, slots int) {
	candidates := t.dispatchers[service]
	for i := range candidates {
		if candidates[i].host.ID() == host.ID() {
			candidates[i].slots += slots
			return
		}
	}
	hostHash := xxhash.Sum64String(string(host.ID()))
	t.dispatchers[service] = append(candidates, dispatcher{host: host, slots: slots, hostHash: hostHash})
}

// OwnedReplicas returns the replicas that the dispatcher on a host owns.
func (t *RoutingTable) OwnedReplicas(host fuchsiapitch.HostID) []fuchsiapitch.Replica {
	return t.ownedReplicas[host]
}

// TotalLoad returns the load of a service in the whole data centre.
func (t *RoutingTable) TotalLoad(service fuchsiapitch.ServiceName, load func(fuchsiapitch.HostID) Load) Load {
	var sum Load
	for _, c := range t.dispatchers[service] {
		l := c.currentLoad(load)
		sum.Slots += l.Slots
		sum.Requests += l.Requests
	}
	return sum
}

// Choose returns the dispatcher for a request.
//
// The candidates are the two best dispatchers by weighted rendezvous hashing, without
// the excluded ones. The weights are the slots. The key is the hash of the prompt prefix,
// so that requests with equal prefixes share one cache. For a request with a prefix the
// first candidate is chosen while, as far as this host knows, it has a free slot or its
// load per slot is not much higher than that of the second. For a request without a
// prefix the key is its identifier, and the less loaded candidate is chosen.
//
// The policies Random and UnboundedAffinity always choose the first candidate, and
// LeastLoaded considers the load alone.
func (t *RoutingTable) Choose(request fuchsiapitch.Request, excluded map[fuchsiapitch.HostID]bool, load func(fuchsiapitch.HostID) Load) (fuchsiapitch.Host, bool) {
	if t.policy == LeastLoaded {
		return t.leastLoadedDispatcher(request.Service(), excluded, load)
	}
	first, second := t.topTwo(request, excluded)
	if first == nil {
		return fuchsiapitch.Host{}, false
	}
	if second == nil || t.policy != BoundedAffinity {
		return first.host, true
	}
	firstLoad, secondLoad := first.currentLoad(load), second.currentLoad(load)
	if request.PrefixHash() == 0 {
		if secondLoad.loadPerSlot() < firstLoad.loadPerSlot() {
			return second.host, true
		}
		return first.host, true
	}
	if firstLoad.loadPerSlot() < affinityLoadBound || firstLoad.loadPerSlot() <= affinityLoadRatio*secondLoad.loadPerSlot() {
		return first.host, true
	}
	return second.host, true
}

// leastLoadedDispatcher returns the dispatcher with the lowest load per slot.
func (t *RoutingTable) leastLoadedDispatcher(service fuchsiapitch.ServiceName, excluded map[fuchsiapitch.HostID]bool, load func(fuchsiapitch.HostID) Load) (fuchsiapitch.Host, bool) {
	var best fuchsiapitch.Host
	least, found := 0.0, false
	for _, c := range t.dispatchers[service] {
		if excluded[c.host.ID()] {
			continue
		}
		if p := c.currentLoad(load).loadPerSlot(); !found || p < least {
			best, least, found = c.host, p, true
		}
	}
	return best, found
}

// topTwo returns the two dispatchers with the highest rendezvous scores, nil for those
// that do not exist.
func (t *RoutingTable) topTwo(request fuchsiapitch.Request, excluded map[fuchsiapitch.HostID]bool) (first, second *dispatcher) {
	key := request.PrefixHash()
	if key == 0 || t.policy == Random {
		key = xxhash.Sum64String(string(request.ID()))
	}
	candidates := t.dispatchers[request.Service()]
	var firstScore, secondScore float64
	for i := range candidates {
		c := &candidates[i]
		if excluded[c.host.ID()] {
			continue
		}
		score := c.rendezvousScore(key)
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

// rendezvousScore returns the weighted rendezvous score -weight / ln(u), where the hash u
// is uniform between 0 and 1. Each dispatcher has the highest score for a share of the
// keys in proportion to its weight.
func (d *dispatcher) rendezvousScore(key uint64) float64 {
	const mantissa = 53
	u := (float64(mixBits(d.hostHash^key)>>(64-mantissa)) + 0.5) / (1 << mantissa)
	return -float64(d.slots) / math.Log(u)
}

// currentLoad returns the load of the dispatcher. If the dispatcher has not reported its
// slots, the number of slots in the routing table is used.
func (d *dispatcher) currentLoad(load func(fuchsiapitch.HostID) Load) Load {
	l := load(d.host.ID())
	if l.Slots == 0 {
		l.Slots = d.slots
	}
	return l
}

// mixBits is the finaliser of SplitMix64. Each input bit affects all output bits.
func mixBits(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
