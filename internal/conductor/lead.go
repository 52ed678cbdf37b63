package conductor

import (
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

const (
	// electionDelay is the time after the start before a host claims the lead,
	// so that hosts that start together hear each other first.
	electionDelay = 700 * time.Millisecond
	// settledStore is how long the store must be in reach before a host that hears
	// no other one claims the lead.
	settledStore = 2500 * time.Millisecond
	// claimInterval is the time between claims of one host.
	claimInterval = time.Second
	// storeGrace is how long a leader that hears no other host may lead without
	// the store.
	storeGrace = 5 * time.Second
	// epochBits is the number of low bits of an epoch that count the formations
	// under one claim.
	epochBits = 20
)

// lead is who leads the groups. A claim in the store decides: the highest
// number wins. Heartbeats tell that the holder lives.
type lead struct {
	// claim is the own claim, 0 for none; doubtful states that it must be read
	// again before it is used.
	claim    int64
	doubtful bool
	// knownClaim is the highest claim heard of, and holder its host.
	knownClaim int64
	holder     fuchsiapitch.HostID
	lastHeard  time.Duration
	lastTry    time.Duration
	formations int64
	// leadsSince is when the own claim was entered, surveyed the same once all
	// servers were asked since.
	leadsSince, surveyed time.Duration
	// surveyFrom is when it began to ask them.
	surveyFrom time.Duration
}

// activeClaim returns the claim that the host leads by, 0 for none.
func (c *Conductor) activeClaim(now time.Duration) int64 {
	if c.leads(now) {
		return c.claim
	}
	return 0
}

// leads reports whether the host may give orders: it holds the highest claim
// and has heard the store or most of the other hosts since.
func (c *Conductor) leads(now time.Duration) bool {
	if c.claim == 0 || c.claim != c.knownClaim || c.doubtful || c.stops {
		return false
	}
	return now-c.listRead < storeGrace || 2*c.LiveHosts(now) > len(c.peers)+1
}

// resume is called after the process stood still: others may have claimed.
func (c *Conductor) resume(now time.Duration) {
	c.doubtful = c.claim != 0
	for _, p := range c.peers {
		if p.heard {
			p.last = now
		}
	}
	c.note("process was suspended", map[string]any{"claim": c.claim})
}

// handoverGap is the number of formations by which an heir stays clear of those
// of the host that it takes over from.
const handoverGap = 1 << 12

// heir returns the host that takes over the lead of a host that stops.
func (c *Conductor) heir(now time.Duration) fuchsiapitch.HostID {
	for _, id := range sortedKeys(c.peers) {
		if p := c.peers[id]; p.isLive(now) && !p.beat.Stopping {
			return id
		}
	}
	return ""
}

// inherit takes over the claim of a leader that stops. The store need not be
// reached for it: the leader has ended its own orders.
func (c *Conductor) inherit(now time.Duration, b Beat) {
	if b.Heir != c.self.ID || b.HandedClaim < c.knownClaim || b.HandedClaim == c.claim || c.stops {
		return
	}
	c.claim, c.knownClaim, c.holder = b.HandedClaim, b.HandedClaim, c.self.ID
	c.doubtful, c.leadsSince, c.formations = false, now, b.Formations+handoverGap
	c.note("takes over the lead", map[string]any{"claim": c.claim, "from": b.From.ID})
}

// hearClaim learns of the leader from a heartbeat.
func (c *Conductor) hearClaim(now time.Duration, b Beat) {
	c.inherit(now, b)
	if b.KnownClaim > c.knownClaim {
		c.knownClaim, c.holder = b.KnownClaim, ""
	}
	if b.Claim != 0 && b.Claim == c.knownClaim {
		c.holder, c.lastHeard = b.From.ID, now
	}
}

// readClaim learns of a claim from the store.
func (c *Conductor) readClaim(now time.Duration, e ClaimRead) {
	if e.Number < c.knownClaim {
		return
	}
	if e.Holder == c.self.ID && e.Started == c.started {
		if c.claim != e.Number {
			c.note("leads the groups", map[string]any{"claim": e.Number})
			c.formations = 0
			c.leadsSince = now
		}
		c.claim, c.doubtful = e.Number, false
	}
	switch {
	case e.Number == c.knownClaim:
	case e.Holder == c.self.ID && e.Started != c.started:
		// The claim is that of the process before this one.
		c.lastHeard = now - peerTimeout
	default:
		c.lastHeard = now
	}
	c.knownClaim, c.holder = e.Number, e.Holder
}

// isEligible reports whether the host knows enough to lead.
func (c *Conductor) isEligible(now time.Duration) bool {
	return !c.stops && c.table != nil && now >= electionDelay && !c.listStale
}

// elect claims the lead if its holder is silent and this host is the first of
// the live ones.
func (c *Conductor) elect(now time.Duration) {
	if !c.isEligible(now) || now-c.lastTry < claimInterval {
		return
	}
	if c.doubtful {
		c.lastTry = now
		c.emit(ClaimLead{Known: c.knownClaim})
		return
	}
	if c.LiveHosts(now) == 1 && now-c.storeBack < settledStore {
		// The other hosts may be back in reach as well.
		return
	}
	if c.leads(now) || now-c.lastHeard < peerTimeout && c.knownClaim > 0 {
		return
	}
	for id, p := range c.peers {
		if id < c.self.ID && p.isLive(now) && p.beat.Eligible && p.beat.KnownClaim >= c.knownClaim {
			return
		}
	}
	c.lastTry = now
	c.emit(ClaimLead{Known: c.knownClaim})
}

// nextEpoch returns an epoch that no other formation has.
func (c *Conductor) nextEpoch() int64 {
	c.formations++
	return c.claim<<epochBits | c.formations
}
