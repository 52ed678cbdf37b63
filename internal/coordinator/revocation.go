package coordinator

import (
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// A stream whose server is silent may go on at another server, within the retry budget. As
// long as the server may go on as well, the stream is taken from it only if that cannot end
// the stream. A stream whose server cannot be connected to, or whose group has been
// dissolved, is given up at once even if it cannot be resumed.

// reservationTimeout is how long a retry stays reserved for a request whose slot was revoked.
// It arrives again within milliseconds unless its client has left.
const reservationTimeout = time.Second

// revocationState holds the retries that are reserved for requests whose slots were
// revoked: until when, by the tickets of the revoked slots.
type revocationState struct {
	reservedRetries map[Ticket]time.Duration
}

func newRevocationState() revocationState {
	return revocationState{reservedRetries: make(map[Ticket]time.Duration)}
}

// revokeFromDissolved revokes the slots of this host's requests at groups that the
// controller has dissolved, once they are silent.
func (c *Coordinator) revokeFromDissolved(now time.Duration, statuses []GroupStatus) {
	announced := make(map[fuchsiapitch.ServerID]bool, len(statuses))
	for _, g := range statuses {
		announced[g.Leader] = true
	}
	for _, k := range sortedKeys(c.assignments) {
		a := c.assignments[k]
		r := a.replica
		if a.revoked || r.open || announced[r.server] || r.model == "" || r.silentFor(now) < groupSilenceTimeout {
			continue
		}
		c.revoke(now, k, a)
	}
}

// revokeFromSilent revokes the slots of this host's requests at engines that have sent
// it no byte for revocationSilence, as far as the retry budget allows. The controller does
// not detect a network partition that affects this host alone.
func (c *Coordinator) revokeFromSilent(now time.Duration) {
	for _, k := range sortedKeys(c.assignments) {
		a := c.assignments[k]
		r := a.replica
		if a.revoked || r.model == "" || r.silentFor(now) < revocationSilence || now-a.grantedAt < revocationSilence || !c.mayRetry(now, a.pool.service) {
			continue
		}
		if isUnreachable := r.unreachableBackOff > 0; !a.mayMove && !isUnreachable {
			continue
		}
		r.unavailableUntil = max(r.unavailableUntil, now+revocationSilence)
		c.revoke(now, k, a)
	}
}

// revoke revokes the slot of a request. It reserves the retry of one that may move if the
// retry budget allows it.
func (c *Coordinator) revoke(now time.Duration, t Ticket, a *assignment) {
	a.revoked = true
	if a.mayMove && c.takeRetry(now, a.pool.service) {
		c.reservedRetries[t] = now + reservationTimeout
	}
	c.emit(Revoke{Ticket: t})
}

// takeReservedRetry reports whether a retry is reserved for a request, and uses it.
func (c *Coordinator) takeReservedRetry(previous Ticket) bool {
	_, ok := c.reservedRetries[previous]
	delete(c.reservedRetries, previous)
	return ok
}

// forgetReservedRetries forgets the retries of requests that have not arrived again.
func (c *Coordinator) forgetReservedRetries(now time.Duration) {
	for t, until := range c.reservedRetries {
		if now >= until {
			delete(c.reservedRetries, t)
		}
	}
}
