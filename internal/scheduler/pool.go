package scheduler

import (
	"cmp"
	"container/heap"
	"maps"
	"slices"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

const (
	// rateWindow is the time constant of the sums that give the service rate, the
	// time to the first token and the arrivals of small customers.
	rateWindow = 10 * time.Second
	// headroomFraction is the fraction of the slots kept free for the most urgent
	// rank.
	headroomFraction = 1.0 / 16
	// minSlotsForHeadroom is the number of slots in a pool from which some are kept
	// free.
	minSlotsForHeadroom = 4
	// idleTimeout is the time without requests after which no slots are kept free
	// for the most urgent rank, and after which the flow of a customer is removed.
	idleTimeout = time.Minute
	// nonIdempotentFraction is the fraction of an application service's slots that
	// is reserved for non-idempotent calls.
	nonIdempotentFraction = 0.25
)

// pool holds the replicas of one service at this dispatcher and the requests that
// are queued for them or run on them.
type pool struct {
	scheduler *Scheduler
	service   fuchsiapitch.ServiceName
	kind      fuchsiapitch.ServiceKind
	// classes are sorted by key, the most urgent first.
	classes       []*class
	replicaStates []*replicaState
	// totalSlots, freeSlots and runningRequests are sums over replicaStates.
	totalSlots      int
	freeSlots       int
	runningRequests int
	// preemptingRequests counts the running requests that are being preempted.
	preemptingRequests int
	// queueLength is the number of queued requests, blocked ones included.
	queueLength int

	// runningIdempotent counts the running requests in idempotent classes.
	runningIdempotent int
	// preemptibleRequests counts the running requests that can be preempted for
	// urgent ones.
	preemptibleRequests int
	// lastUrgentAt is when a request of the most urgent rank was last offered or
	// queued. It is valid if hasSeenUrgent is true.
	lastUrgentAt  time.Duration
	hasSeenUrgent bool
	nextAdjustAt  time.Duration
	// dirty is true if an event since the last call of schedule may allow a request
	// to start.
	dirty bool

	// servedTokens sums the tokens served over floorWindow.
	servedTokens decayingSum
	// recentTokens and recentSlotSeconds sum the tokens served and the use of slots
	// over rateWindow.
	recentTokens      decayingSum
	recentSlotSeconds decayingSum
	slotUseRecordedAt time.Duration
	// peerInterTokenTimes are the mean times between tokens at other dispatchers.
	peerInterTokenTimes []time.Duration
}

func newPool(s *Scheduler, service fuchsiapitch.ServiceName) *pool {
	p := &pool{
		scheduler: s, service: service,
		servedTokens:      decayingSum{timeConstant: floorWindow},
		recentTokens:      decayingSum{timeConstant: rateWindow},
		recentSlotSeconds: decayingSum{timeConstant: rateWindow},
	}
	p.configure()
	return p
}

// configure applies the configuration in force to the pool, its classes and flows.
func (p *pool) configure() {
	if v, ok := p.scheduler.configuration.Service(p.service); ok {
		p.kind = v.Kind()
	}
	for _, c := range p.classes {
		p.setRank(c, p.scheduler.rank(c.rank.Name()))
		for _, n := range slices.Sorted(maps.Keys(c.queue.flows)) {
			f := c.queue.flows[n]
			c.queue.flowFor(f.lastRequestAt, n, p.scheduler.weight(f.customer))
		}
	}
	p.dirty = true
}

func (p *pool) isApplication() bool { return p.kind == fuchsiapitch.ApplicationService }

// setReplicas replaces the replicas. Requests on a removed replica continue and no
// longer count against a slot.
func (p *pool) setReplicas(replicas []fuchsiapitch.Replica) {
	next := make([]*replicaState, 0, len(replicas))
	for _, r := range replicas {
		rs := p.findReplica(r.ID())
		if rs == nil {
			rs = newReplicaState(r)
		}
		rs.setReplica(r)
		next = append(next, rs)
	}
	slices.SortFunc(next, func(a, b *replicaState) int { return cmp.Compare(a.replica.ID(), b.replica.ID()) })
	for _, rs := range p.replicaStates {
		rs.removed = !slices.Contains(next, rs)
	}
	p.replicaStates = next
	p.recountSlots()
}

func (p *pool) findReplica(id fuchsiapitch.ReplicaID) *replicaState {
	for _, rs := range p.replicaStates {
		if rs.replica.ID() == id {
			return rs
		}
	}
	return nil
}

// recountSlots sums the slots and the running requests of all replicas.
func (p *pool) recountSlots() {
	p.totalSlots, p.freeSlots, p.runningRequests = 0, 0, 0
	for _, rs := range p.replicaStates {
		p.totalSlots += rs.slots()
		p.freeSlots += max(0, rs.slots()-rs.runningRequests)
		p.runningRequests += rs.runningRequests
	}
	p.dirty = true
}

// recordSlotUse records the use of the slots up to time now.
func (p *pool) recordSlotUse(now time.Duration) {
	if now <= p.slotUseRecordedAt {
		return
	}
	p.recentSlotSeconds.add(now, float64(p.runningRequests)*(now-p.slotUseRecordedAt).Seconds())
	p.slotUseRecordedAt = now
}

func (p *pool) enqueue(now time.Duration, j *job, front bool) {
	c, f := j.class, j.flow
	if !front && p.isSmallCustomer(now, c, f) {
		c.smallArrivals.add(now, 1)
	}
	j.estimatedCost = max(1, j.remainingCost()*c.costCorrection(now, f))
	c.queue.push(f, j, front, c.idleCredit(now))
	c.queuedRequests++
	c.queuedBytes += j.request.BodyBytes()
	c.queuedCost += j.estimatedCost
	f.queuedRequests++
	f.queuedBytes += j.request.BodyBytes()
	f.queuedCost += j.estimatedCost
	p.queueLength++
	p.recordUrgent(now, c)
	p.dirty = true
}

// dequeue removes a job that starts, is refused or has ended from its queue.
func (p *pool) dequeue(j *job) {
	c, f := j.class, j.flow
	if j.blocked {
		j.unlink()
		j.blocked = false
	} else {
		c.queue.remove(j)
	}
	if j.deadlineIndex != notInDeadlineHeap {
		heap.Remove(&p.scheduler.deadlines, j.deadlineIndex)
	}
	c.queuedRequests--
	c.queuedBytes -= j.request.BodyBytes()
	c.queuedCost -= j.estimatedCost
	f.queuedRequests--
	f.queuedBytes -= j.request.BodyBytes()
	f.queuedCost -= j.estimatedCost
	p.queueLength--
	if c.queuedRequests == 0 {
		c.queuedCost = 0
	}
	if f.queuedRequests == 0 {
		f.queuedCost = 0
	}
}

// recordUrgent records the time of a request of the most urgent rank. It ignores
// requests of other classes.
func (p *pool) recordUrgent(now time.Duration, c *class) {
	if c.key.rankOrder == p.scheduler.mostUrgentOrder {
		p.lastUrgentAt, p.hasSeenUrgent = now, true
	}
}

// headroom returns the number of slots that lower ranks have to leave free. A
// preemptible stream replaces a free slot, since it can be stopped at once and
// leaves no slot unused.
func (p *pool) headroom(now time.Duration) int {
	if p.scheduler.disabledMechanisms[Headroom] || p.totalSlots < minSlotsForHeadroom {
		return 0
	}
	if !p.hasSeenUrgent || now-p.lastUrgentAt > idleTimeout {
		return 0
	}
	return max(0, max(1, int(headroomFraction*float64(p.totalSlots)))-p.preemptibleRequests)
}

// nonIdempotentSlots returns the number of slots that are reserved for
// non-idempotent calls.
func (p *pool) nonIdempotentSlots() int {
	if !p.isApplication() || p.totalSlots < 2 {
		return 0
	}
	return max(1, int(nonIdempotentFraction*float64(p.totalSlots)))
}

// schedule starts the jobs that can start, then preempts streams for urgent
// requests and small customers that still wait.
func (p *pool) schedule(now time.Duration, plan *Plan) {
	p.adjustLimits(now)
	if !p.dirty {
		return
	}
	p.dirty = false
	p.startBlockedJobs(now, plan)
	for j := p.nextJob(now); j != nil; j = p.nextJob(now) {
		rs := p.selectReplica(j)
		if rs == nil {
			p.blockJob(j)
			continue
		}
		p.startJob(j, rs, plan)
	}
	p.preemptForUrgent(now, plan)
	p.preemptForSmallCustomers(now, plan)
}

// blockJob moves a job from the fair queue to the blocked jobs of its class, so
// that it does not hold up the jobs behind it. It is called when every replica
// that the job may use is full.
func (p *pool) blockJob(j *job) {
	j.class.queue.remove(j)
	j.class.blocked.pushBack(j)
	j.blocked = true
}

// startBlockedJobs starts the blocked jobs for which a replica is free again.
func (p *pool) startBlockedJobs(now time.Duration, plan *Plan) {
	for _, c := range p.classes {
		for j := c.blocked.first; j != nil; {
			next := j.next
			if p.freeSlotsFor(now, c) <= 0 {
				break
			}
			if rs := p.selectReplica(j); rs != nil {
				p.startJob(j, rs, plan)
			}
			j = next
		}
	}
}

// startJob adds the start of a job on a replica to the plan.
func (p *pool) startJob(j *job, rs *replicaState, plan *Plan) {
	c := j.class
	c.queue.chargeJob(j)
	p.dequeue(j)
	c.runningJobs.pushBack(j)
	j.flow.runningRequests++
	j.runningOn = rs
	rs.runningRequests++
	p.runningRequests++
	p.freeSlots--
	if c.key.idempotent {
		p.runningIdempotent++
	}
	p.updatePreemptible(j)
	plan.Starts = append(plan.Starts, Start{Request: j.request.ID(), Replica: rs.replica, Priority: c.key.rankOrder})
}

// updatePreemptible updates preemptibleRequests after a change of a running job.
func (p *pool) updatePreemptible(j *job) {
	preemptible := j.runningOn != nil && j.class.key.rankOrder > p.scheduler.mostUrgentOrder && j.isPreemptible() &&
		!p.scheduler.disabledMechanisms[Preemption]
	p.preemptibleRequests += boolToInt(preemptible) - boolToInt(j.countedPreemptible)
	j.countedPreemptible = preemptible
}

// finishJob frees the slot of a running job and corrects the tokens charged for it. A
// request that is not streaming and reported no tokens counts with its estimated
// cost.
func (p *pool) finishJob(now time.Duration, j *job) {
	c := j.class
	j.unlink()
	j.flow.runningRequests--
	if c.key.idempotent {
		p.runningIdempotent--
	}
	if j.preempting {
		p.preemptingRequests--
		c.preemptingRequests--
	}
	c.recordCost(now, j)
	c.slotReleases.add(now, 1)
	if j.servedTokens == 0 && !j.preempting && !j.request.Streaming() {
		p.recordTokens(now, j, j.chargedTokens)
	}
	if !p.scheduler.disabledMechanisms[FairQueueing] && j.request.Streaming() {
		c.queue.charge(j.flow, j.servedTokens-j.chargedTokens)
	}
	j.runningOn.runningRequests--
	p.preemptibleRequests -= boolToInt(j.countedPreemptible)
	p.recountSlots()
}

// chargeTokens records tokens of a running job. Tokens beyond the estimate are
// charged as they are served, so that a stream longer than its estimate counts
// against the share of its customer before it ends.
func (p *pool) chargeTokens(now time.Duration, j *job, tokens float64) {
	p.recordTokens(now, j, tokens)
	j.servedTokens += tokens
	if excess := j.servedTokens - j.chargedTokens; excess > 0 {
		j.chargedTokens = j.servedTokens
		j.class.queue.charge(j.flow, excess)
	}
}

// recordTokens adds the tokens served for a job to the sums of its class, its flow
// and the pool.
func (p *pool) recordTokens(now time.Duration, j *job, tokens float64) {
	j.class.servedTokens.add(now, tokens)
	j.flow.servedTokens.add(now, tokens)
	p.servedTokens.add(now, tokens)
	p.recentTokens.add(now, tokens)
	p.updateFloorCredits(now, j.class, tokens)
}

// appendQueued appends every queued job, blocked ones included.
func (p *pool) appendQueued(jobs []*job) []*job {
	for _, c := range p.classes {
		for j := c.blocked.first; j != nil; j = j.next {
			jobs = append(jobs, j)
		}
		for _, f := range c.queue.backlogged {
			for j := f.waitingJobs.first; j != nil; j = j.next {
				jobs = append(jobs, j)
			}
		}
	}
	return jobs
}
