package coordinator

import (
	"fmt"
	"testing"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/quarantiner"
)

const (
	lethalPart quarantiner.Part = 100 + iota
	sharedPart
	popularPart
)

// promptHost is a host with plain servers, to which requests with parts of prompts are sent.
type promptHost struct {
	*Coordinator
	now        time.Duration
	lastTicket Ticket
}

func newPromptHost(t *testing.T, servers int) *promptHost {
	t.Helper()
	ph := &promptHost{Coordinator: New(Peer{ID: "h1"}, 1), now: time.Second}
	ph.apply(ConfigurationChanged{Routes: plainRoutes()})
	var list []fuchsiapitch.ServerReport
	for n := range servers {
		id := fuchsiapitch.ServerID(fmt.Sprintf("app%d", n))
		list = append(list, fuchsiapitch.ServerReport{ID: id, Service: plainService, Address: string(id), Slots: 4, StartedUnixMillis: 1})
	}
	ph.apply(ServersListed{Servers: list, Offset: 1})
	return ph
}

func (ph *promptHost) apply(e Event) []Effect { return ph.Apply(ph.now, e) }

// request sends a request and returns its ticket and decision.
func (ph *promptHost) request(parts ...quarantiner.Part) (Ticket, Effect) {
	ph.lastTicket++
	e := RequestArrived{Ticket: ph.lastTicket, Service: plainService, FirstByteBy: ph.now + 400*time.Millisecond, Deadline: ph.now + 3*time.Second, Parts: parts}
	for _, effect := range ph.apply(e) {
		switch f := effect.(type) {
		case Grant:
			return ph.lastTicket, f
		case Refuse:
			return ph.lastTicket, f
		}
	}
	return ph.lastTicket, nil
}

// breakOff lets the server of a request end the connection, and has the server verified.
func (ph *promptHost) breakOff(t *testing.T, ticket Ticket, ended bool) {
	t.Helper()
	if !ph.verify(ph.apply(TicketReleased{Ticket: ticket, Failed: true, ConnectionEnded: true}), ended) {
		t.Error("got no verification of the server, want one")
	}
}

// verify carries out the verification of a server among effects. It reports whether there is one.
func (ph *promptHost) verify(effects []Effect, ended bool) bool {
	for _, effect := range effects {
		if v, ok := effect.(VerifyServer); ok {
			ph.apply(ServerVerified{Server: v.Server, StartedUnixMillis: v.StartedUnixMillis, Ended: ended})
			return true
		}
	}
	return false
}

// crashAll sends a request to each server and lets all of them end at the same moment.
func (ph *promptHost) crashAll(t *testing.T, servers int, parts ...quarantiner.Part) {
	t.Helper()
	var tickets []Ticket
	sent := make(map[fuchsiapitch.ServerID]bool)
	for len(sent) < servers {
		ticket, decision := ph.request(parts...)
		g, ok := decision.(Grant)
		if !ok {
			t.Fatalf("got decision %v, want a grant", decision)
		}
		if sent[g.Server] {
			continue
		}
		sent[g.Server] = true
		tickets = append(tickets, ticket)
	}
	for _, ticket := range tickets {
		ph.breakOff(t, ticket, true)
	}
}

func (ph *promptHost) runFor(d time.Duration) {
	for end := ph.now + d; ph.now < end; {
		ph.now += 50 * time.Millisecond
		ph.apply(Ticked{})
	}
}

func assertQuarantined(t *testing.T, c *Coordinator, want ...quarantiner.Part) {
	t.Helper()
	if got := c.parts.QuarantinedParts(); fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("got quarantined parts %v, want %v", got, want)
	}
}

// Guards against a sound part that is blamed at the moment at which all servers end, before other
// hosts can tell that they got answers with it.
func TestFirstCrashesWaitForOtherHosts(t *testing.T) {
	ph := newPromptHost(t, 6)
	ph.crashAll(t, 6, popularPart)
	assertQuarantined(t, ph.Coordinator)
	ph.now += 100 * time.Millisecond
	ph.apply(HeartbeatReceived{Heartbeat: Heartbeat{From: Peer{ID: "h2"}, Parts: quarantiner.Message{Answers: []quarantiner.Answer{{Part: popularPart, Age: 700 * time.Millisecond}}}}})
	ph.runFor(3 * time.Second)
	assertQuarantined(t, ph.Coordinator)
}

// newQuarantinedHost returns a host that has quarantined the lethal part.
func newQuarantinedHost(t *testing.T) *promptHost {
	t.Helper()
	ph := newPromptHost(t, 6)
	ph.crashAll(t, 3, lethalPart, sharedPart)
	ph.apply(HeartbeatReceived{Heartbeat: Heartbeat{From: Peer{ID: "h2"}, Parts: quarantiner.Message{Answers: []quarantiner.Answer{{Part: sharedPart}}}}})
	ph.runFor(2 * time.Second)
	assertQuarantined(t, ph.Coordinator, lethalPart)
	return ph
}

// Guards against a server that runs on, or leaves, and is taken for one that a request has ended.
func TestServersThatRunOnBlameNoPart(t *testing.T) {
	endings := map[string]func(t *testing.T, ph *promptHost, ticket Ticket, id fuchsiapitch.ServerID){
		"one response broke off": func(_ *testing.T, ph *promptHost, ticket Ticket, _ fuchsiapitch.ServerID) {
			ph.verify(ph.apply(TicketReleased{Ticket: ticket, Failed: true, ConnectionEnded: true}), false)
		},
		"a silent server": func(_ *testing.T, ph *promptHost, ticket Ticket, _ fuchsiapitch.ServerID) {
			ph.apply(TicketReleased{Ticket: ticket, Failed: true})
		},
		"a server that leaves": func(_ *testing.T, ph *promptHost, ticket Ticket, id fuchsiapitch.ServerID) {
			ph.apply(NoticeReceived{Server: id, Request: "r", Notice: fuchsiapitch.ServerNotice{Leaving: true}})
			ph.apply(TicketReleased{Ticket: ticket, Failed: true, ConnectionEnded: true})
		},
		"an answer that lasted": func(_ *testing.T, ph *promptHost, ticket Ticket, id fuchsiapitch.ServerID) {
			ph.apply(ResponseStarted{Ticket: ticket})
			ph.now += quarantiner.SurvivalTime
			ph.apply(Ticked{LastByteTimes: map[fuchsiapitch.ServerID]time.Duration{id: ph.now}})
			ph.apply(TicketReleased{Ticket: ticket, Failed: true, ConnectionEnded: true})
		},
	}
	for name, end := range endings {
		t.Run(name, func(t *testing.T) {
			ph := newPromptHost(t, 8)
			for range 6 {
				ticket, decision := ph.request(popularPart)
				g, ok := decision.(Grant)
				if !ok {
					t.Fatalf("got decision %v, want a grant", decision)
				}
				end(t, ph, ticket, g.Server)
				ph.runFor(time.Second)
			}
			assertQuarantined(t, ph.Coordinator)
		})
	}
}

// Guards against a request that its client gave up, or that a server refused, and that vouches
// for its parts.
func TestOnlyAnswersAcquit(t *testing.T) {
	for name, released := range map[string]TicketReleased{
		"client has left":  {},
		"failed":           {Failed: true},
		"connection ended": {ConnectionEnded: true},
	} {
		t.Run(name, func(t *testing.T) {
			ph := newPromptHost(t, 6)
			ticket, _ := ph.request(lethalPart)
			ph.apply(ResponseStarted{Ticket: ticket})
			released.Ticket = ticket
			ph.verify(ph.apply(released), false)
			ph.crashAll(t, 3, lethalPart)
			ph.runFor(2 * time.Second)
			assertQuarantined(t, ph.Coordinator, lethalPart)
		})
	}
}

// Guards against a request with a quarantined part that is sent all the same, from wherever it
// stands: as a new one, a repeat or a resumed stream, from the queue, or by a host that was told.
func TestQuarantinedRequestsAreRefused(t *testing.T) {
	arrivals := map[string]RequestArrived{
		"new": {}, "repeat": {IsRetry: true}, "resumed stream": {IsRetry: true, Resumed: true}, "returned": {ReturnedAfterRefusal: true},
	}
	for name, e := range arrivals {
		t.Run(name, func(t *testing.T) {
			ph := newQuarantinedHost(t)
			e.Ticket, e.Service, e.Deadline, e.Parts = 1000, plainService, ph.now+3*time.Second, []quarantiner.Part{sharedPart, lethalPart}
			assertRefusal(t, ph.apply(e), e.Ticket)
		})
	}
	t.Run("queued", func(t *testing.T) {
		ph := newPromptHost(t, 1)
		for range 4 {
			ph.request(popularPart)
		}
		ticket, decision := ph.request(lethalPart)
		if decision != nil {
			t.Fatalf("got decision %v, want none yet", decision)
		}
		assertRefusal(t, ph.apply(quarantineHeard(lethalPart)), ticket)
	})
	t.Run("sent and not begun", func(t *testing.T) {
		ph := newPromptHost(t, 1)
		ticket, _ := ph.request(lethalPart)
		for _, effect := range ph.apply(quarantineHeard(lethalPart)) {
			if r, ok := effect.(Revoke); ok && r.Ticket == ticket && r.Quarantined {
				return
			}
		}
		t.Error("got no revocation, want one")
	})
	t.Run("sound", func(t *testing.T) {
		ph := newQuarantinedHost(t)
		if _, decision := ph.request(sharedPart, popularPart); !isGrant(decision) {
			t.Errorf("got decision %v, want a grant", decision)
		}
	})
}

// quarantineHeard is the heartbeat of a host that has quarantined a part.
func quarantineHeard(p quarantiner.Part) HeartbeatReceived {
	return HeartbeatReceived{Heartbeat: Heartbeat{From: Peer{ID: "h2"}, Parts: quarantiner.Message{Quarantines: []quarantiner.Quarantine{{Part: p}}}}}
}

func isGrant(e Effect) bool {
	_, ok := e.(Grant)
	return ok
}

// assertRefusal checks that a ticket is refused because of a quarantine, for long.
func assertRefusal(t *testing.T, effects []Effect, ticket Ticket) {
	t.Helper()
	for _, effect := range effects {
		if r, ok := effect.(Refuse); ok && r.Ticket == ticket {
			if r.Reason != Quarantined || r.RetryAfter < 10*time.Second {
				t.Errorf("got reason %s and a retry after %s, want a quarantine and 10s at least", r.Reason, r.RetryAfter)
			}
			return
		}
	}
	t.Error("got no refusal, want one")
}

// Guards against refused lethal requests that use up the retry budget or count as arrivals, so that
// sound requests wait or get no retry.
func TestQuarantinedRequestsCostNothing(t *testing.T) {
	ph := newQuarantinedHost(t)
	ph.apply(LimitsChanged{StallTimeout: time.Second, RetryRatio: 0.2, RetrySlack: 10, RetryWindow: 10 * time.Second})
	requests, retries := ph.usageInWindow(ph.now, plainService)
	arrivals := fmt.Sprint(ph.queueLengths(ph.now))
	for n := range 1000 {
		ph.apply(RequestArrived{Ticket: Ticket(2000 + n), Service: plainService, Deadline: ph.now + time.Second, Parts: []quarantiner.Part{lethalPart}, IsRetry: n%2 == 0})
	}
	gotRequests, gotRetries := ph.usageInWindow(ph.now, plainService)
	if gotRequests != requests || gotRetries != retries {
		t.Errorf("got %v requests and %v retries, want %v and %v", gotRequests, gotRetries, requests, retries)
	}
	if got := fmt.Sprint(ph.queueLengths(ph.now)); got != arrivals {
		t.Errorf("got queues %s, want %s", got, arrivals)
	}
	if len(ph.queue) != 0 || len(ph.assignments) != 0 {
		t.Errorf("got %d queued requests and %d slots in use, want none", len(ph.queue), len(ph.assignments))
	}
}

// Guards against a server that is back after a crash and gets no requests for seconds, because
// its earlier incarnation could not be connected to.
func TestRestartedServerTakesPartAgain(t *testing.T) {
	ph := newPromptHost(t, 1)
	for range 5 {
		ticket, _ := ph.request()
		ph.apply(TicketReleased{Ticket: ticket, Failed: true, Unreachable: true})
		ph.runFor(5 * time.Second)
	}
	ticket, _ := ph.request()
	ph.apply(TicketReleased{Ticket: ticket, Failed: true, Unreachable: true})
	ph.apply(ServersListed{Servers: []fuchsiapitch.ServerReport{{ID: "app0", Service: plainService, Address: "app0", Slots: 4, StartedUnixMillis: 2}}, Offset: 2})
	for range 3 {
		if _, decision := ph.request(); !isGrant(decision) {
			t.Errorf("got decision %v for a server that has started again, want a grant", decision)
		}
	}
}

// newRivalsHost returns a host at which a lethal and a sound part are quarantined with the same
// evidence.
func newRivalsHost(t *testing.T) *promptHost {
	t.Helper()
	ph := newPromptHost(t, 6)
	ph.crashAll(t, 3, sharedPart, lethalPart)
	ph.runFor(relayedAnswerSettleTime + 100*time.Millisecond)
	assertQuarantined(t, ph.Coordinator, lethalPart, sharedPart)
	return ph
}

// grantPermit lets another host give out the permit for a part.
func (ph *promptHost) grantPermit(part quarantiner.Part) []Effect {
	return ph.apply(HeartbeatReceived{Heartbeat: Heartbeat{From: Peer{ID: "h0"}, Parts: quarantiner.Message{
		Quarantines: []quarantiner.Quarantine{{Part: part, Permits: 1, Holder: "h1", IsDiscriminating: true, Rivals: []quarantiner.Part{lethalPart}}},
	}}})
}

// countEffects returns how many effects are of one type.
func countEffects[T Effect](effects []Effect) int {
	n := 0
	for _, e := range effects {
		if _, ok := e.(T); ok {
			n++
		}
	}
	return n
}

// Guards against sound requests that never meet the permit of their part: it was given to a host
// for its next request, which comes late or never where many hosts share the requests.
func TestSoundRequestAwaitsPermit(t *testing.T) {
	t.Run("it is sent when the permit arrives", func(t *testing.T) {
		ph := newRivalsHost(t)
		if _, decision := ph.request(sharedPart); decision != nil {
			t.Fatalf("got decision %v, want the request to wait", decision)
		}
		if got := countEffects[Grant](ph.grantPermit(sharedPart)); got != 1 {
			t.Errorf("got %d requests sent, want 1", got)
		}
	})
	t.Run("a second one is refused at once", func(t *testing.T) {
		ph := newRivalsHost(t)
		ph.request(sharedPart)
		_, decision := ph.request(sharedPart)
		r, ok := decision.(Refuse)
		if !ok || r.Reason != Quarantined || r.RetryAfter != discriminatingRetryAfter {
			t.Errorf("got decision %+v, want a refusal with a retry after %s", decision, discriminatingRetryAfter)
		}
	})
	t.Run("it is refused without a permit", func(t *testing.T) {
		ph := newRivalsHost(t)
		ph.request(sharedPart)
		refused := 0
		for end := ph.now + permitWait; ph.now < end; {
			ph.now += 50 * time.Millisecond
			refused += countEffects[Refuse](ph.apply(Ticked{}))
		}
		if refused != 1 {
			t.Errorf("got %d refusals within %s, want 1", refused, permitWait)
		}
	})
	t.Run("a lethal one does not take the permit", func(t *testing.T) {
		ph := newRivalsHost(t)
		ph.request(sharedPart)
		ph.grantPermit(sharedPart)
		if _, decision := ph.request(lethalPart, sharedPart); countEffects[Refuse]([]Effect{decision}) != 1 {
			t.Errorf("got decision %+v, want a refusal", decision)
		}
	})
	t.Run("an abandoned one claims no permit", func(t *testing.T) {
		ph := newRivalsHost(t)
		ticket, _ := ph.request(sharedPart)
		ph.apply(TicketReleased{Ticket: ticket})
		if got := countEffects[Grant](ph.grantPermit(sharedPart)); got != 0 {
			t.Errorf("got %d requests sent, want none", got)
		}
		if got := len(ph.parts.Message(ph.now, false, 1).Claims); got != 0 {
			t.Errorf("got %d claims, want none", got)
		}
	})
	t.Run("it is sent when its part is free and no crash is remembered", func(t *testing.T) {
		ph := newRivalsHost(t)
		ph.runFor(time.Minute)
		ph.request(sharedPart)
		now := ph.now
		for _, p := range []quarantiner.Part{sharedPart, lethalPart} {
			ph.parts.RecordAnswer(now, now, []quarantiner.Part{p})
		}
		if got := ph.parts.IsWatched(); got {
			t.Fatal("got evidence against a part, want none")
		}
		if got := countEffects[Grant](ph.apply(Ticked{})); got != 1 {
			t.Errorf("got %d requests sent, want 1", got)
		}
	})
}
