package grouper

import (
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

const (
	// promiseRequestAge is the age of the lease from which the controller requests
	// promises from the electors.
	promiseRequestAge = 1700 * time.Millisecond
	// promiseRequestPeriod is the time between two requests for promises.
	promiseRequestPeriod = 2 * time.Second
	// maxRecordedHeartbeats is the number of sent heartbeats whose send times are
	// kept.
	maxRecordedHeartbeats = 512
)

// NoClaimPromise is an elector's promise not to claim, or the controller's request for
// one, as carried in heartbeats.
type NoClaimPromise struct {
	// Term is the term of the controller to which it is given.
	Term fuchsiapitch.Term
	// Wanted is true if the sender is the controller and requests promises.
	Wanted bool
	// Remaining is how long the promise holds. The controller counts it from the
	// sending of the heartbeat that the promise answers.
	Remaining time.Duration
	// Incarnation is the incarnation of the elector that gives it.
	Incarnation uint64
	// Echo is the sequence number of the controller's heartbeat that the promise
	// answers.
	Echo uint64
}

// ownPromise is the promise that this host has given to the controller.
type ownPromise struct {
	term  fuchsiapitch.Term
	until time.Duration
	echo  uint64
}

// receivedPromise is a promise that this host holds as the controller.
type receivedPromise struct {
	sentAt   fuchsiapitch.Instant
	duration time.Duration
}

// HeartbeatPromise returns the promise, or the request for promises, to put in
// the heartbeat with the given sequence. As the controller it also records when
// that heartbeat is sent.
func (g *Grouper) HeartbeatPromise(now fuchsiapitch.Instant, sequence uint64) NoClaimPromise {
	if g.controller != nil {
		g.controller.recordHeartbeat(sequence, now)
		return NoClaimPromise{Term: g.controller.term, Wanted: g.controller.wantsPromises(now)}
	}
	p := g.ownPromise
	if p.term != g.committed.Term() || now.Monotonic() >= p.until {
		return NoClaimPromise{}
	}
	return NoClaimPromise{Term: p.term, Remaining: p.until - now.Monotonic(), Incarnation: g.incarnation, Echo: p.echo}
}

// PromiseReceived handles the promise in a heartbeat: the controller's request
// or an elector's answer.
func (g *Grouper) PromiseReceived(now fuchsiapitch.Instant, from fuchsiapitch.HostID, sequence uint64, p NoClaimPromise) {
	if p.Wanted {
		g.promiseNotToClaim(now, from, sequence, p)
		return
	}
	if g.controller != nil && p.Term == g.controller.term && p.Remaining > 0 {
		g.controller.addPromise(g.committed, from, p)
	}
}

// promiseNotToClaim promises not to claim, unless a claim of this host against the
// same term may already be in flight. Such a claim is known to have failed only
// once the stream shows a later term.
func (g *Grouper) promiseNotToClaim(now fuchsiapitch.Instant, from fuchsiapitch.HostID, sequence uint64, p NoClaimPromise) {
	holder, _ := g.committed.Holder()
	if !g.committed.IsComplete() || p.Term != g.committed.Term() || from != holder || g.committed.LeaseReleased() {
		return
	}
	if g.candidate.claimAttempted && g.candidate.attemptedTerm == p.Term {
		return
	}
	g.ownPromise = ownPromise{term: p.Term, until: now.Monotonic() + PromiseDuration, echo: sequence}
}

// recordHeartbeat records when a heartbeat is sent.
func (cs *controllerState) recordHeartbeat(sequence uint64, now fuchsiapitch.Instant) {
	cs.heartbeatSentAt[sequence] = now
	delete(cs.heartbeatSentAt, sequence-maxRecordedHeartbeats)
}

// wantsPromises reports whether the lease is old enough to request promises.
func (cs *controllerState) wantsPromises(now fuchsiapitch.Instant) bool {
	return now.Sub(cs.lease.sentAt) >= promiseRequestAge
}

// addPromise records an elector's promise, counted from the sending of the
// heartbeat that it answers. That is before the promise was given, so message
// delays can only shorten it.
func (cs *controllerState) addPromise(committed *StateMachine, from fuchsiapitch.HostID, p NoClaimPromise) {
	e, ok := committed.Elector(from)
	echoSentAt, isRecorded := cs.heartbeatSentAt[p.Echo]
	if !ok || !isRecorded || e.Incarnation != p.Incarnation {
		return
	}
	updated := receivedPromise{sentAt: echoSentAt, duration: p.Remaining - clockMargin}
	if old, ok := cs.promises[from]; !ok || updated.expiresAt() > old.expiresAt() {
		cs.promises[from] = updated
	}
}

func (rp receivedPromise) expiresAt() time.Duration { return rp.sentAt.Monotonic() + rp.duration }

// orderPermission returns the time until which orders may be issued, and
// whether they may be issued now. Without a valid lease this requires an
// unexpired promise of every other elector, and at most MaxLogOutage since the
// last renewal.
func (cs *controllerState) orderPermission(now fuchsiapitch.Instant, committed *StateMachine, self fuchsiapitch.HostID) (fuchsiapitch.Instant, bool) {
	if cs.lease.IsValid(now) {
		return cs.lease.Expiry(), true
	}
	limit := MaxLogOutage - clockMargin
	if Lapsed(now, cs.lease.sentAt, limit) {
		return fuchsiapitch.Instant{}, false
	}
	expiry := cs.lease.sentAt.Add(limit)
	for _, e := range committed.Electors() {
		if e.Host == self {
			continue
		}
		rp, ok := cs.promises[e.Host]
		if !ok || Lapsed(now, rp.sentAt, rp.duration) {
			return fuchsiapitch.Instant{}, false
		}
		if end := rp.sentAt.Add(rp.duration); end.Monotonic() < expiry.Monotonic() {
			expiry = end
		}
	}
	return expiry, true
}
