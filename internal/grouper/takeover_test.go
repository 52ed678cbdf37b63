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

func TestTakeover(t *testing.T) {
	t.Run("a lease is claimed only when it has lapsed", func(t *testing.T) {
		d := newSuccessor(true)
		assertNotBefore(t, d.runUntil(t, "claim", d.isHolder), LeaseTime, "claim")
	})
	t.Run("an elector that the holder may not know of waits for the longest outage", func(t *testing.T) {
		d := newSuccessor(false)
		assertNotBefore(t, d.runUntil(t, "claim", d.isHolder), OutageLimit, "claim")
	})
	t.Run("orders to engines that ignore fencing wait for late ones", func(t *testing.T) {
		d := newSuccessor(true)
		assertNotBefore(t, d.runUntil(t, "order", d.hasOrdered), LeaseTime+OrderTime+clockMargin, "first order")
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
	t.Run("no promise is given once a claim is on its way", func(t *testing.T) {
		d := newSuccessor(true)
		d.withhold = true
		d.run(2 * LeaseTime)
		now := instant(d.now, d.now)
		d.HearPromise(now, "b", 7, Promise{Term: 2, Wanted: true})
		assertEqual(t, d.Promise(now, 1), Promise{}, "promise")
	})
}

// newOutage returns the desk of a controller whose log has been away since its
// last renewal, with another elector, and the time of that renewal.
func newOutage() *desk {
	d := newDesk("s1", "s2", "s3", "s4")
	d.run(5 * time.Second)
	d.write(joinOf("b"))
	d.run(2 * time.Second)
	d.withhold = true
	d.run(LeaseTime)
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
		d.given = nil
		d.run(10 * time.Second)
		assertEqual(t, d.mayOrder(), false, "may order")
		assertEqual(t, len(d.given), 0, "orders")
	})
	t.Run("with every promise the controller goes on", func(t *testing.T) {
		d := newOutage()
		d.Promise(instant(d.now, d.now), 5)
		d.promise(5, PromiseTime)
		assertEqual(t, d.mayOrder(), true, "may order")
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
