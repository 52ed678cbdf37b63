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
	// rateWindow is the time constant over which the speed of a slot is measured.
	rateWindow = 10 * time.Second
	// headroomFraction is the fraction of the slots kept free for the most
	// urgent rank.
	headroomFraction = 1.0 / 16
	// headroomMinimum is the smallest number of slots of which some are kept free.
	headroomMinimum = 4
	// headroomMemory is the time after the last urgent request for which slots
	// are kept free.
	headroomMemory = time.Minute
	// reservedFraction is the fraction of an application service's slots that
	// only calls which may not be repeated can use.
	reservedFraction = 0.25
)

// pool holds the replicas of one service at this dispatcher and the requests
// that wait for them or run on them.
type pool struct {
	scheduler *Scheduler
	service   fuchsiapitch.ServiceName
	kind      fuchsiapitch.ServiceKind
	classes   []*class
	stations  []*station
	limit     int
	free      int
	running   int
	stopping  int
	waiting   int

	repeatableRunning int
	preemptible       int
	urgentSeen        time.Duration
	urgentKnown       bool
	adjustDue         time.Duration
	dirty             bool

	served   meter
	tokens   meter
	busy     meter
	measured time.Duration
	peers    []time.Duration
}

func newPool(s *Scheduler, service fuchsiapitch.ServiceName) *pool {
	p := &pool{
		scheduler: s, service: service,
		served: meter{window: floorWindow},
		tokens: meter{window: rateWindow},
		busy:   meter{window: rateWindow},
	}
	p.configure()
	return p
}

// configure takes over the service and the ranks in force.
func (p *pool) configure() {
	if v, ok := p.scheduler.configuration.Service(p.service); ok {
		p.kind = v.Kind()
	}
	for _, c := range p.classes {
		p.setFloor(c, p.scheduler.rank(c.rank.Name()))
		for _, n := range slices.Sorted(maps.Keys(c.fair.flows)) {
			f := c.fair.flows[n]
			c.fair.flow(f.seen, n, p.scheduler.weight(f.customer))
		}
	}
	p.dirty = true
}

func (p *pool) application() bool { return p.kind == fuchsiapitch.ApplicationService }

// setReplicas replaces the replicas. What runs on a replica that has gone runs
// on and is no longer counted against a slot.
func (p *pool) setReplicas(replicas []fuchsiapitch.Replica) {
	next := make([]*station, 0, len(replicas))
	for _, r := range replicas {
		t := p.station(r.ID())
		if t == nil {
			t = newStation(r)
		}
		t.setReplica(r)
		next = append(next, t)
	}
	slices.SortFunc(next, func(a, b *station) int { return cmp.Compare(a.replica.ID(), b.replica.ID()) })
	for _, t := range p.stations {
		t.gone = !slices.Contains(next, t)
	}
	p.stations = next
	p.recount()
}

func (p *pool) station(id fuchsiapitch.ReplicaID) *station {
	for _, t := range p.stations {
		if t.replica.ID() == id {
			return t
		}
	}
	return nil
}

// recount sums the slots after a change of a replica or of a limit.
func (p *pool) recount() {
	p.limit, p.free, p.running = 0, 0, 0
	for _, t := range p.stations {
		p.limit += t.slots()
		p.free += max(0, t.slots()-t.running)
		p.running += t.running
	}
	p.dirty = true
}

// advance measures the use of the slots up to now.
func (p *pool) advance(now time.Duration) {
	if now <= p.measured {
		return
	}
	p.busy.add(now, float64(p.running)*(now-p.measured).Seconds())
	p.measured = now
}

// enqueue queues a job.
func (p *pool) enqueue(now time.Duration, j *job, front bool) {
	c, f := j.class, j.flow
	if !front && p.isSmall(now, c, f) {
		c.smallArrivals.add(now, 1)
	}
	j.cost = max(1, j.asked()*c.ratio(now, f))
	c.fair.push(f, j, front, c.idleCredit(now))
	c.requests++
	c.bytes += j.request.BodyBytes()
	c.cost += j.cost
	f.requests++
	f.bytes += j.request.BodyBytes()
	f.cost += j.cost
	p.waiting++
	p.noteUrgent(now, c)
	p.dirty = true
}

// dequeue takes a job out of its queue, to start it or to give it up.
func (p *pool) dequeue(j *job) {
	c, f := j.class, j.flow
	if j.parked {
		j.remove()
		j.parked = false
	} else {
		c.fair.remove(j)
	}
	if j.expiryIndex != notExpiring {
		heap.Remove(&p.scheduler.expiries, j.expiryIndex)
	}
	c.requests--
	c.bytes -= j.request.BodyBytes()
	c.cost -= j.cost
	f.requests--
	f.bytes -= j.request.BodyBytes()
	f.cost -= j.cost
	p.waiting--
	if c.requests == 0 {
		c.cost = 0
	}
	if f.requests == 0 {
		f.cost = 0
	}
}

func (p *pool) noteUrgent(now time.Duration, c *class) {
	if c.key.order == p.scheduler.urgentOrder {
		p.urgentSeen, p.urgentKnown = now, true
	}
}

// headroom returns the number of slots that lower ranks leave free. Streams that
// can be preempted make room as well as a free slot does, and cost none.
func (p *pool) headroom(now time.Duration) int {
	if p.scheduler.off[Headroom] || p.limit < headroomMinimum {
		return 0
	}
	if !p.urgentKnown || now-p.urgentSeen > headroomMemory {
		return 0
	}
	return max(0, max(1, int(headroomFraction*float64(p.limit)))-p.preemptible)
}

// reservedCalls returns the number of slots that only calls which may not be
// repeated can use.
func (p *pool) reservedCalls() int {
	if !p.application() || p.limit < 2 {
		return 0
	}
	return max(1, int(reservedFraction*float64(p.limit)))
}

// decide starts what can start and preempts where urgent work still waits.
func (p *pool) decide(now time.Duration, plan *Plan) {
	p.adjust(now)
	if !p.dirty {
		return
	}
	p.dirty = false
	p.startParked(now, plan)
	for j := p.next(now); j != nil; j = p.next(now) {
		t := p.place(j)
		if t == nil {
			p.park(j)
			continue
		}
		p.start(j, t, plan)
	}
	p.preempt(now, plan)
	p.preemptShares(now, plan)
}

// park sets aside a job whose remaining replicas are full, so that it does not
// hold up the jobs behind it.
func (p *pool) park(j *job) {
	j.class.fair.remove(j)
	j.class.parked.pushBack(j)
	j.parked = true
}

// startParked starts the jobs set aside that now find a slot.
func (p *pool) startParked(now time.Duration, plan *Plan) {
	for _, c := range p.classes {
		for j := c.parked.first; j != nil; {
			next := j.next
			if p.freeFor(now, c) <= 0 {
				break
			}
			if t := p.place(j); t != nil {
				p.start(j, t, plan)
			}
			j = next
		}
	}
}

// start runs a job on a replica.
func (p *pool) start(j *job, t *station, plan *Plan) {
	c := j.class
	c.fair.serve(j)
	p.dequeue(j)
	c.running.pushBack(j)
	j.flow.running++
	j.station = t
	t.running++
	p.running++
	p.free--
	if c.key.repeatable {
		p.repeatableRunning++
	}
	p.follow(j)
	plan.Starts = append(plan.Starts, Start{Request: j.request.ID(), Replica: t.replica, Priority: c.key.order})
}

// follow counts a running job that can be preempted for urgent work.
func (p *pool) follow(j *job) {
	yields := j.station != nil && j.class.key.order > p.scheduler.urgentOrder && j.preemptible() &&
		!p.scheduler.off[Preemption]
	p.preemptible += boolToInt(yields) - boolToInt(j.yields)
	j.yields = yields
}

// finish frees the slot of a running job and corrects what it was charged.
func (p *pool) finish(now time.Duration, j *job) {
	c := j.class
	j.remove()
	j.flow.running--
	if c.key.repeatable {
		p.repeatableRunning--
	}
	if j.stopping {
		p.stopping--
		c.stopping--
	}
	c.learn(now, j)
	c.ends.add(now, 1)
	if j.served == 0 && !j.stopping && !j.request.Streaming() {
		p.count(now, j, j.charged)
	}
	if !p.scheduler.off[FairQueueing] && j.request.Streaming() {
		c.fair.charge(j.flow, j.served-j.charged)
	}
	j.station.running--
	p.preemptible -= boolToInt(j.yields)
	p.recount()
}

// progress counts tokens of a running job. Tokens beyond the estimate are
// charged as they come, so that a long stream is not free until its end.
func (p *pool) progress(now time.Duration, j *job, tokens float64) {
	p.count(now, j, tokens)
	j.served += tokens
	if excess := j.served - j.charged; excess > 0 {
		j.charged = j.served
		j.class.fair.charge(j.flow, excess)
	}
}

func (p *pool) count(now time.Duration, j *job, tokens float64) {
	j.class.served.add(now, tokens)
	j.flow.served.add(now, tokens)
	p.served.add(now, tokens)
	p.tokens.add(now, tokens)
	p.settleFloors(now, j.class, tokens)
}

// appendWaiting appends every waiting job.
func (p *pool) appendWaiting(jobs []*job) []*job {
	for _, c := range p.classes {
		for j := c.parked.first; j != nil; j = j.next {
			jobs = append(jobs, j)
		}
		for _, f := range c.fair.ready {
			for j := f.queue.first; j != nil; j = j.next {
				jobs = append(jobs, j)
			}
		}
	}
	return jobs
}
