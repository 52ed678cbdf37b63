package reducer

import (
	"fmt"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

const (
	// fruitlessLimit is the largest number of attempts in a row that may have
	// run and brought the caller nothing.
	fruitlessLimit = 8
	// firstRetryWait is the first wait once every replica has been tried.
	firstRetryWait = 200 * time.Millisecond
	// retryWaitLimit is the longest wait before every replica is tried again.
	retryWaitLimit = 2 * time.Second
)

// RetryBudget limits the retries of a service, so that they do not multiply an
// overload.
type RetryBudget interface {
	// Allow takes one retry of a service from its budget and reports whether
	// there was one.
	Allow(now fuchsiapitch.Instant, service fuchsiapitch.ServiceName) bool
}

// begin gives a request the number of its next attempt. It returns false, and
// ends the request, when another attempt is not allowed.
//
// Attempts are numbered over all requests of the host, so that a late event of
// an earlier attempt never matches a later one.
func (s *State) begin(f *flight) (uint64, bool) {
	if s.now.Past(f.deadline) {
		s.refuse(f, fuchsiapitch.RefusedDeadline, 0)
		return 0, false
	}
	if f.reservation != nil && !f.reservation.won {
		s.violate("reserved-before-sent", fmt.Sprintf("request %s does not hold its key", f.request.ID()))
		s.refuse(f, fuchsiapitch.RefusedLogAway, 0)
		return 0, false
	}
	if f.ran && !f.request.Idempotent() {
		s.violate("at-most-once", fmt.Sprintf("request %s may have run and would be sent again", f.request.ID()))
		s.finish(f, fuchsiapitch.Unknown)
		return 0, false
	}
	s.attempts++
	f.attempt = s.attempts
	f.attempts++
	return f.attempt, true
}

// startAttempt has a request sent to a replica of this host.
func (s *State) startAttempt(f *flight, replica fuchsiapitch.Replica, priority int) {
	number, ok := s.begin(f)
	if !ok {
		return
	}
	f.phase, f.replica = attempting, replica.ID()
	s.emit(StartAttempt{
		Request: f.request.ID(), Attempt: number, Replica: replica,
		Offset: f.offset, Priority: priority, Deadline: f.deadline,
	})
}

// forward hands a request to a dispatcher on another host.
func (s *State) forward(f *flight, host fuchsiapitch.Host) {
	number, ok := s.begin(f)
	if !ok {
		return
	}
	f.phase, f.host = forwarded, host.ID()
	s.sentTo(f)
	s.emit(ForwardRequest{Request: f.request.ID(), Attempt: number, Host: host, Offset: f.offset, Deadline: f.deadline})
}

// preempt ends an attempt that can be resumed. Any other runs on.
func (s *State) preempt(id fuchsiapitch.RequestID) {
	f, ok := s.requests[id]
	if !ok || f.phase != attempting || !f.request.Idempotent() || !f.request.Stream() {
		s.violate("resumable-preemption", fmt.Sprintf("request %s cannot be resumed", id))
		return
	}
	s.emit(PreemptAttempt{Request: id, Attempt: f.attempt})
}

// current returns the request of an event, if the event is of its attempt
// under way. Events of earlier attempts are late and say nothing.
func (s *State) current(id fuchsiapitch.RequestID, attempt uint64) (*flight, bool) {
	f, ok := s.requests[id]
	if !ok || f.attempt != attempt || attempt == 0 {
		return nil, false
	}
	return f, true
}

// endAttempt decides what follows an attempt at a replica of this host.
func (s *State) endAttempt(e AttemptEnded) {
	f, ok := s.current(e.Request, e.Attempt)
	if !ok {
		return
	}
	if e.Stopped {
		// A preemption is no failure and does not count as an attempt.
		f.preemptions = s.scheduler.Preemptions(e.Request)
		f.attempts--
	}
	s.scheduler.Served(s.now, e.Request, e.Tokens-f.offset)
	s.scheduler.Ended(s.now, e.Request)
	fruitless := f.fruitless
	s.settle(f, e.Outcome, e.Tokens, e.Answered)
	if e.Stopped {
		f.fruitless = min(f.fruitless, fruitless)
	}
	if e.Outcome == fuchsiapitch.Succeeded {
		s.finish(f, fuchsiapitch.Succeeded)
		return
	}
	if e.Stopped && s.mayRepeat(f, e.Outcome) {
		s.enqueue(f)
		return
	}
	f.lost[f.replica] = true
	s.retry(f, e.Outcome)
}

// endForward decides what follows after a dispatcher has given a request back.
func (s *State) endForward(e ForwardEnded) {
	f, ok := s.current(e.Request, e.Attempt)
	if !ok {
		return
	}
	s.returned(f)
	if e.Unreachable {
		s.members.Fail(s.now, e.Host)
		s.followMembership()
	}
	s.settle(f, e.Outcome, e.Tokens, e.Answered)
	f.excluded[e.Host] = true
	// A dispatcher that did not refuse the request had accepted it.
	f.accepted = f.accepted || e.Refusal == 0
	switch {
	case e.Outcome == fuchsiapitch.Succeeded:
		s.finish(f, fuchsiapitch.Succeeded)
	case e.Refusal == fuchsiapitch.RefusedOverload && s.refuge(f):
	case isFinalRefusal(e.Refusal):
		s.refuse(f, e.Refusal, e.RetryAfter)
	default:
		s.retry(f, e.Outcome)
	}
}

// isFinalRefusal reports whether another dispatcher would refuse as well.
func isFinalRefusal(reason fuchsiapitch.RefusalReason) bool {
	switch reason {
	case fuchsiapitch.RefusedOverload, fuchsiapitch.RefusedCustomerLimit, fuchsiapitch.RefusedDeadline:
		return true
	default:
		return false
	}
}

// settle takes in what an ended attempt has brought.
func (s *State) settle(f *flight, outcome fuchsiapitch.Outcome, tokens int, answered bool) {
	f.attempt = 0
	f.answered = f.answered || answered
	if tokens < f.offset {
		s.violate("offset-falls", fmt.Sprintf("request %s falls from token %d to %d", f.request.ID(), f.offset, tokens))
	}
	if outcome != fuchsiapitch.NotRun {
		f.ran = true
		f.fruitless++
	}
	if tokens > f.offset {
		f.offset, f.fruitless = tokens, 0
	}
}

// retry has a request run again where that is allowed and ends it otherwise.
func (s *State) retry(f *flight, outcome fuchsiapitch.Outcome) {
	if !s.mayRepeat(f, outcome) || !s.retryBudget.Allow(s.now, f.request.Service()) {
		s.conclude(f, outcome)
		return
	}
	s.placeAgain(f)
}

// placeAgain offers a request to the replicas of this host that are not lost
// to it, and then to other hosts.
func (s *State) placeAgain(f *flight) {
	switch {
	case s.hasReplica(f):
		s.enqueue(f)
	case f.offered:
		s.refuse(f, fuchsiapitch.RefusedNoReplica, 0)
	default:
		f.excluded[s.self] = true
		s.place(f)
	}
}

// hasReplica reports whether this host dispatches for a replica that can take
// the request.
func (s *State) hasReplica(f *flight) bool {
	for _, r := range s.table.Owned(s.self) {
		if r.Service() == f.request.Service() && !f.lost[r.ID()] {
			return true
		}
	}
	return false
}

// mayRepeat reports whether a request without a whole answer may run again: it
// was not run, or it is idempotent and the caller can still be given a whole
// answer.
func (s *State) mayRepeat(f *flight, outcome fuchsiapitch.Outcome) bool {
	if s.now.Past(f.deadline) || f.fruitless >= fruitlessLimit {
		return false
	}
	if f.answered && !f.request.Stream() {
		return false
	}
	return outcome == fuchsiapitch.NotRun || (outcome == fuchsiapitch.Unknown && f.request.Idempotent())
}

// conclude ends a request that may not run again.
func (s *State) conclude(f *flight, outcome fuchsiapitch.Outcome) {
	if outcome != fuchsiapitch.NotRun {
		s.finish(f, outcome)
		return
	}
	reason := fuchsiapitch.RefusedNoReplica
	if s.now.Past(f.deadline) {
		reason = fuchsiapitch.RefusedDeadline
	}
	s.refuse(f, reason, 0)
}

// rest has a request wait until every replica is tried again.
func (s *State) rest(f *flight) {
	f.phase = resting
	f.wait = min(max(2*f.wait, firstRetryWait), retryWaitLimit)
	f.wake = s.now.Monotonic() + f.wait
}

// wakeRequests places the requests again whose wait has ended, and ends those
// whose deadline has passed.
func (s *State) wakeRequests() {
	due := make(map[fuchsiapitch.RequestID]*flight)
	for id, f := range s.requests {
		if f.phase == resting && s.now.Monotonic() >= f.wake {
			due[id] = f
		}
	}
	for _, id := range sortedKeys(due) {
		f := due[id]
		if s.now.Past(f.deadline) {
			s.refuse(f, fuchsiapitch.RefusedDeadline, 0)
			continue
		}
		clear(f.lost)
		clear(f.excluded)
		s.place(f)
	}
}

// refuse ends a request without running it. A request that an earlier attempt
// may have run ends with an unknown outcome instead, since a refusal states
// that the request was not run.
func (s *State) refuse(f *flight, reason fuchsiapitch.RefusalReason, retryAfter time.Duration) {
	if f.ran {
		s.finish(f, fuchsiapitch.Unknown)
		return
	}
	s.remove(f)
	s.releaseKey(f, fuchsiapitch.NotRun)
	s.emit(RefuseRequest{Request: f.request.ID(), Reason: reason, RetryAfter: retryAfter})
}

func (s *State) finish(f *flight, outcome fuchsiapitch.Outcome) {
	s.remove(f)
	s.releaseKey(f, outcome)
	s.emit(FinishRequest{Request: f.request.ID(), Outcome: outcome})
}

func (s *State) remove(f *flight) {
	delete(s.requests, f.request.ID())
	s.returned(f)
	s.scheduler.Ended(s.now, f.request.ID())
	s.limiter.Finish(f.request.ID(), f.offset)
}

// forget drops a request whose caller has gone. Its holder has sent nothing
// that still runs.
func (s *State) forget(id fuchsiapitch.RequestID) {
	f, ok := s.requests[id]
	if !ok {
		return
	}
	s.remove(f)
	outcome := fuchsiapitch.NotRun
	if f.ran {
		outcome = fuchsiapitch.Unknown
	}
	s.releaseKey(f, outcome)
}
