package scheduler

import (
	"math"
	"time"
)

const (
	// smallFraction is the fraction of its portion below which a customer is small.
	smallFraction = 0.7
	// idleCreditTime is the time whose share an idle customer may save up.
	idleCreditTime = 2 * time.Second
	// shareHeadroomLimit is the largest fraction of the slots that are left free
	// for small customers.
	shareHeadroomLimit = 0.25
	// shareMissLimit is the largest fraction of the requests of small customers
	// that find no free slot.
	shareMissLimit = 0.02
)

// share returns the fraction of its class that is a customer's by weight, among
// the customers that have asked lately.
func (c *class) share(f *flow) float64 {
	if f.weight >= c.fair.active {
		return 1
	}
	return f.weight / c.fair.active
}

// portion returns the number of tokens that are a customer's by weight in
// floorWindow: its share of what its class has received or could have had from
// the slots that others left.
func (p *pool) portion(now time.Duration, c *class, f *flow) float64 {
	received := c.served.read(now)
	if rate, known := p.rate(now); known {
		left := rate*floorWindow.Seconds() - p.served.read(now)
		received += max(0, left)
	}
	return c.share(f) * received
}

// isSmall reports whether a customer has lately been served clearly less than
// its portion and runs little now. What it asks for is served at
// once without harm to the others.
func (p *pool) isSmall(now time.Duration, c *class, f *flow) bool {
	share := c.share(f)
	if float64(f.running) >= max(2, 2*share*float64(p.limit)) {
		return false
	}
	return share < 1 && f.served.read(now) < smallFraction*p.portion(now, c, f)
}

// idleCredit returns the virtual time that passes in idleCreditTime.
func (c *class) idleCredit(now time.Duration) float64 {
	perSecond := c.served.read(now) / floorWindow.Seconds()
	return idleCreditTime.Seconds() * perSecond / max(c.fair.weights, 1)
}

// isLarge reports whether a customer runs more than its share of the slots.
func (p *pool) isLarge(c *class, f *flow) bool {
	return float64(f.running) > max(1, c.share(f)*float64(p.limit))
}

// shareHeadroom returns the number of slots that a customer leaves free for the
// small customers of the most urgent rank, 0 if it is small itself. Without them
// a small customer would wait for the end of a large customer's request. Lower
// ranks preempt instead, which costs no slot but holds up a stream.
//
// A slot that a small customer has taken is replaced when the next request ends.
// Meanwhile more small customers may come. The headroom is the least number of
// slots that so many arrivals, taken as a Poisson process, use up in at most
// shareMissLimit of the cases.
func (p *pool) shareHeadroom(now time.Duration, c *class, f *flow) int {
	if c.key.order != p.scheduler.urgentOrder || p.scheduler.off[ShareHeadroom] || p.limit < headroomMinimum || c.share(f) == 1 || p.isSmall(now, c, f) {
		return 0
	}
	ends := c.ends.read(now)
	if ends == 0 {
		return 1
	}
	most := max(1, int(shareHeadroomLimit*float64(p.limit)))
	return poissonBound(c.smallArrivals.read(now)/ends, shareMissLimit, most)
}

// poissonBound returns the least n from 1 to most that a Poisson variable with a
// mean reaches with at most a probability.
func poissonBound(mean, probability float64, most int) int {
	term := math.Exp(-mean)
	reached := 1 - term
	n := 1
	for ; n < most && reached > probability; n++ {
		term *= mean / float64(n)
		reached -= term
	}
	return n
}
