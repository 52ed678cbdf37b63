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
		j.stopping = true
		p.stopping++
		c.stopping++
		spare--
		missing--
		plan.Preempts = append(plan.Preempts, j.request.ID())
	}
	return missing
}

func (j *job) preemptible() bool {
	return j.request.Stream() && j.request.Idempotent() && !j.stopping &&
		!j.station.gone && j.preemptions < preemptionLimit
}
