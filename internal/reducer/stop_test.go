package reducer

import (
	"testing"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/gossiper"
)

func TestStop(t *testing.T) {
	addPeer := func(s *State) {
		s.Apply(at(0), HeartbeatReceived{Heartbeat: gossiper.Heartbeat{Sender: peer, Sequence: 1}})
	}
	t.Run("the other hosts are told at once", func(t *testing.T) {
		s := newTwoReplicaState(t)
		addPeer(s)
		if got := requireEffect[SendHeartbeat](t, s.Apply(at(1), StopRequested{})); !got.Heartbeat.Leaving || got.To.ID() != peer.ID() {
			t.Errorf("got %v, want a leaving heartbeat to %s", got, peer.ID())
		}
	})
	t.Run("running requests end here and waiting ones move", func(t *testing.T) {
		s := newTwoReplicaState(t)
		for _, id := range []fuchsiapitch.RequestID{"r1", "r2", "r3"} {
			s.Apply(at(0), RequestReceived{Request: newChatRequest(id)})
		}
		addPeer(s)
		moved := 0
		s.Apply(at(1), StopRequested{})
		for _, u := range s.UnfinishedRequests() {
			if s.requests[u.Request].phase == forwarded {
				moved++
			}
		}
		if moved != 1 {
			t.Errorf("got %d requests forwarded to the other host, want the one that waited", moved)
		}
		if s.Drained() {
			t.Error("got a drained host with requests in flight")
		}
		attempt := s.requests["r1"].attemptNumber
		requireFinish(t, s.Apply(at(2), AttemptEnded{Request: "r1", Attempt: attempt, Outcome: fuchsiapitch.OutcomeSucceeded}), fuchsiapitch.OutcomeSucceeded)
	})
	t.Run("a late request of the balancer is served by another host", func(t *testing.T) {
		s := newTwoReplicaState(t)
		addPeer(s)
		s.Apply(at(1), StopRequested{})
		requireEffect[ForwardRequest](t, s.Apply(at(2), RequestReceived{Request: newChatRequest("r1")}))
	})
	t.Run("the last host ends its requests, waiting ones too", func(t *testing.T) {
		s := newTwoReplicaState(t)
		for _, id := range []fuchsiapitch.RequestID{"r1", "r2", "r3"} {
			s.Apply(at(0), RequestReceived{Request: newChatRequest(id)})
		}
		s.Apply(at(1), StopRequested{})
		for n := uint64(1); n <= 3; n++ {
			for _, u := range s.UnfinishedRequests() {
				if s.requests[u.Request].attemptNumber == n {
					requireFinish(t, s.Apply(at(2), AttemptEnded{Request: u.Request, Attempt: n, Outcome: fuchsiapitch.OutcomeSucceeded}), fuchsiapitch.OutcomeSucceeded)
				}
			}
		}
		if !s.Drained() {
			t.Errorf("got unfinished requests %v, want none", s.UnfinishedRequests())
		}
	})
	t.Run("the last host serves what the balancer still sends", func(t *testing.T) {
		s := newTwoReplicaState(t)
		s.Apply(at(0), StopRequested{})
		requireEffect[StartAttempt](t, s.Apply(at(1), RequestReceived{Request: newChatRequest("r1")}))
	})
	t.Run("the outcome of a key stands in the log before the end", func(t *testing.T) {
		s := newApplicationState("host-a")
		claim := requireEffect[AppendRecord](t, s.Apply(at(0), RequestReceived{Request: newKeyedRequest("r1", "k", 1)}))
		start := requireEffect[StartAttempt](t, s.Apply(at(1), recordsReadOf(claim, 1)))
		completion := requireEffect[AppendRecord](t, s.Apply(at(2), AttemptEnded{Request: "r1", Attempt: start.Attempt, Outcome: fuchsiapitch.OutcomeSucceeded}))
		s.Apply(at(3), StopRequested{})
		if s.Drained() {
			t.Error("got a drained host with an outcome to append")
		}
		s.Apply(at(4), AppendEnded{Stream: completion.Stream, Record: completion.Record.ID(), Result: Appended})
		if !s.Drained() {
			t.Error("got a host that is not drained after the append")
		}
	})
}
