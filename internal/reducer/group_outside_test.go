package reducer

import (
	"fmt"
	"slices"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/grouper"
)

// sendRequest sends a client's request to a host.
func (sm *groupSimulation) sendRequest(n *simulatedNode) {
	sm.requestCount++
	sm.deliver(n, RequestReceived{Request: sm.newRequest(fuchsiapitch.RequestID(fmt.Sprintf("r%d", sm.requestCount)))})
}

func (sm *groupSimulation) newRequest(id fuchsiapitch.RequestID) fuchsiapitch.Request {
	return fuchsiapitch.NewRequest(id, "redactor", "customer", "counter",
		fuchsiapitch.WithTimeLimit(time.Minute), fuchsiapitch.WithIdempotentRequest(), fuchsiapitch.WithTokenStream())
}

// runAttempt runs a request. It is lost if the engine that it was sent to dies.
func (sm *groupSimulation) runAttempt(n *simulatedNode, generation int, e StartAttempt) {
	engine := sm.findEngine(e.Replica.Server().ID())
	progressed := AttemptProgressed{Request: e.Request, Attempt: e.Attempt, NewTokens: 1, Elapsed: time.Millisecond}
	sm.deliverAfter(n, generation, sm.randomDuration(0, 100*time.Millisecond), progressed)
	sm.schedule(sm.randomDuration(100*time.Millisecond, time.Second), func() {
		attemptEnded := AttemptEnded{Request: e.Request, Attempt: e.Attempt, Outcome: fuchsiapitch.OutcomeSucceeded, TokensDelivered: e.TokenOffset + 2}
		if engine.dead {
			attemptEnded.Outcome, attemptEnded.ReplicaUnreachable = fuchsiapitch.OutcomeUnknown, sm.rng.IntN(2) == 0
		}
		sm.deliverAfter(n, generation, 0, attemptEnded)
	})
}

// forward forwards a request to a dispatcher under another identifier, since its
// outcome there is not simulated.
func (sm *groupSimulation) forward(n *simulatedNode, generation int, e ForwardRequest) {
	i := slices.IndexFunc(sm.nodes, func(o *simulatedNode) bool { return o.host.ID() == e.Host.ID() })
	peer := sm.nodes[i]
	forwardEnded := ForwardEnded{Request: e.Request, Attempt: e.Attempt, Host: e.Host.ID(), Outcome: fuchsiapitch.OutcomeSucceeded, TokensDelivered: e.TokenOffset}
	if peer.dead || n.partitioned != peer.partitioned {
		forwardEnded.Outcome, forwardEnded.HostUnreachable = fuchsiapitch.OutcomeNotRun, true
	} else {
		sm.deliver(peer, ForwardedRequestReceived{Request: sm.newRequest(e.Request + "'"), From: n.host})
	}
	sm.deliverAfter(n, generation, sm.randomDuration(0, time.Second), forwardEnded)
}

func (sm *groupSimulation) sendHeartbeat(n *simulatedNode, generation int, e SendHeartbeat) {
	i := slices.IndexFunc(sm.nodes, func(o *simulatedNode) bool { return o.host.ID() == e.To.ID() })
	peer := sm.nodes[i]
	if peer.dead || n.partitioned != peer.partitioned {
		sm.deliverAfter(n, generation, 800*time.Millisecond, HeartbeatFailed{Host: e.To.ID()})
		return
	}
	peerGeneration := peer.generation
	sm.schedule(sm.randomDuration(0, 20*time.Millisecond), func() {
		sm.runOnNode(peer, peerGeneration, func() {
			sm.deliver(peer, HeartbeatReceived{Heartbeat: e.Heartbeat})
			sm.deliverAfter(n, generation, sm.randomDuration(0, 20*time.Millisecond), HeartbeatReceived{Heartbeat: peer.state.ComposeHeartbeat()})
		})
	})
}

func (sm *groupSimulation) findEngine(id fuchsiapitch.ServerID) *fakeEngine {
	return sm.engines[slices.IndexFunc(sm.engines, func(e *fakeEngine) bool { return e.server.ID() == id })]
}

func (e *fakeEngine) currentStatus(now time.Duration) fuchsiapitch.EngineStatus {
	var options []fuchsiapitch.EngineStatusOption
	if e.status.Assignment().Group() != "" && now >= e.readyAt {
		options = append(options, fuchsiapitch.WithReady())
	}
	if e.leaving {
		options = append(options, fuchsiapitch.WithEngineLeaving())
	}
	return fuchsiapitch.NewEngineStatus(e.server.ID(), e.incarnation, e.status.FencingToken(), e.status.Assignment(), options...)
}

func (sm *groupSimulation) probeServer(n *simulatedNode, generation int, e ProbeServer) {
	engine := sm.findEngine(e.Server.ID())
	sm.schedule(sm.randomDuration(0, 10*time.Millisecond), func() {
		if engine.dead {
			sm.deliverAfter(n, generation, sm.randomDuration(0, 800*time.Millisecond), ProbeFailed{Server: engine.server.ID()})
			return
		}
		sm.deliverAfter(n, generation, sm.randomDuration(0, 10*time.Millisecond), EngineStatusReceived{Status: engine.currentStatus(sm.now)})
	})
}

// sendOrder sends an order as the runner does: it checks both clocks
// immediately before sending. The order may arrive late, and the response may
// be lost.
func (sm *groupSimulation) sendOrder(n *simulatedNode, generation int, e SendOrder) {
	orderEnded := OrderEnded{Server: e.Server.ID(), FencingToken: e.Order.FencingToken(), Outcome: fuchsiapitch.OutcomeNotRun}
	now := n.instant(sm.now)
	if now.Monotonic() >= e.LeaseExpiry.Monotonic() || !now.Wall().Before(e.LeaseExpiry.Wall()) {
		sm.deliverAfter(n, generation, 0, orderEnded)
		return
	}
	term := e.Order.FencingToken().Term()
	if term < sm.highestTermSent {
		sm.fail("%s sent an order of term %d after one of term %d", n.host.ID(), term, sm.highestTermSent)
	}
	sm.highestTermSent = max(sm.highestTermSent, term)
	sm.orderCount++
	delay := sm.randomDuration(0, 10*time.Millisecond)
	if sm.delayOrders && sm.rng.IntN(3) == 0 {
		delay = sm.randomDuration(0, grouper.MaxOrderDelay)
	}
	sm.schedule(delay, func() { sm.executeOrder(n, generation, e, orderEnded) })
}

// executeOrder executes an order at its engine when it arrives there.
func (sm *groupSimulation) executeOrder(n *simulatedNode, generation int, e SendOrder, orderEnded OrderEnded) {
	engine := sm.findEngine(e.Server.ID())
	fence := e.Order.FencingToken()
	if !sm.fencing && fence.Term() < sm.highestTermSent {
		sm.fail("an order of term %d took effect after one of term %d was sent", fence.Term(), sm.highestTermSent)
	}
	orderEnded.Outcome = fuchsiapitch.OutcomeUnknown
	if engine.dead {
		sm.deliverAfter(n, generation, time.Second, orderEnded)
		return
	}
	if sm.fencing && fence.Less(engine.status.FencingToken()) {
		orderEnded.Outcome = fuchsiapitch.OutcomeFailed
		sm.deliverAfter(n, generation, 0, orderEnded)
		return
	}
	oldAssignment, newAssignment := engine.status.Assignment(), e.Order.Assignment()
	if oldAssignment.Model() != newAssignment.Model() || oldAssignment.Version() != newAssignment.Version() {
		engine.readyAt = sm.now + sm.randomDuration(0, maxModelLoadTime)
	}
	engine.status = fuchsiapitch.NewEngineStatus(engine.server.ID(), engine.incarnation, fence, newAssignment)
	if sm.rng.IntN(10) == 0 {
		sm.deliverAfter(n, generation, 2*time.Second, orderEnded)
		return
	}
	orderEnded.Outcome, orderEnded.EngineStatus = fuchsiapitch.OutcomeSucceeded, engine.currentStatus(sm.now)
	sm.deliverAfter(n, generation, sm.randomDuration(0, 10*time.Millisecond), orderEnded)
}

func (sm *groupSimulation) appendRecord(n *simulatedNode, generation int, e AppendRecord) {
	appendEnded := AppendEnded{Stream: e.Stream, Record: e.Record.ID(), Result: NotAppended}
	if sm.logUnavailable || n.logUnreachable {
		sm.deliverAfter(n, generation, sm.randomDuration(0, time.Second), appendEnded)
		return
	}
	delay := sm.randomDuration(0, 20*time.Millisecond)
	if sm.slowLog {
		delay = sm.randomDuration(0, 3*time.Second)
	}
	sm.schedule(delay, func() {
		sm.records = append(sm.records, e.Record.WithOffset(fuchsiapitch.Offset(len(sm.records)+1)))
		appendEnded.Result, appendEnded.Offset = Appended, fuchsiapitch.Offset(len(sm.records))
		if sm.rng.Float64() < sm.appendResponseLossRate {
			appendEnded.Result = MaybeAppended
		}
		sm.deliverAfter(n, generation, sm.randomDuration(0, 20*time.Millisecond), appendEnded)
	})
}

// serveLog starts the next read of every host. A host may be paused before the
// response arrives, and the response is late while the log is slow.
func (sm *groupSimulation) serveLog() {
	for _, n := range sm.nodes {
		if n.dead || n.paused || n.nextOffset == 0 || n.readInFlight {
			continue
		}
		stream, generation := n.state.groupStream(), n.generation
		if sm.logUnavailable || n.logUnreachable {
			sm.deliver(n, ReadFailed{Stream: stream})
			continue
		}
		from := min(int(n.nextOffset)-1, len(sm.records))
		batch := fuchsiapitch.NewBatch(slices.Clone(sm.records[from:]), 1, fuchsiapitch.Offset(len(sm.records)+1))
		delay := sm.randomDuration(0, 50*time.Millisecond)
		if sm.slowLog {
			delay = sm.randomDuration(0, 5*time.Second)
		}
		n.readInFlight = true
		sm.schedule(delay, func() {
			sm.runOnNode(n, generation, func() {
				n.readInFlight, n.nextOffset = false, batch.NextOffset()
				sm.deliver(n, RecordsRead{Stream: stream, Batch: batch})
			})
		})
	}
}

// listServers sends the platform's list of backend servers to every host.
func (sm *groupSimulation) listServers() {
	var servers []fuchsiapitch.BackendServer
	for _, e := range sm.engines {
		s := e.server
		if e.leaving {
			s = fuchsiapitch.NewBackendServer(s.ID(), s.Kind(), s.Address(), s.DataCentre(),
				fuchsiapitch.WithFabricDomain(s.FabricDomain()), fuchsiapitch.WithServerLeaving())
		}
		servers = append(servers, s)
	}
	for _, n := range sm.nodes {
		sm.deliver(n, ServersListed{Servers: servers})
	}
}
