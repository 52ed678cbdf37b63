// Package scheduler decides when the requests at one dispatcher run, and on which
// of its replicas. It is pure: it starts no goroutine and reads no clock.
//
// The replicas of one service form a pool. Each pool keeps the queued requests in
// classes by rank; each class is shared between the customers by weighted fair
// queueing. A pool starts the requests that can start, enforces floors and
// reserved slots, and preempts streams of lower ranks for urgent requests.
package scheduler

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

const (
	// defaultQueueRequestLimit is the number of requests that can be queued in one
	// class.
	defaultQueueRequestLimit = 8192
	// defaultQueueByteLimit is the size in bytes of the request bodies that can be
	// queued in one class.
	defaultQueueByteLimit = 64 << 20
)

// Scheduler holds the queues for the replicas of one dispatcher.
type Scheduler struct {
	configuration fuchsiapitch.Configuration
	pools         map[fuchsiapitch.ServiceName]*pool
	// sortedPools are the pools by service name, so that equal events give equal
	// plans.
	sortedPools []*pool
	// jobs are the queued and running jobs.
	jobs               map[fuchsiapitch.RequestID]*job
	deadlines          deadlineHeap
	disabledMechanisms map[Mechanism]bool
	queueRequestLimit  int
	queueByteLimit     int64
	// mostUrgentOrder is the order of the most urgent rank.
	mostUrgentOrder int
	leastUrgentRank fuchsiapitch.Rank
	lastSequence    uint64
}

// New returns a scheduler without replicas.
func New(options ...Option) *Scheduler {
	s := &Scheduler{
		pools:              make(map[fuchsiapitch.ServiceName]*pool),
		jobs:               make(map[fuchsiapitch.RequestID]*job),
		disabledMechanisms: make(map[Mechanism]bool),
		queueRequestLimit:  defaultQueueRequestLimit,
		queueByteLimit:     defaultQueueByteLimit,
	}
	for _, o := range options {
		o(s)
	}
	return s
}

// Configure sets the services, customers and ranks. Queued requests stay in the
// class in which they were accepted.
func (s *Scheduler) Configure(configuration fuchsiapitch.Configuration) {
	s.configuration = configuration
	if ranks := configuration.Ranks(); len(ranks) > 0 {
		s.mostUrgentOrder, s.leastUrgentRank = ranks[0].Order(), ranks[len(ranks)-1]
	}
	for _, p := range s.sortedPools {
		p.configure()
	}
}

// rank returns a rank by name, the least urgent rank for an unknown name.
func (s *Scheduler) rank(name fuchsiapitch.RankName) fuchsiapitch.Rank {
	if r, ok := s.configuration.Rank(name); ok {
		return r
	}
	return s.leastUrgentRank
}

// weight returns the weight of a customer, 1 if the customer or its weight is not
// configured.
func (s *Scheduler) weight(name fuchsiapitch.CustomerName) float64 {
	if c, ok := s.configuration.Customer(name); ok && c.Weight() > 0 {
		return c.Weight()
	}
	return 1
}

// SetReplicas sets the replicas for which this host is the dispatcher. Requests
// that run on other replicas continue.
func (s *Scheduler) SetReplicas(replicas []fuchsiapitch.Replica) {
	byService := make(map[fuchsiapitch.ServiceName][]fuchsiapitch.Replica)
	for _, r := range replicas {
		byService[r.Service()] = append(byService[r.Service()], r)
		s.poolFor(r.Service())
	}
	for _, p := range s.sortedPools {
		p.setReplicas(byService[p.service])
	}
}

// poolFor returns the pool of a service and creates it if there is none.
func (s *Scheduler) poolFor(service fuchsiapitch.ServiceName) *pool {
	p, ok := s.pools[service]
	if !ok {
		p = newPool(s, service)
		s.pools[service] = p
		s.sortedPools = append(s.sortedPools, p)
		slices.SortFunc(s.sortedPools, func(a, b *pool) int { return cmp.Compare(a.service, b.service) })
	}
	return p
}

// Offer queues a request unless it has to be refused. The request does not run on
// excluded replicas.
func (s *Scheduler) Offer(now fuchsiapitch.Instant, request fuchsiapitch.Request, excluded ...fuchsiapitch.ReplicaID) Admission {
	p, ok := s.poolWithUsableReplica(request, excluded)
	if !ok {
		return Admission{Reason: fuchsiapitch.RefusedNoReplica}
	}
	p.recordSlotUse(now.Monotonic())
	c := p.classFor(request)
	f := c.queue.flowFor(now.Monotonic(), s.flowCustomer(request), s.weight(request.Customer()))
	p.recordUrgent(now.Monotonic(), c)
	if a := p.admit(now.Monotonic(), request, c, f); !a.Accepted {
		return a
	}
	s.enqueue(now, p, s.newJob(now, request, c, f, excluded), false)
	return Admission{Accepted: true}
}

// Requeue queues a request that was accepted before, ahead of the other requests of
// its customer. It is never refused: without a replica it waits for one, and if
// every replica of the pool is excluded, the exclusions are ignored. The tokens
// that the caller has already received lower its estimated cost. preemptionCount
// is the number of times that it was preempted.
func (s *Scheduler) Requeue(now fuchsiapitch.Instant, request fuchsiapitch.Request, tokensDelivered, preemptionCount int, excluded ...fuchsiapitch.ReplicaID) {
	if _, ok := s.poolWithUsableReplica(request, excluded); !ok {
		excluded = nil
	}
	p := s.poolFor(request.Service())
	p.recordSlotUse(now.Monotonic())
	c := p.classFor(request)
	f := c.queue.flowFor(now.Monotonic(), s.flowCustomer(request), s.weight(request.Customer()))
	j := s.newJob(now, request, c, f, excluded)
	j.tokensDelivered, j.preemptionCount = tokensDelivered, preemptionCount
	s.enqueue(now, p, j, true)
}

// poolWithUsableReplica returns the pool of a request and whether it has a replica
// that is not excluded.
func (s *Scheduler) poolWithUsableReplica(request fuchsiapitch.Request, excluded []fuchsiapitch.ReplicaID) (*pool, bool) {
	p, ok := s.pools[request.Service()]
	if !ok {
		return nil, false
	}
	usable := slices.ContainsFunc(p.replicaStates, func(rs *replicaState) bool {
		return !slices.Contains(excluded, rs.replica.ID())
	})
	return p, usable
}

// flowCustomer returns the customer whose flow a request belongs to. Without fair
// queueing there is one flow for all customers, with an empty name.
func (s *Scheduler) flowCustomer(request fuchsiapitch.Request) fuchsiapitch.CustomerName {
	if s.disabledMechanisms[FairQueueing] {
		return ""
	}
	return request.Customer()
}

func (s *Scheduler) newJob(now fuchsiapitch.Instant, request fuchsiapitch.Request, c *class, f *flow, excluded []fuchsiapitch.ReplicaID) *job {
	s.lastSequence++
	j := &job{request: request, class: c, flow: f, sequence: s.lastSequence, deadlineIndex: notInDeadlineHeap}
	if request.TimeLimit() > 0 {
		j.deadline = now.Monotonic() + request.TimeLimit()
	}
	if len(excluded) > 0 {
		j.excluded = make(map[fuchsiapitch.ReplicaID]bool, len(excluded))
	}
	for _, r := range excluded {
		j.excluded[r] = true
	}
	return j
}

func (s *Scheduler) enqueue(now fuchsiapitch.Instant, p *pool, j *job, front bool) {
	s.jobs[j.request.ID()] = j
	j.pool = p
	if j.deadline > 0 {
		heap.Push(&s.deadlines, j)
	}
	p.enqueue(now.Monotonic(), j, front)
}

// Decide returns the requests to start, to preempt and to refuse now. The caller
// carries out the whole plan.
func (s *Scheduler) Decide(now fuchsiapitch.Instant) Plan {
	var plan Plan
	s.refuseExpired(now.Monotonic(), &plan)
	for _, p := range s.sortedPools {
		p.recordSlotUse(now.Monotonic())
		p.schedule(now.Monotonic(), &plan)
	}
	return plan
}

// refuseExpired refuses the queued requests whose deadline has passed.
func (s *Scheduler) refuseExpired(now time.Duration, plan *Plan) {
	for len(s.deadlines) > 0 && s.deadlines[0].deadline <= now {
		j := s.deadlines[0]
		j.pool.dequeue(j)
		delete(s.jobs, j.request.ID())
		plan.Refusals = append(plan.Refusals, Refusal{Request: j.request.ID(), Reason: fuchsiapitch.RefusedDeadline})
	}
}

// FirstTokenReceived reports that a running request has received its first token,
// and the time that the replica took for it.
func (s *Scheduler) FirstTokenReceived(now fuchsiapitch.Instant, id fuchsiapitch.RequestID, wait time.Duration) {
	if j, ok := s.jobs[id]; ok && j.runningOn != nil {
		j.runningOn.recordFirstToken(now.Monotonic(), j, wait)
	}
}

// TokensReceived reports further tokens of a running request and the time that
// they took.
func (s *Scheduler) TokensReceived(now fuchsiapitch.Instant, id fuchsiapitch.RequestID, tokens int, elapsed time.Duration) {
	j, ok := s.jobs[id]
	if !ok || j.runningOn == nil {
		return
	}
	j.runningOn.recordInterToken(now.Monotonic(), j, tokens, elapsed)
	j.pool.chargeTokens(now.Monotonic(), j, float64(tokens))
}

// TotalTokensReceived reports all tokens of a running request since its start,
// including those reported by TokensReceived.
func (s *Scheduler) TotalTokensReceived(now fuchsiapitch.Instant, id fuchsiapitch.RequestID, tokens int) {
	j, ok := s.jobs[id]
	if !ok || j.runningOn == nil {
		return
	}
	if missing := float64(tokens) - j.servedTokens; missing > 0 {
		j.pool.chargeTokens(now.Monotonic(), j, missing)
	}
}

// RequestEnded removes a queued or running request.
func (s *Scheduler) RequestEnded(now fuchsiapitch.Instant, id fuchsiapitch.RequestID) {
	j, ok := s.jobs[id]
	if !ok {
		return
	}
	delete(s.jobs, id)
	if j.runningOn == nil {
		j.pool.dequeue(j)
		return
	}
	j.pool.recordSlotUse(now.Monotonic())
	j.pool.finishJob(now.Monotonic(), j)
}

// PreemptionCount returns how often a request has been preempted, including a
// preemption in progress.
func (s *Scheduler) PreemptionCount(id fuchsiapitch.RequestID) int {
	j, ok := s.jobs[id]
	if !ok {
		return 0
	}
	return j.preemptionCount + boolToInt(j.preempting)
}

// Load returns the numbers of slots, running requests and queued requests of a
// service.
func (s *Scheduler) Load(service fuchsiapitch.ServiceName) (slots, inFlight, queued int) {
	p, ok := s.pools[service]
	if !ok {
		return 0, 0, 0
	}
	return p.totalSlots, p.runningRequests, p.queueLength
}

// OrphanedRequests returns the queued requests whose service has no replica at
// this dispatcher, in the order in which they were queued.
func (s *Scheduler) OrphanedRequests() []fuchsiapitch.RequestID {
	var jobs []*job
	for _, p := range s.sortedPools {
		if len(p.replicaStates) == 0 && p.queueLength > 0 {
			jobs = p.appendQueued(jobs)
		}
	}
	slices.SortFunc(jobs, func(a, b *job) int { return cmp.Compare(a.sequence, b.sequence) })
	ids := make([]fuchsiapitch.RequestID, 0, len(jobs))
	for _, j := range jobs {
		ids = append(ids, j.request.ID())
	}
	return ids
}
