package coordinator

import (
	"fmt"
	"testing"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// Guards against requests that are sent to a group until a member of it ends, although the
// member's entry was removed from the list two seconds before: such a member leaves if it says
// that it is not healthy. One that is merely off the list keeps its group.
func TestGroupRetiresWhenMemberLeavesWithoutDraining(t *testing.T) {
	limits := LimitsChanged{StallTimeout: simulatedStallTimeout, RetryRatio: 0.2, RetrySlack: 100, RetryWindow: 10 * time.Second}
	for _, unhealthy := range []bool{false, true} {
		for rank := range 2 {
			ss := newSilenceScenario(t, 12, false, limits)
			member := ss.engines[ss.leader.members[rank]]
			member.unlisted, member.unhealthy = true, unhealthy
			// The list is read within 0.8 s.
			ss.runStreams(time.Second)
			if got, want := ss.leader.state != fuchsiapitch.MemberOpen, unhealthy; got != want {
				t.Errorf("rank %d, unhealthy %v: got the group closed: %v, want %v", rank, unhealthy, got, want)
			}
			assertNoViolations(t, ss.simulation)
		}
	}
}

// Guards against a server that stays out of use after it has been off the list for a while and
// was not healthy: it is used again once it is listed.
func TestUnhealthyServerIsUsedOnceListed(t *testing.T) {
	ss := newSilenceScenario(t, 1, true, LimitsChanged{StallTimeout: simulatedStallTimeout})
	member := ss.engines[ss.leader.members[1]]
	member.unlisted, member.unhealthy = true, true
	ss.runStreams(time.Second)
	if !ss.coordinators[0].servers[member.id].isLeaving() {
		t.Error("got the server taken for sound, want it taken for leaving")
	}
	member.unlisted, member.unhealthy = false, false
	ss.runStreams(time.Second)
	if ss.coordinators[0].servers[member.id].isLeaving() {
		t.Error("got the server taken for leaving though it is listed, want it taken for sound")
	}
}

// Guards against servers that lie idle after the last request of their retired group has ended,
// until the list shows it seconds later: the controller follows the close of the leader.
func TestRetiredGroupIsReplacedSoon(t *testing.T) {
	for _, closeTime := range []time.Duration{300 * time.Millisecond, 1500 * time.Millisecond, 3 * time.Second} {
		ss := newSilenceScenario(t, 12, false, LimitsChanged{StallTimeout: simulatedStallTimeout})
		leader, group := ss.leader, ss.leader.group
		leader.closeTime = closeTime
		member := ss.engines[leader.members[1]]
		member.unlisted, member.unhealthy = true, true
		for leader.state == fuchsiapitch.MemberOpen {
			ss.run(simulationStep)
		}
		begin := ss.now
		for isPlanned := true; isPlanned && ss.now < begin+10*time.Second; _, isPlanned = ss.coordinators[0].groups[group] {
			ss.run(simulationStep)
		}
		if got, want := ss.now-begin, closeTime+simulatedReportLag+memberProbeInterval+100*time.Millisecond; got > want || got < closeTime {
			t.Errorf("got the group taken apart %s after the close, want between %s and %s", got, closeTime, want)
		}
		assertNoViolations(t, ss.simulation)
	}
}

// Guards against streams that are reset though they run, because a member of their group has
// stopped listening: a draining member remains while the leader has work. The group takes
// nothing new, and is taken apart once its streams have ended.
func TestStreamsOutliveMemberThatStopsListening(t *testing.T) {
	ss := newSilenceScenario(t, 12, false, LimitsChanged{StallTimeout: simulatedStallTimeout})
	leader, group := ss.leader, ss.leader.group
	leader.closeTime = 4 * time.Second
	member := ss.engines[leader.members[1]]
	// The members still reach it.
	member.unlisted, member.unreachableUntil = true, ss.now+time.Minute
	ss.runStreams(3500 * time.Millisecond)
	assertNoneBrokenOff(t, ss)
	if got := leader.state; leader.group != group || got == fuchsiapitch.MemberOpen {
		t.Errorf("got the leader %s in %v, want it closing or ready in %v", got, leader.group, group)
	}
	if isOpenTo(ss, leader.id) {
		t.Error("got the group open to new requests, want it closed")
	}
	for _, ticket := range sortedKeys(ss.streams) {
		ss.apply(0, TicketReleased{Ticket: ticket})
		delete(ss.streams, ticket)
	}
	ss.run(3 * time.Second)
	if _, isPlanned := ss.coordinators[0].groups[group]; isPlanned {
		t.Error("got the group kept after its streams have ended, want it taken apart")
	}
	assertNoViolations(t, ss.simulation)
}

// Guards against streams that wait until the engine gives up, or for 1.5 s, at a retired group
// of which a member has ended: its leader is told to leave once they are silent.
func TestStalledStreamsLeaveRetiredGroup(t *testing.T) {
	limits := LimitsChanged{StallTimeout: simulatedStallTimeout, RetryRatio: 0.2, RetrySlack: 100, RetryWindow: 10 * time.Second}
	ss := newSilenceScenario(t, 12, true, limits)
	leader, group := ss.leader, ss.leader.group
	leader.closeTime = 5 * time.Second
	member := ss.engines[leader.members[1]]
	member.unlisted, member.unhealthy = true, true
	ss.runStreams(time.Second)
	if got, want := leader.state, fuchsiapitch.MemberClosing; got != want {
		t.Fatalf("got the leader %s, want %s", got, want)
	}
	member.dead = true
	ss.runStreams(time.Second)
	if leader.group == group && leader.state == fuchsiapitch.MemberClosing {
		t.Error("got the leader closing a second after the end of a member, want it to have left")
	}
	assertNoneBrokenOff(t, ss)
	for _, s := range ss.streams {
		if s.server == leader.id {
			t.Error("got a stream at the leader a second after the end of a member, want it to have moved")
		}
	}
	assertNoViolations(t, ss.simulation)
}

// Guards against a server in two groups, or a group without a member, because groups are kept
// or closed for the sake of their requests while servers leave, fall silent and end.
func TestGroupsWithRequestsUnderTrouble(t *testing.T) {
	for seed := range seedCount(t) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			sm := newSimulation(seed)
			sm.run(simulationStep)
			sm.startController()
			sm.run(6 * time.Second)
			sm.onEffect = func(n int, e Effect) {
				if r, ok := e.(Revoke); ok {
					sm.pendingCalls = append(sm.pendingCalls, pendingCall{dueAt: sm.now + simulationStep, coordinatorIndex: n, event: func() Event { return TicketReleased{Ticket: r.Ticket, Failed: true} }})
				}
			}
			sm.lastByteTimes = func() map[fuchsiapitch.ServerID]time.Duration {
				times := make(map[fuchsiapitch.ServerID]time.Duration)
				for id, e := range sm.engines {
					if (e.state == fuchsiapitch.MemberOpen || e.state == fuchsiapitch.MemberClosing) && sm.isReachable(e) && sm.now >= e.silentUntil && !sm.isMemberMissing(e) {
						times[id] = sm.now
					}
				}
				return times
			}
			lastTicket := Ticket(0)
			for range 12 {
				for n, c := range sm.coordinators {
					if c == nil {
						continue
					}
					for range 8 {
						lastTicket++
						sm.apply(n, RequestArrived{
							Ticket: lastTicket, Service: "llm", Model: []string{"large", "small"}[sm.rng.IntN(2)], InputTokens: 100, MayMove: sm.rng.IntN(2) == 0,
							FirstByteBy: sm.now + 400*time.Millisecond, Deadline: sm.now + 8*time.Second,
						})
						sm.apply(n, ResponseStarted{Ticket: lastTicket})
						duration, ticket := time.Duration(sm.rng.Int64N(int64(5*time.Second))), lastTicket
						sm.pendingCalls = append(sm.pendingCalls, pendingCall{dueAt: sm.now + duration, coordinatorIndex: n, event: func() Event { return TicketReleased{Ticket: ticket} }})
					}
				}
				sm.injectDeparture()
				sm.injectFault()
				sm.run(time.Duration(sm.rng.Int64N(int64(4 * time.Second))))
			}
			assertNoViolations(t, sm)
		})
	}
}

// injectDeparture lets a random engine leave without draining: it ends 2 to 4 s later, or
// returns to the list. A close takes up to 4 s from then on.
func (sm *simulation) injectDeparture() {
	for _, id := range sm.engineOrder {
		e := sm.engines[id]
		e.closeTime = time.Duration(sm.rng.Int64N(int64(4 * time.Second)))
	}
	e := sm.engines[sm.engineOrder[sm.rng.IntN(len(sm.engineOrder))]]
	e.unlisted, e.unhealthy = true, true
	ends := sm.rng.IntN(3) > 0
	sm.pendingCalls = append(sm.pendingCalls, pendingCall{dueAt: sm.now + 2*time.Second + time.Duration(sm.rng.Int64N(int64(2*time.Second))), coordinatorIndex: -1, run: func() {
		if ends {
			e.dead = true
		}
		e.unlisted, e.unhealthy = false, false
	}})
}

// Guards against streams that wait for a server that has started again: it has certainly ended
// them, whether or not they can go on elsewhere. Those at a server that is merely silent stay.
func TestStreamsOfRestartedServerEnd(t *testing.T) {
	limits := LimitsChanged{StallTimeout: simulatedStallTimeout, RetryRatio: 0.2, RetrySlack: 100, RetryWindow: 10 * time.Second}
	for _, restarts := range []bool{false, true} {
		ss := newSilenceScenario(t, 12, false, limits)
		want, revoked := 0, 0
		for _, s := range ss.streams {
			if restarts && s.server == ss.leader.id {
				want++
			}
		}
		ss.onEffect = func(_ int, e Effect) {
			if _, ok := e.(Revoke); ok {
				revoked++
			}
		}
		// The connections stay open without a byte.
		ss.lastByteTimes = func() map[fuchsiapitch.ServerID]time.Duration {
			times := ss.bytes()
			delete(times, ss.leader.id)
			return times
		}
		if restarts {
			ss.restart(ss.leader)
		} else {
			ss.leader.silentUntil = ss.now + 1200*time.Millisecond
		}
		ss.run(1200 * time.Millisecond)
		if got := revoked; got != want {
			t.Errorf("restarts %v: got %d streams revoked, want %d", restarts, got, want)
		}
		assertNoViolations(t, ss.simulation)
	}
}
