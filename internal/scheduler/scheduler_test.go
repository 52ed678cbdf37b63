package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

const (
	service   = fuchsiapitch.ServiceName("vidrio-llm")
	orderDesk = fuchsiapitch.ServiceName("taller-app")
)

// newConfiguration has the ranks chat, draft (floor 10%) and kiln (floor 5%).
func newConfiguration(customers ...fuchsiapitch.Customer) fuchsiapitch.Configuration {
	services := []fuchsiapitch.Service{
		fuchsiapitch.NewService(service, fuchsiapitch.ModelService, "kiln"),
		fuchsiapitch.NewService(orderDesk, fuchsiapitch.ApplicationService, "chat"),
	}
	ranks := []fuchsiapitch.Rank{
		fuchsiapitch.NewRank("chat", 0, 480*time.Millisecond, 44*time.Millisecond, 100, 0),
		fuchsiapitch.NewRank("draft", 1, 5*time.Second, 100*time.Millisecond, 10, 0.10),
		fuchsiapitch.NewRank("kiln", 2, 5*time.Minute, time.Second, 1, 0.05),
	}
	return fuchsiapitch.NewConfiguration(1, 1, services, customers, ranks)
}

func newReplica(id fuchsiapitch.ReplicaID, service fuchsiapitch.ServiceName, slots int) fuchsiapitch.Replica {
	server := fuchsiapitch.NewBackendServer(fuchsiapitch.ServerID(id), fuchsiapitch.EngineServer, "127.0.0.1:1", "gt-xela")
	return fuchsiapitch.NewReplica(id, service, server, slots, "1")
}

func newReplicas(service fuchsiapitch.ServiceName, count, slots int) []fuchsiapitch.Replica {
	var replicas []fuchsiapitch.Replica
	for n := range count {
		replicas = append(replicas, newReplica(fuchsiapitch.ReplicaID(fmt.Sprintf("g%02d", n)), service, slots))
	}
	return replicas
}

func newScheduler(replicas []fuchsiapitch.Replica, options ...Option) *Scheduler {
	s := New(options...)
	s.Configure(newConfiguration())
	s.SetReplicas(replicas)
	return s
}

func newStream(id int, customer fuchsiapitch.CustomerName, rank fuchsiapitch.RankName, cost float64, options ...fuchsiapitch.RequestOption) fuchsiapitch.Request {
	name := fuchsiapitch.RequestID(fmt.Sprintf("%s-%s-%06d", customer, rank, id))
	options = append([]fuchsiapitch.RequestOption{
		fuchsiapitch.WithEstimatedCost(cost, 1000), fuchsiapitch.WithIdempotentRequest(),
		fuchsiapitch.WithTokenStream(), fuchsiapitch.WithTimeLimit(time.Hour),
	}, options...)
	return fuchsiapitch.NewRequest(name, service, customer, rank, options...)
}

func at(d time.Duration) fuchsiapitch.Instant {
	return fuchsiapitch.NewInstant(d, time.Unix(0, 0).Add(d))
}

func assertAccepted(t *testing.T, a Admission, want bool) {
	t.Helper()
	if a.Accepted != want {
		t.Fatalf("got admission %+v, want accepted %t", a, want)
	}
}

func assertStarts(t *testing.T, p Plan, want ...fuchsiapitch.RequestID) {
	t.Helper()
	var got []fuchsiapitch.RequestID
	for _, s := range p.Starts {
		got = append(got, s.Request)
	}
	if !slices.Equal(got, want) {
		t.Fatalf("got starts %v, want %v", got, want)
	}
}

func TestOrder(t *testing.T) {
	t.Run("rank first and FIFO within a customer", func(t *testing.T) {
		s := newScheduler(newReplicas(service, 1, 1))
		kiln, first, second := newStream(1, "a", "kiln", 10), newStream(2, "a", "chat", 10), newStream(3, "a", "chat", 10)
		for _, r := range []fuchsiapitch.Request{kiln, first, second} {
			assertAccepted(t, s.Offer(at(0), r), true)
		}
		assertStarts(t, s.Decide(at(0)), first.ID())
		s.Ended(at(1), first.ID())
		assertStarts(t, s.Decide(at(1)), second.ID())
		s.Ended(at(2), second.ID())
		assertStarts(t, s.Decide(at(2)), kiln.ID())
	})
	t.Run("an excluded replica holds up only its own request", func(t *testing.T) {
		s := newScheduler(newReplicas(service, 2, 1))
		running, retried, next := newStream(1, "a", "chat", 10), newStream(2, "a", "chat", 10), newStream(3, "a", "chat", 10)
		s.Offer(at(0), running, "g01")
		assertStarts(t, s.Decide(at(0)), running.ID())
		s.Offer(at(1), retried, "g01")
		s.Offer(at(1), next)
		assertStarts(t, s.Decide(at(1)), next.ID())
		s.Ended(at(2), running.ID())
		assertStarts(t, s.Decide(at(2)), retried.ID())
	})
	t.Run("an unknown rank counts as the least urgent", func(t *testing.T) {
		s := newScheduler(newReplicas(service, 1, 1))
		unknown, draft := newStream(1, "a", "nonsense", 10), newStream(2, "a", "draft", 10)
		s.Offer(at(0), unknown)
		s.Offer(at(0), draft)
		assertStarts(t, s.Decide(at(0)), draft.ID())
	})
	t.Run("a deadline in the queue ends in a refusal", func(t *testing.T) {
		s := newScheduler(newReplicas(service, 1, 1))
		s.Offer(at(0), newStream(1, "a", "chat", 10))
		s.Decide(at(0))
		s.Offer(at(0), newStream(2, "a", "chat", 10, fuchsiapitch.WithTimeLimit(time.Second)))
		if p := s.Decide(at(time.Second)); len(p.Refusals) != 1 || p.Refusals[0].Reason != fuchsiapitch.RefusedDeadline {
			t.Errorf("got refusals %v, want one for the deadline", p.Refusals)
		}
	})
	t.Run("requests whose replicas go are named as orphans and start when one returns", func(t *testing.T) {
		s := newScheduler(newReplicas(service, 1, 1))
		s.Offer(at(0), newStream(1, "a", "chat", 10))
		s.SetReplicas(nil)
		assertStarts(t, s.Decide(at(1)))
		if got := s.Orphans(); len(got) != 1 {
			t.Errorf("got orphans %v, want one", got)
		}
		s.SetReplicas(newReplicas(service, 1, 1))
		assertStarts(t, s.Decide(at(2)), "a-chat-000001")
	})
}

func TestPreemption(t *testing.T) {
	s := newScheduler(newReplicas(service, 1, 2))
	kiln := []fuchsiapitch.Request{newStream(1, "a", "kiln", 10), newStream(2, "a", "kiln", 10)}
	for _, r := range kiln {
		s.Offer(at(0), r)
	}
	s.Decide(at(0))
	s.Offer(at(1), newStream(3, "b", "chat", 10))
	p := s.Decide(at(1))
	if len(p.Preempts) != 1 || p.Preempts[0] != kiln[1].ID() {
		t.Fatalf("got preempts %v, want the newest kiln stream", p.Preempts)
	}
	if got := s.Preemptions(kiln[1].ID()); got != 1 {
		t.Errorf("got %d preemptions, want 1", got)
	}
	s.Ended(at(2), kiln[1].ID())
	s.Resume(at(2), kiln[1], 5, preemptionLimit)
	assertStarts(t, s.Decide(at(2)), "b-chat-000003")
	s.Ended(at(3), "b-chat-000003")
	assertStarts(t, s.Decide(at(3)), kiln[1].ID())
	s.Ended(at(4), kiln[0].ID())
	s.Offer(at(5), newStream(4, "b", "chat", 10))
	s.Decide(at(5))
	s.Offer(at(6), newStream(5, "b", "chat", 10))
	if p := s.Decide(at(6)); len(p.Preempts) != 0 {
		t.Errorf("got preempts %v of a stream over its limit, want none", p.Preempts)
	}
}

func TestApplicationCalls(t *testing.T) {
	s := newScheduler([]fuchsiapitch.Replica{newReplica("app", orderDesk, 8)})
	call := func(id int, options ...fuchsiapitch.RequestOption) fuchsiapitch.Request {
		options = append(options, fuchsiapitch.WithTimeLimit(time.Minute))
		return fuchsiapitch.NewRequest(fuchsiapitch.RequestID(fmt.Sprint(id)), orderDesk, "a", "chat", options...)
	}
	for n := range 100 {
		s.Offer(at(0), call(n, fuchsiapitch.WithIdempotentRequest()))
	}
	if got, want := len(s.Decide(at(0)).Starts), 6; got != want {
		t.Fatalf("got %d lookups running, want %d of 8 slots", got, want)
	}
	s.Offer(at(1), call(1000))
	assertStarts(t, s.Decide(at(1)), "1000")
}

func TestStragglers(t *testing.T) {
	l := newLoop(newScheduler(newReplicas(service, 4, 8)))
	l.gap = func(r fuchsiapitch.ReplicaID) time.Duration {
		if r == "g02" && l.now < 40*time.Second {
			return 120 * time.Millisecond
		}
		return 30 * time.Millisecond
	}
	l.keep("a", "kiln", 100, 50)
	l.run(20 * time.Second)
	if got := l.scheduler.Stragglers(); !slices.Equal(got, []fuchsiapitch.ReplicaID{"g02"}) {
		t.Fatalf("got stragglers %v, want g02", got)
	}
	if got := l.running["g02"]; got > 1 {
		t.Errorf("got %d requests on the straggler, want at most one probe", got)
	}
	l.run(60 * time.Second)
	if got := l.scheduler.Stragglers(); len(got) != 0 {
		t.Errorf("got stragglers %v after recovery, want none", got)
	}
}

func TestStragglerAmongPeers(t *testing.T) {
	l := newLoop(newScheduler(newReplicas(service, 1, 8)))
	l.scheduler.SetPeerPaces(service, []time.Duration{25 * time.Millisecond, 30 * time.Millisecond, 35 * time.Millisecond})
	l.gap = func(fuchsiapitch.ReplicaID) time.Duration { return 90 * time.Millisecond }
	l.keep("a", "kiln", 40, 50)
	l.run(20 * time.Second)
	if got := l.scheduler.Stragglers(); !slices.Equal(got, []fuchsiapitch.ReplicaID{"g00"}) {
		t.Errorf("got stragglers %v, want the only replica here", got)
	}
	if slots, _, _ := l.scheduler.Load(service); slots != 4 {
		t.Errorf("got %d slots, want half of 8: what waits here has no other replica", slots)
	}
}

func TestEstimates(t *testing.T) {
	s := newScheduler(newReplicas(service, 1, 1))
	for n := range 5 {
		r := newStream(n, "a", "kiln", 4000)
		s.Offer(at(time.Duration(n)*time.Second), r)
		s.Decide(at(time.Duration(n) * time.Second))
		s.Served(at(time.Duration(n)*time.Second), r.ID(), 40)
		s.Ended(at(time.Duration(n)*time.Second), r.ID())
	}
	r := newStream(9, "a", "kiln", 4000)
	s.Offer(at(6*time.Second), r)
	if got := s.jobs[r.ID()].cost; got < 39 || got > 41 {
		t.Errorf("got an estimate of %.1f tokens after requests that took 40 of 4000, want 40", got)
	}
}
