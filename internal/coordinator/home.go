package coordinator

import (
	"cmp"
	"slices"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/confiner"
)

// homeState holds the regions and the queues of requests that are confined to some of them.
type homeState struct {
	regions confiner.Regions
	// confinedQueues is the number of requests in remoteQueues that are confined to a home.
	confinedQueues map[confinedQueue]int
}

// confinedPool identifies the replicas that may get the requests of a pool with the same home.
type confinedPool struct {
	pool poolKey
	home confiner.Home
}

// confinedQueue identifies the queued requests of one rank with the same home.
type confinedQueue struct {
	queueKey
	home confiner.Home
}

func newHomeState() homeState {
	return homeState{confinedQueues: make(map[confinedQueue]int)}
}

// WithRegions sets the regions of the data centres.
func WithRegions(regions confiner.Regions) Option {
	return func(c *Coordinator) { c.regions = regions }
}

// mayUse reports whether the home of a request allows a replica.
func (c *Coordinator) mayUse(home confiner.Home, r *replica) bool {
	return home == confiner.Anywhere || home.Allows(c.regions[c.dataCentreOf(r.server)])
}

func (c *Coordinator) dataCentreOf(id fuchsiapitch.ServerID) fuchsiapitch.DataCentreName {
	if s, ok := c.servers[id]; ok {
		return s.report.DataCentre
	}
	return ""
}

// confined returns what selects the replicas of a request.
func (w *queuedRequest) confined() confinedPool { return confinedPool{w.pool, w.home} }

// addConfinedQueue adds a queue of another host to the confined ones, or subtracts it if the sign
// is -1.
func (c *Coordinator) addConfinedQueue(q Queue, sign int) {
	if q.Home == confiner.Anywhere {
		return
	}
	k := confinedQueue{queueKey{poolKey{q.Service, q.Model}, q.Rank}, q.Home}
	if c.confinedQueues[k] += sign * q.Length; c.confinedQueues[k] <= 0 {
		delete(c.confinedQueues, k)
	}
}

// confinedQueueLengths returns the number of confined requests that are queued at this host, by
// service, model, rank and home.
func (c *Coordinator) confinedQueueLengths() []Queue {
	counts := make(map[Queue]int)
	for _, w := range c.queue {
		if !w.awaitsRetry && w.home != confiner.Anywhere {
			counts[Queue{Service: w.Service, Model: w.Model, Rank: w.Rank, Home: w.home}]++
		}
	}
	var queues []Queue
	for q, n := range counts {
		q.Length = n
		queues = append(queues, q)
	}
	slices.SortFunc(queues, compareQueues)
	return queues
}

// compareQueues orders queues by service, model, rank and home.
func compareQueues(a, b Queue) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Model, b.Model), cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.Home, b.Home))
}

// queuedElsewhere returns how many requests that are queued at other hosts before a request, and
// are counted in remoteQueues, wait for replicas that its home does not allow.
func (c *Coordinator) queuedElsewhere(w *queuedRequest) int {
	n := 0
	for k, length := range c.confinedQueues {
		if k.pool == w.pool && k.rank <= w.Rank && !k.home.Overlaps(w.home) {
			n += length
		}
	}
	return n
}

// isNarrowed reports whether a replica that serves a request is outside its home. What the replicas
// of its pool can take together then says little about those in the home.
func (c *Coordinator) isNarrowed(w *queuedRequest) bool {
	if w.home == confiner.Anywhere {
		return false
	}
	for _, r := range c.replicas {
		if r.serves(w.pool) && !c.mayUse(w.home, r) {
			return true
		}
	}
	return false
}

// unservableReason returns the reason to refuse a request that no replica serves: NoHome if one
// does outside its home.
func (c *Coordinator) unservableReason(w *queuedRequest) RefusalReason {
	if c.isNarrowed(w) {
		return NoHome
	}
	return c.noReplicaReason(w)
}

// refuseHomeless refuses a request that no region may serve, also a stream that has begun, and
// reports whether it has. Waiting would change nothing.
func (c *Coordinator) refuseHomeless(w *queuedRequest) bool {
	if w.home != confiner.Nowhere {
		return false
	}
	c.refuse(w, NoHome, maxRetryAfter)
	return true
}
