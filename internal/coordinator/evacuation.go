package coordinator

import (
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/evacuator"
)

// EvacuationsRead reports what this host has read of the operator's topic about data centres.
type EvacuationsRead struct {
	News []evacuator.News
	// IsSnapshot is true if News covers every data centre that the topic names.
	IsSnapshot bool
	// End is the position up to which the topic was read.
	End evacuator.Version
}

// EvacuationsHeard reports what another host has sent with its state.
type EvacuationsHeard struct{ News []evacuator.News }

func (EvacuationsRead) isEvent()  {}
func (EvacuationsHeard) isEvent() {}

// EvacuationChanged reports that a data centre is evacuated, or has been taken back.
type EvacuationChanged struct{ News evacuator.News }

func (EvacuationChanged) isEffect() {}

// evacuationState holds the data centres that the operator has evacuated. Every message to
// another host says what this host knows.
type evacuationState struct{ evacuations *evacuator.Evacuator }

func newEvacuationState() evacuationState { return evacuationState{evacuations: evacuator.New()} }

// readEvacuations processes what was read of the operator's topic.
func (c *Coordinator) readEvacuations(now time.Duration, e EvacuationsRead) {
	if e.IsSnapshot {
		c.applyEvacuationChanges(now, c.evacuations.ReadSnapshot(e.News, e.End))
		return
	}
	c.applyEvacuationChanges(now, c.evacuations.ReadHistory(e.News, e.End))
}

// hearEvacuations processes what another host knows.
func (c *Coordinator) hearEvacuations(now time.Duration, news []evacuator.News) {
	c.applyEvacuationChanges(now, c.evacuations.Hear(news))
}

// applyEvacuationChanges puts changes in force. The servers of a data centre that was taken
// back may have become cold while it was evacuated.
func (c *Coordinator) applyEvacuationChanges(now time.Duration, changes []evacuator.News) {
	if len(changes) == 0 {
		return
	}
	for _, n := range changes {
		c.emit(EvacuationChanged{News: n})
		if !n.Evacuated {
			c.suspectColdness(now, n.DataCentre)
		}
	}
	c.nextHeartbeatAt = min(c.nextHeartbeatAt, c.lastHeartbeatAt+c.earlyHeartbeatInterval())
	c.refreshReplicas(now)
	c.refuseWithoutReplica(now)
	c.dispatchQueue(now)
}

// closeEvacuated closes the replicas of evacuated data centres to new requests. What runs
// there goes on, and their groups are kept.
func (c *Coordinator) closeEvacuated() {
	if !c.evacuations.Any() {
		return
	}
	for id, r := range c.replicas {
		if c.isEvacuated(id) {
			r.open = false
		}
	}
}

// isEvacuated reports whether a server is in an evacuated data centre.
func (c *Coordinator) isEvacuated(id fuchsiapitch.ServerID) bool {
	s, ok := c.servers[id]
	return ok && c.evacuations.IsEvacuated(s.report.DataCentre)
}

// noReplicaReason returns why no replica serves a request.
func (c *Coordinator) noReplicaReason(w *queuedRequest) RefusalReason {
	for id, r := range c.replicas {
		if r.service == w.pool.service && r.model == w.pool.model && c.mayUse(w.home, r) && c.isEvacuated(id) {
			return Evacuated
		}
	}
	return NoReplica
}

// refuseWithoutReplica refuses the queued requests that no replica serves any more.
func (c *Coordinator) refuseWithoutReplica(now time.Duration) {
	var remaining []*queuedRequest
	for _, w := range c.queue {
		if expectedWait, servable := c.expectedWait(now, w); !servable && !w.Resumed {
			c.refuse(w, c.unservableReason(w), expectedWait)
			continue
		}
		remaining = append(remaining, w)
	}
	c.queue = remaining
}
