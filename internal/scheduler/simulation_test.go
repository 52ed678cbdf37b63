package scheduler

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// simulationStep is the simulated time between two calls of Decide.
const simulationStep = 10 * time.Millisecond

// simulatedRequest is the state of one accepted request in a simulation.
type simulatedRequest struct {
	request     fuchsiapitch.Request
	offeredAt   time.Duration
	startedAt   time.Duration
	lastTokenAt time.Duration
	replica     fuchsiapitch.ReplicaID
	tokens      int
	// length is the number of tokens in the whole answer.
	length             int
	running            bool
	firstTokenReported bool
	preemptionCount    int
}

// simulation runs a scheduler with simulated requests and replicas. A replica
// serves every stream at a fixed time between tokens. Maps with string keys are by
// sourceLabel.
type simulation struct {
	scheduler      *Scheduler
	now            time.Duration
	interTokenTime func(fuchsiapitch.ReplicaID) time.Duration
	requests       map[fuchsiapitch.RequestID]*simulatedRequest
	running        map[fuchsiapitch.ReplicaID]int
	// activeRequests are the running requests in the order in which they started.
	activeRequests []*simulatedRequest
	// unfinished holds the numbers of queued and running requests.
	unfinished  map[string]int
	random      *rand.Rand
	loadSources []func()
	tokens      map[string]int
	// waits are the times from offer to first start.
	waits            map[string][]time.Duration
	refused          map[string]int
	finished         map[string]int
	totalPreemptions int
	requestCount     int
}

func newSimulation(s *Scheduler) *simulation {
	return &simulation{
		scheduler:      s,
		interTokenTime: func(fuchsiapitch.ReplicaID) time.Duration { return 30 * time.Millisecond },
		requests:       make(map[fuchsiapitch.RequestID]*simulatedRequest),
		running:        make(map[fuchsiapitch.ReplicaID]int),
		unfinished:     make(map[string]int),
		random:         rand.New(rand.NewPCG(1, 2)),
		tokens:         make(map[string]int),
		waits:          make(map[string][]time.Duration),
		refused:        make(map[string]int),
		finished:       make(map[string]int),
	}
}

// offer offers a stream with the given number of tokens and estimated cost. It
// reports whether the stream was accepted.
func (sm *simulation) offer(customer fuchsiapitch.CustomerName, rank fuchsiapitch.RankName, tokens int, cost float64) bool {
	sm.requestCount++
	r := newStream(sm.requestCount, customer, rank, cost)
	if a := sm.scheduler.Offer(instantAt(sm.now), r); !a.Accepted {
		sm.refused[sourceLabel(r)]++
		return false
	}
	sm.unfinished[sourceLabel(r)]++
	sm.requests[r.ID()] = &simulatedRequest{request: r, offeredAt: sm.now, length: tokens}
	return true
}

// offerEvery offers streams at a fixed period from a time on.
func (sm *simulation) offerEvery(from, period time.Duration, customer fuchsiapitch.CustomerName, rank fuchsiapitch.RankName, tokens int) {
	next := from
	sm.loadSources = append(sm.loadSources, func() {
		for ; next <= sm.now; next += period {
			sm.offer(customer, rank, sm.randomLength(tokens), float64(tokens))
		}
	})
}

// randomLength returns a length between 0.5 and 1.5 times the mean, so that streams
// that start together do not end together.
func (sm *simulation) randomLength(mean int) int { return mean/2 + sm.random.IntN(mean+1) }

// keepUnfinished keeps a number of requests of a customer queued or running at all
// times, except where they are refused.
func (sm *simulation) keepUnfinished(customer fuchsiapitch.CustomerName, rank fuchsiapitch.RankName, backlog, tokens int) {
	name := fmt.Sprintf("%s/%s", customer, rank)
	sm.loadSources = append(sm.loadSources, func() {
		for sm.unfinished[name] < backlog && sm.offer(customer, rank, sm.randomLength(tokens), float64(tokens)) {
		}
	})
}

func (sm *simulation) run(until time.Duration) {
	for ; sm.now < until; sm.now += simulationStep {
		for _, s := range sm.loadSources {
			s()
		}
		sm.decide()
		for _, sr := range slices.Clone(sm.activeRequests) {
			sm.deliverTokens(sr)
		}
		sm.activeRequests = slices.DeleteFunc(sm.activeRequests, func(sr *simulatedRequest) bool { return !sr.running })
	}
}

func (sm *simulation) decide() {
	p := sm.scheduler.Decide(instantAt(sm.now))
	for _, s := range p.Starts {
		sr := sm.requests[s.Request]
		sr.running, sr.replica, sr.startedAt, sr.lastTokenAt, sr.firstTokenReported = true, s.Replica.ID(), sm.now, sm.now, false
		sm.running[sr.replica]++
		sm.activeRequests = append(sm.activeRequests, sr)
		if sr.preemptionCount == 0 {
			sm.waits[sourceLabel(sr.request)] = append(sm.waits[sourceLabel(sr.request)], sm.now-sr.offeredAt)
		}
	}
	for _, id := range p.Preemptions {
		sm.preempt(sm.requests[id])
	}
	for _, r := range p.Refusals {
		sm.unfinished[sourceLabel(sm.requests[r.Request].request)]--
		delete(sm.requests, r.Request)
	}
}

func (sm *simulation) preempt(sr *simulatedRequest) {
	sm.totalPreemptions++
	sr.preemptionCount = sm.scheduler.PreemptionCount(sr.request.ID())
	sr.running = false
	sm.activeRequests = slices.DeleteFunc(sm.activeRequests, func(a *simulatedRequest) bool { return a == sr })
	sm.running[sr.replica]--
	sm.scheduler.RequestEnded(instantAt(sm.now), sr.request.ID())
	sm.scheduler.Requeue(instantAt(sm.now), sr.request, sr.tokens, sr.preemptionCount)
}

func (sm *simulation) deliverTokens(sr *simulatedRequest) {
	if !sr.running {
		return
	}
	interTokenTime := sm.interTokenTime(sr.replica)
	for ; sr.lastTokenAt+interTokenTime <= sm.now && sr.tokens < sr.length; sr.lastTokenAt += interTokenTime {
		if !sr.firstTokenReported {
			sr.firstTokenReported = true
			sm.scheduler.FirstTokenReceived(instantAt(sm.now), sr.request.ID(), sm.now-sr.startedAt)
		}
		sr.tokens++
		sm.tokens[sourceLabel(sr.request)]++
		sm.scheduler.TokensReceived(instantAt(sm.now), sr.request.ID(), 1, interTokenTime)
	}
	if sr.tokens < sr.length {
		return
	}
	sr.running = false
	sm.running[sr.replica]--
	sm.unfinished[sourceLabel(sr.request)]--
	sm.finished[sourceLabel(sr.request)]++
	sm.scheduler.RequestEnded(instantAt(sm.now), sr.request.ID())
	delete(sm.requests, sr.request.ID())
}

// resetCounts clears the tokens, waits, refusals and finished requests counted so
// far.
func (sm *simulation) resetCounts() {
	clear(sm.tokens)
	clear(sm.waits)
	clear(sm.refused)
	clear(sm.finished)
}

// totalTokens returns the tokens served to all customers.
func (sm *simulation) totalTokens() int {
	sum := 0
	for _, n := range sm.tokens {
		sum += n
	}
	return sum
}

// waitP95 returns the 95th percentile of the waits.
func (sm *simulation) waitP95(label string) time.Duration {
	w := slices.Sorted(slices.Values(sm.waits[label]))
	if len(w) == 0 {
		return 0
	}
	return w[len(w)*95/100]
}

// sourceLabel returns the customer and the rank of a request.
func sourceLabel(r fuchsiapitch.Request) string { return fmt.Sprintf("%s/%s", r.Customer(), r.Rank()) }
