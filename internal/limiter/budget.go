package limiter

import "github.com/fuchsiapitch/fuchsiapitch"

const (
	// retryRatio is the largest fraction of retries among first attempts.
	retryRatio = 0.2
	// retryBurst is the least number of retries that may come at once.
	retryBurst = 32
)

// RetryBudget bounds the retries of each service, so that retries never
// multiply a flood. Every first attempt earns a fraction of a retry. The budget
// holds at most one burst, which covers the requests that one host's replicas
// run, so that the loss of a replica does not use it up.
type RetryBudget struct {
	services map[fuchsiapitch.ServiceName]*budget
}

type budget struct {
	level float64
	burst float64
}

// NewRetryBudget returns a budget with a full burst for every service.
func NewRetryBudget() *RetryBudget {
	return &RetryBudget{services: make(map[fuchsiapitch.ServiceName]*budget)}
}

func (r *RetryBudget) service(name fuchsiapitch.ServiceName) *budget {
	b, ok := r.services[name]
	if !ok {
		b = &budget{level: retryBurst, burst: retryBurst}
		r.services[name] = b
	}
	return b
}

// SetSlots sets the number of requests of a service that run at once, which the
// burst covers.
func (r *RetryBudget) SetSlots(name fuchsiapitch.ServiceName, slots int) {
	b := r.service(name)
	burst := max(retryBurst, float64(slots))
	b.level = min(b.level+max(0, burst-b.burst), burst)
	b.burst = burst
}

// First counts a first attempt.
func (r *RetryBudget) First(name fuchsiapitch.ServiceName) {
	b := r.service(name)
	b.level = min(b.level+retryRatio, b.burst)
}

// Allow takes a retry from the budget and reports whether one was left.
func (r *RetryBudget) Allow(_ fuchsiapitch.Instant, name fuchsiapitch.ServiceName) bool {
	b := r.service(name)
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}
