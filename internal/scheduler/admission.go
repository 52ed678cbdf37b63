package scheduler

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fuchsiapitch/fuchsiapitch"
)

const (
	// waitQuantile is the distance in standard deviations from the mean below
	// which 95 in 100 waits stay.
	waitQuantile = 1.65
	// leastWait is the fraction of the target for the first token that a request
	// may wait even if the replicas alone take longer than the target.
	leastWait = 0.25
	// busyMinimum is the busy time of slots, in seconds, from which the speed
	// of a slot is known.
	busyMinimum = 1.0
	// retryMinimum is the least hint for a retry.
	retryMinimum = time.Second
	// retryMaximum is the greatest hint for a retry.
	retryMaximum = 2 * time.Minute
	// retrySpread is the largest fraction by which hints differ, so that the
	// refused do not all return at once.
	retrySpread = 0.25
)

// admit decides whether a request may wait.
func (p *pool) admit(now time.Duration, request fuchsiapitch.Request, c *class, f *flow) Admission {
	cost := max(1, request.EstimatedTokens()*c.ratio(now, f))
	if p.queueFull(request, c, f) {
		wait, _ := p.estimateWait(now, c, f, cost)
		return refuse(request, max(wait, retryMinimum))
	}
	if p.scheduler.off[EarlyRefusal] {
		return Admission{Accepted: true}
	}
	wait, known := p.estimateWait(now, c, f, cost)
	if !known {
		return Admission{Accepted: true}
	}
	if allowed := p.allowedWait(now, c); allowed > 0 && wait > allowed {
		return refuse(request, wait-allowed/2)
	}
	if limit := request.TimeLimit(); limit > 0 && wait > limit {
		return refuse(request, wait-limit/2)
	}
	return Admission{Accepted: true}
}

// queueFull reports whether the customer holds as much of the queue as is left
// free. This dynamic threshold lets one customer use a half of an empty queue
// and always leaves room for others.
func (p *pool) queueFull(request fuchsiapitch.Request, c *class, f *flow) bool {
	s := p.scheduler
	return f.requests >= s.queueRequests-c.requests || f.bytes+request.BodyBytes() > s.queueBytes-c.bytes
}

func refuse(request fuchsiapitch.Request, wait time.Duration) Admission {
	const buckets = 1 << 10
	part := float64(xxhash.Sum64String(string(request.ID()))%buckets) / buckets
	after := min(max(scale(wait, 1+retrySpread*part), retryMinimum), retryMaximum)
	return Admission{Reason: fuchsiapitch.RefusedOverload, RetryAfter: after}
}

// allowedWait returns how long a request of a class may wait: its rank's target
// for the first token without the time that a replica takes for it, 0 for any
// time.
func (p *pool) allowedWait(now time.Duration, c *class) time.Duration {
	target := c.rank.FirstTokenTarget()
	first := time.Duration(0)
	if n := c.answers.read(now); n > 0 {
		first = time.Duration(c.answerTime.read(now) / n * float64(time.Second))
	}
	return max(target-first, scale(target, leastWait))
}

// estimateWait returns a time within which 95 in 100 new requests would start.
//
// The speed of a slot is measured while it is in use, so that the estimate
// holds after an idle time as well. Ahead of the request stand what waits in
// more urgent classes and, within its own, what its customer must let pass:
// its own requests and as much of the others' as their weights give them. The
// ends of the requests are taken as independent, so that n of them spread by
// the square root of n.
func (p *pool) estimateWait(now time.Duration, c *class, f *flow, cost float64) (wait time.Duration, known bool) {
	if p.hasRoom(now, c, f) {
		return 0, true
	}
	rate, known := p.rate(now)
	if !known {
		return 0, false
	}
	urgent, share := p.aheadOf(now, c)
	within := p.aheadWithin(c, f, cost)
	seconds := urgent/rate + within/(rate*share)
	seconds *= 1 + waitQuantile/math.Sqrt(max(1, (urgent+within)/cost))
	return time.Duration(min(seconds, maximumWait.Seconds()) * float64(time.Second)), true
}

// hasRoom reports whether a new request would start at once: on a free slot, or
// in the most urgent rank on the slot of a stream that yields to it.
func (p *pool) hasRoom(now time.Duration, c *class, f *flow) bool {
	room := p.freeFor(now, c) - p.shareHeadroom(now, c, f)
	if c.key.order == p.scheduler.urgentOrder {
		room += p.preemptible
	}
	return room > c.requests
}

// rate returns the tokens a second that the pool serves when all slots are used.
func (p *pool) rate(now time.Duration) (rate float64, known bool) {
	busy := p.busy.read(now)
	if busy < busyMinimum || p.limit == 0 {
		return 0, false
	}
	rate = p.tokens.read(now) / busy * float64(p.limit)
	return rate, rate > 0
}

// maximumWait bounds an estimate.
const maximumWait = 24 * time.Hour

// aheadOf returns the tokens that wait in more urgent classes and the share of
// the capacity that is left for a class.
func (p *pool) aheadOf(now time.Duration, c *class) (tokens, share float64) {
	total := p.served.read(now)
	share = 1
	for _, o := range p.classes {
		if o == c || total <= 0 {
			continue
		}
		part := o.served.read(now) / total
		if o.key.compare(c.key) < 0 {
			tokens += o.cost
			share -= part
		} else if o.waits() {
			share -= min(o.floor, part)
		}
	}
	const leastShare = 0.01
	return tokens, max(share, c.floor, leastShare)
}

// aheadWithin returns the tokens of its own class that end before a new request
// of a cost starts, one more request included, whose slot it takes.
func (p *pool) aheadWithin(c *class, f *flow, cost float64) float64 {
	if p.scheduler.off[FairQueueing] {
		return c.cost + cost
	}
	weights := c.fair.weights
	if f.index == notQueued {
		weights += f.weight
	}
	return min(c.cost, f.cost*weights/f.weight) + cost
}
