package scheduler

import (
	"math"
	"time"
)

const (
	// smallCustomerFraction is the fraction of its fair tokens below which a
	// customer counts as small.
	smallCustomerFraction = 0.7
	// idleCreditTime is the time for which an idle customer accumulates its share.
	idleCreditTime = 2 * time.Second
	// maxShareHeadroomFraction is the largest fraction of the slots that is kept
	// free for small customers.
	maxShareHeadroomFraction = 0.25
	// maxShareMissProbability is the largest fraction of the requests of small
	// customers that find no free slot.
	maxShareMissProbability = 0.02
)

// weightShare returns the weight of a customer as a fraction of the weights of all
// customers with recent requests in the class.
func (c *class) weightShare(f *flow) float64 {
	if f.weight >= c.queue.activeWeight {
		return 1
	}
	return f.weight / c.queue.activeWeight
}

// fairTokens returns the number of tokens in floorWindow to which a customer is
// entitled by its weight: its share of the tokens that its class has received and
// of those that unused slots could have served.
func (p *pool) fairTokens(now time.Duration, c *class, f *flow) float64 {
	received := c.servedTokens.valueAt(now)
	if rate, known := p.serviceRate(now); known {
		unused := rate*floorWindow.Seconds() - p.servedTokens.valueAt(now)
		received += max(0, unused)
	}
	return c.weightShare(f) * received
}

// isSmallCustomer reports whether a customer has recently been served less than
// smallCustomerFraction of its fair tokens and has few running requests. Its
// requests can start at once without harm to the other customers.
func (p *pool) isSmallCustomer(now time.Duration, c *class, f *flow) bool {
	share := c.weightShare(f)
	if float64(f.runningRequests) >= max(2, 2*share*float64(p.totalSlots)) {
		return false
	}
	return share < 1 && f.servedTokens.valueAt(now) < smallCustomerFraction*p.fairTokens(now, c, f)
}

// idleCredit returns the virtual time that passes in idleCreditTime at the recent
// service rate of the class.
func (c *class) idleCredit(now time.Duration) float64 {
	perSecond := c.servedTokens.valueAt(now) / floorWindow.Seconds()
	return idleCreditTime.Seconds() * perSecond / max(c.queue.backloggedWeight, 1)
}

// exceedsSlotShare reports whether a customer uses more than its share of the
// slots.
func (p *pool) exceedsSlotShare(c *class, f *flow) bool {
	return float64(f.runningRequests) > max(1, c.weightShare(f)*float64(p.totalSlots))
}

// shareHeadroom returns the number of slots that a customer has to leave free for
// the small customers of the most urgent rank, 0 if it is small itself. Without
// them a small customer would wait for the end of a large customer's request. Lower
// ranks use preemption instead, which needs no free slot but delays a stream.
//
// A slot used by a small customer is replaced when the next request ends. More
// requests of small customers may arrive before that. The headroom is the least
// number of slots that these arrivals, modelled as a Poisson process, exhaust with
// a probability of at most maxShareMissProbability. It is at least one slot and at
// most maxShareHeadroomFraction of the slots.
func (p *pool) shareHeadroom(now time.Duration, c *class, f *flow) int {
	if c.key.rankOrder != p.scheduler.mostUrgentOrder || p.scheduler.disabledMechanisms[ShareHeadroom] || p.totalSlots < minSlotsForHeadroom || c.weightShare(f) == 1 || p.isSmallCustomer(now, c, f) {
		return 0
	}
	releases := c.slotReleases.valueAt(now)
	if releases == 0 {
		return 1
	}
	limit := max(1, int(maxShareHeadroomFraction*float64(p.totalSlots)))
	return poissonBound(c.smallArrivals.valueAt(now)/releases, maxShareMissProbability, limit)
}

// poissonBound returns the least n that a Poisson variable with the given mean
// reaches with at most the given probability, limited to the range from 1 to limit.
func poissonBound(mean, probability float64, limit int) int {
	term := math.Exp(-mean)
	tail := 1 - term
	n := 1
	for ; n < limit && tail > probability; n++ {
		term *= mean / float64(n)
		tail -= term
	}
	return n
}
