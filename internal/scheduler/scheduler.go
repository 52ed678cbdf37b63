// Package scheduler decides when the requests at one dispatcher run, and on
// which of its replicas. It is pure: it holds no goroutine and reads no clock.
package scheduler

import (
	"slices"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// queueLimit is the largest number of requests that wait for one service.
const queueLimit = 4096

// Admission is the answer to an offered request.
type Admission struct {
	// Accepted states that the request waits or runs.
	Accepted bool
	// Reason states why it was refused.
	Reason fuchsiapitch.RefusalReason
	// RetryAfter is the time after which a retry may succeed, 0 if unknown.
	RetryAfter time.Duration
}

// Start is the decision to run a request on a replica.
type Start struct {
	// Request is the request.
	Request fuchsiapitch.RequestID
	// Replica is the replica.
	Replica fuchsiapitch.Replica
	// Priority is the engine's priority; 0 is the most urgent.
	Priority int
}

// Plan is what the scheduler wants done next.
type Plan struct {
	// Starts are the requests to run.
	Starts []Start
	// Preempts are the running requests to stop so that urgent work can run.
	Preempts []fuchsiapitch.RequestID
	// Refusals are waiting requests that can no longer be served in time.
	Refusals []Refusal
}

// Refusal is the decision to give up a waiting request.
type Refusal struct {
	// Request is the request.
	Request fuchsiapitch.RequestID
	// Reason states why.
	Reason fuchsiapitch.RefusalReason
	// RetryAfter is the time after which a retry may succeed, 0 if unknown.
	RetryAfter time.Duration
}

type job struct {
	request  fuchsiapitch.Request
	order    int
	expires  time.Duration
	replica  fuchsiapitch.ReplicaID
	running  bool
	excluded map[fuchsiapitch.ReplicaID]bool
}

type slotted struct {
	replica  fuchsiapitch.Replica
	inFlight int
}

// Scheduler holds the queue in front of the replicas of one dispatcher.
type Scheduler struct {
	configuration fuchsiapitch.Configuration
	replicas      map[fuchsiapitch.ReplicaID]*slotted
	waiting       []*job
	jobs          map[fuchsiapitch.RequestID]*job
}

// New returns a scheduler without replicas.
func New() *Scheduler {
	return &Scheduler{
		replicas: make(map[fuchsiapitch.ReplicaID]*slotted),
		jobs:     make(map[fuchsiapitch.RequestID]*job),
	}
}

// Configure sets the services, customers and ranks in force.
func (s *Scheduler) Configure(configuration fuchsiapitch.Configuration) {
	s.configuration = configuration
}

// SetReplicas sets the replicas that this host dispatches for. Requests that
// run on other replicas go on.
func (s *Scheduler) SetReplicas(replicas []fuchsiapitch.Replica) {
	next := make(map[fuchsiapitch.ReplicaID]*slotted, len(replicas))
	for _, r := range replicas {
		inFlight := 0
		if old, ok := s.replicas[r.ID()]; ok {
			inFlight = old.inFlight
		}
		next[r.ID()] = &slotted{replica: r, inFlight: inFlight}
	}
	s.replicas = next
}

// Offer asks to queue a request. Excluded replicas are not used for it.
func (s *Scheduler) Offer(now fuchsiapitch.Instant, request fuchsiapitch.Request, excluded ...fuchsiapitch.ReplicaID) Admission {
	if !s.serves(request.Service()) {
		return Admission{Reason: fuchsiapitch.RefusedNoReplica}
	}
	if len(s.waiting) >= queueLimit {
		return Admission{Reason: fuchsiapitch.RefusedOverload, RetryAfter: time.Second}
	}
	rank, _ := s.configuration.Rank(request.Rank())
	j := &job{
		request: request, order: rank.Order(),
		expires:  now.Monotonic() + request.TimeLimit(),
		excluded: make(map[fuchsiapitch.ReplicaID]bool),
	}
	for _, r := range excluded {
		j.excluded[r] = true
	}
	s.jobs[request.ID()] = j
	s.waiting = append(s.waiting, j)
	return Admission{Accepted: true}
}

func (s *Scheduler) serves(service fuchsiapitch.ServiceName) bool {
	for _, r := range s.replicas {
		if r.replica.Service() == service {
			return true
		}
	}
	return false
}

// Decide returns what to do next. The caller carries the plan out whole.
func (s *Scheduler) Decide(_ fuchsiapitch.Instant) Plan {
	var plan Plan
	slices.SortStableFunc(s.waiting, func(a, b *job) int { return a.order - b.order })
	s.waiting = slices.DeleteFunc(s.waiting, func(j *job) bool {
		r := s.freest(j)
		if r == nil {
			return false
		}
		j.replica, j.running = r.replica.ID(), true
		r.inFlight++
		plan.Starts = append(plan.Starts, Start{Request: j.request.ID(), Replica: r.replica, Priority: j.order})
		return true
	})
	return plan
}

func (s *Scheduler) freest(j *job) *slotted {
	var best *slotted
	for _, r := range s.replicas {
		if r.replica.Service() != j.request.Service() || j.excluded[r.replica.ID()] || r.inFlight >= r.replica.Slots() {
			continue
		}
		if best == nil || r.inFlight < best.inFlight || (r.inFlight == best.inFlight && r.replica.ID() < best.replica.ID()) {
			best = r
		}
	}
	return best
}

// Answered reports the first token of a running request.
func (s *Scheduler) Answered(_ fuchsiapitch.Instant, _ fuchsiapitch.RequestID, _ time.Duration) {}

// Progressed reports tokens of a running request and the time they took.
func (s *Scheduler) Progressed(_ fuchsiapitch.Instant, _ fuchsiapitch.RequestID, _ int, _ time.Duration) {
}

// Ended removes a request, waiting or running.
func (s *Scheduler) Ended(_ fuchsiapitch.Instant, id fuchsiapitch.RequestID) {
	j, ok := s.jobs[id]
	if !ok {
		return
	}
	delete(s.jobs, id)
	if !j.running {
		s.waiting = slices.DeleteFunc(s.waiting, func(w *job) bool { return w == j })
		return
	}
	if r, ok := s.replicas[j.replica]; ok {
		r.inFlight--
	}
}

// Load returns the numbers of slots, running and waiting requests of a service.
func (s *Scheduler) Load(service fuchsiapitch.ServiceName) (slots, inFlight, queued int) {
	for _, r := range s.replicas {
		if r.replica.Service() == service {
			slots += r.replica.Slots()
			inFlight += r.inFlight
		}
	}
	for _, j := range s.waiting {
		if j.request.Service() == service {
			queued++
		}
	}
	return slots, inFlight, queued
}
