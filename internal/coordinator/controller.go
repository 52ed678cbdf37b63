package coordinator

import (
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

const (
	// electionDelay is the time after the start before a host claims control, so that
	// hosts that start together hear from each other first.
	electionDelay = 700 * time.Millisecond
	// storeSettleDuration is how long the store must have been readable before a host
	// that hears from no peer claims control.
	storeSettleDuration = 2500 * time.Millisecond
	// claimRetryInterval is the minimum time between two claims of one host.
	claimRetryInterval = time.Second
	// storeOutageGrace is how long the controller may continue without the store if it
	// does not hear from a majority of the hosts.
	storeOutageGrace = 5 * time.Second
	// formationBits is the number of low bits of an epoch. They count the formations
	// made under one claim; the high bits hold the claim.
	formationBits = 20
)

// controllerState tells which host is the controller, which plans the groups and gives
// orders. The claim with the highest number in the store decides; heartbeats show that
// its holder is alive.
type controllerState struct {
	// ownClaim is the claim of this host, 0 for none. claimUnverified states that the
	// store must be read again before the claim is used.
	ownClaim        int64
	claimUnverified bool
	// knownClaim is the highest known claim, and claimHolder the host that holds it, ""
	// if unknown.
	knownClaim     int64
	claimHolder    fuchsiapitch.HostID
	holderHeardAt  time.Duration
	lastClaimAt    time.Duration
	formationCount int64
	// controllerSince is when this host became the controller. surveyedSince equals it
	// once all servers have been surveyed.
	controllerSince, surveyedSince time.Duration
	// surveyStartedAt is when the last survey started.
	surveyStartedAt time.Duration
}

// activeClaim returns the claim by which this host is the controller, 0 if it is not.
func (c *Coordinator) activeClaim(now time.Duration) int64 {
	if c.isController(now) {
		return c.ownClaim
	}
	return 0
}

// isController reports whether this host may give orders. It must hold the highest
// known claim, and have read the list within storeOutageGrace or hear from a majority
// of the hosts.
func (c *Coordinator) isController(now time.Duration) bool {
	if c.ownClaim == 0 || c.ownClaim != c.knownClaim || c.claimUnverified || c.stopping {
		return false
	}
	return now-c.listReadAt < storeOutageGrace || 2*c.LiveHosts(now) > len(c.peers)+1
}

// handleSuspension is called after the process was suspended: another host may have
// claimed control in the meantime.
func (c *Coordinator) handleSuspension(now time.Duration) {
	c.claimUnverified = c.ownClaim != 0
	for _, p := range c.peers {
		if p.hasBeenHeard {
			p.lastHeardAt = now
		}
	}
	c.log("process was suspended", map[string]any{"claim": c.ownClaim})
}

// handoverEpochGap is added to the formation count at a handover, so that the epochs of
// the new controller stay clear of those of the old one.
const handoverEpochGap = 1 << 12

// successor returns the host that takes over from this host when it stops, "" for none.
func (c *Coordinator) successor(now time.Duration) fuchsiapitch.HostID {
	for _, id := range sortedKeys(c.peers) {
		if p := c.peers[id]; p.isLive(now) && !p.heartbeat.Stopping {
			return id
		}
	}
	return ""
}

// acceptHandover takes over the claim of a stopping controller. The store is not needed
// for this, because the old controller has stopped giving orders.
func (c *Coordinator) acceptHandover(now time.Duration, b Heartbeat) {
	if b.Successor != c.self.ID || b.HandedOverClaim < c.knownClaim || b.HandedOverClaim == c.ownClaim || c.stopping {
		return
	}
	c.ownClaim, c.knownClaim, c.claimHolder = b.HandedOverClaim, b.HandedOverClaim, c.self.ID
	c.claimUnverified, c.controllerSince, c.formationCount = false, now, b.Formations+handoverEpochGap
	c.log("takes over the lead", map[string]any{"claim": c.ownClaim, "from": b.From.ID})
}

// observeClaim processes the claims in a heartbeat.
func (c *Coordinator) observeClaim(now time.Duration, b Heartbeat) {
	c.acceptHandover(now, b)
	if b.KnownClaim > c.knownClaim {
		c.knownClaim, c.claimHolder = b.KnownClaim, ""
	}
	if b.Claim != 0 && b.Claim == c.knownClaim {
		c.claimHolder, c.holderHeardAt = b.From.ID, now
	}
}

// applyClaim processes a claim read from the store.
func (c *Coordinator) applyClaim(now time.Duration, e ClaimRead) {
	if e.Number < c.knownClaim {
		return
	}
	if e.Holder == c.self.ID && e.Incarnation == c.incarnation {
		if c.ownClaim != e.Number {
			c.log("leads the groups", map[string]any{"claim": e.Number})
			c.formationCount = 0
			c.controllerSince = now
		}
		c.ownClaim, c.claimUnverified = e.Number, false
	}
	switch {
	case e.Number == c.knownClaim:
	case e.Holder == c.self.ID && e.Incarnation != c.incarnation:
		// The claim belongs to an earlier process of this host, so its holder counts as
		// silent.
		c.holderHeardAt = now - peerTimeout
	default:
		c.holderHeardAt = now
	}
	c.knownClaim, c.claimHolder = e.Number, e.Holder
}

// isEligible reports whether this host may claim control: electionDelay has passed, it is
// not stopping, and it has a configuration and a current list.
func (c *Coordinator) isEligible(now time.Duration) bool {
	return !c.stopping && c.routes != nil && now >= electionDelay && !c.listStale
}

// campaign claims control if the controller is silent and no eligible live host has a
// lower identifier.
func (c *Coordinator) campaign(now time.Duration) {
	if !c.isEligible(now) || now-c.lastClaimAt < claimRetryInterval {
		return
	}
	if c.claimUnverified {
		c.lastClaimAt = now
		c.emit(ClaimControl{PreviousClaim: c.knownClaim})
		return
	}
	if c.LiveHosts(now) == 1 && now-c.storeRecoveredAt < storeSettleDuration {
		// After an outage of the store, the other hosts may become reachable again as
		// well.
		return
	}
	if c.isController(now) || now-c.holderHeardAt < peerTimeout && c.knownClaim > 0 {
		return
	}
	for id, p := range c.peers {
		if id < c.self.ID && p.isLive(now) && p.heartbeat.Eligible && p.heartbeat.KnownClaim >= c.knownClaim {
			return
		}
	}
	c.lastClaimAt = now
	c.emit(ClaimControl{PreviousClaim: c.knownClaim})
}

// nextEpoch returns an epoch that no other formation has.
func (c *Coordinator) nextEpoch() int64 {
	c.formationCount++
	return c.ownClaim<<formationBits | c.formationCount
}
