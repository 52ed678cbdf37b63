package coordinator

import (
	"fmt"
	"testing"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// clientPatience is the time without an event after which clients abandon a stream.
const clientPatience = 2 * time.Second

// outage is a silence of some servers of a group at once.
type outage struct {
	duration time.Duration
	// ranks are the silent members, 0 for the leader.
	ranks []int
	// acceptsConnections is true if only the processes stand still.
	acceptsConnections bool
}

func (o outage) name() string {
	return fmt.Sprintf("ranks %v for %s, connections accepted %v", o.ranks, o.duration, o.acceptsConnections)
}

func (o outage) begin(ss *silenceScenario) {
	for _, r := range o.ranks {
		e := ss.engines[ss.leader.members[r]]
		if o.acceptsConnections {
			e.silentUntil = ss.now + o.duration
		} else {
			e.isolatedUntil = ss.now + o.duration
		}
	}
}

// outages are silences that a sound server may have, until after clients leave.
func outages() []outage {
	var list []outage
	for _, d := range []time.Duration{500 * time.Millisecond, time.Second, 1400 * time.Millisecond, 1600 * time.Millisecond, 1900 * time.Millisecond, clientPatience} {
		for _, ranks := range [][]int{{0}, {1}, {0, 1}, {1, 2, 3}} {
			for _, accepts := range []bool{false, true} {
				list = append(list, outage{duration: d, ranks: ranks, acceptsConnections: accepts})
			}
		}
	}
	return list
}

// abandonSilent releases the streams whose clients have got no event for clientPatience, and
// returns how many there are.
func (ss *silenceScenario) abandonSilent(silentSince time.Duration) int {
	abandoned := 0
	for _, t := range sortedKeys(ss.streams) {
		s := ss.streams[t]
		if s.brokenOff || ss.now-silentSince < clientPatience || ss.bytes()[s.server] == ss.now {
			continue
		}
		delete(ss.streams, t)
		ss.apply(0, TicketReleased{Ticket: t})
		abandoned++
	}
	return abandoned
}

// Guards against a stream that is broken off because servers of its group, which are sound, do
// not respond for up to two seconds, whether or not they accept connections, although it cannot
// go on elsewhere: it has no attempt left, or no retry is free. Only its client ends it.
func TestStreamsWithoutAttemptOutliveOutage(t *testing.T) {
	budget := LimitsChanged{StallTimeout: simulatedStallTimeout, RetryRatio: 0.2, RetrySlack: 100, RetryWindow: 10 * time.Second}
	noBudget := LimitsChanged{StallTimeout: simulatedStallTimeout, RetryRatio: 0, RetrySlack: 4 / budgetFraction, RetryWindow: 10 * time.Second}
	for _, tt := range []struct {
		name    string
		mayMove bool
		limits  LimitsChanged
	}{
		{name: "no attempt left", limits: budget},
		{name: "a retry budget for four", mayMove: true, limits: noBudget},
	} {
		for _, o := range outages() {
			t.Run(tt.name+", "+o.name(), func(t *testing.T) {
				ss := newSilenceScenario(t, 12, tt.mayMove, tt.limits)
				o.begin(ss)
				begin, abandoned := ss.now, 0
				for ss.now <= begin+o.duration {
					ss.runStreams(simulationStep)
					abandoned += ss.abandonSilent(begin)
				}
				ss.runStreams(6 * time.Second)
				assertNoViolations(t, ss.simulation)
				assertNoneBrokenOff(t, ss)
				if o.duration < clientPatience && abandoned > 0 {
					t.Errorf("got %d streams abandoned within %s, want none", abandoned, o.duration)
				}
			})
		}
	}
}

// Guards against groups that are given up later than needed: one whose streams can all go on
// elsewhere is replaced as soon as a member counts as lost, and one with streams that cannot
// once their clients have left.
func TestDeadGroupIsReplacedSoon(t *testing.T) {
	limits := LimitsChanged{StallTimeout: simulatedStallTimeout, RetryRatio: 0.2, RetrySlack: 100, RetryWindow: 10 * time.Second}
	for _, tt := range []struct {
		name    string
		mayMove bool
		rank    int
		// want is the longest time until the group is given up.
		want time.Duration
	}{
		{name: "leader, all streams may move", mayMove: true, want: time.Second},
		{name: "member, all streams may move", mayMove: true, rank: 1, want: time.Second},
		{name: "leader, no stream may move", want: clientPatience + 100*time.Millisecond},
		{name: "member, no stream may move", rank: 1, want: clientPatience + 100*time.Millisecond},
	} {
		t.Run(tt.name, func(t *testing.T) {
			ss := newSilenceScenario(t, 12, tt.mayMove, limits)
			ss.engines[ss.leader.members[tt.rank]].dead = true
			begin, group := ss.now, ss.leader.group
			for isPlanned := true; isPlanned && ss.now < begin+10*time.Second; _, isPlanned = ss.coordinators[0].groups[group] {
				ss.runStreams(simulationStep)
				ss.abandonSilent(begin)
			}
			if got := ss.now - begin; got > tt.want {
				t.Errorf("got the group given up after %s, want at most %s", got, tt.want)
			}
			ss.runStreams(6 * time.Second)
			assertNoViolations(t, ss.simulation)
		})
	}
}

// Guards against a group that stays closed to new requests after a silence of one of its
// servers through which it was kept.
func TestGroupServesAfterOutage(t *testing.T) {
	limits := LimitsChanged{StallTimeout: simulatedStallTimeout, RetryRatio: 0.2, RetrySlack: 100, RetryWindow: 10 * time.Second}
	for _, rank := range []int{0, 1} {
		ss := newSilenceScenario(t, 12, false, limits)
		group := ss.leader.group
		outage{duration: 1400 * time.Millisecond, ranks: []int{rank}}.begin(ss)
		ss.runStreams(1300 * time.Millisecond)
		if isOpenTo(ss, ss.leader.id) {
			t.Errorf("rank %d: got the group open to new requests while a server does not respond, want it closed", rank)
		}
		ss.runStreams(600 * time.Millisecond)
		if got := ss.leader.group; got != group || !isOpenTo(ss, ss.leader.id) {
			t.Errorf("rank %d: got group %v, open %v, want %v, open", rank, got, isOpenTo(ss, ss.leader.id), group)
		}
	}
}

func isOpenTo(ss *silenceScenario, id fuchsiapitch.ServerID) bool {
	r, ok := ss.coordinators[0].replicas[id]
	return ok && r.open
}

// Guards against streams that wait at a group that is kept for others: those that can go on
// elsewhere do so as soon as a member counts as lost.
func TestMovableStreamsLeaveKeptGroup(t *testing.T) {
	limits := LimitsChanged{StallTimeout: simulatedStallTimeout, RetryRatio: 0.2, RetrySlack: 100, RetryWindow: 10 * time.Second}
	for rank := range 2 {
		ss := newSilenceScenario(t, 12, false, limits)
		atLeader, movable := 0, 0
		for _, ticket := range sortedKeys(ss.streams) {
			s := ss.streams[ticket]
			if s.server != ss.leader.id {
				continue
			}
			if atLeader++; atLeader%2 == 0 {
				s.mayMove, ss.coordinators[0].assignments[ticket].mayMove = true, true
				movable++
			}
		}
		outage{duration: 1800 * time.Millisecond, ranks: []int{rank}}.begin(ss)
		ss.runStreams(time.Second)
		moved := 0
		for _, s := range ss.streams {
			moved += s.attempts - 1
		}
		if got, want := moved, movable; got != want || want == 0 {
			t.Errorf("rank %d: got %d of %d streams moved, want %d, more than 0", rank, got, atLeader, want)
		}
		ss.runStreams(2 * time.Second)
		assertNoneBrokenOff(t, ss)
		assertNoViolations(t, ss.simulation)
	}
}

// Guards against a controller that takes the group of another host's stream apart because it
// has not heard that the stream cannot go on elsewhere: heartbeats and digests tell it.
func TestHeartbeatsTellPinnedRequests(t *testing.T) {
	now := 5 * time.Second
	for retries, want := range map[float64]int{0: 3, 1: 2, 4: 1} {
		c := newCoordinatorWithReplicas(now, 2)
		c.Apply(now, LimitsChanged{StallTimeout: defaultStallTimeout, RetrySlack: retries / budgetFraction, RetryWindow: 10 * time.Second})
		for n := range Ticket(3) {
			e := newArrival(now, n+1)
			e.MayMove, e.FailedServers = n > 0, []fuchsiapitch.ServerID{"s1"}
			c.Apply(now, e)
		}
		loads := c.serverLoads(now)
		if len(loads) != 1 || loads[0].Pinned != want {
			t.Errorf("got loads %+v with %g retries, want %d pinned", loads, retries, want)
		}
		var d Digest
		for range 2 {
			d.add(Digest{Sender: Heartbeat{ServerLoads: loads}}, 0)
		}
		d.merge()
		c.addLoads(d.Sender, now, 1)
		c.addLoads(Heartbeat{ServerLoads: loads}, now, -1)
		if got := c.replicas[loads[0].Server].remotePinned; got != want {
			t.Errorf("got %d pinned at other hosts, want %d", got, want)
		}
	}
}

// Guards against a controller that forgets the requests of other hosts at a group once it has none
// of its own there and the group takes no new ones: it would take the group apart, or not notice
// that they stall.
func TestControllerKnowsRequestsOfOthersAtClosedGroup(t *testing.T) {
	for _, pinned := range []int{0, 1} {
		ss := newSilenceScenario(t, 12, false, LimitsChanged{StallTimeout: simulatedStallTimeout})
		leader, group := ss.leader, ss.leader.group
		leader.closeTime = 10 * time.Second
		if pinned == 0 {
			ss.engines[leader.members[2]].unlisted, ss.engines[leader.members[2]].unhealthy = true, true
			ss.runStreams(time.Second)
		}
		for _, ticket := range sortedKeys(ss.streams) {
			if pinned > 0 {
				// The streams of the controller move once the member counts as lost.
				ss.streams[ticket].mayMove, ss.coordinators[0].assignments[ticket].mayMove = true, true
				continue
			}
			ss.apply(0, TicketReleased{Ticket: ticket})
			delete(ss.streams, ticket)
		}
		outage{duration: 10 * time.Second, ranks: []int{1}}.begin(ss)
		begin := ss.now
		for ss.now < begin+1400*time.Millisecond {
			ss.apply(0, HeartbeatReceived{Heartbeat{From: Peer{ID: "other"}, Incarnation: 1, Sequence: uint64(ss.now), ServerLoads: []ServerLoad{{Server: leader.id, InFlight: 2, Pinned: pinned, SilentFor: ss.now - begin}}}})
			ss.run(100 * time.Millisecond)
		}
		if _, got := ss.coordinators[0].groups[group]; got != (pinned > 0) {
			t.Errorf("%d pinned: got the group kept for 1.4 s: %v, want %v", pinned, got, pinned > 0)
		}
	}
}

// Guards against streams that are taken from their servers, and wait in vain for another, because
// all groups of their model are silent at once for a second or so: they can go on nowhere else.
func TestStreamsOutliveSilenceOfAllGroups(t *testing.T) {
	limits := LimitsChanged{StallTimeout: simulatedStallTimeout, RetryRatio: 0.2, RetrySlack: 100, RetryWindow: 10 * time.Second}
	for _, accepts := range []bool{false, true} {
		for _, d := range []time.Duration{500 * time.Millisecond, time.Second, 1400 * time.Millisecond, 1900 * time.Millisecond} {
			t.Run(outage{duration: d, acceptsConnections: accepts}.name(), func(t *testing.T) {
				ss := newSilenceScenario(t, 12, true, limits)
				for _, s := range ss.streams {
					ss.leader = ss.engines[s.server]
					outage{duration: d, ranks: []int{0}, acceptsConnections: accepts}.begin(ss)
				}
				begin := ss.now
				ss.runStreams(d + 100*time.Millisecond)
				for _, s := range ss.streams {
					if ss.bytes()[s.server] != ss.now {
						t.Errorf("got a stream without a byte %s after the begin of the silence, want it to go on", ss.now-begin)
					}
				}
				ss.runStreams(4 * time.Second)
				assertNoneBrokenOff(t, ss)
				assertNoViolations(t, ss.simulation)
			})
		}
	}
}

// Guards against a controller that takes a group apart because it has no request of its own there,
// though requests of other hosts run at it that cannot go on elsewhere: its own requests have moved
// since the group was closed to new ones.
func TestGroupIsKeptForRequestsOfOtherHosts(t *testing.T) {
	limits := LimitsChanged{StallTimeout: simulatedStallTimeout, RetryRatio: 0.2, RetrySlack: 100, RetryWindow: 10 * time.Second}
	for rank := range 2 {
		ss := newSilenceScenario(t, 12, true, limits)
		leader, group := ss.leader.id, ss.leader.group
		begin := ss.now
		outage{duration: 1400 * time.Millisecond, ranks: []int{rank}}.begin(ss)
		for sequence := uint64(1); ss.now < begin+1300*time.Millisecond; sequence++ {
			ss.apply(0, HeartbeatReceived{Heartbeat: Heartbeat{
				From: Peer{ID: "other"}, Incarnation: 1, Sequence: sequence, ServerLoads: []ServerLoad{{Server: leader, InFlight: 3, Pinned: 3, SilentFor: ss.now - begin}},
			}})
			ss.runStreams(minHeartbeatInterval)
		}
		for _, s := range ss.streams {
			if s.server == leader {
				t.Errorf("rank %d: got a stream at the leader, want all moved that can", rank)
			}
		}
		if _, isKept := ss.coordinators[0].groups[group]; !isKept || ss.leader.state != fuchsiapitch.MemberOpen {
			t.Errorf("rank %d: got the group kept: %v, its leader %s, want it open", rank, isKept, ss.leader.state)
		}
		assertNoViolations(t, ss.simulation)
	}
}

// Guards against a controller that takes over, as at a stop of the one before, and takes a group
// apart whose leader or member has just fallen silent: it has not found the group open itself,
// though the list and the requests of other hosts say so.
func TestNewControllerKeepsGroupOfSilentServer(t *testing.T) {
	for rank := range 2 {
		ss := newSilenceScenario(t, 12, false, LimitsChanged{StallTimeout: simulatedStallTimeout})
		leader, group := ss.leader.id, ss.leader.group
		begin := ss.now
		outage{duration: 1400 * time.Millisecond, ranks: []int{rank}}.begin(ss)
		ss.run(50 * time.Millisecond)
		ss.coordinators[0] = nil
		ss.startController()
		ss.apply(1, ServersListed{Servers: ss.serverList()})
		for sequence := uint64(1); ss.now < begin+1300*time.Millisecond; sequence++ {
			ss.apply(1, HeartbeatReceived{Heartbeat: Heartbeat{
				From: Peer{ID: "other"}, Incarnation: 1, Sequence: sequence, ServerLoads: []ServerLoad{{Server: leader, InFlight: 3, Pinned: 3, SilentFor: ss.now - begin}},
			}})
			ss.run(minHeartbeatInterval)
		}
		if _, isKept := ss.coordinators[1].groups[group]; !isKept || ss.leader.state != fuchsiapitch.MemberOpen {
			t.Errorf("rank %d: got the group kept: %v, its leader %s, want it open", rank, isKept, ss.leader.state)
		}
		assertNoViolations(t, ss.simulation)
	}
}
