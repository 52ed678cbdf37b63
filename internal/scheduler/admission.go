package scheduler

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fuchsiapitch/fuchsiapitch"
)

const (
	// waitDeviations is the distance of the 95th percentile of the wait from its
	// mean, in standard deviations.
	waitDeviations = 1.65
	// minAllowedWaitFraction is the fraction of the first-token target that a
	// request may wait even if the replicas alone take longer than the target.
	minAllowedWaitFraction = 0.25
	// minBusySeconds is the recent slot use, in slot-seconds, from which the
	// service rate counts as known.
	minBusySeconds = 1.0
	// minRetryAfter is the lower bound of Admission.RetryAfter.
	minRetryAfter = time.Second
	// maxRetryAfter is the upper bound of Admission.RetryAfter.
	maxRetryAfter = 2 * time.Minute
	// retryJitter is the largest fraction added to Admission.RetryAfter, so that
	// refused requests are not all retried at once.
	retryJitter = 0.25
)

// admit decides whether a request may be queued.
func (p *pool) admit(now time.Duration, request fuchsiapitch.Request, c *class, f *flow) Admission {
	cost := max(1, request.EstimatedTokens()*c.costCorrection(now, f))
	if p.exceedsQueueThreshold(request, c, f) {
		wait, _ := p.estimateWait(now, c, f, cost)
		return refuseOverload(request, max(wait, minRetryAfter))
	}
	if p.scheduler.disabledMechanisms[EarlyRefusal] {
		return Admission{Accepted: true}
	}
	wait, known := p.estimateWait(now, c, f, cost)
	if !known {
		return Admission{Accepted: true}
	}
	if allowed := p.allowedWait(now, c); allowed > 0 && wait > allowed {
		return refuseOverload(request, wait-allowed/2)
	}
	if limit := request.TimeLimit(); limit > 0 && wait > limit {
		return refuseOverload(request, wait-limit/2)
	}
	return Admission{Accepted: true}
}

// exceedsQueueThreshold reports whether a request would bring its customer above
// the dynamic threshold of the queue: a customer may hold at most as much as is
// left free. Thus one customer can use half of an empty queue, and there is always
// room for others.
func (p *pool) exceedsQueueThreshold(request fuchsiapitch.Request, c *class, f *flow) bool {
	s := p.scheduler
	return f.queuedRequests >= s.queueRequestLimit-c.queuedRequests || f.queuedBytes+request.BodyBytes() > s.queueByteLimit-c.queuedBytes
}

// refuseOverload refuses a request with a retry hint. The jitter is a hash of the
// request's identifier, so that equal events give equal plans.
func refuseOverload(request fuchsiapitch.Request, wait time.Duration) Admission {
	const buckets = 1 << 10
	jitter := float64(xxhash.Sum64String(string(request.ID()))%buckets) / buckets
	retryAfter := min(max(scaleDuration(wait, 1+retryJitter*jitter), minRetryAfter), maxRetryAfter)
	return Admission{Reason: fuchsiapitch.RefusedOverload, RetryAfter: retryAfter}
}

// allowedWait returns how long a request of a class may wait: the first-token
// target of its rank less the mean time that a replica takes for the first token,
// but at least minAllowedWaitFraction of the target. 0 means that there is no
// limit.
func (p *pool) allowedWait(now time.Duration, c *class) time.Duration {
	target := c.rank.FirstTokenTarget()
	meanFirstToken := time.Duration(0)
	if n := c.firstTokenCount.valueAt(now); n > 0 {
		meanFirstToken = time.Duration(c.firstTokenSeconds.valueAt(now) / n * float64(time.Second))
	}
	return max(target-meanFirstToken, scaleDuration(target, minAllowedWaitFraction))
}

// estimateWait returns the estimated 95th percentile of the wait of a new request.
//
// The service rate counts only the time in which slots are in use, so that the
// estimate is valid after an idle time as well. Ahead of the request are the
// backlog of more urgent classes and, within its own class, the requests of its
// customer and those of other customers that fair queueing serves in the
// meantime. The ends of requests are assumed to be independent, so that the
// relative deviation for n of them is 1 divided by the square root of n.
func (p *pool) estimateWait(now time.Duration, c *class, f *flow, cost float64) (wait time.Duration, known bool) {
	if p.canStartNow(now, c, f) {
		return 0, true
	}
	rate, known := p.serviceRate(now)
	if !known {
		return 0, false
	}
	urgentTokens, share := p.moreUrgentBacklog(now, c)
	classTokens := p.backlogWithinClass(c, f, cost)
	seconds := urgentTokens/rate + classTokens/(rate*share)
	seconds *= 1 + waitDeviations/math.Sqrt(max(1, (urgentTokens+classTokens)/cost))
	return time.Duration(min(seconds, maxEstimatedWait.Seconds()) * float64(time.Second)), true
}

// canStartNow reports whether a new request would start at once: on a free slot
// or, in the most urgent rank, on the slot of a stream that is preempted for it.
func (p *pool) canStartNow(now time.Duration, c *class, f *flow) bool {
	free := p.freeSlotsFor(now, c) - p.shareHeadroom(now, c, f)
	if c.key.rankOrder == p.scheduler.mostUrgentOrder {
		free += p.preemptibleRequests
	}
	return free > c.queuedRequests
}

// serviceRate returns the tokens per second that the pool serves with all slots
// in use.
func (p *pool) serviceRate(now time.Duration) (rate float64, known bool) {
	busySeconds := p.recentSlotSeconds.valueAt(now)
	if busySeconds < minBusySeconds || p.totalSlots == 0 {
		return 0, false
	}
	rate = p.recentTokens.valueAt(now) / busySeconds * float64(p.totalSlots)
	return rate, rate > 0
}

// maxEstimatedWait bounds the result of estimateWait.
const maxEstimatedWait = 24 * time.Hour

// moreUrgentBacklog returns the tokens queued in more urgent classes and the
// fraction of the capacity that is left for a class.
func (p *pool) moreUrgentBacklog(now time.Duration, c *class) (tokens, share float64) {
	total := p.servedTokens.valueAt(now)
	share = 1
	for _, o := range p.classes {
		if o == c || total <= 0 {
			continue
		}
		used := o.servedTokens.valueAt(now) / total
		if o.key.compare(c.key) < 0 {
			tokens += o.queuedCost
			share -= used
		} else if o.hasQueued() {
			share -= min(o.floor, used)
		}
	}
	const minShare = 0.01
	return tokens, max(share, c.floor, minShare)
}

// backlogWithinClass returns the tokens of its own class that are served before a
// new request starts, including one request of the same cost whose slot it takes.
func (p *pool) backlogWithinClass(c *class, f *flow, cost float64) float64 {
	if p.scheduler.disabledMechanisms[FairQueueing] {
		return c.queuedCost + cost
	}
	weights := c.queue.backloggedWeight
	if f.heapIndex == notBacklogged {
		weights += f.weight
	}
	return min(c.queuedCost, f.queuedCost*weights/f.weight) + cost
}
