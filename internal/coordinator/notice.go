package coordinator

import (
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// A server may state in any response that it leaves. It gets no new request from then on,
// whatever the server list says, which lags behind. What it runs goes on to its end.

// leavingMemory is how long it is remembered that a server leaves once it is off the list.
const leavingMemory = 5 * time.Minute

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
	// heardAt is when this host last received it.
	heardAt time.Duration
	// isListed is true once a list received since has shown the server as leaving, and
	// listedOffset the end of the last such list.
	isListed     bool
	listedOffset int64
}

// noticeState holds what servers have stated about themselves.
type noticeState struct {
	leavingNotices map[fuchsiapitch.ServerID]*leavingNotice
}

func newNoticeState() noticeState {
	return noticeState{leavingNotices: make(map[fuchsiapitch.ServerID]*leavingNotice)}
}

// isLeaving reports whether the server leaves by the list or by its own word.
func (s *server) isLeaving() bool { return s.report.Leaving || s.saysLeaving }

// applyNotice processes what a server stated beside a response to this host.
func (c *Coordinator) applyNotice(now time.Duration, e NoticeReceived) {
	s, isKnown := c.servers[e.Server]
	if !isKnown || !e.Notice.Leaving {
		return
	}
	if n := c.noteLeaving(now, s, e.Request, s.report.StartedUnixMillis); n != nil {
		n.heardAt, n.isListed = now, false
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

// knownListOffset returns the end of the newest list that this host knows, its own or the
// one behind its directory.
func (c *Coordinator) knownListOffset() int64 { return max(c.listOffset, c.directoryOffset) }

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
