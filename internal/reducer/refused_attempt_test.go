package reducer

import (
	"testing"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// startOf returns the attempt among effects, if there is one. It fails the test if the request
// has ended.
func startOf(t *testing.T, refusals int, effects []Effect) (StartAttempt, bool) {
	t.Helper()
	var start StartAttempt
	found := false
	for _, e := range effects {
		switch e := e.(type) {
		case FinishRequest, RefuseRequest:
			t.Fatalf("got %#v after %d refused attempts, want the stream resumed", e, refusals)
		case StartAttempt:
			start, found = e, true
		}
	}
	return start, found
}

// Guards against a stream that has begun and is ended because replicas refused to resume it as
// not run: such an attempt may not use up the attempts of the stream.
func TestRefusedAttemptsDoNotEndStream(t *testing.T) {
	const refusedAttempts = 3 * maxAttemptsWithoutProgress
	s := newTwoReplicaState(t)
	request := newChatRequest("r1", fuchsiapitch.WithIdempotentRequest(), fuchsiapitch.WithTokenStream())
	first := requireStart(t, s.Apply(at(1), RequestReceived{Request: request}), 0)
	now := time.Second
	effects := s.Apply(at(now), AttemptEnded{Request: "r1", Attempt: first.Attempt, Outcome: fuchsiapitch.OutcomeUnknown, TokensDelivered: 7, HeaderSent: true})
	for n := range refusedAttempts {
		start, found := startOf(t, n, effects)
		for !found {
			if now += 50 * time.Millisecond; now > 50*time.Second {
				t.Fatalf("got no attempt after %d refused ones, want one before the time limit", n)
			}
			start, found = startOf(t, n, s.Apply(at(now), Ticked{}))
		}
		if n == 0 && start.Replica.ID() == first.Replica.ID() {
			t.Errorf("got the stream resumed at %s, which had broken it off, want the other replica", first.Replica.ID())
		}
		effects = s.Apply(at(now), AttemptEnded{Request: "r1", Attempt: start.Attempt, Outcome: fuchsiapitch.OutcomeNotRun, TokensDelivered: 7, HeaderSent: true})
	}
}
