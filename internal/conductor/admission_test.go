package conductor

import (
	"fmt"
	"testing"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// newStations returns a conductor with open leaders of the large model.
func newStations(now time.Duration, n int) *Conductor {
	c := New(Peer{ID: "a"}, 1, WithRetryBudget(0.2, 100, 10*time.Second))
	c.Apply(0, Configured{Table: worldTable()})
	var list []fuchsiapitch.ServerReport
	for i := range n {
		list = append(list, fuchsiapitch.ServerReport{
			ID: fuchsiapitch.ServerID(fmt.Sprintf("s%d", i)), Service: "llm", Slots: 26, Started: 1, Loaded: []string{"large"},
			Membership: fuchsiapitch.Membership{Group: fuchsiapitch.GroupRef{Name: "g", Epoch: int64(i + 1)}, State: fuchsiapitch.MemberOpen},
		})
	}
	c.Apply(now, ServersListed{Servers: list})
	return c
}

func arrival(now time.Duration, ticket Ticket) Arrived {
	return Arrived{
		Ticket: ticket, Service: "llm", Model: "large", Prompt: 700, Output: 150,
		InTime: now + 400*time.Millisecond, Deadline: now + 8*time.Second,
	}
}

// answerTo returns the server that a ticket was granted, or why it was refused.
func answerTo(effects []Effect, ticket Ticket) (fuchsiapitch.ServerID, Reason) {
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
		c := newStations(now, 2)
		counts := make(map[fuchsiapitch.ServerID]int)
		for n := range Ticket(20) {
			s, _ := answerTo(c.Apply(now, arrival(now, n+1)), n+1)
			counts[s]++
		}
		if got, want := counts["s0"], 10; got != want {
			t.Errorf("got %d at the first group, want %d", got, want)
		}
	})
	t.Run("refused at once where nothing serves", func(t *testing.T) {
		c := newStations(now, 1)
		e := arrival(now, 1)
		e.Model = "small"
		if _, got := answerTo(c.Apply(now, e), 1); got != NoReplica {
			t.Errorf("got %s, want %s", got, NoReplica)
		}
	})
	t.Run("a stream that has begun waits for a group", func(t *testing.T) {
		c := newStations(now, 1)
		e := arrival(now, 1)
		e.Model, e.Resumed, e.Repeat = "small", true, true
		if _, got := answerTo(c.Apply(now, e), 1); got != 0 {
			t.Fatalf("got %s, want a wait", got)
		}
		list := ServersListed{Servers: []fuchsiapitch.ServerReport{{
			ID: "s1", Service: "llm", Slots: 26, Started: 1, Loaded: []string{"small"},
			Membership: fuchsiapitch.Membership{Group: fuchsiapitch.GroupRef{Name: "g", Epoch: 2}, State: fuchsiapitch.MemberOpen},
		}}}
		c.Apply(now+time.Second, list)
		if got, reason := answerTo(c.Apply(now+time.Second, Ticked{}), 1); got != "s1" {
			t.Errorf("got %q and %s, want s1", got, reason)
		}
	})
	t.Run("a stream that has begun does not wait for ever", func(t *testing.T) {
		c := newStations(now, 1)
		e := arrival(now, 1)
		e.Model, e.Resumed, e.Repeat = "small", true, true
		c.Apply(now, e)
		if _, got := answerTo(c.Apply(e.Deadline, Ticked{}), 1); got == 0 {
			t.Error("got a wait beyond the time limit, want a refusal")
		}
	})
	t.Run("refused at once where the wait is too long", func(t *testing.T) {
		c := newStations(now, 1)
		refused := 0
		// Sixty late ones are as much as a quarter of the time limit is enough for.
		for n := range Ticket(100) {
			if _, reason := answerTo(c.Apply(now, arrival(now, n+1)), n+1); reason == Overloaded {
				refused++
			}
		}
		if refused == 0 || refused > 100-28 {
			t.Errorf("got %d refused, want some, and none while places are free", refused)
		}
	})
	t.Run("urgent first", func(t *testing.T) {
		c := newStations(now, 1)
		for n := range Ticket(28) {
			c.Apply(now, arrival(now, n+1))
		}
		late, urgent := arrival(now, 100), arrival(now, 101)
		late.Rank, urgent.Rank = 2, 0
		c.Apply(now, late)
		c.Apply(now, urgent)
		effects := c.Apply(now+50*time.Millisecond, Ended{Ticket: 1})
		if got, _ := answerTo(effects, 101); got == "" {
			t.Error("got no place for the urgent request, want one")
		}
	})
	t.Run("another server first after a failure", func(t *testing.T) {
		c := newStations(now, 2)
		e := arrival(now, 1)
		e.Avoid, e.Repeat = []fuchsiapitch.ServerID{"s0"}, true
		if got, _ := answerTo(c.Apply(now, e), 1); got != "s1" {
			t.Errorf("got %s, want s1", got)
		}
	})
	t.Run("one at a time that could not be connected to", func(t *testing.T) {
		c := newStations(now, 2)
		s, _ := answerTo(c.Apply(now, arrival(now, 1)), 1)
		c.Apply(now, Ended{Ticket: 1, Failed: true, Unreached: true})
		later := now + firstUnreached + time.Millisecond
		tried := 0
		for n := range Ticket(6) {
			if got, _ := answerTo(c.Apply(later, arrival(later, n+2)), n+2); got == s {
				tried++
			}
		}
		if want := 1; tried != want {
			t.Errorf("got %d requests at once, want %d", tried, want)
		}
	})
	t.Run("none at a server that is not what it was taken for", func(t *testing.T) {
		c := newStations(now, 1)
		c.Apply(now, arrival(now, 1))
		c.Apply(now, Ended{Ticket: 1, Failed: true, Misdirected: true})
		if got, reason := answerTo(c.Apply(now, arrival(now, 2)), 2); got != "" {
			t.Errorf("got %s, want none (%s)", got, reason)
		}
	})
	t.Run("none for a while at a server that fails all", func(t *testing.T) {
		c := newStations(now, 1)
		granted := 0
		for n := range Ticket(20) {
			if got, _ := answerTo(c.Apply(now, arrival(now, n+1)), n+1); got != "" {
				granted++
				c.Apply(now, Ended{Ticket: n + 1, Failed: true})
			}
		}
		if got, want := granted, mostFailures; got != want {
			t.Errorf("got %d places, want %d", got, want)
		}
	})
	t.Run("none that cannot be connected to", func(t *testing.T) {
		c := newStations(now, 2)
		s, _ := answerTo(c.Apply(now, arrival(now, 1)), 1)
		c.Apply(now, Ended{Ticket: 1, Failed: true, Unreached: true})
		for n := range Ticket(5) {
			if got, _ := answerTo(c.Apply(now, arrival(now, n+2)), n+2); got == s {
				t.Errorf("got %s again, want the other one", got)
			}
		}
	})
}

// A group that has just opened is not given more prompts at once than its streams can
// wait for; what it has no turn for goes to it as it reads.
func TestPromptsKeepToPauses(t *testing.T) {
	now := 5 * time.Second
	c := newStations(now, 1)
	granted := make(map[Ticket]bool)
	count := func(effects []Effect) {
		for _, e := range effects {
			if g, ok := e.(Grant); ok {
				granted[g.Ticket] = true
			}
		}
	}
	for n := range Ticket(20) {
		e := arrival(now, n+1)
		e.Prompt, e.Pause, e.InTime = 1400, 250*time.Millisecond, now+time.Second
		count(c.Apply(now, e))
	}
	// A pass of six steps leaves 0.18 s to read at 56,000 tokens a second.
	if got, want := len(granted), 7; got != want {
		t.Errorf("got %d prompts at once, want %d", got, want)
	}
	now += 250 * time.Millisecond
	for ticket := range granted {
		c.Apply(now, Began{Ticket: ticket})
	}
	count(c.Apply(now, Ticked{}))
	if got, want := len(granted), 14; got != want {
		t.Errorf("got %d prompts after the first were read, want %d", got, want)
	}
}

// A request that has waited too long to be in time yields to one that can be.
func TestLateYieldsToTimely(t *testing.T) {
	now := 5 * time.Second
	c := newStations(now, 1)
	for n := range Ticket(28) {
		c.Apply(now, arrival(now, n+1))
	}
	c.Apply(now, arrival(now, 100))
	// The first events take 0.2 s: what has 0.15 s left is late.
	for n := range Ticket(28) {
		c.Apply(now+200*time.Millisecond, Began{Ticket: n + 1})
	}
	now += 280 * time.Millisecond
	c.Apply(now, arrival(now, 101))
	if got, _ := answerTo(c.Apply(now+10*time.Millisecond, Ended{Ticket: 1}), 101); got == "" {
		t.Error("got no place for the request that can be in time, want one")
	}
	if got, _ := answerTo(c.Apply(now+20*time.Millisecond, Ended{Ticket: 2}), 100); got == "" {
		t.Error("got no place for the late request after it, want one")
	}
}

// Other hosts hear early of prompts that an engine has to read.
func TestPromptsAreAnnounced(t *testing.T) {
	now := 5 * time.Second
	c := newStations(now, 1)
	c.Apply(now, BeatHeard{Beat: Beat{From: Peer{ID: "b", Address: "b"}, Started: 1}})
	c.Apply(now, Ticked{})
	e := arrival(now, 1)
	e.Prompt = newsTokens
	b, ok := lastBeat(c.Apply(now+10*time.Millisecond, e))
	if !ok || len(b.Loads) != 1 || b.Loads[0].Unread != newsTokens {
		t.Errorf("got heartbeat %v with loads %v, want one with the prompt", ok, b.Loads)
	}
}

// A cut between this host and a group: its streams go on elsewhere.
func TestSilentServerIsLeft(t *testing.T) {
	now := 5 * time.Second
	c := newStations(now, 2)
	s, _ := answerTo(c.Apply(now, arrival(now, 1)), 1)
	c.Apply(now, Began{Ticket: 1})
	c.Apply(now+cutSilence/2, Ticked{LastBytes: map[fuchsiapitch.ServerID]time.Duration{s: now}})
	var withdrawn bool
	for _, e := range c.Apply(now+cutSilence+time.Millisecond, Ticked{LastBytes: map[fuchsiapitch.ServerID]time.Duration{s: now}}) {
		if w, ok := e.(Withdraw); ok && w.Ticket == 1 {
			withdrawn = true
		}
	}
	if !withdrawn {
		t.Error("got the request left at a silent server, want it withdrawn")
	}
}

func TestRetryBudget(t *testing.T) {
	now := 5 * time.Second
	c := newStations(now, 4)
	allowed := 0
	for n := range Ticket(300) {
		e := arrival(now, n+1)
		e.Repeat = true
		if _, reason := answerTo(c.Apply(now, e), n+1); reason != NoBudget {
			allowed++
		}
		c.Apply(now, Ended{Ticket: n + 1})
	}
	if got, want := allowed, int(budgetMargin*100); got != want {
		t.Errorf("got %d repeats, want %d", got, want)
	}
	e := arrival(now+11*time.Second, 1000)
	e.Repeat = true
	if _, reason := answerTo(c.Apply(now+11*time.Second, e), 1000); reason == NoBudget {
		t.Error("got a repeat refused in a new window, want it allowed")
	}
}

// A request that cannot be in time yields to one that can.
func TestLateYields(t *testing.T) {
	now := 5 * time.Second
	c := newStations(now, 1)
	for n := range Ticket(28) {
		c.Apply(now, arrival(now, n+1))
	}
	late := arrival(now, 100)
	late.Returned, late.InTime = true, now
	c.Apply(now, late)
	c.Apply(now, arrival(now, 101))
	if got, _ := answerTo(c.Apply(now+20*time.Millisecond, Ended{Ticket: 1}), 101); got == "" {
		t.Error("got no place for the request that can be in time, want one")
	}
}

// A leaving server, and one that is off the list, get no new work.
func TestLeavingServersGetNothing(t *testing.T) {
	now := 5 * time.Second
	for name, change := range map[string]func([]fuchsiapitch.ServerReport) []fuchsiapitch.ServerReport{
		"leaving": func(l []fuchsiapitch.ServerReport) []fuchsiapitch.ServerReport {
			l[0].Leaving = true
			return l
		},
		"off the list": func(l []fuchsiapitch.ServerReport) []fuchsiapitch.ServerReport { return l[1:] },
	} {
		t.Run(name, func(t *testing.T) {
			c := newStations(now, 2)
			list := []fuchsiapitch.ServerReport{c.servers["s0"].report, c.servers["s1"].report}
			c.Apply(now, ServersListed{Servers: change(list)})
			for n := range Ticket(10) {
				if got, _ := answerTo(c.Apply(now, arrival(now, n+1)), n+1); got == "s0" {
					t.Fatal("got a place at s0, want none")
				}
			}
		})
	}
}
