package scheduler

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// model is a scheduler under random events, with what must hold beside it.
type model struct {
	scheduler *Scheduler
	now       time.Duration
	running   map[fuchsiapitch.RequestID]fuchsiapitch.ReplicaID
	order     []fuchsiapitch.RequestID
	requests  map[fuchsiapitch.RequestID]fuchsiapitch.Request
	preempted map[fuchsiapitch.RequestID]int
	bytes     map[string]int64
	slots     map[fuchsiapitch.ReplicaID]int
	count     int
}

const propertyQueueBytes = 40_000

func newModel(options ...Option) *model {
	options = append(options, WithQueueLimit(64, propertyQueueBytes))
	replicas := newReplicas(service, 3, 3)
	m := &model{
		scheduler: newScheduler(replicas, options...),
		running:   make(map[fuchsiapitch.RequestID]fuchsiapitch.ReplicaID),
		requests:  make(map[fuchsiapitch.RequestID]fuchsiapitch.Request),
		preempted: make(map[fuchsiapitch.RequestID]int),
		bytes:     make(map[string]int64),
		slots:     make(map[fuchsiapitch.ReplicaID]int),
	}
	for _, r := range replicas {
		m.slots[r.ID()] = r.Slots()
	}
	return m
}

func (m *model) offer(t *rapid.T) {
	m.count++
	customer := rapid.SampledFrom([]fuchsiapitch.CustomerName{"a", "b", "c"}).Draw(t, "customer")
	rank := rapid.SampledFrom([]fuchsiapitch.RankName{"chat", "draft", "kiln"}).Draw(t, "rank")
	bytes := rapid.Int64Range(0, 5000).Draw(t, "bytes")
	r := newStream(m.count, customer, rank, rapid.Float64Range(1, 500).Draw(t, "cost"),
		fuchsiapitch.WithEstimatedCost(10, bytes), fuchsiapitch.WithPrefixHash(rapid.Uint64Range(0, 3).Draw(t, "prefix")))
	if !m.scheduler.Offer(at(m.now), r).Accepted {
		return
	}
	m.requests[r.ID()] = r
	m.bytes[string(rank)] += bytes
	if m.bytes[string(rank)] > propertyQueueBytes {
		t.Fatalf("got %d bytes queued in rank %s, want at most %d", m.bytes[string(rank)], rank, propertyQueueBytes)
	}
}

func (m *model) decide(t *rapid.T) {
	p := m.scheduler.Decide(at(m.now))
	for _, s := range p.Starts {
		r := m.requests[s.Request]
		if _, twice := m.running[s.Request]; twice || r.ID() == "" {
			t.Fatalf("got a start of %s, which does not wait", s.Request)
		}
		m.bytes[string(r.Rank())] -= r.BodyBytes()
		m.running[s.Request] = s.Replica.ID()
		m.order = append(m.order, s.Request)
	}
	for _, id := range p.Preempts {
		m.preempt(t, id)
	}
	m.assertSlots(t)
	if len(p.Preempts) > 0 {
		m.decide(t)
	}
}

func (m *model) preempt(t *rapid.T, id fuchsiapitch.RequestID) {
	r := m.requests[id]
	m.preempted[id]++
	if r.Rank() == "chat" || m.preempted[id] > preemptionLimit {
		t.Fatalf("got preemption %d of %s, want none of urgent work and at most %d", m.preempted[id], id, preemptionLimit)
	}
	m.end(id)
	m.scheduler.Resume(at(m.now), r, 1, m.preempted[id])
	m.requests[id] = r
	m.bytes[string(r.Rank())] += r.BodyBytes()
}

func (m *model) end(id fuchsiapitch.RequestID) {
	m.scheduler.Ended(at(m.now), id)
	delete(m.running, id)
	delete(m.requests, id)
	for i, o := range m.order {
		if o == id {
			m.order = append(m.order[:i], m.order[i+1:]...)
			return
		}
	}
}

func (m *model) assertSlots(t *rapid.T) {
	used := make(map[fuchsiapitch.ReplicaID]int)
	for id, r := range m.running {
		used[r]++
		if used[r] > m.slots[r] {
			t.Fatalf("got %d requests on %s with %s, want at most %d", used[r], r, id, m.slots[r])
		}
	}
}

// assertConserved asserts that nothing waits while a slot that is not kept for
// others is free.
func (m *model) assertConserved(t *rapid.T, kept int) {
	_, inFlight, queued := m.scheduler.Load(service)
	slots := 0
	for _, n := range m.slots {
		slots += n
	}
	if queued > 0 && inFlight+kept < slots {
		t.Fatalf("got %d waiting beside %d running in %d slots, want at most %d slots kept", queued, inFlight, slots, kept)
	}
}

func (m *model) step(t *rapid.T) {
	m.now += time.Duration(rapid.IntRange(0, 500).Draw(t, "elapsed-ms")) * time.Millisecond
	switch action := rapid.IntRange(0, 5).Draw(t, "action"); {
	case action <= 2:
		m.offer(t)
	case len(m.order) == 0:
	case action == 3:
		id := rapid.SampledFrom(m.order).Draw(t, "progressed")
		m.scheduler.Progressed(at(m.now), id, 10, 300*time.Millisecond)
	default:
		m.end(rapid.SampledFrom(m.order).Draw(t, "ended"))
	}
	m.decide(t)
}

func TestProperties(t *testing.T) {
	t.Run("slots, bytes and preemptions are bounded and slots are used", func(t *testing.T) {
		rapid.Check(t, func(t *rapid.T) {
			m := newModel(Without(AdaptiveConcurrency, StragglerAvoidance))
			for range 150 {
				m.step(t)
				// One slot of nine is kept for urgent work, and a quarter of them at
				// most for small customers.
				m.assertConserved(t, 1+2)
			}
		})
	})
	t.Run("without headroom no slot is free while work waits", func(t *testing.T) {
		rapid.Check(t, func(t *rapid.T) {
			m := newModel(Without(AdaptiveConcurrency, StragglerAvoidance, Headroom, ShareHeadroom))
			for range 150 {
				m.step(t)
				m.assertConserved(t, 0)
			}
		})
	})
	t.Run("every accepted request runs once the load ends", func(t *testing.T) {
		rapid.Check(t, func(t *rapid.T) {
			m := newModel()
			for range 60 {
				m.step(t)
			}
			for range 2000 {
				if len(m.requests) == 0 {
					return
				}
				m.now += 100 * time.Millisecond
				if len(m.order) > 0 {
					m.end(m.order[0])
				}
				m.decide(t)
			}
			t.Fatalf("got %d accepted requests that never ran", len(m.requests))
		})
	})
	t.Run("equal events give equal plans", func(t *testing.T) {
		rapid.Check(t, func(t *rapid.T) {
			first, second := newModel(), newModel()
			for n := range 100 {
				customer := rapid.SampledFrom([]fuchsiapitch.CustomerName{"a", "b", "c"}).Draw(t, "customer")
				rank := rapid.SampledFrom([]fuchsiapitch.RankName{"chat", "draft", "kiln"}).Draw(t, "rank")
				r := newStream(n, customer, rank, 20)
				var plans []string
				for _, m := range []*model{first, second} {
					m.scheduler.Offer(at(time.Duration(n)*time.Second), r)
					plans = append(plans, fmt.Sprint(m.scheduler.Decide(at(time.Duration(n)*time.Second))))
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
			s := newScheduler(newReplicas(service, 15, 16), Without(EarlyRefusal))
			ranks := []fuchsiapitch.RankName{"kiln", "draft", "chat"}
			running := []fuchsiapitch.RequestID{}
			now, count := time.Duration(0), 0
			offer := func() {
				customer := fuchsiapitch.CustomerName(fmt.Sprintf("customer-%d", count%20))
				s.Offer(at(now), newStream(count, customer, ranks[count%3], 100, fuchsiapitch.WithPrefixHash(uint64(count%50))))
				count++
			}
			decide := func() {
				p := s.Decide(at(now))
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
			// One round is four events: an offer, a first token, progress and an end.
			for range b.N {
				now += time.Millisecond
				id := running[0]
				running = running[1:]
				offer()
				decide()
				s.Answered(at(now), id, 100*time.Millisecond)
				decide()
				s.Progressed(at(now), id, 50, time.Second)
				decide()
				s.Ended(at(now), id)
				decide()
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/4, "ns/event")
		})
	}
}
