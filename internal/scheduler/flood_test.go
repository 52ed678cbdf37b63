package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// assertShare asserts that a part of the tokens of the loop reaches a limit.
func assertShare(t *testing.T, l *loop, label string, atLeast float64) {
	t.Helper()
	if got := float64(l.tokens[label]) / float64(l.total()); got < atLeast {
		t.Errorf("got a share of %.4f for %s, want at least %.4f", got, label, atLeast)
	}
}

// jain returns Jain's index of the tokens per weight.
func jain(shares []float64) float64 {
	var sum, squares float64
	for _, x := range shares {
		sum += x
		squares += x * x
	}
	return sum * sum / (float64(len(shares)) * squares)
}

func TestFlood(t *testing.T) {
	t.Run("urgent work starts at once in a flood of the least urgent", func(t *testing.T) {
		l := newLoop(newScheduler(newReplicas(service, 4, 16)))
		l.every(0, 40*time.Millisecond, "kilns", "kiln", 200)
		l.every(30*time.Second, 250*time.Millisecond, "buyers", "chat", 100)
		l.run(90 * time.Second)
		// A stream that is preempted ends in the same step, so that the urgent
		// request starts one step later.
		if got := l.percentile("buyers/chat"); got > step {
			t.Errorf("got p95 wait %v of urgent requests, want at most %v", got, step)
		}
		if got := l.refused["buyers/chat"]; got != 0 {
			t.Errorf("got %d refused urgent requests, want 0", got)
		}
	})
	t.Run("accepted least urgent work is finished", func(t *testing.T) {
		l := newLoop(newScheduler(newReplicas(service, 2, 8)))
		l.every(0, 30*time.Millisecond, "kilns", "kiln", 100)
		l.every(10*time.Second, 50*time.Millisecond, "buyers", "chat", 100)
		l.run(60 * time.Second)
		l.sources = nil
		l.run(30 * time.Minute)
		if len(l.requests) != 0 {
			t.Errorf("got %d accepted requests left, want 0", len(l.requests))
		}
		if l.refused["kilns/kiln"] == 0 || l.finished["kilns/kiln"] == 0 {
			t.Errorf("got %d refused and %d finished, want both", l.refused["kilns/kiln"], l.finished["kilns/kiln"])
		}
	})
	t.Run("every lower rank keeps its floor in a flood of urgent work", func(t *testing.T) {
		l := newLoop(newScheduler(newReplicas(service, 4, 16)))
		l.keep("kilns", "kiln", 100, 150)
		l.keep("drafts", "draft", 100, 80)
		l.every(0, 10*time.Millisecond, "buyers", "chat", 100)
		l.run(20 * time.Second)
		l.reset()
		l.run(100 * time.Second)
		assertShare(t, l, "kilns/kiln", 0.05*0.95)
		assertShare(t, l, "drafts/draft", 0.10*0.95)
		assertShare(t, l, "buyers/chat", 0.80)
	})
	t.Run("a rank that has used spare capacity gets its floor soon after", func(t *testing.T) {
		l := newLoop(newScheduler(newReplicas(service, 1, 8)))
		l.keep("kilns", "kiln", 200, 60)
		l.run(30 * time.Second)
		l.every(30*time.Second, 40*time.Millisecond, "buyers", "chat", 50)
		l.run(36 * time.Second)
		l.reset()
		l.run(56 * time.Second)
		assertShare(t, l, "kilns/kiln", 0.05*0.95)
		assertShare(t, l, "buyers/chat", 0.85)
	})
	t.Run("refusal keeps the wait of the accepted urgent requests within target", func(t *testing.T) {
		l := newLoop(newScheduler(newReplicas(service, 4, 16)))
		l.every(0, 5*time.Millisecond, "buyers", "chat", 50)
		l.run(30 * time.Second)
		l.reset()
		l.run(60 * time.Second)
		if got, want := l.percentile("buyers/chat"), 480*time.Millisecond; got > want {
			t.Errorf("got p95 wait %v, want at most %v", got, want)
		}
	})
}

func TestFairness(t *testing.T) {
	t.Run("customers with twenty times the work do not slow the small ones", func(t *testing.T) {
		measure := func(large bool) *loop {
			l := newLoop(newScheduler(newReplicas(service, 2, 16)))
			for n := range 4 {
				name := fuchsiapitch.CustomerName(fmt.Sprintf("small%d", n))
				l.every(time.Duration(n)*130*time.Millisecond, time.Second, name, "draft", 100)
			}
			for n := range 2 {
				if large {
					name := fuchsiapitch.CustomerName(fmt.Sprintf("large%d", n))
					l.every(0, 50*time.Millisecond, name, "draft", 100)
				}
			}
			l.run(120 * time.Second)
			return l
		}
		alone, crowded := measure(false), measure(true)
		for n := range 4 {
			label := fmt.Sprintf("small%d/draft", n)
			if got := crowded.refused[label]; got != 0 {
				t.Errorf("got %d refusals of %s, want 0", got, label)
			}
			// A stream is stopped for the request in one step.
			got, want := crowded.percentile(label), alone.percentile(label)+2*step
			if got > want {
				t.Errorf("got p95 wait %v of %s, want at most %v", got, label, want)
			}
		}
	})
	t.Run("a large customer of the most urgent rank leaves slots to the small ones", func(t *testing.T) {
		l := newLoop(newScheduler(newReplicas(service, 2, 16)))
		l.every(0, 50*time.Millisecond, "large", "chat", 100)
		l.every(0, 700*time.Millisecond, "small", "chat", 100)
		l.run(120 * time.Second)
		// A slot of 32 ends its stream every 94 ms.
		if got, want := l.percentile("small/chat"), 50*time.Millisecond; got > want || l.preempted > 0 {
			t.Errorf("got p95 wait %v and %d preemptions, want at most %v and none", got, l.preempted, want)
		}
	})
	t.Run("served tokens follow the weights, whatever the estimates", func(t *testing.T) {
		s := newScheduler(newReplicas(service, 2, 16))
		weights := map[fuchsiapitch.CustomerName]float64{"a": 1, "b": 1, "c": 2, "d": 4}
		var customers []fuchsiapitch.Customer
		for n, w := range weights {
			customers = append(customers, fuchsiapitch.NewCustomer(n, fuchsiapitch.WithWeight(w)))
		}
		s.Configure(newConfiguration(customers...))
		l := newLoop(s)
		l.sources = append(l.sources, func() {
			for range 4 {
				l.offer("a", "kiln", 30, 500)
				l.offer("b", "kiln", 200, 20)
				l.offer("c", "kiln", 100, 100)
				l.offer("d", "kiln", 60, 90)
			}
		})
		l.run(20 * time.Second)
		l.reset()
		l.run(100 * time.Second)
		var shares []float64
		for n, w := range weights {
			shares = append(shares, float64(l.tokens[string(n)+"/kiln"])/w)
		}
		if got := jain(shares); got < 0.97 {
			t.Errorf("got Jain index %.4f of %v, want at least 0.97", got, shares)
		}
	})
}

func TestConcurrency(t *testing.T) {
	l := newLoop(newScheduler(newReplicas(service, 2, 16)))
	l.gap = func(r fuchsiapitch.ReplicaID) time.Duration {
		return 20*time.Millisecond + time.Duration(l.running[r])*3*time.Millisecond
	}
	l.every(0, 20*time.Millisecond, "buyers", "chat", 100)
	l.run(60 * time.Second)
	for r, n := range l.running {
		if got := l.gap(r); got > 50*time.Millisecond {
			t.Errorf("got %v between tokens at %d streams of %s, want about 44ms", got, n, r)
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
