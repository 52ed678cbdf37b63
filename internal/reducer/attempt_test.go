package reducer

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/gossiper"
)

var peer = fuchsiapitch.NewHost("host-b", "127.0.0.1:3", "gt-xela", 1)

// tracked is what a caller and the backend servers know of one request.
type tracked struct {
	request fuchsiapitch.Request
	open    Effect
	ran     bool
	offset  int
}

// attemptMachine applies random events and checks the promises to callers by
// the effects alone.
type attemptMachine struct {
	t        *rapid.T
	state    *State
	now      time.Duration
	requests map[fuchsiapitch.RequestID]*tracked
	numbers  []uint64
	next     int
}

func (m *attemptMachine) apply(event Event) []Effect {
	m.now += time.Duration(rapid.Int64Range(0, int64(500*time.Millisecond)).Draw(m.t, "time"))
	effects := m.state.Apply(at(m.now), event)
	for _, e := range effects {
		m.observe(e)
	}
	return effects
}

func (m *attemptMachine) observe(effect Effect) {
	switch e := effect.(type) {
	case StartAttempt:
		m.begin(e.Request, e, e.Attempt, e.Offset)
	case ForwardRequest:
		m.begin(e.Request, e, e.Attempt, e.Offset)
	case RefuseRequest:
		if k := m.requests[e.Request]; k.ran || k.open != nil {
			m.t.Fatalf("got a refusal of %s, which may have run", e.Request)
		}
		delete(m.requests, e.Request)
	case FinishRequest:
		if k := m.requests[e.Request]; k == nil || k.open != nil {
			m.t.Fatalf("got the end of %s with an open attempt", e.Request)
		}
		delete(m.requests, e.Request)
	case ReportViolation:
		m.t.Fatalf("got violation %v", e.Violation)
	}
}

func (m *attemptMachine) begin(id fuchsiapitch.RequestID, effect Effect, number uint64, offset int) {
	k := m.requests[id]
	switch {
	case k == nil:
		m.t.Fatalf("got an attempt of %s, which has ended", id)
	case k.open != nil:
		m.t.Fatalf("got a second attempt of %s at once", id)
	case k.ran && !k.request.Idempotent():
		m.t.Fatalf("got another attempt of %s, which may not be repeated", id)
	case offset < k.offset:
		m.t.Fatalf("got offset %d of %s after %d", offset, id, k.offset)
	}
	k.open, k.offset = effect, offset
	m.numbers = append(m.numbers, number)
}

func (m *attemptMachine) receive() {
	m.next++
	var options []fuchsiapitch.RequestOption
	if rapid.Bool().Draw(m.t, "idempotent") {
		options = append(options, fuchsiapitch.WithRepeatable())
		if rapid.Bool().Draw(m.t, "stream") {
			options = append(options, fuchsiapitch.WithTokenStream())
		}
	}
	r := newChat(fuchsiapitch.RequestID(fmt.Sprint("r", m.next)), options...)
	m.requests[r.ID()] = &tracked{request: r}
	if rapid.Bool().Draw(m.t, "offered") {
		m.apply(RequestOffered{Request: r, From: peer})
		return
	}
	m.apply(RequestReceived{Request: r})
}

// end ends one open attempt.
func (m *attemptMachine) end() {
	var open []fuchsiapitch.RequestID
	for _, id := range sortedKeys(m.requests) {
		if m.requests[id].open != nil {
			open = append(open, id)
		}
	}
	if len(open) == 0 {
		return
	}
	k := m.requests[rapid.SampledFrom(open).Draw(m.t, "request")]
	outcome := rapid.SampledFrom([]fuchsiapitch.Outcome{
		fuchsiapitch.NotRun, fuchsiapitch.Unknown, fuchsiapitch.Failed, fuchsiapitch.Succeeded,
	}).Draw(m.t, "outcome")
	if outcome != fuchsiapitch.NotRun {
		k.ran = true
		k.offset += rapid.IntRange(0, 3).Draw(m.t, "tokens")
	}
	effect := k.open
	k.open = nil
	unreachable := rapid.Bool().Draw(m.t, "unreachable")
	switch e := effect.(type) {
	case StartAttempt:
		stopped := rapid.Bool().Draw(m.t, "stopped")
		m.apply(AttemptEnded{Request: e.Request, Attempt: e.Attempt, Outcome: outcome, Tokens: k.offset, Stopped: stopped, Unreachable: unreachable})
	case ForwardRequest:
		reason := fuchsiapitch.RefusalReason(0)
		if outcome == fuchsiapitch.NotRun {
			reason = rapid.SampledFrom([]fuchsiapitch.RefusalReason{fuchsiapitch.RefusedOverload, fuchsiapitch.RefusedNoReplica}).Draw(m.t, "reason")
		}
		m.apply(ForwardEnded{Request: e.Request, Attempt: e.Attempt, Host: e.Host.ID(), Outcome: outcome, Refusal: reason, Tokens: k.offset, Unreachable: unreachable})
	}
}

// late reports the end of an attempt that is not under way.
func (m *attemptMachine) late() {
	if len(m.numbers) == 0 || len(m.requests) == 0 {
		return
	}
	id := rapid.SampledFrom(sortedKeys(m.requests)).Draw(m.t, "request")
	number := rapid.SampledFrom(m.numbers).Draw(m.t, "number")
	switch e := m.requests[id].open.(type) {
	case StartAttempt:
		if e.Attempt == number {
			return
		}
	case ForwardRequest:
		if e.Attempt == number {
			return
		}
	}
	for _, e := range m.apply(AttemptEnded{Request: id, Attempt: number, Outcome: fuchsiapitch.Succeeded, Tokens: 99}) {
		if d, ok := e.(Directive); ok && d.Subject() == id {
			if _, finished := e.(FinishRequest); finished {
				m.t.Fatalf("got %#v from a late event", e)
			}
		}
	}
}

// change changes the replicas or the standing of the other host.
func (m *attemptMachine) change() {
	switch rapid.IntRange(0, 2).Draw(m.t, "change") {
	case 0:
		m.apply(HeartbeatReceived{Heartbeat: gossiper.Heartbeat{From: peer, Sequence: uint64(m.now)}})
	case 1:
		m.apply(HeartbeatFailed{Host: peer.ID()})
	case 2:
		m.apply(FleetDescribed{Configuration: m.state.Configuration(), Replicas: newReplicas(rapid.IntRange(0, 3).Draw(m.t, "replicas"))})
	}
}

func newReplicas(count int) []fuchsiapitch.Replica {
	var replicas []fuchsiapitch.Replica
	for i := range count {
		id := fmt.Sprint("g", i+1)
		server := fuchsiapitch.NewBackendServer(fuchsiapitch.ServerID(id), fuchsiapitch.EngineServer, "127.0.0.1:2", "gt-xela")
		replicas = append(replicas, fuchsiapitch.NewReplica(fuchsiapitch.ReplicaID(id), "vidrio-llm", server, 2, "1"))
	}
	return replicas
}

func TestAttemptsUnderRandomEvents(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		m := &attemptMachine{t: r, state: newFleetState(t), requests: make(map[fuchsiapitch.RequestID]*tracked)}
		steps := rapid.IntRange(20, 120).Draw(r, "steps")
		for range steps {
			switch rapid.IntRange(0, 9).Draw(r, "step") {
			case 0, 1, 2:
				m.receive()
			case 3, 4, 5, 6:
				m.end()
			case 7:
				m.late()
			case 8:
				m.change()
			case 9:
				m.apply(Ticked{})
			}
		}
	})
}

func TestRetry(t *testing.T) {
	t.Run("a request is answered once one of all lost replicas comes back", func(t *testing.T) {
		s := newFleetState(t)
		effects := s.Apply(at(0), RequestReceived{Request: newChat("r1", fuchsiapitch.WithRepeatable())})
		for range 2 {
			start := assertStart(t, effects, 0)
			effects = s.Apply(at(0), AttemptEnded{Request: "r1", Attempt: start.Attempt, Outcome: fuchsiapitch.NotRun, Unreachable: true})
		}
		if len(effects) != 0 {
			t.Fatalf("got %v with every replica lost, want a rest", effects)
		}
		s.heartbeatDue = time.Hour
		assertStart(t, s.Apply(at(firstRetryWait), Ticked{}), 0)
	})
	t.Run("a pause past the deadline starts nothing", func(t *testing.T) {
		s := newFleetState(t)
		s.Apply(at(0), FleetDescribed{Configuration: s.Configuration()})
		s.Apply(at(0), FleetDescribed{Configuration: s.Configuration(), Replicas: newReplicas(1)})
		for i := range 2 {
			s.Apply(at(0), RequestReceived{Request: newChat(fuchsiapitch.RequestID(fmt.Sprint("r", i)))})
		}
		s.Apply(at(0), RequestReceived{Request: newChat("late")})
		woken := fuchsiapitch.NewInstant(1, time.Unix(0, 0).Add(2*time.Minute))
		for _, e := range s.Apply(woken, AttemptEnded{Request: "r0", Attempt: 1, Outcome: fuchsiapitch.Succeeded}) {
			if start, ok := e.(StartAttempt); ok {
				t.Errorf("got %v after the deadline on the wall clock", start)
			}
		}
	})
	t.Run("a call that may not be repeated is not preempted", func(t *testing.T) {
		s := newFleetState(t)
		assertStart(t, s.Apply(at(0), RequestReceived{Request: newChat("r1")}), 0)
		s.effects = nil
		s.preempt("r1")
		effectOf[ReportViolation](t, s.effects)
		for _, e := range s.effects {
			if p, ok := e.(PreemptAttempt); ok {
				t.Errorf("got %v", p)
			}
		}
	})
	t.Run("no retry without a budget", func(t *testing.T) {
		s := newFleetState(t)
		s.retryBudget = exhausted{}
		start := assertStart(t, s.Apply(at(0), RequestReceived{Request: newChat("r1", fuchsiapitch.WithRepeatable())}), 0)
		assertFinish(t, s.Apply(at(0), AttemptEnded{Request: "r1", Attempt: start.Attempt, Outcome: fuchsiapitch.Unknown}), fuchsiapitch.Unknown)
	})
}

type exhausted struct{}

func (exhausted) Allow(fuchsiapitch.Instant, fuchsiapitch.ServiceName) bool { return false }
