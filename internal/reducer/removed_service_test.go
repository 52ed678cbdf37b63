package reducer

import (
	"testing"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// removeServices puts a configuration without services in force. The replicas stay.
func removeServices(s *State) {
	s.Apply(at(2), FleetOverridden{
		Configuration: fuchsiapitch.NewConfiguration(2, 2, nil, nil, s.Configuration().Ranks()),
		Replicas:      []fuchsiapitch.Replica{s.replicas["g1"], s.replicas["g2"]},
	})
}

// Guards against a stream that ends early, or a request that is refused as unknown, because
// a newer configuration than that of the request no longer has the service. Its replicas
// still serve.
func TestRequestOutlivesItsService(t *testing.T) {
	t.Run("a stream is resumed after a back-off", func(t *testing.T) {
		s := newTwoReplicaState(t)
		request := newChatRequest("r1", fuchsiapitch.WithIdempotentRequest(), fuchsiapitch.WithTokenStream())
		first := requireStart(t, s.Apply(at(1), RequestReceived{Request: request}), 0)
		removeServices(s)
		second := requireStart(t, s.Apply(at(3), AttemptEnded{Request: "r1", Attempt: first.Attempt, Outcome: fuchsiapitch.OutcomeUnknown, TokensDelivered: 7}), 7)
		for _, e := range s.Apply(at(4), AttemptEnded{Request: "r1", Attempt: second.Attempt, Outcome: fuchsiapitch.OutcomeUnknown, TokensDelivered: 9}) {
			if f, ok := e.(FinishRequest); ok {
				t.Fatalf("got the stream ended with %s, want it resumed", f.Outcome)
			}
		}
		requireStart(t, s.Apply(at(4+2*initialBackoff), Ticked{}), 9)
	})
	t.Run("a request that was accepted before is served", func(t *testing.T) {
		s := newTwoReplicaState(t)
		removeServices(s)
		requireStart(t, s.Apply(at(3), RequestReceived{Request: newChatRequest("r1")}), 0)
	})
	t.Run("a request without a replica is refused and may come back", func(t *testing.T) {
		s := newTwoReplicaState(t)
		s.Apply(at(2), FleetOverridden{Configuration: fuchsiapitch.NewConfiguration(2, 2, nil, nil, s.Configuration().Ranks())})
		for _, e := range s.Apply(at(3*time.Millisecond), RequestReceived{Request: newChatRequest("r1")}) {
			if r, ok := e.(RefuseRequest); !ok || r.Reason != fuchsiapitch.RefusedNoReplica {
				t.Errorf("got %#v, want a refusal for %s", e, fuchsiapitch.RefusedNoReplica)
			}
		}
	})
}
