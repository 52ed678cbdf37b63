package grouper

import (
	"testing"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// newSuccessorFixture returns the fixture of host a, which has read that host b
// holds the lease and, if acknowledged, that b has read the join of a.
func newSuccessorFixture(acknowledged bool, options ...fuchsiapitch.ServiceOption) *fixture {
	f := newFixture("s1", "s2")
	options = append(options, fuchsiapitch.WithModel("m", "1"), fuchsiapitch.WithReplicas(1, 2))
	s := fuchsiapitch.NewService("redactor", fuchsiapitch.ModelService, "counter", options...)
	f.Configure(fuchsiapitch.NewConfiguration(1, 1, []fuchsiapitch.Service{s}, nil, nil))
	f.appendRecords(newJoin("b"), newClaim("b", 0), newJoin("a"), newRenewal("b", 2, 1))
	if acknowledged {
		r := newRenewal("b", 2, 2)
		r.ReadOffset = 4
		f.appendRecords(r)
	}
	return f
}

// appendRecords appends records as other hosts would and has the fixture read
// them.
func (f *fixture) appendRecords(records ...Record) {
	for _, r := range records {
		f.log = append(f.log, r)
		f.RecordsRead(newInstant(f.now, f.now), []Entry{{Offset: fuchsiapitch.Offset(len(f.log)), Record: r}}, 0)
	}
}

// runUntil runs until a condition holds and returns the time that it took.
func (f *fixture) runUntil(t *testing.T, label string, condition func() bool) time.Duration {
	t.Helper()
	start := f.now
	for !condition() {
		if f.now-start > 2*MaxLogOutage {
			t.Fatalf("%s: got nothing in %s", label, f.now-start)
		}
		f.run(tickPeriod)
	}
	return f.now - start
}

func assertNotBefore(t *testing.T, got, want time.Duration, label string) {
	t.Helper()
	if got < want {
		t.Errorf("%s: got it after %s, want not before %s", label, got, want)
	}
}

func (f *fixture) isController() bool { return f.controller != nil }

func (f *fixture) hasIssuedOrder() bool { return len(f.issuedOrders) > 0 }

// assertLateRenewal appends a renewal of the holder just before the claim of
// this host and checks that the first order does not come sooner than want after
// it.
func assertLateRenewal(t *testing.T, f *fixture, want time.Duration) {
	t.Helper()
	f.withholdReads = true
	f.runUntil(t, "claim on its way", func() bool { return len(f.log) > 5 })
	claim := f.log[5]
	f.log, f.withholdReads = f.log[:5], false
	f.appendRecords(newRenewal("b", 2, 3), claim)
	assertEqual(t, f.isController(), true, "holder")
	assertNotBefore(t, f.runUntil(t, "order", f.hasIssuedOrder), want, "first order")
}

// setDispatcher sets whether this host dispatches for every replica.
func (f *fixture) setDispatcher(isDispatcher bool) {
	f.SetHosts([]fuchsiapitch.Host{fuchsiapitch.NewHost("a", "", "dc", 1)}, func(fuchsiapitch.ReplicaID) bool { return isDispatcher })
}

// reportReady makes a server report that it is ready in a group.
func (f *fixture) reportReady(group fuchsiapitch.GroupID, id fuchsiapitch.ServerID) {
	g, _ := f.speculative.Group(group)
	f.ServerReported(newInstant(0, 0), newEngineStatus(id, g, fuchsiapitch.WithReady()))
}

// assertServesOnceReported checks that the only group, of s1 and s2, takes requests once
// both have reported, and no longer after a silence.
func assertServesOnceReported(t *testing.T, f *fixture) {
	t.Helper()
	now := newInstant(0, 0)
	f.reportReady("g", "s1")
	f.reportReady("g", "s2")
	f.assertReplicas(t, 1)
	assertEqual(t, f.RoutableReplicas(now)[0].Slots(), 16, "slots after")
	f.ServerUnresponsive(now, "s2")
	assertEqual(t, len(f.RoutableReplicas(now)), 0, "replicas after a silence")
}

func TestReplicas(t *testing.T) {
	assign := newRenewal("b", 2, 3, newAssign("g", "s1", "s2"))
	newServingFixture := func() *fixture {
		f := newSuccessorFixture(true)
		f.Configure(fuchsiapitch.NewConfiguration(1, 1, []fuchsiapitch.Service{newModelService("redactor", 1, 2)}, nil, nil))
		return f
	}
	t.Run("a new group is not routable until its members report", func(t *testing.T) {
		f := newServingFixture()
		f.appendRecords(assign)
		f.assertReplicas(t, 0)
		f.reportReady("g", "s1")
		f.assertReplicas(t, 0)
		assertServesOnceReported(t, f)
	})
	t.Run("nor is one that is not in the stream yet", func(t *testing.T) {
		f := newServingFixture()
		f.PendingRecordsReceived([]Record{assign})
		f.assertReplicas(t, 0)
		f.appendRecords(assign)
		f.assertReplicas(t, 0)
		assertServesOnceReported(t, f)
	})
	t.Run("nor is one with a new member", func(t *testing.T) {
		f := newServingFixture()
		f.appendRecords(newRenewal("b", 2, 3, newAssign("g", "s1")))
		f.reportReady("g", "s1")
		f.assertReplicas(t, 1)
		f.appendRecords(newRenewal("b", 2, 4, newAssign("g", "s2", "s1")))
		f.assertReplicas(t, 0)
		assertServesOnceReported(t, f)
	})
	t.Run("a group of another dispatcher has no slots here until its members report", func(t *testing.T) {
		f := newServingFixture()
		f.setDispatcher(false)
		f.appendRecords(assign)
		f.setDispatcher(true)
		f.assertReplicas(t, 1)
		assertEqual(t, f.RoutableReplicas(newInstant(0, 0))[0].Slots(), 0, "slots before")
		assertServesOnceReported(t, f)
	})
	t.Run("a group that this host passed to another dispatcher has none either", func(t *testing.T) {
		f := newServingFixture()
		f.appendRecords(assign)
		f.setDispatcher(false)
		f.setDispatcher(true)
		f.assertReplicas(t, 1)
		assertEqual(t, f.RoutableReplicas(newInstant(0, 0))[0].Slots(), 0, "slots before")
		assertServesOnceReported(t, f)
	})
	t.Run("nor has a group from before the start of this host", func(t *testing.T) {
		f := newFixture("s1", "s2")
		f.appendRecords(newJoin("b"), newClaim("b", 0), newRenewal("b", 2, 1, newAssign("g", "s1", "s2")), newJoin("a"))
		f.assertReplicas(t, 1)
		assertEqual(t, f.RoutableReplicas(newInstant(0, 0))[0].Slots(), 0, "slots before")
		assertServesOnceReported(t, f)
	})
}

func TestTakeover(t *testing.T) {
	t.Run("a lease is claimed only when it has lapsed", func(t *testing.T) {
		f := newSuccessorFixture(true)
		assertNotBefore(t, f.runUntil(t, "claim", f.isController), LeaseDuration, "claim")
	})
	t.Run("an elector that the holder may not know of waits for the longest outage", func(t *testing.T) {
		f := newSuccessorFixture(false)
		assertNotBefore(t, f.runUntil(t, "claim", f.isController), MaxLogOutage, "claim")
	})
	t.Run("an elector that was started again waits for the promises of its earlier life", func(t *testing.T) {
		f := newSuccessorFixture(true)
		rejoin := newJoin("a")
		rejoin.Incarnation = 2
		f.incarnation = 2
		f.appendRecords(rejoin)
		got := f.runUntil(t, "claim", f.isController)
		assertNotBefore(t, got, PromiseDuration+clockMargin, "claim")
		if limit := PromiseDuration + 2*time.Second; got > limit {
			t.Errorf("claim: got it after %s, want it within %s", got, limit)
		}
	})
	t.Run("an elector that was started again before it was acknowledged waits for the longest outage", func(t *testing.T) {
		f := newSuccessorFixture(false)
		rejoin := newJoin("a")
		rejoin.Incarnation = 2
		f.incarnation = 2
		f.appendRecords(rejoin)
		assertNotBefore(t, f.runUntil(t, "claim", f.isController), MaxLogOutage, "claim")
	})
	t.Run("after a restart of the stream a claim waits for the longest outage", func(t *testing.T) {
		f := newSuccessorFixture(true, fuchsiapitch.WithFencing())
		f.appendRecords(Record{Kind: Checkpoint, CheckpointState: &Snapshot{Offset: 5}})
		assertEqual(t, f.Committed().Term(), 0, "term")
		assertNotBefore(t, f.runUntil(t, "claim", f.isController), MaxLogOutage, "claim")
	})
	t.Run("orders to engines that ignore fencing wait for late ones", func(t *testing.T) {
		f := newSuccessorFixture(true)
		assertNotBefore(t, f.runUntil(t, "order", f.hasIssuedOrder), LeaseDuration+lateOrderMargin, "first order")
	})
	t.Run("a renewal that reached the stream before the claim counts", func(t *testing.T) {
		assertLateRenewal(t, newSuccessorFixture(true), LeaseDuration+lateOrderMargin)
	})
	t.Run("it counts for engines that check fencing too", func(t *testing.T) {
		assertLateRenewal(t, newSuccessorFixture(true, fuchsiapitch.WithFencing()), LeaseDuration)
	})
	t.Run("a member that the list lacks is not lost at once", func(t *testing.T) {
		f := newSuccessorFixture(true)
		r := newRenewal("b", 2, 3, newAssign("g", "s1", "unlisted"))
		r.ReadOffset = 4
		f.appendRecords(r)
		f.runUntil(t, "claim", f.isController)
		f.run(unlistedGracePeriod - tickPeriod)
		g, _ := f.Committed().Group("g")
		assertEqual(t, g.Members, []fuchsiapitch.ServerID{"s1", "unlisted"}, "members")
		f.run(10 * time.Second)
		g, _ = f.Committed().Group("g")
		assertEqual(t, g.Members, []fuchsiapitch.ServerID{"s1", "s2"}, "members after long absence")
	})
	t.Run("orders to engines that check fencing need not wait", func(t *testing.T) {
		f := newSuccessorFixture(true, fuchsiapitch.WithFencing())
		if got := f.runUntil(t, "order", f.hasIssuedOrder); got >= LeaseDuration+MaxOrderDelay {
			t.Errorf("first order: got it after %s, want it before %s", got, LeaseDuration+MaxOrderDelay)
		}
	})
	t.Run("a promise holds back a claim", func(t *testing.T) {
		f := newSuccessorFixture(true)
		f.PromiseReceived(newInstant(0, 0), "b", 7, NoClaimPromise{Term: 2, Wanted: true})
		assertNotBefore(t, f.runUntil(t, "claim", f.isController), PromiseDuration, "claim")
	})
	t.Run("orders after a promise wait for those that it allowed", func(t *testing.T) {
		f := newSuccessorFixture(true)
		f.PromiseReceived(newInstant(0, 0), "b", 7, NoClaimPromise{Term: 2, Wanted: true})
		f.runUntil(t, "claim", f.isController)
		assertNotBefore(t, f.runUntil(t, "order", f.hasIssuedOrder), lateOrderMargin, "first order after the claim")
	})
	t.Run("no promise is given once a claim is on its way", func(t *testing.T) {
		f := newSuccessorFixture(true)
		f.withholdReads = true
		f.run(2 * LeaseDuration)
		now := newInstant(f.now, f.now)
		f.PromiseReceived(now, "b", 7, NoClaimPromise{Term: 2, Wanted: true})
		assertEqual(t, f.HeartbeatPromise(now, 1), NoClaimPromise{}, "promise")
	})
}

// newLapsedFixture returns the fixture of a controller whose lease has lapsed
// during an outage of the log, with one other elector.
func newLapsedFixture() *fixture {
	f := newOutageFixture()
	f.run(LeaseDuration)
	return f
}

// newOutageFixture returns the fixture of a controller that no longer reads
// anything from the log, with one other elector.
func newOutageFixture() *fixture {
	f := newFixture("s1", "s2", "s3", "s4", "s5")
	f.run(5 * time.Second)
	f.appendRecords(newJoin("b"))
	f.run(2 * time.Second)
	f.withholdReads, f.issuedOrders = true, nil
	return f
}

func (f *fixture) receivePromise(echo uint64, remaining time.Duration) {
	f.PromiseReceived(newInstant(f.now, f.now), "b", 1, NoClaimPromise{Term: f.controller.term, Remaining: remaining, Incarnation: 1, Echo: echo})
}

func (f *fixture) mayIssueOrders() bool {
	_, ok := f.controller.orderPermission(newInstant(f.now, f.now), f.committed, f.self)
	return ok
}

func TestPromise(t *testing.T) {
	t.Run("without the promise of every elector no order is given", func(t *testing.T) {
		f := newLapsedFixture()
		f.engines["s1"].unresponsive = true
		f.run(10 * time.Second)
		assertEqual(t, f.mayIssueOrders(), false, "may order")
		assertEqual(t, len(f.issuedOrders), 0, "orders")
	})
	t.Run("under a lease an assignment is in the stream before it is ordered", func(t *testing.T) {
		f := newOutageFixture()
		f.engines["s1"].unresponsive = true
		for range silenceThreshold {
			f.ServerUnresponsive(newInstant(f.now, f.now), "s1")
		}
		f.run(planPeriod + tickPeriod)
		assertEqual(t, f.mayIssueOrders(), true, "may order")
		assertEqual(t, len(f.controller.queuedRecords()[0].Changes), 1, "queued changes")
		assertEqual(t, len(f.issuedOrders), 0, "orders")
		f.withholdReads = false
		f.run(2 * time.Second)
		assertEqual(t, len(f.issuedOrders), 2, "orders once it is read")
	})
	t.Run("with the promise of every elector orders are given after the lease has lapsed", func(t *testing.T) {
		f := newLapsedFixture()
		f.HeartbeatPromise(newInstant(f.now, f.now), 5)
		f.receivePromise(5, PromiseDuration)
		f.engines["s1"].unresponsive = true
		f.run(5 * time.Second)
		assertEqual(t, f.mayIssueOrders(), true, "may order")
		assertEqual(t, len(f.issuedOrders), 2, "orders")
	})
	t.Run("a promise counts from the heartbeat that it answers", func(t *testing.T) {
		f := newLapsedFixture()
		f.HeartbeatPromise(newInstant(f.now, f.now), 5)
		f.run(PromiseDuration)
		f.receivePromise(5, PromiseDuration)
		assertEqual(t, f.mayIssueOrders(), false, "may order")
	})
	t.Run("promises do not last beyond the longest outage", func(t *testing.T) {
		f := newLapsedFixture()
		f.run(MaxLogOutage)
		f.HeartbeatPromise(newInstant(f.now, f.now), 5)
		f.receivePromise(5, PromiseDuration)
		assertEqual(t, f.mayIssueOrders(), false, "may order")
	})
	t.Run("the promise of an earlier incarnation does not count", func(t *testing.T) {
		f := newLapsedFixture()
		f.HeartbeatPromise(newInstant(f.now, f.now), 5)
		f.PromiseReceived(newInstant(f.now, f.now), "b", 1, NoClaimPromise{Term: f.controller.term, Remaining: PromiseDuration, Incarnation: 2, Echo: 5})
		assertEqual(t, f.mayIssueOrders(), false, "may order")
	})
}
