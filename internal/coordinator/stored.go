package coordinator

import (
	"slices"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch/internal/quarantiner"
)

// Quarantines are in the memory of the hosts, and in the store for the case that all of them end. A host
// that starts holds requests with parts back until it has read what is stored.

const (
	// quarantineKeepers is the number of hosts that keep the quarantines in the store, in a small cluster. The store may
	// refuse some of them.
	quarantineKeepers = 3
	// storedPartsTimeout is how long a host that knows servers holds requests back while it cannot read the
	// stored quarantines.
	storedPartsTimeout = time.Second
	// relaySettleTime is the time after its start from which on a host knows whether it is a relay. Each host counts as
	// one before.
	relaySettleTime = 2 * relayTimeout
)

// WithStoredQuarantines makes the coordinator wait for QuarantinesRead before it sends requests with parts.
func WithStoredQuarantines() Option { return func(c *Coordinator) { c.awaitsStored = true } }

// QuarantinesRead reports the quarantines that other hosts, or earlier processes, have stored.
type QuarantinesRead struct{ Quarantines []quarantiner.Quarantine }

func (QuarantinesRead) isEvent() {}

// storedState is what a host awaits of the stored quarantines.
type storedState struct {
	// awaitsStored is true until the stored quarantines were read, or the host has awaited them for long enough.
	awaitsStored bool
	// serversKnownAt is when the host first knew servers, 0 for never.
	serversKnownAt time.Duration
	// awaitingStored are the requests with parts that wait for the stored quarantines. They take part in no queue.
	awaitingStored []*queuedRequest
}

// Quarantines returns the quarantines that have to be in the store.
func (c *Coordinator) Quarantines(now time.Duration) []quarantiner.Quarantine {
	return c.parts.Quarantines(now)
}

// HasRoomForQuarantines reports whether this host has all quarantines. Those that a full host has no room for have not
// ended.
func (c *Coordinator) HasRoomForQuarantines() bool { return !c.parts.IsFull() }

// ReadsQuarantines reports whether this host reads the quarantines in the store. In a large cluster relays tell the
// others.
func (c *Coordinator) ReadsQuarantines(now time.Duration) bool {
	switch {
	case !c.peersListed && now < hostListTimeout:
		// The size of the cluster is unknown.
		return false
	case c.usesRelays():
		return now >= relaySettleTime && c.servesList(now)
	}
	return true
}

// KeepsQuarantines reports whether this host is one of those that keep the quarantines in the store.
func (c *Coordinator) KeepsQuarantines(now time.Duration) bool {
	if !c.ReadsQuarantines(now) || c.usesRelays() {
		return c.ReadsQuarantines(now)
	}
	rank, _ := c.Turn(now)
	return rank < quarantineKeepers
}

// restoreQuarantines adopts the stored quarantines.
func (c *Coordinator) restoreQuarantines(now time.Duration, e QuarantinesRead) {
	c.parts.Restore(now, e.Quarantines)
	c.awaitsStored = false
	c.enforceQuarantines(now)
	c.admitHeldBack(now)
}

// holdsBack reports whether a request with parts has to wait for the stored quarantines. In a large cluster none does,
// since most hosts read nothing in the store.
func (c *Coordinator) holdsBack(now time.Duration) bool {
	if !c.awaitsStored || c.usesRelays() {
		return false
	}
	if c.serversKnownAt == 0 && c.KnowsServers() {
		c.serversKnownAt = now
	}
	if c.serversKnownAt > 0 && now-c.serversKnownAt >= storedPartsTimeout {
		c.awaitsStored = false
	}
	return c.awaitsStored
}

// reviewHeldBack admits the requests that have waited for the stored quarantines for long enough.
func (c *Coordinator) reviewHeldBack(now time.Duration) {
	if !c.holdsBack(now) || len(c.awaitingStored) > 0 && now-c.awaitingStored[0].arrivedAt >= storedPartsTimeout {
		c.admitHeldBack(now)
	}
}

// admitHeldBack admits the requests that have waited for the stored quarantines.
func (c *Coordinator) admitHeldBack(now time.Duration) {
	waiting := c.awaitingStored
	c.awaitingStored = nil
	for _, w := range waiting {
		if c.passesQuarantine(now, w) {
			c.admitChecked(now, w)
		}
	}
}

// stopHoldingBack removes a request that its client has abandoned.
func (c *Coordinator) stopHoldingBack(t Ticket) {
	c.awaitingStored = slices.DeleteFunc(c.awaitingStored, func(w *queuedRequest) bool { return w.Ticket == t })
}
