package coordinator

import (
	"math"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/confiner"
)

// A stream whose server is silent may go on at another server, within the retry budget. It is
// taken from its server only if that cannot end it: the server may go on, whether or not it
// accepts connections, and the client decides for how long it waits. Any other stream ends with
// its connection, or once its server is known to have started again.

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
// controller has dissolved or keeps for other requests only, once they are silent, as far as they
// can move or their server has ended them.
func (c *Coordinator) revokeFromDissolved(now time.Duration, statuses []GroupStatus) {
	announced := make(map[fuchsiapitch.ServerID]bool, len(statuses))
	for _, g := range statuses {
		announced[g.Leader] = !g.Unresponsive
	}
	for _, k := range sortedKeys(c.assignments) {
		a := c.assignments[k]
		r := a.replica
		if a.revoked || r.open || announced[r.server] || r.model == "" || r.silentFor(now) < groupSilenceTimeout || !c.canMove(now, a) && !c.hasRestarted(a) {
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
		if a.revoked || r.model == "" || r.silentFor(now) < revocationSilence || now-a.grantedAt < revocationSilence || !c.canMove(now, a) {
			continue
		}
		r.unavailableUntil = max(r.unavailableUntil, now+revocationSilence)
		c.revoke(now, k, a)
	}
}

// canMove reports whether a request may be sent to another server now: an attempt and a retry
// are left, and another server works.
func (c *Coordinator) canMove(now time.Duration, a *assignment) bool {
	return a.mayMove && c.mayRetry(now, a.pool.service) && c.hasAlternative(now, a.replica, a.home)
}

// hasAlternative reports whether another replica accepts the requests of a replica with a home and
// is not silent as well.
func (c *Coordinator) hasAlternative(now time.Duration, r *replica, home confiner.Home) bool {
	for id, o := range c.replicas {
		if o != r && o.serves(poolKey{r.service, r.model}) && c.mayUse(home, o) && now >= c.availableAt(o) && !c.isSilentToAllHosts(now, id) {
			return true
		}
	}
	return false
}

// hasRestarted reports whether the server of a request has started again since the slot was
// granted.
func (c *Coordinator) hasRestarted(a *assignment) bool {
	return a.incarnation.StartedUnixMillis > 0 && c.incarnationOf(a.replica.server).StartedUnixMillis > a.incarnation.StartedUnixMillis
}

// pinnedRequests returns the number of this host's requests at each replica that cannot go on
// at another one: those with no attempt left, those for which no retry is free if all the
// others at the replica are sent again, and all if no other replica works.
func (c *Coordinator) pinnedRequests(now time.Duration) map[*replica]int {
	pinned, movable := make(map[*replica]int), make(map[*replica]int)
	for _, a := range c.assignments {
		switch {
		case a.revoked:
		case a.mayMove:
			movable[a.replica]++
		default:
			pinned[a.replica]++
		}
	}
	for r, n := range movable {
		if c.hasAlternative(now, r, confiner.Anywhere) {
			n -= c.freeRetries(now, r.service)
		}
		pinned[r] += max(0, n)
	}
	return pinned
}

// freeRetries returns how many more retries of a service the budget allows this host.
func (c *Coordinator) freeRetries(now time.Duration, service fuchsiapitch.ServiceName) int {
	if c.retryWindow <= 0 {
		return math.MaxInt
	}
	requests, retries := c.usageInWindow(now, service)
	return max(0, int(c.allowedRetries(requests)-retries))
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
