package admitter

import (
	"cmp"
	"slices"
	"time"
)

const (
	// ArrivalBucket is the length of a bucket in which arrivals are counted. The current and
	// the previous bucket count.
	ArrivalBucket = 200 * time.Millisecond
	// arrivalWindow is the mean time for which the counts stand.
	arrivalWindow = ArrivalBucket + ArrivalBucket/2
	// correctionTime is the time within which the requests in flight are brought to the
	// planned number. Shorter than the age of the news it would overshoot.
	correctionTime = 600 * time.Millisecond
	// minRate is the part of the possible completions that is admitted however full the replicas are,
	// so that the counts stay fresh.
	minRate = 0.1
	// serviceTimeWeight is the weight of a new sample in the moving averages of the service
	// time and the first event delay, objectiveWeight that in those of objectives and prompts.
	serviceTimeWeight, objectiveWeight = 0.05, 0.02
	// maxOverhead bounds a sample of the overhead, so that one silent replica does not count
	// for more than the queue of a busy one.
	maxOverhead = 150 * time.Millisecond
	// initialEngineServiceTime is the service time assumed before the first sample. A stream
	// of 30 events takes between one and two seconds.
	initialEngineServiceTime = 1500 * time.Millisecond
	// initialPlainServiceTime is the service time assumed for a plain service.
	initialPlainServiceTime = 40 * time.Millisecond
	// initialFirstEventDelay is the delay assumed before the first sample: one pass of six
	// steps with a full batch. It excludes the time to read the prompt.
	initialFirstEventDelay = 60 * time.Millisecond
)

// Load is what all hosts together have at the replicas of a pool that may get requests.
type Load struct {
	// Replicas is the number of replicas, Slots the sum of their slots and InFlight the
	// number of requests at them. One that is silent or pauses does not count.
	Replicas, Slots, InFlight int
}

// Arrivals counts the recent requests of one rank. It is a plain record.
type Arrivals struct {
	Rank int
	// All counts all requests, Returned those of them that came back after a refusal.
	// Completed counts those that have ended at a replica.
	All, Returned, Completed int
}

// Arrival is one request that reaches the host.
type Arrival struct {
	Rank int
	// Returned is true if the request comes back after a refusal, or has been sent before.
	Returned bool
	// Objective is the time until the first event is due, PromptTokens the length of the
	// prompt.
	Objective    time.Duration
	PromptTokens int
}

// Pool is what one host knows of the replicas that serve the same requests, and the shares
// that follow from it. The zero value is not usable; use NewPool.
type Pool struct {
	engine          Engine
	serviceTime     time.Duration
	firstEventDelay time.Duration
	// overhead is the mean time by which first events come later than the engine's speed
	// and the known counts let expect.
	overhead     time.Duration
	objective    time.Duration
	promptTokens float64
	// readShare is the part of their time for which the replicas read prompts.
	readShare float64
	arrivals  map[int]*recentArrivals
	// shares are the admitted parts by rank, nil if the pool is not overloaded.
	shares map[int]Share
	load   Load
	rate   float64
	demand float64
	// completions is the rate at which requests have lately ended at the replicas.
	completions float64
	returns     returnSchedule
}

// recentArrivals counts requests in two adjacent buckets of time.
type recentArrivals struct {
	bucket            int64
	current, previous Arrivals
}

// advance moves to the bucket of a time.
func (a *recentArrivals) advance(now time.Duration) {
	bucket := int64(now / ArrivalBucket)
	switch bucket {
	case a.bucket:
		return
	case a.bucket + 1:
		a.previous = a.current
	default:
		a.previous = Arrivals{}
	}
	a.bucket, a.current = bucket, Arrivals{}
}

// NewPool returns a pool of model engines, or of replicas of a plain service.
func NewPool(isEngine bool) *Pool {
	p := &Pool{serviceTime: initialPlainServiceTime, firstEventDelay: initialFirstEventDelay, arrivals: make(map[int]*recentArrivals)}
	if isEngine {
		p.serviceTime = initialEngineServiceTime
	}
	return p
}

// SetEngine sets the speed of the replicas.
func (p *Pool) SetEngine(e Engine) { p.engine = e }

// ServiceTime returns the mean time for which a request occupies a slot.
func (p *Pool) ServiceTime() time.Duration { return p.serviceTime }

// FirstEventDelay returns the mean time from a grant to the first event, without the time to
// read the prompt.
func (p *Pool) FirstEventDelay() time.Duration { return p.firstEventDelay }

// ObserveService records for how long a request has occupied a slot.
func (p *Pool) ObserveService(d time.Duration) {
	p.serviceTime = average(p.serviceTime, d, serviceTimeWeight)
}

// ObserveFirstEvent records the time from a grant to the first event, of which reading the
// prompt took the given part, and what was expected at the grant, 0 for nothing.
func (p *Pool) ObserveFirstEvent(taken, reading, expected time.Duration) {
	p.firstEventDelay = average(p.firstEventDelay, taken-reading, serviceTimeWeight)
	if expected > 0 {
		excess := min(max(taken-expected, -maxOverhead), maxOverhead)
		p.overhead += time.Duration(serviceTimeWeight * float64(excess-p.overhead))
	}
}

// Expect returns the expected time to the first event of a request at a replica with the
// given number of requests in flight and of unread prompt tokens, its own included, apart
// from the overhead.
func (p *Pool) Expect(e Engine, inFlight, unreadTokens int) time.Duration {
	return e.TimeToFirstEvent(inFlight, unreadTokens, p.serviceTime, p.readShare)
}

// ExpectFor does the same for a prompt whose predecessors are unknown.
func (p *Pool) ExpectFor(e Engine, inFlight, promptTokens int) time.Duration {
	return p.Expect(e, inFlight, promptTokens) + e.WaitToRead(p.promptTokens, p.readShare)
}

// plannedObjective returns the part of the objective that the speed of the engine may take.
func (p *Pool) plannedObjective() time.Duration {
	return time.Duration(objectiveMargin*float64(p.objective)) - max(0, p.overhead)
}

func average(mean, sample time.Duration, weight float64) time.Duration {
	return time.Duration((1-weight)*float64(mean) + weight*float64(max(0, sample)))
}

// Count counts a request of a client.
func (p *Pool) Count(now time.Duration, a Arrival) {
	r := p.recent(now, a.Rank)
	r.current.All++
	if a.Returned {
		r.current.Returned++
	}
	if a.Returned || a.Objective <= 0 {
		return
	}
	if p.objective == 0 {
		p.objective, p.promptTokens = a.Objective, float64(a.PromptTokens)
	}
	p.objective = average(p.objective, a.Objective, objectiveWeight)
	p.promptTokens += objectiveWeight * (float64(a.PromptTokens) - p.promptTokens)
}

// CountCompletion counts a request that has ended at a replica.
func (p *Pool) CountCompletion(now time.Duration, rank int) { p.recent(now, rank).current.Completed++ }

func (p *Pool) recent(now time.Duration, rank int) *recentArrivals {
	r, ok := p.arrivals[rank]
	if !ok {
		r = &recentArrivals{}
		p.arrivals[rank] = r
	}
	r.advance(now)
	return r
}

// Arrivals returns the recent requests of this host by rank.
func (p *Pool) Arrivals(now time.Duration) []Arrivals {
	var counts []Arrivals
	for rank, r := range p.arrivals {
		r.advance(now)
		a := Arrivals{
			Rank: rank, All: r.current.All + r.previous.All, Returned: r.current.Returned + r.previous.Returned, Completed: r.current.Completed + r.previous.Completed,
		}
		if a.All+a.Completed > 0 {
			counts = append(counts, a)
		}
	}
	slices.SortFunc(counts, func(a, b Arrivals) int { return cmp.Compare(a.Rank, b.Rank) })
	return counts
}

// Update works out the shares after news of the loads and of the arrivals at all hosts,
// those of this host included.
func (p *Pool) Update(load Load, arrivals []Arrivals) {
	p.load = load
	completed := 0
	for _, a := range arrivals {
		completed += a.Completed
	}
	p.completions = float64(completed) / arrivalWindow.Seconds()
	p.rate = p.acceptableRate()
	demands := make([]Demand, 0, len(arrivals))
	p.demand = 0
	for _, a := range arrivals {
		d := Demand{Rank: a.Rank, New: float64(a.All-a.Returned) / arrivalWindow.Seconds(), Returned: float64(a.Returned) / arrivalWindow.Seconds()}
		demands = append(demands, d)
		p.demand += d.New + d.Returned
	}
	if load.Replicas > 0 {
		p.readShare = p.engine.ReadShare(min(p.demand, p.rate)/float64(load.Replicas), p.promptTokens)
	}
	p.shares = nil
	if load.Slots > 0 {
		p.shares = Divide(p.rate, demands)
	}
}

// acceptableRate returns the requests per second that the replicas can begin in time: those
// for which there are slots and whose prompts can be read.
func (p *Pool) acceptableRate() float64 {
	slots := p.rateBySlots()
	if p.engine.StepsPerEvent <= 0 || p.load.Replicas == 0 || p.promptTokens < 1 {
		return slots
	}
	running := min(p.load.InFlight/p.load.Replicas, p.engine.Slots)
	limit := p.engine.ReadShareLimit(p.plannedObjective(), running, p.promptTokens)
	reading := limit * float64(p.load.Replicas) / max(p.engine.TimeToRead(int(p.promptTokens)), time.Microsecond).Seconds()
	return min(slots, reading)
}

// rateBySlots returns the requests per second for which there are slots: as many as are
// completed, and what brings the requests in flight to the planned number. With more than that
// in flight the completions are those that were counted, since while a pool fills up short
// requests end first and the service time seems shorter than it is.
func (p *Pool) rateBySlots() float64 {
	possible := float64(p.load.Slots) / max(p.serviceTime, time.Millisecond).Seconds()
	room := p.plannedOccupancy()*float64(p.load.Slots) - float64(p.load.InFlight)
	completions := min(p.completions, possible)
	if room > 0 {
		completions = max(completions, min(1, float64(p.load.InFlight)/float64(max(p.load.Slots, 1)))*possible)
	}
	return max(minRate*possible, completions+room/min(correctionTime, max(p.serviceTime, time.Millisecond)).Seconds())
}

// plannedOccupancy returns the ratio of requests in flight to slots at which an overload is
// held.
func (p *Pool) plannedOccupancy() float64 {
	if p.engine.Slots == 0 {
		return maxOccupancy
	}
	return p.engine.PlannedInFlight(p.plannedObjective(), int(p.promptTokens), p.serviceTime, p.readShare) / float64(p.engine.Slots)
}

// IsOverloaded reports whether more requests arrive than the replicas can begin in time.
func (p *Pool) IsOverloaded() bool { return p.shares != nil }

// Admits reports whether a request is admitted. customerShare is the part that its customer
// gets of what its rank gets, 1 for an equal part; draw is a random number from 0 up to 1.
func (p *Pool) Admits(a Arrival, customerShare, draw float64) bool {
	s, ok := p.shares[a.Rank]
	switch {
	case !ok:
		return true
	case a.Returned:
		return draw < s.Returned
	}
	return draw < s.New*customerShare
}

// NewShare returns the part of the new requests of a rank that is admitted.
func (p *Pool) NewShare(rank int) float64 {
	if s, ok := p.shares[rank]; ok {
		return s.New
	}
	return 1
}

// InFlightLimit returns the number of requests in flight up to which a replica with the
// given slots may get one more while the pool is overloaded. Few replicas then seem to have
// a free slot, and would get the requests of all hosts; as the hosts admit no more than the
// replicas can begin, they choose among all that can begin a request in time.
func (p *Pool) InFlightLimit(slots int) int {
	if p.engine.StepsPerEvent <= 0 || p.objective <= 0 {
		return slots + slots/2
	}
	return p.engine.InFlightLimit(p.plannedObjective(), int(p.promptTokens), p.serviceTime, p.readShare)
}

// State is the state of a pool for operators. It is a plain record.
type State struct {
	// Rate is how many requests per second the replicas can begin in time, Demand how many
	// arrive at all hosts. Planned is the number of requests in flight that is aimed at.
	Rate, Demand, Planned float64
	Load                  Load
	// Shares are the admitted parts by rank, nil if all requests are admitted.
	Shares map[int]Share
	// ReadShare is the part of their time for which the replicas read prompts.
	ReadShare float64
	// FirstEvent is the expected time to the first event at a replica with the mean load.
	FirstEvent time.Duration
	Objective  time.Duration
}

// State returns the state for operators.
func (p *Pool) State() State {
	s := State{Rate: p.rate, Demand: p.demand, Planned: p.plannedOccupancy() * float64(p.load.Slots), Load: p.load, Shares: p.shares, ReadShare: p.readShare, Objective: p.objective, FirstEvent: p.firstEventDelay}
	if p.engine.StepsPerEvent > 0 && p.load.Replicas > 0 {
		s.FirstEvent = p.ExpectFor(p.engine, p.load.InFlight/p.load.Replicas, int(p.promptTokens)) + p.overhead
	}
	return s
}
