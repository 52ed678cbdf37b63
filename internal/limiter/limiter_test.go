package limiter

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/gossiper"
)

const customer = fuchsiapitch.CustomerName("taller-norte")

func instantAt(d time.Duration) fuchsiapitch.Instant {
	return fuchsiapitch.NewInstant(d, time.Unix(0, 0).Add(d))
}

func newRequest(id string, estimatedTokens float64, bodyBytes int64) fuchsiapitch.Request {
	return fuchsiapitch.NewRequest(fuchsiapitch.RequestID(id), "vidrio-llm", customer, "chat", fuchsiapitch.WithEstimatedCost(estimatedTokens, bodyBytes))
}

// testDataCentre is a set of limiters that report their demand to each other.
type testDataCentre struct {
	ids          []fuchsiapitch.HostID
	hosts        map[fuchsiapitch.HostID]*Limiter
	reports      map[fuchsiapitch.HostID]gossiper.CustomerDemand
	now          time.Duration
	requestCount int
}

func newTestDataCentre(hostCount, maxInFlight int, tokensPerSecond float64, queuedBytes int64) *testDataCentre {
	c := &testDataCentre{
		hosts:   make(map[fuchsiapitch.HostID]*Limiter),
		reports: make(map[fuchsiapitch.HostID]gossiper.CustomerDemand),
	}
	limited := fuchsiapitch.NewCustomer(customer, fuchsiapitch.WithLimits(maxInFlight, tokensPerSecond, queuedBytes))
	for n := range hostCount {
		id := fuchsiapitch.HostID(fmt.Sprintf("host-%d", n))
		c.ids = append(c.ids, id)
		c.hosts[id] = New(id)
		c.hosts[id].Configure(fuchsiapitch.NewConfiguration(1, 1, nil, []fuchsiapitch.Customer{limited}, nil))
	}
	return c
}

// exchangeReports makes every host report its demand and then receive the reports of
// the hosts in its own partition.
func (c *testDataCentre) exchangeReports(partitions ...[]fuchsiapitch.HostID) {
	c.now += time.Second
	for _, id := range c.ids {
		for _, d := range c.hosts[id].TakeDemandReports(instantAt(c.now), 8) {
			c.reports[id] = d
		}
	}
	for _, partition := range partitions {
		for _, id := range partition {
			c.hosts[id].SetView(View{
				LiveHosts: partition, KnownHosts: c.ids,
				Demand: func(h fuchsiapitch.HostID, _ fuchsiapitch.CustomerName) gossiper.CustomerDemand { return c.reports[h] },
			})
		}
	}
}

// admit sends count requests to a host and returns the number admitted.
func (c *testDataCentre) admit(id fuchsiapitch.HostID, count int, cost float64) int {
	admitted := 0
	for range count {
		c.requestCount++
		if ok, _ := c.hosts[id].Admit(instantAt(c.now), newRequest(fmt.Sprint(c.requestCount), cost, 100)); ok {
			admitted++
		}
	}
	return admitted
}

// finish ends up to count requests at a host.
func (c *testDataCentre) finish(id fuchsiapitch.HostID, count int) {
	for _, r := range slices.Sorted(maps.Keys(c.hosts[id].admissions)) {
		if count--; count < 0 {
			return
		}
		c.hosts[id].Finish(r, 0)
	}
}

func (c *testDataCentre) inFlight() int {
	sum := 0
	for _, l := range c.hosts {
		sum += l.customers[customer].inFlight
	}
	return sum
}

func assertAtMost(t interface{ Fatalf(string, ...any) }, what string, got, want int) {
	if got > want {
		t.Fatalf("got %d %s, want at most %d", got, what, want)
	}
}

func TestLimits(t *testing.T) {
	t.Run("the limit of requests in flight holds across hosts for every demand", func(t *testing.T) {
		rapid.Check(t, func(t *rapid.T) {
			limit := rapid.IntRange(1, 60).Draw(t, "limit")
			c := newTestDataCentre(rapid.IntRange(1, 7).Draw(t, "hosts"), limit, 0, 0)
			for range 5 {
				c.exchangeReports(c.ids)
				for _, id := range c.ids {
					c.finish(id, rapid.IntRange(0, 20).Draw(t, "ended"))
					c.admit(id, rapid.IntRange(0, 40).Draw(t, "asked"), 1)
				}
				parts := 0
				for _, id := range c.ids {
					c.hosts[id].updateLocalLimits(c.hosts[id].customers[customer])
					parts += c.hosts[id].customers[customer].localLimits.inFlight
				}
				assertAtMost(t, "requests allowed on all hosts", parts, limit)
				assertAtMost(t, "requests in flight", c.inFlight(), limit)
			}
		})
	})
	t.Run("a host with all the demand gets nearly the whole limit", func(t *testing.T) {
		c := newTestDataCentre(6, 100, 0, 0)
		for range 8 {
			c.exchangeReports(c.ids)
			c.admit("host-2", 200, 1)
		}
		if got := c.inFlight(); got < 90 || got > 100 {
			t.Errorf("got %d in flight, want 90 to 100", got)
		}
	})
	t.Run("partitioned hosts take an equal share each", func(t *testing.T) {
		c := newTestDataCentre(6, 60, 0, 0)
		c.exchangeReports(c.ids[:1], c.ids[1:2], c.ids[2:4], c.ids[4:])
		for _, id := range c.ids {
			if got := c.admit(id, 50, 1); got != 10 {
				t.Errorf("got %d admitted at %s, want 10", got, id)
			}
		}
	})
	t.Run("a partitioned minority adds less than half of the limit", func(t *testing.T) {
		c := newTestDataCentre(7, 70, 0, 0)
		c.exchangeReports(c.ids[:3], c.ids[3:])
		for _, id := range c.ids {
			c.admit(id, 100, 1)
		}
		assertAtMost(t, "requests in flight", c.inFlight(), 100)
	})
	t.Run("the token rate holds over time and estimates are corrected", func(t *testing.T) {
		c := newTestDataCentre(3, 0, 900, 0)
		served := 0
		for range 30 {
			c.exchangeReports(c.ids)
			for _, id := range c.ids {
				first := c.requestCount
				c.admit(id, 50, 10)
				for n := first; n < c.requestCount; n++ {
					if _, ok := c.hosts[id].admissions[fuchsiapitch.RequestID(fmt.Sprint(n+1))]; ok {
						served += 50
						c.hosts[id].Finish(fuchsiapitch.RequestID(fmt.Sprint(n+1)), 50)
					}
				}
			}
		}
		// Each host may exceed its rate by its burst and by the requests that it admits
		// before their real cost is known.
		assertAtMost(t, "tokens in 30 s", served, 30*900+2*900+3*50*50)
		if served < 25*900 {
			t.Errorf("got %d tokens in 30 s, want at least %d", served, 25*900)
		}
	})
	t.Run("the queued bytes are bounded", func(t *testing.T) {
		c := newTestDataCentre(2, 0, 0, 1000)
		c.exchangeReports(c.ids)
		for _, id := range c.ids {
			if got := c.admit(id, 20, 1); got != 5 {
				t.Errorf("got %d bodies of 100 bytes at %s, want 5", got, id)
			}
		}
	})
	t.Run("customers without limits are not throttled", func(t *testing.T) {
		l := New("host-0")
		if ok, _ := l.Admit(instantAt(0), newRequest("r", 1e9, 1e9)); !ok || len(l.admissions) != 0 {
			t.Errorf("got admitted %t and %d admissions tracked, want true and none", ok, len(l.admissions))
		}
	})
}

func TestRetryBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewRetryBudget()
		first, retries := 0, 0
		for range 500 {
			if rapid.Bool().Draw(t, "first") {
				first++
				b.RecordFirstAttempt("vidrio-llm")
				continue
			}
			if b.TakeRetry(instantAt(0), "vidrio-llm") {
				retries++
			}
		}
		assertAtMost(t, "retries", retries, minRetryBurst+int(retryRatio*float64(first))+1)
	})
}
