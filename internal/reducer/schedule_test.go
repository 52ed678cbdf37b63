package reducer

import (
	"testing"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/gossiper"
)

// newTwoRankState returns the state of a host with one replica that has one
// slot. The rank chat is more urgent than the rank kiln.
func newTwoRankState(t *testing.T) *State {
	t.Helper()
	s := New(self)
	service := fuchsiapitch.NewService("vidrio-llm", fuchsiapitch.ModelService, "chat")
	ranks := []fuchsiapitch.Rank{
		fuchsiapitch.NewRank("chat", 0, time.Second, time.Second, 1, 0),
		fuchsiapitch.NewRank("kiln", 1, time.Hour, time.Second, 1, 0.05),
	}
	server := fuchsiapitch.NewBackendServer("s1", fuchsiapitch.EngineServer, "127.0.0.1:2", "gt-xela")
	s.Apply(at(0), FleetOverridden{
		Configuration: fuchsiapitch.NewConfiguration(1, 1, []fuchsiapitch.Service{service}, nil, ranks),
		Replicas:      []fuchsiapitch.Replica{fuchsiapitch.NewReplica("g1", "vidrio-llm", server, 1, "1")},
	})
	return s
}

func newKilnRequest(id fuchsiapitch.RequestID) fuchsiapitch.Request {
	return fuchsiapitch.NewRequest(id, "vidrio-llm", "customer", "kiln",
		fuchsiapitch.WithTimeLimit(time.Hour), fuchsiapitch.WithIdempotentRequest(), fuchsiapitch.WithTokenStream())
}

func TestPreemption(t *testing.T) {
	s := newTwoRankState(t)
	kiln := requireStart(t, s.Apply(at(1), RequestReceived{Request: newKilnRequest("k")}), 0)
	s.Apply(at(1), AttemptProgressed{Request: "k", Attempt: kiln.Attempt, NewTokens: 100, Elapsed: time.Second})
	preemptions := 0
	for n := range 2 * maxAttemptsWithoutProgress {
		chat := fuchsiapitch.RequestID(rune('a' + n))
		effects := s.Apply(at(2), RequestReceived{Request: newChatRequest(chat)})
		if len(effects) == 0 {
			break
		}
		preemptions++
		if _, ok := effects[0].(PreemptAttempt); !ok {
			t.Fatalf("got %#v, want a preemption", effects[0])
		}
		urgent := requireStart(t, s.Apply(at(3), AttemptEnded{
			Request: "k", Attempt: kiln.Attempt, Outcome: fuchsiapitch.OutcomeUnknown, TokensDelivered: n + 1, Preempted: true,
		}), 0)
		effects = s.Apply(at(4), AttemptEnded{Request: chat, Attempt: urgent.Attempt, Outcome: fuchsiapitch.OutcomeSucceeded})
		requireFinish(t, effects, fuchsiapitch.OutcomeSucceeded)
		kiln = requireStart(t, effects[1:], n+1)
	}
	if preemptions != 3 {
		t.Errorf("got %d preemptions, want 3", preemptions)
	}
	effects := s.Apply(at(5), AttemptEnded{Request: "k", Attempt: kiln.Attempt, Outcome: fuchsiapitch.OutcomeSucceeded, TokensDelivered: 100})
	requireFinish(t, effects, fuchsiapitch.OutcomeSucceeded)
	requireStart(t, effects[1:], 0)
}

func TestOrphans(t *testing.T) {
	s := newTwoRankState(t)
	s.Apply(at(1), RequestReceived{Request: newKilnRequest("k1")})
	s.Apply(at(1), RequestReceived{Request: newKilnRequest("k2")})
	s.Apply(at(1), ForwardedRequestReceived{Request: newKilnRequest("k3"), From: fuchsiapitch.NewHost("host-b", "127.0.0.1:3", "gt-xela", 1)})
	effects := s.Apply(at(2), FleetOverridden{Configuration: s.Configuration()})
	if len(effects) != 1 || effects[0] != (RefuseRequest{Request: "k3", Reason: fuchsiapitch.RefusedNoReplica}) {
		t.Errorf("got %v, want the forwarded request to be refused and the received one to wait", effects)
	}
}

var remoteBridge = fuchsiapitch.NewHost("host-z", "127.0.0.1:9", "gt-antigua", 1)

// receiveRemoteLoad applies a heartbeat with the load of another data centre.
func receiveRemoteLoad(s *State, now time.Duration, slots, inFlight int) {
	from := fuchsiapitch.NewHost("host-b", "127.0.0.1:3", "gt-xela", 1)
	load := gossiper.ServiceLoad{Service: "vidrio-llm", Slots: slots, InFlight: inFlight}
	s.Apply(at(now), HeartbeatReceived{Heartbeat: gossiper.Heartbeat{
		Sender: from, Leaving: true, RemoteLoads: []gossiper.DataCentreLoad{{Bridge: remoteBridge, Load: load}},
	}})
}

func requireForward(t *testing.T, effects []Effect, want fuchsiapitch.HostID) {
	t.Helper()
	if len(effects) == 1 {
		if f, ok := effects[0].(ForwardRequest); ok && f.Host.ID() == want {
			return
		}
	}
	t.Fatalf("got %v, want a forward to %s", effects, want)
}

func TestOverflow(t *testing.T) {
	t.Run("requests are forwarded only while the data centre has no replicas", func(t *testing.T) {
		s := newTwoRankState(t)
		receiveRemoteLoad(s, 1, 8, 0)
		replica := s.replicas["g1"]
		s.Apply(at(2), FleetOverridden{Configuration: s.Configuration()})
		requireForward(t, s.Apply(at(3), RequestReceived{Request: newChatRequest("c1")}), "host-z")
		s.Apply(at(4), FleetOverridden{Configuration: s.Configuration(), Replicas: []fuchsiapitch.Replica{replica}})
		requireStart(t, s.Apply(at(5), RequestReceived{Request: newChatRequest("c2")}), 0)
	})
	t.Run("waiting requests are forwarded after the loss of the last replica", func(t *testing.T) {
		s := newTwoRankState(t)
		receiveRemoteLoad(s, 1, 8, 0)
		s.Apply(at(2), RequestReceived{Request: newChatRequest("c1")})
		s.Apply(at(2), RequestReceived{Request: newChatRequest("c2")})
		requireForward(t, s.Apply(at(3), FleetOverridden{Configuration: s.Configuration()}), "host-z")
	})
	t.Run("a request from another data centre is not forwarded again", func(t *testing.T) {
		s := newTwoRankState(t)
		receiveRemoteLoad(s, 1, 8, 0)
		s.Apply(at(2), FleetOverridden{Configuration: s.Configuration()})
		effects := s.Apply(at(3), ForwardedRequestReceived{Request: newChatRequest("c1"), From: remoteBridge})
		if _, ok := effects[0].(RefuseRequest); !ok {
			t.Errorf("got %v, want a refusal", effects)
		}
	})
}

func TestDispatcherLoad(t *testing.T) {
	s := newTwoRankState(t)
	other := fuchsiapitch.NewHost("host-b", "127.0.0.1:3", "gt-xela", 1)
	receiveHeartbeat := func(now time.Duration) {
		load := gossiper.ServiceLoad{Service: "vidrio-llm", Slots: 8, InFlight: 3}
		s.Apply(at(now), HeartbeatReceived{Heartbeat: gossiper.Heartbeat{Sender: other, Loads: []gossiper.ServiceLoad{load}}})
	}
	assertLoad := func(want int) {
		t.Helper()
		if got := s.dispatcherLoad("host-b", "vidrio-llm").Requests; got != want {
			t.Errorf("got a load of %d, want %d", got, want)
		}
	}
	receiveHeartbeat(1)
	assertLoad(3)
	f := s.newInFlightRequest(newChatRequest("c1"))
	s.forward(f, other)
	assertLoad(4)
	receiveHeartbeat(2)
	assertLoad(3)
	s.Apply(at(3), ForwardEnded{Request: "c1", Attempt: f.attemptNumber, Host: "host-b", Outcome: fuchsiapitch.OutcomeSucceeded})
	assertLoad(2)
}

func TestAcceptedRequestIsNotRefused(t *testing.T) {
	s := newTwoRankState(t)
	other := fuchsiapitch.NewHost("host-b", "127.0.0.1:3", "gt-xela", 1)
	s.Apply(at(1), RequestReceived{Request: newKilnRequest("running")})
	f := s.newInFlightRequest(newKilnRequest("accepted"))
	s.forward(f, other)
	effects := s.Apply(at(2), ForwardEnded{
		Request: "accepted", Attempt: f.attemptNumber, Host: "host-b", Outcome: fuchsiapitch.OutcomeUnknown, HostUnreachable: true,
	})
	for _, e := range effects {
		if _, refused := e.(RefuseRequest); refused {
			t.Errorf("got %#v, want the request to wait", e)
		}
	}
	if !f.acceptedByDispatcher || f.phase != queued {
		t.Errorf("got accepted %t in phase %d, want it queued as accepted", f.acceptedByDispatcher, f.phase)
	}
}
