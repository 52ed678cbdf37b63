// Package limiter decides whether a customer is within its limits and whether a
// request may be retried. It is pure: it holds no goroutine and reads no clock.
//
// A customer's limits hold for a whole data centre. Each entry host allows a
// part of them in proportion to the demand that it sees, and tells the others
// its demand in heartbeats. All hosts work out the parts from the same reported
// numbers, so the parts add up to the limit once the reports have spread.
package limiter

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/gossiper"
)

const (
	// burstTime is the time for which a customer may use its token rate at once.
	burstTime = 2 * time.Second
	// refusalHint is the hint for a retry when a count is exceeded.
	refusalHint = time.Second
	// hintLimit is the greatest hint for a retry.
	hintLimit = time.Minute
)

// Limiter holds the use of the limited customers at one entry host.
type Limiter struct {
	self      fuchsiapitch.HostID
	customers map[fuchsiapitch.CustomerName]*usage
	held      map[fuchsiapitch.RequestID]*holding
	view      View
}

// usage is the use of one customer at this host.
type usage struct {
	customer fuchsiapitch.Customer
	demand   demand
	inFlight int
	bytes    int64
	level    float64
	filled   time.Duration
	part     part
	divided  bool
}

// holding is one admitted request.
type holding struct {
	usage   *usage
	bytes   int64
	charged float64
}

// New returns the limiter of an entry host that knows no other.
func New(self fuchsiapitch.HostID) *Limiter {
	return &Limiter{
		self:      self,
		customers: make(map[fuchsiapitch.CustomerName]*usage),
		held:      make(map[fuchsiapitch.RequestID]*holding),
		view:      View{Live: []fuchsiapitch.HostID{self}, Known: []fuchsiapitch.HostID{self}},
	}
}

// Configure sets the limits in force. What runs is counted against them.
func (l *Limiter) Configure(configuration fuchsiapitch.Configuration) {
	limited := make(map[fuchsiapitch.CustomerName]bool)
	for _, c := range configuration.Customers() {
		if c.InFlight() == 0 && c.TokensPerSecond() == 0 && c.QueueBytes() == 0 {
			continue
		}
		limited[c.Name()] = true
		u, ok := l.customers[c.Name()]
		if !ok {
			u = &usage{level: c.TokensPerSecond() * burstTime.Seconds()}
			l.customers[c.Name()] = u
		}
		u.customer, u.divided = c, false
	}
	maps.DeleteFunc(l.customers, func(n fuchsiapitch.CustomerName, _ *usage) bool { return !limited[n] })
}

// SetView sets which hosts share the limits and what demand they report.
func (l *Limiter) SetView(view View) {
	l.view = view
	for _, u := range l.customers {
		u.divided = false
	}
}

// Admit counts a request that a caller sent to this host. It returns false, and
// the time after which a retry may succeed, when a limit is exceeded.
func (l *Limiter) Admit(now fuchsiapitch.Instant, request fuchsiapitch.Request) (admitted bool, retryAfter time.Duration) {
	u, ok := l.customers[request.Customer()]
	if !ok {
		return true, 0
	}
	l.divide(u)
	u.fill(now.Monotonic())
	u.demand.ask(now.Monotonic(), request.Cost())
	if retryAfter = u.exceeded(request); retryAfter > 0 {
		return false, retryAfter
	}
	u.inFlight++
	u.bytes += request.Bytes()
	u.level -= request.Cost()
	l.held[request.ID()] = &holding{usage: u, bytes: request.Bytes(), charged: request.Cost()}
	return true, 0
}

// exceeded returns 0 or the time after which a retry may succeed. The token
// rate may be overdrawn by one request, so that a large one can pass at all.
func (u *usage) exceeded(request fuchsiapitch.Request) time.Duration {
	c := u.customer
	if c.InFlight() > 0 && u.inFlight >= u.part.inFlight {
		return refusalHint
	}
	if c.QueueBytes() > 0 && u.bytes+request.Bytes() > u.part.bytes {
		return refusalHint
	}
	if c.TokensPerSecond() == 0 || u.level > 0 {
		return 0
	}
	wait := time.Duration((1 - u.level) / max(u.part.rate, 1) * float64(time.Second))
	return min(max(wait, refusalHint), hintLimit)
}

func (u *usage) fill(now time.Duration) {
	if now > u.filled {
		u.level += u.part.rate * (now - u.filled).Seconds()
		u.filled = now
	}
	u.level = min(u.level, u.part.rate*burstTime.Seconds())
}

// Finish ends a request. The tokens really served replace the estimate, unless
// none were counted.
func (l *Limiter) Finish(id fuchsiapitch.RequestID, tokens int) {
	h, ok := l.held[id]
	if !ok {
		return
	}
	delete(l.held, id)
	h.usage.inFlight--
	h.usage.bytes -= h.bytes
	if tokens > 0 {
		h.usage.level += h.charged - float64(tokens)
	}
}

// Demands returns the demands to report, at most limit of them, those first
// that have changed most or were not reported for long. What is returned counts
// as reported.
func (l *Limiter) Demands(now fuchsiapitch.Instant, limit int) []gossiper.CustomerDemand {
	type candidate struct {
		name  fuchsiapitch.CustomerName
		usage *usage
		score float64
	}
	candidates := make([]candidate, 0, len(l.customers))
	for n, u := range l.customers {
		candidates = append(candidates, candidate{n, u, u.demand.score(now.Monotonic(), u.inFlight)})
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.name, b.name))
	})
	demands := make([]gossiper.CustomerDemand, 0, min(limit, len(candidates)))
	for _, c := range candidates[:min(limit, len(candidates))] {
		c.usage.demand.report(now.Monotonic(), c.usage.inFlight)
		c.usage.divided = false
		demands = append(demands, gossiper.CustomerDemand{
			Customer: c.name, InFlight: c.usage.demand.reported.inFlight, TokensPerSecond: c.usage.demand.reported.rate,
		})
	}
	return demands
}
