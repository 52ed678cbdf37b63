package reducer

import (
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/router"
)

// phase is the place of a request in its life.
type phase int

const (
	// queued means that the request waits in the scheduler of this host.
	queued phase = iota + 1
	// attempting means that the request runs on a replica of this host.
	attempting
	// forwarded means that a dispatcher on another host holds the request.
	forwarded
	// resting means that the request waits before every replica is tried again.
	resting
	// reserving means that the request waits for its idempotency key.
	reserving
)

// flight is the state of one request at this host. An offered request comes
// from a host of the same data centre and is not forwarded again. A bridged one
// comes from another data centre and is placed within this one.
type flight struct {
	request  fuchsiapitch.Request
	offered  bool
	bridged  bool
	phase    phase
	deadline fuchsiapitch.Instant
	// attempt is the number of the attempt under way, 0 for none.
	attempt uint64
	// attempts counts the attempts and forwards.
	attempts int
	// fruitless counts the attempts since the last progress that may have run.
	fruitless int
	offset    int
	replica   fuchsiapitch.ReplicaID
	host      fuchsiapitch.HostID
	answered  bool
	// ran states that an ended attempt may have run.
	ran bool
	// wait is the last rest, and wake the end of the current one.
	wait, wake time.Duration
	lost       map[fuchsiapitch.ReplicaID]bool
	excluded   map[fuchsiapitch.HostID]bool
	// reservation is the state of the idempotency key, nil without one.
	reservation *reservation
	// accepted states that the scheduler of this host has once accepted the
	// request, so that it is queued again whatever the load.
	accepted    bool
	preemptions int
	// refuged states that another data centre was tried after a refusal here.
	refuged bool
}

func (s *State) applyRequest(event Event) {
	switch e := event.(type) {
	case RequestReceived:
		s.receive(e)
	case RequestOffered:
		s.offer(e)
	case RequestAbandoned:
		s.forget(e.Request)
	case AttemptAnswered:
		if _, ok := s.current(e.Request, e.Attempt); ok {
			s.scheduler.Answered(s.now, e.Request, e.Wait)
		}
	case AttemptProgressed:
		if _, ok := s.current(e.Request, e.Attempt); ok {
			s.scheduler.Progressed(s.now, e.Request, e.Tokens, e.Elapsed)
		}
	case AttemptEnded:
		s.endAttempt(e)
	case ForwardEnded:
		s.endForward(e)
	case AnswerStored:
		s.storeAnswer(e)
	}
}

func (s *State) receive(e RequestReceived) {
	if s.configuration.Offset() == 0 {
		s.emit(RefuseRequest{Request: e.Request.ID(), Reason: fuchsiapitch.RefusedNotReady})
		return
	}
	f := s.newFlight(e.Request)
	if !s.admit(f) {
		return
	}
	if needsReservation(e.Request) {
		s.reserve(f)
		return
	}
	s.place(f)
}

func (s *State) offer(e RequestOffered) {
	f := s.newFlight(e.Request)
	f.offset = e.Offset
	f.bridged = e.From.DataCentre() != s.dataCentre
	if f.bridged {
		s.place(f)
		return
	}
	f.offered = true
	s.enqueue(f)
}

func (s *State) newFlight(request fuchsiapitch.Request) *flight {
	f := &flight{
		request:  request,
		deadline: s.now.Add(request.TimeLimit()),
		lost:     make(map[fuchsiapitch.ReplicaID]bool),
		excluded: make(map[fuchsiapitch.HostID]bool),
	}
	s.requests[request.ID()] = f
	s.retries.First(request.Service())
	return f
}

// place chooses a dispatcher for a request that a caller sent to this host.
func (s *State) place(f *flight) {
	if _, ok := s.configuration.Service(f.request.Service()); !ok {
		s.refuse(f, fuchsiapitch.RefusedUnknownService, 0)
		return
	}
	if h, ok := s.leave(f); ok {
		s.forward(f, h)
		return
	}
	h, ok := s.choose(f)
	if !ok && f.attempts > 0 && !f.bridged {
		s.rest(f)
		return
	}
	if !ok {
		s.refuse(f, fuchsiapitch.RefusedNoReplica, time.Second)
		return
	}
	if h.ID() == s.self {
		s.enqueue(f)
		return
	}
	s.forward(f, h)
}

// choose returns the dispatcher for a request.
func (s *State) choose(f *flight) (fuchsiapitch.Host, bool) {
	load := func(h fuchsiapitch.HostID) router.Load { return s.loadOf(h, f.request.Service()) }
	return s.table.Choose(f.request, f.excluded, load)
}

// enqueue offers a request to the scheduler of this host.
func (s *State) enqueue(f *flight) {
	f.phase = queued
	remaining := f.deadline.Sub(s.now)
	if remaining <= 0 {
		s.refuse(f, fuchsiapitch.RefusedDeadline, 0)
		return
	}
	request := f.request
	fuchsiapitch.WithTimeLimit(remaining)(&request)
	if f.accepted || f.offset > 0 {
		f.accepted = true
		s.scheduler.Resume(s.now, request, f.offset, f.preemptions, sortedKeys(f.lost)...)
		return
	}
	a := s.scheduler.Offer(s.now, request, sortedKeys(f.lost)...)
	f.accepted = a.Accepted
	if a.Accepted || (a.Reason == fuchsiapitch.RefusedOverload && s.refuge(f)) {
		return
	}
	s.refuse(f, a.Reason, a.RetryAfter)
}

// schedule carries out what the scheduler decides after each event.
func (s *State) schedule() {
	plan := s.scheduler.Decide(s.now)
	for _, p := range plan.Starts {
		f, ok := s.requests[p.Request]
		if !ok {
			s.scheduler.Ended(s.now, p.Request)
			continue
		}
		s.startAttempt(f, p.Replica, p.Priority)
	}
	for _, id := range plan.Preempts {
		s.preempt(id)
	}
	for _, r := range plan.Refusals {
		if f, ok := s.requests[r.Request]; ok {
			s.refuse(f, r.Reason, r.RetryAfter)
		}
	}
}

// adoptOrphans finds another dispatcher for waiting requests whose service has
// lost its last replica at this host. A request that came from another host is
// given back to it; one that no dispatcher can take waits on.
func (s *State) adoptOrphans() {
	for _, id := range s.scheduler.Orphans() {
		f, ok := s.requests[id]
		if !ok {
			continue
		}
		if f.offered {
			s.refuse(f, fuchsiapitch.RefusedNoReplica, 0)
			continue
		}
		// A dispatcher that failed this request before may have recovered.
		clear(f.excluded)
		h, ok := s.leave(f)
		if !ok {
			h, ok = s.choose(f)
		}
		if ok && h.ID() != s.self {
			s.scheduler.Ended(s.now, id)
			s.forward(f, h)
		}
	}
}
