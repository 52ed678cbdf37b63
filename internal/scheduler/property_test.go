package scheduler

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// schedulerModel drives a scheduler with random events and records what its
// invariants are checked against.
type schedulerModel struct {
	scheduler *Scheduler
	now       time.Duration
	running   map[fuchsiapitch.RequestID]fuchsiapitch.ReplicaID
	// runningOrder are the running requests in the order in which they started.
	runningOrder     []fuchsiapitch.RequestID
	requests         map[fuchsiapitch.RequestID]fuchsiapitch.Request
	preemptionCounts map[fuchsiapitch.RequestID]int
	// queuedBytes is the size of the queued request bodies by rank.
	queuedBytes  map[string]int64
	slots        map[fuchsiapitch.ReplicaID]int
	requestCount int
}

const modelQueueByteLimit = 40_000

func newSchedulerModel(options ...Option) *schedulerModel {
	options = append(options, WithQueueLimit(64, modelQueueByteLimit))
	replicas := newReplicas(modelService, 3, 3)
	m := &schedulerModel{
		scheduler:        newScheduler(replicas, options...),
		running:          make(map[fuchsiapitch.RequestID]fuchsiapitch.ReplicaID),
		requests:         make(map[fuchsiapitch.RequestID]fuchsiapitch.Request),
		preemptionCounts: make(map[fuchsiapitch.RequestID]int),
		queuedBytes:      make(map[string]int64),
		slots:            make(map[fuchsiapitch.ReplicaID]int),
	}
	for _, r := range replicas {
		m.slots[r.ID()] = r.Slots()
	}
	return m
}

func (m *schedulerModel) offer(t *rapid.T) {
	m.requestCount++
	customer := rapid.SampledFrom([]fuchsiapitch.CustomerName{"a", "b", "c"}).Draw(t, "customer")
	rank := rapid.SampledFrom([]fuchsiapitch.RankName{"chat", "draft", "kiln"}).Draw(t, "rank")
	bytes := rapid.Int64Range(0, 5000).Draw(t, "bytes")
	r := newStream(m.requestCount, customer, rank, rapid.Float64Range(1, 500).Draw(t, "cost"),
		fuchsiapitch.WithEstimatedCost(10, bytes), fuchsiapitch.WithPrefixHash(rapid.Uint64Range(0, 3).Draw(t, "prefix")))
	if !m.scheduler.Offer(instantAt(m.now), r).Accepted {
		return
	}
	m.requests[r.ID()] = r
	m.queuedBytes[string(rank)] += bytes
	if m.queuedBytes[string(rank)] > modelQueueByteLimit {
		t.Fatalf("got %d bytes queued in rank %s, want at most %d", m.queuedBytes[string(rank)], rank, modelQueueByteLimit)
	}
}

func (m *schedulerModel) decide(t *rapid.T) {
	p := m.scheduler.Decide(instantAt(m.now))
	for _, s := range p.Starts {
		r := m.requests[s.Request]
		if _, twice := m.running[s.Request]; twice || r.ID() == "" {
			t.Fatalf("got a start of %s, which is not queued", s.Request)
		}
		m.queuedBytes[string(r.Rank())] -= r.BodyBytes()
		m.running[s.Request] = s.Replica.ID()
		m.runningOrder = append(m.runningOrder, s.Request)
	}
	for _, id := range p.Preemptions {
		m.preempt(t, id)
	}
	m.assertSlots(t)
	if len(p.Preemptions) > 0 {
		m.decide(t)
	}
}

func (m *schedulerModel) preempt(t *rapid.T, id fuchsiapitch.RequestID) {
	r := m.requests[id]
	m.preemptionCounts[id]++
	if r.Rank() == "chat" || m.preemptionCounts[id] > maxPreemptions {
		t.Fatalf("got preemption %d of %s, want none of urgent requests and at most %d of others", m.preemptionCounts[id], id, maxPreemptions)
	}
	m.end(id)
	m.scheduler.Requeue(instantAt(m.now), r, 1, m.preemptionCounts[id])
	m.requests[id] = r
	m.queuedBytes[string(r.Rank())] += r.BodyBytes()
}

func (m *schedulerModel) end(id fuchsiapitch.RequestID) {
	m.scheduler.RequestEnded(instantAt(m.now), id)
	delete(m.running, id)
	delete(m.requests, id)
	for i, o := range m.runningOrder {
		if o == id {
			m.runningOrder = append(m.runningOrder[:i], m.runningOrder[i+1:]...)
			return
		}
	}
}

func (m *schedulerModel) assertSlots(t *rapid.T) {
	used := make(map[fuchsiapitch.ReplicaID]int)
	for id, r := range m.running {
		used[r]++
		if used[r] > m.slots[r] {
			t.Fatalf("got %d running requests on %s including %s, want at most %d", used[r], r, id, m.slots[r])
		}
	}
}

// assertWorkConserving asserts that no request is queued while more slots are free
// than may be reserved.
func (m *schedulerModel) assertWorkConserving(t *rapid.T, maxReserved int) {
	_, inFlight, queued := m.scheduler.Load(modelService)
	slots := 0
	for _, n := range m.slots {
		slots += n
	}
	if queued > 0 && inFlight+maxReserved < slots {
		t.Fatalf("got %d queued and %d running requests in %d slots, want at most %d slots reserved", queued, inFlight, slots, maxReserved)
	}
}

func (m *schedulerModel) step(t *rapid.T) {
	m.now += time.Duration(rapid.IntRange(0, 500).Draw(t, "elapsed-ms")) * time.Millisecond
	switch action := rapid.IntRange(0, 5).Draw(t, "action"); {
	case action <= 2:
		m.offer(t)
	case len(m.runningOrder) == 0:
	case action == 3:
		id := rapid.SampledFrom(m.runningOrder).Draw(t, "progressed")
		m.scheduler.TokensReceived(instantAt(m.now), id, 10, 300*time.Millisecond)
	default:
		m.end(rapid.SampledFrom(m.runningOrder).Draw(t, "ended"))
	}
	m.decide(t)
}

func TestProperties(t *testing.T) {
	t.Run("slots, bytes and preemptions are bounded and slots are used", func(t *testing.T) {
		rapid.Check(t, func(t *rapid.T) {
			m := newSchedulerModel(Without(AdaptiveConcurrency, StragglerAvoidance))
			for range 150 {
				m.step(t)
				// Of the nine slots, one is kept free for urgent requests and at most a
				// quarter for small customers.
				m.assertWorkConserving(t, 1+2)
			}
		})
	})
	t.Run("without headroom no slot is free while work waits", func(t *testing.T) {
		rapid.Check(t, func(t *rapid.T) {
			m := newSchedulerModel(Without(AdaptiveConcurrency, StragglerAvoidance, Headroom, ShareHeadroom))
			for range 150 {
				m.step(t)
				m.assertWorkConserving(t, 0)
			}
		})
	})
	t.Run("every accepted request runs once the load ends", func(t *testing.T) {
		rapid.Check(t, func(t *rapid.T) {
			m := newSchedulerModel()
			for range 60 {
				m.step(t)
			}
			for range 2000 {
				if len(m.requests) == 0 {
					return
				}
				m.now += 100 * time.Millisecond
				if len(m.runningOrder) > 0 {
					m.end(m.runningOrder[0])
				}
				m.decide(t)
			}
			t.Fatalf("got %d accepted requests that never ran", len(m.requests))
		})
	})
	t.Run("equal events give equal plans", func(t *testing.T) {
		rapid.Check(t, func(t *rapid.T) {
			first, second := newSchedulerModel(), newSchedulerModel()
			for n := range 100 {
				customer := rapid.SampledFrom([]fuchsiapitch.CustomerName{"a", "b", "c"}).Draw(t, "customer")
				rank := rapid.SampledFrom([]fuchsiapitch.RankName{"chat", "draft", "kiln"}).Draw(t, "rank")
				r := newStream(n, customer, rank, 20)
				var plans []string
				for _, m := range []*schedulerModel{first, second} {
					m.scheduler.Offer(instantAt(time.Duration(n)*time.Second), r)
					plans = append(plans, fmt.Sprint(m.scheduler.Decide(instantAt(time.Duration(n)*time.Second))))
				}
				if plans[0] != plans[1] {
					t.Fatalf("got plans %s and %s, want equal", plans[0], plans[1])
				}
			}
		})
	})
}

func BenchmarkEvent(b *testing.B) {
	for _, waiting := range []int{100, 4000} {
		b.Run(fmt.Sprintf("%d-waiting", waiting), func(b *testing.B) {
			s := newScheduler(newReplicas(modelService, 15, 16), Without(EarlyRefusal))
			ranks := []fuchsiapitch.RankName{"kiln", "draft", "chat"}
			running := []fuchsiapitch.RequestID{}
			now, count := time.Duration(0), 0
			offer := func() {
				customer := fuchsiapitch.CustomerName(fmt.Sprintf("customer-%d", count%20))
				s.Offer(instantAt(now), newStream(count, customer, ranks[count%3], 100, fuchsiapitch.WithPrefixHash(uint64(count%50))))
				count++
			}
			decide := func() {
				p := s.Decide(instantAt(now))
				for _, t := range p.Starts {
					running = append(running, t.Request)
				}
			}
			for range waiting + 240 {
				offer()
			}
			decide()
			b.ReportAllocs()
			b.ResetTimer()
			// One iteration has four events: an offer, a first token, further tokens and
			// an end.
			for range b.N {
				now += time.Millisecond
				id := running[0]
				running = running[1:]
				offer()
				decide()
				s.FirstTokenReceived(instantAt(now), id, 100*time.Millisecond)
				decide()
				s.TokensReceived(instantAt(now), id, 50, time.Second)
				decide()
				s.RequestEnded(instantAt(now), id)
				decide()
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/4, "ns/event")
		})
	}
}
