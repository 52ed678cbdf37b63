package scheduler

import (
	"math"
	"time"
)

const (
	// maxPreemptions is the number of times that one request can be preempted.
	maxPreemptions = 3
	// deepDebtFraction is the fraction of the largest floor debt above which the
	// slots protected for a floor are rounded down.
	deepDebtFraction = 0.9
)

// preemptForUrgent preempts streams of lower ranks for the urgent requests that
// still wait.
//
// A stream is preempted only if it can be resumed, if its rank keeps the slots of
// its floor, and at most maxPreemptions times. The newest stream of the least
// urgent rank is preempted first, since it has the least cache to lose.
func (p *pool) preemptForUrgent(now time.Duration, plan *Plan) {
	if p.scheduler.disabledMechanisms[Preemption] || len(p.classes) == 0 {
		return
	}
	needed := p.waitingUrgentRequests() - p.freeSlots - p.preemptingRequests
	for i := len(p.classes) - 1; i >= 0 && needed > 0; i-- {
		c := p.classes[i]
		if c.key.rankOrder <= p.scheduler.mostUrgentOrder {
			return
		}
		needed = p.preemptClass(c, needed, p.protectedRequests(now, c), plan)
	}
}

// preemptForSmallCustomers preempts streams of customers above their slot share
// for small customers of the same class that still wait. Streams of the most
// urgent rank are never preempted.
func (p *pool) preemptForSmallCustomers(now time.Duration, plan *Plan) {
	if p.scheduler.disabledMechanisms[SharePreemption] || p.freeSlots > 0 {
		return
	}
	for _, c := range p.classes {
		if c.key.rankOrder == p.scheduler.mostUrgentOrder {
			continue
		}
		needed := p.waitingSmallCustomers(now, c) - p.preemptingRequests
		for j := c.runningJobs.last; j != nil && needed > 0; j = j.previous {
			if j.isPreemptible() && p.exceedsSlotShare(c, j.flow) {
				p.preemptJob(j, plan)
				needed--
			}
		}
	}
}

// waitingSmallCustomers returns the number of small customers with waiting jobs.
func (p *pool) waitingSmallCustomers(now time.Duration, c *class) int {
	waiting := 0
	for _, f := range c.queue.backlogged {
		if p.isSmallCustomer(now, c, f) {
			waiting++
		}
	}
	return waiting
}

// preemptJob adds the preemption of a running stream to the plan.
func (p *pool) preemptJob(j *job, plan *Plan) {
	j.preempting = true
	p.updatePreemptible(j)
	p.preemptingRequests++
	j.class.preemptingRequests++
	plan.Preemptions = append(plan.Preemptions, j.request.ID())
}

// waitingUrgentRequests returns the number of queued requests of the most urgent
// rank that are not blocked.
func (p *pool) waitingUrgentRequests() int {
	waiting := 0
	for _, c := range p.classes {
		if c.key.rankOrder == p.scheduler.mostUrgentOrder {
			waiting += c.queuedRequests - c.blocked.length
		}
	}
	return waiting
}

// protectedRequests returns the number of running requests of a class that are not
// preempted: the slots of its floor. They are rounded up, unless the class has
// received so much more than its floor that its debt exceeds deepDebtFraction of
// the largest one.
func (p *pool) protectedRequests(now time.Duration, c *class) int {
	slots := c.floor * float64(p.totalSlots)
	if c.floorCredit < -deepDebtFraction*maxFloorDebtFraction*c.floor*p.servedTokens.valueAt(now) {
		return int(slots)
	}
	return int(math.Ceil(slots))
}

// preemptClass preempts up to needed streams of a class, the newest first, and
// keeps the protected number of requests. It returns how many are still needed.
func (p *pool) preemptClass(c *class, needed, protected int, plan *Plan) int {
	spare := c.runningJobs.length - c.preemptingRequests - protected
	for j := c.runningJobs.last; j != nil && spare > 0 && needed > 0; j = j.previous {
		if !j.isPreemptible() {
			continue
		}
		p.preemptJob(j, plan)
		spare--
		needed--
	}
	return needed
}

// isPreemptible reports whether a running job is a stream that can be stopped and
// resumed later.
func (j *job) isPreemptible() bool {
	return j.request.Streaming() && j.request.Idempotent() && !j.preempting &&
		!j.runningOn.removed && j.preemptionCount < maxPreemptions
}
