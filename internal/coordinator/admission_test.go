package coordinator

import (
	"fmt"
	"testing"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// newCoordinatorWithReplicas returns a coordinator that knows n open groups of the large
// model. Each group accepts 28 requests: 26 for its slots and engineQueueDepth more.
func newCoordinatorWithReplicas(now time.Duration, n int) *Coordinator {
	c := New(Peer{ID: "a"}, 1, WithRetryBudget(0.2, 100, 10*time.Second))
	c.Apply(0, ConfigurationChanged{Routes: newDefaultRoutes()})
	var list []fuchsiapitch.ServerReport
	for i := range n {
		list = append(list, fuchsiapitch.ServerReport{
			ID: fuchsiapitch.ServerID(fmt.Sprintf("s%d", i)), Service: "llm", Slots: 26, StartedUnixMillis: 1, LoadedModels: []string{"large"},
			Membership: fuchsiapitch.Membership{Group: fuchsiapitch.GroupRef{Name: "g", Epoch: int64(i + 1)}, State: fuchsiapitch.MemberOpen},
		})
	}
	c.Apply(now, ServersListed{Servers: list})
	return c
}

func newArrival(now time.Duration, ticket Ticket) RequestArrived {
	return RequestArrived{
		Ticket: ticket, Service: "llm", Model: "large", InputTokens: 700, OutputTokens: 150,
		FirstByteBy: now + 400*time.Millisecond, Deadline: now + 8*time.Second,
	}
}

// decisionFor returns the server that a ticket was granted, or the reason for its
// refusal.
func decisionFor(effects []Effect, ticket Ticket) (fuchsiapitch.ServerID, RefusalReason) {
	for _, e := range effects {
		switch e := e.(type) {
		case Grant:
			if e.Ticket == ticket {
				return e.Server, 0
			}
		case Refuse:
			if e.Ticket == ticket {
				return "", e.Reason
			}
		}
	}
	return "", 0
}

func TestArrivals(t *testing.T) {
	now := 5 * time.Second
	t.Run("spread over the groups", func(t *testing.T) {
		c := newCoordinatorWithReplicas(now, 2)
		counts := make(map[fuchsiapitch.ServerID]int)
		for n := range Ticket(20) {
			s, _ := decisionFor(c.Apply(now, newArrival(now, n+1)), n+1)
			counts[s]++
		}
		if got, want := counts["s0"], 10; got != want {
			t.Errorf("got %d requests at the first group, want %d", got, want)
		}
	})
	t.Run("refused at once where nothing serves", func(t *testing.T) {
		c := newCoordinatorWithReplicas(now, 1)
		e := newArrival(now, 1)
		e.Model = "small"
		if _, got := decisionFor(c.Apply(now, e), 1); got != NoReplica {
			t.Errorf("got %s, want %s", got, NoReplica)
		}
	})
	t.Run("a stream that has begun waits for a group", func(t *testing.T) {
		c := newCoordinatorWithReplicas(now, 1)
		e := newArrival(now, 1)
		e.Model, e.Resumed, e.IsRetry = "small", true, true
		if _, got := decisionFor(c.Apply(now, e), 1); got != 0 {
			t.Fatalf("got refusal %s, want the request queued", got)
		}
		list := ServersListed{Servers: []fuchsiapitch.ServerReport{{
			ID: "s1", Service: "llm", Slots: 26, StartedUnixMillis: 1, LoadedModels: []string{"small"},
			Membership: fuchsiapitch.Membership{Group: fuchsiapitch.GroupRef{Name: "g", Epoch: 2}, State: fuchsiapitch.MemberOpen},
		}}}
		c.Apply(now+time.Second, list)
		if got, reason := decisionFor(c.Apply(now+time.Second, Ticked{}), 1); got != "s1" {
			t.Errorf("got %q and %s, want s1", got, reason)
		}
	})
	t.Run("a stream that has begun is refused at its deadline", func(t *testing.T) {
		c := newCoordinatorWithReplicas(now, 1)
		e := newArrival(now, 1)
		e.Model, e.Resumed, e.IsRetry = "small", true, true
		c.Apply(now, e)
		if _, got := decisionFor(c.Apply(e.Deadline, Ticked{}), 1); got == 0 {
			t.Error("got the request queued beyond its deadline, want a refusal")
		}
	})
	t.Run("refused at once where the wait is too long", func(t *testing.T) {
		c := newCoordinatorWithReplicas(now, 1)
		refused := 0
		// A quarter of the time to the deadline (lateWaitShare) suffices for sixty late
		// requests.
		for n := range Ticket(100) {
			if _, reason := decisionFor(c.Apply(now, newArrival(now, n+1)), n+1); reason == Overloaded {
				refused++
			}
		}
		if refused == 0 || refused > 100-28 {
			t.Errorf("got %d refused, want some, but none while slots are free", refused)
		}
	})
	t.Run("urgent first", func(t *testing.T) {
		c := newCoordinatorWithReplicas(now, 1)
		for n := range Ticket(28) {
			c.Apply(now, newArrival(now, n+1))
		}
		late, urgent := newArrival(now, 100), newArrival(now, 101)
		late.Rank, urgent.Rank = 2, 0
		c.Apply(now, late)
		c.Apply(now, urgent)
		effects := c.Apply(now+50*time.Millisecond, TicketReleased{Ticket: 1})
		if got, _ := decisionFor(effects, 101); got == "" {
			t.Error("got no slot for the urgent request, want one")
		}
	})
	t.Run("another server first after a failure", func(t *testing.T) {
		c := newCoordinatorWithReplicas(now, 2)
		e := newArrival(now, 1)
		e.FailedServers, e.IsRetry = []fuchsiapitch.ServerID{"s0"}, true
		if got, _ := decisionFor(c.Apply(now, e), 1); got != "s1" {
			t.Errorf("got %s, want s1", got)
		}
	})
	t.Run("one request at an unreachable server after its back-off", func(t *testing.T) {
		c := newCoordinatorWithReplicas(now, 2)
		s, _ := decisionFor(c.Apply(now, newArrival(now, 1)), 1)
		c.Apply(now, TicketReleased{Ticket: 1, Failed: true, Unreachable: true})
		later := now + minUnreachableBackOff + time.Millisecond
		tried := 0
		for n := range Ticket(6) {
			if got, _ := decisionFor(c.Apply(later, newArrival(later, n+2)), n+2); got == s {
				tried++
			}
		}
		if want := 1; tried != want {
			t.Errorf("got %d requests at the unreachable server, want %d", tried, want)
		}
	})
	t.Run("none at a server after a misdirected request", func(t *testing.T) {
		c := newCoordinatorWithReplicas(now, 1)
		c.Apply(now, newArrival(now, 1))
		c.Apply(now, TicketReleased{Ticket: 1, Failed: true, Misdirected: true})
		if got, reason := decisionFor(c.Apply(now, newArrival(now, 2)), 2); got != "" {
			t.Errorf("got %s, want none (%s)", got, reason)
		}
	})
	t.Run("none at a server after too many consecutive failures", func(t *testing.T) {
		c := newCoordinatorWithReplicas(now, 1)
		granted := 0
		for n := range Ticket(20) {
			if got, _ := decisionFor(c.Apply(now, newArrival(now, n+1)), n+1); got != "" {
				granted++
				c.Apply(now, TicketReleased{Ticket: n + 1, Failed: true})
			}
		}
		if got, want := granted, maxConsecutiveFailures; got != want {
			t.Errorf("got %d slots granted, want %d", got, want)
		}
	})
	t.Run("none at an unreachable server", func(t *testing.T) {
		c := newCoordinatorWithReplicas(now, 2)
		s, _ := decisionFor(c.Apply(now, newArrival(now, 1)), 1)
		c.Apply(now, TicketReleased{Ticket: 1, Failed: true, Unreachable: true})
		for n := range Ticket(5) {
			if got, _ := decisionFor(c.Apply(now, newArrival(now, n+2)), n+2); got == s {
				t.Errorf("got %s again, want the other one", got)
			}
		}
	})
}

// Guards against sending an engine that has just opened so many prompts at once that
// reading them pauses its streams for too long. The remaining prompts must follow as it
// reads.
func TestPromptsLimitedByMaxPause(t *testing.T) {
	now := 5 * time.Second
	c := newCoordinatorWithReplicas(now, 1)
	granted := make(map[Ticket]bool)
	recordGrants := func(effects []Effect) {
		for _, e := range effects {
			if g, ok := e.(Grant); ok {
				granted[g.Ticket] = true
			}
		}
	}
	for n := range Ticket(20) {
		e := newArrival(now, n+1)
		e.InputTokens, e.MaxPause, e.FirstByteBy = 1400, 250*time.Millisecond, now+time.Second
		recordGrants(c.Apply(now, e))
	}
	// A pass of six steps leaves 0.18 s to read at 56,000 tokens a second.
	if got, want := len(granted), 7; got != want {
		t.Errorf("got %d prompts at once, want %d", got, want)
	}
	now += 250 * time.Millisecond
	for ticket := range granted {
		c.Apply(now, ResponseStarted{Ticket: ticket})
	}
	recordGrants(c.Apply(now, Ticked{}))
	if got, want := len(granted), 14; got != want {
		t.Errorf("got %d prompts after the first were read, want %d", got, want)
	}
}

// A queued request that can no longer be in time must yield to one that can.
func TestRequestLateInQueueYields(t *testing.T) {
	now := 5 * time.Second
	c := newCoordinatorWithReplicas(now, 1)
	for n := range Ticket(28) {
		c.Apply(now, newArrival(now, n+1))
	}
	c.Apply(now, newArrival(now, 100))
	// The first bytes took 0.2 s, so request 100 is late: it has 0.12 s left when 101
	// arrives.
	for n := range Ticket(28) {
		c.Apply(now+200*time.Millisecond, ResponseStarted{Ticket: n + 1})
	}
	now += 280 * time.Millisecond
	c.Apply(now, newArrival(now, 101))
	if got, _ := decisionFor(c.Apply(now+10*time.Millisecond, TicketReleased{Ticket: 1}), 101); got == "" {
		t.Error("got no slot for the request that can be in time, want one")
	}
	if got, _ := decisionFor(c.Apply(now+20*time.Millisecond, TicketReleased{Ticket: 2}), 100); got == "" {
		t.Error("got no slot for the late request after it, want one")
	}
}

// A prompt that an engine has to read must reach other hosts in an early heartbeat.
func TestPromptTriggersEarlyHeartbeat(t *testing.T) {
	now := 5 * time.Second
	c := newCoordinatorWithReplicas(now, 1)
	c.Apply(now, HeartbeatReceived{Heartbeat: Heartbeat{From: Peer{ID: "b", Address: "b"}, Incarnation: 1}})
	c.Apply(now, Ticked{})
	e := newArrival(now, 1)
	e.InputTokens = earlyHeartbeatTokens
	b, ok := sentHeartbeat(c.Apply(now+10*time.Millisecond, e))
	if !ok || len(b.ServerLoads) != 1 || b.ServerLoads[0].UnreadTokens != earlyHeartbeatTokens {
		t.Errorf("got heartbeat %v with loads %v, want one that includes the prompt", ok, b.ServerLoads)
	}
}

// If a network partition separates this host from a group, the slots of the group's
// streams must be revoked so that the streams continue elsewhere.
func TestSlotAtSilentServerIsRevoked(t *testing.T) {
	now := 5 * time.Second
	c := newCoordinatorWithReplicas(now, 2)
	stream := newArrival(now, 1)
	stream.MayMove = true
	s, _ := decisionFor(c.Apply(now, stream), 1)
	c.Apply(now, ResponseStarted{Ticket: 1})
	c.Apply(now+revocationSilence/2, Ticked{LastByteTimes: map[fuchsiapitch.ServerID]time.Duration{s: now}})
	var revoked bool
	for _, e := range c.Apply(now+revocationSilence+time.Millisecond, Ticked{LastByteTimes: map[fuchsiapitch.ServerID]time.Duration{s: now}}) {
		if r, ok := e.(Revoke); ok && r.Ticket == 1 {
			revoked = true
		}
	}
	if !revoked {
		t.Error("got a request still in flight at a silent server, want its slot revoked")
	}
}

func TestRetryBudget(t *testing.T) {
	now := 5 * time.Second
	c := newCoordinatorWithReplicas(now, 4)
	allowed := 0
	for n := range Ticket(300) {
		e := newArrival(now, n+1)
		e.IsRetry = true
		if _, reason := decisionFor(c.Apply(now, e), n+1); reason != NoBudget {
			allowed++
		}
		c.Apply(now, TicketReleased{Ticket: n + 1})
	}
	if got, want := allowed, int(budgetFraction*100); got != want {
		t.Errorf("got %d retries, want %d", got, want)
	}
	e := newArrival(now+11*time.Second, 1000)
	e.IsRetry = true
	if _, reason := decisionFor(c.Apply(now+11*time.Second, e), 1000); reason == NoBudget {
		t.Error("got a retry refused in a new window, want it allowed")
	}
}

// A request that cannot be in time on arrival must yield to one that can.
func TestRequestLateOnArrivalYields(t *testing.T) {
	now := 5 * time.Second
	c := newCoordinatorWithReplicas(now, 1)
	for n := range Ticket(28) {
		c.Apply(now, newArrival(now, n+1))
	}
	late := newArrival(now, 100)
	late.ReturnedAfterRefusal, late.FirstByteBy = true, now
	c.Apply(now, late)
	c.Apply(now, newArrival(now, 101))
	if got, _ := decisionFor(c.Apply(now+20*time.Millisecond, TicketReleased{Ticket: 1}), 101); got == "" {
		t.Error("got no slot for the request that can be in time, want one")
	}
}

// A server that is leaving or off the list must get no new requests.
func TestLeavingOrUnlistedServersGetNoRequests(t *testing.T) {
	now := 5 * time.Second
	for name, change := range map[string]func([]fuchsiapitch.ServerReport) []fuchsiapitch.ServerReport{
		"leaving": func(l []fuchsiapitch.ServerReport) []fuchsiapitch.ServerReport {
			l[0].Leaving = true
			return l
		},
		"off the list": func(l []fuchsiapitch.ServerReport) []fuchsiapitch.ServerReport { return l[1:] },
	} {
		t.Run(name, func(t *testing.T) {
			c := newCoordinatorWithReplicas(now, 2)
			list := []fuchsiapitch.ServerReport{c.servers["s0"].report, c.servers["s1"].report}
			c.Apply(now, ServersListed{Servers: change(list)})
			for n := range Ticket(10) {
				if got, _ := decisionFor(c.Apply(now, newArrival(now, n+1)), n+1); got == "s0" {
					t.Fatal("got a slot at s0, want none")
				}
			}
		})
	}
}
