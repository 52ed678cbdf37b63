package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

const (
	modelService       = fuchsiapitch.ServiceName("vidrio-llm")
	applicationService = fuchsiapitch.ServiceName("taller-app")
)

// newConfiguration returns a configuration with the ranks chat, draft (floor 10%)
// and kiln (floor 5%).
func newConfiguration(customers ...fuchsiapitch.Customer) fuchsiapitch.Configuration {
	services := []fuchsiapitch.Service{
		fuchsiapitch.NewService(modelService, fuchsiapitch.ModelService, "kiln"),
		fuchsiapitch.NewService(applicationService, fuchsiapitch.ApplicationService, "chat"),
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
	return fuchsiapitch.NewRequest(name, modelService, customer, rank, options...)
}

func instantAt(d time.Duration) fuchsiapitch.Instant {
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
		s := newScheduler(newReplicas(modelService, 1, 1))
		kiln, first, second := newStream(1, "a", "kiln", 10), newStream(2, "a", "chat", 10), newStream(3, "a", "chat", 10)
		for _, r := range []fuchsiapitch.Request{kiln, first, second} {
			assertAccepted(t, s.Offer(instantAt(0), r), true)
		}
		assertStarts(t, s.Decide(instantAt(0)), first.ID())
		s.RequestEnded(instantAt(1), first.ID())
		assertStarts(t, s.Decide(instantAt(1)), second.ID())
		s.RequestEnded(instantAt(2), second.ID())
		assertStarts(t, s.Decide(instantAt(2)), kiln.ID())
	})
	t.Run("an excluded replica holds up only its own request", func(t *testing.T) {
		s := newScheduler(newReplicas(modelService, 2, 1))
		running, retried, next := newStream(1, "a", "chat", 10), newStream(2, "a", "chat", 10), newStream(3, "a", "chat", 10)
		s.Offer(instantAt(0), running, "g01")
		assertStarts(t, s.Decide(instantAt(0)), running.ID())
		s.Offer(instantAt(1), retried, "g01")
		s.Offer(instantAt(1), next)
		assertStarts(t, s.Decide(instantAt(1)), next.ID())
		s.RequestEnded(instantAt(2), running.ID())
		assertStarts(t, s.Decide(instantAt(2)), retried.ID())
	})
	t.Run("an unknown rank counts as the least urgent", func(t *testing.T) {
		s := newScheduler(newReplicas(modelService, 1, 1))
		unknown, draft := newStream(1, "a", "nonsense", 10), newStream(2, "a", "draft", 10)
		s.Offer(instantAt(0), unknown)
		s.Offer(instantAt(0), draft)
		assertStarts(t, s.Decide(instantAt(0)), draft.ID())
	})
	t.Run("a request whose deadline passes in the queue is refused", func(t *testing.T) {
		s := newScheduler(newReplicas(modelService, 1, 1))
		s.Offer(instantAt(0), newStream(1, "a", "chat", 10))
		s.Decide(instantAt(0))
		s.Offer(instantAt(0), newStream(2, "a", "chat", 10, fuchsiapitch.WithTimeLimit(time.Second)))
		if p := s.Decide(instantAt(time.Second)); len(p.Refusals) != 1 || p.Refusals[0].Reason != fuchsiapitch.RefusedDeadline {
			t.Errorf("got refusals %v, want one for the passed deadline", p.Refusals)
		}
	})
	t.Run("requests whose replicas go are named as orphans and start when one returns", func(t *testing.T) {
		s := newScheduler(newReplicas(modelService, 1, 1))
		s.Offer(instantAt(0), newStream(1, "a", "chat", 10))
		s.SetReplicas(nil)
		assertStarts(t, s.Decide(instantAt(1)))
		if got := s.OrphanedRequests(); len(got) != 1 {
			t.Errorf("got orphans %v, want one", got)
		}
		s.SetReplicas(newReplicas(modelService, 1, 1))
		assertStarts(t, s.Decide(instantAt(2)), "a-chat-000001")
	})
}

func TestPreemption(t *testing.T) {
	s := newScheduler(newReplicas(modelService, 1, 2))
	kiln := []fuchsiapitch.Request{newStream(1, "a", "kiln", 10), newStream(2, "a", "kiln", 10)}
	for _, r := range kiln {
		s.Offer(instantAt(0), r)
	}
	s.Decide(instantAt(0))
	s.Offer(instantAt(1), newStream(3, "b", "chat", 10))
	p := s.Decide(instantAt(1))
	if len(p.Preemptions) != 1 || p.Preemptions[0] != kiln[1].ID() {
		t.Fatalf("got preemptions %v, want the newest kiln stream", p.Preemptions)
	}
	if got := s.PreemptionCount(kiln[1].ID()); got != 1 {
		t.Errorf("got %d preemptions, want 1", got)
	}
	s.RequestEnded(instantAt(2), kiln[1].ID())
	s.Requeue(instantAt(2), kiln[1], 5, maxPreemptions)
	assertStarts(t, s.Decide(instantAt(2)), "b-chat-000003")
	s.RequestEnded(instantAt(3), "b-chat-000003")
	assertStarts(t, s.Decide(instantAt(3)), kiln[1].ID())
	s.RequestEnded(instantAt(4), kiln[0].ID())
	s.Offer(instantAt(5), newStream(4, "b", "chat", 10))
	s.Decide(instantAt(5))
	s.Offer(instantAt(6), newStream(5, "b", "chat", 10))
	if p := s.Decide(instantAt(6)); len(p.Preemptions) != 0 {
		t.Errorf("got preemptions %v of a stream at its limit, want none", p.Preemptions)
	}
}

func TestIdempotentCallsLeaveSlotsFree(t *testing.T) {
	s := newScheduler([]fuchsiapitch.Replica{newReplica("app", applicationService, 8)})
	call := func(id int, options ...fuchsiapitch.RequestOption) fuchsiapitch.Request {
		options = append(options, fuchsiapitch.WithTimeLimit(time.Minute))
		return fuchsiapitch.NewRequest(fuchsiapitch.RequestID(fmt.Sprint(id)), applicationService, "a", "chat", options...)
	}
	for n := range 100 {
		s.Offer(instantAt(0), call(n, fuchsiapitch.WithIdempotentRequest()))
	}
	if got, want := len(s.Decide(instantAt(0)).Starts), 6; got != want {
		t.Fatalf("got %d idempotent calls running, want %d of 8 slots", got, want)
	}
	s.Offer(instantAt(1), call(1000))
	assertStarts(t, s.Decide(instantAt(1)), "1000")
}

func TestStragglers(t *testing.T) {
	sm := newSimulation(newScheduler(newReplicas(modelService, 4, 8)))
	sm.interTokenTime = func(r fuchsiapitch.ReplicaID) time.Duration {
		if r == "g02" && sm.now < 40*time.Second {
			return 120 * time.Millisecond
		}
		return 30 * time.Millisecond
	}
	sm.keepUnfinished("a", "kiln", 100, 50)
	sm.run(20 * time.Second)
	if got := sm.scheduler.Stragglers(); !slices.Equal(got, []fuchsiapitch.ReplicaID{"g02"}) {
		t.Fatalf("got stragglers %v, want g02", got)
	}
	if got := sm.running["g02"]; got > 1 {
		t.Errorf("got %d requests on the straggler, want at most one probe", got)
	}
	sm.run(60 * time.Second)
	if got := sm.scheduler.Stragglers(); len(got) != 0 {
		t.Errorf("got stragglers %v after recovery, want none", got)
	}
}

func TestStragglerAmongPeers(t *testing.T) {
	sm := newSimulation(newScheduler(newReplicas(modelService, 1, 8)))
	sm.scheduler.SetPeerInterTokenTimes(modelService, []time.Duration{25 * time.Millisecond, 30 * time.Millisecond, 35 * time.Millisecond})
	sm.interTokenTime = func(fuchsiapitch.ReplicaID) time.Duration { return 90 * time.Millisecond }
	sm.keepUnfinished("a", "kiln", 40, 50)
	sm.run(20 * time.Second)
	if got := sm.scheduler.Stragglers(); !slices.Equal(got, []fuchsiapitch.ReplicaID{"g00"}) {
		t.Errorf("got stragglers %v, want the only replica here", got)
	}
	if slots, _, _ := sm.scheduler.Load(modelService); slots != 4 {
		t.Errorf("got %d slots, want half of 8: queued requests have no other replica", slots)
	}
}

func TestEstimates(t *testing.T) {
	s := newScheduler(newReplicas(modelService, 1, 1))
	for n := range 5 {
		r := newStream(n, "a", "kiln", 4000)
		s.Offer(instantAt(time.Duration(n)*time.Second), r)
		s.Decide(instantAt(time.Duration(n) * time.Second))
		s.TotalTokensReceived(instantAt(time.Duration(n)*time.Second), r.ID(), 40)
		s.RequestEnded(instantAt(time.Duration(n)*time.Second), r.ID())
	}
	r := newStream(9, "a", "kiln", 4000)
	s.Offer(instantAt(6*time.Second), r)
	if got := s.jobs[r.ID()].estimatedCost; got < 39 || got > 41 {
		t.Errorf("got an estimate of %.1f tokens after requests that took 40 of 4000, want 40", got)
	}
}
