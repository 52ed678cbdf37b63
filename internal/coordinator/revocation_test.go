package coordinator

import (
	"testing"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// Guards against streams that are ended because a sound server is silent for a second or
// so: their slots were revoked although they could not be sent to another server, by their
// kind, by the retry budget or for want of a free slot. They stay where they are.
func TestStreamsOutliveSilence(t *testing.T) {
	budget := LimitsChanged{StallTimeout: simulatedStallTimeout, RetryRatio: 0.2, RetrySlack: 100, RetryWindow: 10 * time.Second}
	noBudget := LimitsChanged{StallTimeout: simulatedStallTimeout, RetryRatio: 0, RetrySlack: 4 / budgetFraction, RetryWindow: 10 * time.Second}
	for _, tt := range []struct {
		name    string
		mayMove bool
		limits  LimitsChanged
		// othersFull is true if no other group has a free slot.
		othersFull bool
		// want is the highest number of streams that may move. Those that move while all
		// slots elsewhere are taken wait, and go on where the first slot becomes free.
		want int
	}{
		{name: "streams that may not move", limits: budget},
		{name: "a retry budget for four", mayMove: true, limits: noBudget, want: 4},
		{name: "no free slot elsewhere", mayMove: true, limits: budget, othersFull: true, want: 12},
	} {
		for _, s := range silences()[:6] {
			t.Run(tt.name+", "+s.name(), func(t *testing.T) {
				ss := newSilenceScenario(t, 12, tt.mayMove, tt.limits)
				if tt.othersFull {
					for _, r := range ss.coordinators[0].replicas {
						if r.server != ss.leader.id {
							r.inFlight = 2 * r.slots
						}
					}
				}
				s.begin(ss)
				ss.runStreams(s.duration + 6*time.Second)
				assertNoViolations(t, ss.simulation)
				assertNoneBrokenOff(t, ss)
				moved := 0
				for _, stream := range ss.streams {
					moved += stream.attempts - 1
				}
				if moved > tt.want {
					t.Errorf("got %d streams moved, want at most %d", moved, tt.want)
				}
			})
		}
	}
}

// Guards against a stream that is ended because its server accepts no connections for a second
// or so. A stream that may move leaves the server after revocationSilence, any other stays,
// since the server may go on, whether or not it can be connected to.
func TestStreamAtUnreachableServer(t *testing.T) {
	now := 5 * time.Second
	for _, isUnreachable := range []bool{false, true} {
		for _, mayMove := range []bool{false, true} {
			c := newCoordinatorWithReplicas(now, 2)
			stream, other := newArrival(now, 1), newArrival(now, 2)
			stream.MayMove = mayMove
			// Both go to the first server.
			stream.FailedServers, other.FailedServers = []fuchsiapitch.ServerID{"s1"}, []fuchsiapitch.ServerID{"s1"}
			c.Apply(now, stream)
			c.Apply(now, ResponseStarted{Ticket: 1})
			if got, _ := decisionFor(c.Apply(now, other), 2); got != "s0" {
				t.Fatalf("got the request at %q, want s0", got)
			}
			c.Apply(now, TicketReleased{Ticket: 2, Failed: true, Unreachable: isUnreachable})
			got := false
			for _, after := range []time.Duration{revocationSilence + time.Millisecond, clientPatience, 2 * clientPatience} {
				for _, e := range c.Apply(now+after, Ticked{}) {
					if r, ok := e.(Revoke); ok && r.Ticket == 1 {
						got = true
					}
				}
			}
			if want := mayMove; got != want {
				t.Errorf("got the slot revoked (unreachable %v, may move %v): %v, want %v", isUnreachable, mayMove, got, want)
			}
		}
	}
}

// Guards against a stream that is ended because the retry for which it was taken from its
// server has been used by another request in the meantime.
func TestRetryIsReservedAtRevocation(t *testing.T) {
	now := 5 * time.Second
	c := newCoordinatorWithReplicas(now, 2)
	c.Apply(now, LimitsChanged{StallTimeout: defaultStallTimeout, RetrySlack: 1 / budgetFraction, RetryWindow: 10 * time.Second})
	stream := newArrival(now, 1)
	stream.MayMove = true
	c.Apply(now, stream)
	c.Apply(now, ResponseStarted{Ticket: 1})
	now += revocationSilence + time.Millisecond
	c.Apply(now, Ticked{})
	c.Apply(now, TicketReleased{Ticket: 1, Failed: true})
	other := newArrival(now, 2)
	other.IsRetry = true
	if _, got := decisionFor(c.Apply(now, other), 2); got != NoBudget {
		t.Errorf("got %s for another retry, want %s", got, NoBudget)
	}
	again := newArrival(now, 3)
	again.IsRetry, again.Resumed, again.PreviousTicket = true, true, 1
	if got, reason := decisionFor(c.Apply(now, again), 3); got == "" {
		t.Errorf("got %s for the stream, want a slot", reason)
	}
	if got, want := len(c.reservedRetries), 0; got != want {
		t.Errorf("got %d reserved retries, want %d", got, want)
	}
}

// Guards against a stream that is ended because no slot becomes free elsewhere within a
// part of the time that it has: it waits until its deadline.
func TestResumedStreamWaitsForSlot(t *testing.T) {
	now := 5 * time.Second
	c := newCoordinatorWithReplicas(now, 1)
	for n := range Ticket(28) {
		c.Apply(now, newArrival(now, n+1))
	}
	stream := newArrival(now, 100)
	stream.IsRetry, stream.Resumed = true, true
	c.Apply(now, stream)
	later := now + 7*time.Second
	if got, reason := decisionFor(c.Apply(later, Ticked{}), 100); got != "" || reason != 0 {
		t.Fatalf("got %q and %s, want the stream queued", got, reason)
	}
	if got, reason := decisionFor(c.Apply(later, TicketReleased{Ticket: 1}), 100); got != "s0" {
		t.Errorf("got %q and %s, want s0", got, reason)
	}
}
