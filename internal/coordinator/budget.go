package coordinator

import (
	"slices"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

const (
	// budgetFraction is the fraction of the retry budget that hosts use. The margin is
	// needed because hosts do not know each other's retries.
	budgetFraction = 0.7
	// windowBuckets is the number of buckets in the sliding window.
	windowBuckets = 10
)

// retryBudget bounds the retries of requests. Each host uses only its share of the
// budget of all hosts.
type retryBudget struct {
	retryRatio, retrySlack float64
	retryWindow            time.Duration
	retryUsages            map[fuchsiapitch.ServiceName]*retryUsage
}

// retryUsage counts the requests and retries of one service in a sliding window.
type retryUsage struct {
	window       time.Duration
	oldestBucket int64
	requests     [windowBuckets]float64
	retries      [windowBuckets]float64
}

// WithRetryBudget bounds the retries of all hosts together within any window to a ratio
// of the requests plus a constant (slack).
func WithRetryBudget(ratio, slack float64, window time.Duration) Option {
	return func(c *Coordinator) { c.retryRatio, c.retrySlack, c.retryWindow = ratio, slack, window }
}

func newRetryBudget() retryBudget {
	return retryBudget{retryUsages: make(map[fuchsiapitch.ServiceName]*retryUsage)}
}

// chargeRetryBudget counts a request in the retry budget and reports whether the budget
// allows it.
func (c *Coordinator) chargeRetryBudget(now time.Duration, e RequestArrived) bool {
	if c.takeReservedRetry(e.PreviousTicket) {
		return true
	}
	if e.IsRetry || c.retryWindow <= 0 {
		return !c.awaitsRetry(e.Service) && c.takeRetry(now, e.Service)
	}
	if !e.HasAskedBefore {
		u, i := c.currentUsage(now, e.Service)
		u.requests[i]++
	}
	return true
}

// awaitsRetry reports whether a stream that its client has begun to receive waits for a retry of
// a service. All other retries of the service yield to it.
func (c *Coordinator) awaitsRetry(service fuchsiapitch.ServiceName) bool {
	return slices.ContainsFunc(c.queue, func(w *queuedRequest) bool { return w.awaitsRetry && w.Service == service })
}

// takeRetry counts a retry if the budget allows it, and reports whether it does.
func (c *Coordinator) takeRetry(now time.Duration, service fuchsiapitch.ServiceName) bool {
	if c.retryWindow <= 0 {
		return true
	}
	if !c.mayRetry(now, service) {
		return false
	}
	u, i := c.currentUsage(now, service)
	u.retries[i]++
	return true
}

// currentUsage returns the usage of a service and the index of the current bucket.
func (c *Coordinator) currentUsage(now time.Duration, service fuchsiapitch.ServiceName) (*retryUsage, int64) {
	u, ok := c.retryUsages[service]
	if !ok {
		u = &retryUsage{window: c.retryWindow}
		c.retryUsages[service] = u
	}
	if u.window != c.retryWindow {
		u.changeWindow(now, c.retryWindow)
	}
	n := int64(now / (c.retryWindow / windowBuckets))
	u.expireBuckets(n)
	return u, n % windowBuckets
}

// changeWindow changes the length of the window. What the former one holds counts as new.
func (u *retryUsage) changeWindow(now, window time.Duration) {
	u.expireBuckets(int64(now / (u.window / windowBuckets)))
	changed := retryUsage{window: window}
	n := int64(now / (window / windowBuckets))
	changed.expireBuckets(n)
	for k := range u.requests {
		changed.requests[n%windowBuckets] += u.requests[k]
		changed.retries[n%windowBuckets] += u.retries[k]
	}
	*u = changed
}

// mayRetry reports whether this host's share of the budget allows one more retry.
func (c *Coordinator) mayRetry(now time.Duration, service fuchsiapitch.ServiceName) bool {
	if c.retryWindow <= 0 {
		return true
	}
	requests, retries := c.usageInWindow(now, service)
	return retries+1 <= c.allowedRetries(requests)
}

// usageInWindow returns the requests and retries of a service in the window.
func (c *Coordinator) usageInWindow(now time.Duration, service fuchsiapitch.ServiceName) (requests, retries float64) {
	u, _ := c.currentUsage(now, service)
	for k := range u.requests {
		requests += u.requests[k]
		retries += u.retries[k]
	}
	return requests, retries
}

// allowedRetries returns how many retries this host may make in a window in which it
// has received the given number of requests.
func (c *Coordinator) allowedRetries(requests float64) float64 {
	hosts := float64(len(c.peers) + 1)
	return budgetFraction * (c.retryRatio*requests + c.retrySlack/hosts)
}

// expireBuckets clears the buckets that have left the window when bucket n starts.
func (u *retryUsage) expireBuckets(n int64) {
	for ; u.oldestBucket+windowBuckets <= n; u.oldestBucket++ {
		if u.oldestBucket+2*windowBuckets < n {
			// Bounds the loop after a long idle time. The remaining iterations
			// clear every bucket.
			u.oldestBucket = n - 2*windowBuckets
		}
		u.requests[u.oldestBucket%windowBuckets], u.retries[u.oldestBucket%windowBuckets] = 0, 0
	}
}
