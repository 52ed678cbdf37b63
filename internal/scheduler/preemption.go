package scheduler

import (
	"math"
	"time"
)

const (
	// preemptionLimit is the largest number of times that one request is
	// preempted.
	preemptionLimit = 3
	// deepDebt is the fraction of the largest debt from which the slots of a
	// floor are preempted too.
	deepDebt = 0.9
)

// preempt stops background streams for the urgent requests that still wait.
//
// A stream is stopped only if it can be resumed, if its rank keeps the slots of
// its floor, and at most preemptionLimit times. The newest stream of the least
// urgent rank goes first: it has the least cache to lose.
func (p *pool) preempt(now time.Duration, plan *Plan) {
	if p.scheduler.off[Preemption] || len(p.classes) == 0 {
		return
	}
	missing := p.urgentWaiting() - p.free - p.stopping
	for i := len(p.classes) - 1; i >= 0 && missing > 0; i-- {
		c := p.classes[i]
		if c.key.order <= p.scheduler.urgentOrder {
			return
		}
		missing = p.preemptClass(c, missing, p.kept(now, c), plan)
	}
}

// preemptShares stops streams of customers over their share for the requests of
// small customers of the same class that still wait. Streams of the most urgent
// rank are not stopped.
func (p *pool) preemptShares(now time.Duration, plan *Plan) {
	if p.scheduler.off[SharePreemption] || p.free > 0 {
		return
	}
	for _, c := range p.classes {
		if c.key.order == p.scheduler.urgentOrder {
			continue
		}
		missing := p.smallWaiting(now, c) - p.stopping
		for j := c.running.last; j != nil && missing > 0; j = j.previous {
			if j.preemptible() && p.isLarge(c, j.flow) {
				p.stop(j, plan)
				missing--
			}
		}
	}
}

// smallWaiting returns the number of small customers that wait.
func (p *pool) smallWaiting(now time.Duration, c *class) int {
	waiting := 0
	for _, f := range c.fair.ready {
		if p.isSmall(now, c, f) {
			waiting++
		}
	}
	return waiting
}

// stop has a running stream stopped.
func (p *pool) stop(j *job, plan *Plan) {
	j.stopping = true
	p.follow(j)
	p.stopping++
	j.class.stopping++
	plan.Preempts = append(plan.Preempts, j.request.ID())
}

func (p *pool) urgentWaiting() int {
	waiting := 0
	for _, c := range p.classes {
		if c.key.order == p.scheduler.urgentOrder {
			waiting += c.requests - c.parked.length
		}
	}
	return waiting
}

// kept returns the number of running requests that a class keeps: the slots of
// its floor, rounded up unless the class has received clearly more.
func (p *pool) kept(now time.Duration, c *class) int {
	slots := c.floor * float64(p.limit)
	if c.credit < -deepDebt*floorDebt*c.floor*p.served.read(now) {
		return int(slots)
	}
	return int(math.Ceil(slots))
}

func (p *pool) preemptClass(c *class, missing, kept int, plan *Plan) int {
	spare := c.running.length - c.stopping - kept
	for j := c.running.last; j != nil && spare > 0 && missing > 0; j = j.previous {
		if !j.preemptible() {
			continue
		}
		p.stop(j, plan)
		spare--
		missing--
	}
	return missing
}

func (j *job) preemptible() bool {
	return j.request.Streaming() && j.request.Idempotent() && !j.stopping &&
		!j.station.gone && j.preemptions < preemptionLimit
}
