// Package limiter enforces customer limits and retry budgets. It is pure: it starts no
// goroutine and reads no clock.
//
// A customer's limits apply to a whole data centre. Each entry host enforces a share of
// them in proportion to the demand that it receives, and reports its demand to the other
// hosts in heartbeats. All hosts compute the shares from the same reported values, so
// that the shares add up to the limit once the reports have propagated.
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
	// tokenBurstDuration is the time for which unused tokens accumulate; a customer may
	// use them in one burst.
	tokenBurstDuration = 2 * time.Second
	// minRetryAfter is the shortest suggested delay before a retry. It applies when a
	// limit on requests or bytes is exceeded.
	minRetryAfter = time.Second
	// maxRetryAfter is the longest suggested delay before a retry.
	maxRetryAfter = time.Minute
)

// Limiter tracks the usage of all customers with limits at one entry host.
type Limiter struct {
	localHost  fuchsiapitch.HostID
	customers  map[fuchsiapitch.CustomerName]*customerUsage
	admissions map[fuchsiapitch.RequestID]*admission
	view       View
}

// customerUsage is the usage of one customer at this host.
type customerUsage struct {
	customer fuchsiapitch.Customer
	demand   demandMeter
	// inFlight and bodyBytes are the number and the body size of the admitted requests.
	inFlight  int
	bodyBytes int64
	// tokenBalance is the level of the token bucket, negative if overdrawn. It was last
	// refilled at refilledAt.
	tokenBalance float64
	refilledAt   time.Duration
	// localLimits are recomputed before their next use if localLimitsValid is false.
	localLimits      localLimits
	localLimitsValid bool
}

// admission is an admitted request that has not finished.
type admission struct {
	usage         *customerUsage
	bodyBytes     int64
	chargedTokens float64
}

// New returns the limiter of an entry host that knows no other hosts.
func New(localHost fuchsiapitch.HostID) *Limiter {
	return &Limiter{
		localHost:  localHost,
		customers:  make(map[fuchsiapitch.CustomerName]*customerUsage),
		admissions: make(map[fuchsiapitch.RequestID]*admission),
		view:       View{LiveHosts: []fuchsiapitch.HostID{localHost}, KnownHosts: []fuchsiapitch.HostID{localHost}},
	}
}

// Configure replaces the limits. Requests in flight count against the new limits.
func (l *Limiter) Configure(configuration fuchsiapitch.Configuration) {
	limited := make(map[fuchsiapitch.CustomerName]bool)
	for _, c := range configuration.Customers() {
		if c.MaxInFlight() == 0 && c.MaxTokensPerSecond() == 0 && c.MaxQueuedBytes() == 0 {
			continue
		}
		limited[c.Name()] = true
		u, ok := l.customers[c.Name()]
		if !ok {
			u = &customerUsage{tokenBalance: c.MaxTokensPerSecond() * tokenBurstDuration.Seconds()}
			l.customers[c.Name()] = u
		}
		u.customer, u.localLimitsValid = c, false
	}
	maps.DeleteFunc(l.customers, func(n fuchsiapitch.CustomerName, _ *customerUsage) bool { return !limited[n] })
}

// SetView sets the hosts that share the limits and the demand that they report.
func (l *Limiter) SetView(view View) {
	l.view = view
	for _, u := range l.customers {
		u.localLimitsValid = false
	}
}

// Admit decides on a request that a client sent to this host. If a limit is exceeded, it
// returns false and the delay after which a retry may succeed.
func (l *Limiter) Admit(now fuchsiapitch.Instant, request fuchsiapitch.Request) (admitted bool, retryAfter time.Duration) {
	u, ok := l.customers[request.Customer()]
	if !ok {
		return true, 0
	}
	l.updateLocalLimits(u)
	u.refill(now.Monotonic())
	u.demand.recordTokens(now.Monotonic(), request.EstimatedTokens())
	if retryAfter = u.retryDelay(request); retryAfter > 0 {
		return false, retryAfter
	}
	u.inFlight++
	u.bodyBytes += request.BodyBytes()
	u.tokenBalance -= request.EstimatedTokens()
	l.admissions[request.ID()] = &admission{usage: u, bodyBytes: request.BodyBytes(), chargedTokens: request.EstimatedTokens()}
	return true, 0
}

// retryDelay returns 0 if the request is within the limits, otherwise the delay after
// which a retry may succeed. A request is admitted with any positive token balance and
// may overdraw it, because a request larger than the burst would never be admitted
// otherwise.
func (u *customerUsage) retryDelay(request fuchsiapitch.Request) time.Duration {
	c := u.customer
	if c.MaxInFlight() > 0 && u.inFlight >= u.localLimits.inFlight {
		return minRetryAfter
	}
	if c.MaxQueuedBytes() > 0 && u.bodyBytes+request.BodyBytes() > u.localLimits.bodyBytes {
		return minRetryAfter
	}
	if c.MaxTokensPerSecond() == 0 || u.tokenBalance > 0 {
		return 0
	}
	refillTime := time.Duration((1 - u.tokenBalance) / max(u.localLimits.tokensPerSecond, 1) * float64(time.Second))
	return min(max(refillTime, minRetryAfter), maxRetryAfter)
}

func (u *customerUsage) refill(now time.Duration) {
	if now > u.refilledAt {
		u.tokenBalance += u.localLimits.tokensPerSecond * (now - u.refilledAt).Seconds()
		u.refilledAt = now
	}
	u.tokenBalance = min(u.tokenBalance, u.localLimits.tokensPerSecond*tokenBurstDuration.Seconds())
}

// Finish releases the usage of an admitted request. The number of tokens served
// replaces the estimated cost, unless it is 0.
func (l *Limiter) Finish(id fuchsiapitch.RequestID, tokens int) {
	r, ok := l.admissions[id]
	if !ok {
		return
	}
	delete(l.admissions, id)
	r.usage.inFlight--
	r.usage.bodyBytes -= r.bodyBytes
	if tokens > 0 {
		r.usage.tokenBalance += r.chargedTokens - float64(tokens)
	}
}

// TakeDemandReports returns the customer demands to report, at most limit of them. Those
// that have changed most or have gone unreported longest come first. The returned
// demands count as reported.
func (l *Limiter) TakeDemandReports(now fuchsiapitch.Instant, limit int) []gossiper.CustomerDemand {
	type candidate struct {
		name     fuchsiapitch.CustomerName
		usage    *customerUsage
		priority float64
	}
	candidates := make([]candidate, 0, len(l.customers))
	for n, u := range l.customers {
		candidates = append(candidates, candidate{n, u, u.demand.reportPriority(now.Monotonic(), u.inFlight)})
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.priority, a.priority), cmp.Compare(a.name, b.name))
	})
	demands := make([]gossiper.CustomerDemand, 0, min(limit, len(candidates)))
	for _, c := range candidates[:min(limit, len(candidates))] {
		c.usage.demand.markReported(now.Monotonic(), c.usage.inFlight)
		c.usage.localLimitsValid = false
		demands = append(demands, gossiper.CustomerDemand{
			Customer: c.name, InFlight: c.usage.demand.lastReport.inFlight, TokensPerSecond: c.usage.demand.lastReport.tokensPerSecond,
		})
	}
	return demands
}
