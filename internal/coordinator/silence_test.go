package coordinator

import (
	"fmt"
	"testing"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// silentStream is a stream of a host whose servers fall silent. Its host sends it again
// after a revocation, as the relayer does.
type silentStream struct {
	mayMove bool
	// attempts is the number of servers that it was sent to.
	attempts int
	server   fuchsiapitch.ServerID
	// brokenOff is true if its host has ended it.
	brokenOff bool
}

// silenceScenario runs streams at one group, of which a server falls silent.
type silenceScenario struct {
	*simulation
	streams    map[Ticket]*silentStream
	lastTicket Ticket
	leader     *simulatedEngine
	// lost counts the groups that the controller gives up.
	lost int
}

// newSilenceScenario returns a scenario with open groups, and streams at a group of the
// large model.
func newSilenceScenario(t *testing.T, streams int, mayMove bool, limits LimitsChanged) *silenceScenario {
	t.Helper()
	ss := &silenceScenario{simulation: newSimulation(1), streams: make(map[Ticket]*silentStream)}
	// A controller of time 0 does not count as having surveyed the servers.
	ss.run(simulationStep)
	ss.startController()
	ss.run(simulatedWarmUpTime)
	ss.onEffect = ss.record
	ss.lastByteTimes = ss.bytes
	ss.apply(0, limits)
	for range streams {
		ss.lastTicket++
		ss.streams[ss.lastTicket] = &silentStream{mayMove: mayMove}
		ss.apply(0, ss.arrival(ss.lastTicket))
	}
	for _, s := range ss.streams {
		if s.server == "" {
			t.Fatal("got a stream without a server, want all running")
		}
		ss.leader = ss.engines[s.server]
	}
	ss.runStreams(200 * time.Millisecond)
	return ss
}

func (ss *silenceScenario) arrival(t Ticket) RequestArrived {
	return RequestArrived{
		Ticket: t, Service: "llm", Model: "large", InputTokens: 100, MayMove: ss.streams[t].mayMove && ss.streams[t].attempts == 0,
		FirstByteBy: ss.now + 400*time.Millisecond, Deadline: ss.now + 20*time.Second,
	}
}

// runStreams advances the simulation by a duration. A leader that no longer serves breaks
// its streams off.
func (ss *silenceScenario) runStreams(d time.Duration) {
	for end := ss.now + d; ss.now < end; {
		ss.step()
		for _, t := range sortedKeys(ss.streams) {
			s := ss.streams[t]
			if e := ss.engines[s.server]; e != nil && !s.brokenOff && e.state != fuchsiapitch.MemberOpen && e.state != fuchsiapitch.MemberClosing && ss.isReachable(e) && ss.now >= e.silentUntil {
				ss.resend(t)
			}
		}
	}
}

// record processes the effects for the streams.
func (ss *silenceScenario) record(_ int, effect Effect) {
	switch e := effect.(type) {
	case Grant:
		s := ss.streams[e.Ticket]
		s.server = e.Server
		s.attempts++
		ss.pendingCalls = append(ss.pendingCalls, pendingCall{dueAt: ss.now + 50*time.Millisecond, coordinatorIndex: 0, event: func() Event { return ResponseStarted{Ticket: e.Ticket} }})
	case Refuse:
		ss.streams[e.Ticket].brokenOff = true
	case GroupLost:
		ss.lost++
	case Revoke:
		ss.pendingCalls = append(ss.pendingCalls, pendingCall{dueAt: ss.now + simulationStep, coordinatorIndex: -1, run: func() { ss.resend(e.Ticket) }})
	}
}

// resend sends a stream again after a revocation.
func (ss *silenceScenario) resend(t Ticket) {
	s, ok := ss.streams[t]
	if !ok {
		return
	}
	failedServer := s.server
	s.server = ""
	ss.apply(0, TicketReleased{Ticket: t, Failed: true})
	if !s.mayMove || s.attempts > 1 {
		s.brokenOff = true
		return
	}
	ss.lastTicket++
	delete(ss.streams, t)
	ss.streams[ss.lastTicket] = s
	again := ss.arrival(ss.lastTicket)
	again.IsRetry, again.Resumed, again.AvoidsFailedServers, again.FailedServers, again.PreviousTicket = true, true, true, []fuchsiapitch.ServerID{failedServer}, t
	ss.apply(0, again)
}

// bytes returns the times of the last bytes of the servers.
func (ss *silenceScenario) bytes() map[fuchsiapitch.ServerID]time.Duration {
	times := make(map[fuchsiapitch.ServerID]time.Duration)
	for _, s := range ss.streams {
		if e := ss.engines[s.server]; e != nil && ss.isReachable(e) && ss.now >= e.silentUntil && !ss.isMemberMissing(e) {
			times[s.server] = ss.now
		}
	}
	return times
}

// silence is one server of the group that falls silent for a time.
type silence struct {
	duration time.Duration
	isLeader bool
}

// name returns the name of a subtest.
func (s silence) name() string {
	if s.isLeader {
		return fmt.Sprintf("leader for %s", s.duration)
	}
	return fmt.Sprintf("member for %s", s.duration)
}

// begin makes the server silent.
func (s silence) begin(ss *silenceScenario) {
	id := ss.leader.members[1]
	if s.isLeader {
		id = ss.leader.id
	}
	ss.engines[id].silentUntil = ss.now + s.duration
}

// silences are those of a sound server, and one that lasts as long as the stall timeout.
func silences() []silence {
	var list []silence
	for _, d := range []time.Duration{500 * time.Millisecond, time.Second, 1500 * time.Millisecond, simulatedStallTimeout} {
		list = append(list, silence{duration: d, isLeader: true}, silence{duration: d})
	}
	return list
}

// Guards against a group that is taken apart, and streams that are ended, because a sound
// server is silent for a second or so. A group whose server is silent for the stall timeout
// is replaced before that.
func TestGroupOutlivesSilence(t *testing.T) {
	limits := LimitsChanged{StallTimeout: simulatedStallTimeout, RetryRatio: 0.2, RetrySlack: 100, RetryWindow: 10 * time.Second}
	for _, s := range silences() {
		t.Run(s.name(), func(t *testing.T) {
			ss := newSilenceScenario(t, 12, true, limits)
			group := ss.leader.group
			s.begin(ss)
			ss.runStreams(s.duration + 6*time.Second)
			assertNoViolations(t, ss.simulation)
			if got, want := ss.lost > 0, s.duration >= simulatedStallTimeout; got != want {
				t.Errorf("got the group given up: %v, want %v", got, want)
			}
			if got, want := ss.leader.group != group, s.duration >= simulatedStallTimeout; got != want {
				t.Errorf("got the group taken apart: %v, want %v", got, want)
			}
			assertNoneBrokenOff(t, ss)
		})
	}
}

func assertNoneBrokenOff(t *testing.T, ss *silenceScenario) {
	t.Helper()
	got := 0
	for _, s := range ss.streams {
		if s.brokenOff {
			got++
		}
	}
	if want := 0; got != want {
		t.Errorf("got %d of %d streams broken off, want %d", got, len(ss.streams), want)
	}
}
