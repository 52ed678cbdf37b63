package coordinator

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// noticeSimulation is a simulation whose servers say at random that they leave or ask for pauses, and
// which checks that the coordinator keeps to it.
type noticeSimulation struct {
	*simulatedTraffic
	// leaving maps servers to the incarnation that has said that it leaves, and pausedUntil
	// to the ends of their pauses.
	leaving     map[fuchsiapitch.ServerID]int64
	pausedUntil map[fuchsiapitch.ServerID]time.Duration
	// firstAfterPause is the first request after a pause, 0 for none yet.
	firstAfterPause map[fuchsiapitch.ServerID]Ticket
	// leavings and pauses count the notices.
	leavings, pauses int
}

func newNoticeSimulation(t *testing.T, seed uint64) *noticeSimulation {
	t.Helper()
	ns := &noticeSimulation{
		simulatedTraffic: newSimulatedTraffic(t, seed, 2),
		leaving:          make(map[fuchsiapitch.ServerID]int64), pausedUntil: make(map[fuchsiapitch.ServerID]time.Duration), firstAfterPause: make(map[fuchsiapitch.ServerID]Ticket),
	}
	ns.onEffect = func(n int, e Effect) {
		if g, ok := e.(Grant); ok {
			ns.check(g)
		}
		ns.record(n, e)
	}
	return ns
}

// incarnation returns the incarnation of a server that runs.
func (ns *noticeSimulation) incarnation(id fuchsiapitch.ServerID) int64 {
	if e, ok := ns.engines[id]; ok {
		return e.incarnation
	}
	for _, r := range ns.plainServers {
		if r.ID == id {
			return r.StartedUnixMillis
		}
	}
	return 0
}

// check records a violation if a server gets a request that it has asked not to get.
func (ns *noticeSimulation) check(g Grant) {
	if started, ok := ns.leaving[g.Server]; ok && ns.incarnation(g.Server) == started {
		ns.violations = append(ns.violations, fmt.Sprintf("ticket %d goes to %s at %s, which has said that it leaves", g.Ticket, g.Server, ns.now))
	}
	end, ok := ns.pausedUntil[g.Server]
	if ok && ns.now < end {
		ns.violations = append(ns.violations, fmt.Sprintf("ticket %d goes to %s at %s, which pauses until %s", g.Ticket, g.Server, ns.now, end))
	}
	first, isReturning := ns.firstAfterPause[g.Server]
	switch {
	case !isReturning:
	case ns.now-end > returnMemory:
		delete(ns.firstAfterPause, g.Server)
	case first == 0:
		ns.firstAfterPause[g.Server] = g.Ticket
	default:
		if a, ok := ns.coordinators[0].assignments[first]; ok && !a.responseStarted {
			ns.violations = append(ns.violations, fmt.Sprintf("ticket %d goes to %s at %s before the first request after the pause has a response", g.Ticket, g.Server, ns.now))
		}
		delete(ns.firstAfterPause, g.Server)
	}
}

// respondWithNotice lets the server of a random request that is running say that it leaves, or
// ask for a pause. It ends the request in one of two cases.
func (ns *noticeSimulation) respondWithNotice() {
	var running []Ticket
	for _, t := range sortedKeys(ns.requests) {
		r := ns.requests[t]
		if s, ok := ns.coordinators[0].servers[r.server]; ok && r.decidedAt > 0 && ns.sounds(r.server) && s.report.StartedUnixMillis == ns.incarnation(r.server) {
			running = append(running, t)
		}
	}
	if len(running) == 0 {
		return
	}
	ticket := running[ns.rng.IntN(len(running))]
	id := ns.requests[ticket].server
	var notice fuchsiapitch.ServerNotice
	if ns.rng.IntN(4) == 0 {
		notice.Leaving = true
		ns.leaving[id] = ns.incarnation(id)
		ns.leavings++
	} else {
		notice.Pause = time.Duration(1 + ns.rng.Int64N(int64(3*time.Second)))
		ns.pausedUntil[id], ns.firstAfterPause[id] = max(ns.pausedUntil[id], ns.now+notice.Pause), 0
		ns.pauses++
	}
	ns.apply(0, NoticeReceived{Server: id, Request: "r", Notice: notice})
	if ns.rng.IntN(2) == 0 {
		delete(ns.requests, ticket)
		ns.apply(0, TicketReleased{Ticket: ticket, Failed: true})
	}
}

// restartServer restarts a random server, mostly one that leaves.
func (ns *noticeSimulation) restartServer() {
	for _, id := range sortedKeys(ns.leaving) {
		if ns.rng.IntN(3) > 0 {
			continue
		}
		if e, ok := ns.engines[id]; ok {
			ns.restart(e)
			continue
		}
		for n := range ns.plainServers {
			if ns.plainServers[n].ID == id {
				ns.plainServers[n].StartedUnixMillis = 1 + ns.now.Milliseconds()
			}
		}
	}
	if ns.rng.IntN(4) == 0 {
		ns.isolateEngine()
	}
}

// runNotices sends requests for a duration, while servers make statements in series and
// restart under the same identifiers, and the list stands still at times.
func (ns *noticeSimulation) runNotices(d time.Duration) {
	nextNotice, nextRestart, nextFreeze := ns.now, ns.now+time.Second, ns.now+2*time.Second
	for end := ns.now + d; ns.now < end && len(ns.violations) == 0; {
		for range ns.rng.IntN(3) {
			ns.send()
		}
		if ns.now >= nextNotice {
			nextNotice = ns.now + time.Duration(ns.rng.IntN(400))*time.Millisecond
			for range 1 + ns.rng.IntN(4) {
				ns.respondWithNotice()
			}
		}
		if ns.now >= nextRestart {
			nextRestart = ns.now + time.Duration(ns.rng.IntN(2000))*time.Millisecond
			ns.restartServer()
		}
		if ns.now >= nextFreeze {
			nextFreeze = ns.now + time.Duration(3+ns.rng.IntN(6))*time.Second
			ns.frozenList, ns.listFrozenUntil = ns.serverList(), ns.now+time.Duration(ns.rng.IntN(4000))*time.Millisecond
		}
		ns.advance()
	}
}

// Guards against a request to a server after its word that it leaves, as long as that
// incarnation runs; against one during a pause, or a second one before the first after a
// pause has a response; and against a request that gets two decisions or none by its deadline.
func TestNoticesAreKeptUnderTrouble(t *testing.T) {
	for seed := range seedCount(t) / 3 {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			ns := newNoticeSimulation(t, seed)
			ns.runNotices(30 * time.Second)
			for end := ns.now + 9*time.Second; ns.now < end && len(ns.violations) == 0; {
				ns.advance()
			}
			assertNoViolations(t, ns.simulation)
			if got, want := len(ns.requests), 0; got != want {
				t.Errorf("got %d requests in progress at the end, want %d", got, want)
			}
			if ns.leavings == 0 || ns.pauses == 0 || ns.served == 0 {
				t.Errorf("got %d leaving servers, %d pauses and %d responses, want some of each", ns.leavings, ns.pauses, ns.served)
			}
		})
	}
}

// noticeCluster is a cluster of hosts with requests, whose servers tell single hosts that they leave, or
// ask them for pauses, and restart.
type noticeCluster struct {
	*hostCluster
	lastTicket Ticket
	// leavingSince holds, for each host, since when it must not send a server requests,
	// and started the incarnation that has said so.
	leavingSince map[*simulatedHost]map[fuchsiapitch.ServerID]time.Duration
	started      map[fuchsiapitch.ServerID]int64
	pausedUntil  map[*simulatedHost]map[fuchsiapitch.ServerID]time.Duration
	// pending holds the requests that have no decision yet, and the time by which each
	// must have one.
	pending    map[Ticket]time.Duration
	granted    int
	violations []string
}

// noticeSpreadTime is the time within which all hosts know that a server leaves, also if a
// datagram is lost.
const noticeSpreadTime = 1500 * time.Millisecond

func newNoticeCluster(seed uint64, hosts int) *noticeCluster {
	nc := &noticeCluster{
		hostCluster: newHostCluster(seed, hosts, 3), started: make(map[fuchsiapitch.ServerID]int64),
		leavingSince: make(map[*simulatedHost]map[fuchsiapitch.ServerID]time.Duration), pausedUntil: make(map[*simulatedHost]map[fuchsiapitch.ServerID]time.Duration),
		pending: make(map[Ticket]time.Duration),
	}
	nc.loss = 0.01
	for _, h := range nc.hosts {
		nc.leavingSince[h], nc.pausedUntil[h] = make(map[fuchsiapitch.ServerID]time.Duration), make(map[fuchsiapitch.ServerID]time.Duration)
	}
	nc.onGrant, nc.onRefuse = nc.grant, func(_ *simulatedHost, r Refuse) { nc.decide(r.Ticket) }
	return nc
}

// grant checks a grant and releases its slot after a while.
func (nc *noticeCluster) grant(h *simulatedHost, g Grant) {
	nc.granted++
	nc.decide(g.Ticket)
	if since, ok := nc.leavingSince[h][g.Server]; ok && nc.now >= since {
		nc.violations = append(nc.violations, fmt.Sprintf("%s sends a request to %s at %s, which leaves since %s", h.self.ID, g.Server, nc.now, since))
	}
	if end := nc.pausedUntil[h][g.Server]; nc.now < end {
		nc.violations = append(nc.violations, fmt.Sprintf("%s sends a request to %s at %s, which pauses until %s", h.self.ID, g.Server, nc.now, end))
	}
	nc.at(nc.now+time.Duration(20+nc.rng.IntN(60))*time.Millisecond, func() { nc.apply(h, TicketReleased{Ticket: g.Ticket}) })
}

// decide checks that a ticket is decided once and in time.
func (nc *noticeCluster) decide(t Ticket) {
	if by, ok := nc.pending[t]; !ok || nc.now > by {
		nc.violations = append(nc.violations, fmt.Sprintf("ticket %d is decided twice or too late at %s", t, nc.now))
	}
	delete(nc.pending, t)
}

// sendRequest sends a request to a random host.
func (nc *noticeCluster) sendRequest() {
	h := nc.hosts[nc.rng.IntN(len(nc.hosts))]
	nc.lastTicket++
	now := nc.now - h.startedAt
	e := RequestArrived{Ticket: nc.lastTicket, Service: plainService, FirstByteBy: now + 400*time.Millisecond, Deadline: now + 3*time.Second}
	nc.pending[e.Ticket] = nc.now + 3*time.Second + simulatedTickInterval
	nc.apply(h, e)
}

// notify lets a random server say to a random host that it leaves, ask it for a pause, or
// restart.
func (nc *noticeCluster) notify() {
	n := nc.rng.IntN(len(nc.servers))
	id := nc.servers[n].ID
	h := nc.hosts[nc.rng.IntN(len(nc.hosts))]
	_, isLeaving := nc.started[id]
	switch {
	case isLeaving && nc.rng.IntN(3) == 0:
		nc.restartServer(n)
	case isLeaving || len(nc.started) >= len(nc.servers)-2 || nc.rng.IntN(2) == 0:
		pause := time.Duration(1 + nc.rng.Int64N(int64(2*time.Second)))
		nc.pausedUntil[h][id] = max(nc.pausedUntil[h][id], nc.now+pause)
		nc.apply(h, asksForPause(id, pause))
	case h.coordinator.servers[id].report.StartedUnixMillis == nc.servers[n].StartedUnixMillis:
		nc.started[id] = nc.servers[n].StartedUnixMillis
		for _, o := range nc.hosts {
			nc.leavingSince[o][id] = nc.now + noticeSpreadTime
		}
		nc.leavingSince[h][id] = nc.now
		nc.apply(h, saysLeaving(id))
	}
}

// restartServer lists a new incarnation of a server.
func (nc *noticeCluster) restartServer(n int) {
	nc.servers = slices.Clone(nc.servers)
	nc.servers[n].StartedUnixMillis = 1 + nc.now.Milliseconds()
	nc.listVersion++
	delete(nc.started, nc.servers[n].ID)
	for _, h := range nc.hosts {
		delete(nc.leavingSince[h], nc.servers[n].ID)
	}
}

// Guards against a host among many that sends a request to a server after its word that it
// leaves, to this host or soon after to another one, or during a pause that it was asked for.
func TestNoticesAreKeptByManyHosts(t *testing.T) {
	for _, hosts := range []int{5, 30} {
		for seed := range seedCount(t) / 15 {
			t.Run(fmt.Sprintf("%d hosts, seed %d", hosts, seed), func(t *testing.T) {
				t.Parallel()
				nc := newNoticeCluster(seed, hosts)
				nc.runUntil(4 * time.Second)
				for range 1500 {
					nc.sendRequest()
					if nc.rng.IntN(20) == 0 {
						nc.notify()
					}
					nc.runUntil(nc.now + time.Duration(nc.rng.IntN(20))*time.Millisecond)
				}
				nc.runUntil(nc.now + 4*time.Second)
				if len(nc.violations) > 0 {
					t.Errorf("got violation %q of %d, want none", nc.violations[0], len(nc.violations))
				}
				if got, want := len(nc.pending), 0; got != want {
					t.Errorf("got %d requests without a decision, want %d", got, want)
				}
				if nc.granted == 0 {
					t.Error("got no request served, want some")
				}
			})
		}
	}
}
