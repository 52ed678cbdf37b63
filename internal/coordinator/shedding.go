package coordinator

import (
	"cmp"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"
)

// In a large cluster a host learns of a free slot together with all other hosts, some
// hundred milliseconds late. If each sent its requests to the replica that looks best, all
// would choose the same one, and in an overload a slot that becomes free would get a request
// of every host. A queue at each host does not help: until a host hears of a free slot, its
// requests are late. Therefore a host compares only two replicas that it draws at random,
// and in an overload it admits requests by chance: all hosts work out from the same sums
// which share of each rank the replicas can take, send that share at once and refuse the
// rest at once.

// comparedReplicas is the number of replicas that are drawn at random and compared for a
// request. More bring the hosts closer to the same choice.
const comparedReplicas = 2

const (
	// newsDelay is the time until all hosts know of a change. arrivalBucket is half of it:
	// arrivals are counted in the current and the previous bucket.
	newsDelay     = 2 * arrivalBucket
	arrivalBucket = 200 * time.Millisecond
	// arrivalWindow is the mean time for which the counts stand.
	arrivalWindow = arrivalBucket + arrivalBucket/2
	// admittedOccupancy is the ratio of requests in flight to slots at which an overload is
	// held. An engine fills a freed slot at once with a request that it has queued.
	admittedOccupancy = 1.08
)

// queueKey identifies the queued requests of one rank for the same replicas.
type queueKey struct {
	pool poolKey
	rank int
}

// admissionShareState is the share of the requests that this host admits.
type admissionShareState struct {
	rng *rand.Rand
	// admissionShares holds, for each pool and rank in an overload, the share of the
	// requests that are admitted.
	admissionShares map[queueKey]float64
	// overloadedPools marks the pools in an overload.
	overloadedPools map[poolKey]bool
	// arrivals counts the requests of this host by rank.
	arrivals map[queueKey]*recentArrivals
}

// recentArrivals counts requests in two adjacent buckets of time.
type recentArrivals struct {
	bucket            int64
	current, previous int
}

// advance moves to the bucket of a time.
func (a *recentArrivals) advance(now time.Duration) {
	bucket := int64(now / arrivalBucket)
	switch bucket {
	case a.bucket:
		return
	case a.bucket + 1:
		a.previous = a.current
	default:
		a.previous = 0
	}
	a.bucket, a.current = bucket, 0
}

// countArrival counts a request of a client.
func (c *Coordinator) countArrival(now time.Duration, k queueKey) {
	if !c.usesRelays() {
		return
	}
	a, ok := c.arrivals[k]
	if !ok {
		a = &recentArrivals{}
		c.arrivals[k] = a
	}
	a.advance(now)
	a.current++
}

// newAdmissionShareState returns the state of a host. Its draws depend on the host alone.
func newAdmissionShareState(self Peer, incarnation int64) admissionShareState {
	h := fnv.New64a()
	h.Write([]byte(self.ID))
	return admissionShareState{
		rng:             rand.New(rand.NewPCG(h.Sum64(), uint64(incarnation))), //nolint:gosec // No secret depends on the draws.
		admissionShares: make(map[queueKey]float64), overloadedPools: make(map[poolKey]bool), arrivals: make(map[queueKey]*recentArrivals),
	}
}

// slotLimit returns the number of requests in flight up to which a replica may get one more.
// In an overload few replicas seem to have a free slot, and would get the requests of all
// hosts. As the hosts admit no more than the replicas can take, they then choose among all.
func (c *Coordinator) slotLimit(r *replica) int {
	limit := r.slots + c.queueDepth(r)
	if c.overloadedPools[poolKey{r.service, r.model}] {
		limit += r.slots / 2
	}
	return limit
}

// isShed reports whether a new request is refused by chance, because more requests of its
// rank arrive than the replicas can take. One that has been sent before, or comes back after
// a refusal, is not.
func (c *Coordinator) isShed(w *queuedRequest) bool {
	share, isOverloaded := c.admissionShares[queueKey{w.pool, w.Rank}]
	return isOverloaded && !w.Resumed && !w.IsRetry && !w.ReturnedAfterRefusal && c.rng.Float64() >= share
}

// updateAdmissionShares works out which share of the requests of each rank the replicas of
// each pool can take, after news of loads and arrivals. The most urgent rank goes first.
func (c *Coordinator) updateAdmissionShares(now time.Duration) {
	clear(c.admissionShares)
	clear(c.overloadedPools)
	if !c.usesRelays() {
		return
	}
	demand := make(map[queueKey]float64)
	for _, q := range c.queueLengths(now) {
		demand[queueKey{poolKey{q.Service, q.Model}, q.Rank}] += float64(q.Arrivals) / arrivalWindow.Seconds()
	}
	for k, n := range c.remoteArrivals {
		demand[k] += float64(n) / arrivalWindow.Seconds()
	}
	rates := c.acceptableRates(now)
	total := make(map[poolKey]float64)
	for k, rate := range demand {
		total[k.pool] += rate
	}
	for p, rate := range rates {
		c.overloadedPools[p] = total[p] > rate
	}
	for _, k := range sortedQueueKeys(demand) {
		if !c.overloadedPools[k.pool] {
			continue
		}
		c.admissionShares[k] = min(1, rates[k.pool]/max(demand[k], 1))
		rates[k.pool] = max(0, rates[k.pool]-demand[k])
	}
}

// acceptableRates returns the requests per second that the replicas of each pool can take:
// as many as they complete, and those for which slots are free, or less if they have more
// requests than slots.
func (c *Coordinator) acceptableRates(now time.Duration) map[poolKey]float64 {
	slots, inFlight := make(map[poolKey]float64), make(map[poolKey]float64)
	for _, r := range c.replicas {
		if r.open && now >= c.availableAt(r) {
			p := poolKey{r.service, r.model}
			slots[p] += float64(r.slots)
			inFlight[p] += float64(r.totalInFlight())
		}
	}
	rates := make(map[poolKey]float64)
	for p, n := range slots {
		slotTime := max(c.slotTime(p), time.Millisecond).Seconds()
		room := n*admittedOccupancy - inFlight[p]
		rate := min(inFlight[p], n) / slotTime
		if room > 0 {
			rate += room / min(newsDelay.Seconds(), slotTime)
		} else {
			rate += room / slotTime
		}
		rates[p] = max(0, rate)
	}
	return rates
}

// sortedQueueKeys returns the keys in the order of pools and ranks.
func sortedQueueKeys[V any](queues map[queueKey]V) []queueKey {
	keys := make([]queueKey, 0, len(queues))
	for k := range queues {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b queueKey) int {
		return cmp.Or(cmp.Compare(a.pool.service, b.pool.service), cmp.Compare(a.pool.model, b.pool.model), cmp.Compare(a.rank, b.rank))
	})
	return keys
}

// drawReplicas returns up to comparedReplicas of the candidates, drawn at random.
func (c *Coordinator) drawReplicas(candidates []*replica) []*replica {
	if !c.usesRelays() || len(candidates) <= comparedReplicas {
		return candidates
	}
	for n := range comparedReplicas {
		m := n + c.rng.IntN(len(candidates)-n)
		candidates[n], candidates[m] = candidates[m], candidates[n]
	}
	return candidates[:comparedReplicas]
}
