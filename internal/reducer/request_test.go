package reducer

import (
	"testing"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

var self = fuchsiapitch.NewHost("host-a", "127.0.0.1:1", "gt-xela", 1)

func at(d time.Duration) fuchsiapitch.Instant {
	return fuchsiapitch.NewInstant(d, time.Unix(0, 0).Add(d))
}

func newTwoReplicaState(t *testing.T) *State {
	t.Helper()
	s := New(self)
	service := fuchsiapitch.NewService("vidrio-llm", fuchsiapitch.ModelService, "chat")
	rank := fuchsiapitch.NewRank("chat", 0, time.Second, time.Second, 1, 0)
	server := func(id fuchsiapitch.ServerID) fuchsiapitch.BackendServer {
		return fuchsiapitch.NewBackendServer(id, fuchsiapitch.EngineServer, "127.0.0.1:2", "gt-xela")
	}
	s.Apply(at(0), FleetOverridden{
		Configuration: fuchsiapitch.NewConfiguration(1, 1, []fuchsiapitch.Service{service}, nil, []fuchsiapitch.Rank{rank}),
		Replicas: []fuchsiapitch.Replica{
			fuchsiapitch.NewReplica("g1", "vidrio-llm", server("s1"), 1, "1"),
			fuchsiapitch.NewReplica("g2", "vidrio-llm", server("s2"), 1, "1"),
		},
	})
	return s
}

// A replica without slots, whose members have not reported to their new dispatcher yet,
// must not count as routable.
func TestReplicaWithoutSlotsIsNotRoutable(t *testing.T) {
	s := newTwoReplicaState(t)
	if got, want := s.RoutableReplicas("vidrio-llm"), 2; got != want {
		t.Errorf("got %d routable replicas, want %d", got, want)
	}
	first := s.replicas["g1"]
	s.Apply(at(0), FleetOverridden{Configuration: s.Configuration(), Replicas: []fuchsiapitch.Replica{
		first, fuchsiapitch.NewReplica("g2", "vidrio-llm", s.replicas["g2"].Server(), 0, "1"),
	}})
	if got, want := s.RoutableReplicas("vidrio-llm"), 1; got != want {
		t.Errorf("got %d routable replicas with one without slots, want %d", got, want)
	}
}

func newChatRequest(id fuchsiapitch.RequestID, options ...fuchsiapitch.RequestOption) fuchsiapitch.Request {
	options = append(options, fuchsiapitch.WithTimeLimit(time.Minute))
	return fuchsiapitch.NewRequest(id, "vidrio-llm", "customer", "chat", options...)
}

func requireStart(t *testing.T, effects []Effect, offset int) StartAttempt {
	t.Helper()
	if len(effects) != 1 {
		t.Fatalf("got %d effects %v, want 1", len(effects), effects)
	}
	start, ok := effects[0].(StartAttempt)
	if !ok || start.TokenOffset != offset {
		t.Fatalf("got %#v, want a start at offset %d", effects[0], offset)
	}
	return start
}

func requireFinish(t *testing.T, effects []Effect, want fuchsiapitch.Outcome) {
	t.Helper()
	for _, e := range effects {
		if f, ok := e.(FinishRequest); ok && f.Outcome == want {
			return
		}
	}
	t.Fatalf("got %v, want the request to finish with %s", effects, want)
}

func TestRequest(t *testing.T) {
	t.Run("a lost stream is resumed on another replica", func(t *testing.T) {
		s := newTwoReplicaState(t)
		request := newChatRequest("r1", fuchsiapitch.WithIdempotentRequest(), fuchsiapitch.WithTokenStream())
		first := requireStart(t, s.Apply(at(1), RequestReceived{Request: request}), 0)
		second := requireStart(t, s.Apply(at(2), AttemptEnded{Request: "r1", Attempt: first.Attempt, Outcome: fuchsiapitch.OutcomeUnknown, TokensDelivered: 7}), 7)
		if first.Replica.ID() == second.Replica.ID() {
			t.Errorf("got replica %s twice, want another", first.Replica.ID())
		}
	})
	t.Run("a call that may not be repeated ends as unknown", func(t *testing.T) {
		s := newTwoReplicaState(t)
		start := requireStart(t, s.Apply(at(1), RequestReceived{Request: newChatRequest("r1")}), 0)
		requireFinish(t, s.Apply(at(2), AttemptEnded{Request: "r1", Attempt: start.Attempt, Outcome: fuchsiapitch.OutcomeUnknown}), fuchsiapitch.OutcomeUnknown)
	})
	t.Run("a request that may have run is never refused as not run", func(t *testing.T) {
		s := newTwoReplicaState(t)
		start := requireStart(t, s.Apply(at(1), RequestReceived{Request: newChatRequest("r1", fuchsiapitch.WithIdempotentRequest())}), 0)
		s.Apply(at(2), RequestReceived{Request: newChatRequest("r2", fuchsiapitch.WithIdempotentRequest())})
		s.Apply(at(3), AttemptEnded{Request: "r1", Attempt: start.Attempt, Outcome: fuchsiapitch.OutcomeUnknown})
		s.Apply(at(4), FleetOverridden{Configuration: s.Configuration()})
		requireFinish(t, s.Apply(at(2*time.Minute), Ticked{}), fuchsiapitch.OutcomeUnknown)
	})
}
