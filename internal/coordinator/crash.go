package coordinator

import (
	"slices"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/quarantiner"
)

// A request may end the server that answers it, and others like it the next server. Hosts tell
// each other which parts the prompts had under which servers ended, and refuse requests with a
// part that is quarantined for it (package quarantiner).
//
// A server has ended if it broke off a response and refuses connections afterwards, or
// responds as a later incarnation. One that responds as before has broken off a single response;
// one that does not respond at all may be cut off or paused. Servers that leave count as sound.

const (
	// quarantineRetryAfter is the retry delay of a request with a quarantined part. No host
	// will run it sooner.
	quarantineRetryAfter = 30 * time.Second
	// answerSettleTime is the time within which another host can tell of answered requests,
	// also if a datagram is lost. relayedAnswerSettleTime is the same with relays.
	answerSettleTime        = 500 * time.Millisecond
	relayedAnswerSettleTime = 700 * time.Millisecond
	// discriminatingRetryAfter is the retry delay of a request that was refused although its
	// outcome would tell quarantined parts apart: another one is likely to do so soon.
	discriminatingRetryAfter = 2 * time.Second
	// permitWait is how long a request that may get a permit waits for it.
	permitWait = 1500 * time.Millisecond
	// endingTimeout is the time after which an unverified end of a server is forgotten.
	endingTimeout = 5 * time.Second
)

// VerifyServer asks a server whether it runs on after it has broken off a response.
type VerifyServer struct {
	Server            fuchsiapitch.ServerID
	Address           string
	StartedUnixMillis int64
}

// ServerVerified reports the result of VerifyServer.
type ServerVerified struct {
	Server            fuchsiapitch.ServerID
	StartedUnixMillis int64
	// Ended is true if this incarnation of the server runs no longer, false if it does or
	// if that is unknown.
	Ended bool
}

// ServerEnded reports that a server has ended while it answered requests of this host.
type ServerEnded struct {
	Server            fuchsiapitch.ServerID
	StartedUnixMillis int64
	// Parts is the number of parts of the prompts that it had just begun to answer.
	Parts int
}

// QuarantineChanged reports that a part of prompts is quarantined, or no longer.
type QuarantineChanged struct {
	Part        quarantiner.Part
	Quarantined bool
}

// PermitUsed reports that a request with quarantined parts is sent.
type PermitUsed struct {
	Server fuchsiapitch.ServerID
	// Parts are the quarantined parts of the request.
	Parts []quarantiner.Part
	// IsDiscriminating is true if its outcome tells them from others.
	IsDiscriminating bool
}

func (VerifyServer) isEffect()      {}
func (PermitUsed) isEffect()        {}
func (ServerEnded) isEffect()       {}
func (QuarantineChanged) isEffect() {}
func (ServerVerified) isEvent()     {}

// crashState holds the evidence about parts of prompts, and the servers that are being verified.
type crashState struct {
	parts *quarantiner.Table
	// endings are the servers that have broken off responses and are being verified.
	endings map[quarantiner.Incarnation]*ending
	// quarantined are the parts of which an effect has told that they are quarantined.
	quarantined []quarantiner.Part
	// awaitingPermits are the requests that may get permits for their quarantined parts soon.
	// They take part in no queue and no budget.
	awaitingPermits []*queuedRequest
}

// ending is a server that has broken off responses.
type ending struct {
	at    time.Duration
	parts map[quarantiner.Part]bool
	// requests are those whose responses it has broken off.
	requests []*assignment
}

func newCrashState(self Peer) crashState {
	t := quarantiner.New(self.ID)
	t.SetSettleTime(relayedAnswerSettleTime)
	return crashState{parts: t, endings: make(map[quarantiner.Incarnation]*ending)}
}

// incarnationOf returns the incarnation of a server as far as it is known.
func (c *Coordinator) incarnationOf(id fuchsiapitch.ServerID) quarantiner.Incarnation {
	i := quarantiner.Incarnation{Server: id}
	if s, ok := c.servers[id]; ok {
		i.StartedUnixMillis = s.report.StartedUnixMillis
	}
	return i
}

// observeRelease evaluates the end of a request for the parts of its prompt.
func (c *Coordinator) observeRelease(now time.Duration, a *assignment, e TicketReleased) {
	if len(a.parts) == 0 {
		return
	}
	if e.Unreachable && a.isPermitted {
		c.parts.Return(a.parts)
		return
	}
	hasLasted := a.hasLasted()
	if hasLasted || e.Complete {
		c.recordAnswer(now, a.answeredSince(), a.parts)
	}
	if e.ConnectionEnded && !hasLasted && !a.revoked {
		c.observeEnding(now, a)
	}
}

// recordAnswer records a response that acquits the parts of its request, and tells the other hosts
// soon if one of them was quarantined.
func (c *Coordinator) recordAnswer(now, startedAt time.Duration, parts []quarantiner.Part) {
	wasQuarantined := c.parts.IsQuarantined(parts)
	c.parts.RecordAnswer(now, startedAt, parts)
	if wasQuarantined {
		c.announceParts()
	}
}

// hasLasted reports whether the server has sent bytes long after it began to answer a request.
func (a *assignment) hasLasted() bool {
	return a.responseStarted && a.replica.lastByteAt-a.startedAt >= quarantiner.SurvivalTime
}

// answeredSince returns when the response to a request began, or when the request was sent if
// that is unknown.
func (a *assignment) answeredSince() time.Duration {
	if a.responseStarted {
		return a.startedAt
	}
	return a.grantedAt
}

// observeEnding records that a server broke off a response that it had just begun, or not yet,
// and has the server verified.
func (c *Coordinator) observeEnding(now time.Duration, a *assignment) {
	if c.parts.HasCrash(a.incarnation) {
		c.recordCrash(now, now, a.incarnation, a.parts)
		c.recordTrialCrash(a)
		return
	}
	s, ok := c.servers[a.incarnation.Server]
	if !ok || s.isLeaving() {
		return
	}
	e, ok := c.endings[a.incarnation]
	if !ok {
		e = &ending{at: now, parts: make(map[quarantiner.Part]bool)}
		c.endings[a.incarnation] = e
		c.emit(VerifyServer{Server: a.incarnation.Server, Address: a.replica.address, StartedUnixMillis: a.incarnation.StartedUnixMillis})
	}
	for _, p := range a.parts {
		e.parts[p] = true
	}
	e.requests = append(e.requests, a)
}

// Verification returns how to verify whether the server of a request runs on, false if that is
// unknown. A server that leaves, or has left the list, is asked as well: it ends with the responses that it has not
// finished.
func (c *Coordinator) Verification(t Ticket) (VerifyServer, bool) {
	a, ok := c.assignments[t]
	if !ok {
		return VerifyServer{}, false
	}
	return VerifyServer{Server: a.incarnation.Server, Address: a.replica.address, StartedUnixMillis: a.incarnation.StartedUnixMillis}, true
}

// applyVerification processes whether a server that broke off responses has ended.
func (c *Coordinator) applyVerification(now time.Duration, e ServerVerified) {
	i := quarantiner.Incarnation{Server: e.Server, StartedUnixMillis: e.StartedUnixMillis}
	ending, ok := c.endings[i]
	if !ok {
		return
	}
	delete(c.endings, i)
	if !e.Ended {
		return
	}
	c.emit(ServerEnded{Server: e.Server, StartedUnixMillis: e.StartedUnixMillis, Parts: len(ending.parts)})
	c.recordCrash(now, ending.at, i, sortedKeys(ending.parts))
	for _, a := range ending.requests {
		c.recordTrialCrash(a)
	}
}

// recordTrialCrash records the end of a server under a request that was sent by a permit.
func (c *Coordinator) recordTrialCrash(a *assignment) {
	if a.isPermitted {
		c.parts.RecordTrialCrash(a.parts)
	}
}

// recordCrash records the end of a server and tells the other hosts soon.
func (c *Coordinator) recordCrash(now, at time.Duration, i quarantiner.Incarnation, parts []quarantiner.Part) {
	c.parts.RecordCrash(now, at, i, parts)
	c.announceParts()
	c.enforceQuarantines(now)
}

// adoptPartEvidence adopts what another host tells of parts.
func (c *Coordinator) adoptPartEvidence(now time.Duration, m quarantiner.Message) {
	c.parts.Apply(now, m)
	c.enforceQuarantines(now)
	c.admitPermitted(now)
}

// reviewParts reports the responses in progress that acquit their parts, and gives out permits if
// this host is the controller.
func (c *Coordinator) reviewParts(now time.Duration) {
	for i, e := range c.endings {
		if now-e.at > endingTimeout {
			delete(c.endings, i)
		}
	}
	if !c.parts.IsWatched() {
		return
	}
	settleTime := answerSettleTime
	if c.usesRelays() {
		settleTime = relayedAnswerSettleTime
	}
	c.parts.SetSettleTime(settleTime)
	for _, t := range sortedKeys(c.assignments) {
		if a := c.assignments[t]; !a.hasAcquitted && len(a.parts) > 0 && a.hasLasted() {
			a.hasAcquitted = true
			c.recordAnswer(now, a.startedAt, a.parts)
		}
	}
	c.parts.Review(now)
	if c.isController(now) && c.parts.GrantPermits(now) {
		c.announceParts()
	}
	c.enforceQuarantines(now)
}

// announceParts tells the other hosts soon what this host knows of parts.
func (c *Coordinator) announceParts() {
	c.nextHeartbeatAt = min(c.nextHeartbeatAt, c.lastHeartbeatAt+c.earlyHeartbeatInterval())
	c.nextDigestAt = min(c.nextDigestAt, c.now)
}

// enforceQuarantines applies changed quarantines to the requests that are queued or have been
// sent to a server that has not begun to answer them.
func (c *Coordinator) enforceQuarantines(now time.Duration) {
	c.queue = slices.DeleteFunc(c.queue, func(w *queuedRequest) bool {
		if !c.parts.IsQuarantined(w.Parts) || w.isPermitted && c.parts.HoldsPermits(w.Parts) {
			return false
		}
		c.returnPermit(w)
		c.refuseQuarantined(w)
		return true
	})
	current := c.parts.QuarantinedParts()
	if slices.Equal(current, c.quarantined) {
		return
	}
	for _, p := range current {
		if !slices.Contains(c.quarantined, p) {
			c.emit(QuarantineChanged{Part: p, Quarantined: true})
		}
	}
	for _, p := range c.quarantined {
		if !slices.Contains(current, p) {
			c.emit(QuarantineChanged{Part: p})
		}
	}
	c.quarantined = current
	for _, t := range sortedKeys(c.assignments) {
		a := c.assignments[t]
		if c.parts.IsQuarantined(a.parts) && !a.isPermitted && !a.responseStarted && !a.revoked {
			a.revoked = true
			c.emit(Revoke{Ticket: t, Quarantined: true})
		}
	}
	c.dispatchQueue(now)
}
