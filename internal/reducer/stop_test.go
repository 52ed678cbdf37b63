package reducer

import (
	"testing"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/gossiper"
)

func TestStop(t *testing.T) {
	meet := func(s *State) {
		s.Apply(at(0), HeartbeatReceived{Heartbeat: gossiper.Heartbeat{From: peer, Sequence: 1}})
	}
	t.Run("the other hosts are told at once", func(t *testing.T) {
		s := newFleetState(t)
		meet(s)
		if got := effectOf[SendHeartbeat](t, s.Apply(at(1), StopRequested{})); !got.Heartbeat.Leaving || got.To.ID() != peer.ID() {
			t.Errorf("got %v, want a leaving heartbeat to %s", got, peer.ID())
		}
	})
	t.Run("running requests end here and waiting ones move", func(t *testing.T) {
		s := newFleetState(t)
		for _, id := range []fuchsiapitch.RequestID{"r1", "r2", "r3"} {
			s.Apply(at(0), RequestReceived{Request: newChat(id)})
		}
		meet(s)
		moved := 0
		s.Apply(at(1), StopRequested{})
		for _, u := range s.Unfinished() {
			if s.requests[u.Request].phase == forwarded {
				moved++
			}
		}
		if moved != 1 {
			t.Errorf("got %d requests handed to the other host, want the one that waited", moved)
		}
		if s.Drained() {
			t.Error("got a drained host with requests in flight")
		}
		start := s.requests["r1"].attempt
		assertFinish(t, s.Apply(at(2), AttemptEnded{Request: "r1", Attempt: start, Outcome: fuchsiapitch.Succeeded}), fuchsiapitch.Succeeded)
	})
	t.Run("a late request of the balancer is served by another host", func(t *testing.T) {
		s := newFleetState(t)
		meet(s)
		s.Apply(at(1), StopRequested{})
		effectOf[ForwardRequest](t, s.Apply(at(2), RequestReceived{Request: newChat("r1")}))
	})
	t.Run("the last host ends its requests, waiting ones too", func(t *testing.T) {
		s := newFleetState(t)
		for _, id := range []fuchsiapitch.RequestID{"r1", "r2", "r3"} {
			s.Apply(at(0), RequestReceived{Request: newChat(id)})
		}
		s.Apply(at(1), StopRequested{})
		for n := uint64(1); n <= 3; n++ {
			for _, u := range s.Unfinished() {
				if s.requests[u.Request].attempt == n {
					assertFinish(t, s.Apply(at(2), AttemptEnded{Request: u.Request, Attempt: n, Outcome: fuchsiapitch.Succeeded}), fuchsiapitch.Succeeded)
				}
			}
		}
		if !s.Drained() {
			t.Errorf("got %v left, want none", s.Unfinished())
		}
	})
	t.Run("the last host serves what the balancer still sends", func(t *testing.T) {
		s := newFleetState(t)
		s.Apply(at(0), StopRequested{})
		effectOf[StartAttempt](t, s.Apply(at(1), RequestReceived{Request: newChat("r1")}))
	})
	t.Run("the outcome of a key stands in the log before the end", func(t *testing.T) {
		s := newDeskState("host-a")
		claim := effectOf[AppendRecord](t, s.Apply(at(0), RequestReceived{Request: newDeposit("r1", "k", 1)}))
		start := effectOf[StartAttempt](t, s.Apply(at(1), land(claim, 1)))
		done := effectOf[AppendRecord](t, s.Apply(at(2), AttemptEnded{Request: "r1", Attempt: start.Attempt, Outcome: fuchsiapitch.Succeeded}))
		s.Apply(at(3), StopRequested{})
		if s.Drained() {
			t.Error("got a drained host with an outcome to append")
		}
		s.Apply(at(4), AppendEnded{Stream: done.Stream, Record: done.Record.ID(), Result: Appended})
		if !s.Drained() {
			t.Error("got a host that is not drained after the append")
		}
	})
}
