package coordinator

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// newNoticeCoordinator returns a coordinator that knows two plain servers of one slot each, a0
// and a1, from a list that ends at offset 1.
func newNoticeCoordinator(now time.Duration) *Coordinator {
	c := New(Peer{ID: "a"}, 1)
	c.Apply(0, ConfigurationChanged{Routes: fuchsiapitch.NewRouteTable(1, nil, []fuchsiapitch.ServiceProfile{{Name: plainService}}, nil, false, fuchsiapitch.ClientLimits{})})
	c.Apply(now, ServersListed{Servers: []fuchsiapitch.ServerReport{plainEntry("a0", 1), plainEntry("a1", 1)}, Offset: 1})
	return c
}

func plainEntry(id fuchsiapitch.ServerID, started int64) fuchsiapitch.ServerReport {
	return fuchsiapitch.ServerReport{ID: id, Service: plainService, Address: string(id), Slots: 1, StartedUnixMillis: started}
}

func leavingEntry(id fuchsiapitch.ServerID, started int64) fuchsiapitch.ServerReport {
	r := plainEntry(id, started)
	r.Leaving = true
	return r
}

func newNoticeArrival(now time.Duration, ticket Ticket) RequestArrived {
	return RequestArrived{Ticket: ticket, Service: plainService, FirstByteBy: now + time.Second, Deadline: now + 8*time.Second}
}

func saysLeaving(id fuchsiapitch.ServerID) NoticeReceived {
	return NoticeReceived{Server: id, Request: "r1", Notice: fuchsiapitch.ServerNotice{Leaving: true}}
}

// grantedServers returns the servers of the grants among effects.
func grantedServers(effects []Effect) []fuchsiapitch.ServerID {
	var servers []fuchsiapitch.ServerID
	for _, e := range effects {
		if g, ok := e.(Grant); ok {
			servers = append(servers, g.Server)
		}
	}
	return servers
}

// setAside returns the servers that are set aside among effects.
func setAside(effects []Effect) []ServerSetAside {
	var found []ServerSetAside
	for _, e := range effects {
		if s, ok := e.(ServerSetAside); ok {
			found = append(found, s)
		}
	}
	return found
}

func assertServes(t *testing.T, c *Coordinator, id fuchsiapitch.ServerID, want bool) {
	t.Helper()
	r, ok := c.replicas[id]
	if got := ok && r.open; got != want {
		t.Errorf("got %s open for requests: %v, want %v", id, got, want)
	}
}

// Guards against a request to a server that has said that it leaves, which no list shows:
// neither one that arrives nor one that waits for the slot of that server.
func TestServerThatSaysItLeavesGetsNothing(t *testing.T) {
	now := 5 * time.Second
	c := newNoticeCoordinator(now)
	for n := range Ticket(2) {
		c.Apply(now, newNoticeArrival(now, n+1))
	}
	c.Apply(now, newNoticeArrival(now, 3))
	first := c.assignments[1].replica.server
	other := c.assignments[2].replica.server
	effects := c.Apply(now, saysLeaving(first))
	if got, want := len(setAside(effects)), 1; got != want {
		t.Fatalf("got %d servers set aside, want %d", got, want)
	}
	if got, want := setAside(effects)[0], (ServerSetAside{Server: first, Request: "r1", Reason: SetAsideLeaving, StartedUnixMillis: 1, ListOffset: 1}); got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
	if slices.ContainsFunc(effects, func(e Effect) bool { _, ok := e.(Revoke); return ok }) {
		t.Error("got a slot revoked, want its request to go on")
	}
	if got := grantedServers(c.Apply(now, TicketReleased{Ticket: 1})); len(got) != 0 {
		t.Errorf("got the freed slot of the leaving server granted at %s", got)
	}
	if got, want := grantedServers(c.Apply(now, TicketReleased{Ticket: 2})), []fuchsiapitch.ServerID{other}; !slices.Equal(got, want) {
		t.Errorf("got the waiting request at %s, want %s", got, want)
	}
	c.Apply(now, TicketReleased{Ticket: 3})
	for n := range Ticket(5) {
		if got, want := grantedServers(c.Apply(now, newNoticeArrival(now, n+10))), []fuchsiapitch.ServerID{other}; !slices.Equal(got, want) {
			t.Errorf("got the request at %s, want %s", got, want)
		}
		c.Apply(now, TicketReleased{Ticket: n + 10})
	}
	if got := setAside(c.Apply(now, saysLeaving(first))); len(got) != 0 {
		t.Errorf("got %+v for a repeated notice, want nothing", got)
	}
}

// Guards against requests to a leaving server while the store or all other hosts are away.
func TestLeavingHoldsWithoutTheStore(t *testing.T) {
	now := 5 * time.Second
	c := newNoticeCoordinator(now)
	c.Apply(now, StoreReadFailed{})
	c.Apply(now, saysLeaving("a0"))
	for end := now + 20*time.Second; now < end && !t.Failed(); now += simulatedTickInterval {
		c.Apply(now, Ticked{})
		assertServes(t, c, "a0", false)
	}
}

// Guards against a server that is taken back because a list lags behind its word, or never
// shows it, and against one that stays out though it has come back.
func TestReturnOfServerThatSaidItLeaves(t *testing.T) {
	listed := func(offset int64, entry fuchsiapitch.ServerReport) ServersListed {
		return ServersListed{Servers: []fuchsiapitch.ServerReport{entry, plainEntry("a1", 1)}, Offset: offset}
	}
	type step struct {
		after time.Duration
		event Event
	}
	for name, tc := range map[string]struct {
		steps []step
		want  bool
	}{
		"an older list":                           {[]step{{0, listed(1, plainEntry("a0", 1))}}, false},
		"a list that was in flight":               {[]step{{0, listed(2, plainEntry("a0", 1))}}, false},
		"lists that never show it":                {[]step{{time.Second, listed(2, plainEntry("a0", 1))}, {time.Minute, listed(900, plainEntry("a0", 1))}}, false},
		"an entry that is gone for a while":       {[]step{{time.Second, ServersListed{Offset: 2}}, {10 * time.Second, listed(3, plainEntry("a0", 1))}}, false},
		"a later incarnation":                     {[]step{{time.Second, listed(2, plainEntry("a0", 2))}}, true},
		"an earlier incarnation":                  {[]step{{time.Second, listed(2, plainEntry("a0", 0))}}, false},
		"a later incarnation that leaves":         {[]step{{time.Second, listed(2, leavingEntry("a0", 2))}}, false},
		"listed as leaving":                       {[]step{{time.Second, listed(2, leavingEntry("a0", 1))}}, false},
		"listed as leaving, then as ready":        {[]step{{time.Second, listed(2, leavingEntry("a0", 1))}, {4 * time.Second, listed(3, plainEntry("a0", 1))}}, true},
		"ready on an older list than leaving":     {[]step{{time.Second, listed(3, leavingEntry("a0", 1))}, {4 * time.Second, listed(2, plainEntry("a0", 1))}}, false},
		"ready within the lag of the list":        {[]step{{time.Second, listed(2, leavingEntry("a0", 1))}, {time.Second, listed(3, plainEntry("a0", 1))}}, false},
		"listed as leaving, then a later word":    {[]step{{time.Second, listed(2, leavingEntry("a0", 1))}, {0, saysLeaving("a0")}, {4 * time.Second, listed(3, plainEntry("a0", 1))}}, false},
		"a later incarnation that says so too":    {[]step{{time.Second, listed(2, plainEntry("a0", 2))}, {0, saysLeaving("a0")}, {time.Second, listed(3, plainEntry("a0", 2))}}, false},
		"an older list after a later incarnation": {[]step{{time.Second, listed(2, plainEntry("a0", 2))}, {time.Second, listed(1, plainEntry("a0", 1))}}, true},
	} {
		t.Run(name, func(t *testing.T) {
			now := 5 * time.Second
			c := newNoticeCoordinator(now)
			c.Apply(now, saysLeaving("a0"))
			for _, s := range tc.steps {
				now += s.after
				c.Apply(now, s.event)
			}
			assertServes(t, c, "a0", tc.want)
		})
	}
}

// Guards against a state that grows with the servers that have ever left.
func TestLeavingIsForgottenOnceOffTheList(t *testing.T) {
	now := 5 * time.Second
	c := newNoticeCoordinator(now)
	c.Apply(now, saysLeaving("a0"))
	for _, after := range []time.Duration{time.Second, leavingMemory + 2*time.Second} {
		c.Apply(now+after, ServersListed{Servers: []fuchsiapitch.ServerReport{plainEntry("a1", 1)}, Offset: 2})
	}
	if got, want := len(c.leavingNotices), 0; got != want {
		t.Errorf("got %d servers remembered, want %d", got, want)
	}
}

// Guards against streams that are ended because the head of their group says that it leaves.
// New ones go to another group.
func TestHeadThatSaysItLeavesKeepsItsStreams(t *testing.T) {
	now := 5 * time.Second
	c := newCoordinatorWithReplicas(now, 2)
	c.Apply(now, newArrival(now, 1))
	head := c.assignments[1].replica.server
	effects := c.Apply(now, saysLeaving(head))
	for range 20 {
		now += simulatedTickInterval
		effects = append(effects, c.Apply(now, Ticked{LastByteTimes: map[fuchsiapitch.ServerID]time.Duration{head: now}})...)
	}
	for _, e := range effects {
		if _, ok := e.(Revoke); ok {
			t.Error("got a stream revoked, want it to go on")
		}
	}
	for n := range Ticket(10) {
		if got, _ := decisionFor(c.Apply(now, newArrival(now, n+2)), n+2); got == head || got == "" {
			t.Errorf("got the request at %q, want the other group", got)
		}
	}
}

// Guards against a group that keeps a member that leaves by its own word alone: it is
// replaced, without that member, by the controller.
func TestGroupOfMemberThatSaysItLeavesIsReplaced(t *testing.T) {
	for _, isHead := range []bool{false, true} {
		sm := newSimulation(1)
		sm.startController()
		sm.run(12 * time.Second)
		leaver := sm.openLeader()
		if !isHead {
			leaver = sm.engines[leaver.members[1]]
		}
		ref := leaver.group
		sm.apply(0, NoticeReceived{Server: leaver.id, Notice: fuchsiapitch.ServerNotice{Leaving: true}})
		sm.run(6 * time.Second)
		assertNoViolations(t, sm)
		if got, want := sm.countOpenGroups(), 4; got != want {
			t.Errorf("head %v: got %d open groups, want %d", isHead, got, want)
		}
		for _, e := range sm.engines {
			if e.state == fuchsiapitch.MemberOpen && (e.group == ref || slices.Contains(e.members, leaver.id)) {
				t.Errorf("head %v: got group %s open with %s, which leaves", isHead, e.group.Name, leaver.id)
			}
		}
	}
}

func asksForPause(id fuchsiapitch.ServerID, pause time.Duration) NoticeReceived {
	return NoticeReceived{Server: id, Request: "r1", Notice: fuchsiapitch.ServerNotice{Pause: pause}}
}

// Guards against a request to a server that wants none from this host for a time: neither one
// that arrives, one that is sent again, nor one that waits for its slot.
func TestPausedServerGetsNothing(t *testing.T) {
	now := 5 * time.Second
	c := newNoticeCoordinator(now)
	for n := range Ticket(3) {
		c.Apply(now, newNoticeArrival(now, n+1))
	}
	paused, other := c.assignments[1].replica.server, c.assignments[2].replica.server
	effects := c.Apply(now, asksForPause(paused, 2*time.Second))
	want := []ServerSetAside{{Server: paused, Request: "r1", Reason: SetAsidePause, Pause: 2 * time.Second, StartedUnixMillis: 1, ListOffset: 1}}
	if got := setAside(effects); !slices.Equal(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
	if got := grantedServers(c.Apply(now, TicketReleased{Ticket: 1, Failed: true})); len(got) != 0 {
		t.Errorf("got the freed slot of the paused server granted at %s", got)
	}
	again := newNoticeArrival(now, 4)
	again.IsRetry, again.FailedServers = true, []fuchsiapitch.ServerID{other}
	if got := grantedServers(c.Apply(now, again)); len(got) != 0 {
		t.Errorf("got the request that is sent again at %s, want it to wait", got)
	}
	for n := range Ticket(3) {
		if got, want := grantedServers(c.Apply(now, TicketReleased{Ticket: n + 2})), []fuchsiapitch.ServerID{other}; n < 2 && !slices.Equal(got, want) {
			t.Errorf("got the waiting request at %s, want %s", got, want)
		}
	}
	for end := now + 2*time.Second - simulatedTickInterval; now < end; now += simulatedTickInterval {
		c.Apply(now, newNoticeArrival(now, Ticket(10+now.Milliseconds())))
	}
	for _, a := range c.assignments {
		if a.replica.server == paused {
			t.Fatal("got a request at the paused server, want none until the end of the pause")
		}
	}
	if got := setAside(c.Apply(now, asksForPause(paused, time.Second))); len(got) != 0 {
		t.Errorf("got %+v for a prolonged pause, want nothing", got)
	}
}

// Guards against a short pause that ends a longer one, and against a pause that a new entry, a
// later incarnation or another controller ends.
func TestPauseEnds(t *testing.T) {
	const length = 2 * time.Second
	start := 5 * time.Second
	for name, tc := range map[string]struct {
		event Event
		// want is the earliest end of the pause.
		want time.Duration
	}{
		"alone":                        {Ticked{}, length},
		"and a shorter one":            {asksForPause("a0", time.Millisecond), length},
		"and a longer one":             {asksForPause("a0", 4*time.Second), 4 * time.Second},
		"and a later incarnation":      {ServersListed{Servers: []fuchsiapitch.ServerReport{plainEntry("a0", 2)}, Offset: 2}, length},
		"and a gap on the list":        {ServersListed{Servers: []fuchsiapitch.ServerReport{plainEntry("a1", 2)}, Offset: 2}, length},
		"and a suspension for half it": {Ticked{WasSuspended: true, SuspendedFor: length / 2}, length / 2},
		"and a suspension for all":     {Ticked{WasSuspended: true, SuspendedFor: time.Hour}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			c := newNoticeCoordinator(start)
			c.Apply(start, asksForPause("a0", length))
			c.Apply(start, tc.event)
			c.Apply(start, ServersListed{Servers: []fuchsiapitch.ServerReport{plainEntry("a0", 2)}, Offset: 3})
			for now := start; ; now += simulationStep {
				servers := grantedServers(c.Apply(now, newNoticeArrival(now, Ticket(1+now))))
				c.Apply(now, TicketReleased{Ticket: Ticket(1 + now)})
				if len(servers) == 0 && now < start+10*time.Second {
					continue
				}
				if got, want := now-start, tc.want; got < want || got > want+maxReturnJitter+simulationStep {
					t.Errorf("got the first request after %v, want after %v and the jitter", got, want)
				}
				return
			}
		})
	}
}

// Guards against requests that wait for the end of a pause that comes too late for them, are
// told another time, or are refused though the pause ends in time.
func TestRequestsWhileAllServersPause(t *testing.T) {
	now := 5 * time.Second
	for name, tc := range map[string]struct {
		pause, firstByte, deadline time.Duration
		isResumed                  bool
		// want is the longest time to wait that the client is told, 0 if the request waits.
		want time.Duration
	}{
		"it ends in time":             {500 * time.Millisecond, 2 * time.Second, 8 * time.Second, false, 0},
		"it ends too late":            {1500 * time.Millisecond, time.Second, 8 * time.Second, false, 1875 * time.Millisecond},
		"it outlasts the usable wait": {5 * time.Second, time.Second, 9 * time.Second, false, 3 * time.Second},
		"it outlasts the request":     {time.Minute, time.Second, 3 * time.Second, false, time.Second},
		"a stream that has begun":     {3 * time.Second, time.Second, 8 * time.Second, true, 0},
	} {
		for _, isQueued := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, queued before: %v", name, isQueued), func(t *testing.T) {
				c := newNoticeCoordinator(now)
				c.Apply(now, newNoticeArrival(now, 1))
				c.Apply(now, newNoticeArrival(now, 2))
				e := RequestArrived{Ticket: 3, Service: plainService, FirstByteBy: now + tc.firstByte, Deadline: now + tc.deadline, Resumed: tc.isResumed}
				var effects []Effect
				if isQueued {
					effects = c.Apply(now, e)
				}
				effects = append(effects, c.Apply(now, asksForPause("a0", tc.pause))...)
				effects = append(effects, c.Apply(now, asksForPause("a1", 2*tc.pause))...)
				if !isQueued {
					effects = append(effects, c.Apply(now, e)...)
				}
				refused, isRefused := refusalOf(effects, 3)
				if got, want := isRefused, tc.want > 0; got != want {
					t.Fatalf("got refused: %v, want %v", got, want)
				}
				if isRefused {
					if got, want := refused.Reason, Paused; got != want {
						t.Errorf("got reason %s, want %s", got, want)
					}
					if got, want := refused.RetryAfter, min(tc.pause, tc.want); got < want || got > tc.want {
						t.Errorf("got a wait of %v, want %v to %v", got, want, tc.want)
					}
					return
				}
				c.Apply(now, TicketReleased{Ticket: 1})
				c.Apply(now, TicketReleased{Ticket: 2})
				if got := grantedServers(c.Apply(now+tc.pause-simulationStep, Ticked{})); len(got) != 0 {
					t.Errorf("got a grant at %s before the end of the pause", got)
				}
				if got, want := grantedServers(c.Apply(now+tc.pause+maxReturnJitter, Ticked{})), []fuchsiapitch.ServerID{"a0"}; !slices.Equal(got, want) {
					t.Errorf("got grants at %s, want %s", got, want)
				}
			})
		}
	}
}

// refusalOf returns the refusal of a ticket among effects.
func refusalOf(effects []Effect, ticket Ticket) (Refuse, bool) {
	for _, e := range effects {
		if r, ok := e.(Refuse); ok && r.Ticket == ticket {
			return r, true
		}
	}
	return Refuse{}, false
}

// Guards against a flood at the end of a pause: one request at first, then more with each
// response that starts, and one again after a failure.
func TestReturnAfterPauseIsGradual(t *testing.T) {
	now := 5 * time.Second
	c := newCoordinatorWithReplicas(now, 1)
	c.Apply(now, NoticeReceived{Server: "s0", Notice: fuchsiapitch.ServerNotice{Pause: time.Second}})
	now += time.Second + maxReturnJitter
	ticket := Ticket(0)
	arrive := func(count int) (granted []Ticket) {
		for range count {
			ticket++
			e := newArrival(now, ticket)
			e.FirstByteBy, e.InputTokens = now+4*time.Second, 1
			for _, effect := range c.Apply(now, e) {
				if g, ok := effect.(Grant); ok {
					granted = append(granted, g.Ticket)
				}
			}
		}
		return granted
	}
	awaiting := arrive(24)
	for _, want := range []int{1, 2, 4} {
		if got := len(awaiting); got != want {
			t.Fatalf("got %d requests sent at once, want %d", got, want)
		}
		now += 10 * time.Millisecond
		var next []Ticket
		for _, a := range awaiting {
			for _, effect := range c.Apply(now, ResponseStarted{Ticket: a}) {
				if g, ok := effect.(Grant); ok {
					next = append(next, g.Ticket)
				}
			}
		}
		awaiting = next
	}
	for _, a := range awaiting {
		c.Apply(now, TicketReleased{Ticket: a, Failed: true})
	}
	c.Apply(now+backOffDuration, Ticked{})
	if got, want := c.pauses["s0"].awaiting, 1; got != want {
		t.Errorf("got %d requests awaiting a response after failures, want %d", got, want)
	}
}

// Guards against hosts that all return in the same moment after a pause that they were given
// together.
func TestHostsReturnAtDifferentTimes(t *testing.T) {
	now := 5 * time.Second
	ends := make(map[time.Duration]bool)
	for n := range 20 {
		c := New(Peer{ID: fuchsiapitch.HostID(fmt.Sprint(n))}, 1)
		c.Apply(now, asksForPause("a0", time.Second))
		ends[c.pauses["a0"].returnsAt/(10*time.Millisecond)] = true
	}
	if got, want := len(ends), 8; got < want {
		t.Errorf("got %d different ends at 20 hosts, want %d or more", got, want)
	}
}

// Guards against a state that grows with the servers that have ever paused.
func TestPauseIsForgotten(t *testing.T) {
	now := 5 * time.Second
	c := newNoticeCoordinator(now)
	c.Apply(now, asksForPause("a0", time.Second))
	c.Apply(now+time.Second+maxReturnJitter+returnMemory+time.Second, Ticked{})
	if got, want := len(c.pauses), 0; got != want {
		t.Errorf("got %d pauses remembered, want %d", got, want)
	}
}

// Guards against several requests at the end of a second pause because responses to requests
// from before it have come meanwhile.
func TestSecondPauseNarrowsTheReturnAgain(t *testing.T) {
	now := 5 * time.Second
	c := newCoordinatorWithReplicas(now, 1)
	pause := NoticeReceived{Server: "s0", Notice: fuchsiapitch.ServerNotice{Pause: time.Second}}
	c.Apply(now, pause)
	now += time.Second + maxReturnJitter
	c.Apply(now, newArrival(now, 1))
	c.Apply(now, pause)
	c.Apply(now, ResponseStarted{Ticket: 1})
	now += time.Second + maxReturnJitter
	granted := 0
	for n := range Ticket(5) {
		granted += len(grantedServers(c.Apply(now, newArrival(now, n+2))))
	}
	if got, want := granted, 1; got != want {
		t.Errorf("got %d requests sent at once, want %d", got, want)
	}
}

// Guards against hosts that go on sending requests to a server because it has told only one
// of them that it leaves, directly and through relays, also while the store is away.
func TestOtherHostsHearThatServerLeaves(t *testing.T) {
	for _, hosts := range []int{8, 60} {
		t.Run(fmt.Sprintf("%d hosts", hosts), func(t *testing.T) {
			hc := newHostCluster(uint64(hosts), hosts, 5)
			hc.loss = 0.01
			hc.runUntil(5 * time.Second)
			for _, h := range hc.hosts {
				hc.apply(h, StoreReadFailed{})
			}
			hc.apply(hc.hosts[3], saysLeaving("app3"))
			hc.runUntil(hc.now + 1500*time.Millisecond)
			for _, h := range hc.hosts {
				if s := h.coordinator.servers["app3"]; !s.isLeaving() {
					t.Errorf("got %s without the word of app3, want all hosts to know it", h.self.ID)
				}
			}
			hc.runUntil(hc.now + leavingAnnouncement)
			for _, h := range hc.hosts {
				if got := h.coordinator.announcedLeavings(hc.now - h.startedAt); len(got) > 0 {
					t.Errorf("got %v announced by %s, want the announcement to end", got, h.self.ID)
				}
			}
		})
	}
}

// Guards against a later incarnation that is taken out by the word of an earlier one that
// another host tells, and against one whose own word comes before its entry on the list.
func TestWordOfServerFromAnotherHost(t *testing.T) {
	now := 5 * time.Second
	told := func(started int64) HeartbeatReceived {
		return HeartbeatReceived{Heartbeat: Heartbeat{From: Peer{ID: "b"}, LeavingServers: []LeavingServer{{Server: "a0", StartedUnixMillis: started}}}}
	}
	for name, tc := range map[string]struct {
		told, listed int64
		want         bool
	}{
		"of the same incarnation":     {told: 1, listed: 1, want: false},
		"of an earlier incarnation":   {told: 0, listed: 1, want: true},
		"before a later incarnation":  {told: 1, listed: 2, want: true},
		"of an unlisted incarnation":  {told: 2, listed: 2, want: false},
		"of one later than the entry": {told: 3, listed: 2, want: false},
	} {
		t.Run(name, func(t *testing.T) {
			c := newNoticeCoordinator(now)
			c.Apply(now, told(tc.told))
			c.Apply(now+time.Second, ServersListed{Servers: []fuchsiapitch.ServerReport{plainEntry("a0", tc.listed)}, Offset: 2})
			assertServes(t, c, "a0", tc.want)
			if got := c.announcedLeavings(now); len(got) > 0 {
				t.Errorf("got %v announced, want only what the host has heard itself", got)
			}
		})
	}
}

// Guards against heartbeats that grow with the number of servers that leave. Each server is
// told within the announcement all the same.
func TestFewLeavingServersInOneHeartbeat(t *testing.T) {
	now := 5 * time.Second
	c := newNoticeCoordinator(now)
	const count = 200
	var list []fuchsiapitch.ServerReport
	for n := range count {
		list = append(list, plainEntry(fuchsiapitch.ServerID(fmt.Sprintf("b%03d", n)), 1))
	}
	c.Apply(now, ServersListed{Servers: list, Offset: 2})
	for _, r := range list {
		c.Apply(now, saysLeaving(r.ID))
	}
	told := make(map[fuchsiapitch.ServerID]bool)
	for n := range 100 {
		b := c.newHeartbeat(now + time.Duration(n)*maxMemberInterval/4)
		if got, want := len(b.LeavingServers), maxLeavingServers; got > want {
			t.Fatalf("got %d leaving servers in a heartbeat, want at most %d", got, want)
		}
		for _, l := range b.LeavingServers {
			told[l.Server] = true
		}
	}
	if got, want := len(told), count; got != want {
		t.Errorf("got %d servers told, want %d", got, want)
	}
}

// Guards against a group that keeps a member that has told another host than the controller
// that it leaves.
func TestControllerReplacesGroupAfterHeartbeat(t *testing.T) {
	sm := newSimulation(1)
	sm.startController()
	sm.run(12 * time.Second)
	head := sm.openLeader()
	ref := head.group
	sm.apply(0, HeartbeatReceived{Heartbeat: Heartbeat{From: Peer{ID: "other"}, LeavingServers: []LeavingServer{{Server: head.id, StartedUnixMillis: head.incarnation}}}})
	sm.run(6 * time.Second)
	assertNoViolations(t, sm)
	if got, want := sm.countOpenGroups(), 4; got != want {
		t.Errorf("got %d open groups, want %d", got, want)
	}
	if head.group == ref && head.state == fuchsiapitch.MemberOpen {
		t.Errorf("got %s open with its leaving head, want it replaced", ref.Name)
	}
}

// openLeader returns the first leader of an open group.
func (sm *simulation) openLeader() *simulatedEngine {
	for _, id := range sm.engineOrder {
		if e := sm.engines[id]; e.state == fuchsiapitch.MemberOpen {
			return e
		}
	}
	return nil
}

// Guards against operators who cannot see why a server gets no requests.
func TestViewShowsNotices(t *testing.T) {
	now := 5 * time.Second
	c := newNoticeCoordinator(now)
	c.Apply(now, saysLeaving("a0"))
	c.Apply(now, asksForPause("a1", 2*time.Second))
	servers := c.View(now + time.Second).Servers
	if got, want := servers[0].Condition, "leaving"; got != want || !servers[0].SaysLeaving {
		t.Errorf("got %+v, want it leaving by its own word", servers[0])
	}
	if got, want := servers[1].PausedFor, time.Second; got < want || got > want+maxReturnJitter {
		t.Errorf("got a pause of %v, want %v and the jitter", got, want)
	}
}
