package conductor

import (
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

const (
	// budgetMargin is the part of the allowed repeats that is used, since hosts
	// do not know of each other's repeats.
	budgetMargin = 0.7
	// budgetBuckets is the number of parts that the window is counted in.
	budgetBuckets = 10
)

// budget bounds the repeats of requests. Each host keeps to its share of the
// allowance of all hosts.
type budget struct {
	ratio, slack float64
	window       time.Duration
	spent        map[fuchsiapitch.ServiceName]*spending
}

// spending counts requests and repeats in a sliding window.
type spending struct {
	window   time.Duration
	first    int64
	requests [budgetBuckets]float64
	repeats  [budgetBuckets]float64
}

// WithRetryBudget bounds the repeats of all hosts within any window to a ratio
// of the requests and a constant number.
func WithRetryBudget(ratio, slack float64, window time.Duration) Option {
	return func(c *Conductor) { c.ratio, c.slack, c.window = ratio, slack, window }
}

func newBudget() budget {
	return budget{spent: make(map[fuchsiapitch.ServiceName]*spending)}
}

// spend counts a request and reports whether it may be sent.
func (c *Conductor) spend(now time.Duration, e Arrived) bool {
	if c.window <= 0 {
		return true
	}
	s, i := c.spending(now, e.Service)
	switch {
	case !e.Repeat:
		s.requests[i]++
		return true
	case !c.mayRepeat(now, e.Service):
		return false
	}
	s.repeats[i]++
	return true
}

// spending returns the count of a service and the part of the window that now is
// in.
func (c *Conductor) spending(now time.Duration, service fuchsiapitch.ServiceName) (*spending, int64) {
	s, ok := c.spent[service]
	if !ok || s.window != c.window {
		s = &spending{window: c.window}
		c.spent[service] = s
	}
	n := int64(now / (c.window / budgetBuckets))
	s.advance(n)
	return s, n % budgetBuckets
}

// mayRepeat reports whether the share of this host allows one more repeat.
func (c *Conductor) mayRepeat(now time.Duration, service fuchsiapitch.ServiceName) bool {
	if c.window <= 0 {
		return true
	}
	requests, repeats := c.spentIn(now, service)
	return repeats+1 <= c.allowed(requests)
}

// spentIn returns the requests and the repeats for a service in the window.
func (c *Conductor) spentIn(now time.Duration, service fuchsiapitch.ServiceName) (requests, repeats float64) {
	s, _ := c.spending(now, service)
	for k := range s.requests {
		requests += s.requests[k]
		repeats += s.repeats[k]
	}
	return requests, repeats
}

// allowed returns the repeats that this host may make in a window with a number of
// requests.
func (c *Conductor) allowed(requests float64) float64 {
	hosts := float64(len(c.peers) + 1)
	return budgetMargin * (c.ratio*requests + c.slack/hosts)
}

// advance clears the parts that have left the window.
func (s *spending) advance(n int64) {
	for ; s.first+budgetBuckets <= n; s.first++ {
		if s.first+2*budgetBuckets < n {
			s.first = n - 2*budgetBuckets
		}
		s.requests[s.first%budgetBuckets], s.repeats[s.first%budgetBuckets] = 0, 0
	}
}
