package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

const (
	// floorWindow is the time constant over which the floors are measured.
	floorWindow = 10 * time.Second
	// floorMargin is the factor by which a floor is exceeded, so that the share
	// of a rank does not fall below it by chance.
	floorMargin = 1.05
	// floorDebt bounds, as a fraction of floorWindow, for how long a rank that
	// has used spare capacity waits for its floor afterwards.
	floorDebt = 0.4
	// minimumFloor is the share that a lower rank gets even if it is configured
	// less, so that no accepted request waits for ever.
	minimumFloor = 0.01
	// repeatableFloor is the share of an application service's capacity that
	// calls which may be repeated get beside those which may not.
	repeatableFloor = 0.25
	// floorBurst bounds the requests that run on account of a floor, as a
	// multiple of the slots that the floor stands for.
	floorBurst = 2
)

// classKey orders the classes of a pool. Within a rank of an application
// service the calls that may not be repeated come first.
type classKey struct {
	order      int
	repeatable bool
}

func (k classKey) compare(o classKey) int {
	if k.order != o.order {
		return cmp.Compare(k.order, o.order)
	}
	return cmp.Compare(boolToInt(k.repeatable), boolToInt(o.repeatable))
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// class holds the requests of one rank in one pool.
type class struct {
	key      classKey
	rank     fuchsiapitch.Rank
	floor    float64
	fair     *fairQueue
	parked   jobList
	running  jobList
	stopping int
	requests int
	bytes    int64
	cost     float64
	served   meter
	// credit is the number of tokens that the class has received less than its
	// floor, while it had work.
	credit   float64
	estimate ratio
	// answers and answerTime measure the time that replicas take for the first
	// token.
	answers, answerTime meter
	// smallArrivals counts the requests of small customers, and ends the requests
	// that have ended, over the same window.
	smallArrivals, ends meter
}

// waits reports whether a request of the class waits in fair order.
func (c *class) waits() bool { return len(c.fair.ready) > 0 }

// class returns the class of a request, which it creates at first.
func (p *pool) class(request fuchsiapitch.Request) *class {
	rank := p.scheduler.rank(request.Rank())
	key := classKey{order: rank.Order(), repeatable: p.application() && request.Idempotent()}
	at, ok := slices.BinarySearchFunc(p.classes, key, func(c *class, k classKey) int { return c.key.compare(k) })
	if ok {
		return p.classes[at]
	}
	c := &class{key: key, fair: newFairQueue(), served: meter{window: floorWindow}, estimate: newRatio()}
	recent := meter{window: rateWindow}
	c.answers, c.answerTime, c.smallArrivals, c.ends = recent, recent, recent, recent
	p.classes = slices.Insert(p.classes, at, c)
	p.setFloor(c, rank)
	return c
}

// setFloor takes over the rank in force.
func (p *pool) setFloor(c *class, rank fuchsiapitch.Rank) {
	c.rank = rank
	c.floor = 0
	if rank.Order() > p.scheduler.urgentOrder {
		c.floor = max(minimumFloor, rank.MinCapacityShare())
	}
	if c.key.repeatable {
		c.floor = max(c.floor, repeatableFloor)
	}
}

// owed reports whether a class waits although it has received less than its
// floor. The bound on its running requests keeps a rank that comes back after
// an idle time from taking every slot at once.
func (p *pool) owed(c *class) bool {
	if c.floor == 0 || !c.waits() || p.scheduler.off[Floors] {
		return false
	}
	if float64(c.running.length) >= floorBurst*c.floor*float64(p.limit) {
		return false
	}
	return c.credit > 0
}

// settleFloors counts tokens of a class against the floors of all. A floor
// grows with what the pool serves while its class has work. The credit is
// bounded by what the floor gives in floorWindow. The debt is bounded too, so
// that a class is not starved for the spare capacity that it used before.
func (p *pool) settleFloors(now time.Duration, served *class, tokens float64) {
	total := p.served.read(now)
	for _, c := range p.classes {
		if c.floor == 0 {
			continue
		}
		if c.requests == 0 && c.running.length == 0 {
			c.credit = min(c.credit, 0)
			continue
		}
		c.credit += floorMargin * c.floor * tokens
		if c == served {
			c.credit -= tokens
		}
		window := c.floor * total
		c.credit = max(min(c.credit, window), -floorDebt*window)
	}
}

// next returns the request to start next, nil if none may start: one of a class
// below its floor, or else one of the most urgent class that may use a free
// slot.
func (p *pool) next(now time.Duration) *job {
	if p.free == 0 {
		return nil
	}
	for _, c := range p.classes {
		if p.owed(c) {
			return c.fair.head()
		}
	}
	if p.scheduler.off[RankOrder] {
		return p.earliest(now)
	}
	for _, c := range p.classes {
		if j := p.admissible(now, c); j != nil {
			return j
		}
	}
	return nil
}

// earliest returns the request that came first among those that are next in
// their classes.
func (p *pool) earliest(now time.Duration) *job {
	var best *job
	for _, c := range p.classes {
		if j := p.admissible(now, c); j != nil && (best == nil || j.sequence < best.sequence) {
			best = j
		}
	}
	return best
}

// freeFor returns the number of free slots that a class may use, given those
// that are kept for other classes.
func (p *pool) freeFor(now time.Duration, c *class) int {
	free := p.free
	if c.key.order > p.scheduler.urgentOrder {
		free -= p.headroom(now)
	}
	if c.key.repeatable && !p.scheduler.off[ReservedCalls] {
		free = min(free, p.limit-p.reservedCalls()-p.repeatableRunning)
	}
	return free
}

// admissible returns the next request of a class that may use a free slot. When
// the last slots are kept for small customers, the turn passes to the first of
// them.
func (p *pool) admissible(now time.Duration, c *class) *job {
	free := p.freeFor(now, c)
	if free <= 0 || !c.waits() {
		return nil
	}
	first := c.fair.ready[0]
	if free > p.shareHeadroom(now, c, first) {
		return first.queue.first
	}
	var best *flow
	for _, f := range c.fair.ready {
		if p.isSmall(now, c, f) && (best == nil || f.before(best)) {
			best = f
		}
	}
	if best == nil {
		return nil
	}
	return best.queue.first
}
