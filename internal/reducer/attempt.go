package reducer

import (
	"fmt"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

const (
	// maxAttemptsWithoutProgress is the largest number of consecutive attempts
	// that may have run and have delivered no new token to the client.
	maxAttemptsWithoutProgress = 8
	// initialBackoff is the first back-off of a request, after every replica has
	// failed it.
	initialBackoff = 200 * time.Millisecond
	// maxBackoff is the longest back-off.
	maxBackoff = 2 * time.Second
)

// RetryBudget limits the retries of a service, so that retries do not amplify
// an overload.
type RetryBudget interface {
	// TakeRetry takes one retry from the budget of a service and reports whether
	// one was available.
	TakeRetry(now fuchsiapitch.Instant, service fuchsiapitch.ServiceName) bool
}

// beginAttempt assigns a request the number of its next attempt. If another
// attempt is not allowed, it ends the request and returns false.
//
// Attempt numbers are unique across all requests of the host, so that a late
// event of an earlier attempt never matches a later one.
func (s *State) beginAttempt(f *inFlightRequest) (uint64, bool) {
	if s.now.HasReached(f.deadline) {
		s.refuse(f, fuchsiapitch.RefusedDeadline, 0)
		return 0, false
	}
	if f.reservation != nil && !f.reservation.holdsKey {
		s.reportViolation("reserved-before-sent", fmt.Sprintf("request %s was to be sent before its idempotency key was reserved", f.request.ID()))
		s.refuse(f, fuchsiapitch.RefusedLogUnavailable, 0)
		return 0, false
	}
	if f.mayHaveRun && !f.request.Idempotent() {
		s.reportViolation("at-most-once", fmt.Sprintf("request %s is not idempotent, may have run and was to be sent again", f.request.ID()))
		s.finish(f, fuchsiapitch.OutcomeUnknown)
		return 0, false
	}
	s.lastAttemptNumber++
	f.attemptNumber = s.lastAttemptNumber
	f.attemptCount++
	return f.attemptNumber, true
}

// startAttempt sends a request to a replica that this host dispatches for.
func (s *State) startAttempt(f *inFlightRequest, replica fuchsiapitch.Replica, priority int) {
	number, ok := s.beginAttempt(f)
	if !ok {
		return
	}
	f.phase, f.replicaID = attempting, replica.ID()
	s.emit(StartAttempt{
		Request: f.request.ID(), Attempt: number, Replica: replica,
		TokenOffset: f.tokenOffset, Priority: priority, Deadline: f.deadline,
	})
}

// forward sends a request to the dispatcher on another host.
func (s *State) forward(f *inFlightRequest, host fuchsiapitch.Host) {
	number, ok := s.beginAttempt(f)
	if !ok {
		return
	}
	f.phase, f.forwardedTo = forwarded, host.ID()
	s.countForward(f)
	s.emit(ForwardRequest{Request: f.request.ID(), Attempt: number, Host: host, TokenOffset: f.tokenOffset, Deadline: f.deadline})
}

// preempt ends the attempt of a request that can be resumed from a token
// offset. An attempt that cannot be resumed continues, and a violation is
// reported.
func (s *State) preempt(id fuchsiapitch.RequestID) {
	f, ok := s.requests[id]
	if !ok || f.phase != attempting || !f.request.Idempotent() || !f.request.Streaming() {
		s.reportViolation("resumable-preemption", fmt.Sprintf("request %s was selected for preemption, but is not running as an idempotent token stream", id))
		return
	}
	s.emit(PreemptAttempt{Request: id, Attempt: f.attemptNumber})
}

// currentRequest returns the request of an event if the event belongs to the
// current attempt of the request. Events of earlier attempts are stale and must
// be ignored.
func (s *State) currentRequest(id fuchsiapitch.RequestID, attempt uint64) (*inFlightRequest, bool) {
	f, ok := s.requests[id]
	if !ok || f.attemptNumber != attempt || attempt == 0 {
		return nil, false
	}
	return f, true
}

// endAttempt handles the end of an attempt at a replica of this host: it
// finishes the request, queues it again after a preemption, or retries it.
func (s *State) endAttempt(e AttemptEnded) {
	f, ok := s.currentRequest(e.Request, e.Attempt)
	if !ok {
		return
	}
	if e.Preempted {
		// A preemption is not a failure and does not count as an attempt.
		f.preemptionCount = s.scheduler.PreemptionCount(e.Request)
		f.attemptCount--
	}
	s.scheduler.TotalTokensReceived(s.now, e.Request, e.TokensDelivered-f.tokenOffset)
	s.scheduler.RequestEnded(s.now, e.Request)
	attemptsWithoutProgress := f.attemptsWithoutProgress
	s.recordResult(f, e.Outcome, e.TokensDelivered, e.HeaderSent)
	if e.Preempted {
		f.attemptsWithoutProgress = min(f.attemptsWithoutProgress, attemptsWithoutProgress)
	}
	if e.Outcome == fuchsiapitch.OutcomeSucceeded {
		s.finish(f, fuchsiapitch.OutcomeSucceeded)
		return
	}
	if e.Preempted && s.mayRetry(f, e.Outcome) {
		s.enqueue(f)
		return
	}
	f.failedReplicas[f.replicaID] = true
	s.retry(f, e.Outcome)
}

// endForward handles the end of a request that was forwarded to another
// dispatcher: it finishes, refuses or retries the request.
func (s *State) endForward(e ForwardEnded) {
	f, ok := s.currentRequest(e.Request, e.Attempt)
	if !ok {
		return
	}
	s.countForwardEnd(f)
	if e.HostUnreachable {
		s.members.Suspect(s.now, e.Host)
		s.reassignAfterMembershipChange()
	}
	s.recordResult(f, e.Outcome, e.TokensDelivered, e.HeaderSent)
	f.excludedHosts[e.Host] = true
	// Without a refusal, the dispatcher had accepted the request.
	f.acceptedByDispatcher = f.acceptedByDispatcher || e.Refusal == 0
	switch {
	case e.Outcome == fuchsiapitch.OutcomeSucceeded:
		s.finish(f, fuchsiapitch.OutcomeSucceeded)
	case e.Refusal == fuchsiapitch.RefusedOverload && s.overflowAfterRefusal(f):
	case isFinalRefusal(e.Refusal):
		s.refuse(f, e.Refusal, e.RetryAfter)
	default:
		s.retry(f, e.Outcome)
	}
}

// isFinalRefusal reports whether another dispatcher would refuse the request for
// the same reason.
func isFinalRefusal(reason fuchsiapitch.RefusalReason) bool {
	switch reason {
	case fuchsiapitch.RefusedOverload, fuchsiapitch.RefusedCustomerLimit, fuchsiapitch.RefusedDeadline:
		return true
	default:
		return false
	}
}

// recordResult updates a request with the result of an ended attempt.
func (s *State) recordResult(f *inFlightRequest, outcome fuchsiapitch.Outcome, tokens int, headerSent bool) {
	f.attemptNumber = 0
	f.headerSent = f.headerSent || headerSent
	if tokens < f.tokenOffset {
		s.reportViolation("offset-falls", fmt.Sprintf("request %s had delivered %d tokens, but its ended attempt reports a total of %d", f.request.ID(), f.tokenOffset, tokens))
	}
	if outcome != fuchsiapitch.OutcomeNotRun {
		f.mayHaveRun = true
		f.attemptsWithoutProgress++
	}
	if tokens > f.tokenOffset {
		f.tokenOffset, f.attemptsWithoutProgress = tokens, 0
	}
}

// retry runs a request again if it may run again and the retry budget of its
// service allows it. Otherwise it ends the request, unless that would break off a
// response: a token stream that has begun waits for a retry.
func (s *State) retry(f *inFlightRequest, outcome fuchsiapitch.Outcome) {
	switch {
	case !s.mayRetry(f, outcome):
		s.endWithoutRetry(f, outcome)
	case s.retryBudget.TakeRetry(s.now, f.request.Service()):
		s.retryPlacement(f)
	case f.headerSent && !f.fromPeer && !f.fromRemoteDataCentre:
		s.awaitRetry(f)
	default:
		s.endWithoutRetry(f, outcome)
	}
}

// awaitRetry delays a token stream until the retry budget is asked again.
func (s *State) awaitRetry(f *inFlightRequest) {
	f.phase, f.awaitsRetry = backingOff, true
	f.retryAt = s.now.Monotonic() + initialBackoff
}

// retryPlacement queues a request again if this host dispatches for a replica
// that has not failed it. Otherwise it tries other hosts, except for a request
// that a peer forwarded: it refuses that one, so that the peer tries the other
// hosts.
func (s *State) retryPlacement(f *inFlightRequest) {
	switch {
	case s.hasUsableReplica(f):
		s.enqueue(f)
	case f.fromPeer:
		s.refuse(f, fuchsiapitch.RefusedNoReplica, 0)
	default:
		f.excludedHosts[s.self] = true
		s.place(f)
	}
}

// hasUsableReplica reports whether this host dispatches for a replica of the
// service that has not failed the request.
func (s *State) hasUsableReplica(f *inFlightRequest) bool {
	for _, r := range s.routingTable.OwnedReplicas(s.self) {
		if r.Service() == f.request.Service() && !f.failedReplicas[r.ID()] {
			return true
		}
	}
	return false
}

// mayRetry reports whether a request without a complete response may run again:
// the last attempt did not run, or its outcome is unknown and the request is
// idempotent. Once the client has received the header of a response other than
// a token stream, another response cannot replace it.
func (s *State) mayRetry(f *inFlightRequest, outcome fuchsiapitch.Outcome) bool {
	if s.now.HasReached(f.deadline) || f.attemptsWithoutProgress >= maxAttemptsWithoutProgress {
		return false
	}
	if f.headerSent && !f.request.Streaming() {
		return false
	}
	return outcome == fuchsiapitch.OutcomeNotRun || (outcome == fuchsiapitch.OutcomeUnknown && f.request.Idempotent())
}

// endWithoutRetry ends a request that may not run again.
func (s *State) endWithoutRetry(f *inFlightRequest, outcome fuchsiapitch.Outcome) {
	if outcome != fuchsiapitch.OutcomeNotRun {
		s.finish(f, outcome)
		return
	}
	reason := fuchsiapitch.RefusedNoReplica
	if s.now.HasReached(f.deadline) {
		reason = fuchsiapitch.RefusedDeadline
	}
	s.refuse(f, reason, 0)
}

// backOff delays a request, twice as long as the last time up to maxBackoff,
// before every replica is tried again.
func (s *State) backOff(f *inFlightRequest) {
	f.phase = backingOff
	f.backoff = min(max(2*f.backoff, initialBackoff), maxBackoff)
	f.retryAt = s.now.Monotonic() + f.backoff
}

// retryBackedOff places requests again when their back-off has ended, if the retry
// budget allows those that wait for a retry, and refuses those whose deadline has passed.
func (s *State) retryBackedOff() {
	due := make(map[fuchsiapitch.RequestID]*inFlightRequest)
	for id, f := range s.requests {
		if f.phase == backingOff && s.now.Monotonic() >= f.retryAt {
			due[id] = f
		}
	}
	for _, id := range sortedKeys(due) {
		f := due[id]
		if s.now.HasReached(f.deadline) {
			s.refuse(f, fuchsiapitch.RefusedDeadline, 0)
			continue
		}
		if f.awaitsRetry {
			f.awaitsRetry = false
			s.retry(f, fuchsiapitch.OutcomeNotRun)
			continue
		}
		clear(f.failedReplicas)
		clear(f.excludedHosts)
		s.place(f)
	}
}

// refuse ends a request without running it. A request that an earlier attempt
// may have run ends with an unknown outcome instead, since a refusal guarantees
// that the request was not run.
func (s *State) refuse(f *inFlightRequest, reason fuchsiapitch.RefusalReason, retryAfter time.Duration) {
	if f.mayHaveRun {
		s.finish(f, fuchsiapitch.OutcomeUnknown)
		return
	}
	s.remove(f)
	s.releaseKey(f, fuchsiapitch.OutcomeNotRun)
	s.emit(RefuseRequest{Request: f.request.ID(), Reason: reason, RetryAfter: retryAfter})
}

func (s *State) finish(f *inFlightRequest, outcome fuchsiapitch.Outcome) {
	s.remove(f)
	s.releaseKey(f, outcome)
	s.emit(FinishRequest{Request: f.request.ID(), Outcome: outcome})
}

// remove deletes a request from this host's state, including the scheduler, the
// limiter and the forward counts.
func (s *State) remove(f *inFlightRequest) {
	delete(s.requests, f.request.ID())
	s.countForwardEnd(f)
	s.scheduler.RequestEnded(s.now, f.request.ID())
	s.limiter.Finish(f.request.ID(), f.tokenOffset)
}

// abandon removes a request whose client has disconnected. The request handler
// reports a disconnect only while no attempt is running.
func (s *State) abandon(id fuchsiapitch.RequestID) {
	f, ok := s.requests[id]
	if !ok {
		return
	}
	s.remove(f)
	outcome := fuchsiapitch.OutcomeNotRun
	if f.mayHaveRun {
		outcome = fuchsiapitch.OutcomeUnknown
	}
	s.releaseKey(f, outcome)
}
