package reducer

import (
	"testing"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// laterBudget allows no retry before a time, and any number from then on.
type laterBudget time.Duration

func (b laterBudget) TakeRetry(now fuchsiapitch.Instant, _ fuchsiapitch.ServiceName) bool {
	return now.Monotonic() >= time.Duration(b)
}

// Guards against a stream that its client has begun to receive and that is ended, since the retry
// budget of its service allows no retry at that moment: it waits for one until its deadline.
func TestStreamThatHasBegunAwaitsRetry(t *testing.T) {
	const budgetAt = 3 * time.Second
	t.Run("for a while", func(t *testing.T) {
		s := newTwoReplicaState(t)
		s.retryBudget = laterBudget(budgetAt)
		request := newChatRequest("r1", fuchsiapitch.WithIdempotentRequest(), fuchsiapitch.WithTokenStream())
		first := requireStart(t, s.Apply(at(time.Second), RequestReceived{Request: request}), 0)
		effects := s.Apply(at(time.Second), AttemptEnded{Request: "r1", Attempt: first.Attempt, Outcome: fuchsiapitch.OutcomeUnknown, TokensDelivered: 7, HeaderSent: true})
		now := time.Second
		for len(effects) == 0 && now < 2*budgetAt {
			now += 50 * time.Millisecond
			effects = s.Apply(at(now), Ticked{})
		}
		second := requireStart(t, effects, 7)
		if second.Replica.ID() == first.Replica.ID() {
			t.Errorf("got the stream resumed at %s, which had failed it, want the other replica", first.Replica.ID())
		}
		if want := budgetAt + initialBackoff; now < budgetAt || now > want {
			t.Errorf("got the stream resumed after %s, want it between %s and %s", now, budgetAt, want)
		}
	})
	t.Run("until its deadline", func(t *testing.T) {
		s := newTwoReplicaState(t)
		s.retryBudget = exhaustedBudget{}
		request := newChatRequest("r1", fuchsiapitch.WithIdempotentRequest(), fuchsiapitch.WithTokenStream())
		first := requireStart(t, s.Apply(at(time.Second), RequestReceived{Request: request}), 0)
		s.Apply(at(time.Second), AttemptEnded{Request: "r1", Attempt: first.Attempt, Outcome: fuchsiapitch.OutcomeUnknown, TokensDelivered: 7, HeaderSent: true})
		requireFinish(t, s.Apply(at(time.Second+request.TimeLimit()), Ticked{}), fuchsiapitch.OutcomeUnknown)
	})
}
