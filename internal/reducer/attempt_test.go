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

// trackedRequest is the state of one request as its client and the backend
// servers see it.
type trackedRequest struct {
	request fuchsiapitch.Request
	// openAttempt is the StartAttempt or ForwardRequest that has not ended.
	openAttempt Effect
	mayHaveRun  bool
	// tokenOffset is the number of tokens that the client has received.
	tokenOffset int
}

// attemptMachine applies random events and checks, from the effects alone, the
// guarantees to clients: at most one attempt of a request at a time, no second
// run of a request that is not idempotent, and no refusal of a request that may
// have run.
type attemptMachine struct {
	t              *rapid.T
	state          *State
	now            time.Duration
	requests       map[fuchsiapitch.RequestID]*trackedRequest
	attemptNumbers []uint64
	requestCount   int
}

func (m *attemptMachine) apply(event Event) []Effect {
	m.now += time.Duration(rapid.Int64Range(0, int64(500*time.Millisecond)).Draw(m.t, "time"))
	effects := m.state.Apply(at(m.now), event)
	for _, e := range effects {
		m.checkEffect(e)
	}
	return effects
}

func (m *attemptMachine) checkEffect(effect Effect) {
	switch e := effect.(type) {
	case StartAttempt:
		m.observeAttempt(e.Request, e, e.Attempt, e.TokenOffset)
	case ForwardRequest:
		m.observeAttempt(e.Request, e, e.Attempt, e.TokenOffset)
	case RefuseRequest:
		if tr := m.requests[e.Request]; tr.mayHaveRun || tr.openAttempt != nil {
			m.t.Fatalf("got a refusal of %s, which may have run", e.Request)
		}
		delete(m.requests, e.Request)
	case FinishRequest:
		if tr := m.requests[e.Request]; tr == nil || tr.openAttempt != nil {
			m.t.Fatalf("got the end of %s with an open attempt", e.Request)
		}
		delete(m.requests, e.Request)
	case ReportViolation:
		m.t.Fatalf("got violation %v", e.Violation)
	}
}

func (m *attemptMachine) observeAttempt(id fuchsiapitch.RequestID, effect Effect, number uint64, offset int) {
	tr := m.requests[id]
	switch {
	case tr == nil:
		m.t.Fatalf("got an attempt of %s, which has ended", id)
	case tr.openAttempt != nil:
		m.t.Fatalf("got a second attempt of %s at once", id)
	case tr.mayHaveRun && !tr.request.Idempotent():
		m.t.Fatalf("got another attempt of %s, which may not be repeated", id)
	case offset < tr.tokenOffset:
		m.t.Fatalf("got offset %d of %s after %d", offset, id, tr.tokenOffset)
	}
	tr.openAttempt, tr.tokenOffset = effect, offset
	m.attemptNumbers = append(m.attemptNumbers, number)
}

func (m *attemptMachine) sendRequest() {
	m.requestCount++
	var options []fuchsiapitch.RequestOption
	if rapid.Bool().Draw(m.t, "idempotent") {
		options = append(options, fuchsiapitch.WithIdempotentRequest())
		if rapid.Bool().Draw(m.t, "stream") {
			options = append(options, fuchsiapitch.WithTokenStream())
		}
	}
	r := newChatRequest(fuchsiapitch.RequestID(fmt.Sprint("r", m.requestCount)), options...)
	m.requests[r.ID()] = &trackedRequest{request: r}
	if rapid.Bool().Draw(m.t, "offered") {
		m.apply(ForwardedRequestReceived{Request: r, From: peer})
		return
	}
	m.apply(RequestReceived{Request: r})
}

// endAttempt ends a random open attempt.
func (m *attemptMachine) endAttempt() {
	var openRequests []fuchsiapitch.RequestID
	for _, id := range sortedKeys(m.requests) {
		if m.requests[id].openAttempt != nil {
			openRequests = append(openRequests, id)
		}
	}
	if len(openRequests) == 0 {
		return
	}
	tr := m.requests[rapid.SampledFrom(openRequests).Draw(m.t, "request")]
	outcome := rapid.SampledFrom([]fuchsiapitch.Outcome{
		fuchsiapitch.OutcomeNotRun, fuchsiapitch.OutcomeUnknown, fuchsiapitch.OutcomeFailed, fuchsiapitch.OutcomeSucceeded,
	}).Draw(m.t, "outcome")
	if outcome != fuchsiapitch.OutcomeNotRun {
		tr.mayHaveRun = true
		tr.tokenOffset += rapid.IntRange(0, 3).Draw(m.t, "tokens")
	}
	effect := tr.openAttempt
	tr.openAttempt = nil
	unreachable := rapid.Bool().Draw(m.t, "unreachable")
	switch e := effect.(type) {
	case StartAttempt:
		preempted := rapid.Bool().Draw(m.t, "stopped")
		m.apply(AttemptEnded{Request: e.Request, Attempt: e.Attempt, Outcome: outcome, TokensDelivered: tr.tokenOffset, Preempted: preempted, ReplicaUnreachable: unreachable})
	case ForwardRequest:
		reason := fuchsiapitch.RefusalReason(0)
		if outcome == fuchsiapitch.OutcomeNotRun {
			reason = rapid.SampledFrom([]fuchsiapitch.RefusalReason{fuchsiapitch.RefusedOverload, fuchsiapitch.RefusedNoReplica}).Draw(m.t, "reason")
		}
		m.apply(ForwardEnded{Request: e.Request, Attempt: e.Attempt, Host: e.Host.ID(), Outcome: outcome, Refusal: reason, TokensDelivered: tr.tokenOffset, HostUnreachable: unreachable})
	}
}

// endStaleAttempt reports the end of an attempt that is not the current one.
func (m *attemptMachine) endStaleAttempt() {
	if len(m.attemptNumbers) == 0 || len(m.requests) == 0 {
		return
	}
	id := rapid.SampledFrom(sortedKeys(m.requests)).Draw(m.t, "request")
	number := rapid.SampledFrom(m.attemptNumbers).Draw(m.t, "number")
	switch e := m.requests[id].openAttempt.(type) {
	case StartAttempt:
		if e.Attempt == number {
			return
		}
	case ForwardRequest:
		if e.Attempt == number {
			return
		}
	}
	for _, e := range m.apply(AttemptEnded{Request: id, Attempt: number, Outcome: fuchsiapitch.OutcomeSucceeded, TokensDelivered: 99}) {
		if d, ok := e.(RequestEffect); ok && d.RequestID() == id {
			if _, finished := e.(FinishRequest); finished {
				m.t.Fatalf("got %#v from a stale event", e)
			}
		}
	}
}

// changeFleet changes the replicas, or whether the other host is live.
func (m *attemptMachine) changeFleet() {
	switch rapid.IntRange(0, 2).Draw(m.t, "change") {
	case 0:
		m.apply(HeartbeatReceived{Heartbeat: gossiper.Heartbeat{Sender: peer, Sequence: uint64(m.now)}})
	case 1:
		m.apply(HeartbeatFailed{Host: peer.ID()})
	case 2:
		m.apply(FleetOverridden{Configuration: m.state.Configuration(), Replicas: newReplicas(rapid.IntRange(0, 3).Draw(m.t, "replicas"))})
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
		m := &attemptMachine{t: r, state: newTwoReplicaState(t), requests: make(map[fuchsiapitch.RequestID]*trackedRequest)}
		steps := rapid.IntRange(20, 120).Draw(r, "steps")
		for range steps {
			switch rapid.IntRange(0, 9).Draw(r, "step") {
			case 0, 1, 2:
				m.sendRequest()
			case 3, 4, 5, 6:
				m.endAttempt()
			case 7:
				m.endStaleAttempt()
			case 8:
				m.changeFleet()
			case 9:
				m.apply(Ticked{})
			}
		}
	})
}

func TestRetry(t *testing.T) {
	t.Run("a request is answered once one of all lost replicas comes back", func(t *testing.T) {
		s := newTwoReplicaState(t)
		effects := s.Apply(at(0), RequestReceived{Request: newChatRequest("r1", fuchsiapitch.WithIdempotentRequest())})
		for range 2 {
			start := requireStart(t, effects, 0)
			effects = s.Apply(at(0), AttemptEnded{Request: "r1", Attempt: start.Attempt, Outcome: fuchsiapitch.OutcomeNotRun, ReplicaUnreachable: true})
		}
		if len(effects) != 0 {
			t.Fatalf("got %v with every replica lost, want a back-off", effects)
		}
		s.nextHeartbeatAt = time.Hour
		requireStart(t, s.Apply(at(initialBackoff), Ticked{}), 0)
	})
	t.Run("a pause past the deadline starts nothing", func(t *testing.T) {
		s := newTwoReplicaState(t)
		s.Apply(at(0), FleetOverridden{Configuration: s.Configuration()})
		s.Apply(at(0), FleetOverridden{Configuration: s.Configuration(), Replicas: newReplicas(1)})
		for i := range 2 {
			s.Apply(at(0), RequestReceived{Request: newChatRequest(fuchsiapitch.RequestID(fmt.Sprint("r", i)))})
		}
		s.Apply(at(0), RequestReceived{Request: newChatRequest("late")})
		afterPause := fuchsiapitch.NewInstant(1, time.Unix(0, 0).Add(2*time.Minute))
		for _, e := range s.Apply(afterPause, AttemptEnded{Request: "r0", Attempt: 1, Outcome: fuchsiapitch.OutcomeSucceeded}) {
			if start, ok := e.(StartAttempt); ok {
				t.Errorf("got %v after the deadline on the wall clock", start)
			}
		}
	})
	t.Run("a call that may not be repeated is not preempted", func(t *testing.T) {
		s := newTwoReplicaState(t)
		requireStart(t, s.Apply(at(0), RequestReceived{Request: newChatRequest("r1")}), 0)
		s.effects = nil
		s.preempt("r1")
		requireEffect[ReportViolation](t, s.effects)
		for _, e := range s.effects {
			if p, ok := e.(PreemptAttempt); ok {
				t.Errorf("got %v", p)
			}
		}
	})
	t.Run("no retry without a budget", func(t *testing.T) {
		s := newTwoReplicaState(t)
		s.retryBudget = exhaustedBudget{}
		start := requireStart(t, s.Apply(at(0), RequestReceived{Request: newChatRequest("r1", fuchsiapitch.WithIdempotentRequest())}), 0)
		requireFinish(t, s.Apply(at(0), AttemptEnded{Request: "r1", Attempt: start.Attempt, Outcome: fuchsiapitch.OutcomeUnknown}), fuchsiapitch.OutcomeUnknown)
	})
}

type exhaustedBudget struct{}

func (exhaustedBudget) TakeRetry(fuchsiapitch.Instant, fuchsiapitch.ServiceName) bool { return false }
