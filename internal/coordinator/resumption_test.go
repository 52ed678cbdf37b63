package coordinator

import (
	"testing"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// newResumption returns the arrival of a stream that has begun and was broken off by servers.
func newResumption(now time.Duration, ticket Ticket, failed ...fuchsiapitch.ServerID) RequestArrived {
	e := newArrival(now, ticket)
	e.Resumed, e.IsRetry, e.FailedServers = true, true, failed
	return e
}

// fillReplica takes all slots of a replica.
func fillReplica(c *Coordinator, id fuchsiapitch.ServerID) {
	r := c.replicas[id]
	r.remoteInFlight = c.slotLimit(r) - r.inFlight
}

// freeReplica frees the slots that fillReplica has taken.
func freeReplica(c *Coordinator, id fuchsiapitch.ServerID) { c.replicas[id].remoteInFlight = 0 }

// Guards against a stream that is resumed at the server that has just broken it off, which refuses
// it or breaks it off again: a server whose group is taken apart, or that has restarted, has free
// slots before the hosts know of it. The stream waits for another server meanwhile.
func TestResumedStreamAvoidsServerThatFailedIt(t *testing.T) {
	now := 5 * time.Second
	t.Run("while another is full", func(t *testing.T) {
		c := newCoordinatorWithReplicas(now, 2)
		fillReplica(c, "s1")
		if got, reason := decisionFor(c.Apply(now, newResumption(now, 1, "s0")), 1); got != "" || reason != 0 {
			t.Fatalf("got %q and %s, want the stream queued", got, reason)
		}
		freeReplica(c, "s1")
		now := now + 50*time.Millisecond
		if got, reason := decisionFor(c.Apply(now, Ticked{}), 1); got != "s1" {
			t.Errorf("got %q and %s, want s1", got, reason)
		}
	})
	t.Run("also if it is the only one", func(t *testing.T) {
		c := newCoordinatorWithReplicas(now, 1)
		if got, reason := decisionFor(c.Apply(now, newResumption(now, 1, "s0")), 1); got != "" || reason != 0 {
			t.Errorf("got %q and %s, want the stream queued", got, reason)
		}
	})
	t.Run("but not for ever", func(t *testing.T) {
		c := newCoordinatorWithReplicas(now, 2)
		fillReplica(c, "s1")
		c.Apply(now, newResumption(now, 1, "s0"))
		now := now + failedServerBackOff
		if got, reason := decisionFor(c.Apply(now, Ticked{}), 1); got != "s0" {
			t.Errorf("got %q and %s, want s0 after the back-off", got, reason)
		}
	})
}

// Guards against a free slot that stays empty, since a stream that must not get it is first in the
// queue.
func TestResumedStreamHoldsUpNoOthers(t *testing.T) {
	now := 5 * time.Second
	c := newCoordinatorWithReplicas(now, 2)
	fillReplica(c, "s0")
	fillReplica(c, "s1")
	stream, queued := newResumption(now, 1, "s0"), newArrival(now, 2)
	queued.Rank, queued.FirstByteBy = 2, now+2*time.Second
	c.Apply(now, stream)
	c.Apply(now, queued)
	freeReplica(c, "s0")
	now += 50 * time.Millisecond
	effects := c.Apply(now, Ticked{})
	if got, reason := decisionFor(effects, 2); got != "s0" {
		t.Errorf("got %q and %s for the other request, want s0", got, reason)
	}
	if got, reason := decisionFor(effects, 1); got != "" || reason != 0 {
		t.Errorf("got %q and %s for the stream, want it queued", got, reason)
	}
	if got, reason := decisionFor(c.Apply(now, newArrival(now, 3)), 3); got != "s0" {
		t.Errorf("got %q and %s for a new request, want s0", got, reason)
	}
}
