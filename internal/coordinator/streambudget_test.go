package coordinator

import (
	"testing"
	"time"
)

// newCoordinatorWithRetries returns a coordinator with two groups, whose share of the retry budget
// allows a number of retries in five seconds, all of them used at now.
func newCoordinatorWithRetries(t *testing.T, now time.Duration, retries int) *Coordinator {
	t.Helper()
	c := newCoordinatorWithReplicas(now, 2)
	c.Apply(now, LimitsChanged{StallTimeout: defaultStallTimeout, RetrySlack: float64(retries) / budgetFraction, RetryWindow: 5 * time.Second})
	for n := range Ticket(retries) {
		e := newArrival(now, 1000+n)
		e.IsRetry = true
		if got, reason := decisionFor(c.Apply(now, e), e.Ticket); got == "" {
			t.Fatalf("got %s for a retry within the budget, want a slot", reason)
		}
		c.Apply(now, TicketReleased{Ticket: e.Ticket, Complete: true})
	}
	return c
}

// Guards against a stream that its client has begun to receive and that is broken off, since no
// retry is free at that moment: it waits for one.
func TestResumedStreamAwaitsRetry(t *testing.T) {
	now := 5 * time.Second
	c := newCoordinatorWithRetries(t, now, 1)
	if got, reason := decisionFor(c.Apply(now, newResumption(now, 1)), 1); got != "" || reason != 0 {
		t.Fatalf("got %q and %s, want the stream queued", got, reason)
	}
	other := newArrival(now, 2)
	other.IsRetry = true
	if _, got := decisionFor(c.Apply(now, other), 2); got != NoBudget {
		t.Errorf("got %s for a retry of a request that has not begun, want %s", got, NoBudget)
	}
	if got, reason := decisionFor(c.Apply(now+4*time.Second, Ticked{}), 1); got != "" || reason != 0 {
		t.Errorf("got %q and %s while the budget is used up, want the stream queued", got, reason)
	}
	if got, reason := decisionFor(c.Apply(now+6*time.Second, Ticked{}), 1); got == "" {
		t.Errorf("got %s once the budget allows a retry, want a slot", reason)
	}
}

// Guards against a stream that waits for a retry until its deadline, since requests whose clients
// have received nothing take each retry that becomes free.
func TestOtherRetriesYieldToStreams(t *testing.T) {
	now := 5 * time.Second
	c := newCoordinatorWithRetries(t, now, 1)
	c.Apply(now, newResumption(now, 1))
	now += 6 * time.Second
	other := newArrival(now, 2)
	other.IsRetry = true
	effects := c.Apply(now, other)
	if _, got := decisionFor(effects, 2); got != NoBudget {
		t.Errorf("got %s for a retry of another request, want %s", got, NoBudget)
	}
	effects = append(effects, c.Apply(now, Ticked{})...)
	if got, reason := decisionFor(effects, 1); got == "" {
		t.Errorf("got %s for the stream, want a slot", reason)
	}
}

// Guards against retries beyond the budget when many streams that have begun wait for one.
func TestAwaitedRetriesKeepBudget(t *testing.T) {
	const retries = 4
	now := 5 * time.Second
	c := newCoordinatorWithRetries(t, now, retries)
	for n := range Ticket(40) {
		e := newResumption(now, n+1)
		e.Deadline = now + 30*time.Second
		c.Apply(now, e)
	}
	var grantedAt []time.Duration
	for end := now + 30*time.Second; now < end; now += 50 * time.Millisecond {
		for _, e := range c.Apply(now, Ticked{}) {
			if g, ok := e.(Grant); ok {
				grantedAt = append(grantedAt, now)
				c.Apply(now, TicketReleased{Ticket: g.Ticket, Complete: true})
			}
		}
	}
	for n, at := range grantedAt {
		if n >= retries && at-grantedAt[n-retries] < 5*time.Second*(windowBuckets-1)/windowBuckets {
			t.Errorf("got retries at %s and, %d retries before, at %s, want a window between them", at, retries, grantedAt[n-retries])
		}
	}
	if got := len(grantedAt); got < 4*retries {
		t.Errorf("got %d streams resumed in 30 s, want at least %d", got, 4*retries)
	}
}

// Guards against new requests that are refused although slots are free, since streams that wait for
// a retry are counted as waiting for a slot.
func TestStreamsThatAwaitRetriesTakeNoSlots(t *testing.T) {
	now := 5 * time.Second
	c := newCoordinatorWithRetries(t, now, 1)
	for n := range Ticket(100) {
		c.Apply(now, newResumption(now, n+1))
	}
	e := newArrival(now, 200)
	e.Rank = 1
	if got, reason := decisionFor(c.Apply(now, e), 200); got == "" {
		t.Errorf("got %s for a new request, want a slot", reason)
	}
	for _, q := range c.queueLengths(now) {
		if q.Length > 0 {
			t.Errorf("got %d requests announced as waiting for slots, want none", q.Length)
		}
	}
	fillReplica(c, "s0")
	fillReplica(c, "s1")
	if got, want := func() time.Duration {
		d, _ := c.expectedWait(now, &queuedRequest{RequestArrived: e, pool: poolKey{e.Service, e.Model}, arrivedAt: now})
		return d
	}(), 500*time.Millisecond; got > want {
		t.Errorf("got an expected wait of %s with full replicas, want at most %s", got, want)
	}
}
