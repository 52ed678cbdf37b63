package reducer

import (
	"testing"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// newRankedState has one replica with one slot and the ranks chat and kiln.
func newRankedState(t *testing.T) *State {
	t.Helper()
	s := New(self)
	service := fuchsiapitch.NewService("vidrio-llm", fuchsiapitch.ModelService, "chat")
	ranks := []fuchsiapitch.Rank{
		fuchsiapitch.NewRank("chat", 0, time.Second, time.Second, 1, 0),
		fuchsiapitch.NewRank("kiln", 1, time.Hour, time.Second, 1, 0.05),
	}
	server := fuchsiapitch.NewBackendServer("s1", fuchsiapitch.EngineServer, "127.0.0.1:2", "gt-xela")
	s.Apply(at(0), FleetDescribed{
		Configuration: fuchsiapitch.NewConfiguration(1, 1, []fuchsiapitch.Service{service}, nil, ranks),
		Replicas:      []fuchsiapitch.Replica{fuchsiapitch.NewReplica("g1", "vidrio-llm", server, 1, "1")},
	})
	return s
}

func newKiln(id fuchsiapitch.RequestID) fuchsiapitch.Request {
	return fuchsiapitch.NewRequest(id, "vidrio-llm", "customer", "kiln",
		fuchsiapitch.WithTimeLimit(time.Hour), fuchsiapitch.WithRepeatable(), fuchsiapitch.WithTokenStream())
}

func TestPreemption(t *testing.T) {
	s := newRankedState(t)
	kiln := assertStart(t, s.Apply(at(1), RequestReceived{Request: newKiln("k")}), 0)
	s.Apply(at(1), AttemptProgressed{Request: "k", Attempt: kiln.Attempt, Tokens: 100, Elapsed: time.Second})
	preemptions := 0
	for n := range 2 * fruitlessLimit {
		chat := fuchsiapitch.RequestID(rune('a' + n))
		effects := s.Apply(at(2), RequestReceived{Request: newChat(chat)})
		if len(effects) == 0 {
			break
		}
		preemptions++
		if _, ok := effects[0].(PreemptAttempt); !ok {
			t.Fatalf("got %#v, want a preemption", effects[0])
		}
		urgent := assertStart(t, s.Apply(at(3), AttemptEnded{
			Request: "k", Attempt: kiln.Attempt, Outcome: fuchsiapitch.Unknown, Tokens: n + 1, Stopped: true,
		}), 0)
		effects = s.Apply(at(4), AttemptEnded{Request: chat, Attempt: urgent.Attempt, Outcome: fuchsiapitch.Succeeded})
		assertFinish(t, effects, fuchsiapitch.Succeeded)
		kiln = assertStart(t, effects[1:], n+1)
	}
	if preemptions != 3 {
		t.Errorf("got %d preemptions, want 3", preemptions)
	}
	effects := s.Apply(at(5), AttemptEnded{Request: "k", Attempt: kiln.Attempt, Outcome: fuchsiapitch.Succeeded, Tokens: 100})
	assertFinish(t, effects, fuchsiapitch.Succeeded)
	assertStart(t, effects[1:], 0)
}

func TestOrphans(t *testing.T) {
	s := newRankedState(t)
	s.Apply(at(1), RequestReceived{Request: newKiln("k1")})
	s.Apply(at(1), RequestReceived{Request: newKiln("k2")})
	s.Apply(at(1), RequestOffered{Request: newKiln("k3"), From: fuchsiapitch.NewHost("host-b", "127.0.0.1:3", "gt-xela", 1)})
	effects := s.Apply(at(2), FleetDescribed{Configuration: s.Configuration()})
	if len(effects) != 1 || effects[0] != (RefuseRequest{Request: "k3", Reason: fuchsiapitch.RefusedNoReplica}) {
		t.Errorf("got %v, want the offered request to be given back and the received one to wait", effects)
	}
}
