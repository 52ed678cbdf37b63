package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// assertTokenShare asserts a lower bound on the fraction of all served tokens that
// a source received.
func assertTokenShare(t *testing.T, sm *simulation, label string, atLeast float64) {
	t.Helper()
	if got := float64(sm.tokens[label]) / float64(sm.totalTokens()); got < atLeast {
		t.Errorf("got a token share of %.4f for %s, want at least %.4f", got, label, atLeast)
	}
}

// jainIndex returns Jain's fairness index of shares divided by weight.
func jainIndex(shares []float64) float64 {
	var sum, squares float64
	for _, x := range shares {
		sum += x
		squares += x * x
	}
	return sum * sum / (float64(len(shares)) * squares)
}

func TestFlood(t *testing.T) {
	t.Run("urgent work starts at once in a flood of the least urgent", func(t *testing.T) {
		sm := newSimulation(newScheduler(newReplicas(modelService, 4, 16)))
		sm.offerEvery(0, 40*time.Millisecond, "kilns", "kiln", 200)
		sm.offerEvery(30*time.Second, 250*time.Millisecond, "buyers", "chat", 100)
		sm.run(90 * time.Second)
		// A preempted stream ends in the same step, and the urgent request starts in
		// the next one.
		if got := sm.waitP95("buyers/chat"); got > simulationStep {
			t.Errorf("got p95 wait %v of urgent requests, want at most %v", got, simulationStep)
		}
		if got := sm.refused["buyers/chat"]; got != 0 {
			t.Errorf("got %d refused urgent requests, want 0", got)
		}
	})
	t.Run("accepted least urgent work is finished", func(t *testing.T) {
		sm := newSimulation(newScheduler(newReplicas(modelService, 2, 8)))
		sm.offerEvery(0, 30*time.Millisecond, "kilns", "kiln", 100)
		sm.offerEvery(10*time.Second, 50*time.Millisecond, "buyers", "chat", 100)
		sm.run(60 * time.Second)
		sm.loadSources = nil
		sm.run(30 * time.Minute)
		if len(sm.requests) != 0 {
			t.Errorf("got %d accepted requests that have not ended, want 0", len(sm.requests))
		}
		if sm.refused["kilns/kiln"] == 0 || sm.finished["kilns/kiln"] == 0 {
			t.Errorf("got %d refused and %d finished requests, want both above 0", sm.refused["kilns/kiln"], sm.finished["kilns/kiln"])
		}
	})
	t.Run("every lower rank keeps its floor in a flood of urgent work", func(t *testing.T) {
		sm := newSimulation(newScheduler(newReplicas(modelService, 4, 16)))
		sm.keepUnfinished("kilns", "kiln", 100, 150)
		sm.keepUnfinished("drafts", "draft", 100, 80)
		sm.offerEvery(0, 10*time.Millisecond, "buyers", "chat", 100)
		sm.run(20 * time.Second)
		sm.resetCounts()
		sm.run(100 * time.Second)
		assertTokenShare(t, sm, "kilns/kiln", 0.05*0.95)
		assertTokenShare(t, sm, "drafts/draft", 0.10*0.95)
		assertTokenShare(t, sm, "buyers/chat", 0.80)
	})
	t.Run("a rank that has used spare capacity gets its floor soon after", func(t *testing.T) {
		sm := newSimulation(newScheduler(newReplicas(modelService, 1, 8)))
		sm.keepUnfinished("kilns", "kiln", 200, 60)
		sm.run(30 * time.Second)
		sm.offerEvery(30*time.Second, 40*time.Millisecond, "buyers", "chat", 50)
		sm.run(36 * time.Second)
		sm.resetCounts()
		sm.run(56 * time.Second)
		assertTokenShare(t, sm, "kilns/kiln", 0.05*0.95)
		assertTokenShare(t, sm, "buyers/chat", 0.85)
	})
	t.Run("refusal keeps the wait of the accepted urgent requests within target", func(t *testing.T) {
		sm := newSimulation(newScheduler(newReplicas(modelService, 4, 16)))
		sm.offerEvery(0, 5*time.Millisecond, "buyers", "chat", 50)
		sm.run(30 * time.Second)
		sm.resetCounts()
		sm.run(60 * time.Second)
		if got, want := sm.waitP95("buyers/chat"), 480*time.Millisecond; got > want {
			t.Errorf("got p95 wait %v, want at most %v", got, want)
		}
	})
}

func TestFairness(t *testing.T) {
	t.Run("customers with twenty times the work do not slow the small ones", func(t *testing.T) {
		measure := func(large bool) *simulation {
			sm := newSimulation(newScheduler(newReplicas(modelService, 2, 16)))
			for n := range 4 {
				name := fuchsiapitch.CustomerName(fmt.Sprintf("small%d", n))
				sm.offerEvery(time.Duration(n)*130*time.Millisecond, time.Second, name, "draft", 100)
			}
			for n := range 2 {
				if large {
					name := fuchsiapitch.CustomerName(fmt.Sprintf("large%d", n))
					sm.offerEvery(0, 50*time.Millisecond, name, "draft", 100)
				}
			}
			sm.run(120 * time.Second)
			return sm
		}
		alone, crowded := measure(false), measure(true)
		for n := range 4 {
			label := fmt.Sprintf("small%d/draft", n)
			if got := crowded.refused[label]; got != 0 {
				t.Errorf("got %d refusals of %s, want 0", got, label)
			}
			// The preemption of a stream for the request takes one step.
			got, want := crowded.waitP95(label), alone.waitP95(label)+2*simulationStep
			if got > want {
				t.Errorf("got p95 wait %v of %s, want at most %v", got, label, want)
			}
		}
	})
	t.Run("a large customer of the most urgent rank leaves slots to the small ones", func(t *testing.T) {
		sm := newSimulation(newScheduler(newReplicas(modelService, 2, 16)))
		sm.offerEvery(0, 50*time.Millisecond, "large", "chat", 100)
		sm.offerEvery(0, 700*time.Millisecond, "small", "chat", 100)
		sm.run(120 * time.Second)
		// With 32 slots a stream ends every 94 ms on average.
		if got, want := sm.waitP95("small/chat"), 50*time.Millisecond; got > want || sm.totalPreemptions > 0 {
			t.Errorf("got p95 wait %v and %d preemptions, want at most %v and none", got, sm.totalPreemptions, want)
		}
	})
	t.Run("served tokens follow the weights, whatever the estimates", func(t *testing.T) {
		s := newScheduler(newReplicas(modelService, 2, 16))
		weights := map[fuchsiapitch.CustomerName]float64{"a": 1, "b": 1, "c": 2, "d": 4}
		var customers []fuchsiapitch.Customer
		for n, w := range weights {
			customers = append(customers, fuchsiapitch.NewCustomer(n, fuchsiapitch.WithWeight(w)))
		}
		s.Configure(newConfiguration(customers...))
		sm := newSimulation(s)
		sm.loadSources = append(sm.loadSources, func() {
			for range 4 {
				sm.offer("a", "kiln", 30, 500)
				sm.offer("b", "kiln", 200, 20)
				sm.offer("c", "kiln", 100, 100)
				sm.offer("d", "kiln", 60, 90)
			}
		})
		sm.run(20 * time.Second)
		sm.resetCounts()
		sm.run(100 * time.Second)
		var shares []float64
		for n, w := range weights {
			shares = append(shares, float64(sm.tokens[string(n)+"/kiln"])/w)
		}
		if got := jainIndex(shares); got < 0.97 {
			t.Errorf("got Jain index %.4f of %v, want at least 0.97", got, shares)
		}
	})
}

func TestConcurrency(t *testing.T) {
	sm := newSimulation(newScheduler(newReplicas(modelService, 2, 16)))
	sm.interTokenTime = func(r fuchsiapitch.ReplicaID) time.Duration {
		return 20*time.Millisecond + time.Duration(sm.running[r])*3*time.Millisecond
	}
	sm.offerEvery(0, 20*time.Millisecond, "buyers", "chat", 100)
	sm.run(60 * time.Second)
	for r, n := range sm.running {
		if got := sm.interTokenTime(r); got > 50*time.Millisecond {
			t.Errorf("got %v between tokens with %d streams on %s, want about 44ms", got, n, r)
		}
		if n < 4 {
			t.Errorf("got %d streams on %s, want at least a quarter of the slots", n, r)
		}
	}
}

func TestPoissonBound(t *testing.T) {
	for _, c := range []struct {
		mean float64
		want int
	}{{0, 1}, {0.01, 1}, {0.18, 2}, {1, 4}, {100, 8}} {
		if got := poissonBound(c.mean, 0.02, 8); got != c.want {
			t.Errorf("got %d for a mean of %.2f, want %d", got, c.mean, c.want)
		}
	}
}
