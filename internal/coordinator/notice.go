package coordinator

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// A server may state in any response that it leaves. It gets no new request from then on,
// whatever the server list says, which lags behind. What it runs goes on to its end. The host
// tells the others, among them the controller, which replaces its group.
//
// A server may also ask this host for a pause beside a refusal. It gets no request of this
// host until the pause is over, and then one at first, and one more with each response that
// starts. The pause is not told to other hosts.

const (
	// leavingMemory is how long it is remembered that a server leaves once it is off the
	// list.
	leavingMemory = 5 * time.Minute
	// leavingAnnouncement is how long a host tells the others after the last word of a
	// server that it leaves, and maxLeavingServers the number of such servers in a message.
	// If there are more, each message has a part of them.
	leavingAnnouncement = 10 * time.Second
	maxLeavingServers   = 32
	// returnJitterShare is the share of a pause by which it is prolonged at most, and
	// maxReturnJitter the longest such time, so that hosts do not return together.
	returnJitterShare = 0.25
	maxReturnJitter   = 500 * time.Millisecond
	// fullReturn is the number of requests that may await a response at once from which on
	// a server that has paused is treated as any other.
	fullReturn = 16
	// returnMemory is how long after a pause a server is still approached gradually.
	returnMemory = 10 * time.Second
	// usableWaitShare is the share of the time left to a request for which its client waits
	// at most before it sends the request again.
	usableWaitShare = 1.0 / 3
)

// NoticeReceived reports what a server stated about itself beside a response to this host.
type NoticeReceived struct {
	Server fuchsiapitch.ServerID
	// Request is the request to which the server responded, "" for a probe or an order.
	Request fuchsiapitch.RequestID
	Notice  fuchsiapitch.ServerNotice
}

func (NoticeReceived) isEvent() {}

// ServerSetAside reports that a server gets no new requests because of what it stated.
type ServerSetAside struct {
	Server fuchsiapitch.ServerID
	// Request is the request to which the server responded, "" for none.
	Request fuchsiapitch.RequestID
	// Reason is SetAsideLeaving or SetAsidePause.
	Reason string
	// Pause is how long the server gets no requests, 0 if it leaves.
	Pause time.Duration
	// StartedUnixMillis is the incarnation of the server's list entry, and ListOffset the
	// end of the list that it was last read from.
	StartedUnixMillis, ListOffset int64
}

// Reasons to set a server aside.
const (
	SetAsideLeaving = "leaving"
	SetAsidePause   = "pause"
)

func (ServerSetAside) isEffect() {}

// leavingNotice is the statement of a server that it leaves.
type leavingNotice struct {
	// startedUnixMillis is the incarnation that made it.
	startedUnixMillis int64
	// heardAt is when this host last received it, from the server or from another host.
	heardAt time.Duration
	// announcedUntil is the time until which this host tells the others, 0 if it has the
	// statement from another host.
	announcedUntil time.Duration
	// isListed is true once a list received since has shown the server as leaving, and
	// listedOffset the end of the last such list.
	isListed     bool
	listedOffset int64
}

// noticeState holds what servers have stated about themselves.
type noticeState struct {
	leavingNotices map[fuchsiapitch.ServerID]*leavingNotice
	pauses         map[fuchsiapitch.ServerID]*pause
}

func newNoticeState() noticeState {
	return noticeState{leavingNotices: make(map[fuchsiapitch.ServerID]*leavingNotice), pauses: make(map[fuchsiapitch.ServerID]*pause)}
}

// pause is the time for which a server wants no requests from this host, and the return
// after it.
type pause struct {
	// returnsAt is the end of the pause at this host.
	returnsAt time.Duration
	// allowed is the number of requests that may await a response at once after the pause,
	// and awaiting the number of those that do.
	allowed, awaiting int
}

// isLeaving reports whether the server leaves by the list or by its own word.
func (s *server) isLeaving() bool { return s.report.Leaving || s.saysLeaving || s.leavesUnlisted }

// applyNotice processes what a server stated beside a response to this host.
func (c *Coordinator) applyNotice(now time.Duration, e NoticeReceived) {
	if e.Notice.Pause > 0 {
		c.startPause(now, e)
	}
	if e.Notice.ColdFor > 0 {
		c.ramps.Observe(now, e.Server, e.Notice.ColdFor)
	}
	s, isKnown := c.servers[e.Server]
	if !isKnown || !e.Notice.Leaving {
		return
	}
	if n := c.noteLeaving(now, s, e.Request, s.report.StartedUnixMillis); n != nil {
		n.heardAt, n.announcedUntil, n.isListed = now, now+leavingAnnouncement, false
		c.nextHeartbeatAt = min(c.nextHeartbeatAt, c.lastHeartbeatAt+c.earlyHeartbeatInterval())
	}
}

// noteLeaving records that an incarnation of a server has stated that it leaves, unless a
// later one is known.
func (c *Coordinator) noteLeaving(now time.Duration, s *server, request fuchsiapitch.RequestID, startedUnixMillis int64) *leavingNotice {
	if startedUnixMillis < s.report.StartedUnixMillis {
		return nil
	}
	id := s.report.ID
	n, isKnown := c.leavingNotices[id]
	if isKnown && s.saysLeaving && n.startedUnixMillis >= startedUnixMillis {
		return n
	}
	n = &leavingNotice{startedUnixMillis: startedUnixMillis, heardAt: now}
	c.leavingNotices[id], s.saysLeaving = n, true
	c.emit(ServerSetAside{Server: id, Request: request, Reason: SetAsideLeaving, StartedUnixMillis: s.report.StartedUnixMillis, ListOffset: c.knownListOffset()})
	c.reconcileServer(now, s)
	c.refreshReplicas(now)
	c.dispatchQueue(now)
	return n
}

// hasSaidLeaving reports whether the incarnation of a report is known to have stated that it
// leaves.
func (c *Coordinator) hasSaidLeaving(r fuchsiapitch.ServerReport) bool {
	n, ok := c.leavingNotices[r.ID]
	return ok && n.startedUnixMillis >= r.StartedUnixMillis
}

// noteLeavingServers records what servers have stated to other hosts.
func (c *Coordinator) noteLeavingServers(now time.Duration, leaving []LeavingServer) {
	for _, l := range leaving {
		if s, ok := c.servers[l.Server]; ok {
			c.noteLeaving(now, s, "", l.StartedUnixMillis)
		}
	}
}

// announcedLeavings returns the servers that have lately stated to this host that they leave.
func (c *Coordinator) announcedLeavings(now time.Duration) []LeavingServer {
	var leaving []LeavingServer
	for id, n := range c.leavingNotices {
		if now < n.announcedUntil {
			leaving = append(leaving, LeavingServer{Server: id, StartedUnixMillis: n.startedUnixMillis})
		}
	}
	return limitLeavingServers(leaving, c.sequence)
}

// limitLeavingServers sorts a list of leaving servers and removes repeated ones. It returns the part
// for the message of a sequence number.
func limitLeavingServers(leaving []LeavingServer, sequence uint64) []LeavingServer {
	slices.SortFunc(leaving, func(a, b LeavingServer) int {
		return cmp.Or(cmp.Compare(a.Server, b.Server), cmp.Compare(a.StartedUnixMillis, b.StartedUnixMillis))
	})
	leaving = slices.Compact(leaving)
	if len(leaving) <= maxLeavingServers {
		return leaving
	}
	parts := slices.Collect(slices.Chunk(leaving, maxLeavingServers))
	// A relay uses every second or third sequence number for the same kind of message.
	rng := rand.New(rand.NewPCG(sequence, 0)) //nolint:gosec // No secret depends on the draw.
	return parts[rng.IntN(len(parts))]
}

// knownListOffset returns the end of the newest list that this host knows: its own, that of another
// host or the one behind its directory.
func (c *Coordinator) knownListOffset() int64 {
	return max(c.listOffset, c.heardOffset, c.directoryOffset)
}

// reviewLeaving compares what a server has stated with its entry on a list that ends at an
// offset. The server counts as sound again if the entry is of a later incarnation. Without one, an
// entry that says ready may be older than the statement, or the server never listed that it
// leaves: it counts only if a list has shown the server as leaving since, and a later list
// no longer does.
func (c *Coordinator) reviewLeaving(now time.Duration, s *server, entry fuchsiapitch.ServerReport, offset int64) {
	n, ok := c.leavingNotices[entry.ID]
	if !ok {
		return
	}
	switch {
	case s.report.StartedUnixMillis > n.startedUnixMillis:
		delete(c.leavingNotices, entry.ID)
	case entry.StartedUnixMillis < n.startedUnixMillis:
	case entry.Leaving:
		n.isListed, n.listedOffset = true, max(n.listedOffset, offset)
	case n.isListed && offset > n.listedOffset && now-n.heardAt > listLag:
		delete(c.leavingNotices, entry.ID)
	}
	_, s.saysLeaving = c.leavingNotices[entry.ID]
}

// forgetNotices forgets what servers have stated that have been off the list for long.
func (c *Coordinator) forgetNotices(now time.Duration) {
	for id, n := range c.leavingNotices {
		lastSeenAt := n.heardAt
		if s, ok := c.servers[id]; ok {
			if s.listed {
				continue
			}
			lastSeenAt = max(lastSeenAt, s.unlistedAt)
		}
		if now-lastSeenAt > leavingMemory {
			delete(c.leavingNotices, id)
		}
	}
}

// startPause begins or prolongs the pause of a server. The pause outlasts a restart of the
// server, which may not have been the cause.
func (c *Coordinator) startPause(now time.Duration, e NoticeReceived) {
	returnsAt := time.Duration(0)
	if p, ok := c.pauses[e.Server]; ok {
		returnsAt = p.returnsAt
	}
	if now >= returnsAt {
		r := ServerSetAside{Server: e.Server, Request: e.Request, Reason: SetAsidePause, Pause: e.Notice.Pause, ListOffset: c.knownListOffset()}
		if s, ok := c.servers[e.Server]; ok {
			r.StartedUnixMillis = s.report.StartedUnixMillis
		}
		c.emit(r)
	}
	jitter := min(time.Duration(returnJitterShare*float64(e.Notice.Pause)), maxReturnJitter)
	returnsAt = max(returnsAt, now+e.Notice.Pause+time.Duration(c.rng.Int64N(int64(jitter)+1)))
	// Responses to requests from before the pause do not widen the return.
	c.pauses[e.Server] = &pause{returnsAt: returnsAt, allowed: 1}
	c.dispatchQueue(now)
}

// availableAt returns the time from which on a replica may get requests again after a
// back-off or a pause, or because it is cold.
func (c *Coordinator) availableAt(r *replica) time.Duration {
	return max(c.beginsAt(r), c.rampUntil(r))
}

// beginsAt returns the time from which on a replica begins requests again after a back-off or a
// pause. A cold one begins those of the hosts that may send to it.
func (c *Coordinator) beginsAt(r *replica) time.Duration {
	if p, ok := c.pauses[r.server]; ok {
		return max(r.unavailableUntil, p.returnsAt)
	}
	return r.unavailableUntil
}

// pausedFor returns how long a server gets no requests because it asked for a pause.
func (c *Coordinator) pausedFor(now time.Duration, id fuchsiapitch.ServerID) time.Duration {
	if p, ok := c.pauses[id]; ok {
		return max(0, p.returnsAt-now)
	}
	return 0
}

// isHeldBack reports whether a replica gets no request now because of a back-off, a pause or
// the return from one.
func (c *Coordinator) isHeldBack(now time.Duration, r *replica) bool {
	if now < c.availableAt(r) {
		return true
	}
	p, ok := c.pauses[r.server]
	return ok && p.awaiting >= p.allowed
}

// soonestReturns returns when the first replica of a pool is available again, for each pool of
// which all replicas are unavailable and at least one pauses.
func (c *Coordinator) soonestReturns(now time.Duration) map[poolKey]time.Duration {
	if len(c.pauses) == 0 {
		return nil
	}
	soonest, pausing := make(map[poolKey]time.Duration), make(map[poolKey]bool)
	for _, r := range c.replicas {
		if !r.open {
			continue
		}
		k := poolKey{r.service, r.model}
		if at, ok := soonest[k]; !ok || c.availableAt(r) < at {
			soonest[k] = c.availableAt(r)
		}
		pausing[k] = pausing[k] || c.pausedFor(now, r.server) > 0
	}
	for k, at := range soonest {
		if now >= at || !pausing[k] {
			delete(soonest, k)
		}
	}
	return soonest
}

// refuseIfPaused refuses a request whose replicas all pause if the first of them returns too
// late for it. It reports whether it has. A resumed stream waits until its deadline, since another
// replica may come before. soonest holds the result of soonestReturns.
func (c *Coordinator) refuseIfPaused(now time.Duration, w *queuedRequest, soonest map[poolKey]time.Duration) bool {
	returnsAt, isPaused := soonest[w.pool]
	if !isPaused || w.Resumed || returnsAt < w.Deadline && returnsAt <= c.waitLimit(w.arrivedAt, w) {
		return false
	}
	c.returnPermit(w)
	usableWait := time.Duration(usableWaitShare * float64(w.Deadline-now))
	c.emit(Refuse{Ticket: w.Ticket, Reason: Paused, RetryAfter: max(min(returnsAt-now, usableWait), minRetryAfter)})
	return true
}

// countReturning counts a granted request at a server that returns from a pause.
func (c *Coordinator) countReturning(a *assignment) {
	if p, ok := c.pauses[a.replica.server]; ok {
		p.awaiting++
		a.returningFrom = p
	}
}

// endReturning processes the first response to a request that was granted on the return from
// a pause, or its failure.
func (c *Coordinator) endReturning(a *assignment, succeeded bool) {
	p := a.returningFrom
	if p == nil {
		return
	}
	a.returningFrom = nil
	p.awaiting--
	if !succeeded {
		p.allowed = 1
		return
	}
	if p.allowed++; p.allowed >= fullReturn && c.pauses[a.replica.server] == p {
		delete(c.pauses, a.replica.server)
	}
}

// advancePauses shortens the pauses by the time for which the process was suspended, and
// forgets those that are long over.
func (c *Coordinator) advancePauses(now, suspendedFor time.Duration) {
	for id, p := range c.pauses {
		p.returnsAt -= suspendedFor
		if now-p.returnsAt > returnMemory {
			delete(c.pauses, id)
		}
	}
}
