package reducer

import (
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// endAttempt decides what follows an attempt at a replica of this host.
func (s *State) endAttempt(e AttemptEnded) {
	f, ok := s.requests[e.Request]
	if !ok {
		return
	}
	if e.Stopped {
		// A preemption is no failure and does not count as an attempt.
		f.preemptions = s.scheduler.Preemptions(e.Request)
		f.attempts--
	}
	s.scheduler.Ended(s.now, e.Request)
	f.offset, f.answered = e.Tokens, f.answered || e.Answered
	if e.Outcome == fuchsiapitch.Succeeded {
		s.finish(f, fuchsiapitch.Succeeded)
		return
	}
	f.ran = f.ran || e.Outcome != fuchsiapitch.NotRun
	if !e.Stopped {
		f.lost[f.replica] = true
	}
	if s.mayRepeat(f, e.Outcome) && s.spendRetry(f, e.Stopped) {
		s.enqueue(f)
		return
	}
	s.finish(f, e.Outcome)
}

// endForward decides what follows after a dispatcher has given a request back.
func (s *State) endForward(e ForwardEnded) {
	f, ok := s.requests[e.Request]
	if !ok {
		return
	}
	s.returned(f)
	f.offset, f.answered = e.Tokens, f.answered || e.Answered
	if e.Unreachable {
		s.members.Fail(s.now, e.Host)
		s.followMembership()
	}
	if e.Outcome == fuchsiapitch.Succeeded {
		s.finish(f, fuchsiapitch.Succeeded)
		return
	}
	f.ran = f.ran || e.Outcome != fuchsiapitch.NotRun
	f.excluded[e.Host] = true
	if s.mayRepeat(f, e.Outcome) && e.Refusal != fuchsiapitch.RefusedOverload && e.Refusal != fuchsiapitch.RefusedCustomerLimit &&
		s.spendRetry(f, e.Refusal != 0) {
		s.place(f)
		return
	}
	if e.Refusal == fuchsiapitch.RefusedOverload && s.refuge(f) {
		return
	}
	if e.Outcome == fuchsiapitch.NotRun {
		s.refuse(f, e.Refusal, e.RetryAfter)
		return
	}
	s.finish(f, e.Outcome)
}

// mayRepeat reports whether a request without a whole answer may run again: it
// was not run, or it is idempotent and the caller can still be given a whole
// answer.
func (s *State) mayRepeat(f *flight, outcome fuchsiapitch.Outcome) bool {
	if f.attempts >= attemptLimit || s.now.Monotonic() >= f.deadline {
		return false
	}
	if outcome == fuchsiapitch.NotRun {
		return true
	}
	return outcome == fuchsiapitch.Unknown && f.request.Idempotent() && (f.request.Stream() || !f.answered)
}

// refuse ends a request without running it. A request that an earlier attempt
// may have run ends with an unknown outcome instead, since a refusal states
// that the request was not run.
func (s *State) refuse(f *flight, reason fuchsiapitch.RefusalReason, retryAfter time.Duration) {
	delete(s.requests, f.request.ID())
	s.scheduler.Ended(s.now, f.request.ID())
	s.limiter.Finish(f.request.ID(), f.offset)
	if f.ran {
		s.emit(FinishRequest{Request: f.request.ID(), Outcome: fuchsiapitch.Unknown})
		return
	}
	s.emit(RefuseRequest{Request: f.request.ID(), Reason: reason, RetryAfter: retryAfter})
}

func (s *State) finish(f *flight, outcome fuchsiapitch.Outcome) {
	delete(s.requests, f.request.ID())
	s.limiter.Finish(f.request.ID(), f.offset)
	s.emit(FinishRequest{Request: f.request.ID(), Outcome: outcome})
}

func (s *State) forget(id fuchsiapitch.RequestID) {
	if f, ok := s.requests[id]; ok {
		s.returned(f)
	}
	delete(s.requests, id)
	s.scheduler.Ended(s.now, id)
	s.limiter.Finish(id, 0)
}
