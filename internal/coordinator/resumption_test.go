package coordinator

import (
	"fmt"
	"testing"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// newResumption returns the arrival of a stream that has begun and was broken off by servers.
func newResumption(now time.Duration, ticket Ticket, failed ...fuchsiapitch.ServerID) RequestArrived {
	e := newArrival(now, ticket)
	e.Resumed, e.IsRetry, e.AvoidsFailedServers, e.FailedServers = true, true, true, failed
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

// Guards against new requests that are refused although slots are free, since streams that wait for
// another server than the one that has failed them come first in the queue.
func TestNewRequestsOvertakeStreamsThatAvoidServer(t *testing.T) {
	now := 5 * time.Second
	c := newCoordinatorWithReplicas(now, 2)
	fillReplica(c, "s1")
	for n := range Ticket(100) {
		c.Apply(now, newResumption(now, n+1, "s0"))
	}
	if got, reason := decisionFor(c.Apply(now, newArrival(now, 200)), 200); got != "s0" {
		t.Errorf("got %q and %s for a new request, want s0", got, reason)
	}
	now += failedServerBackOff
	lessUrgent := newArrival(now, 201)
	lessUrgent.Rank = 1
	if got, reason := decisionFor(c.Apply(now, lessUrgent), 201); got != "" {
		t.Errorf("got %q and %s for a new request after the back-off, want the streams to come first", got, reason)
	}
}

// Guards against a stream that its client has begun to receive and that is broken off, since all
// servers that serve it pause beyond its deadline: another server may come before.
func TestResumedStreamOutlivesPause(t *testing.T) {
	for _, isQueued := range []bool{false, true} {
		t.Run(fmt.Sprintf("queued before: %v", isQueued), func(t *testing.T) {
			now := 5 * time.Second
			c := newNoticeCoordinator(now)
			c.Apply(now, newNoticeArrival(now, 1))
			c.Apply(now, newNoticeArrival(now, 2))
			stream := newNoticeArrival(now, 3)
			stream.Resumed, stream.IsRetry, stream.Deadline = true, true, now+6*time.Second
			var effects []Effect
			if isQueued {
				effects = c.Apply(now, stream)
			}
			effects = append(effects, c.Apply(now, asksForPause("a0", time.Minute))...)
			effects = append(effects, c.Apply(now, asksForPause("a1", time.Minute))...)
			if !isQueued {
				effects = append(effects, c.Apply(now, stream)...)
			}
			if got, reason := decisionFor(effects, 3); got != "" || reason != 0 {
				t.Fatalf("got %q and %s, want the stream queued", got, reason)
			}
			if _, got := decisionFor(c.Apply(now, newNoticeArrival(now, 4)), 4); got != Paused {
				t.Errorf("got %s for a new request, want %s", got, Paused)
			}
			later := now + time.Second
			effects = c.Apply(later, ServersListed{Servers: []fuchsiapitch.ServerReport{plainEntry("a0", 1), plainEntry("a1", 1), plainEntry("a2", 1)}, Offset: 2})
			effects = append(effects, c.Apply(later, Ticked{})...)
			if got, reason := decisionFor(effects, 3); got != "a2" {
				t.Errorf("got %q and %s once another server is listed, want a2", got, reason)
			}
		})
	}
}

// A stream that has begun does not wait for the end of a pause beyond its deadline.
func TestResumedStreamIsRefusedAtDeadlineWithinPause(t *testing.T) {
	now := 5 * time.Second
	c := newNoticeCoordinator(now)
	c.Apply(now, asksForPause("a0", time.Minute))
	c.Apply(now, asksForPause("a1", time.Minute))
	stream := newNoticeArrival(now, 1)
	stream.Resumed, stream.IsRetry = true, true
	c.Apply(now, stream)
	if _, got := decisionFor(c.Apply(stream.Deadline-time.Millisecond, Ticked{}), 1); got != 0 {
		t.Errorf("got refusal %s before the deadline, want the stream queued", got)
	}
	if _, got := decisionFor(c.Apply(stream.Deadline, Ticked{}), 1); got != Overloaded {
		t.Errorf("got %s at the deadline, want %s", got, Overloaded)
	}
}

// Guards against a request that is sent to the same full servers again and again within milliseconds,
// each time at the expense of the retry budget, since a refusal after a run does not end it.
func TestRefusedRetryAvoidsServersThatFailedIt(t *testing.T) {
	now := 5 * time.Second
	for _, wasRefused := range []bool{false, true} {
		c := newCoordinatorWithReplicas(now, 2)
		e := newArrival(now, 1)
		e.IsRetry, e.AvoidsFailedServers, e.FailedServers = true, wasRefused, []fuchsiapitch.ServerID{"s0", "s1"}
		e.FirstByteBy = now + 2*time.Second
		got, reason := decisionFor(c.Apply(now, e), 1)
		if (got == "") != wasRefused || reason != 0 {
			t.Errorf("got %q and %s for a request that was refused: %v, want it queued in that case", got, reason, wasRefused)
		}
		now := now + failedServerBackOff
		if got, reason := decisionFor(c.Apply(now, Ticked{}), 1); wasRefused && got == "" {
			t.Errorf("got no slot (%s) after the back-off, want one", reason)
		}
	}
}

// Measures the cost of one event while many streams wait for another server than the one that has
// failed them, and all others of a large service are full.
func BenchmarkStreamsThatAvoidServer(b *testing.B) {
	const servers, streams = 3000, 60
	now := 5 * time.Second
	c := newCoordinatorWithReplicas(now, servers)
	for id := range c.replicas {
		fillReplica(c, id)
	}
	freeReplica(c, "s0")
	for n := range Ticket(streams) {
		c.Apply(now, newResumption(now, n+1, "s0"))
	}
	for b.Loop() {
		c.dispatchQueue(now)
	}
}
