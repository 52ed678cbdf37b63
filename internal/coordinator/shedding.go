package coordinator

import (
	"cmp"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch/internal/admitter"
	"github.com/fuchsiapitch/fuchsiapitch/internal/apportioner"
)

// In a large cluster a host learns of a free slot together with all other hosts, some
// hundred milliseconds late. If each sent its requests to the replica that looks best, all
// would choose the same one, and in an overload a slot that becomes free would get a request
// of every host. A queue at each host does not help: until a host hears of a free slot, its
// requests are late. Therefore a host draws the replica at random: an engine in proportion to
// its room, another replica as the better one of two. In an overload it admits requests by
// chance: all hosts work out from the same sums which share of each rank the replicas can
// begin in time, and of it the part of each customer, send those at once and refuse the rest
// at once.

// comparedReplicas is the number of replicas that are drawn at random and compared for a
// request. More bring the hosts closer to the same choice.
const comparedReplicas = 2

// queueKey identifies the queued requests of one rank for the same replicas.
type queueKey struct {
	pool poolKey
	rank int
}

// sheddingState holds the shares of the requests that this host admits.
type sheddingState struct {
	rng   *rand.Rand
	pools map[poolKey]*admitter.Pool
	// customers divides the share of a pool in an overload among the customers, and
	// customerParts holds the parts by pool and rank.
	customers     *apportioner.Apportioner
	customerParts map[queueKey]apportioner.Parts
	// remoteCustomers are the recent requests at the other hosts.
	remoteCustomers map[apportioner.Key]int
	overloadLogs    map[poolKey]overloadLog
}

// newSheddingState returns the state of a host. Its draws depend on the host alone.
func newSheddingState(self Peer, incarnation int64) sheddingState {
	h := fnv.New64a()
	h.Write([]byte(self.ID))
	return sheddingState{
		rng:   rand.New(rand.NewPCG(h.Sum64(), uint64(incarnation))), //nolint:gosec // No secret depends on the draws.
		pools: make(map[poolKey]*admitter.Pool), customers: apportioner.New(),
		customerParts: make(map[queueKey]apportioner.Parts), remoteCustomers: make(map[apportioner.Key]int), overloadLogs: make(map[poolKey]overloadLog),
	}
}

// poolOf returns what is known of a pool. One that no replica serves is not kept, since
// clients choose the names of models.
func (c *Coordinator) poolOf(k poolKey) *admitter.Pool {
	if p, ok := c.pools[k]; ok {
		return p
	}
	p := admitter.NewPool(k.model != "")
	for _, r := range c.replicas {
		if r.serves(k) {
			p.SetEngine(r.engine())
			c.pools[k] = p
			break
		}
	}
	return p
}

// arrivalOf describes a request to its pool.
func (w *queuedRequest) arrivalOf() admitter.Arrival {
	return admitter.Arrival{
		Rank: w.Rank, Returned: w.ReturnedAfterRefusal || w.Resumed || w.IsRetry, Objective: w.FirstByteBy - w.arrivedAt, PromptTokens: w.InputTokens,
	}
}

// countArrival counts a request of a client.
func (c *Coordinator) countArrival(now time.Duration, w *queuedRequest) {
	if c.usesRelays() {
		c.poolOf(w.pool).Count(now, w.arrivalOf())
		c.customers.Count(now, apportioner.KeyOf(w.Service, w.Customer))
	}
}

// slotLimit returns the number of requests in flight up to which a replica may get one more. A
// request that waits at a host of a large cluster until news of a free slot arrives is late, so
// that it is sent to any engine that can begin it in time.
func (c *Coordinator) slotLimit(r *replica) int {
	if p, ok := c.pools[r.pool()]; ok && (p.IsOverloaded() || c.usesRelays() && r.isEngine()) {
		return p.InFlightLimit(r.slots)
	}
	return r.slots + c.queueDepth(r)
}

// isShed reports whether a request is refused by chance, because more requests of its rank
// or its customer arrive than the replicas can begin in time. One that has been sent before
// is not.
func (c *Coordinator) isShed(w *queuedRequest) bool {
	p, ok := c.pools[w.pool]
	if !ok || !p.IsOverloaded() || w.Resumed || w.IsRetry {
		return false
	}
	part := c.customerParts[queueKey{w.pool, w.Rank}].Of(apportioner.KeyOf(w.Service, w.Customer))
	return !p.Admits(w.arrivalOf(), part, c.rng.Float64())
}

// shedRetryAfter returns when there is room for a request that is shed.
func (c *Coordinator) shedRetryAfter(now time.Duration, p poolKey) time.Duration {
	return c.poolOf(p).RetryAfter(now, c.relayedHostCount(now), minRetryAfter, maxRetryAfter)
}

// updateAdmissionShares works out which share of the requests of each rank and customer the
// replicas of each pool can begin in time, after news of loads and arrivals.
func (c *Coordinator) updateAdmissionShares(now time.Duration) {
	clear(c.customerParts)
	arrivals := make(map[poolKey][]admitter.Arrivals)
	if c.usesRelays() {
		for k, p := range c.pools {
			arrivals[k] = p.Arrivals(now)
		}
		for _, k := range sortedQueueKeys(c.remoteArrivals) {
			arrivals[k.pool] = append(arrivals[k.pool], c.remoteArrivals[k])
		}
		c.customers.Update(now, c.allCustomers(now))
	}
	loads := c.poolLoads(now)
	for k, p := range c.pools {
		p.Update(loads[k], arrivals[k])
		c.logOverload(now, k, p)
		if !p.IsOverloaded() {
			continue
		}
		for rank, s := range p.State().Shares {
			c.customerParts[queueKey{k, rank}] = c.customers.Divide(s.New)
		}
	}
}

// allCustomers returns the recent requests of the customers at all hosts.
func (c *Coordinator) allCustomers(now time.Duration) []apportioner.Arrivals {
	counts := c.customers.Report(now)
	for k, n := range c.remoteCustomers {
		counts = append(counts, apportioner.Arrivals{Customer: k, Count: n})
	}
	return apportioner.Merge(counts)
}

// reportedCustomers returns the recent requests of customers at this host, for the others.
func (c *Coordinator) reportedCustomers(now time.Duration) []apportioner.Arrivals {
	if !c.usesRelays() {
		return nil
	}
	return c.customers.Report(now)
}

// isSilent reports whether a replica has sent this host no byte for so long that others are
// preferred. An engine that reads long prompts is silent until its usual first event.
func (c *Coordinator) isSilent(now time.Duration, r *replica) bool {
	limit := avoidanceSilence
	if p, ok := c.pools[r.pool()]; ok && c.usesRelays() && r.isEngine() {
		limit += p.FirstEventDelay()
	}
	return r.silentFor(now) > limit
}

// poolLoads sums the loads of the replicas that may get requests, cold ones included. One that
// is silent does not begin any.
func (c *Coordinator) poolLoads(now time.Duration) map[poolKey]admitter.Load {
	loads := make(map[poolKey]admitter.Load)
	for _, r := range c.replicas {
		if !r.open || now < c.beginsAt(r) || c.isSilent(now, r) && now-r.remoteLastByteAt > avoidanceSilence {
			continue
		}
		l := loads[r.pool()]
		l.Replicas, l.Slots, l.InFlight = l.Replicas+1, l.Slots+r.slots, l.InFlight+r.totalInFlight()
		loads[r.pool()] = l
	}
	return loads
}

// logOverload logs that a pool has become overloaded, or is no longer, at most once in
// overloadLogInterval.
func (c *Coordinator) logOverload(now time.Duration, k poolKey, p *admitter.Pool) {
	last := c.overloadLogs[k]
	if p.IsOverloaded() == last.isOverloaded || last.at > 0 && now-last.at < overloadLogInterval {
		return
	}
	c.overloadLogs[k] = overloadLog{isOverloaded: p.IsOverloaded(), at: now}
	s := p.State()
	message := "pool can begin all requests in time again"
	if p.IsOverloaded() {
		message = "pool is overloaded, requests are refused"
	}
	c.emit(WriteLog{Message: message, Fields: map[string]any{
		"service": string(k.service), "model": k.model, "rate": s.Rate, "demand": s.Demand, "in-flight": s.Load.InFlight, "slots": s.Load.Slots, "planned": s.Planned,
		"first-event-ms": s.FirstEvent.Milliseconds(), "objective-ms": s.Objective.Milliseconds(), "excess-customers": len(c.customers.Excess(maxLoggedCustomers)),
	}})
}

// poolViews returns the state of the pools for operators.
func (c *Coordinator) poolViews() []PoolView {
	views := make([]PoolView, 0, len(c.pools))
	for k, p := range c.pools {
		views = append(views, PoolView{Service: k.service, Model: k.model, State: p.State()})
	}
	slices.SortFunc(views, func(a, b PoolView) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Model, b.Model))
	})
	return views
}

// overloadLogInterval is the shortest time between two log lines on the overload of a pool.
const overloadLogInterval = time.Second

// overloadLog is the last line on the overload of a pool.
type overloadLog struct {
	isOverloaded bool
	at           time.Duration
}

// maxLoggedCustomers bounds the customers over their usual that are counted for the log.
const maxLoggedCustomers = 8

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

// drawEngine chooses among engines that many hosts send to.
func (c *Coordinator) drawEngine(now time.Duration, w *queuedRequest, engines []*replica) *replica {
	candidates := make([]admitter.Candidate, len(engines))
	for n, r := range engines {
		candidates[n] = admitter.Candidate{InFlight: r.totalInFlight(), IsAvoided: now < r.avoidedUntil || c.isSilent(now, r) || slices.Contains(w.FailedServers, r.server)}
	}
	return engines[c.poolOf(w.pool).Choose(candidates, c.rng.Float64())]
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
