package scheduler

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fuchsiapitch/fuchsiapitch"
)

const (
	// waitFraction is the fraction of the target for the first token that a
	// request may be expected to wait. The rest is for the prefill and for the
	// spread of the waits around the estimate.
	waitFraction = 0.5
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
	if p.queueFull(request, c, f) {
		wait, _ := p.estimateWait(now, c, f)
		return refuse(request, max(wait, retryMinimum))
	}
	if p.scheduler.off[EarlyRefusal] {
		return Admission{Accepted: true}
	}
	wait, known := p.estimateWait(now, c, f)
	if !known {
		return Admission{Accepted: true}
	}
	if allowed := scale(c.rank.FirstToken(), waitFraction); allowed > 0 && wait > allowed {
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
	return f.requests >= s.queueRequests-c.requests || f.bytes+request.Bytes() > s.queueBytes-c.bytes
}

func refuse(request fuchsiapitch.Request, wait time.Duration) Admission {
	const buckets = 1 << 10
	part := float64(xxhash.Sum64String(string(request.ID()))%buckets) / buckets
	after := min(max(scale(wait, 1+retrySpread*part), retryMinimum), retryMaximum)
	return Admission{Reason: fuchsiapitch.RefusedOverload, RetryAfter: after}
}

// estimateWait returns the time until a new request would start.
//
// The speed of a slot is measured while it is in use, so that the estimate
// holds after an idle time as well. Ahead of the request stand what waits in
// more urgent classes and, within its own, what its customer must let pass:
// its own requests and as much of the others' as their weights give them.
func (p *pool) estimateWait(now time.Duration, c *class, f *flow) (wait time.Duration, known bool) {
	if !c.waits() && p.admits(now, c) {
		return 0, true
	}
	busy := p.busy.read(now)
	if busy < busyMinimum || p.limit == 0 {
		return 0, false
	}
	rate := p.tokens.read(now) / busy * float64(p.limit)
	if rate <= 0 {
		return 0, false
	}
	urgent, share := p.aheadOf(now, c)
	seconds := urgent/rate + p.aheadWithin(c, f)/(rate*share)
	return time.Duration(min(seconds, maximumWait.Seconds()) * float64(time.Second)), true
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

func (p *pool) aheadWithin(c *class, f *flow) float64 {
	if p.scheduler.off[FairQueueing] {
		return c.cost
	}
	weights := c.fair.weights
	if f.index == notQueued {
		weights += f.weight
	}
	return min(c.cost, f.cost*weights/f.weight)
}
