package limiter

import "github.com/fuchsiapitch/fuchsiapitch"

const (
	// retryRatio is the number of retries that each first attempt adds to the budget.
	retryRatio = 0.2
	// minRetryBurst is the smallest size of a full budget.
	minRetryBurst = 32
)

// RetryBudget limits the retries of each service, so that retries do not amplify an
// overload. Each first attempt adds a fraction of a retry to the budget. The budget is
// capped at a burst, which is at least the number of requests that this host's replicas
// run concurrently, so that the loss of a replica does not exhaust it.
type RetryBudget struct {
	services map[fuchsiapitch.ServiceName]*serviceBudget
}

type serviceBudget struct {
	availableRetries float64
	// burst is the largest number of available retries.
	burst float64
}

// NewRetryBudget returns a budget with a full burst for every service.
func NewRetryBudget() *RetryBudget {
	return &RetryBudget{services: make(map[fuchsiapitch.ServiceName]*serviceBudget)}
}

func (r *RetryBudget) budgetOf(name fuchsiapitch.ServiceName) *serviceBudget {
	b, ok := r.services[name]
	if !ok {
		b = &serviceBudget{availableRetries: minRetryBurst, burst: minRetryBurst}
		r.services[name] = b
	}
	return b
}

// SetSlots sets the number of requests of a service that run concurrently. The burst is
// at least that large.
func (r *RetryBudget) SetSlots(name fuchsiapitch.ServiceName, slots int) {
	b := r.budgetOf(name)
	burst := max(minRetryBurst, float64(slots))
	b.availableRetries = min(b.availableRetries+max(0, burst-b.burst), burst)
	b.burst = burst
}

// RecordFirstAttempt adds to the budget for a first attempt.
func (r *RetryBudget) RecordFirstAttempt(name fuchsiapitch.ServiceName) {
	b := r.budgetOf(name)
	b.availableRetries = min(b.availableRetries+retryRatio, b.burst)
}

// TakeRetry takes one retry from the budget and reports whether it had one.
func (r *RetryBudget) TakeRetry(_ fuchsiapitch.Instant, name fuchsiapitch.ServiceName) bool {
	b := r.budgetOf(name)
	if b.availableRetries < 1 {
		return false
	}
	b.availableRetries--
	return true
}
