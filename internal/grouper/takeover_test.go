package grouper

import (
	"testing"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// newSuccessor returns the desk of host a, which has read that host b holds the
// lease and, if acknowledged, that b knows of a.
func newSuccessor(acknowledged bool, options ...fuchsiapitch.ServiceOption) *desk {
	d := newDesk("s1", "s2")
	options = append(options, fuchsiapitch.WithModel("m", "1"), fuchsiapitch.WithReplicas(1, 2))
	s := fuchsiapitch.NewService("redactor", fuchsiapitch.ModelService, "counter", options...)
	d.Configure(fuchsiapitch.NewConfiguration(1, 1, []fuchsiapitch.Service{s}, nil, nil))
	d.write(joinOf("b"), claimOf("b", 0), joinOf("a"), renewalOf("b", 2, 1))
	if acknowledged {
		r := renewalOf("b", 2, 2)
		r.Read = 4
		d.write(r)
	}
	return d
}

// write has other hosts append records.
func (d *desk) write(records ...Record) {
	for _, r := range records {
		d.stream = append(d.stream, r)
		d.Read(instant(d.now, d.now), []Entry{{Offset: fuchsiapitch.Offset(len(d.stream)), Record: r}}, 0)
	}
}

// runUntil runs until a condition holds and returns the time that it took.
func (d *desk) runUntil(t *testing.T, what string, condition func() bool) time.Duration {
	t.Helper()
	start := d.now
	for !condition() {
		if d.now-start > 2*OutageLimit {
			t.Fatalf("%s: got nothing in %s", what, d.now-start)
		}
		d.run(step)
	}
	return d.now - start
}

func assertNotBefore(t *testing.T, got, want time.Duration, what string) {
	t.Helper()
	if got < want {
		t.Errorf("%s: got it after %s, want not before %s", what, got, want)
	}
}

func (d *desk) isHolder() bool { return d.tenure != nil }

func (d *desk) hasOrdered() bool { return len(d.given) > 0 }

// assertLateRenewal checks that the first order comes no sooner than a time after
// a renewal that overtook the claim.
func assertLateRenewal(t *testing.T, d *desk, want time.Duration) {
	t.Helper()
	d.withhold = true
	d.runUntil(t, "claim on its way", func() bool { return len(d.stream) > 5 })
	claim := d.stream[5]
	d.stream, d.withhold = d.stream[:5], false
	d.write(renewalOf("b", 2, 3), claim)
	assertEqual(t, d.isHolder(), true, "holder")
	assertNotBefore(t, d.runUntil(t, "order", d.hasOrdered), want, "first order")
}

func TestReplicas(t *testing.T) {
	t.Run("a group without proof has no slots until its members report", func(t *testing.T) {
		d := newSuccessor(true)
		d.write(renewalOf("b", 2, 3, assignOf("g", "s1", "s2")))
		g, _ := d.Fold().Group("g")
		d.Configure(fuchsiapitch.NewConfiguration(1, 1, []fuchsiapitch.Service{service("redactor", 1, 2)}, nil, nil))
		now := instant(0, 0)
		assertEqual(t, d.Replicas(now)[0].Slots(), 0, "slots before")
		d.Report(now, account("s1", g, fuchsiapitch.WithReady()))
		d.Report(now, account("s2", g, fuchsiapitch.WithReady()))
		assertEqual(t, d.Replicas(now)[0].Slots(), 16, "slots after")
		d.Silence(now, "s2")
		assertEqual(t, len(d.Replicas(now)), 0, "replicas after a silence")
	})
}

func TestTakeover(t *testing.T) {
	t.Run("a lease is claimed only when it has lapsed", func(t *testing.T) {
		d := newSuccessor(true)
		assertNotBefore(t, d.runUntil(t, "claim", d.isHolder), LeaseTime, "claim")
	})
	t.Run("an elector that the holder may not know of waits for the longest outage", func(t *testing.T) {
		d := newSuccessor(false)
		assertNotBefore(t, d.runUntil(t, "claim", d.isHolder), OutageLimit, "claim")
	})
	t.Run("an elector that was started again waits for the promises of its earlier life", func(t *testing.T) {
		d := newSuccessor(true)
		again := joinOf("a")
		again.Incarnation = 2
		d.incarnation = 2
		d.write(again)
		got := d.runUntil(t, "claim", d.isHolder)
		assertNotBefore(t, got, PromiseTime+clockMargin, "claim")
		if limit := PromiseTime + 2*time.Second; got > limit {
			t.Errorf("claim: got it after %s, want it within %s", got, limit)
		}
	})
	t.Run("an elector that was started again before it was acknowledged waits for the longest outage", func(t *testing.T) {
		d := newSuccessor(false)
		again := joinOf("a")
		again.Incarnation = 2
		d.incarnation = 2
		d.write(again)
		assertNotBefore(t, d.runUntil(t, "claim", d.isHolder), OutageLimit, "claim")
	})
	t.Run("after a restart of the stream a claim waits for the longest outage", func(t *testing.T) {
		d := newSuccessor(true, fuchsiapitch.WithFencing())
		d.write(Record{Kind: Checkpoint, State: &Snapshot{Offset: 5}})
		assertEqual(t, d.Fold().Term(), 0, "term")
		assertNotBefore(t, d.runUntil(t, "claim", d.isHolder), OutageLimit, "claim")
	})
	t.Run("orders to engines that ignore fencing wait for late ones", func(t *testing.T) {
		d := newSuccessor(true)
		assertNotBefore(t, d.runUntil(t, "order", d.hasOrdered), LeaseTime+lateOrderTime, "first order")
	})
	t.Run("a renewal that reached the stream before the claim counts", func(t *testing.T) {
		assertLateRenewal(t, newSuccessor(true), LeaseTime+lateOrderTime)
	})
	t.Run("it counts for engines that check fencing too", func(t *testing.T) {
		assertLateRenewal(t, newSuccessor(true, fuchsiapitch.WithFencing()), LeaseTime)
	})
	t.Run("a member that the list lacks is not lost at once", func(t *testing.T) {
		d := newSuccessor(true)
		r := renewalOf("b", 2, 3, assignOf("g", "s1", "unlisted"))
		r.Read = 4
		d.write(r)
		d.runUntil(t, "claim", d.isHolder)
		d.run(unlistedTime - step)
		g, _ := d.Fold().Group("g")
		assertEqual(t, g.Members, []fuchsiapitch.ServerID{"s1", "unlisted"}, "members")
		d.run(10 * time.Second)
		g, _ = d.Fold().Group("g")
		assertEqual(t, g.Members, []fuchsiapitch.ServerID{"s1", "s2"}, "members after long absence")
	})
	t.Run("orders to engines that check fencing need not wait", func(t *testing.T) {
		d := newSuccessor(true, fuchsiapitch.WithFencing())
		if got := d.runUntil(t, "order", d.hasOrdered); got >= LeaseTime+OrderTime {
			t.Errorf("first order: got it after %s, want it before %s", got, LeaseTime+OrderTime)
		}
	})
	t.Run("a promise holds back a claim", func(t *testing.T) {
		d := newSuccessor(true)
		d.HearPromise(instant(0, 0), "b", 7, Promise{Term: 2, Wanted: true})
		assertNotBefore(t, d.runUntil(t, "claim", d.isHolder), PromiseTime, "claim")
	})
	t.Run("orders after a promise wait for those that it allowed", func(t *testing.T) {
		d := newSuccessor(true)
		d.HearPromise(instant(0, 0), "b", 7, Promise{Term: 2, Wanted: true})
		d.runUntil(t, "claim", d.isHolder)
		assertNotBefore(t, d.runUntil(t, "order", d.hasOrdered), lateOrderTime, "first order after the claim")
	})
	t.Run("no promise is given once a claim is on its way", func(t *testing.T) {
		d := newSuccessor(true)
		d.withhold = true
		d.run(2 * LeaseTime)
		now := instant(d.now, d.now)
		d.HearPromise(now, "b", 7, Promise{Term: 2, Wanted: true})
		assertEqual(t, d.Promise(now, 1), Promise{}, "promise")
	})
}

// newOutage returns the desk of a controller whose lease has lapsed since the log
// is away, with another elector.
func newOutage() *desk {
	d := newDeaf()
	d.run(LeaseTime)
	return d
}

// newDeaf returns the desk of a controller that reads nothing more from the log.
func newDeaf() *desk {
	d := newDesk("s1", "s2", "s3", "s4", "s5")
	d.run(5 * time.Second)
	d.write(joinOf("b"))
	d.run(2 * time.Second)
	d.withhold, d.given = true, nil
	return d
}

func (d *desk) promise(echo uint64, remaining time.Duration) {
	d.HearPromise(instant(d.now, d.now), "b", 1, Promise{Term: d.tenure.term, Remaining: remaining, Incarnation: 1, Echo: echo})
}

func (d *desk) mayOrder() bool {
	_, ok := d.tenure.permission(instant(d.now, d.now), d.fold, d.self)
	return ok
}

func TestPromise(t *testing.T) {
	t.Run("without the promise of every elector no order is given", func(t *testing.T) {
		d := newOutage()
		d.engines["s1"].dead = true
		d.run(10 * time.Second)
		assertEqual(t, d.mayOrder(), false, "may order")
		assertEqual(t, len(d.given), 0, "orders")
	})
	t.Run("under a lease an assignment is in the stream before it is ordered", func(t *testing.T) {
		d := newDeaf()
		d.engines["s1"].dead = true
		for range confirmSilences {
			d.Silence(instant(d.now, d.now), "s1")
		}
		d.run(planPeriod + step)
		assertEqual(t, d.mayOrder(), true, "may order")
		assertEqual(t, len(d.tenure.queued()[0].Changes), 1, "queued changes")
		assertEqual(t, len(d.given), 0, "orders")
		d.withhold = false
		d.run(2 * time.Second)
		assertEqual(t, len(d.given), 2, "orders once it is read")
	})
	t.Run("with every promise the controller goes on", func(t *testing.T) {
		d := newOutage()
		d.Promise(instant(d.now, d.now), 5)
		d.promise(5, PromiseTime)
		d.engines["s1"].dead = true
		d.run(5 * time.Second)
		assertEqual(t, d.mayOrder(), true, "may order")
		assertEqual(t, len(d.given), 2, "orders")
	})
	t.Run("a promise counts from the heartbeat that it answers", func(t *testing.T) {
		d := newOutage()
		d.Promise(instant(d.now, d.now), 5)
		d.run(PromiseTime)
		d.promise(5, PromiseTime)
		assertEqual(t, d.mayOrder(), false, "may order")
	})
	t.Run("promises do not last beyond the longest outage", func(t *testing.T) {
		d := newOutage()
		d.run(OutageLimit)
		d.Promise(instant(d.now, d.now), 5)
		d.promise(5, PromiseTime)
		assertEqual(t, d.mayOrder(), false, "may order")
	})
	t.Run("the promise of an earlier incarnation does not count", func(t *testing.T) {
		d := newOutage()
		d.Promise(instant(d.now, d.now), 5)
		d.HearPromise(instant(d.now, d.now), "b", 1, Promise{Term: d.tenure.term, Remaining: PromiseTime, Incarnation: 2, Echo: 5})
		assertEqual(t, d.mayOrder(), false, "may order")
	})
}
