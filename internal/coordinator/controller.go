package coordinator

import (
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

const (
	// electionDelay is the time after the start before a host claims control, so that
	// hosts that start together exchange heartbeats first.
	electionDelay = 700 * time.Millisecond
	// weakElectionDelay is the same in a cluster with relays for a host that a registered
	// host outranks. The work of the controller would take most of a weak host.
	weakElectionDelay = 3 * time.Second
	// storeSettleDuration is how long the store must have been readable before a host
	// without a live peer claims control.
	storeSettleDuration = 2500 * time.Millisecond
	// claimRetryInterval is the minimum time between two claims of one host.
	claimRetryInterval = time.Second
	// storeOutageGrace is how long the controller may continue without the store if it
	// gets no heartbeats from a majority of the hosts.
	storeOutageGrace = 5 * time.Second
	// formationBits is the number of low bits of an epoch. They number the formations
	// planned under one claim; the high bits hold the claim.
	formationBits = 20
)

// controllerState identifies the controller, the host that plans the groups and gives
// orders. The controller is the holder of the claim with the highest number in the
// store. Heartbeats show that the holder is alive.
type controllerState struct {
	// ownClaim is the claim of this host, 0 for none. claimUnverified is true if the
	// store must be read again before the claim is used.
	ownClaim        int64
	claimUnverified bool
	// knownClaim is the highest known claim, and claimHolder the host that holds it, ""
	// if unknown. lastHolderContactAt is when the holder's last heartbeat arrived or a
	// new claim was read, whichever is later.
	knownClaim          int64
	claimHolder         fuchsiapitch.HostID
	lastHolderContactAt time.Duration
	lastClaimAt         time.Duration
	formationCount      int64
	// chosenSuccessor is the host to which this host hands its claim when it stops. It
	// stays the same, so that no two hosts get the same claim.
	chosenSuccessor fuchsiapitch.HostID
	// controllerSince is when this host last became the controller. surveyedSince is
	// set to the same time once the survey of the servers is complete.
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

// isController reports whether this host is the controller, which may give orders. It
// must hold the highest known claim. It must also have read the list within
// storeOutageGrace, or get heartbeats from a majority of the hosts.
func (c *Coordinator) isController(now time.Duration) bool {
	if c.ownClaim == 0 || c.ownClaim != c.knownClaim || c.claimUnverified || c.stopping {
		return false
	}
	return now-c.listReadAt < storeOutageGrace || 2*c.LiveHostCount(now) > len(c.peers)+1
}

// handleSuspension processes a suspension of the process. Another host may have claimed
// control in the meantime, so the claim has to be verified. Peers must not count as
// dead because their heartbeats could not be received meanwhile.
func (c *Coordinator) handleSuspension(now time.Duration) {
	c.claimUnverified = c.ownClaim != 0
	for _, p := range c.peers {
		if p.hasHeartbeat {
			p.lastHeartbeatReceivedAt = now
		}
		if p.hasDigest {
			p.lastDigestReceivedAt = now
		}
	}
	c.log("process was suspended", map[string]any{"claim": c.ownClaim})
}

// handoverEpochGap is added to the formation count at a handover, so that the epochs of
// the new controller differ from those of the old one.
const handoverEpochGap = 1 << 12

// successor returns the host to which this host hands its claim when it stops, "" for
// none.
func (c *Coordinator) successor(now time.Duration) fuchsiapitch.HostID {
	var best *peer
	for _, p := range c.peers {
		stopping := p.lastHeartbeat.Stopping || p.hasAnnouncedStop(now)
		if c.isLive(p, now) && !stopping && (best == nil || outranks(p.Peer, best.Peer)) {
			best = p
		}
	}
	if best == nil {
		return ""
	}
	return best.ID
}

// holderTimeout returns the time without news of the controller after which it counts as
// dead.
func (c *Coordinator) holderTimeout() time.Duration {
	if c.usesRelays() {
		return relayedHolderTimeout
	}
	return peerTimeout
}

// acceptHandover makes this host the holder of the claim of a stopping controller that
// has named it as successor. This needs no store access, because the old controller has
// stopped giving orders.
func (c *Coordinator) acceptHandover(now time.Duration, b Heartbeat) {
	if b.Successor != c.self.ID || b.HandedOverClaim < c.knownClaim || b.HandedOverClaim == c.ownClaim || c.stopping {
		return
	}
	c.ownClaim, c.knownClaim, c.claimHolder = b.HandedOverClaim, b.HandedOverClaim, c.self.ID
	c.claimUnverified, c.controllerSince, c.formationCount = false, now, b.FormationCount+handoverEpochGap
	c.log("takes over the lead", map[string]any{"claim": c.ownClaim, "from": b.From.ID})
}

// observeClaim processes the claims in a heartbeat.
func (c *Coordinator) observeClaim(now time.Duration, b Heartbeat) {
	c.acceptHandover(now, b)
	if b.KnownClaim > c.knownClaim {
		c.knownClaim, c.claimHolder = b.KnownClaim, ""
	}
	if b.Claim != 0 && b.Claim == c.knownClaim {
		c.claimHolder, c.lastHolderContactAt = b.From.ID, now
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
	case e.Holder == c.self.ID && e.Incarnation != c.incarnation && (e.Number > c.knownClaim || c.claimHolder == ""):
		// The claim belongs to an earlier process of this host, so its holder counts as
		// dead, unless it has handed the claim over to a host that has been heard.
		c.lastHolderContactAt = now - c.holderTimeout()
	case e.Number == c.knownClaim:
	default:
		c.lastHolderContactAt = now
	}
	c.knownClaim, c.claimHolder = e.Number, e.Holder
}

// isEligible reports whether this host may claim control: electionDelay has passed, it is
// not stopping, and it has a configuration and a current list.
func (c *Coordinator) isEligible(now time.Duration) bool {
	if c.usesRelays() && !c.hasCurrentList(now) {
		return false
	}
	return !c.stopping && c.routes != nil && now >= electionDelay && !c.listStale
}

// campaign claims control if there was no news of the controller within the holder
// timeout and no eligible live host outranks this one. It also claims control if the claim
// of this host is unverified.
func (c *Coordinator) campaign(now time.Duration) {
	if !c.isEligible(now) || now-c.lastClaimAt < claimRetryInterval {
		return
	}
	if c.claimUnverified {
		c.lastClaimAt = now
		c.emit(ClaimControl{PreviousClaim: c.knownClaim})
		return
	}
	if c.LiveHostCount(now) == 1 && now-c.storeRecoveredAt < storeSettleDuration {
		// After an outage of the store, the other hosts may become reachable again too.
		return
	}
	if c.isController(now) || now-c.lastHolderContactAt < c.holderTimeout() && c.knownClaim > 0 {
		return
	}
	if c.usesRelays() && (c.knowsStrongerCandidate(now) || now < weakElectionDelay && c.isOutranked()) {
		return
	}
	for _, p := range c.peers {
		if outranks(p.Peer, c.self) && c.isLive(p, now) && p.lastHeartbeat.Eligible && p.lastHeartbeat.KnownClaim >= c.knownClaim {
			return
		}
	}
	c.lastClaimAt = now
	c.emit(ClaimControl{PreviousClaim: c.knownClaim})
}

// isOutranked reports whether any known host, live or not, is preferred to this one as
// controller.
func (c *Coordinator) isOutranked() bool {
	for _, p := range c.peers {
		if outranks(p.Peer, c.self) {
			return true
		}
	}
	return false
}

// nextEpoch returns an epoch that no other formation has.
func (c *Coordinator) nextEpoch() int64 {
	c.formationCount++
	return c.ownClaim<<formationBits | c.formationCount
}
