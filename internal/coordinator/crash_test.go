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
	for _, effect := range ph.apply(TicketReleased{Ticket: ticket, Failed: true, ConnectionEnded: true}) {
		if v, ok := effect.(VerifyServer); ok {
			ph.apply(ServerVerified{Server: v.Server, StartedUnixMillis: v.StartedUnixMillis, Ended: ended})
			return
		}
	}
	t.Error("got no verification of the server, want one")
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
