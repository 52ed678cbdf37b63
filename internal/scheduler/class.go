package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

const (
	// floorWindow is the time constant of the token sums that bound floor credits.
	floorWindow = 10 * time.Second
	// floorMargin is the factor by which the credit of a floor grows faster than
	// the floor itself, so that fluctuations do not bring the share of a rank
	// below its floor.
	floorMargin = 1.05
	// maxFloorDebtFraction bounds, as a fraction of floorWindow, how long a rank
	// that has used spare capacity waits for its floor afterwards.
	maxFloorDebtFraction = 0.4
	// minFloor is the floor of every rank but the most urgent, even if a smaller
	// one is configured, so that no accepted request waits indefinitely.
	minFloor = 0.01
	// idempotentFloor is the fraction of an application service's capacity that is
	// guaranteed to idempotent calls, which have lower priority than non-idempotent
	// ones.
	idempotentFloor = 0.25
	// maxFloorBurst bounds the running requests of a class that is served for its
	// floor, as a multiple of the slots that correspond to the floor.
	maxFloorBurst = 2
)

// classKey identifies a class and gives its position in the pool. In application
// services each rank has two classes, and non-idempotent calls come first.
type classKey struct {
	rankOrder  int
	idempotent bool
}

func (k classKey) compare(o classKey) int {
	if k.rankOrder != o.rankOrder {
		return cmp.Compare(k.rankOrder, o.rankOrder)
	}
	return cmp.Compare(boolToInt(k.idempotent), boolToInt(o.idempotent))
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// class holds the requests of one class key in one pool. The queued requests
// include the blocked ones. floor is the fraction of the capacity that the class
// is guaranteed.
type class struct {
	key   classKey
	rank  fuchsiapitch.Rank
	floor float64
	queue *fairQueue
	// blocked holds the jobs for which selectReplica found no replica.
	blocked     jobList
	runningJobs jobList
	// preemptingRequests counts the running requests that are being preempted.
	preemptingRequests int
	queuedRequests     int
	queuedBytes        int64
	// queuedCost is the estimated cost of the queued requests in tokens.
	queuedCost float64
	// servedTokens sums the tokens served over floorWindow.
	servedTokens decayingSum
	// floorCredit is the number of tokens by which the class fell short of its
	// floor while it had work. It is negative if it received more than its floor.
	floorCredit float64
	costHistory costRatio
	// firstTokenCount and firstTokenSeconds give the mean time that replicas take
	// for the first token, over rateWindow.
	firstTokenCount, firstTokenSeconds decayingSum
	// smallArrivals counts the arrivals of requests of small customers, and
	// slotReleases the running requests that have ended, both over rateWindow.
	smallArrivals, slotReleases decayingSum
}

// hasQueued reports whether a request of the class is queued and not blocked.
func (c *class) hasQueued() bool { return len(c.queue.backlogged) > 0 }

// classFor returns the class of a request and creates it if there is none.
func (p *pool) classFor(request fuchsiapitch.Request) *class {
	rank := p.scheduler.rank(request.Rank())
	key := classKey{rankOrder: rank.Order(), idempotent: p.isApplication() && request.Idempotent()}
	position, found := slices.BinarySearchFunc(p.classes, key, func(c *class, k classKey) int { return c.key.compare(k) })
	if found {
		return p.classes[position]
	}
	c := &class{key: key, queue: newFairQueue(), servedTokens: decayingSum{timeConstant: floorWindow}, costHistory: newCostRatio()}
	recent := decayingSum{timeConstant: rateWindow}
	c.firstTokenCount, c.firstTokenSeconds, c.smallArrivals, c.slotReleases = recent, recent, recent, recent
	p.classes = slices.Insert(p.classes, position, c)
	p.setRank(c, rank)
	return c
}

// setRank sets the rank of a class and derives its floor.
func (p *pool) setRank(c *class, rank fuchsiapitch.Rank) {
	c.rank = rank
	c.floor = 0
	if rank.Order() > p.scheduler.mostUrgentOrder {
		c.floor = max(minFloor, rank.MinCapacityShare())
	}
	if c.key.idempotent {
		c.floor = max(c.floor, idempotentFloor)
	}
}

// isBelowFloor reports whether a class has queued requests and has received less
// than its floor. The bound on its running requests prevents a rank that was idle
// from taking every slot at once.
func (p *pool) isBelowFloor(c *class) bool {
	if c.floor == 0 || !c.hasQueued() || p.scheduler.disabledMechanisms[Floors] {
		return false
	}
	if float64(c.runningJobs.length) >= maxFloorBurst*c.floor*float64(p.totalSlots) {
		return false
	}
	return c.floorCredit > 0
}

// updateFloorCredits updates the floor credits of all classes after tokens were
// served to one of them. While a class has work, its credit grows by floorMargin
// times its floor's share of all tokens served, and shrinks by the tokens served to
// the class itself. The credit is bounded by the tokens that correspond to the
// floor in floorWindow. The debt is bounded too, so that a class that has used
// spare capacity is not starved afterwards.
func (p *pool) updateFloorCredits(now time.Duration, servedClass *class, tokens float64) {
	total := p.servedTokens.valueAt(now)
	for _, c := range p.classes {
		if c.floor == 0 {
			continue
		}
		if c.queuedRequests == 0 && c.runningJobs.length == 0 {
			c.floorCredit = min(c.floorCredit, 0)
			continue
		}
		c.floorCredit += floorMargin * c.floor * tokens
		if c == servedClass {
			c.floorCredit -= tokens
		}
		maxCredit := c.floor * total
		c.floorCredit = max(min(c.floorCredit, maxCredit), -maxFloorDebtFraction*maxCredit)
	}
}

// nextJob returns the job to start next, nil if none may start. Classes below
// their floor come first, then the most urgent class that may use a free slot.
func (p *pool) nextJob(now time.Duration) *job {
	if p.freeSlots == 0 {
		return nil
	}
	for _, c := range p.classes {
		if p.isBelowFloor(c) {
			return c.queue.head()
		}
	}
	if p.scheduler.disabledMechanisms[RankOrder] {
		return p.earliestJob(now)
	}
	for _, c := range p.classes {
		if j := p.nextStartable(now, c); j != nil {
			return j
		}
	}
	return nil
}

// earliestJob returns the job that was queued first among the next startable ones
// of all classes.
func (p *pool) earliestJob(now time.Duration) *job {
	var best *job
	for _, c := range p.classes {
		if j := p.nextStartable(now, c); j != nil && (best == nil || j.sequence < best.sequence) {
			best = j
		}
	}
	return best
}

// freeSlotsFor returns the number of free slots that a class may use, without
// those that are reserved for other classes.
func (p *pool) freeSlotsFor(now time.Duration, c *class) int {
	free := p.freeSlots
	if c.key.rankOrder > p.scheduler.mostUrgentOrder {
		free -= p.headroom(now)
	}
	if c.key.idempotent && !p.scheduler.disabledMechanisms[NonIdempotentReserve] {
		free = min(free, p.totalSlots-p.nonIdempotentSlots()-p.runningIdempotent)
	}
	return free
}

// nextStartable returns the next job of a class if it may use a free slot, nil
// otherwise. When the remaining slots are reserved for small customers, it is the
// next job of a small customer.
func (p *pool) nextStartable(now time.Duration, c *class) *job {
	free := p.freeSlotsFor(now, c)
	if free <= 0 || !c.hasQueued() {
		return nil
	}
	first := c.queue.backlogged[0]
	if free > p.shareHeadroom(now, c, first) {
		return first.waitingJobs.first
	}
	var best *flow
	for _, f := range c.queue.backlogged {
		if p.isSmallCustomer(now, c, f) && (best == nil || f.before(best)) {
			best = f
		}
	}
	if best == nil {
		return nil
	}
	return best.waitingJobs.first
}
