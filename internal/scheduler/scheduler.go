// Package scheduler decides when the requests at one dispatcher run, and on
// which of its replicas. It is pure: it holds no goroutine and reads no clock.
//
// The replicas of one service form a pool. Each pool keeps the waiting requests
// in classes by rank; each class shares its turns between the customers by
// weight. A pool starts what may start, keeps floors and reserved slots, and
// names the background streams to stop for urgent work.
package scheduler

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

const (
	// queueRequests is the largest number of requests that wait in one class.
	queueRequests = 8192
	// queueBytes is the largest size in bytes of the bodies that wait in one class.
	queueBytes = 64 << 20
)

// Scheduler holds the queues in front of the replicas of one dispatcher.
type Scheduler struct {
	configuration fuchsiapitch.Configuration
	pools         map[fuchsiapitch.ServiceName]*pool
	ordered       []*pool
	jobs          map[fuchsiapitch.RequestID]*job
	expiries      expiryHeap
	off           map[Mechanism]bool
	queueRequests int
	queueBytes    int64
	urgentOrder   int
	leastRank     fuchsiapitch.Rank
	sequence      uint64
}

// New returns a scheduler without replicas.
func New(options ...Option) *Scheduler {
	s := &Scheduler{
		pools:         make(map[fuchsiapitch.ServiceName]*pool),
		jobs:          make(map[fuchsiapitch.RequestID]*job),
		off:           make(map[Mechanism]bool),
		queueRequests: queueRequests,
		queueBytes:    queueBytes,
	}
	for _, o := range options {
		o(s)
	}
	return s
}

// Configure sets the services, customers and ranks in force. Requests that wait
// keep the class that they were accepted in.
func (s *Scheduler) Configure(configuration fuchsiapitch.Configuration) {
	s.configuration = configuration
	if ranks := configuration.Ranks(); len(ranks) > 0 {
		s.urgentOrder, s.leastRank = ranks[0].Order(), ranks[len(ranks)-1]
	}
	for _, p := range s.ordered {
		p.configure()
	}
}

// rank returns a rank by name; an unknown name counts as the least urgent rank.
func (s *Scheduler) rank(name fuchsiapitch.RankName) fuchsiapitch.Rank {
	if r, ok := s.configuration.Rank(name); ok {
		return r
	}
	return s.leastRank
}

// weight returns the weight of a customer, 1 if it is unknown.
func (s *Scheduler) weight(name fuchsiapitch.CustomerName) float64 {
	if c, ok := s.configuration.Customer(name); ok && c.Weight() > 0 {
		return c.Weight()
	}
	return 1
}

// SetReplicas sets the replicas that this host dispatches for. Requests that
// run on other replicas go on.
func (s *Scheduler) SetReplicas(replicas []fuchsiapitch.Replica) {
	byService := make(map[fuchsiapitch.ServiceName][]fuchsiapitch.Replica)
	for _, r := range replicas {
		byService[r.Service()] = append(byService[r.Service()], r)
		s.pool(r.Service())
	}
	for _, p := range s.ordered {
		p.setReplicas(byService[p.service])
	}
}

func (s *Scheduler) pool(service fuchsiapitch.ServiceName) *pool {
	p, ok := s.pools[service]
	if !ok {
		p = newPool(s, service)
		s.pools[service] = p
		s.ordered = append(s.ordered, p)
		slices.SortFunc(s.ordered, func(a, b *pool) int { return cmp.Compare(a.service, b.service) })
	}
	return p
}

// Offer asks to queue a request. Excluded replicas are not used for it.
func (s *Scheduler) Offer(now fuchsiapitch.Instant, request fuchsiapitch.Request, excluded ...fuchsiapitch.ReplicaID) Admission {
	p, ok := s.usable(request, excluded)
	if !ok {
		return Admission{Reason: fuchsiapitch.RefusedNoReplica}
	}
	p.advance(now.Monotonic())
	c := p.class(request)
	f := c.fair.flow(now.Monotonic(), s.flowName(request), s.weight(request.Customer()))
	p.noteUrgent(now.Monotonic(), c)
	if a := p.admit(now.Monotonic(), request, c, f); !a.Accepted {
		return a
	}
	s.enqueue(now, p, s.newJob(now, request, c, f, excluded), false)
	return Admission{Accepted: true}
}

// Resume queues a request again that was accepted before, ahead of the other
// requests of its customer. It is never refused: without a replica it waits for
// one, and when every replica here is excluded, none is. The number of tokens
// that the caller has lowers its estimated cost; preemptions is the number of
// times that it was preempted.
func (s *Scheduler) Resume(now fuchsiapitch.Instant, request fuchsiapitch.Request, tokensDone, preemptions int, excluded ...fuchsiapitch.ReplicaID) {
	if _, ok := s.usable(request, excluded); !ok {
		excluded = nil
	}
	p := s.pool(request.Service())
	p.advance(now.Monotonic())
	c := p.class(request)
	f := c.fair.flow(now.Monotonic(), s.flowName(request), s.weight(request.Customer()))
	j := s.newJob(now, request, c, f, excluded)
	j.tokensDone, j.preemptions = tokensDone, preemptions
	s.enqueue(now, p, j, true)
}

// usable returns the pool of a request if one of its replicas may be used.
func (s *Scheduler) usable(request fuchsiapitch.Request, excluded []fuchsiapitch.ReplicaID) (*pool, bool) {
	p, ok := s.pools[request.Service()]
	if !ok {
		return nil, false
	}
	usable := slices.ContainsFunc(p.stations, func(t *station) bool {
		return !slices.Contains(excluded, t.replica.ID())
	})
	return p, usable
}

// flowName returns the name under which a request is shared out. Without fair
// queueing there is one flow for all customers.
func (s *Scheduler) flowName(request fuchsiapitch.Request) fuchsiapitch.CustomerName {
	if s.off[FairQueueing] {
		return ""
	}
	return request.Customer()
}

func (s *Scheduler) newJob(now fuchsiapitch.Instant, request fuchsiapitch.Request, c *class, f *flow, excluded []fuchsiapitch.ReplicaID) *job {
	s.sequence++
	j := &job{request: request, class: c, flow: f, sequence: s.sequence, expiryIndex: notExpiring}
	if request.TimeLimit() > 0 {
		j.expires = now.Monotonic() + request.TimeLimit()
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
	if j.expires > 0 {
		heap.Push(&s.expiries, j)
	}
	p.enqueue(now.Monotonic(), j, front)
}

// Decide returns what to do next. The caller carries the plan out whole.
func (s *Scheduler) Decide(now fuchsiapitch.Instant) Plan {
	var plan Plan
	s.expire(now.Monotonic(), &plan)
	for _, p := range s.ordered {
		p.advance(now.Monotonic())
		p.decide(now.Monotonic(), &plan)
	}
	return plan
}

// expire gives up the waiting requests whose deadline has passed.
func (s *Scheduler) expire(now time.Duration, plan *Plan) {
	for len(s.expiries) > 0 && s.expiries[0].expires <= now {
		j := s.expiries[0]
		j.pool.dequeue(j)
		delete(s.jobs, j.request.ID())
		plan.Refusals = append(plan.Refusals, Refusal{Request: j.request.ID(), Reason: fuchsiapitch.RefusedDeadline})
	}
}

// Answered reports the first token of a running request.
func (s *Scheduler) Answered(now fuchsiapitch.Instant, id fuchsiapitch.RequestID, wait time.Duration) {
	if j, ok := s.jobs[id]; ok && j.station != nil {
		j.station.answered(now.Monotonic(), j, wait)
	}
}

// Progressed reports tokens of a running request and the time they took.
func (s *Scheduler) Progressed(now fuchsiapitch.Instant, id fuchsiapitch.RequestID, tokens int, elapsed time.Duration) {
	j, ok := s.jobs[id]
	if !ok || j.station == nil {
		return
	}
	j.station.progressed(now.Monotonic(), j, tokens, elapsed)
	j.pool.progress(now.Monotonic(), j, float64(tokens))
}

// Served reports the number of tokens that a running request has been served in
// all, of which Progressed has reported a part.
func (s *Scheduler) Served(now fuchsiapitch.Instant, id fuchsiapitch.RequestID, tokens int) {
	j, ok := s.jobs[id]
	if !ok || j.station == nil {
		return
	}
	if missing := float64(tokens) - j.served; missing > 0 {
		j.pool.progress(now.Monotonic(), j, missing)
	}
}

// Ended removes a request, waiting or running.
func (s *Scheduler) Ended(now fuchsiapitch.Instant, id fuchsiapitch.RequestID) {
	j, ok := s.jobs[id]
	if !ok {
		return
	}
	delete(s.jobs, id)
	if j.station == nil {
		j.pool.dequeue(j)
		return
	}
	j.pool.advance(now.Monotonic())
	j.pool.finish(now.Monotonic(), j)
}

// Preemptions returns how often a running request has been preempted, the
// present time included.
func (s *Scheduler) Preemptions(id fuchsiapitch.RequestID) int {
	j, ok := s.jobs[id]
	if !ok {
		return 0
	}
	return j.preemptions + boolToInt(j.stopping)
}

// Load returns the numbers of slots, running and waiting requests of a service.
func (s *Scheduler) Load(service fuchsiapitch.ServiceName) (slots, inFlight, queued int) {
	p, ok := s.pools[service]
	if !ok {
		return 0, 0, 0
	}
	return p.limit, p.running, p.waiting
}

// Orphans returns the waiting requests whose service has no replica here any
// more, in the order in which they were queued.
func (s *Scheduler) Orphans() []fuchsiapitch.RequestID {
	var jobs []*job
	for _, p := range s.ordered {
		if len(p.stations) == 0 && p.waiting > 0 {
			jobs = p.appendWaiting(jobs)
		}
	}
	slices.SortFunc(jobs, func(a, b *job) int { return cmp.Compare(a.sequence, b.sequence) })
	ids := make([]fuchsiapitch.RequestID, 0, len(jobs))
	for _, j := range jobs {
		ids = append(ids, j.request.ID())
	}
	return ids
}
