package scheduler

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// step is the time between two rounds of the loop.
const step = 10 * time.Millisecond

// served is what one request is at in the loop.
type served struct {
	request     fuchsiapitch.Request
	offered     time.Duration
	started     time.Duration
	last        time.Duration
	replica     fuchsiapitch.ReplicaID
	tokens      int
	want        int
	running     bool
	answered    bool
	preemptions int
}

// loop feeds a scheduler with replicas that serve every stream at a fixed time
// between tokens.
type loop struct {
	scheduler *Scheduler
	now       time.Duration
	gap       func(fuchsiapitch.ReplicaID) time.Duration
	requests  map[fuchsiapitch.RequestID]*served
	running   map[fuchsiapitch.ReplicaID]int
	active    []*served
	held      map[string]int
	random    *rand.Rand
	sources   []func()
	tokens    map[string]int
	waits     map[string][]time.Duration
	refused   map[string]int
	finished  map[string]int
	preempted int
	count     int
}

func newLoop(s *Scheduler) *loop {
	return &loop{
		scheduler: s,
		gap:       func(fuchsiapitch.ReplicaID) time.Duration { return 30 * time.Millisecond },
		requests:  make(map[fuchsiapitch.RequestID]*served),
		running:   make(map[fuchsiapitch.ReplicaID]int),
		held:      make(map[string]int),
		random:    rand.New(rand.NewPCG(1, 2)),
		tokens:    make(map[string]int),
		waits:     make(map[string][]time.Duration),
		refused:   make(map[string]int),
		finished:  make(map[string]int),
	}
}

// offer offers a stream of a number of tokens that was estimated at cost.
func (l *loop) offer(customer fuchsiapitch.CustomerName, rank fuchsiapitch.RankName, tokens int, cost float64) bool {
	l.count++
	r := newStream(l.count, customer, rank, cost)
	if a := l.scheduler.Offer(at(l.now), r); !a.Accepted {
		l.refused[label(r)]++
		return false
	}
	l.held[label(r)]++
	l.requests[r.ID()] = &served{request: r, offered: l.now, want: tokens}
	return true
}

// every offers streams at a fixed rate from a time on.
func (l *loop) every(from, period time.Duration, customer fuchsiapitch.CustomerName, rank fuchsiapitch.RankName, tokens int) {
	next := from
	l.sources = append(l.sources, func() {
		for ; next <= l.now; next += period {
			l.offer(customer, rank, l.vary(tokens), float64(tokens))
		}
	})
}

// vary returns a length between a half and three halves of the mean, so that
// streams which start together do not end together.
func (l *loop) vary(mean int) int { return mean/2 + l.random.IntN(mean+1) }

// keep has a number of requests of a customer wait or run at all times.
func (l *loop) keep(customer fuchsiapitch.CustomerName, rank fuchsiapitch.RankName, backlog, tokens int) {
	name := fmt.Sprintf("%s/%s", customer, rank)
	l.sources = append(l.sources, func() {
		for l.held[name] < backlog && l.offer(customer, rank, l.vary(tokens), float64(tokens)) {
		}
	})
}

func (l *loop) run(until time.Duration) {
	for ; l.now < until; l.now += step {
		for _, s := range l.sources {
			s()
		}
		l.decide()
		for _, v := range slices.Clone(l.active) {
			l.serve(v)
		}
		l.active = slices.DeleteFunc(l.active, func(v *served) bool { return !v.running })
	}
}

func (l *loop) decide() {
	p := l.scheduler.Decide(at(l.now))
	for _, s := range p.Starts {
		v := l.requests[s.Request]
		v.running, v.replica, v.started, v.last, v.answered = true, s.Replica.ID(), l.now, l.now, false
		l.running[v.replica]++
		l.active = append(l.active, v)
		if v.preemptions == 0 {
			l.waits[label(v.request)] = append(l.waits[label(v.request)], l.now-v.offered)
		}
	}
	for _, id := range p.Preempts {
		l.preempt(l.requests[id])
	}
	for _, r := range p.Refusals {
		l.held[label(l.requests[r.Request].request)]--
		delete(l.requests, r.Request)
	}
}

func (l *loop) preempt(v *served) {
	l.preempted++
	v.preemptions = l.scheduler.Preemptions(v.request.ID())
	v.running = false
	l.active = slices.DeleteFunc(l.active, func(a *served) bool { return a == v })
	l.running[v.replica]--
	l.scheduler.Ended(at(l.now), v.request.ID())
	l.scheduler.Resume(at(l.now), v.request, v.tokens, v.preemptions)
}

func (l *loop) serve(v *served) {
	if !v.running {
		return
	}
	gap := l.gap(v.replica)
	for ; v.last+gap <= l.now && v.tokens < v.want; v.last += gap {
		if !v.answered {
			v.answered = true
			l.scheduler.Answered(at(l.now), v.request.ID(), l.now-v.started)
		}
		v.tokens++
		l.tokens[label(v.request)]++
		l.scheduler.Progressed(at(l.now), v.request.ID(), 1, gap)
	}
	if v.tokens < v.want {
		return
	}
	v.running = false
	l.running[v.replica]--
	l.held[label(v.request)]--
	l.finished[label(v.request)]++
	l.scheduler.Ended(at(l.now), v.request.ID())
	delete(l.requests, v.request.ID())
}

// reset forgets what was measured.
func (l *loop) reset() {
	clear(l.tokens)
	clear(l.waits)
	clear(l.refused)
	clear(l.finished)
}

// total returns the tokens served to all.
func (l *loop) total() int {
	sum := 0
	for _, n := range l.tokens {
		sum += n
	}
	return sum
}

// percentile returns the wait that 95 in 100 stay below.
func (l *loop) percentile(label string) time.Duration {
	w := slices.Sorted(slices.Values(l.waits[label]))
	if len(w) == 0 {
		return 0
	}
	return w[len(w)*95/100]
}

func label(r fuchsiapitch.Request) string { return fmt.Sprintf("%s/%s", r.Customer(), r.Rank()) }
