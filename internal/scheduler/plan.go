package scheduler

import (
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// Admission is the result of Offer.
type Admission struct {
	// Accepted is true if the request was queued.
	Accepted bool
	// Reason is the reason for the refusal. It is set only if the request was
	// refused.
	Reason fuchsiapitch.RefusalReason
	// RetryAfter is the time after which a retry may succeed, 0 if unknown.
	RetryAfter time.Duration
}

// Start is the decision to run a request on a replica.
type Start struct {
	Request fuchsiapitch.RequestID
	Replica fuchsiapitch.Replica
	// Priority is the priority at the model engine; 0 is the most urgent.
	Priority int
}

// Plan holds the decisions that the caller has to carry out.
type Plan struct {
	// Starts are the requests to run.
	Starts []Start
	// Preemptions are the running requests to stop so that other requests can run.
	// Each one that is stopped has to be queued again with Requeue.
	Preemptions []fuchsiapitch.RequestID
	// Refusals are the queued requests whose deadline has passed.
	Refusals []Refusal
}

// Refusal is the decision to refuse a queued request.
type Refusal struct {
	Request fuchsiapitch.RequestID
	// Reason is the reason for the refusal.
	Reason fuchsiapitch.RefusalReason
	// RetryAfter is the time after which a retry may succeed, 0 if unknown.
	RetryAfter time.Duration
}
