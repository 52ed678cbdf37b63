package reducer

import (
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/router"
)

// phase is the phase of a request's life cycle at this host.
type phase int

const (
	// queued means that the request waits in the queue of the scheduler.
	queued phase = iota + 1
	// attempting means that an attempt runs on a replica that this host dispatches
	// for.
	attempting
	// forwarded means that a dispatcher on another host handles the request.
	forwarded
	// backingOff means that the request waits out a back-off, after which every
	// replica is tried again, or waits for a retry.
	backingOff
	// reservingKey means that the claim of the request's idempotency key has not
	// been read back yet.
	reservingKey
)

// inFlightRequest is the state of one request at this host.
type inFlightRequest struct {
	request fuchsiapitch.Request
	// fromPeer is true if a host of the same data centre forwarded the request.
	// The request is then not forwarded again.
	fromPeer bool
	// fromRemoteDataCentre is true if a host of another data centre forwarded the
	// request. The request is then placed within this data centre.
	fromRemoteDataCentre bool
	phase                phase
	deadline             fuchsiapitch.Instant
	// attemptNumber is the number of the current attempt, 0 for none.
	attemptNumber uint64
	// attemptCount is the number of attempts, forwards included and preempted
	// attempts excluded.
	attemptCount int
	// attemptsWithoutProgress is the number of attempts that may have run since
	// the client received the last new token.
	attemptsWithoutProgress int
	// tokenOffset is the number of tokens that the client has received.
	tokenOffset int
	// replicaID is the replica of the last attempt at this host.
	replicaID fuchsiapitch.ReplicaID
	// forwardedTo is the dispatcher of the last forward.
	forwardedTo fuchsiapitch.HostID
	// headerSent is true once a response header was passed to the client.
	headerSent bool
	// mayHaveRun is true once an attempt has ended that may have run.
	mayHaveRun bool
	// backoff is the length of the last back-off, and retryAt the monotonic time
	// at which it ends.
	backoff, retryAt time.Duration
	// awaitsRetry is true if the request backs off until the retry budget allows a
	// retry.
	awaitsRetry bool
	// failedReplicas and excludedHosts do not receive the request again before the
	// end of its next back-off.
	failedReplicas map[fuchsiapitch.ReplicaID]bool
	excludedHosts  map[fuchsiapitch.HostID]bool
	// reservation is the state of the idempotency key, nil without one.
	reservation *reservation
	// acceptedByDispatcher is true once a dispatcher has accepted the request.
	// From then on the request is queued again whatever the load.
	acceptedByDispatcher bool
	// preemptionCount is the number of times that the request was preempted.
	preemptionCount int
	// overflowTried is true once the request was forwarded to another data centre
	// after a refusal in this one.
	overflowTried bool
}

func (s *State) applyRequestEvent(event Event) {
	switch e := event.(type) {
	case RequestReceived:
		s.receiveRequest(e)
	case ForwardedRequestReceived:
		s.receiveForwarded(e)
	case RequestAbandoned:
		s.abandon(e.Request)
	case AttemptResponseStarted:
		if _, ok := s.currentRequest(e.Request, e.Attempt); ok {
			s.scheduler.FirstTokenReceived(s.now, e.Request, e.Latency)
		}
	case AttemptProgressed:
		if _, ok := s.currentRequest(e.Request, e.Attempt); ok {
			s.scheduler.TokensReceived(s.now, e.Request, e.NewTokens, e.Elapsed)
		}
	case AttemptEnded:
		s.endAttempt(e)
	case ForwardEnded:
		s.endForward(e)
	case ResponseReceived:
		s.storeResponse(e)
	}
}

func (s *State) receiveRequest(e RequestReceived) {
	if s.configuration.Offset() == 0 {
		s.emit(RefuseRequest{Request: e.Request.ID(), Reason: fuchsiapitch.RefusedNotReady})
		return
	}
	f := s.newInFlightRequest(e.Request)
	if !s.admit(f) {
		return
	}
	if needsReservation(e.Request) {
		s.reserveKey(f)
		return
	}
	s.place(f)
}

func (s *State) receiveForwarded(e ForwardedRequestReceived) {
	f := s.newInFlightRequest(e.Request)
	f.tokenOffset = e.TokenOffset
	f.fromRemoteDataCentre = e.From.DataCentre() != s.dataCentre
	if f.fromRemoteDataCentre {
		s.place(f)
		return
	}
	f.fromPeer = true
	s.enqueue(f)
}

func (s *State) newInFlightRequest(request fuchsiapitch.Request) *inFlightRequest {
	f := &inFlightRequest{
		request:        request,
		deadline:       s.now.Add(request.TimeLimit()),
		failedReplicas: make(map[fuchsiapitch.ReplicaID]bool),
		excludedHosts:  make(map[fuchsiapitch.HostID]bool),
	}
	s.requests[request.ID()] = f
	s.retryLimiter.RecordFirstAttempt(request.Service())
	return f
}

// place chooses a dispatcher for a request that a client or another data centre
// sent to this host, and queues or forwards the request. The receiver has checked the
// service by the configuration of the request, which need not be the one in force.
func (s *State) place(f *inFlightRequest) {
	if h, ok := s.chooseRemoteDataCentre(f); ok {
		s.forward(f, h)
		return
	}
	h, ok := s.chooseDispatcher(f)
	if !ok && f.attemptCount > 0 && !f.fromRemoteDataCentre {
		s.backOff(f)
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

// chooseDispatcher returns the dispatcher in this data centre for a request, if
// any.
func (s *State) chooseDispatcher(f *inFlightRequest) (fuchsiapitch.Host, bool) {
	load := func(h fuchsiapitch.HostID) router.Load { return s.dispatcherLoad(h, f.request.Service()) }
	return s.routingTable.Choose(f.request, f.excludedHosts, load)
}

// enqueue submits a request to the scheduler of this host. A request that a
// dispatcher has accepted before, or whose client has received tokens, is not
// subject to admission again.
func (s *State) enqueue(f *inFlightRequest) {
	f.phase = queued
	remaining := f.deadline.Sub(s.now)
	if remaining <= 0 {
		s.refuse(f, fuchsiapitch.RefusedDeadline, 0)
		return
	}
	request := f.request
	fuchsiapitch.WithTimeLimit(remaining)(&request)
	if f.acceptedByDispatcher || f.tokenOffset > 0 {
		f.acceptedByDispatcher = true
		s.scheduler.Requeue(s.now, request, f.tokenOffset, f.preemptionCount, sortedKeys(f.failedReplicas)...)
		return
	}
	a := s.scheduler.Offer(s.now, request, sortedKeys(f.failedReplicas)...)
	f.acceptedByDispatcher = a.Accepted
	if a.Accepted || (a.Reason == fuchsiapitch.RefusedOverload && s.overflowAfterRefusal(f)) {
		return
	}
	s.refuse(f, a.Reason, a.RetryAfter)
}

// runScheduler carries out the scheduler's plan after each event.
func (s *State) runScheduler() {
	plan := s.scheduler.Decide(s.now)
	for _, p := range plan.Starts {
		f, ok := s.requests[p.Request]
		if !ok {
			s.scheduler.RequestEnded(s.now, p.Request)
			continue
		}
		s.startAttempt(f, p.Replica, p.Priority)
	}
	for _, id := range plan.Preemptions {
		s.preempt(id)
	}
	for _, r := range plan.Refusals {
		if f, ok := s.requests[r.Request]; ok {
			s.refuse(f, r.Reason, r.RetryAfter)
		}
	}
}

// redispatchOrphans finds another dispatcher for queued requests whose service
// has lost its last replica at this host. A request that a peer forwarded is
// refused, so that the peer places it again. A request for which there is no
// other dispatcher stays queued.
func (s *State) redispatchOrphans() {
	for _, id := range s.scheduler.OrphanedRequests() {
		f, ok := s.requests[id]
		if !ok {
			continue
		}
		if f.fromPeer {
			s.refuse(f, fuchsiapitch.RefusedNoReplica, 0)
			continue
		}
		// A dispatcher that failed the request before may have recovered.
		clear(f.excludedHosts)
		h, ok := s.chooseRemoteDataCentre(f)
		if !ok {
			h, ok = s.chooseDispatcher(f)
		}
		if ok && h.ID() != s.self {
			s.scheduler.RequestEnded(s.now, id)
			s.forward(f, h)
		}
	}
}
